"""Reads the server-sent events of one answer and checks each of them."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any, Protocol

import pydantic_core
from returns import result

from mangotally.engines import client
from mangotally.policy import faults
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_TOKEN_BYTES = 256
MAX_LINE_BYTES = 64 * 1024
OVERHEAD_BYTES = 64 * 1024
_DATA = b"data: "
_ID = b"id: "
_DONE = b"[DONE]"


class ByteSource(Protocol):
    """A source of bytes, such as a response's content."""

    async def readany(self) -> bytes:
        """Returns what has arrived, waiting for it; nothing at the end."""


class EventReader:
    """Turns the lines of an answer into its pieces.

    An answer that makes no progress, is longer than the call allows,
    belongs to another call or cannot be read ends with a fault. Comments
    and empty events are no progress.
    """

    def __init__(
        self,
        request: client.ChatRequest,
        limits: faults.TargetTimeouts,
        after: int = 0,
    ) -> None:
        """Makes a reader.

        Args:
            request: The call.
            limits: How long the target may take.
            after: Number of the last piece that was received before.
        """
        self._request = request
        self._limits = limits
        self._last = after
        self._number: int | None = None
        self._usage: dict[str, Any] | None = None
        self._rest = b""
        self._lines: collections.deque[bytes] = collections.deque()
        self._end_s = 0.0
        self._bytes_left = request.max_tokens * MAX_TOKEN_BYTES + OVERHEAD_BYTES

    async def read(self, source: ByteSource) -> AsyncIterator[client.ChatEvent]:
        """Yields pieces and then the end, or a fault as the last item."""
        self._end_s = self._due_s(self._request.timeout_ms)
        due_s = self._due_s(
            self._limits.first_token_timeout_ms(self._request.prompt_tokens)
        )
        while True:
            data = await self._next_data(source, due_s)
            if isinstance(data, faults.Fault):
                yield result.Failure(data)
                return
            if data == _DONE:
                yield self._end()
                return
            piece = self._parse(data)
            if isinstance(piece, faults.Fault):
                yield result.Failure(piece)
                return
            if piece is not None:
                yield result.Success(piece)
                due_s = self._due_s(self._limits.between_tokens_ms)

    def _due_s(self, limit_ms: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + clock_lib.to_seconds(limit_ms)

    async def _next_data(
        self, source: ByteSource, due_s: float
    ) -> bytes | faults.Fault:
        data = self._buffered_data()
        if data is not None:
            return data
        try:
            async with asyncio.timeout_at(min(due_s, self._end_s)):
                return await self._read_data(source)
        except TimeoutError:
            if self._end_s <= due_s:
                return faults.Fault(
                    faults.FaultKind.DEADLINE, "the time is over"
                )
            return faults.Fault(
                faults.FaultKind.STALLED, "the answer made no progress"
            )

    async def _read_data(self, source: ByteSource) -> bytes | faults.Fault:
        while True:
            if len(self._rest) > MAX_LINE_BYTES:
                return faults.Fault(
                    faults.FaultKind.MALFORMED, "an overlong line"
                )
            part = await source.readany()
            if not part:
                return faults.Fault(
                    faults.FaultKind.BROKEN, "the answer broke off"
                )
            *lines, self._rest = (self._rest + part).split(b"\n")
            self._lines.extend(lines)
            data = self._buffered_data()
            if data is not None:
                return data

    def _buffered_data(self) -> bytes | faults.Fault | None:
        while self._lines:
            line = self._lines.popleft()
            self._bytes_left -= len(line) + 1
            if self._bytes_left < 0:
                return faults.Fault(
                    faults.FaultKind.OVERSIZE, "the answer is too long"
                )
            if len(line) > MAX_LINE_BYTES:
                return faults.Fault(
                    faults.FaultKind.MALFORMED, "an overlong line"
                )
            if line.startswith(_ID):
                self._note_number(line[len(_ID) :])
            elif line.startswith(_DATA):
                return line[len(_DATA) :].strip()
        return None

    def _note_number(self, text: bytes) -> None:
        stripped = text.strip()
        if stripped.isdigit():
            self._number = int(stripped)

    def _parse(self, data: bytes) -> client.ChatText | faults.Fault | None:
        try:
            chunk = pydantic_core.from_json(data)
            if chunk["id"] != self._request.call:
                return faults.Fault(
                    faults.FaultKind.CROSSED, "an answer to another request"
                )
            self._usage = chunk.get("usage") or self._usage
            pieces = [
                choice["delta"].get("content") for choice in chunk["choices"]
            ]
            text = "".join(piece for piece in pieces if piece)
        except (ValueError, TypeError, KeyError, AttributeError):
            return faults.Fault(faults.FaultKind.MALFORMED, "a bad chunk")
        if not text:
            return None
        return self._place(text)

    def _place(self, text: str) -> client.ChatText | faults.Fault | None:
        number, self._number = self._number or self._last + 1, None
        if number <= self._last:
            return None
        if number > self._last + 1:
            return faults.Fault(faults.FaultKind.MALFORMED, "a missing piece")
        if number > self._request.max_tokens:
            return faults.Fault(
                faults.FaultKind.OVERSIZE, "the answer is too long"
            )
        self._last = number
        return client.ChatText(text, number)

    def _end(self) -> client.ChatEvent:
        try:
            usage = self._usage or {}
            details = usage.get("prompt_tokens_details") or {}
            return result.Success(
                client.ChatEnd(
                    int(usage["prompt_tokens"]),
                    int(details.get("cached_tokens", 0)),
                    int(usage["completion_tokens"]),
                )
            )
        except (ValueError, TypeError, KeyError, AttributeError):
            return result.Failure(
                faults.Fault(faults.FaultKind.MALFORMED, "no usage")
            )
