"""Claims this host's calls in flight while it is not in the view.

The home of a pool (the host that owns its key) periodically asks the hosts of
the view for their calls in flight. A host that has left the view, or was
evicted while its calls continue, is not asked. It sends its calls to the home
without being asked until they have ended.
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

# Several claims are sent within the grace period, so that a lost one does no
# harm.
CLAIMS_PER_GRACE_PERIOD = 4


class CallClaimer:
    """Repeats this host's claims periodically while it has no lease."""

    def __init__(
        self,
        members: membership.Membership,
        slots: slot_client.SlotClient,
        peers: peers_lib.PeerClient,
        clock: clock_lib.Clock,
        grace_ms: float,
    ) -> None:
        """Creates a claimer; entering its context starts the claims.

        Args:
            members: The membership of this host.
            slots: The calls in flight.
            peers: The hosts of the fleet.
            clock: The clock.
            grace_ms: Time after which a sweep cancels an unclaimed call.
        """
        self._members = members
        self._slots = slots
        self._peers = peers
        self._clock = clock
        self._grace_ms = grace_ms
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts the periodic claims."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the periodic claims."""
        await self._background.stop()

    async def claim(self) -> None:
        """Claims the calls in flight once, if this host has no lease."""
        if self._members.lease.is_valid(self._clock.now_ms()):
            return
        await asyncio.gather(
            *(self._claim(service) for service in self._slots.active_services())
        )

    async def _run(self) -> None:
        while True:
            await self.claim()
            await asyncio.sleep(
                clock_lib.to_seconds(self._grace_ms / CLAIMS_PER_GRACE_PERIOD)
            )

    async def _claim(self, service: ids.ServiceId) -> None:
        """Claims the calls of one pool; failures are ignored, as it repeats."""
        home = self._members.home_of(rendezvous.pool_key(service))
        message = messages.ClaimCalls(
            self._members.host, service, self._slots.active_calls(service)
        )
        await self._peers.call(home, message, self._grace_ms)
