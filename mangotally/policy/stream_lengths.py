"""Predicts how many events a stream will have.

Load pattern: requests that look alike generate answers of very different
length, and callers state estimates that are right only in the middle.
"""

from __future__ import annotations

import dataclasses
from typing import Generic, TypeVar

K = TypeVar("K")

# Least weight of a new observation in the averages.
MIN_SMOOTHING = 0.05
# A caller's estimate is corrected by a factor within these bounds, so that a
# few odd answers don't spoil the predictions.
MIN_CORRECTION = 0.25
MAX_CORRECTION = 2.0


@dataclasses.dataclass
class _Kind:
    """What was observed of one kind of request.

    Attributes:
        count: Number of streams.
        events: Average number of events.
        correction: Average of their number by the caller's estimate.
    """

    count: int = 0
    events: float = 0.0
    correction: float = 1.0

    def add(self, stated: float | None, events: float) -> None:
        self.count += 1
        weight = max(MIN_SMOOTHING, 1.0 / self.count)
        self.events += weight * (events - self.events)
        if stated:
            ratio = min(MAX_CORRECTION, max(MIN_CORRECTION, events / stated))
            self.correction += weight * (ratio - self.correction)


class StreamLengths(Generic[K]):
    """Predicts lengths of streams by kind of request and stated length."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._kinds: dict[K, _Kind] = {}

    def predict(
        self, kind: K, stated: float | None, maximum: float
    ) -> float | None:
        """Returns the expected number of events, or None.

        Args:
            kind: The kind of request, such as its route.
            stated: The caller's estimate, or None.
            maximum: Number of events that is not exceeded.
        """
        known = self._kinds.get(kind)
        if stated:
            correction = known.correction if known else 1.0
            return min(maximum, stated * correction)
        return min(maximum, known.events) if known else None

    def add(self, kind: K, stated: float | None, events: float) -> None:
        """Adds a complete stream; see `predict`."""
        self._kinds.setdefault(kind, _Kind()).add(stated, events)
