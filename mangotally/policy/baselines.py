"""Simple schedulers, to compare with."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import pools

if TYPE_CHECKING:
    from collections.abc import Sequence


class _Baseline:
    """Keeps calls in the order of their arrival; a subclass chooses."""

    def __init__(self) -> None:
        self.targets: dict[ids.TargetId, pools.TargetInfo] = {}
        self.busy: collections.Counter[ids.TargetId] = collections.Counter()
        self._queue: collections.OrderedDict[ids.CallId, pools.PoolCall] = (
            collections.OrderedDict()
        )
        self._running: dict[ids.CallId, ids.TargetId] = {}
        self._held: dict[ids.ProgramId, set[ids.TargetId]] = {}
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
        """Takes back a call that waits or was dispatched."""
        if self._queue.pop(call, None) is None:
            self._free(call)

    def finish(self, report: pools.CallReport, now_ms: float) -> None:
        """Reports the end of a dispatched call."""
        self._free(report.call)

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """A program is gone; its prefixes are to be released."""
        for target in sorted(self._held.pop(program, set())):
            self._releases.append(pools.Release(target, program))

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """A target has confirmed a release."""

    def observe_load(
        self, target: ids.TargetId, report: pools.LoadReport, now_ms: float
    ) -> None:
        """Takes in a load report."""

    def observe_cache(
        self,
        target: ids.TargetId,
        events: Sequence[pools.CacheEvent],
        now_ms: float,
    ) -> None:
        """Takes in cache events."""

    def advance(self, now_ms: float) -> list[pools.Action]:
        """Returns what has to be done now, in order."""
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
            self._held.setdefault(call.program, set()).add(info.target)
            actions.append(pools.Dispatch(call.call, info.target, info.address))
        return actions

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Returns None: nothing is due without an event."""
        return None

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the target of the next call, or None to wait."""
        raise NotImplementedError

    def candidates(self, call: pools.PoolCall) -> list[pools.TargetInfo]:
        """Returns the live targets that the call may run at."""
        return [
            info
            for info in self.targets.values()
            if info.state is pools.TargetState.LIVE
            and info.target not in call.excluded
        ]

    def least_loaded(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the candidate with the fewest calls under way."""
        return min(
            self.candidates(call),
            key=lambda info: (self.busy[info.target], info.target),
            default=None,
        )

    def _free(self, call: ids.CallId) -> None:
        target = self._running.pop(call, None)
        if target is not None:
            self.busy[target] -= 1


class FirstComeScheduler(_Baseline):
    """First come first served, within the slots, to the least loaded."""

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the least loaded target if it has a free slot."""
        free = [
            info
            for info in self.candidates(call)
            if self.busy[info.target] < info.slots
        ]
        return min(
            free,
            key=lambda info: (self.busy[info.target], info.target),
            default=None,
        )


class RoundRobinScheduler(_Baseline):
    """Sends every call at once, to each target in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._next = 0

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the next target."""
        found = self.candidates(call)
        if not found:
            return None
        self._next += 1
        return found[self._next % len(found)]


class LeastLoadedScheduler(_Baseline):
    """Sends every call at once, to the least loaded target."""

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the least loaded target."""
        return self.least_loaded(call)


class PrefixAffinityScheduler(_Baseline):
    """Sends every call at once, to the target that had its program last."""

    def __init__(self) -> None:
        super().__init__()
        self._last: dict[ids.ProgramId, ids.TargetId] = {}

    def choose(self, call: pools.PoolCall) -> pools.TargetInfo | None:
        """Returns the program's last target, else the least loaded."""
        info = self.targets.get(self._last.get(call.program, ids.TargetId("")))
        if info is None or info not in self.candidates(call):
            info = self.least_loaded(call)
        if info is not None:
            self._last[call.program] = info.target
        return info

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """A program is gone; its prefixes are to be released."""
        self._last.pop(program, None)
        super().end_program(program, now_ms)
