"""A log in memory, whose answers can be lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib

if TYPE_CHECKING:
    from collections.abc import Sequence


class FakeLog:
    """Keeps records; `refuse` and `lose` make the next calls fail."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, int], list[bytes]] = {}
        self.reads = 0
        # Reads that no other read was under way with.
        self.rounds = 0
        self._reading = 0
        self.appends = 0
        self.refuse = 0
        self.lose = 0
        # Records before these offsets have been deleted.
        self.first: dict[tuple[str, int], int] = {}

    async def append(
        self,
        topic: log_lib.Topic,
        partition: int,
        records: Sequence[bytes],
        at: log_lib.Offset | None = None,
    ) -> log_lib.Appended | log_lib.EndMoved | log_lib.Unavailable:
        """Appends; a lost answer has appended all the same."""
        await asyncio.sleep(0)
        self.appends += 1
        if self.refuse:
            self.refuse -= 1
            return log_lib.Unavailable("refused")
        found = self.records.setdefault((topic, partition), [])
        if at is not None and at != len(found):
            return log_lib.EndMoved(log_lib.Offset(len(found)))
        first = log_lib.Offset(len(found))
        found.extend(records)
        end = log_lib.Offset(len(found))
        if self.lose:
            self.lose -= 1
            return log_lib.Unavailable("lost")
        # A caller may be cancelled before it has the answer.
        await asyncio.sleep(0)
        return log_lib.Appended(first, end)

    async def read(
        self,
        topic: log_lib.Topic,
        partition: int,
        first: log_lib.Offset,
        wait_ms: int = 0,
        max_kb: int = log_lib.MAX_READ_KB,
    ) -> log_lib.Batch | log_lib.Trimmed | log_lib.Unavailable:
        """Reads; waits for nothing."""
        self.rounds += not self._reading
        self._reading += 1
        await asyncio.sleep(0)
        self._reading -= 1
        self.reads += 1
        if self.refuse:
            self.refuse -= 1
            return log_lib.Unavailable("refused")
        oldest = self.first.get((topic, partition), 0)
        if first < oldest:
            return log_lib.Trimmed(log_lib.Offset(oldest))
        found = self.records.get((topic, partition), [])
        end = log_lib.Offset(len(found))
        return log_lib.Batch(first, tuple(found[first : first + 5]), end)
