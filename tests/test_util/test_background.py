"""Tests of tasks that run in the background."""

from __future__ import annotations

import asyncio
import signal
import unittest
from unittest import mock

from mangotally import errors
from mangotally.util import background


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    """Tasks that raise, and tasks that are stopped."""

    async def test_task_that_raises_is_started_again(self) -> None:
        """One bad input does not end a task for good."""
        runs: list[int] = []
        running = asyncio.Event()

        async def run() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise ValueError("bad input")
            running.set()
            await asyncio.Event().wait()

        owner = background.BackgroundTasks(run)
        with (
            mock.patch.object(background, "RESTART_DELAY_MS", 0),
            self.assertLogs(background.logger, "ERROR") as found,
        ):
            owner.start()
            await running.wait()
            await owner.stop()
        self.assertEqual(runs, [0, 1, 2])
        events = [item.getMessage() for item in found.records]
        self.assertEqual(events, ["task_failed", "task_failed"])

    async def test_broken_invariant_stops_the_process(self) -> None:
        """It is not run again."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        self.addCleanup(loop.remove_signal_handler, signal.SIGTERM)

        async def run() -> None:
            raise errors.InvariantError("two holders")

        owner = background.BackgroundTasks(run)
        with self.assertLogs(background.logger, "CRITICAL"):
            owner.start()
            await stopped.wait()
            await owner.stop()
        self.assertTrue(stopped.is_set())


class DetachedTest(unittest.IsolatedAsyncioTestCase):
    """Tasks that nobody awaits."""

    async def test_waits_for_tasks_that_tasks_start(self) -> None:
        """Idle is when none is left."""
        ended: list[str] = []
        owner = background.DetachedTasks()

        async def second() -> None:
            await asyncio.sleep(0)
            ended.append("second")

        async def first() -> None:
            await asyncio.sleep(0)
            owner.start(second())
            ended.append("first")

        owner.start(first())
        await owner.wait_idle()
        self.assertEqual(ended, ["first", "second"])

    async def test_a_failed_task_ends_as_well(self) -> None:
        """Its starter may look at what it raised."""

        async def fail() -> None:
            raise ValueError("bad")

        owner = background.DetachedTasks()
        task = owner.start(fail())
        await owner.wait_idle()
        self.assertIsInstance(task.exception(), ValueError)
