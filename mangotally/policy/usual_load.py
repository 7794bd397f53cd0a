"""Long-term average number of running calls of each organisation in a pool."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mangotally import ids

# Averages over a shorter time than this are not reliable.
WARM_UP_MS = 60_000.0
# Organisations without calls are dropped once their sum is at most this.
MIN_TRACKED_CALLS = 0.01
PRUNE_SLACK = 64


@dataclasses.dataclass(slots=True)
class _LoadSum:
    """Current calls, and their exponentially weighted sum over time."""

    calls: float = 0.0
    sum: float = 0.0
    updated_ms: float = 0.0

    def sum_at(self, now_ms: float, time_constant_ms: float) -> float:
        """Returns the weighted sum at a time."""
        decay = math.exp(min(0.0, self.updated_ms - now_ms) / time_constant_ms)
        return self.sum * decay + self.calls * (1.0 - decay)

    def change(self, by: float, now_ms: float, time_constant_ms: float) -> None:
        """Changes the number of calls by `by`."""
        self.sum = self.sum_at(now_ms, time_constant_ms)
        self.updated_ms = now_ms
        self.calls += by


class UsualLoad:
    """Long-term exponentially weighted averages of organisations' calls."""

    def __init__(self, time_constant_ms: float) -> None:
        """Starts without calls.

        Args:
            time_constant_ms: Time constant of the average: after this time
                a call has lost about two thirds of its weight.
        """
        self._time_constant_ms = time_constant_ms
        self._load_by_organisation: dict[ids.OrganisationId, _LoadSum] = {}
        self._total = _LoadSum()
        self._started_ms: float | None = None
        self._prune_at = PRUNE_SLACK

    def record(
        self, organisation: ids.OrganisationId, calls: float, now_ms: float
    ) -> None:
        """Records the number of calls that an organisation has from now on."""
        if self._started_ms is None:
            self._started_ms = self._total.updated_ms = now_ms
        load = self._load_by_organisation.get(organisation)
        if load is None:
            self._prune()
            load = _LoadSum(updated_ms=now_ms)
            self._load_by_organisation[organisation] = load
        by = calls - load.calls
        load.change(by, now_ms, self._time_constant_ms)
        self._total.change(by, now_ms, self._time_constant_ms)

    def expected(self, organisation: ids.OrganisationId) -> float | None:
        """Returns the number of calls an organisation is expected to have now.

        This is its average. If the other organisations together have more
        calls than their average, it is scaled by the same factor, so that a
        general rise in load is not taken for a surge of one organisation.

        Returns:
            The expected calls, or None if the average covers too short a
            time or no other organisation has calls.
        """
        total_weight = self._total_weight()
        load = self._load_by_organisation.get(organisation)
        if total_weight is None or load is None:
            return None
        others_now = self._total.calls - load.calls
        if others_now < 1.0:
            return None
        now_ms = self._total.updated_ms
        own_sum = load.sum_at(now_ms, self._time_constant_ms)
        others_sum = max(self._total.sum - own_sum, 0.0)
        growth = (
            max(1.0, others_now * total_weight / others_sum)
            if others_sum
            else 1.0
        )
        return growth * own_sum / total_weight

    def _total_weight(self) -> float | None:
        """Returns the weight of the observed time, None if it is too short."""
        if self._started_ms is None:
            return None
        observed_ms = self._total.updated_ms - self._started_ms
        if observed_ms < WARM_UP_MS:
            return None
        return 1.0 - math.exp(-observed_ms / self._time_constant_ms)

    def _prune(self) -> None:
        """Drops organisations that have had no calls for a long time."""
        if len(self._load_by_organisation) < self._prune_at:
            return
        now_ms = self._total.updated_ms
        self._load_by_organisation = {
            name: load
            for name, load in self._load_by_organisation.items()
            if load.calls
            or load.sum_at(now_ms, self._time_constant_ms) > MIN_TRACKED_CALLS
        }
        self._prune_at = 2 * len(self._load_by_organisation) + PRUNE_SLACK
