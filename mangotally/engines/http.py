"""Client for model engines over HTTP with server-sent events."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING, Any

import aiohttp
import pydantic_core
from returns import result

from mangotally import errors, ids
from mangotally.engines import client, events
from mangotally.policy import faults, orders, pools
from mangotally.util import clock as clock_lib
from mangotally.util import responses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    from mangotally.engines import channels as channels_lib
    from mangotally.policy import records

CONTROL_TIMEOUT_MS = 2000
MAX_CONTROL_BYTES = 4 * 1024 * 1024
_REFUSAL_STATUSES = frozenset({429, 503})


class HttpEngineClient:
    """Client that opens a new connection for each request.

    A connection on which the target no longer answers therefore cannot
    delay another call, and a probe tests the target instead of an old
    connection to it.
    """

    def __init__(
        self, channels: channels_lib.Channels, limits: faults.TargetTimeouts
    ) -> None:
        """Creates a client; the caller closes the channels."""
        self._channels = channels
        self._limits = limits

    async def chat(
        self, address: str, request: client.ChatRequest
    ) -> AsyncIterator[client.ChatEvent]:
        """Yields chunks and then the end, or a fault as the last item."""
        answer = self._stream(
            "POST",
            f"{address}/v1/chat/completions",
            _request_body(request),
            request,
            after=0,
        )
        async for event in answer:
            yield event

    async def resume(
        self, address: str, request: client.ChatRequest, after: int
    ) -> AsyncIterator[client.ChatEvent]:
        """Yields the rest of an answer over a new connection."""
        url = f"{address}/v1/streams/{request.call}?after={after}"
        async for event in self._stream("GET", url, None, request, after):
            yield event

    async def cancel(
        self, address: str, call: ids.CallId
    ) -> errors.Outcome[None]:
        """Cancels a call; succeeds if the engine no longer runs it."""
        body = {"call": call}
        outcome = await self._control("POST", f"{address}/cancel", body)
        return outcome.map(lambda _: None)

    async def fetch_load(
        self, address: str
    ) -> errors.Outcome[pools.LoadReport]:
        """Fetches the engine's load report."""
        outcome = await self._control("GET", f"{address}/load", None)
        return outcome.bind(_parse_load)

    async def release_prefixes(
        self, address: str, prefixes: Sequence[client.PrefixKey]
    ) -> errors.Outcome[None]:
        """Releases cached prefixes at the engine in a single request."""
        keys = [cache_key(item.organisation, item.program) for item in prefixes]
        body = {"cache_keys": keys}
        outcome = await self._control("POST", f"{address}/release", body)
        return outcome.map(lambda _: None)

    async def fetch_inventory(
        self, address: str
    ) -> errors.Outcome[client.EngineInventory]:
        """Fetches the cached prefixes and running calls of the engine."""
        outcome = await self._control("GET", f"{address}/cache", None)
        return outcome.bind(_parse_inventory)

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> errors.Outcome[tuple[pools.CacheEvent, ...]]:
        """Fetches the cache events after a sequence number."""
        url = f"{address}/cache/events?after={after}"
        outcome = await self._control("GET", url, None)
        return outcome.bind(_parse_cache_events)

    async def fetch_state(
        self, address: str
    ) -> errors.Outcome[orders.EngineReport]:
        """Fetches the state of the engine: what it has loaded, and its role."""
        outcome = await self._control("GET", f"{address}/state", None)
        return outcome.bind(_parse_engine_report)

    async def send_order(
        self, address: str, fencing: int, desired: orders.EngineState
    ) -> errors.Outcome[orders.EngineReport]:
        """Orders the engine to change what it has loaded, or its role."""
        body = {"fencing": fencing, "state": dataclasses.asdict(desired)}
        outcome = await self._control("POST", f"{address}/orders", body)
        return outcome.bind(_parse_engine_report)

    async def _stream(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        request: client.ChatRequest,
        after: int,
    ) -> AsyncIterator[client.ChatEvent]:
        try:
            response = await self._open(method, url, body, request)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            yield result.Failure(fault_from_exception(error))
            return
        async with response:
            fault = _check_status(response)
            if fault is not None:
                yield result.Failure(fault)
                return
            reader = events.EventReader(request, self._limits, after)
            try:
                async for event in reader.read(response.content):
                    yield event
            except (aiohttp.ClientError, OSError) as error:
                yield result.Failure(fault_from_exception(error))

    async def _open(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        request: client.ChatRequest,
    ) -> aiohttp.ClientResponse:
        limits = self._limits
        headers_ms = limits.first_token_timeout_ms(request.prompt_tokens)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=clock_lib.to_seconds(limits.connect_ms),
        )
        async with asyncio.timeout(clock_lib.to_seconds(headers_ms)):
            return await self._channels.unpooled.request(
                method,
                url,
                json=body,
                headers={"X-Request-Id": request.call},
                timeout=timeout,
                allow_redirects=False,
            )

    async def _control(
        self, method: str, url: str, body: Any
    ) -> errors.Outcome[Any]:
        timeout = aiohttp.ClientTimeout(
            clock_lib.to_seconds(CONTROL_TIMEOUT_MS)
        )
        try:
            async with self._channels.unpooled.request(
                method, url, json=body, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    return _failed(f"status {response.status}")
                return await _read_json(response)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return _failed(type(error).__name__)


async def _read_json(
    response: aiohttp.ClientResponse,
) -> errors.Outcome[Any]:
    data = await responses.read_limited(response, MAX_CONTROL_BYTES)
    if data is None:
        return _failed("oversize response")
    return result.Success(pydantic_core.from_json(data))


def fault_from_exception(error: Exception) -> faults.Fault:
    """Maps an exception of the HTTP client to a fault."""
    kinds = faults.FaultKind
    name = type(error).__name__
    match error:
        case aiohttp.ConnectionTimeoutError():
            return faults.Fault(kinds.UNREACHABLE, "connection timed out")
        case aiohttp.ClientConnectorError():
            if isinstance(error.os_error, ConnectionRefusedError):
                return faults.Fault(
                    kinds.CONNECTION_REFUSED, "connection refused"
                )
            return faults.Fault(kinds.UNREACHABLE, "connection failed")
        case TimeoutError():
            return faults.Fault(kinds.STALLED, "response timed out")
        case aiohttp.ClientResponseError() | ValueError():
            return faults.Fault(kinds.MALFORMED, name)
        case _:
            return faults.Fault(kinds.BROKEN, name)


def _check_status(response: aiohttp.ClientResponse) -> faults.Fault | None:
    kinds = faults.FaultKind
    status, headers = response.status, response.headers
    detail = f"status {status}"
    if status == 200:
        return None
    if status in _REFUSAL_STATUSES:
        return faults.Fault(kinds.REFUSED, detail, parse_retry_after(headers))
    if status == 410:
        return faults.Fault(kinds.CANCELLED, "the call was cancelled")
    if status == 404 and response.method == "GET":
        return faults.Fault(kinds.LOST, detail)
    if 400 <= status < 500:
        return faults.Fault(kinds.REJECTED, detail)
    return faults.Fault(kinds.ERROR, detail)


def parse_retry_after(headers: Mapping[str, str]) -> int | None:
    """Returns the delay of a `Retry-After` header in seconds, in ms.

    Returns None unless the value is a number of at most six digits.
    """
    text = headers.get("Retry-After", "")
    if text.isascii() and text.isdigit() and len(text) <= 6:
        return int(text) * clock_lib.MS_PER_S
    return None


def cache_key(organisation: ids.OrganisationId, program: ids.ProgramId) -> str:
    """Returns the key of a program's cached prefix at an engine."""
    return f"{organisation}/{program}"


def split_cache_key(key: str) -> tuple[ids.OrganisationId, ids.ProgramId]:
    """Returns the organisation and program of a cache key."""
    organisation, _, program = key.partition("/")
    return ids.OrganisationId(organisation), ids.ProgramId(program)


def _request_body(request: client.ChatRequest) -> dict[str, Any]:
    return {
        "model": request.model,
        "messages": [_message_body(item) for item in request.messages],
        "max_tokens": request.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "cache_key": cache_key(request.organisation, request.program),
        **(json.loads(request.options) if request.options else {}),
    }


def _message_body(message: records.ChatMessage) -> dict[str, Any]:
    if not message.extra:
        return {"role": message.role, "content": message.content}
    extra = json.loads(message.extra)
    is_tool_call_only = not message.content and "tool_calls" in extra
    content = None if is_tool_call_only else message.content
    return {"role": message.role, "content": content, **extra}


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
        return _failed("invalid load report")


def _parse_inventory(body: Any) -> errors.Outcome[client.EngineInventory]:
    try:
        prefixes = tuple(
            client.CachedPrefix(
                *split_cache_key(str(item["cache_key"])), int(item["tokens"])
            )
            for item in body["prefixes"]
        )
        calls = tuple(ids.CallId(str(item)) for item in body["calls"])
        return result.Success(client.EngineInventory(prefixes, calls))
    except (KeyError, TypeError, ValueError):
        return _failed("invalid cache list")


def _parse_cache_events(
    body: Any,
) -> errors.Outcome[tuple[pools.CacheEvent, ...]]:
    try:
        return result.Success(
            tuple(
                pools.CacheEvent(
                    int(item["sequence"]),
                    pools.CacheEventKind(item["kind"]),
                    split_cache_key(str(item["cache_key"]))[1],
                    int(item["tokens"]),
                )
                for item in body["events"]
            )
        )
    except (KeyError, TypeError, ValueError):
        return _failed("invalid cache events")


def _parse_engine_report(body: Any) -> errors.Outcome[orders.EngineReport]:
    try:
        state = body["state"]
        return result.Success(
            orders.EngineReport(
                orders.EngineState(
                    str(state.get("model", "")),
                    str(state.get("version", "")),
                    tuple(str(item) for item in state.get("adapters", ())),
                    str(state.get("role", "both")),
                ),
                int(body["fencing"]),
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return _failed("invalid engine state")


def _failed(detail: str) -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.TARGET_FAILED,
        f"The target failed ({detail}).",
        errors.Ran.MAY_HAVE_RUN,
    )
