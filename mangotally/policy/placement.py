"""The targets of a pool: their load and the placement score of calls."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from mangotally.policy import fairness, pools, prefixes

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from mangotally import ids

MS_PER_S = 1000.0
LOAD_HISTORY_ENTRIES = 64
HEAP_SLACK = 64
# Delay of each running call by a prefill, as a fraction of the prefill time.
PREFILL_SLOWDOWN = 0.4
Rank = tuple[bool, float]


@dataclasses.dataclass(frozen=True)
class SpeedModel:
    """Expected speed of a target of the pool.

    Attributes:
        prefill_tokens_per_s: Uncached prompt tokens computed per second.
        decode_ms: Base of the time between tokens, for an empty batch.
        decode_ms_per_call: Added to that for each call in the batch.
    """

    prefill_tokens_per_s: float = 10_000.0
    decode_ms: float = 20.0
    decode_ms_per_call: float = 0.8

    def prefill_ms(self, tokens: int) -> float:
        """Returns the prefill time of uncached tokens on an idle target."""
        return tokens * MS_PER_S / self.prefill_tokens_per_s

    def token_ms(self, calls: float) -> float:
        """Returns the time between tokens for a batch of `calls` calls."""
        return self.decode_ms + calls * self.decode_ms_per_call


@dataclasses.dataclass(frozen=True)
class PlacementWeights:
    """Weights of the placement score.

    Attributes:
        paused_program: Calls that a paused program adds to its target's load.
        interference: Weight of the delay that a call causes to running calls.
        recompute: Factor on the prefill time of uncached tokens.
    """

    paused_program: float = 0.0
    interference: float = 1.0
    recompute: float = 1.0


class Target:
    """The scheduler's state of one target.

    Attributes:
        info: Its entry in the list of targets.
        live: Whether it accepts new calls.
        in_flight: Calls of this scheduler that were sent and have not ended.
        external_calls: Calls at the target that other clients sent.
        resident_programs: Programs that last ran at this target.
        version: Incremented with each change of its load.
        cache: Its estimated prefix cache.
        queue: Calls that wait for it.
    """

    def __init__(self, info: pools.TargetInfo, shares: fairness.Shares) -> None:
        self.info = info
        self.live = info.state is pools.TargetState.LIVE
        self.in_flight = 0
        self.external_calls = 0
        self.resident_programs = 0
        self.version = 0
        self.cache = prefixes.TargetCache()
        self.queue = fairness.CallQueue(shares)
        self._load_history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=LOAD_HISTORY_ENTRIES)
        )

    def replace(self, info: pools.TargetInfo) -> None:
        """Replaces the target's entry in the list."""
        self.info = info
        self.live = info.state is pools.TargetState.LIVE

    @property
    def load(self) -> int:
        """Calls at the target, including those of other clients."""
        return self.in_flight + self.external_calls

    @property
    def has_free_slot(self) -> bool:
        """Whether it is live and has a free slot."""
        return self.live and self.load < self.info.slots

    def change_in_flight(self, by: int, now_ms: float) -> None:
        """Updates the number of calls in flight after a send or an end."""
        self.in_flight += by
        self._load_history.append((now_ms, self.in_flight))

    def apply_load_report(
        self, report: pools.LoadReport, now_ms: float
    ) -> None:
        """Applies a load report.

        The report is compared with the calls in flight when it was made, so
        calls sent since then are still counted.
        """
        self.cache.capacity_tokens = report.cache_capacity_tokens
        measured_ms = now_ms - report.age_ms
        own = self.in_flight
        for at_ms, in_flight in reversed(self._load_history):
            own = in_flight
            if at_ms <= measured_ms:
                break
        self.external_calls = max(0, report.running + report.waiting - own)


