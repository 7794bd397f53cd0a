"""This host's share of the log's appends."""

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


class Pacer:
    """Lets appends through at once when idle, and at a rate when busy.

    Records that arrive while an append waits here go with it.
    """

    def __init__(
        self,
        fleet_rate_per_s: float,
        hosts: Callable[[], int],
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a pacer.

        Args:
            fleet_rate_per_s: Appends a second of all hosts together.
            hosts: Returns the number of hosts that share them.
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
        self._turn = asyncio.Lock()

    async def acquire(self) -> None:
        """Waits until one more append may be sent."""
        async with self._turn:
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
