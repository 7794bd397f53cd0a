"""Where programs' prefixes are cached, and their release."""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

from mangotally.policy import pools

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from mangotally import ids

RELEASE_RETRY_MS = 1000.0
GONE_MEMORY = 4096
EVENT_LATENESS_MS = 4000.0


class TargetCache:
    """The estimated prefix cache of one target."""

    def __init__(self) -> None:
        self.capacity_tokens: int | None = None
        self.total_tokens = 0
        self._tokens: collections.OrderedDict[
            ids.ProgramId, tuple[int, float]
        ] = collections.OrderedDict()

    def tokens(self, program: ids.ProgramId) -> int:
        """Returns the length of a program's cached prefix."""
        found = self._tokens.get(program)
        return found[0] if found else 0

    def store(self, program: ids.ProgramId, tokens: int, now_ms: float) -> None:
        """Notes that a prefix was used; evicts what no longer fits."""
        self.drop(program)
        self._tokens[program] = (tokens, now_ms)
        self.total_tokens += tokens
        self._evict()

    def drop(self, program: ids.ProgramId) -> None:
        """Notes that a prefix is gone."""
        found = self._tokens.pop(program, None)
        if found:
            self.total_tokens -= found[0]

    def observe(self, event: pools.CacheEvent, now_ms: float) -> None:
        """Takes in an event, unless what was sent later outdates it."""
        found = self._tokens.get(event.program)
        if event.kind is pools.CacheEventKind.STORED:
            if found is None:
                self.store(event.program, event.tokens, now_ms)
            return
        if found and now_ms - found[1] > EVENT_LATENESS_MS:
            self.drop(event.program)

    def _evict(self) -> None:
        if self.capacity_tokens is None:
            return
        while self.total_tokens > self.capacity_tokens and self._tokens:
            _, (tokens, _) = self._tokens.popitem(last=False)
            self.total_tokens -= tokens


class Releases:
    """Prefixes of programs that are gone, until targets confirm."""

    def __init__(self) -> None:
        self._used: dict[ids.ProgramId, tuple[ids.TargetId, ...]] = {}
        self._gone: collections.OrderedDict[ids.ProgramId, None] = (
            collections.OrderedDict()
        )
        self._pending: dict[tuple[ids.TargetId, ids.ProgramId], float] = {}
        self._due: list[tuple[float, ids.TargetId, ids.ProgramId]] = []

    def use(self, target: ids.TargetId, program: ids.ProgramId) -> None:
        """Notes that a target may hold a prefix from now on."""
        used = self._used.get(program, ())
        if target not in used:
            self._used[program] = (*used, target)

    def targets(self, program: ids.ProgramId) -> tuple[ids.TargetId, ...]:
        """Returns the targets that may hold a program's prefix."""
        return self._used.get(program, ())

    def end(self, program: ids.ProgramId, now_ms: float) -> None:
        """Begins to release a program's prefixes."""
        self._gone[program] = None
        while len(self._gone) > GONE_MEMORY:
            self._gone.popitem(last=False)
        for target in self._used.pop(program, ()):
            self._schedule(target, program, now_ms)

    def stored(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Notes a prefix; releases it if its program is gone."""
        if program in self._gone:
            self._schedule(target, program, now_ms)

    def confirm(self, target: ids.TargetId, program: ids.ProgramId) -> None:
        """Notes that a target holds a program's prefix no more."""
        self._pending.pop((target, program), None)

    def due(
        self, live: Collection[ids.TargetId], now_ms: float
    ) -> list[pools.Release]:
        """Returns the releases to send now; each is sent again later.

        Args:
            live: The targets that can be reached.
            now_ms: Current time.
        """
        found = []
        while self._due and self._due[0][0] <= now_ms:
            due_ms, target, program = heapq.heappop(self._due)
            if self._pending.get((target, program)) != due_ms:
                continue
            if target in live:
                found.append(pools.Release(target, program))
            self._schedule(target, program, now_ms + RELEASE_RETRY_MS)
        return found

    def next_ms(self) -> float | None:
        """Returns when a release is due, or None."""
        while self._due:
            due_ms, target, program = self._due[0]
            if self._pending.get((target, program)) == due_ms:
                return due_ms
            heapq.heappop(self._due)
        return None

    def pending(self) -> Sequence[tuple[ids.TargetId, ids.ProgramId]]:
        """Returns the releases that no target has confirmed."""
        return list(self._pending)

    def _schedule(
        self, target: ids.TargetId, program: ids.ProgramId, due_ms: float
    ) -> None:
        self._pending[target, program] = due_ms
        heapq.heappush(self._due, (due_ms, target, program))
