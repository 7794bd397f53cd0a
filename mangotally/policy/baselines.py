"""Baseline schedulers that the fair scheduler is compared with."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import pools

if TYPE_CHECKING:
    from collections.abc import Sequence


class _Baseline:
    """A scheduler with a FIFO queue; subclasses choose the target."""

    def __init__(self) -> None:
        self.targets: dict[ids.TargetId, pools.TargetInfo] = {}
        self.busy: collections.Counter[ids.TargetId] = collections.Counter()
        self._queue: collections.OrderedDict[ids.CallId, pools.PoolCall] = (
            collections.OrderedDict()
        )
        self._running: dict[ids.CallId, ids.TargetId] = {}
        self._used_targets: dict[ids.ProgramId, set[ids.TargetId]] = {}
        self._releases: list[pools.Release] = []

    def set_targets(
        self, targets: Sequence[pools.TargetInfo], now_ms: float
    ) -> None:
        """Replaces the targets of the pool."""
        self.targets = {info.target: info for info in targets}

    def submit(self, call: pools.PoolCall, now_ms: float) -> None:
        """Adds a call to the queue."""
        self._queue[call.call] = call

    def cancel(self, call: ids.CallId, now_ms: float) -> None:
        """Cancels a waiting or dispatched call."""
        if self._queue.pop(call, None) is None:
            self._release_slot(call)

    def finish(self, report: pools.CallReport, now_ms: float) -> None:
        """Records the end of a dispatched call."""
        self._release_slot(report.call)

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """Queues the release of the prefixes of a program that has ended."""
        for target in sorted(self._used_targets.pop(program, set())):
            self._releases.append(pools.Release(target, program))

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Ignores the confirmation; releases are sent only once."""

    def observe_load(
        self, target: ids.TargetId, report: pools.LoadReport, now_ms: float
    ) -> None:
        """Ignores load reports."""

    def observe_cache(
        self,
        target: ids.TargetId,
        events: Sequence[pools.CacheEvent],
        now_ms: float,
    ) -> None:
        """Ignores cache events."""

    def advance(self, now_ms: float) -> list[pools.Action]:
        """Returns the actions to execute now, in order."""
        actions: list[pools.Action] = list(self._releases)
        self._releases.clear()
        while self._queue:
            call = next(iter(self._queue.values()))
            info = self.choose(call)
            if info is None:
                break
            del self._queue[call.call]
            self._running[call.call] = info.target
            self.busy[info.target] += 1
            self._used_targets.setdefault(call.program, set()).add(info.target)
            actions.append(pools.Dispatch(call.call, info.target, info.address))
        return actions

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Returns None: this scheduler has no timers."""
        return None

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the target for the next call, or None to keep it queued."""
        raise NotImplementedError

    def candidates(self, call: pools.PoolCall) -> list[pools.TargetInfo]:
        """Returns the live targets that the call does not exclude."""
        return [
            info
            for info in self.targets.values()
            if info.state is pools.TargetState.LIVE
            and info.target not in call.excluded
        ]

    def least_loaded(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the candidate with the fewest running calls."""
        return min(
            self.candidates(call),
            key=lambda info: (self.busy[info.target], info.target),
            default=None,
        )

    def _release_slot(self, call: ids.CallId) -> None:
        target = self._running.pop(call, None)
        if target is not None:
            self.busy[target] -= 1


class FirstComeScheduler(_Baseline):
    """First come, first served: the least loaded target with a free slot."""

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the least loaded target that has a free slot, or None."""
        with_free_slot = [
            info
            for info in self.candidates(call)
            if self.busy[info.target] < info.slots
        ]
        return min(
            with_free_slot,
            key=lambda info: (self.busy[info.target], info.target),
            default=None,
        )


class RoundRobinScheduler(_Baseline):
    """Dispatches each call immediately, to the targets in rotation."""

    def __init__(self) -> None:
        super().__init__()
        self._next = 0

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the next target in the rotation."""
        candidates = self.candidates(call)
        if not candidates:
            return None
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastLoadedScheduler(_Baseline):
    """Dispatches each call immediately, to the least loaded target."""

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the least loaded target."""
        return self.least_loaded(call)


class PrefixAffinityScheduler(_Baseline):
    """Dispatches each call immediately, to its program's last target."""

    def __init__(self) -> None:
        super().__init__()
        self._last_targets: dict[ids.ProgramId, ids.TargetId] = {}

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the program's last target if usable, or the least loaded."""
        info = self.targets.get(
            self._last_targets.get(call.program, ids.TargetId(""))
        )
        if info is None or info not in self.candidates(call):
            info = self.least_loaded(call)
        if info is not None:
            self._last_targets[call.program] = info.target
        return info

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """Forgets the program's target and releases its prefixes."""
        self._last_targets.pop(program, None)
        super().end_program(program, now_ms)
