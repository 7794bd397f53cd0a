"""Ownership and supervision of asyncio tasks."""

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
    """A group of background tasks that are started and stopped together.

    If a task raises, the exception is logged and the task is restarted
    after a delay, so that a single bad input does not end it permanently.
    A broken invariant stops the process.
    """

    def __init__(self, *functions: TaskFunction) -> None:
        """Stores the functions to run.

        Args:
            functions: Coroutine functions, each run in its own task.
        """
        self._functions = functions
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks = [
            asyncio.create_task(_supervise(function))
            for function in self._functions
        ]

    def cancel(self) -> None:
        """Cancels the tasks without waiting for them to end."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Cancels the tasks and waits until they have ended."""
        self.cancel()
        tasks, self._tasks = self._tasks, []
        await asyncio.gather(*tasks, return_exceptions=True)


class DetachedTasks:
    """Tasks that end by themselves and need not be awaited by their starter."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Starts a coroutine as a task and keeps a reference until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_idle(self) -> None:
        """Waits until all tasks have ended, including any started meanwhile."""
        while self._tasks:
            await asyncio.wait(self._tasks)


async def _supervise(function: TaskFunction) -> None:
    while True:
        try:
            await function()
            return
        except errors.InvariantError:
            logger.critical("invariant_broken", exc_info=True)
            signal.raise_signal(signal.SIGTERM)
            return
        except Exception:
            logger.exception(
                "task_failed", extra={"task": function.__qualname__}
            )
        await asyncio.sleep(clock_lib.to_seconds(RESTART_DELAY_MS))
