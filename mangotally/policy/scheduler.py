"""The fair scheduler of a pool.

Organisations share the pool by start-time fair queueing. Within an
organisation, programs with the least attained service go first.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import fairness, placement, pools, prefixes

if TYPE_CHECKING:
    from collections.abc import Sequence

# Cost of a generated token relative to a computed prompt token.
DECODE_WEIGHT = 10.0
# Smoothing factor of the moving average of answer lengths.
ANSWER_SMOOTHING = 0.1
INITIAL_ANSWER_TOKENS = 256.0
COMPACT_SLACK = 1024
MAX_PREFIX_TARGETS = 2
DEFAULT_SPEEDS = placement.SpeedModel()
DEFAULT_HEADROOM = fairness.Headroom()
DEFAULT_WEIGHTS = placement.PlacementWeights(
    paused_program=0.5, interference=1.5, recompute=5.0
)


@dataclasses.dataclass(frozen=True)
class Tuning:
    """Parameters of the scheduler.

    Attributes:
        speeds: Expected speed of a target.
        weights: Weights of the placement score.
        headroom: Slots reserved for organisations within their share, or
            None to reserve none.
        age_tokens_per_ms: Attained service, in tokens, that one millisecond
            of age offsets.
        age_from_program_start: Whether age is measured from the start of the
            program rather than from the arrival of the call.
        move_after_prefills: A call that waits for its prefix may move to
            another target after this many times the prefix's prefill time.
    """

    speeds: placement.SpeedModel = DEFAULT_SPEEDS
    weights: placement.PlacementWeights = DEFAULT_WEIGHTS
    headroom: fairness.Headroom | None = DEFAULT_HEADROOM
    age_tokens_per_ms: float = 1.0
    age_from_program_start: bool = True
    move_after_prefills: float = 10.0


@dataclasses.dataclass(slots=True)
class _RunningCall:
    """A call in flight at a target."""

    call: pools.PoolCall
    target: ids.TargetId
    charged: float


class FairScheduler:
    """Dispatches calls in fair order to the target with the lowest score.

    A call waits in the queue of its target or in a queue that all targets
    share. `advance` takes calls from the queues while targets have free slots.
    """

    def __init__(self, tuning: Tuning | None = None) -> None:
        self._tuning = tuning or Tuning()
        self._shares = fairness.Shares(self._tuning.headroom)
        self._target_pool = placement.TargetPool(
            self._shares, self._tuning.speeds, self._tuning.weights
        )
        self._prefixes = prefixes.PrefixTracker()
        self._shared_queue = fairness.CallQueue(self._shares)
        self._movable_queue = fairness.CallQueue(self._shares)
        self._ready_targets: dict[ids.TargetId, None] = {}
        self._queued_calls: dict[ids.CallId, fairness.QueuedCall] = {}
        self._running: dict[ids.CallId, _RunningCall] = {}
        self._unplaced: list[fairness.QueuedCall] = []
        self._new_calls: list[fairness.QueuedCall] = []
        self._sequence = itertools.count()
        self._deadlines: list[tuple[float, int, fairness.QueuedCall]] = []
        self._moves: list[tuple[float, int, fairness.QueuedCall]] = []
        self._refusals: list[pools.Refuse] = []
        self._answer_tokens = INITIAL_ANSWER_TOKENS

    def set_targets(
        self, targets: Sequence[pools.TargetInfo], now_ms: float
    ) -> None:
        """Replaces the targets of the pool."""
        removed = self._target_pool.replace(targets)
        for target in (*removed, *self._target_pool):
            if target not in self._target_pool or not target.live:
                self._repeat_placement(target.queue.entries(), now_ms)
        unplaced = [entry for entry in self._unplaced if entry.waiting]
        self._unplaced.clear()
        self._repeat_placement(unplaced, now_ms)
        for target in self._target_pool:
            self._check_ready(target)

    def submit(self, call: pools.PoolCall, now_ms: float) -> None:
        """Adds a call to the queue."""
        started_ms = now_ms
        if self._tuning.age_from_program_start:
            started_ms = self._started_ms(call.program, now_ms)
        key = call.attained_tokens + self._tuning.age_tokens_per_ms * started_ms
        entry = fairness.QueuedCall(call, key, now_ms)
        self._queued_calls[call.call] = entry
        self._shares.enqueue(call.organisation, call.share)
        self._new_calls.append(entry)
        self._place(entry)

    def cancel(self, call: ids.CallId, now_ms: float) -> None:
        """Cancels a waiting or dispatched call."""
        entry = self._queued_calls.pop(call, None)
        if entry is not None:
            entry.remove()
            self._shares.dequeue(entry.call.organisation)
            return
        self._end(call, None, now_ms)

    def finish(self, report: pools.CallReport, now_ms: float) -> None:
        """Records the end of a dispatched call."""
        self._end(report.call, report, now_ms)

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """Starts to release the prefixes of a program that has ended."""
        holders = self._prefixes.targets(program)
        for name in holders:
            target = self._target_pool.targets.get(name)
            if target is None:
                continue
            target.cache.drop(program)
            if name == holders[-1]:
                target.resident_programs = max(0, target.resident_programs - 1)
                self._target_pool.update_rank(target)
        self._prefixes.release_program(program, now_ms)

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Records that a target has confirmed a release."""
        self._prefixes.confirm(target, program)

    def observe_load(
        self, target: ids.TargetId, report: pools.LoadReport, now_ms: float
    ) -> None:
        """Applies a target's load report."""
        found = self._target_pool.targets.get(target)
        if found is not None:
            found.apply_load_report(report, now_ms)
            self._changed(found)

    def observe_cache(
        self,
        target: ids.TargetId,
        events: Sequence[pools.CacheEvent],
        now_ms: float,
    ) -> None:
        """Applies a target's cache events."""
        found = self._target_pool.targets.get(target)
        if found is None:
            return
        for event in events:
            if event.kind is pools.CacheEventKind.STORED:
                self._prefixes.record_stored(target, event.program, now_ms)
            found.cache.observe(event, now_ms)

    def advance(self, now_ms: float) -> list[pools.Action]:
        """Returns the actions to execute now, in order."""
        for program in self._prefixes.idle_programs(now_ms):
            self.end_program(program, now_ms)
        actions: list[pools.Action] = []
        actions += self._prefixes.due_releases(
            self._target_pool.targets, now_ms
        )
        self._expire(now_ms)
        self._release_moves(now_ms)
        while (found := self._next()) is not None:
            actions.append(self._dispatch(*found, now_ms))
        if self._new_calls:
            self._schedule_timers(now_ms)
        actions += self._refusals
        self._refusals.clear()
        return actions

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Returns when `advance` is due if no event occurs, or None."""
        times = [self._prefixes.next_release_ms()]
        for heap in (self._deadlines, self._moves):
            while heap and not heap[0][2].waiting:
                heapq.heappop(heap)
            if heap:
                times.append(heap[0][0])
        return min((at for at in times if at is not None), default=None)

    def _place(self, entry: fairness.QueuedCall) -> None:
        """Queues a call at the target with the lowest placement score.

        If that is the least loaded target anyway, the call goes to the shared
        queue instead, from which any target may take it.
        """
        call = entry.call
        least = self._target_pool.least_loaded(call.excluded)
        if least is None:
            if self._target_pool.least_loaded() is not None:
                self._refuse(entry, "The call excludes every live target.")
            else:
                self._unplaced.append(entry)
            return
        best = self._best_target(call, least)
        if best is least and not call.excluded:
            self._shared_queue.add(entry)
            return
        best.queue.add(entry)
        self._check_ready(best)

    def _best_target(
        self, call: pools.PoolCall, least: placement.Target
    ) -> placement.Target:
        """Returns the target with the lowest placement score for a call.

        The candidates are the least loaded target and the last
        `MAX_PREFIX_TARGETS` targets that may hold the program's prefix.
        """
        answer_tokens = min(float(call.max_tokens), self._answer_tokens)
        best = least
        best_ms: float | None = None
        for name in self._prefixes.targets(call.program)[-MAX_PREFIX_TARGETS:]:
            target = self._target_pool.targets.get(name)
            if target is None or target is least or not target.live:
                continue
            if name in call.excluded or not target.cache.tokens(call.program):
                continue
            if best_ms is None:
                best_ms = self._target_pool.placement_score_ms(
                    least, call, answer_tokens
                )
            finish_ms = self._target_pool.placement_score_ms(
                target, call, answer_tokens
            )
            if finish_ms < best_ms:
                best, best_ms = target, finish_ms
        return best

    def _repeat_placement(
        self, entries: Sequence[fairness.QueuedCall], now_ms: float
    ) -> None:
        """Repeats the placement of waiting calls."""
        for entry in entries:
            replacement = dataclasses.replace(entry, queues=[])
            entry.remove()
            call = entry.call
            self._queued_calls[call.call] = replacement
            self._new_calls.append(replacement)
            self._place(replacement)

    def _check_ready(self, target: placement.Target) -> None:
        name = target.info.target
        if (
            target in self._target_pool
            and target.queue.size
            and target.has_free_slot
        ):
            self._ready_targets[name] = None
        else:
            self._ready_targets.pop(name, None)

    def _changed(self, target: placement.Target) -> None:
        self._target_pool.update_rank(target)
        self._check_ready(target)

    def _next(self) -> tuple[placement.Target, fairness.QueuedCall] | None:
        """Returns the next call to dispatch and its target, or None."""
        while self._ready_targets:
            name = next(iter(self._ready_targets))
            target = self._target_pool.targets.get(name)
            if target is None or not target.has_free_slot:
                del self._ready_targets[name]
                continue
            restriction = self._restriction(target)
            own = target.queue.peek(restriction)
            if own is None:
                del self._ready_targets[name]
                continue
            return target, self._first(
                own, self._shared_queue.peek(restriction)
            )
        if not self._shared_queue.size and not self._movable_queue.size:
            return None
        least = self._target_pool.least_loaded()
        if least is None or not least.has_free_slot:
            return None
        restriction = self._restriction(least)
        entry = self._shared_queue.peek(
            restriction
        ) or self._movable_queue.peek(restriction)
        return None if entry is None else (least, entry)

    def _restriction(
        self, target: placement.Target
    ) -> fairness.AdmissionRestriction | None:
        """Returns which organisations' calls a target does not accept now."""
        return self._shares.restriction(
            target.load, target.info.slots, self._target_pool.slots
        )

    def _first(
        self, own: fairness.QueuedCall, other: fairness.QueuedCall | None
    ) -> fairness.QueuedCall:
        if other is None:
            return own
        if own.call.organisation == other.call.organisation:
            return min(own, other, key=lambda entry: entry.key)
        return min(
            own,
            other,
            key=lambda e: self._shares.virtual_time(e.call.organisation),
        )

    def _dispatch(
        self,
        target: placement.Target,
        entry: fairness.QueuedCall,
        now_ms: float,
    ) -> pools.Dispatch:
        call = entry.call
        entry.remove()
        del self._queued_calls[call.call]
        uncached = call.prompt_tokens - min(
            call.prompt_tokens, target.cache.tokens(call.program)
        )
        answer_tokens = min(float(call.max_tokens), self._answer_tokens)
        cost = uncached + DECODE_WEIGHT * answer_tokens
        self._shares.charge(call.organisation, cost, now_ms)
        name = target.info.target
        self._running[call.call] = _RunningCall(call, name, cost)
        self._record_use(call.program, target, now_ms)
        target.cache.store(call.program, call.prompt_tokens, now_ms)
        target.change_in_flight(1, now_ms)
        self._changed(target)
        return pools.Dispatch(call.call, name, target.info.address)

    def _record_use(
        self, program: ids.ProgramId, target: placement.Target, now_ms: float
    ) -> None:
        """Records that a program runs at a target, and no longer elsewhere."""
        holders = self._prefixes.targets(program)
        name = target.info.target
        if not holders or holders[-1] != name:
            target.resident_programs += 1
            previous = (
                self._target_pool.targets.get(holders[-1]) if holders else None
            )
            if previous is not None:
                previous.resident_programs = max(
                    0, previous.resident_programs - 1
                )
                self._target_pool.update_rank(previous)
        self._prefixes.record_use(name, program, now_ms)

    def _started_ms(self, program: ids.ProgramId, now_ms: float) -> float:
        """Returns when the root of the program's tree, or itself, started."""
        for name in (ids.root_of(program), program):
            started_ms = self._prefixes.started_ms(name)
            if started_ms is not None:
                return started_ms
        return now_ms

    def _end(
        self,
        call: ids.CallId,
        report: pools.CallReport | None,
        now_ms: float,
    ) -> None:
        running = self._running.pop(call, None)
        if running is None:
            return
        done = report is not None and report.end is pools.CallEnd.DONE
        organisation = running.call.organisation
        program = running.call.program
        target = self._target_pool.find(running.target)
        if target is not None:
            target.change_in_flight(-1, now_ms)
            self._changed(target)
        self._prefixes.record_stored(running.target, program, now_ms)
        if report is None or not done:
            if target is not None:
                target.cache.drop(program)
            self._shares.settle(organisation, -running.charged, now_ms)
            return
        uncached = running.call.prompt_tokens - report.cached_tokens
        cost = uncached + DECODE_WEIGHT * report.generated_tokens
        self._shares.settle(organisation, cost - running.charged, now_ms)
        self._answer_tokens += ANSWER_SMOOTHING * (
            report.generated_tokens - self._answer_tokens
        )
        if target is not None:
            tokens = running.call.prompt_tokens + report.generated_tokens
            target.cache.store(program, tokens, now_ms)

    def _expire(self, now_ms: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            entry = heapq.heappop(self._deadlines)[2]
            if entry.waiting:
                self._refuse(entry, "The call's deadline has passed.")
        for entry in self._new_calls:
            if entry.waiting and entry.call.deadline_ms <= now_ms:
                self._refuse(entry, "The call's deadline has passed.")
        if len(self._deadlines) > 2 * len(self._queued_calls) + COMPACT_SLACK:
            self._deadlines = [x for x in self._deadlines if x[2].waiting]
            heapq.heapify(self._deadlines)

    def _schedule_timers(self, now_ms: float) -> None:
        """Schedules the deadlines and moves of new calls that still wait."""
        for entry in self._new_calls:
            if not entry.waiting:
                continue
            call = entry.call
            heapq.heappush(
                self._deadlines, (call.deadline_ms, next(self._sequence), entry)
            )
            if call.excluded or self._shared_queue in entry.queues:
                continue
            cached = max(
                (
                    target.cache.tokens(call.program)
                    for name in self._prefixes.targets(call.program)
                    if (target := self._target_pool.targets.get(name))
                    is not None
                ),
                default=0,
            )
            prefill_ms = self._tuning.speeds.prefill_ms(cached)
            at_ms = now_ms + prefill_ms * self._tuning.move_after_prefills
            heapq.heappush(self._moves, (at_ms, next(self._sequence), entry))
        self._new_calls.clear()

    def _refuse(self, entry: fairness.QueuedCall, detail: str) -> None:
        call = entry.call
        entry.remove()
        del self._queued_calls[call.call]
        self._shares.dequeue(call.organisation)
        self._refusals.append(pools.Refuse(call.call, detail))

    def _release_moves(self, now_ms: float) -> None:
        """Lets calls move to another target once their move is due."""
        while self._moves and self._moves[0][0] <= now_ms:
            entry = heapq.heappop(self._moves)[2]
            if entry.waiting:
                self._movable_queue.add(entry)
