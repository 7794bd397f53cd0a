"""The HTTP server of an entry host."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, Any, Self

from aiohttp import web

from mangotally.entry import caller_connections
from mangotally.util import background

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 1024
# Limits what one connection can deliver in one iteration of the event loop.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Answers are written by then; 0 would be no limit.
SHUTDOWN_TIMEOUT_S = 0.1


class HttpServer:
    """An HTTP server at one address; listens while the context is entered."""

    def __init__(
        self,
        address: str,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_connections: int,
    ) -> None:
        """Initialises the server; it does not listen yet.

        Args:
            address: IP address and port to listen on.
            handle: Answers a request; cancelled if the caller disconnects.
            max_connections: Beyond this number, idle connections are closed.
        """
        self._address = address
        self._handle = handle
        self._max_connections = max_connections
        self._connections: caller_connections.Connections
        self._runner: web.ServerRunner
        self._checks: background.BackgroundTasks

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        self._connections = caller_connections.Connections(
            self._handle,
            self._max_connections,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            logger=_library_logger(),
        )
        self._runner = web.ServerRunner(
            self._connections, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        site = web.SockSite(self._runner, _bind(self._address), backlog=BACKLOG)
        await site.start()
        self._checks = background.BackgroundTasks(self._connections.run)
        self._checks.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        await self._checks.stop()
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
        )


def _bind(address: str) -> socket.socket:
    """Returns a bound socket; its connections inherit its buffer size."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        bound.bind((host.strip("[]"), int(port)))
    except BaseException:
        bound.close()
        raise
    return bound


def _library_logger() -> logging.Logger:
    """Returns a disabled logger for the library's messages about requests.

    The handler logs every request itself, including those that it aborts.
    """
    library_logger = logging.getLogger("mangotally.http")
    library_logger.disabled = True
    return library_logger
