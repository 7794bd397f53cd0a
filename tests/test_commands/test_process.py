"""Tests of the startup and shutdown of a process."""

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
    """SIGTERM during startup and while running."""

    async def asyncSetUp(self) -> None:
        """Creates the list of observed events."""
        self.events: list[str] = []

    @contextlib.asynccontextmanager
    async def service(self, starts: bool) -> AsyncIterator[None]:
        """A service that sends SIGTERM to itself and may never start."""
        os.kill(os.getpid(), signal.SIGTERM)
        try:
            if not starts:
                await asyncio.Event().wait()
            self.events.append("started")
            yield
            self.events.append("stopped")
        except asyncio.CancelledError:
            self.events.append("cancelled")
            raise

    async def serve(self, starts: bool) -> None:
        """Runs the service as the main task of a process."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process._serve(lambda: self.service(starts))

    async def test_stop_while_running(self) -> None:
        """A service that has started is closed."""
        await self.serve(starts=True)
        self.assertEqual(self.events, ["started", "stopped"])

    async def test_stop_while_starting(self) -> None:
        """A pending startup, such as a wait for the log, is cancelled."""
        await self.serve(starts=False)
        self.assertEqual(self.events, ["cancelled"])

    async def test_failed_start(self) -> None:
        """The exception of a failed startup is raised to the caller."""

        @contextlib.asynccontextmanager
        async def fail() -> AsyncIterator[None]:
            raise OSError("no port")
            yield

        with self.assertRaisesRegex(OSError, "no port"):
            await process._serve(fail)


class PortTest(unittest.IsolatedAsyncioTestCase):
    """Ports that are already in use."""

    async def test_port_of_another_process(self) -> None:
        """The error names the address that cannot be bound."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            with self.assertRaisesRegex(OSError, address):
                async with link.Server(router.Router(), address):
                    pass
