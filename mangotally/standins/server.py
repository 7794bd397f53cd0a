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
        host, port = runner.addresses[0][:2]
        self._port = port
        self.url = f"http://{host}:{port}"

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the server."""
        await self.stop()

    async def stop(self) -> None:
        """Stops the server and closes all connections; `start` restarts it."""
        await self._stack.aclose()
