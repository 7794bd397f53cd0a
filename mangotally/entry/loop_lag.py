"""How busy this process is, and whether it runs late."""

from __future__ import annotations

import asyncio
import collections
import logging
import time

from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

PERIOD_MS = 200
# A delay that callers notice.
LATE_MS = 100.0
LOG_MS = 2000


class LoopLagMonitor:
    """Compares when a timer should have run with when it did.

    A request's own times begin when its headers have been read; a process
    that is busy, slow or stopped shows here instead. Calls that wait in the
    library of the links or on the network do not.

    Attributes:
        served: Calls of other hosts since the last line of log, by name.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Makes a watcher that has seen no delay."""
        self._clock = clock
        self._most_ms = 0.0
        self._logged_ms = clock.now_ms()
        self._logged_cpu_s = time.process_time()
        self._most_since_log_ms = 0.0
        self.calls_served: collections.Counter[str] = collections.Counter()

    def count(self, name: str) -> None:
        """Counts a call of another host that this process has served."""
        self.calls_served[name] += 1

    def take_max_lag_ms(self) -> float:
        """Returns the longest delay since the last question."""
        most_ms, self._most_ms = self._most_ms, 0.0
        return most_ms

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + PERIOD_MS
            await asyncio.sleep(clock_lib.to_seconds(PERIOD_MS))
            self._note(self._clock.now_ms() - due_ms)

    def _note(self, delay_ms: float) -> None:
        self._most_ms = max(self._most_ms, delay_ms)
        self._most_since_log_ms = max(self._most_since_log_ms, delay_ms)
        if delay_ms >= LATE_MS:
            logger.warning("process_late", extra={"delay_ms": delay_ms})
        if self._clock.now_ms() - self._logged_ms >= LOG_MS:
            self._log_load()

    def _log_load(self) -> None:
        now_ms, cpu_s = self._clock.now_ms(), time.process_time()
        passed_ms = now_ms - self._logged_ms
        used_ms = (cpu_s - self._logged_cpu_s) * clock_lib.MS_PER_S
        logger.info(
            "load",
            extra={
                "processor": round(used_ms / passed_ms, 3),
                "most_late_ms": round(self._most_since_log_ms),
                **{
                    f"served_{k}": v
                    for k, v in sorted(self.calls_served.items())
                },
            },
        )
        self._logged_ms, self._logged_cpu_s = now_ms, cpu_s
        self._most_since_log_ms = 0.0
        self.calls_served.clear()
