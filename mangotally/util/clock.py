"""Clocks that return the time in milliseconds."""

from __future__ import annotations

import time
from typing import Protocol

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of time."""

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch in milliseconds."""


class SystemClock:
    """The clock of the operating system."""

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""
        return time.monotonic_ns() / NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch in milliseconds."""
        return time.time_ns() // NS_PER_MS


class BootClock(SystemClock):
    """A system clock that also advances while the machine is suspended.

    After a suspension, the age of anything recorded before it, such as a
    lease proof, then agrees with the age that other hosts see.
    """

    def now_ms(self) -> float:
        """Returns the time since the machine booted, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS


class ManualClock:
    """A clock that advances only on request, for tests and replay."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Returns the current virtual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the current virtual time in whole milliseconds."""
        return int(self._now_ms)

    def advance(self, by_ms: float) -> None:
        """Advances the clock.

        Args:
            by_ms: Milliseconds to add, at least 0.
        """
        self._now_ms += by_ms


def to_seconds(time_ms: float) -> float:
    """Converts milliseconds to seconds, the unit of the event loop."""
    return time_ms / MS_PER_S
