"""Event loop lag and processor usage of this process."""

from __future__ import annotations

import asyncio
import collections
import logging
import time

from mangotally.util import clock as clock_lib

# A fixed name, since log lines contain the name of their logger.
logger = logging.getLogger("mangotally.entry.load")

PERIOD_MS = 200
# Lag from which callers notice a delay.
LAG_WARNING_MS = 100.0
LOG_MS = 2000


class LoopLagMonitor:
    """Measures the lag of a timer in the event loop.

    The latency of a request is measured from the time its headers have been
    read, so it does not show that the process was busy, slow or stopped before
    that. The lag does. It does not include the time that calls wait in the
    gRPC library or on the network.

    Attributes:
        calls_served: Calls by other hosts since the load was last logged, by
            name.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._max_ms = 0.0
        self._logged_ms = clock.now_ms()
        self._logged_cpu_s = time.process_time()
        self._max_since_log_ms = 0.0
        self.calls_served: collections.Counter[str] = collections.Counter()

    def count(self, name: str) -> None:
        """Counts a call by another host that this process has served."""
        self.calls_served[name] += 1

    def take_max_lag_ms(self) -> float:
        """Returns the maximum lag since the last call of this method."""
        max_ms, self._max_ms = self._max_ms, 0.0
        return max_ms

    async def run(self) -> None:
        """Measures the lag until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + PERIOD_MS
            await asyncio.sleep(clock_lib.to_seconds(PERIOD_MS))
            self._record(self._clock.now_ms() - due_ms)

    def _record(self, lag_ms: float) -> None:
        self._max_ms = max(self._max_ms, lag_ms)
        self._max_since_log_ms = max(self._max_since_log_ms, lag_ms)
        if lag_ms >= LAG_WARNING_MS:
            logger.warning("process_late", extra={"delay_ms": lag_ms})
        if self._clock.now_ms() - self._logged_ms >= LOG_MS:
            self._log_load()

    def _log_load(self) -> None:
        now_ms, cpu_s = self._clock.now_ms(), time.process_time()
        elapsed_ms = now_ms - self._logged_ms
        used_ms = (cpu_s - self._logged_cpu_s) * clock_lib.MS_PER_S
        logger.info(
            "load",
            extra={
                "processor": round(used_ms / elapsed_ms, 3),
                "most_late_ms": round(self._max_since_log_ms),
                **{
                    f"served_{k}": v
                    for k, v in sorted(self.calls_served.items())
                },
            },
        )
        self._logged_ms, self._logged_cpu_s = now_ms, cpu_s
        self._max_since_log_ms = 0.0
        self.calls_served.clear()
