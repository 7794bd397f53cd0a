"""Learns from ended requests how long work takes at the targets of a service.

Work is counted in units that are the same for all requests of a service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mangotally.policy import target_view

# Weight of a new observation in the moving average of a target's relative
# time.
RELATIVE_TIME_SMOOTHING = 0.15
MIN_RELATIVE_TIME = 0.25
MAX_RELATIVE_TIME = 20.0
# Initial moving average of run times, and the weight of a new observation.
INITIAL_RUN_MS = 150.0
RUN_TIME_SMOOTHING = 0.05
# A request counts as this many times the average one, at least and at most: a
# wrong prediction must not make a target look idle, nor busy for long.
MIN_SIZE = 0.25
MAX_SIZE = 4.0


class WorkEstimates:
    """Run times of the requests of a service.

    Attributes:
        run_ms: Average run time of a request.
    """

    def __init__(self) -> None:
        """Starts without observations."""
        self.run_ms = INITIAL_RUN_MS
        self._units = 0.0
        self._unit_ms = 0.0

    def size(self, units: float) -> float:
        """Returns a request's work, relative to the average request.

        Args:
            units: Predicted work; 0 if unknown.
        """
        if not (units and self._units):
            return 1.0
        return min(MAX_SIZE, max(MIN_SIZE, units / self._units))

    def add(
        self, view: target_view.TargetView, run_ms: float, units: float
    ) -> None:
        """Adds a request that a target has run.

        Args:
            view: The target, whose relative time is updated.
            run_ms: Run time; 0 if unknown.
            units: Work; 0 if unknown.
        """
        if run_ms <= 0:
            return
        self.run_ms += RUN_TIME_SMOOTHING * (run_ms - self.run_ms)
        if units <= 0:
            return
        self._units += (
            RUN_TIME_SMOOTHING * (units - self._units) if self._units else units
        )
        unit_ms = run_ms / units
        if not self._unit_ms:
            self._unit_ms = unit_ms
        observed_time = min(
            MAX_RELATIVE_TIME,
            max(MIN_RELATIVE_TIME, unit_ms / self._unit_ms),
        )
        view.relative_time += RELATIVE_TIME_SMOOTHING * (
            observed_time - view.relative_time
        )
        self._unit_ms += RUN_TIME_SMOOTHING * (
            unit_ms / max(MIN_RELATIVE_TIME, view.relative_time) - self._unit_ms
        )
