"""Turns that are running; repeated requests join them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors
from mangotally.util import background

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Coroutine

    from mangotally.policy import programs


class ActiveTurn:
    """A running turn and the events that it has produced so far."""

    def __init__(self, digest: str) -> None:
        """Creates a turn without events.

        Args:
            digest: Digest of its request.
        """
        self.digest = digest
        self.task: asyncio.Task[None] | None = None
        self._events: list[errors.Outcome[Any]] = []
        self._is_finished = False
        self._changed = asyncio.Event()

    def add_event(
        self, event: errors.Outcome[Any], is_last: bool = False
    ) -> None:
        """Adds an event; events after the last one are dropped."""
        if self._is_finished:
            return
        self._events.append(event)
        self._is_finished = is_last
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def cancel(self, event: errors.Outcome[Any]) -> None:
        """Ends the turn with an event and cancels its task."""
        self.add_event(event, is_last=True)
        if self.task is not None:
            self.task.cancel()

    async def events(self) -> AsyncIterator[errors.Outcome[Any]]:
        """Yields all events from the first one on, until the turn ends."""
        position = 0
        while True:
            while position < len(self._events):
                yield self._events[position]
                position += 1
            if self._is_finished:
                return
            await self._changed.wait()


class ActiveTurns:
    """The turns that are running on this host, each in its own task."""

    def __init__(self) -> None:
        self._turns: dict[programs.ProgramKey, dict[int, ActiveTurn]] = {}
        self._tasks = background.DetachedTasks()

    def __len__(self) -> int:
        return sum(len(turns) for turns in self._turns.values())

    def has_program(self, key: programs.ProgramKey) -> bool:
        """Returns whether a turn of a program is running."""
        return key in self._turns

    def find(self, request: programs.TurnRequest) -> ActiveTurn | None:
        """Returns the running turn with this number, or None.

        Its content may differ from that of the request.
        """
        return self._turns.get(_key(request), {}).get(request.turn)

    def add(self, request: programs.TurnRequest) -> ActiveTurn:
        """Adds a turn; `start` runs it."""
        turn = ActiveTurn(request.digest)
        self._turns.setdefault(_key(request), {})[request.turn] = turn
        return turn

    def start(
        self,
        request: programs.TurnRequest,
        turn: ActiveTurn,
        work: Awaitable[errors.Outcome[Any]],
    ) -> None:
        """Runs a turn; the result of `work` is its last event."""
        turn.task = self.spawn(_run(turn, work))
        turn.task.add_done_callback(lambda _: self._remove(request, turn))

    def cancel(self, key: programs.ProgramKey, failure: errors.Failure) -> None:
        """Ends the running turns of a program with a failure."""
        for turn in list(self._turns.get(key, {}).values()):
            turn.cancel(result.Failure(failure))

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task; `wait_idle` waits for it."""
        return self._tasks.start(work)

    async def wait_idle(self) -> None:
        """Waits until all tasks have ended."""
        await self._tasks.wait_idle()

    def _remove(self, request: programs.TurnRequest, turn: ActiveTurn) -> None:
        turn.add_event(
            errors.failed(
                errors.Reason.INTERNAL,
                "The turn ended without a result.",
                errors.Ran.MAY_HAVE_RUN,
            ),
            is_last=True,
        )
        turns = self._turns[_key(request)]
        del turns[request.turn]
        if not turns:
            del self._turns[_key(request)]


async def _run(turn: ActiveTurn, work: Awaitable[errors.Outcome[Any]]) -> None:
    turn.add_event(await work, is_last=True)


def _key(request: programs.TurnRequest) -> programs.ProgramKey:
    return (request.organisation, request.program)
