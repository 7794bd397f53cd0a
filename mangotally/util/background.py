"""Owners of tasks."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from mangotally import errors
from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

RESTART_DELAY_MS = 1000
T = TypeVar("T")
TaskFunction = Callable[[], Coroutine[Any, Any, None]]


class BackgroundTasks:
    """Owns tasks that are started and stopped together.

    A task that raises is logged and started again after a pause, so that
    one bad input does not end it for good. A broken invariant stops the
    process.
    """

    def __init__(self, *runs: TaskFunction) -> None:
        """Makes the owner.

        Args:
            runs: What to run; each in a task of its own.
        """
        self._runs = runs
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks = [
            asyncio.create_task(_supervise(run)) for run in self._runs
        ]

    def cancel(self) -> None:
        """Asks the tasks to end, and waits for none."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Ends the tasks and waits for them."""
        self.cancel()
        tasks, self._tasks = self._tasks, []
        await asyncio.gather(*tasks, return_exceptions=True)


class DetachedTasks:
    """Owns tasks that end by themselves and that their starters don't await."""

    def __init__(self) -> None:
        """Makes an owner without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Starts a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_idle(self) -> None:
        """Waits until all tasks have ended, those started meanwhile too."""
        while self._tasks:
            await asyncio.wait(self._tasks)


async def _supervise(run: TaskFunction) -> None:
    while True:
        try:
            await run()
            return
        except errors.InvariantError:
            logger.critical("invariant_broken", exc_info=True)
            signal.raise_signal(signal.SIGTERM)
            return
        except Exception:
            logger.exception("task_failed", extra={"task": run.__qualname__})
        await asyncio.sleep(clock_lib.to_seconds(RESTART_DELAY_MS))
