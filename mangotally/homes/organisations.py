"""Admission of organisations' calls at their home."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import bucket, homes
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import configuration, membership
    from mangotally.hosts import router

HOLD_MS = 2000


class OrganisationHome:
    """Token buckets of the organisations that this host is home of."""

    def __init__(
        self,
        members: membership.Membership,
        live: configuration.LiveConfiguration,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the home; `attach` puts it to work."""
        self._members = members
        self._live = live
        self._clock = clock
        self._buckets: dict[ids.OrganisationId, bucket.Bucket] = {}

    def attach(self, handlers: router.Router) -> None:
        """Adds this home's handlers."""
        handlers.add_unary(messages.TakeTokens, self.take)

    async def take(
        self, message: messages.TakeTokens
    ) -> errors.Outcome[messages.Done]:
        """Admits calls of an organisation, or refuses them."""
        lists = self._live.current.lists
        plan = lists and lists.organisation_plan(message.organisation)
        if not plan:
            return errors.failed(
                errors.Reason.FORBIDDEN, "The organisation has no plan."
            )
        now_ms = self._clock.now_ms()
        key = homes.organisation_key(message.organisation)
        if not self._members.is_home(key):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        if not self._members.lease.is_valid(now_ms):
            return errors.failed(
                errors.Reason.UNAVAILABLE,
                "Rates cannot be checked now.",
                retry_after_ms=HOLD_MS,
            )
        found = self._buckets.get(message.organisation)
        if found is None:
            found = bucket.Bucket(
                plan.rate_per_s, plan.burst, plan.burst, now_ms
            )
            self._buckets[message.organisation] = found
        found.change(plan.rate_per_s, plan.burst, now_ms)
        wait_ms = found.take(message.count, now_ms)
        if wait_ms == 0.0:
            return result.Success(messages.Done())
        return errors.failed(
            errors.Reason.OVER_RATE,
            "The organisation is over its rate.",
            retry_after_ms=math.ceil(wait_ms),
        )

    def dump(self) -> dict[str, object]:
        """Returns the buckets' levels, for the state dump."""
        now_ms = self._clock.now_ms()
        return {
            name: {"level": round(item.level(now_ms), 3)}
            for name, item in sorted(self._buckets.items())
        }


async def take_tokens(
    peers: object, members: membership.Membership, message: messages.TakeTokens
) -> errors.Outcome[messages.Done]:
    """Asks an organisation's home, through a change of home if need be.

    Args:
        peers: The `Peers` of this host.
        members: The membership of this host.
        message: What to ask.

    Returns:
        `Done`, or why the calls are not admitted.
    """
    from mangotally.hosts import peers as peers_lib

    assert isinstance(peers, peers_lib.Peers)
    key = homes.organisation_key(message.organisation)
    waited_ms = 0
    while True:
        outcome = await peers.call(members.home_of(key), message)
        if isinstance(outcome, result.Success) or waited_ms >= HOLD_MS:
            return outcome
        reason = outcome.failure().reason
        if reason not in (errors.Reason.MOVED, errors.Reason.UNAVAILABLE):
            return outcome
        await asyncio.sleep(clock_lib.to_seconds(100))
        waited_ms += 100
