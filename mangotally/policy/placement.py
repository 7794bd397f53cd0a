"""The targets of a pool: their load, and where a call ends first."""

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
PREFILL_SLOWDOWN = 0.4
Rank = tuple[bool, float]


@dataclasses.dataclass(frozen=True)
class SpeedModel:
    """What a target of the pool is expected to do.

    Attributes:
        prefill_tokens_per_s: Uncached prompt tokens computed a second.
        decode_ms: Time between tokens of a batch of none.
        decode_ms_per_call: Added to that for each call in the batch.
    """

    prefill_tokens_per_s: float = 10_000.0
    decode_ms: float = 20.0
    decode_ms_per_call: float = 0.8

    def prefill_ms(self, tokens: int) -> float:
        """Returns the time that a prompt takes alone."""
        return tokens * MS_PER_S / self.prefill_tokens_per_s

    def token_ms(self, calls: float) -> float:
        """Returns the time between tokens of a batch."""
        return self.decode_ms + calls * self.decode_ms_per_call


@dataclasses.dataclass(frozen=True)
class PlacementWeights:
    """What placement weighs.

    Attributes:
        paused: Expected calls of a program that pauses at its target.
        burden: Weight of the delay that a call causes to others.
        recompute: Factor on the time to compute a prompt.
    """

    paused: float = 0.0
    interference: float = 1.0
    recompute: float = 1.0


class Target:
    """One target as the scheduler sees it.

    Attributes:
        info: What the list says of it.
        live: Whether it takes new work.
        inside: Calls that were sent and have not ended.
        others: Calls inside that were sent by others.
        resident: Programs that ran here last.
        version: Counts changes of its load.
        cache: Its estimated prefix cache.
        lane: Calls that wait for it.
    """

    def __init__(self, info: pools.TargetInfo, shares: fairness.Shares) -> None:
        """Makes a target with nothing inside."""
        self.info = info
        self.live = info.state is pools.TargetState.LIVE
        self.in_flight = 0
        self.external_calls = 0
        self.resident_programs = 0
        self.version = 0
        self.cache = prefixes.TargetCache()
        self.queue = fairness.CallQueue(shares)
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=LOAD_HISTORY_ENTRIES
        )

    def replace(self, info: pools.TargetInfo) -> None:
        """Puts in force what the list says of it now."""
        self.info = info
        self.live = info.state is pools.TargetState.LIVE

    @property
    def load(self) -> int:
        """Calls inside, those of others included."""
        return self.in_flight + self.external_calls

    @property
    def has_room(self) -> bool:
        """Whether one more call may be sent."""
        return self.live and self.load < self.info.slots

    def change_in_flight(self, by: int, now_ms: float) -> None:
        """Counts calls that were sent or ended."""
        self.in_flight += by
        self._loads.append((now_ms, self.in_flight))

    def observe(self, report: pools.LoadReport, now_ms: float) -> None:
        """Takes in a report; calls sent since it was made still count."""
        self.cache.capacity_tokens = report.cache_capacity_tokens
        taken_ms = now_ms - report.age_ms
        ours = self.in_flight
        for at_ms, inside in reversed(self._loads):
            ours = inside
            if at_ms <= taken_ms:
                break
        self.external_calls = max(0, report.running + report.waiting - ours)


class TargetPool:
    """The targets of a pool, the least loaded at hand.

    A target that is no longer listed is remembered while calls are inside,
    since it may be listed again before they end.
    """

    def __init__(
        self,
        shares: fairness.Shares,
        speeds: SpeedModel,
        weights: PlacementWeights,
    ) -> None:
        """Makes a pool without targets."""
        self.targets: dict[ids.TargetId, Target] = {}
        self.speeds = speeds
        self.slots = 0
        self._weights = weights
        self._prefill_ms = speeds.prefill_ms(1)
        self._shares = shares
        self._heap: list[tuple[Rank, ids.TargetId, int]] = []
        self._absent: dict[ids.TargetId, Target] = {}

    def replace(self, infos: Sequence[pools.TargetInfo]) -> list[Target]:
        """Replaces the targets; returns those that are gone."""
        named = {info.target: info for info in infos}
        gone = [
            target for name, target in self.targets.items() if name not in named
        ]
        for target in gone:
            del self.targets[target.info.target]
            if target.in_flight:
                self._absent[target.info.target] = target
        for name, info in named.items():
            found = self.targets.get(name)
            if found is None:
                found = self._absent.pop(name, None)
                found = found or Target(info, self._shares)
                found.cache = prefixes.TargetCache()
                self.targets[name] = found
            found.replace(info)
        self.slots = 0
        for target in self.targets.values():
            self.slots += target.info.slots if target.live else 0
            self.update_rank(target)
        return gone

    def find(self, name: ids.TargetId) -> Target | None:
        """Returns a target that is listed, or absent with calls inside."""
        return self.targets.get(name) or self._absent.get(name)

    def update_rank(self, target: Target) -> None:
        """Files a target again after a change of its load."""
        if target not in self:
            if not target.in_flight:
                self._absent.pop(target.info.target, None)
            return
        target.version += 1
        entry = (self._rank(target), target.info.target, target.version)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 4 * len(self.targets) + HEAP_SLACK:
            self._rebuild()

    def least_loaded(
        self, excluded: tuple[ids.TargetId, ...] = ()
    ) -> Target | None:
        """Returns the live target with the fewest calls to come.

        Args:
            excluded: Targets that must not be chosen.
        """
        kept = []
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
                kept.append(heapq.heappop(self._heap))
                continue
            found = target
            break
        for entry in kept:
            heapq.heappush(self._heap, entry)
        return found

    def placement_score_ms(
        self, target: Target, call: pools.PoolCall, answer_tokens: float
    ) -> float:
        """Returns the expected time until a call would end at a target.

        The delay that it causes to the calls inside is part of it.

        Args:
            target: The target.
            call: The call.
            answer_tokens: Expected length of the answer.
        """
        weights = self._weights
        slots = target.info.slots
        inside = target.in_flight + target.external_calls + target.queue.size
        over = inside + 1 - slots
        if over > 0:
            inside = slots - 1
        fresh = call.prompt_tokens - target.cache.tokens(call.program)
        fresh_ms = fresh * self._prefill_ms if fresh > 0 else 0.0
        burden = inside * weights.interference
        fresh_ms *= weights.recompute + burden * PREFILL_SLOWDOWN
        token_ms = self.speeds.token_ms(inside + 1 + burden)
        run_ms = fresh_ms + answer_tokens * token_ms
        return run_ms * (1.0 + over / slots) if over > 0 else run_ms

    def _rank(self, target: Target) -> Rank:
        """Returns the order in which targets take new programs.

        Full targets come last. A program whose call waits for its target
        does not pause there: the call may wait for long.
        """
        paused = target.resident_programs - target.in_flight - target.queue.size
        load = float(target.load)
        if paused > 0:
            load += self._weights.paused * paused
        return target.load >= target.info.slots, load

    def _rebuild(self) -> None:
        self._heap = [
            (self._rank(target), name, target.version)
            for name, target in self.targets.items()
            if target.live
        ]
        heapq.heapify(self._heap)

    def __contains__(self, target: Target) -> bool:
        """Returns whether a target is one of the pool."""
        return self.targets.get(target.info.target) is target

    def __iter__(self) -> Iterator[Target]:
        """Iterates over the targets."""
        return iter(self.targets.values())
