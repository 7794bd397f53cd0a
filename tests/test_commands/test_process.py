"""Tests of a process's start and stop."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import unittest
from typing import TYPE_CHECKING

from mangotally.commands import process
from mangotally.hosts import link, router

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STOP_TIMEOUT_S = 10


class StopTest(unittest.IsolatedAsyncioTestCase):
    """SIGTERM at any time."""

    async def asyncSetUp(self) -> None:
        """Keeps what happened."""
        self.seen: list[str] = []

    @contextlib.asynccontextmanager
    async def service(self, starts: bool) -> AsyncIterator[None]:
        """A service that may never start; it has itself stopped."""
        os.kill(os.getpid(), signal.SIGTERM)
        try:
            if not starts:
                await asyncio.Event().wait()
            self.seen.append("started")
            yield
            self.seen.append("stopped")
        except asyncio.CancelledError:
            self.seen.append("cancelled")
            raise

    async def serve(self, starts: bool) -> None:
        """Runs the service as a process's work."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process._serve(lambda: self.service(starts))

    async def test_stop_while_running(self) -> None:
        """A service that has started is closed."""
        await self.serve(starts=True)
        self.assertEqual(self.seen, ["started", "stopped"])

    async def test_stop_while_starting(self) -> None:
        """A start that waits, as for the log, is given up."""
        await self.serve(starts=False)
        self.assertEqual(self.seen, ["cancelled"])

    async def test_failed_start(self) -> None:
        """The reason of a failed start reaches the command."""

        @contextlib.asynccontextmanager
        async def fail() -> AsyncIterator[None]:
            raise OSError("no port")
            yield

        with self.assertRaisesRegex(OSError, "no port"):
            await process._serve(fail)


class PortTest(unittest.IsolatedAsyncioTestCase):
    """Ports that are taken."""

    async def test_port_of_another_process(self) -> None:
        """The server for hosts says which address it cannot have."""
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            with self.assertRaisesRegex(OSError, address):
                async with link.Server(router.Router(), address):
                    pass
