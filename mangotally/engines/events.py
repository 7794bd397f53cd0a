"""Parsing and validation of the server-sent events of an answer."""

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
# The size limit of an answer is its maximum length times MAX_TOKEN_BYTES, plus
# this overhead.
OVERHEAD_BYTES = 64 * 1024
_DATA = b"data: "
_ID = b"id: "
_DONE = b"[DONE]"


class ByteSource(Protocol):
    """A source of bytes, such as the content of an aiohttp response."""

    async def readany(self) -> bytes:
        """Waits for data and returns it; returns no bytes at the end."""


class EventReader:
    """Parses the event stream of an answer into chunks.

    An answer ends with a fault if it makes no progress, is longer than the
    call allows, belongs to another call or cannot be parsed. Comments and
    events without text do not count as progress.
    """

    def __init__(
        self,
        request: client.ChatRequest,
        limits: faults.TargetTimeouts,
        after: int = 0,
    ) -> None:
        """Creates a reader for one response.

        Args:
            request: The request that started the call.
            limits: Timeouts for the target.
            after: Number of the last chunk that was received before.
        """
        self._request = request
        self._limits = limits
        self._last_number = after
        self._number: int | None = None
        self._usage: dict[str, Any] | None = None
        self._partial_line = b""
        self._lines: collections.deque[bytes] = collections.deque()
        self._call_deadline_s = 0.0
        self._bytes_left = request.max_tokens * MAX_TOKEN_BYTES + OVERHEAD_BYTES

    async def read(self, source: ByteSource) -> AsyncIterator[client.ChatEvent]:
        """Yields chunks and then the end, or a fault as the last item."""
        self._call_deadline_s = self._deadline_after(self._request.timeout_ms)
        progress_deadline_s = self._deadline_after(
            self._limits.first_token_timeout_ms(self._request.prompt_tokens)
        )
        while True:
            data = await self._next_data(source, progress_deadline_s)
            if isinstance(data, faults.Fault):
                yield result.Failure(data)
                return
            if data == _DONE:
                yield self._parse_usage()
                return
            chunk = self._parse_chunk(data)
            if isinstance(chunk, faults.Fault):
                yield result.Failure(chunk)
                return
            if chunk is not None:
                yield result.Success(chunk)
                progress_deadline_s = self._deadline_after(
                    self._limits.between_tokens_ms
                )

    def _deadline_after(self, timeout_ms: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + clock_lib.to_seconds(timeout_ms)

    async def _next_data(
        self, source: ByteSource, progress_deadline_s: float
    ) -> bytes | faults.Fault:
        data = self._buffered_data()
        if data is not None:
            return data
        try:
            async with asyncio.timeout_at(
                min(progress_deadline_s, self._call_deadline_s)
            ):
                return await self._read_data(source)
        except TimeoutError:
            if self._call_deadline_s <= progress_deadline_s:
                return faults.Fault(
                    faults.FaultKind.DEADLINE, "the deadline has passed"
                )
            return faults.Fault(
                faults.FaultKind.STALLED, "the answer made no progress"
            )

    async def _read_data(self, source: ByteSource) -> bytes | faults.Fault:
        while True:
            if len(self._partial_line) > MAX_LINE_BYTES:
                return faults.Fault(
                    faults.FaultKind.MALFORMED, "a line exceeds the size limit"
                )
            received = await source.readany()
            if not received:
                return faults.Fault(
                    faults.FaultKind.BROKEN, "the connection closed early"
                )
            *lines, self._partial_line = (self._partial_line + received).split(
                b"\n"
            )
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
                    faults.FaultKind.MALFORMED, "a line exceeds the size limit"
                )
            if line.startswith(_ID):
                self._set_number(line[len(_ID) :])
            elif line.startswith(_DATA):
                return line[len(_DATA) :].strip()
        return None

    def _set_number(self, text: bytes) -> None:
        stripped = text.strip()
        if stripped.isdigit():
            self._number = int(stripped)

    def _parse_chunk(
        self, data: bytes
    ) -> client.ChatText | faults.Fault | None:
        try:
            chunk = pydantic_core.from_json(data)
            if chunk["id"] != self._request.call:
                return faults.Fault(
                    faults.FaultKind.CROSSED,
                    "the answer belongs to another request",
                )
            self._usage = chunk.get("usage") or self._usage
            contents = [
                choice["delta"].get("content") for choice in chunk["choices"]
            ]
            text = "".join(content for content in contents if content)
        except (ValueError, TypeError, KeyError, AttributeError):
            return faults.Fault(faults.FaultKind.MALFORMED, "an invalid chunk")
        if not text:
            return None
        return self._check_number(text)

    def _check_number(self, text: str) -> client.ChatText | faults.Fault | None:
        number, self._number = self._number or self._last_number + 1, None
        if number <= self._last_number:
            return None
        if number > self._last_number + 1:
            return faults.Fault(faults.FaultKind.MALFORMED, "a missing chunk")
        if number > self._request.max_tokens:
            return faults.Fault(
                faults.FaultKind.OVERSIZE, "the answer is too long"
            )
        self._last_number = number
        return client.ChatText(text, number)

    def _parse_usage(self) -> client.ChatEvent:
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
                faults.Fault(
                    faults.FaultKind.MALFORMED, "the token usage is missing"
                )
            )
