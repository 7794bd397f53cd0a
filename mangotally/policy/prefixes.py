"""Where programs' prefixes are cached, and their release."""

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
MAX_ENDED_PROGRAMS = 4096
MAX_EVENT_DELAY_MS = 4000.0
IDLE_MS = 2 * 3600 * 1000.0
UNLISTED_TARGET_MS = 600_000.0


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
    """Where a program has run.

    Attributes:
        started_ms: When it ran first.
        used_ms: When it ran last.
        targets: Targets that may hold its prefix, the last one last.
    """

    started_ms: float
    used_ms: float
    targets: tuple[ids.TargetId, ...] = ()


class PrefixTracker:
    """Prefixes of programs that are gone, until targets confirm.

    A program that has not run for `IDLE_MS` counts as gone, and so does a
    target that was not listed for `ABSENT_MS` after the request.
    """

    def __init__(self) -> None:
        self._uses: collections.OrderedDict[ids.ProgramId, PrefixUse] = (
            collections.OrderedDict()
        )
        self._gone: collections.OrderedDict[ids.ProgramId, None] = (
            collections.OrderedDict()
        )
        self._pending: dict[
            tuple[ids.TargetId, ids.ProgramId], tuple[float, float]
        ] = {}
        self._due: list[tuple[float, ids.TargetId, ids.ProgramId]] = []

    def record_use(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Notes that a target may hold a prefix from now on."""
        use = self._uses.get(program)
        if use is None:
            use = PrefixUse(now_ms, now_ms)
            self._uses[program] = use
            self._gone.pop(program, None)
        use.used_ms = now_ms
        self._uses.move_to_end(program)
        if not use.targets or use.targets[-1] != target:
            others = tuple(name for name in use.targets if name != target)
            use.targets = (*others, target)

    def targets(self, program: ids.ProgramId) -> tuple[ids.TargetId, ...]:
        """Returns the targets that may hold a prefix, the last one last."""
        use = self._uses.get(program)
        return use.targets if use else ()

    def started_ms(self, program: ids.ProgramId) -> float | None:
        """Returns when a program ran first, or None."""
        use = self._uses.get(program)
        return use.started_ms if use else None

    def idle_programs(self, now_ms: float) -> list[ids.ProgramId]:
        """Returns programs that have not run for long."""
        found = []
        for program, use in self._uses.items():
            if now_ms - use.used_ms < IDLE_MS:
                break
            found.append(program)
        return found

    def release_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """Begins to release a program's prefixes."""
        self._gone[program] = None
        while len(self._gone) > MAX_ENDED_PROGRAMS:
            self._gone.popitem(last=False)
        use = self._uses.pop(program, None)
        for target in use.targets if use else ():
            self._schedule(target, program, now_ms, now_ms)

    def record_stored(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Notes a prefix; releases it if its program is gone."""
        if program in self._gone:
            self._schedule(target, program, now_ms, now_ms)

    def confirm(self, target: ids.TargetId, program: ids.ProgramId) -> None:
        """Notes that a target holds a program's prefix no more."""
        self._pending.pop((target, program), None)

    def due_releases(
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
            pending = self._pending.get((target, program))
            if pending is None or pending[0] != due_ms:
                continue
            asked_ms = pending[1]
            if target in live:
                found.append(pools.Release(target, program))
            elif now_ms - asked_ms > UNLISTED_TARGET_MS:
                del self._pending[target, program]
                continue
            self._schedule(target, program, now_ms + RELEASE_RETRY_MS, asked_ms)
        return found

    def next_release_ms(self) -> float | None:
        """Returns when a release is due, or None."""
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
        """Returns the releases that no target has confirmed."""
        return list(self._pending)

    def _schedule(
        self,
        target: ids.TargetId,
        program: ids.ProgramId,
        due_ms: float,
        asked_ms: float,
    ) -> None:
        self._pending[target, program] = (due_ms, asked_ms)
        heapq.heappush(self._due, (due_ms, target, program))
