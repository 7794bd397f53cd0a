"""Base class of the stand-ins: an HTTP server."""

from __future__ import annotations

import contextlib
from typing import Self

from aiohttp import web


class StandIn:
    """Serves an aiohttp application on its own port; a context manager."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Creates a stand-in; with port 0, the system selects a free port."""
        self._address = address
        self._port = port
        self._stack = contextlib.AsyncExitStack()
        self.url = ""
        self._site: web.TCPSite
        self._server: web.Server | None = None

    def application(self) -> web.Application:
        """Returns the aiohttp application to serve."""
        raise NotImplementedError

    async def __aenter__(self) -> Self:
        """Starts the server and sets `url`."""
        await self.start()
        return self

    async def start(self) -> None:
        """Starts the server; a restart uses the same port as before."""
        runner = web.AppRunner(
            self.application(),
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, self._address, self._port)
        await site.start()
        self._site = site
        self._server = runner.server
        host, port = runner.addresses[0][:2]
        self._port = port
        self.url = f"http://{host}:{port}"

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the server."""
        await self.stop()

    async def crash(self) -> None:
        """Aborts all connections, and accepts no more of them."""
        await self._site.stop()
        assert self._server is not None
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def stop(self) -> None:
        """Stops the server and closes all connections; `start` restarts it."""
        await self._stack.aclose()