class TargetPool:
    """The targets of a pool, indexed by load.

    A target that is no longer listed is kept while it has calls in flight,
    since it may be listed again before they end.
    """

    def __init__(
        self,
        shares: fairness.Shares,
        speeds: SpeedModel,
        weights: PlacementWeights,
    ) -> None:
        self.targets: dict[ids.TargetId, Target] = {}
        self.speeds = speeds
        self.slots = 0
        self._weights = weights
        self._prefill_token_ms = speeds.prefill_ms(1)
        self._shares = shares
        self._heap: list[tuple[Rank, ids.TargetId, int]] = []
        self._unlisted: dict[ids.TargetId, Target] = {}

    def replace(self, infos: Sequence[pools.TargetInfo]) -> list[Target]:
        """Replaces the targets; returns those that are no longer listed."""
        listed = {info.target: info for info in infos}
        removed = [
            target
            for name, target in self.targets.items()
            if name not in listed
        ]
        for target in removed:
            del self.targets[target.info.target]
            if target.in_flight:
                self._unlisted[target.info.target] = target
        for name, info in listed.items():
            found = self.targets.get(name)
            if found is None:
                found = self._unlisted.pop(name, None)
                found = found or Target(info, self._shares)
                found.cache = prefixes.TargetCache()
                self.targets[name] = found
            found.replace(info)
        self.slots = 0
        for target in self.targets.values():
            self.slots += target.info.slots if target.live else 0
            self.update_rank(target)
        return removed

    def find(self, name: ids.TargetId) -> Target | None:
        """Returns a target that is listed or has calls in flight, or None."""
        return self.targets.get(name) or self._unlisted.get(name)

    def update_rank(self, target: Target) -> None:
        """Updates the index after a change of a target's load."""
        if target not in self:
            if not target.in_flight:
                self._unlisted.pop(target.info.target, None)
            return
        target.version += 1
        entry = (self._rank(target), target.info.target, target.version)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 4 * len(self.targets) + HEAP_SLACK:
            self._rebuild_heap()

    def least_loaded(
        self, excluded: tuple[ids.TargetId, ...] = ()
    ) -> Target | None:
        """Returns the live target with the lowest expected load, or None.

        Args:
            excluded: Targets that must not be chosen.
        """
        skipped = []
        found = None
        while self._heap:
            entry = self._heap[0]
            target = self.targets.get(entry[1])
            if target is None or target.version != entry[2]:
                heapq.heappop(self._heap)
                continue
            if not target.live:
                heapq.heappop(self._heap)
                continue
            if entry[1] in excluded:
                skipped.append(heapq.heappop(self._heap))
                continue
            found = target
            break
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found

    def placement_score_ms(
        self, target: Target, call: pools.PoolCall, answer_tokens: float
    ) -> float:
        """Returns the placement score of a call at a target.

        The score is the expected time until the call ends, plus the weighted
        delay that it causes to the other calls at the target. Without a free
        slot, it is scaled by the ratio of the excess calls to the slots.

        Args:
            target: The target.
            call: The call.
            answer_tokens: Expected length of the answer.
        """
        weights = self._weights
        slots = target.info.slots
        others = target.in_flight + target.external_calls + target.queue.size
        excess = others + 1 - slots
        if excess > 0:
            others = slots - 1
        uncached = call.prompt_tokens - target.cache.tokens(call.program)
        prefill_ms = uncached * self._prefill_token_ms if uncached > 0 else 0.0
        interference = others * weights.interference
        prefill_ms *= weights.recompute + interference * PREFILL_SLOWDOWN
        token_ms = self.speeds.token_ms(others + 1 + interference)
        run_ms = prefill_ms + answer_tokens * token_ms
        return run_ms * (1.0 + excess / slots) if excess > 0 else run_ms

    def _rank(self, target: Target) -> Rank:
        """Returns the sort key by which targets receive new programs.

        Full targets come last. A program whose call waits for its target is
        not counted as paused there, since the call may wait for a long time.
        """
        paused = target.resident_programs - target.in_flight - target.queue.size
        load = float(target.load)
        if paused > 0:
            load += self._weights.paused_program * paused
        return target.load >= target.info.slots, load

    def _rebuild_heap(self) -> None:
        self._heap = [
            (self._rank(target), name, target.version)
            for name, target in self.targets.items()
            if target.live
        ]
        heapq.heapify(self._heap)

    def __contains__(self, target: Target) -> bool:
        """Returns whether a target is listed in the pool."""
        return self.targets.get(target.info.target) is target

    def __iter__(self) -> Iterator[Target]:
        """Iterates over the targets."""
        return iter(self.targets.values())
