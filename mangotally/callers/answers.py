"""Answers to chat completions, as one JSON document or as an event stream."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any, Protocol

import pydantic_core
from aiohttp import web
from returns import result

from mangotally import errors
from mangotally.callers import problems
from mangotally.hosts import messages
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.metrics import recorder

WRITE_TIMEOUT_MS = 30_000
MAX_BYTES_WITHOUT_TIMEOUT = 16 * 1024
_DONE = b"data: [DONE]\n\n"


class AnswerWriter(Protocol):
    """Writes the answer to one chat completion."""

    async def write(
        self, events: AsyncIterator[errors.Outcome[Any]]
    ) -> web.StreamResponse:
        """Writes a turn's events; returns the finished response."""

    async def fail(self, failure: errors.Failure) -> web.StreamResponse:
        """Ends the answer with a failure, before or after its first event."""


def make_answer_writer(
    request: web.Request,
    message: messages.RunTurn,
    streamed: bool,
    watch: recorder.CallTimer,
) -> AnswerWriter:
    """Returns a writer for the format that the caller requested."""
    if streamed:
        return StreamAnswerWriter(request, message, watch)
    return JsonAnswerWriter(message, watch)


class JsonAnswerWriter:
    """Writes an answer as one JSON document."""

    def __init__(
        self, message: messages.RunTurn, watch: recorder.CallTimer
    ) -> None:
        self._message = message
        self._watch = watch

    async def write(
        self, events: AsyncIterator[errors.Outcome[Any]]
    ) -> web.StreamResponse:
        """Collects a turn's events; returns the response."""
        text: list[str] = []
        async for event in events:
            match event:
                case result.Success(messages.TurnText(piece)):
                    self._watch.record_token()
                    text.append(piece)
                case result.Success(messages.TurnEnd() as end):
                    _record_end(self._watch, end)
                    return web.json_response(self._body("".join(text), end))
                case _:
                    return problems.make_response(event.failure())
        return problems.make_response(_incomplete_answer())

    async def fail(self, failure: errors.Failure) -> web.StreamResponse:
        """Returns the response for a failure."""
        return problems.make_response(failure)

    def _body(self, text: str, end: messages.TurnEnd) -> dict[str, Any]:
        return {
            "id": _answer_id(self._message),
            "object": "chat.completion",
            "model": self._message.service,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
            "usage": _usage(end),
        }


class StreamAnswerWriter:
    """Writes an answer as server-sent events."""

    def __init__(
        self,
        request: web.Request,
        message: messages.RunTurn,
        watch: recorder.CallTimer,
    ) -> None:
        """Creates a writer; it sends the headers with the first event."""
        self._request = request
        self._message = message
        self._watch = watch
        self._response: web.StreamResponse | None = None
        self._ended = False

    async def write(
        self, events: AsyncIterator[errors.Outcome[Any]]
    ) -> web.StreamResponse:
        """Writes a turn's events; returns the finished response."""
        async for event in events:
            if not isinstance(event, result.Success):
                return await self.fail(event.failure())
            await self._write_event(event.unwrap())
        if self._response is None or not self._ended:
            return await self.fail(_incomplete_answer())
        await self._response.write_eof()
        return self._response

    async def fail(self, failure: errors.Failure) -> web.StreamResponse:
        """Ends the stream with an error event, or returns a problem response.

        The response is possible only as long as no event has been sent.
        """
        if self._response is None:
            return problems.make_response(failure)
        self._response[problems.REASON] = failure.reason
        await self._send({"error": problems.make_body(failure)})
        await self._response.write_eof()
        return self._response

    async def _write_event(self, event: object) -> None:
        chunk: dict[str, Any] = {
            "id": _answer_id(self._message),
            "object": "chat.completion.chunk",
            "model": self._message.service,
        }
        match event:
            case messages.TurnText(piece):
                self._watch.record_token()
                chunk["choices"] = [_choice({"content": piece}, None)]
                await self._send(chunk)
            case messages.TurnEnd() as end:
                chunk["choices"] = [_choice({}, "stop")]
                chunk["usage"] = _usage(end)
                await self._send(chunk, _DONE)
                self._ended = True
                _record_end(self._watch, end)

    async def _send(self, body: dict[str, Any], more: bytes = b"") -> None:
        if self._response is None:
            self._response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "Cache-Control": "no-store",
                }
            )
            await self._response.prepare(self._request)
        data = b"data: %b\n\n%b" % (pydantic_core.to_json(body), more)
        if self._writes_without_blocking(data):
            await self._response.write(data)
            return
        try:
            async with asyncio.timeout(clock_lib.to_seconds(WRITE_TIMEOUT_MS)):
                await self._response.write(data)
        except TimeoutError:
            raise ConnectionResetError(
                "the caller did not read the answer in time"
            ) from None

    def _writes_without_blocking(self, data: bytes) -> bool:
        # Setting up a time-out costs more than all other work on an event.
        # It is not needed if the caller has read everything sent so far,
        # because then a small write does not block.
        transport = self._request.transport
        return (
            transport is not None
            and transport.get_write_buffer_size() == 0
            and len(data) < MAX_BYTES_WITHOUT_TIMEOUT
        )


def _record_end(watch: recorder.CallTimer, end: messages.TurnEnd) -> None:
    if end.replayed:
        watch.finish(None)
    else:
        watch.finish(end.target, end.generated_tokens)


def _choice(delta: dict[str, Any], reason: str | None) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "finish_reason": reason}


def _usage(end: messages.TurnEnd) -> dict[str, Any]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.generated_tokens,
        "total_tokens": end.prompt_tokens + end.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def _answer_id(message: messages.RunTurn) -> str:
    return f"chat-{message.program or 'single'}-{message.turn}"


def _incomplete_answer() -> errors.Failure:
    return errors.Failure(
        errors.Reason.TARGET_FAILED,
        "The stream of events ended before the answer was complete.",
        errors.Ran.MAY_HAVE_RUN,
        retry_after_ms=math.ceil(clock_lib.MS_PER_S),
    )
