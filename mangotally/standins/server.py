"""A stand-in's HTTP server on a free port of the loopback."""

from __future__ import annotations

import contextlib
from typing import Self

from aiohttp import web


class StandIn:
    """An aiohttp application on its own port; entering it starts it."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Makes a stand-in; port 0 takes a free one."""
        self._address = address
        self._port = port
        self._stack = contextlib.AsyncExitStack()
        self.url = ""

    def application(self) -> web.Application:
        """Returns the application to serve."""
        raise NotImplementedError

    async def __aenter__(self) -> Self:
        """Starts to listen and sets `url`."""
        await self.start()
        return self

    async def start(self) -> None:
        """Starts to listen, on the same port as before if there was one."""
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
        """Stops to listen."""
        await self.stop()

    async def stop(self) -> None:
        """Closes all connections; `start` listens again."""
        await self._stack.aclose()
