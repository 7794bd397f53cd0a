"""Connections to targets, whose answers are bounded as they arrive."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import client_proto

if TYPE_CHECKING:
    import asyncio

# Status line, header lines and interim answers together.
MAX_HEAD_BYTES = 32 * 1024
# What the library is handed at once while a head is awaited.
_HEAD_PART_BYTES = 4096
_FIRST_FINAL_STATUS = 200


class OversizeAnswerError(aiohttp.ClientError):
    """A target sent more than an answer may have."""


class AnswerHandler(client_proto.ResponseHandler):
    """Counts what arrives for a request before it is parsed.

    The library bounds single lines, but not what it skips: blank lines and
    interim answers before a head.
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
            size = min(self._left_bytes, _HEAD_PART_BYTES)
            if size == 0:
                self._refuse("head")
                return
            self._left_bytes -= min(size, len(data))
            super().data_received(data[:size])
            data = data[size:]
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Takes a parsed head."""
        message, _ = data
        if message.code >= _FIRST_FINAL_STATUS:
            self._has_head = True
        super().feed_data(data, size)

    def _refuse(self, part: str) -> None:
        """Closes the connection; its request has no whole answer."""
        error = OversizeAnswerError(f"the {part} is larger than the limit")
        self._buffer.clear()
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Makes connections with bounded answers."""

    def __init__(self, **options: Any) -> None:
        """Makes a connector of no connections."""
        super().__init__(**options)
        factory: functools.partial[client_proto.ResponseHandler]
        factory = functools.partial(AnswerHandler, loop=self._loop)
        self._factory = factory
