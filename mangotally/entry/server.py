"""The HTTP server of an entry host."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Self

from aiohttp import web, web_protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Longer than any idle time-out that operators configure for callers'
# connections.
KEEP_ALIVE_TIMEOUT_S = 75.0
BACKLOG = 1024
# Answers are written by then; 0 would be no limit.
SHUTDOWN_TIMEOUT_S = 0.1


class _Connection(web_protocol.RequestHandler):
    """A connection that can be closed while no request is under way."""

    __slots__ = ()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request has been received."""
        if self._waiter is not None and not self._waiter.done():
            self.force_close()


class _Connections(web.Server):
    """Makes the connections of a server."""

    def __call__(self) -> web_protocol.RequestHandler:
        return _Connection(self, loop=self._loop, **self._kwargs)

    def close_idle(self) -> None:
        for connection in self.connections:
            assert isinstance(connection, _Connection)
            connection.close_if_idle()


class HttpServer:
    """An HTTP server at one address; listens while the context is entered."""

    def __init__(
        self,
        address: str,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        """Initialises the server; it does not listen yet.

        Args:
            address: IP address and port to listen on.
            handle: Answers a request; cancelled if the caller disconnects.
        """
        self._address = address
        self._handle = handle
        self._connections: _Connections
        self._runner: web.ServerRunner
        self._site: web.TCPSite

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        self._connections = _Connections(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            logger=_library_logger(),
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
            lingering_time=0.0,
        )
        self._runner = web.ServerRunner(
            self._connections, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port), backlog=BACKLOG)
        await self._site.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        await self._runner.cleanup()

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request under way.

        A request that is on its way is not read; its caller can tell, and may
        repeat it.
        """
        self._connections.close_idle()

    def _make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=MAX_BODY_BYTES,
        )


def _library_logger() -> logging.Logger:
    """Returns a disabled logger for the library's messages about requests.

    The handler logs every request itself, including those that it aborts.
    """
    library_logger = logging.getLogger("mangotally.http")
    library_logger.disabled = True
    return library_logger
