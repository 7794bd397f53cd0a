"""Turns under way, which repeated requests may join."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors
from mangotally.util import background

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Coroutine

    from mangotally.policy import programs


class Running:
    """A turn under way and the events it has given so far."""

    def __init__(self, digest: str) -> None:
        """Makes a turn without events.

        Args:
            digest: Digest of its request.
        """
        self.digest = digest
        self.task: asyncio.Task[None] | None = None
        self._events: list[errors.Outcome[Any]] = []
        self._finished = False
        self._changed = asyncio.Event()

    def put(self, event: errors.Outcome[Any], last: bool = False) -> None:
        """Adds an event; nothing follows the last one."""
        if self._finished:
            return
        self._events.append(event)
        self._finished = last
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def cancel(self, event: errors.Outcome[Any]) -> None:
        """Ends the turn with an event and stops its work."""
        self.put(event, last=True)
        if self.task is not None:
            self.task.cancel()

    async def follow(self) -> AsyncIterator[errors.Outcome[Any]]:
        """Yields all events, from the first one on."""
        position = 0
        while True:
            while position < len(self._events):
                yield self._events[position]
                position += 1
            if self._finished:
                return
            await self._changed.wait()


class RunningTurns:
    """The turns under way at this host, each in a task of its own."""

    def __init__(self) -> None:
        self._turns: dict[programs.ProgramKey, dict[int, Running]] = {}
        self._tasks = background.DetachedTasks()

    def __len__(self) -> int:
        return sum(len(turns) for turns in self._turns.values())

    def has(self, key: programs.ProgramKey) -> bool:
        """Returns whether a turn of a program is under way."""
        return key in self._turns

    def find(self, wanted: programs.TurnRequest) -> Running | None:
        """Returns a turn under way, whatever its content, or None."""
        return self._turns.get(_key(wanted), {}).get(wanted.turn)

    def add(self, wanted: programs.TurnRequest) -> Running:
        """Adds a turn; `start` sets it to work."""
        running = Running(wanted.digest)
        self._turns.setdefault(_key(wanted), {})[wanted.turn] = running
        return running

    def start(
        self,
        wanted: programs.TurnRequest,
        running: Running,
        work: Awaitable[errors.Outcome[Any]],
    ) -> None:
        """Runs a turn; what the work returns is its last event."""
        running.task = self.spawn(_run(running, work))
        running.task.add_done_callback(lambda _: self._remove(wanted, running))

    def cancel(self, key: programs.ProgramKey, failure: errors.Failure) -> None:
        """Ends a program's turns under way with a failure."""
        for running in list(self._turns.get(key, {}).values()):
            running.cancel(result.Failure(failure))

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that `wait_idle` waits for."""
        return self._tasks.start(work)

    async def wait_idle(self) -> None:
        """Waits until all work is done."""
        await self._tasks.wait_idle()

    def _remove(self, wanted: programs.TurnRequest, running: Running) -> None:
        running.put(
            errors.failed(
                errors.Reason.INTERNAL,
                "The turn broke off.",
                errors.Ran.MAY_HAVE_RUN,
            ),
            last=True,
        )
        turns = self._turns[_key(wanted)]
        del turns[wanted.turn]
        if not turns:
            del self._turns[_key(wanted)]


async def _run(running: Running, work: Awaitable[errors.Outcome[Any]]) -> None:
    running.put(await work, last=True)


def _key(wanted: programs.TurnRequest) -> programs.ProgramKey:
    return (wanted.organisation, wanted.program)
