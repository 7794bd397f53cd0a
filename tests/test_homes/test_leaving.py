"""Tests of mangotally.homes.leaving."""

from __future__ import annotations

import asyncio
import unittest

from mangotally.callers import readiness
from mangotally.homes import leaving


class _Fleet:
    def __init__(self, steps: list[str], gate: readiness.Readiness) -> None:
        self._steps = steps
        self._gate = gate

    async def leave(self) -> None:
        self._steps.append(f"leave, {self._gate.state.value}")


class _Worker:
    def __init__(self, steps: list[str], is_idle: bool) -> None:
        self._steps = steps
        self._is_idle = is_idle

    async def wait_idle(self) -> None:
        self._steps.append("wait")
        if not self._is_idle:
            await asyncio.Event().wait()


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """The order of a shutdown, and its bound."""

    async def test_order(self) -> None:
        """The view is left after new work is refused, before the wait."""
        steps: list[str] = []
        gate = readiness.Readiness()
        worker = _Worker(steps, is_idle=True)
        await leaving.GracefulShutdown(
            gate, _Fleet(steps, gate), (worker,), 0, 1000
        ).run()
        self.assertEqual(steps, ["leave, refusing", "wait"])

    async def test_bound(self) -> None:
        """Work that never ends does not keep the host for ever."""
        steps: list[str] = []
        gate = readiness.Readiness()
        worker = _Worker(steps, is_idle=False)
        with self.assertLogs("mangotally.homes.leaving", "WARNING") as logs:
            await leaving.GracefulShutdown(
                gate, _Fleet(steps, gate), (worker,), 0, 1
            ).run()
        self.assertIn("requests_cut", logs.output[0])
