"""Usual run times of requests, as a measure of their work."""

from __future__ import annotations

import dataclasses
from typing import Generic, TypeVar

K = TypeVar("K")

# Least weight of a new observation in the average.
MIN_SMOOTHING = 0.05


@dataclasses.dataclass
class _Average:
    value_ms: float = 0.0
    count: int = 0

    def add(self, run_ms: float) -> None:
        """Adds an observation; the first ones all have the same weight."""
        self.count += 1
        weight = max(MIN_SMOOTHING, 1.0 / self.count)
        self.value_ms += weight * (run_ms - self.value_ms)


class UsualRunTimes(Generic[K]):
    """Average run time of each kind of request at this host.

    A target is slow if requests take longer there than such requests usually
    do. Each of many hosts has few requests to learn that from.
    """

    def __init__(self) -> None:
        """Starts without observations."""
        self._averages: dict[K, _Average] = {}

    def usual_ms(self, kind: K) -> float:
        """Returns the usual run time of requests; 0 if there was none."""
        average = self._averages.get(kind)
        return average.value_ms if average is not None else 0.0

    def add(self, kind: K, run_ms: float) -> float:
        """Adds the run time of a request.

        Returns:
            The usual run time of such requests before this one, in ms; 0 if
            there was none.
        """
        average = self._averages.setdefault(kind, _Average())
        usual_ms = average.value_ms
        average.add(run_ms)
        return usual_ms
