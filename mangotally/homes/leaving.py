"""Leaves the fleet without cutting a request."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mangotally.callers import readiness as readiness_lib

logger = logging.getLogger(__name__)


class Fleet(Protocol):
    """The fleet that this host is a member of."""

    async def leave(self) -> None:
        """Leaves the view; the homes of this host's keys move."""


class Worker(Protocol):
    """Something that has work under way."""

    async def wait_idle(self) -> None:
        """Waits until no work is under way."""


class Leaving:
    """Steps of a graceful shutdown, each while the ones before hold.

    1. `/ready` answers 503, requests are served on, so that the balancer
       finds out.
    2. New requests are refused as not run; those under way go on.
    3. The host leaves the view. Its homes move, and what waits here for a
       slot asks the new home. Turns under way here are finished and kept.
    4. All work under way ends, or the time for it is over.
    """

    def __init__(
        self,
        readiness: readiness_lib.Readiness,
        fleet: Fleet,
        workers: Sequence[Worker],
        notice_ms: float,
        shutdown_ms: float,
    ) -> None:
        """Makes the steps.

        Args:
            readiness: The gate of the requests of callers.
            fleet: The fleet to leave.
            workers: What has to become idle, in this order.
            notice_ms: How long the balancer and the other hosts take to
                find out.
            shutdown_ms: Longest time for work under way.
        """
        self._readiness = readiness
        self._fleet = fleet
        self._workers = workers
        self._notice_ms = notice_ms
        self._shutdown_ms = shutdown_ms

    async def run(self) -> None:
        """Carries out the steps."""
        logger.info(
            "leaving", extra={"requests": self._readiness.active_requests}
        )
        self._readiness.start_draining()
        await self._notice()
        self._readiness.refuse_new_requests()
        await self._fleet.leave()
        await self._notice()
        try:
            async with asyncio.timeout(clock_lib.to_seconds(self._shutdown_ms)):
                for worker in (self._readiness, *self._workers):
                    await worker.wait_idle()
        except TimeoutError:
            logger.warning(
                "requests_cut",
                extra={"requests": self._readiness.active_requests},
            )

    async def _notice(self) -> None:
        if self._notice_ms:
            await asyncio.sleep(clock_lib.to_seconds(self._notice_ms))
