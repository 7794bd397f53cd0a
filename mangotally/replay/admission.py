"""Checks refused calls against the rate limits of their organisations."""

from __future__ import annotations

MS_PER_S = 1000.0
TOLERANCE = 1e-6


class RateOracle:
    """Checks that admitted <= rate * time + burst over every time window.

    For all windows that end now, it keeps the largest excess of admitted
    calls over the rate. It shares no state with the token bucket that it
    verifies.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._excess = 0.0
        self._updated_ms = 0.0

    def admit(self, now_ms: float) -> None:
        """Records an admitted call."""
        self._excess = self._excess_at(now_ms) + 1.0
        self._updated_ms = now_ms

    def is_within_rate(self, now_ms: float) -> bool:
        """Returns whether one more call would conform to rate and burst."""
        return self._excess_at(now_ms) + 1.0 <= self._burst - TOLERANCE

    def reconfigure(
        self, rate_per_s: float, burst: float, now_ms: float
    ) -> None:
        """Applies a new rate and burst; consumed burst is not refilled."""
        available = max(0.0, self._burst - self._excess_at(now_ms))
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._excess = max(0.0, burst - available)
        self._updated_ms = now_ms

    def _excess_at(self, now_ms: float) -> float:
        elapsed_s = (now_ms - self._updated_ms) / MS_PER_S
        return max(0.0, self._excess - elapsed_s * self._rate_per_s)
