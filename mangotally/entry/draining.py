"""Ends the requests of a host that stops before its process is killed."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Phase(enum.Enum):
    """What a host does with requests.

    Attributes:
        SERVING: It runs them.
        DRAINING: It runs them, and closes each connection after its answer.
            The load balancer may still send new connections.
        REFUSING: It refuses new ones. They would have too little time, as the
            process is killed at the end of the grace period.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REFUSING = "refusing"


class Drain:
    """Phase of a host, and the time by which its requests have to end.

    Attributes:
        phase: What the host does with requests.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initialises the phase of a host that serves.

        Args:
            clock: Source of the current time.
        """
        self.phase = Phase.SERVING
        self._clock = clock
        self._end_ms: float | None = None
        self._limits: set[asyncio.Timeout] = set()

    @property
    def is_draining(self) -> bool:
        """Whether the host stops."""
        return self.phase is not Phase.SERVING

    def start(self, end_ms: float) -> None:
        """Starts draining.

        Args:
            end_ms: When all requests have to end.
        """
        self.phase = Phase.DRAINING
        self._end_ms = end_ms
        for limit in self._limits:
            limit.reschedule(self._end_s())

    def refuse_new(self) -> None:
        """Refuses new requests from now on."""
        self.phase = Phase.REFUSING

    @contextlib.asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Cancels the body of the `async with` when requests have to end.

        Raises:
            TimeoutError: The body was cancelled.
        """
        async with asyncio.timeout_at(self._end_s()) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.remove(limit)

    def _end_s(self) -> float | None:
        """Returns the end on the clock of the event loop, or None."""
        if self._end_ms is None:
            return None
        remaining_ms = self._end_ms - self._clock.now_ms()
        loop = asyncio.get_running_loop()
        return loop.time() + clock_lib.to_seconds(remaining_ms)
