"""Tests of mangotally.homes.leaving."""

from __future__ import annotations

import asyncio
import unittest

from mangotally.callers import readiness
from mangotally.homes import leaving


class _Fleet:
    def __init__(
        self, steps: list[str], host_readiness: readiness.Readiness
    ) -> None:
        self._steps = steps
        self._readiness = host_readiness

    async def leave(self) -> None:
        self._steps.append(f"leave, {self._readiness.state.value}")


class _Worker:
    def __init__(self, steps: list[str], is_idle: bool) -> None:
        self._steps = steps
        self._is_idle = is_idle

    async def wait_idle(self) -> None:
        self._steps.append("wait")
        if not self._is_idle:
            await asyncio.Event().wait()


class GracefulShutdownTest(unittest.IsolatedAsyncioTestCase):
    """The order of the shutdown steps, and their time limit."""

    async def test_order(self) -> None:
        """The host refuses new requests, leaves the view, and then waits."""
        steps: list[str] = []
        host_readiness = readiness.Readiness()
        worker = _Worker(steps, is_idle=True)
        await leaving.GracefulShutdown(
            host_readiness, _Fleet(steps, host_readiness), (worker,), 0, 1000
        ).run()
        self.assertEqual(steps, ["leave, refusing", "wait"])

    async def test_time_limit(self) -> None:
        """Work that never ends does not block the shutdown."""
        steps: list[str] = []
        host_readiness = readiness.Readiness()
        worker = _Worker(steps, is_idle=False)
        with self.assertLogs("mangotally.homes.leaving", "WARNING") as logs:
            await leaving.GracefulShutdown(
                host_readiness, _Fleet(steps, host_readiness), (worker,), 0, 1
            ).run()
        self.assertIn("requests_cut", logs.output[0])
