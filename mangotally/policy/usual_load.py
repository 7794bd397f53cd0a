"""How many calls organisations ordinarily have at the targets of a pool."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mangotally import ids

# Below this age an average says little.
WARM_UP_MS = 60_000.0
MIN_TRACKED_CALLS = 0.01
PRUNE_SLACK = 64


@dataclasses.dataclass(slots=True)
class _Use:
    """Calls now, and their sum over time with fading weights."""

    calls: float = 0.0
    sum: float = 0.0
    updated_ms: float = 0.0

    def sum_at(self, now_ms: float, memory_ms: float) -> float:
        """Returns the sum as of a time."""
        kept = math.exp(min(0.0, self.updated_ms - now_ms) / memory_ms)
        return self.sum * kept + self.calls * (1.0 - kept)

    def change(self, by: float, now_ms: float, memory_ms: float) -> None:
        """Changes the number of calls."""
        self.sum = self.sum_at(now_ms, memory_ms)
        self.updated_ms = now_ms
        self.calls += by


class UsualLoad:
    """Calls of each organisation, averaged over a long time."""

    def __init__(self, memory_ms: float) -> None:
        """Makes the use of a pool without calls.

        Args:
            memory_ms: Time after which a call has lost two thirds of its
                weight.
        """
        self._memory_ms = memory_ms
        self._uses: dict[ids.OrganisationId, _Use] = {}
        self._all = _Use()
        self._begun_ms: float | None = None
        self._prune_at = PRUNE_SLACK

    def note(
        self, organisation: ids.OrganisationId, calls: float, now_ms: float
    ) -> None:
        """Takes the calls that an organisation has from now on."""
        if self._begun_ms is None:
            self._begun_ms = self._all.updated_ms = now_ms
        use = self._uses.get(organisation)
        if use is None:
            self._prune()
            use = _Use(updated_ms=now_ms)
            self._uses[organisation] = use
        by = calls - use.calls
        use.change(by, now_ms, self._memory_ms)
        self._all.change(by, now_ms, self._memory_ms)

    def expected(self, organisation: ids.OrganisationId) -> float | None:
        """Returns the calls that an organisation would ordinarily have now.

        That is its average, times the growth of the others over theirs if
        they have grown: a busy hour of all is no surge of one.

        Returns:
            The calls, or None if too little is known or nobody else has
            calls.
        """
        weight = self._weight()
        use = self._uses.get(organisation)
        if weight is None or use is None:
            return None
        others_now = self._all.calls - use.calls
        if others_now < 1.0:
            return None
        now_ms = self._all.updated_ms
        mine = use.sum_at(now_ms, self._memory_ms)
        others = max(self._all.sum - mine, 0.0)
        growth = max(1.0, others_now * weight / others) if others else 1.0
        return growth * mine / weight

    def _weight(self) -> float | None:
        """Returns the weight of the whole time, None while it is short."""
        if self._begun_ms is None:
            return None
        age_ms = self._all.updated_ms - self._begun_ms
        if age_ms < WARM_UP_MS:
            return None
        return 1.0 - math.exp(-age_ms / self._memory_ms)

    def _prune(self) -> None:
        """Forgets organisations that have long had no calls."""
        if len(self._uses) < self._prune_at:
            return
        now_ms = self._all.updated_ms
        self._uses = {
            name: use
            for name, use in self._uses.items()
            if use.calls
            or use.sum_at(now_ms, self._memory_ms) > MIN_TRACKED_CALLS
        }
        self._prune_at = 2 * len(self._uses) + PRUNE_SLACK
