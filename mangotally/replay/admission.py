"""Whether a refused call was inside its organisation's rate."""

from __future__ import annotations

MS_PER_S = 1000.0
TOLERANCE = 1e-6


class RateOracle:
    """Checks admitted <= rate x time + burst over every window.

    It keeps the largest excess of admissions over the rate of any window
    that ends now, so that it shares no state with the bucket.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Makes an oracle that has seen no admission."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._excess = 0.0
        self._updated_ms = 0.0

    def admit(self, now_ms: float) -> None:
        """Counts an admitted call."""
        self._excess = self._excess_at(now_ms) + 1.0
        self._updated_ms = now_ms

    def is_within_rate(self, now_ms: float) -> bool:
        """Returns whether one more call would be inside rate and burst."""
        return self._excess_at(now_ms) + 1.0 <= self._burst - TOLERANCE

    def reconfigure(
        self, rate_per_s: float, burst: float, now_ms: float
    ) -> None:
        """Puts a new rate and burst in force; spent bursts stay spent."""
        room = max(0.0, self._burst - self._excess_at(now_ms))
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._excess = max(0.0, burst - room)
        self._updated_ms = now_ms

    def _excess_at(self, now_ms: float) -> float:
        elapsed_s = (now_ms - self._updated_ms) / MS_PER_S
        return max(0.0, self._excess - elapsed_s * self._rate_per_s)
