"""The token bucket of one organisation."""

from __future__ import annotations

from mangotally.util import clock


class Bucket:
    """A token bucket: admitted <= rate x time + burst in every window."""

    def __init__(
        self, rate_per_s: float, burst: float, level: float, now_ms: float
    ) -> None:
        """Makes a bucket.

        Args:
            rate_per_s: Tokens gained a second.
            burst: Largest level.
            level: Level at the start.
            now_ms: Time of the start.
        """
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(level, burst)
        self._updated_ms = now_ms

    def level(self, now_ms: float) -> float:
        """Returns the tokens that can be taken now."""
        self._refill(now_ms)
        return self._level

    def take(self, count: int, now_ms: float) -> float:
        """Takes tokens if there are enough.

        Args:
            count: Tokens wanted.
            now_ms: Current time.

        Returns:
            0 if taken, else milliseconds until there would be enough.
        """
        self._refill(now_ms)
        if self._level >= count:
            self._level -= count
            return 0.0
        missing = count - self._level
        return missing / self._rate_per_s * clock.MS_PER_S

    def change(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Puts a new rate and burst in force; the level never grows."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        gained = elapsed_ms * self._rate_per_s / clock.MS_PER_S
        self._level = min(self._burst, self._level + gained)
        self._updated_ms = max(self._updated_ms, now_ms)
