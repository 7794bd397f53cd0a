"""Tracking of cached prefixes at targets, and their release."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import pools

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence


RELEASE_RETRY_MS = 1000.0
# Number of ended programs that are remembered, so that their prefixes are also
# released if a target reports later that it has stored them.
MAX_ENDED_PROGRAMS = 4096
MAX_EVENT_DELAY_MS = 4000.0
IDLE_MS = 2 * 3600 * 1000.0
UNLISTED_TARGET_MS = 600_000.0


class TargetCache:
    """An estimate of the prefix cache of one target, with LRU eviction."""

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
        """Records the use of a prefix; evicts others over the capacity."""
        self.drop(program)
        self._tokens[program] = (tokens, now_ms)
        self.total_tokens += tokens
        self._evict()

    def drop(self, program: ids.ProgramId) -> None:
        """Removes a prefix from the estimate."""
        found = self._tokens.pop(program, None)
        if found:
            self.total_tokens -= found[0]

    def observe(self, event: pools.CacheEvent, now_ms: float) -> None:
        """Applies a cache event unless it may be older than the last use.

        An eviction is ignored within `MAX_EVENT_DELAY_MS` of the prefix's last
        use: it may have been sent before that use.
        """
        found = self._tokens.get(event.program)
        if event.kind is pools.CacheEventKind.STORED:
            if found is None:
                self.store(event.program, event.tokens, now_ms)
            return
        if found and now_ms - found[1] > MAX_EVENT_DELAY_MS:
            self.drop(event.program)

    def _evict(self) -> None:
        if self.capacity_tokens is None:
            return
        while self.total_tokens > self.capacity_tokens and self._tokens:
            _, (tokens, _) = self._tokens.popitem(last=False)
            self.total_tokens -= tokens


@dataclasses.dataclass(slots=True)
class PrefixUse:
    """When and where a program has run.

    Attributes:
        started_ms: When it first ran.
        last_used_ms: When it last ran.
        targets: Targets that may hold its prefix, the most recent last.
    """

    started_ms: float
    last_used_ms: float
    targets: tuple[ids.TargetId, ...] = ()


class PrefixTracker:
    """Tracks where prefixes are held and releases those of ended programs.

    Releases are repeated until the target confirms them. A program that has
    not run for `IDLE_MS` is treated as ended. A release at a target that is
    not listed is abandoned `UNLISTED_TARGET_MS` after it was requested.
    """

    def __init__(self) -> None:
        self._uses: collections.OrderedDict[ids.ProgramId, PrefixUse] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[ids.ProgramId, None] = (
            collections.OrderedDict()
        )
        self._pending: dict[
            tuple[ids.TargetId, ids.ProgramId], tuple[float, float]
        ] = {}
        self._due: list[tuple[float, ids.TargetId, ids.ProgramId]] = []

    def record_use(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Records that a target may hold a program's prefix from now on."""
        use = self._uses.get(program)
        if use is None:
            use = PrefixUse(now_ms, now_ms)
            self._uses[program] = use
            self._ended.pop(program, None)
        use.last_used_ms = now_ms
        self._uses.move_to_end(program)
        if not use.targets or use.targets[-1] != target:
            others = tuple(name for name in use.targets if name != target)
            use.targets = (*others, target)

    def targets(self, program: ids.ProgramId) -> tuple[ids.TargetId, ...]:
        """Returns the targets that may hold a prefix, the most recent last."""
        use = self._uses.get(program)
        return use.targets if use else ()

    def started_ms(self, program: ids.ProgramId) -> float | None:
        """Returns when a program first ran, or None."""
        use = self._uses.get(program)
        return use.started_ms if use else None

    def idle_programs(self, now_ms: float) -> list[ids.ProgramId]:
        """Returns the programs that have not run for `IDLE_MS`."""
        found = []
        for program, use in self._uses.items():
            if now_ms - use.last_used_ms < IDLE_MS:
                break
            found.append(program)
        return found

    def release_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """Schedules the release of all prefixes of a program."""
        self._ended[program] = None
        while len(self._ended) > MAX_ENDED_PROGRAMS:
            self._ended.popitem(last=False)
        use = self._uses.pop(program, None)
        for target in use.targets if use else ():
            self._schedule(target, program, now_ms, now_ms)

    def record_stored(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Schedules the release of a stored prefix if its program has ended."""
        if program in self._ended:
            self._schedule(target, program, now_ms, now_ms)

    def confirm(self, target: ids.TargetId, program: ids.ProgramId) -> None:
        """Records that a target no longer holds a program's prefix."""
        self._pending.pop((target, program), None)

    def due_releases(
        self, live: Collection[ids.TargetId], now_ms: float
    ) -> list[pools.Release]:
        """Returns the releases to send now, and schedules their retries.

        Args:
            live: The targets that are listed.
            now_ms: Current time.
        """
        found = []
        while self._due and self._due[0][0] <= now_ms:
            due_ms, target, program = heapq.heappop(self._due)
            pending = self._pending.get((target, program))
            if pending is None or pending[0] != due_ms:
                continue
            requested_ms = pending[1]
            if target in live:
                found.append(pools.Release(target, program))
            elif now_ms - requested_ms > UNLISTED_TARGET_MS:
                del self._pending[target, program]
                continue
            self._schedule(
                target, program, now_ms + RELEASE_RETRY_MS, requested_ms
            )
        return found

    def next_release_ms(self) -> float | None:
        """Returns when the next release is due, or None."""
        while self._due:
            due_ms, target, program = self._due[0]
            pending = self._pending.get((target, program))
            if pending is not None and pending[0] == due_ms:
                return due_ms
            heapq.heappop(self._due)
        return None

    def unconfirmed_releases(
        self,
    ) -> Sequence[tuple[ids.TargetId, ids.ProgramId]]:
        """Returns the releases that are not confirmed yet."""
        return list(self._pending)

    def _schedule(
        self,
        target: ids.TargetId,
        program: ids.ProgramId,
        due_ms: float,
        requested_ms: float,
    ) -> None:
        self._pending[target, program] = (due_ms, requested_ms)
        heapq.heappush(self._due, (due_ms, target, program))
