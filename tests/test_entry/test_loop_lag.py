"""A process that runs late says so."""

from __future__ import annotations

import asyncio
import unittest

from mangotally.entry import loop_lag
from mangotally.util import clock as clock_lib


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """A timer that runs late by the clock of the process."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.addCleanup(setattr, loop_lag, "PERIOD_MS", loop_lag.PERIOD_MS)
        loop_lag.PERIOD_MS = 10
        self.found = loop_lag.LoopLagMonitor(self.clock)
        task = asyncio.create_task(self.found.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)

    async def _pass(self, by_ms: float) -> None:
        self.clock.advance(by_ms)
        await asyncio.sleep(0.015)

    async def test_a_pause_is_logged_and_shown_once(self) -> None:
        with self.assertLogs(loop_lag.logger, "WARNING") as logs:
            await self._pass(510.0)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.found.take_max_lag_ms(), 500.0)
        self.assertEqual(self.found.take_max_lag_ms(), 0.0)

    async def test_load_is_logged_with_the_calls_served(self) -> None:
        self.found.count("place")
        self.found.count("place")
        with self.assertLogs(loop_lag.logger, "INFO") as logs:
            await self._pass(loop_lag.LOG_MS + 10.0)
        line = next(each for each in logs.records if each.msg == "load")
        self.assertEqual(line.__dict__["served_place"], 2)
        self.assertGreaterEqual(line.__dict__["processor"], 0.0)
        self.assertFalse(self.found.calls_served)

    async def test_a_timely_process_is_silent(self) -> None:
        with self.assertNoLogs(loop_lag.logger, "WARNING"):
            await self._pass(12.0)
        self.assertEqual(self.found.take_max_lag_ms(), 2.0)
