"""Client connections that tell a reset from a close of the other side."""

from __future__ import annotations

import functools
import os
import socket
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import client_proto

if TYPE_CHECKING:
    import asyncio


class ResetAwareHandler(client_proto.ResponseHandler):
    """Fails the body of an answer whose connection was reset.

    An answer without a length ends with its connection. The library ends it
    in the same way whether the connection was closed or reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialises the handler of one connection.

        Args:
            loop: The event loop.
        """
        super().__init__(loop)
        self._socket_error: OSError | None = None

    def eof_received(self) -> None:
        """Reads the socket's error while the socket is still open."""
        self._socket_error = _pending_error(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the body that is not complete if there was an error."""
        error = exc or self._socket_error
        if error is not None:
            text = f"the answer is truncated: {error}"
            self.fail_body(aiohttp.ClientPayloadError(text))
        super().connection_lost(error)

    def fail_body(self, error: BaseException) -> None:
        """Wakes the reader of a body that can't become complete."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)


class Connector(aiohttp.TCPConnector):
    """Connection pool that tells a reset from a close."""

    def __init__(self, **options: Any) -> None:
        """Initialises the pool without connections.

        Args:
            options: Options of the library's connector.
        """
        super().__init__(**options)
        self._factory = functools.partial(_make_handler, loop=self._loop)


def _make_handler(
    loop: asyncio.AbstractEventLoop,
) -> client_proto.ResponseHandler:
    return ResetAwareHandler(loop)


def _pending_error(
    transport: asyncio.BaseTransport | None,
) -> OSError | None:
    """Returns the error that the system holds for a socket, or None.

    uvloop reports a connection that was reset after its last bytes as closed
    by the peer, without reading this error.
    """
    if transport is None:
        return None
    connection = transport.get_extra_info("socket")
    if connection is None:
        return None
    number = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, os.strerror(number)) if number else None
