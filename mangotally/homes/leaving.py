"""Graceful shutdown: leaves the fleet without interrupting requests."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mangotally.callers import readiness as readiness_lib

logger = logging.getLogger(__name__)


class FleetMembership(Protocol):
    """The membership of this host in the fleet."""

    async def leave(self) -> None:
        """Leaves the view; other hosts become homes of this host's keys."""


class Worker(Protocol):
    """A component with work in progress."""

    async def wait_idle(self) -> None:
        """Waits until no work is in progress."""


class GracefulShutdown:
    """The steps of a graceful shutdown; each remains in effect in the next.

    The home of a key is the host that owns it.

    1. `/ready` answers 503 while requests are still served, so that the load
       balancer stops sending requests.
    2. New requests are refused as not run; requests in progress continue.
    3. The host leaves the view. Other hosts become the homes of its keys, and
       calls that wait here for a slot ask the new home. Turns in progress
       here are completed and saved.
    4. The host waits until all work has ended, or for `shutdown_ms`.
    """

    def __init__(
        self,
        readiness: readiness_lib.Readiness,
        fleet: FleetMembership,
        workers: Sequence[Worker],
        notice_ms: float,
        shutdown_ms: float,
    ) -> None:
        """Creates the shutdown; `run` carries it out.

        Args:
            readiness: Counts the requests of callers and refuses new ones.
            fleet: The fleet to leave.
            workers: The components to wait for, in this order.
            notice_ms: Time after which the load balancer and the other hosts
                have noticed a change of this host's state.
            shutdown_ms: Longest time to wait for work in progress.
        """
        self._readiness = readiness
        self._fleet = fleet
        self._workers = workers
        self._notice_ms = notice_ms
        self._shutdown_ms = shutdown_ms

    async def run(self) -> None:
        """Carries out all steps."""
        logger.info(
            "leaving", extra={"requests": self._readiness.active_requests}
        )
        self._readiness.start_draining()
        await self._wait_until_noticed()
        self._readiness.refuse_new_requests()
        await self._fleet.leave()
        await self._wait_until_noticed()
        try:
            async with asyncio.timeout(clock_lib.to_seconds(self._shutdown_ms)):
                for worker in (self._readiness, *self._workers):
                    await worker.wait_idle()
        except TimeoutError:
            logger.warning(
                "requests_cut",
                extra={"requests": self._readiness.active_requests},
            )

    async def _wait_until_noticed(self) -> None:
        if self._notice_ms:
            await asyncio.sleep(clock_lib.to_seconds(self._notice_ms))
