"""Rates of requests that overloaded targets accept from all hosts together.

Load pattern: in the middle of traffic, targets become slow and name in their
answers how many requests a second they accept, while others have room.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import bucket
from mangotally.util import clock

if TYPE_CHECKING:
    from collections.abc import Sequence


# Least rate of requests to a target: only its answers can tell that its limit
# has risen or ended.
MIN_RATE_PER_S = 0.25
# Requests that may follow each other at once, as time at the limit; at least
# one.
BURST_MS = 250.0
# Targets whose limits are kept; those observed longest ago are forgotten.
MAX_TARGETS = 1000


class Reading(enum.Enum):
    """Header values that are not a limit.

    Attributes:
        ABSENT: The answer names no limit.
        UNREADABLE: What it names is not a rate; this proves nothing.
    """

    ABSENT = "absent"
    UNREADABLE = "unreadable"


def read(values: Sequence[str]) -> float | Reading:
    """Returns the limit that an answer names, in requests per second.

    Args:
        values: Values of the header, in the order received. Of several
            limits the lowest one holds.
    """
    texts = [text for value in values for text in value.split(",")]
    if not texts:
        return Reading.ABSENT
    limits = [limit for text in texts if (limit := _rate(text)) is not None]
    return min(limits) if limits else Reading.UNREADABLE


@dataclasses.dataclass(frozen=True)
class Observation:
    """What a target was last known to say of its limit.

    Attributes:
        target: The target.
        born_ms: Start time of its process; a later process has no limit.
        limit_per_s: Requests per second, or None if it names no limit.
        at_ms: A time at which this is known to have been so. For a limit, when
            the answer was received. For none, when the request was sent: the
            limit may have begun while the answer was on its way.
    """

    target: ids.TargetId
    born_ms: int
    limit_per_s: float | None
    at_ms: float


class TargetLimits:
    """The newest observation of each target that has named a limit."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._newest: dict[ids.TargetId, Observation] = {}

    def observations(self) -> tuple[Observation, ...]:
        """Returns the newest observations."""
        return tuple(self._newest.values())

    def limit_of(self, target: ids.TargetId) -> float | None:
        """Returns the limit of a target in requests per second, or None."""
        found = self._newest.get(target)
        return found.limit_per_s if found is not None else None

    def observe(self, observation: Observation) -> bool:
        """Adds an observation; returns whether it changes the limit."""
        known = self._newest.get(observation.target)
        if known is not None and known.born_ms != observation.born_ms:
            known = None
        if known is None and observation.limit_per_s is None:
            return False
        if known is not None and known.at_ms >= observation.at_ms:
            return False
        self._newest.pop(observation.target, None)
        self._newest[observation.target] = observation
        if len(self._newest) > MAX_TARGETS:
            del self._newest[next(iter(self._newest))]
        return known is None or known.limit_per_s != observation.limit_per_s

    def drop_older(self, target: ids.TargetId, born_ms: int) -> None:
        """Forgets a target unless its process started at a time."""
        known = self._newest.get(target)
        if known is not None and known.born_ms != born_ms:
            del self._newest[target]


class LimitedIntake:
    """Spreads the requests to one target over time according to its limit.

    Attributes:
        rate_per_s: Requests per second that it gets.
    """

    def __init__(self, limit_per_s: float, now_ms: float) -> None:
        """Starts with the limit used up.

        Args:
            limit_per_s: Requests per second.
            now_ms: Current time. What the target got before is unknown if
                another host assigned it.
        """
        self.rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        self._bucket = bucket.TokenBucket(
            self.rate_per_s, _burst(self.rate_per_s), 0.0, now_ms
        )

    def change(self, limit_per_s: float, now_ms: float) -> None:
        """Applies another limit; requests so far still count."""
        self.rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        self._bucket.reconfigure(
            self.rate_per_s, _burst(self.rate_per_s), now_ms
        )

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until the target may get a request."""
        missing = 1.0 - self._bucket.level(now_ms)
        return max(0.0, missing / self.rate_per_s * clock.MS_PER_S)

    def take(self, now_ms: float) -> None:
        """Counts a request that the target gets now."""
        self._bucket.take(1.0, now_ms)


def _burst(rate_per_s: float) -> float:
    return max(1.0, rate_per_s * BURST_MS / clock.MS_PER_S)


def _rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None
