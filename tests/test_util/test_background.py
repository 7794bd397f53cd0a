"""Tests of background tasks."""

from __future__ import annotations

import asyncio
import signal
import unittest
from unittest import mock

from mangotally import errors
from mangotally.util import background


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    """Tasks that raise an exception."""

    async def test_task_that_raises_is_restarted(self) -> None:
        """A single bad input does not end a task permanently."""
        runs: list[int] = []
        running = asyncio.Event()

        async def run() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise ValueError("bad input")
            running.set()
            await asyncio.Event().wait()

        tasks = background.BackgroundTasks(run)
        with (
            mock.patch.object(background, "RESTART_DELAY_MS", 0),
            self.assertLogs(background.logger, "ERROR") as found,
        ):
            tasks.start()
            await running.wait()
            await tasks.stop()
        self.assertEqual(runs, [0, 1, 2])
        events = [item.getMessage() for item in found.records]
        self.assertEqual(events, ["task_failed", "task_failed"])

    async def test_broken_invariant_stops_the_process(self) -> None:
        """The task is not restarted."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        self.addCleanup(loop.remove_signal_handler, signal.SIGTERM)

        async def run() -> None:
            raise errors.InvariantError("two holders")

        tasks = background.BackgroundTasks(run)
        with self.assertLogs(background.logger, "CRITICAL"):
            tasks.start()
            await stopped.wait()
            await tasks.stop()
        self.assertTrue(stopped.is_set())


class DetachedTest(unittest.IsolatedAsyncioTestCase):
    """Tasks that their starter does not await."""

    async def test_waits_for_tasks_that_tasks_start(self) -> None:
        """`wait_idle` also waits for tasks that other tasks start."""
        ended: list[str] = []
        tasks = background.DetachedTasks()

        async def second() -> None:
            await asyncio.sleep(0)
            ended.append("second")

        async def first() -> None:
            await asyncio.sleep(0)
            tasks.start(second())
            ended.append("first")

        tasks.start(first())
        await tasks.wait_idle()
        self.assertEqual(ended, ["first", "second"])

    async def test_failed_task_ends(self) -> None:
        """Its exception remains available to the code that started it."""

        async def fail() -> None:
            raise ValueError("bad")

        tasks = background.DetachedTasks()
        task = tasks.start(fail())
        await tasks.wait_idle()
        self.assertIsInstance(task.exception(), ValueError)
