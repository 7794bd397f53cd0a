"""Rate limiter for this host's appends to the log."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from mangotally.policy import bucket
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_BURST = 2.0
BURST_MS = 500


class AppendRateLimiter:
    """Token bucket that gives each host an equal share of the append rate.

    An idle host may append at once, a busy one at the rate of its share.
    Records that arrive while an append waits here are written with it.
    """

    def __init__(
        self,
        fleet_rate_per_s: float,
        hosts: Callable[[], int],
        clock: clock_lib.Clock,
    ) -> None:
        """Creates a rate limiter with a full bucket.

        Args:
            fleet_rate_per_s: Appends per second of all hosts together.
            hosts: Returns the number of hosts that share this rate.
            clock: The clock.
        """
        self._fleet_rate_per_s = fleet_rate_per_s
        self._hosts = hosts
        self._clock = clock
        self._bucket = bucket.TokenBucket(
            self._rate_per_s(),
            self._burst(),
            self._burst(),
            clock.now_ms(),
        )
        self._lock = asyncio.Lock()

    async def acquire(self) -> None:
        """Waits until the next append may be sent."""
        async with self._lock:
            while True:
                now_ms = self._clock.now_ms()
                self._bucket.reconfigure(
                    self._rate_per_s(), self._burst(), now_ms
                )
                wait_ms = self._bucket.take(1, now_ms)
                if wait_ms <= 0.0:
                    return
                await asyncio.sleep(clock_lib.to_seconds(math.ceil(wait_ms)))

    def _rate_per_s(self) -> float:
        return self._fleet_rate_per_s / max(1, self._hosts())

    def _burst(self) -> float:
        return max(MIN_BURST, self._rate_per_s() * BURST_MS / 1000)
