"""Connections to targets, whose answers are bounded as they arrive."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import client_proto, http_exceptions

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

# Status line, header lines and interim answers together.
MAX_HEAD_BYTES = 32 * 1024
# Bodies with their framing. One event is bounded by itself.
MAX_WHOLE_BYTES = 1024 * 1024
MAX_STREAM_BYTES = 4 * 1024 * 1024
EVENT_STREAM = "text/event-stream"
# What the library is handed at once while a head is awaited.
_HEAD_PART_BYTES = 4096
_FIRST_FINAL_STATUS = 200


class OversizeAnswerError(aiohttp.ClientError):
    """A target sent more than an answer may have."""


class AnswerHandler(client_proto.ResponseHandler):
    """Counts what arrives for a request before it is parsed.

    The library bounds single lines, but not what it skips: blank lines and
    interim answers before a head, the size and extension of a chunk,
    trailers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Makes the handler of one connection."""
        super().__init__(loop)
        self._has_head = False
        self._left_bytes = MAX_HEAD_BYTES

    def set_response_params(self, **params: Any) -> None:
        """Begins to await the answer to a request."""
        self._has_head = False
        self._left_bytes = MAX_HEAD_BYTES
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Takes what has arrived."""
        while data and not self._has_head:
            part, data = data[:_HEAD_PART_BYTES], data[_HEAD_PART_BYTES:]
            if not self._count(part):
                return
            self._parse(part)
        if self._count(data):
            self._parse(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Takes a parsed head."""
        message, _ = data
        if message.code >= _FIRST_FINAL_STATUS:
            self._has_head = True
            self._left_bytes = _most_bytes(message.headers)
        super().feed_data(data, size)

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        error = self._exception
        if isinstance(error, http_exceptions.HttpProcessingError):
            self._fail_body(aiohttp.ClientPayloadError(str(error)))

    def _fail_body(self, error: BaseException) -> None:
        """Wakes up who reads a body that can't be whole any more.

        The library tells only those who await a head.
        """
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def _count(self, data: bytes) -> bool:
        """Returns whether the answer may have more bytes."""
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self._refuse()
            return False
        return True

    def _refuse(self) -> None:
        """Closes the connection; its request has no whole answer."""
        error = OversizeAnswerError("the answer is larger than the limit")
        self._buffer.clear()
        self.set_exception(error)
        self._fail_body(error)
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Makes connections with bounded answers."""

    def __init__(self, **options: Any) -> None:
        """Makes a connector of no connections."""
        super().__init__(**options)
        self._factory = functools.partial(_make_handler, loop=self._loop)


def _most_bytes(headers: Mapping[str, str]) -> int:
    content_type = headers.get("Content-Type", "")
    if content_type.startswith(EVENT_STREAM):
        return MAX_STREAM_BYTES
    return MAX_WHOLE_BYTES


def _make_handler(
    loop: asyncio.AbstractEventLoop,
) -> client_proto.ResponseHandler:
    return AnswerHandler(loop)
