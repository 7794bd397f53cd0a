"""The scheduler of a pool: whole programs, fair between organisations."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import fairness, placement, pools, prefixes

if TYPE_CHECKING:
    from collections.abc import Sequence

DECODE_WEIGHT = 10.0
ANSWER_SMOOTHING = 0.1
INITIAL_ANSWER_TOKENS = 256.0
COMPACT_SLACK = 1024
MAX_PREFIX_TARGETS = 2
DEFAULT_SPEEDS = placement.SpeedModel()
DEFAULT_HEADROOM = fairness.Headroom()
DEFAULT_WEIGHTS = placement.PlacementWeights(
    paused=0.5, interference=1.5, recompute=5.0
)


@dataclasses.dataclass(frozen=True)
class Tuning:
    """Parameters of the scheduler.

    Attributes:
        speeds: What a target is expected to do.
        weights: What placement weighs.
        headroom: Slots kept for organisations within their share, or None.
        age_tokens_per_ms: Attained service that waiting one ms outweighs.
        program_age: Whether age counts from the program's start, not from
            the call's arrival.
        move_after: A call may go elsewhere after waiting for so many times
            the time to compute its prefix again.
    """

    speeds: placement.SpeedModel = DEFAULT_SPEEDS
    weights: placement.PlacementWeights = DEFAULT_WEIGHTS
    headroom: fairness.Headroom | None = DEFAULT_HEADROOM
    age_tokens_per_ms: float = 1.0
    program_age: bool = True
    move_after_prefills: float = 10.0


@dataclasses.dataclass(slots=True)
class _Inside:
    """A call that runs at a target."""

    call: pools.PoolCall
    target: ids.TargetId
    charged: float


class FairScheduler:
    """Sends each call where it ends first, in a fair order."""

    def __init__(self, tuning: Tuning | None = None) -> None:
        """Makes a scheduler of a pool without targets."""
        self._tuning = tuning or Tuning()
        self._shares = fairness.Shares(self._tuning.headroom)
        self._fleet = placement.TargetPool(
            self._shares, self._tuning.speeds, self._tuning.weights
        )
        self._releases = prefixes.PrefixTracker()
        self._shared = fairness.CallQueue(self._shares)
        self._movable = fairness.CallQueue(self._shares)
        self._ready: dict[ids.TargetId, None] = {}
        self._entries: dict[ids.CallId, fairness.QueuedCall] = {}
        self._inside: dict[ids.CallId, _Inside] = {}
        self._homeless: list[fairness.QueuedCall] = []
        self._fresh: list[fairness.QueuedCall] = []
        self._count = itertools.count()
        self._deadlines: list[tuple[float, int, fairness.QueuedCall]] = []
        self._moves: list[tuple[float, int, fairness.QueuedCall]] = []
        self._refusals: list[pools.Refuse] = []
        self._answer_tokens = INITIAL_ANSWER_TOKENS

    def set_targets(
        self, targets: Sequence[pools.TargetInfo], now_ms: float
    ) -> None:
        """Replaces the targets of the pool."""
        gone = self._fleet.replace(targets)
        for target in (*gone, *self._fleet):
            if target not in self._fleet or not target.live:
                self._place_again(target.lane.entries(), now_ms)
        homeless = [entry for entry in self._homeless if entry.waiting]
        self._homeless.clear()
        self._place_again(homeless, now_ms)
        for target in self._fleet:
            self._check_ready(target)

    def submit(self, call: pools.PoolCall, now_ms: float) -> None:
        """Adds a call to the queue."""
        born_ms = now_ms
        if self._tuning.program_age:
            born_ms = self._started_ms(call.program, now_ms)
        key = call.attained_tokens + self._tuning.age_tokens_per_ms * born_ms
        entry = fairness.QueuedCall(call, key, now_ms)
        self._entries[call.call] = entry
        self._shares.enqueue(call.organisation, call.share)
        self._fresh.append(entry)
        self._place(entry)

    def cancel(self, call: ids.CallId, now_ms: float) -> None:
        """Takes back a call that waits or was dispatched."""
        entry = self._entries.pop(call, None)
        if entry is not None:
            entry.remove()
            self._shares.dequeue(entry.call.organisation)
            return
        self._end(call, None, now_ms)

    def finish(self, report: pools.CallReport, now_ms: float) -> None:
        """Reports the end of a dispatched call."""
        self._end(report.call, report, now_ms)

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """A program is gone; its prefixes are to be released."""
        used = self._releases.targets(program)
        for name in used:
            target = self._fleet.targets.get(name)
            if target is None:
                continue
            target.cache.drop(program)
            if name == used[-1]:
                target.resident_programs = max(0, target.resident_programs - 1)
                self._fleet.update_rank(target)
        self._releases.release_program(program, now_ms)

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """A target has confirmed a release."""
        self._releases.confirm(target, program)

    def observe_load(
        self, target: ids.TargetId, report: pools.LoadReport, now_ms: float
    ) -> None:
        """Takes in a load report."""
        found = self._fleet.targets.get(target)
        if found is not None:
            found.observe(report, now_ms)
            self._changed(found)

    def observe_cache(
        self,
        target: ids.TargetId,
        events: Sequence[pools.CacheEvent],
        now_ms: float,
    ) -> None:
        """Takes in cache events."""
        found = self._fleet.targets.get(target)
        if found is None:
            return
        for event in events:
            if event.kind is pools.CacheEventKind.STORED:
                self._releases.record_stored(target, event.program, now_ms)
            found.cache.observe(event, now_ms)

    def advance(self, now_ms: float) -> list[pools.Action]:
        """Returns what has to be done now, in order."""
        for program in self._releases.idle_programs(now_ms):
            self.end_program(program, now_ms)
        actions: list[pools.Action] = []
        actions += self._releases.due_releases(self._fleet.targets, now_ms)
        self._expire(now_ms)
        self._offer_moves(now_ms)
        while (found := self._next()) is not None:
            actions.append(self._dispatch(*found, now_ms))
        if self._fresh:
            self._file_waiting(now_ms)
        actions += self._refusals
        self._refusals.clear()
        return actions

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Returns when `advance` is due without a new event, or None."""
        times = [self._releases.next_release_ms()]
        for heap in (self._deadlines, self._moves):
            while heap and not heap[0][2].waiting:
                heapq.heappop(heap)
            if heap:
                times.append(heap[0][0])
        return min((at for at in times if at is not None), default=None)

    def _place(self, entry: fairness.QueuedCall) -> None:
        """Binds a call to the target where it ends first, or to none."""
        call = entry.call
        least = self._fleet.least_loaded(call.excluded)
        if least is None:
            if self._fleet.least_loaded() is not None:
                self._refuse(entry, "Every target of the call is excluded.")
            else:
                self._homeless.append(entry)
            return
        best = self._best(call, least)
        if best is least and not call.excluded:
            self._shared.add(entry)
            return
        best.queue.add(entry)
        self._check_ready(best)

    def _best(
        self, call: pools.PoolCall, least: placement.Target
    ) -> placement.Target:
        answer_tokens = min(float(call.max_tokens), self._answer_tokens)
        best = least
        best_ms: float | None = None
        for name in self._releases.targets(call.program)[-MAX_PREFIX_TARGETS:]:
            target = self._fleet.targets.get(name)
            if target is None or target is least or not target.live:
                continue
            if name in call.excluded or not target.cache.tokens(call.program):
                continue
            if best_ms is None:
                best_ms = self._fleet.placement_score_ms(
                    least, call, answer_tokens
                )
            finish_ms = self._fleet.placement_score_ms(
                target, call, answer_tokens
            )
            if finish_ms < best_ms:
                best, best_ms = target, finish_ms
        return best

    def _place_again(
        self, entries: Sequence[fairness.QueuedCall], now_ms: float
    ) -> None:
        """Places waiting calls anew."""
        for entry in entries:
            fresh = dataclasses.replace(entry, queues=[])
            entry.remove()
            call = entry.call
            self._entries[call.call] = fresh
            self._fresh.append(fresh)
            self._place(fresh)

    def _check_ready(self, target: placement.Target) -> None:
        name = target.info.target
        if target in self._fleet and target.queue.size and target.has_room:
            self._ready[name] = None
        else:
            self._ready.pop(name, None)

    def _changed(self, target: placement.Target) -> None:
        self._fleet.update_rank(target)
        self._check_ready(target)

    def _next(self) -> tuple[placement.Target, fairness.QueuedCall] | None:
        """Returns the next call to dispatch and where, or None."""
        while self._ready:
            name = next(iter(self._ready))
            target = self._fleet.targets.get(name)
            if target is None or not target.has_room:
                del self._ready[name]
                continue
            reserve = self._reserve(target)
            own = target.queue.peek(reserve)
            if own is None:
                del self._ready[name]
                continue
            return target, self._first(own, self._shared.peek(reserve))
        if not self._shared.size and not self._movable.size:
            return None
        least = self._fleet.least_loaded()
        if least is None or not least.has_room:
            return None
        reserve = self._reserve(least)
        entry = self._shared.peek(reserve) or self._movable.peek(reserve)
        return None if entry is None else (least, entry)

    def _reserve(
        self, target: placement.Target
    ) -> fairness.AdmissionRestriction | None:
        """Returns whom a target takes no more calls of now."""
        return self._shares.restriction(
            target.load, target.info.slots, self._fleet.slots
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
        del self._entries[call.call]
        fresh = call.prompt_tokens - min(
            call.prompt_tokens, target.cache.tokens(call.program)
        )
        answer_tokens = min(float(call.max_tokens), self._answer_tokens)
        cost = fresh + DECODE_WEIGHT * answer_tokens
        self._shares.charge(call.organisation, cost, now_ms)
        name = target.info.target
        self._inside[call.call] = _Inside(call, name, cost)
        self._settle_at(call.program, target, now_ms)
        target.cache.store(call.program, call.prompt_tokens, now_ms)
        target.change_in_flight(1, now_ms)
        self._changed(target)
        return pools.Dispatch(call.call, name, target.info.address)

    def _settle_at(
        self, program: ids.ProgramId, target: placement.Target, now_ms: float
    ) -> None:
        """Counts a program at the target where it runs."""
        used = self._releases.targets(program)
        name = target.info.target
        if not used or used[-1] != name:
            target.resident_programs += 1
            before = self._fleet.targets.get(used[-1]) if used else None
            if before is not None:
                before.resident_programs = max(0, before.resident_programs - 1)
                self._fleet.update_rank(before)
        self._releases.record_use(name, program, now_ms)

    def _started_ms(self, program: ids.ProgramId, now_ms: float) -> float:
        """Returns when the program, or the root of its tree, began."""
        for name in (ids.root_of(program), program):
            started_ms = self._releases.started_ms(name)
            if started_ms is not None:
                return started_ms
        return now_ms

    def _end(
        self,
        call: ids.CallId,
        report: pools.CallReport | None,
        now_ms: float,
    ) -> None:
        inside = self._inside.pop(call, None)
        if inside is None:
            return
        done = report is not None and report.end is pools.CallEnd.DONE
        organisation = inside.call.organisation
        program = inside.call.program
        target = self._fleet.find(inside.target)
        if target is not None:
            target.change_in_flight(-1, now_ms)
            self._changed(target)
        self._releases.record_stored(inside.target, program, now_ms)
        if report is None or not done:
            if target is not None:
                target.cache.drop(program)
            self._shares.settle(organisation, -inside.charged, now_ms)
            return
        fresh = inside.call.prompt_tokens - report.cached_tokens
        cost = fresh + DECODE_WEIGHT * report.generated_tokens
        self._shares.settle(organisation, cost - inside.charged, now_ms)
        self._answer_tokens += ANSWER_SMOOTHING * (
            report.generated_tokens - self._answer_tokens
        )
        if target is not None:
            tokens = inside.call.prompt_tokens + report.generated_tokens
            target.cache.store(program, tokens, now_ms)

    def _expire(self, now_ms: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            entry = heapq.heappop(self._deadlines)[2]
            if entry.waiting:
                self._refuse(entry, "The call's time is over.")
        for entry in self._fresh:
            if entry.waiting and entry.call.deadline_ms <= now_ms:
                self._refuse(entry, "The call's time is over.")
        if len(self._deadlines) > 2 * len(self._entries) + COMPACT_SLACK:
            self._deadlines = [x for x in self._deadlines if x[2].waiting]
            heapq.heapify(self._deadlines)

    def _file_waiting(self, now_ms: float) -> None:
        """Files when new calls that wait expire and may go elsewhere."""
        for entry in self._fresh:
            if not entry.waiting:
                continue
            call = entry.call
            heapq.heappush(
                self._deadlines, (call.deadline_ms, next(self._count), entry)
            )
            if call.excluded or self._shared in entry.queues:
                continue
            cached = max(
                (
                    target.cache.tokens(call.program)
                    for name in self._releases.targets(call.program)
                    if (target := self._fleet.targets.get(name)) is not None
                ),
                default=0,
            )
            worth_ms = self._tuning.speeds.prefill_ms(cached)
            at_ms = now_ms + worth_ms * self._tuning.move_after_prefills
            heapq.heappush(self._moves, (at_ms, next(self._count), entry))
        self._fresh.clear()

    def _refuse(self, entry: fairness.QueuedCall, detail: str) -> None:
        call = entry.call
        entry.remove()
        del self._entries[call.call]
        self._shares.dequeue(call.organisation)
        self._refusals.append(pools.Refuse(call.call, detail))

    def _offer_moves(self, now_ms: float) -> None:
        """Lets calls go elsewhere that waited longer than a recompute."""
        while self._moves and self._moves[0][0] <= now_ms:
            entry = heapq.heappop(self._moves)[2]
            if entry.waiting:
                self._movable.add(entry)
