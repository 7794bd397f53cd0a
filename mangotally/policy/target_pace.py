"""How long work takes at a target at this moment, as its answers state.

Load pattern: targets share their machines with others, so that their work takes
longer for some hundreds of milliseconds at a time.
"""

from __future__ import annotations

import math

# A statement counts half after this time, a quarter after twice that.
HALF_LIFE_MS = 200.0
# Weight of a new statement in the average that is the target's usual pace.
SMOOTHING = 0.02
# Bounds of the factor, so that one statement does not shut a target out.
MIN_FACTOR = 0.5
MAX_FACTOR = 3.0
# The usual value, in hundredths of the usual time.
_USUAL = 100.0
_FIELDS = 4


def read(text: str | None) -> float | None:
    """Returns the fourth number of a target's load, or None.

    It is the time that work takes now, in hundredths of the usual time.
    """
    fields = (text or "").split(",")
    if len(fields) != _FIELDS:
        return None
    try:
        pace = float(fields[-1])
    except ValueError:
        return None
    return pace if math.isfinite(pace) and pace > 0.0 else None


class Pace:
    """The latest statement of a target, which soon loses its value.

    Differences that last show in its run times; so only the deviation from its
    own average counts here.
    """

    def __init__(self) -> None:
        """Starts without a statement."""
        self._latest = _USUAL
        self._average = _USUAL
        self._at_ms = -math.inf

    def add(self, pace: float, at_ms: float) -> None:
        """Adds a statement.

        Args:
            pace: Time that work takes, in hundredths of the usual time.
            at_ms: When it was received.
        """
        if at_ms < self._at_ms or not pace > 0.0:
            return
        self._latest = pace
        self._at_ms = at_ms
        self._average += SMOOTHING * (pace - self._average)

    def factor(self, now_ms: float) -> float:
        """Returns the time that work takes now, relative to usual."""
        age_ms = max(0.0, now_ms - self._at_ms)
        weight = 0.5 ** (age_ms / HALF_LIFE_MS)
        deviation = self._latest / self._average - 1.0
        return min(MAX_FACTOR, max(MIN_FACTOR, 1.0 + weight * deviation))
