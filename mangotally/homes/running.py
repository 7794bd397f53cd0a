"""Turns under way, which repeated requests may join."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally import errors


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
