"""Claims the calls of a host that the sweeps do not ask.

A pool's home asks the hosts of the view which calls they have under way. A
host that has left the view, or was evicted while its calls go on, tells the
home by itself until they have ended.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from mangotally.hosts import messages
from mangotally.policy import rendezvous
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.homes import membership
    from mangotally.homes import slots as slot_client
    from mangotally.hosts import peers as peers_lib

CLAIMS_PER_GRACE = 4


class Claimer:
    """Repeats the claims of this host for as long as it has no lease."""

    def __init__(
        self,
        members: membership.Membership,
        slots: slot_client.SlotClient,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        grace_ms: float,
    ) -> None:
        """Makes a claimer; entering it starts it.

        Args:
            members: The membership of this host.
            slots: The calls under way.
            peers: The hosts of the fleet.
            clock: The clock.
            grace_ms: How long a sweep lets a call go unclaimed.
        """
        self._members = members
        self._slots = slots
        self._peers = peers
        self._clock = clock
        self._grace_ms = grace_ms
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts to claim."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to claim."""
        await self._background.stop()

    async def claim(self) -> None:
        """Claims the calls under way once, if this host has no lease."""
        if self._members.lease.is_valid(self._clock.now_ms()):
            return
        await asyncio.gather(
            *(self._claim(service) for service in self._slots.services())
        )

    async def _run(self) -> None:
        while True:
            await self.claim()
            await asyncio.sleep(
                clock_lib.to_seconds(self._grace_ms / CLAIMS_PER_GRACE)
            )

    async def _claim(self, service: ids.ServiceId) -> None:
        """Claims calls of one pool; a claim that is lost is soon repeated."""
        home = self._members.home_of(rendezvous.pool_key(service))
        message = messages.ClaimCalls(
            self._members.host, service, self._slots.running(service)
        )
        await self._peers.call(home, message, self._grace_ms)
