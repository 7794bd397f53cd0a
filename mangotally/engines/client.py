"""Client of model engines: chat completions and their control calls."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any, Protocol

import aiohttp
from returns import result

from mangotally import errors, ids
from mangotally.policy import pools, records
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STALL_MS = 10_000
CONTROL_TIMEOUT_MS = 2000
_DATA = b"data: "
_DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A chat completion.

    Attributes:
        call: Id of the call; the engine's chunks carry it back.
        program: Names the cached prefix.
        model: The model's name.
        messages: The whole conversation.
        max_tokens: Longest answer.
    """

    call: ids.CallId
    program: ids.ProgramId
    model: ids.ServiceId
    messages: tuple[records.ChatMessage, ...]
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class ChatText:
    """A piece of an answer."""

    text: str


@dataclasses.dataclass(frozen=True)
class ChatEnd:
    """The end of a whole answer.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens taken from the engine's cache.
        generated_tokens: Length of the answer.
    """

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


class EngineClient(Protocol):
    """What the system asks of a model engine."""

    def chat(
        self, address: str, request: ChatRequest
    ) -> AsyncIterator[errors.Outcome[ChatText | ChatEnd]]:
        """Yields pieces and then the end, or a failure as the last item."""

    async def load(self, address: str) -> errors.Outcome[pools.LoadReport]:
        """Returns the engine's load."""

    async def release(
        self, address: str, program: ids.ProgramId
    ) -> errors.Outcome[None]:
        """Has the engine drop a program's cached prefix."""


class HttpEngineClient:
    """Speaks to engines over HTTP with server-sent events."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Makes a client; the caller closes the session."""
        self._session = session

    async def chat(
        self, address: str, request: ChatRequest
    ) -> AsyncIterator[errors.Outcome[ChatText | ChatEnd]]:
        """Yields pieces and then the end, or a failure as the last item."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_read=clock_lib.to_seconds(STALL_MS)
        )
        try:
            async with self._session.post(
                f"{address}/v1/chat/completions",
                json=_request_body(request),
                headers={"X-Request-Id": request.call},
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    yield _target_failed(f"status {response.status}")
                    return
                async for event in _read_events(response, request.call):
                    yield event
        except aiohttp.ClientConnectorError:
            yield errors.failed(
                errors.Reason.TARGET_FAILED, "The target did not answer."
            )
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            yield _target_failed(type(error).__name__)

    async def load(self, address: str) -> errors.Outcome[pools.LoadReport]:
        """Returns the engine's load."""
        outcome = await self._control("GET", f"{address}/load", None)
        return outcome.bind(_parse_load)

    async def release(
        self, address: str, program: ids.ProgramId
    ) -> errors.Outcome[None]:
        """Has the engine drop a program's cached prefix."""
        outcome = await self._control(
            "POST", f"{address}/release", {"cache_key": program}
        )
        return outcome.map(lambda _: None)

    async def _control(
        self, method: str, url: str, body: Any
    ) -> errors.Outcome[Any]:
        timeout = aiohttp.ClientTimeout(
            clock_lib.to_seconds(CONTROL_TIMEOUT_MS)
        )
        try:
            async with self._session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    return _target_failed(f"status {response.status}")
                return result.Success(await response.json())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return _target_failed(type(error).__name__)


def _request_body(request: ChatRequest) -> dict[str, Any]:
    return {
        "model": request.model,
        "messages": [
            {"role": item.role, "content": item.content}
            for item in request.messages
        ],
        "max_tokens": request.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "cache_key": request.program,
    }


async def _read_events(
    response: aiohttp.ClientResponse, call: ids.CallId
) -> AsyncIterator[errors.Outcome[ChatText | ChatEnd]]:
    usage: dict[str, Any] | None = None
    async for line in response.content:
        if not line.startswith(_DATA):
            continue
        data = line[len(_DATA) :].strip()
        if data == _DONE:
            if usage is None:
                yield _target_failed("no usage")
            else:
                yield result.Success(_parse_usage(usage))
            return
        chunk = json.loads(data)
        if chunk["id"] != call:
            yield _target_failed("an answer to another request")
            return
        usage = chunk.get("usage") or usage
        for choice in chunk["choices"]:
            text = choice["delta"].get("content")
            if text:
                yield result.Success(ChatText(text))
    yield _target_failed("the answer broke off")


def _parse_usage(usage: dict[str, Any]) -> ChatEnd:
    details = usage.get("prompt_tokens_details") or {}
    return ChatEnd(
        int(usage["prompt_tokens"]),
        int(details.get("cached_tokens", 0)),
        int(usage["completion_tokens"]),
    )


def _parse_load(body: Any) -> errors.Outcome[pools.LoadReport]:
    try:
        return result.Success(
            pools.LoadReport(
                int(body["running"]),
                int(body["waiting"]),
                int(body["cached_tokens"]),
                int(body["cache_capacity_tokens"]),
                float(body["age_ms"]),
            )
        )
    except (KeyError, TypeError, ValueError):
        return _target_failed("a bad load report")


def _target_failed(detail: str) -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.TARGET_FAILED,
        f"The target failed ({detail}).",
        errors.Ran.MAY_HAVE_RUN,
    )
