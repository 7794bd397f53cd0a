"""Rates of organisations over all hosts."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
from typing import TYPE_CHECKING, Any, TypeGuard

from mangotally import ids
from mangotally.entry import entry_pb2, model
from mangotally.policy import allowance, bucket
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import knowledge as knowledge_lib
    from mangotally.entry import peers

logger = logging.getLogger(__name__)

# Longer than a call between failure domains with a busy host.
HOME_TIMEOUT_MS = 80
# A home that did not answer is not asked for so long.
HOME_PAUSE_MS = 250
# Refill that is waited for rather than refused.
HOLD_MS = 120
# Part of the bound's tolerance that hosts without a home use together.
FALLBACK_PART = 0.7
MIN_HOSTS = 16
MAX_RETRY_AFTER_MS = 2000


@dataclasses.dataclass(frozen=True)
class Bounds:
    """How far an organisation's calls may exceed its rate.

    Attributes:
        window_ms: Any span of this length counts.
        overshoot: Tolerated part of what the rate and burst allow.
        slack: Tolerated calls besides.
    """

    window_ms: float
    overshoot: float
    slack: float


@dataclasses.dataclass(frozen=True)
class OverRate:
    """A call is over its organisation's rate.

    Attributes:
        retry_after_ms: When it would not be.
        source: `home`, or `share` if the home did not answer.
    """

    retry_after_ms: float
    source: str


def fallback_calls(
    rate_per_s: float, burst: float, bounds: Bounds, hosts: int
) -> int:
    """Returns the calls in a window that a host admits without the home.

    All hosts together stay within the tolerance of the bound, whatever the
    home grants beside.
    """
    allowed = rate_per_s * bounds.window_ms / clock_lib.MS_PER_S + burst
    tolerance = allowed * bounds.overshoot + bounds.slack
    return int(tolerance * FALLBACK_PART / max(MIN_HOSTS, hosts))


def bucket_key(organisation: ids.OrganisationId) -> str:
    """Returns the key whose home grants an organisation's calls."""
    return f"organisation/{organisation}"


class RateHome:
    """Buckets of the organisations that this host is home of."""

    def __init__(
        self,
        homes: homes_lib.Homes,
        knowledge: knowledge_lib.Knowledge,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a home without buckets."""
        self._homes = homes
        self._knowledge = knowledge
        self._clock = clock
        self._buckets: dict[ids.OrganisationId, _Held] = {}
        self._batches = 0

    def take(self, request: entry_pb2.TakeRequest) -> entry_pb2.TakeReply:
        """Grants calls, or says when there will be tokens."""
        organisation = ids.OrganisationId(request.organisation)
        found = self._find(organisation)
        if found is None:
            return entry_pb2.TakeReply()
        now_ms = self._clock.now_ms()
        if request.returned_batch:
            found.settle(
                request.returned_batch, request.returned_unused, now_ms
            )
        wait_ms = found.take(request.count, now_ms)
        if wait_ms > 0:
            return entry_pb2.TakeReply(
                outcome=entry_pb2.TakeReply.OVER_RATE, wait_ms=wait_ms
            )
        reply = entry_pb2.TakeReply(outcome=entry_pb2.TakeReply.ADMITTED)
        if request.spare:
            self._give(found, request.spare, reply, now_ms)
        return reply

    def _give(
        self,
        found: bucket.Bucket,
        spare: int,
        reply: entry_pb2.TakeReply,
        now_ms: float,
    ) -> None:
        self._batches += 1
        expires_ms = now_ms + allowance.home_lifetime_ms()
        batch = bucket.Batch(self._batches, spare, expires_ms)
        if found.level(now_ms) >= 2 * spare and found.give(batch, now_ms):
            reply.batch = batch.number
            reply.batch_count = batch.count

    def _find(self, organisation: ids.OrganisationId) -> bucket.Bucket | None:
        since_ms = self._homes.owned_since_ms(bucket_key(organisation))
        terms = _terms(self._knowledge.configuration, organisation)
        if since_ms is None or terms is None:
            self._buckets.pop(organisation, None)
            return None
        held = self._buckets.get(organisation)
        if held is None or held.since_ms != since_ms:
            # What the home before has granted is unknown: begin empty.
            new = bucket.Bucket(terms.rate_per_s, terms.burst, 0.0, since_ms)
            held = _Held(new, since_ms, terms)
            self._buckets[organisation] = held
        if held.terms != terms:
            now_ms = self._clock.now_ms()
            held.bucket.change(terms.rate_per_s, terms.burst, now_ms)
            held.terms = terms
        return held.bucket


class Rates:
    """Decides on each call, with the home's word or without it."""

    def __init__(
        self,
        home: RateHome,
        homes: homes_lib.Homes,
        links: peers.Peers,
        bounds: Bounds,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the decider.

        Args:
            home: Buckets of this host.
            homes: Knows the homes.
            links: Links to the other hosts.
            bounds: Bounds of the fallback.
            clock: Time.
        """
        self._home = home
        self._homes = homes
        self._links = links
        self._bounds = bounds
        self._clock = clock
        self._allowances: dict[ids.OrganisationId, allowance.Allowance] = (
            collections.defaultdict(allowance.Allowance)
        )
        self._fallback: dict[ids.OrganisationId, collections.deque[float]]
        self._fallback = collections.defaultdict(collections.deque)
        self._silent_until_ms: dict[str, float] = {}

    async def admit(self, organisation: model.Organisation) -> OverRate | None:
        """Takes a token for a call; returns why there is none, or None."""
        if organisation.rate_per_s <= 0:
            return None
        held = self._allowances[organisation.id]
        if held.take(self._clock.now_ms()):
            return None
        reply = await self._ask(organisation.id, held)
        if _is_short(reply):
            await asyncio.sleep(clock_lib.to_seconds(reply.wait_ms))
            reply = await self._ask(organisation.id, held)
        if reply is None:
            return self._use_share(organisation)
        if reply.outcome == reply.ADMITTED:
            return None
        return OverRate(min(reply.wait_ms, MAX_RETRY_AFTER_MS), "home")

    async def _ask(
        self, organisation: ids.OrganisationId, held: allowance.Allowance
    ) -> entry_pb2.TakeReply | None:
        sent_ms = self._clock.now_ms()
        returned = held.give_back()
        request = entry_pb2.TakeRequest(
            organisation=organisation,
            count=1,
            spare=held.wanted(),
            returned_batch=returned.number if returned else 0,
            returned_unused=returned.unused if returned else 0.0,
        )
        reply = await self._send(request, organisation)
        if reply is None or reply.outcome == reply.NOT_HOME:
            return None
        if reply.batch:
            held.receive(reply.batch, reply.batch_count, sent_ms)
        return reply

    async def _send(
        self, request: entry_pb2.TakeRequest, organisation: ids.OrganisationId
    ) -> entry_pb2.TakeReply | None:
        key = bucket_key(organisation)
        if self._homes.owned_since_ms(key) is not None:
            return self._home.take(request)
        home = self._homes.home_of(key)
        if home is None:
            return None
        now_ms = self._clock.now_ms()
        if now_ms < self._silent_until_ms.get(home.address, 0.0):
            return None
        reply = await self._links.take_tokens(
            home.address, request, HOME_TIMEOUT_MS
        )
        if reply is None:
            pause_until_ms = self._clock.now_ms() + HOME_PAUSE_MS
            self._silent_until_ms[home.address] = pause_until_ms
        return reply

    def _use_share(self, organisation: model.Organisation) -> OverRate | None:
        """Admits a call within this host's part of the tolerance."""
        now_ms = self._clock.now_ms()
        used = self._fallback[organisation.id]
        while used and now_ms - used[0] > self._bounds.window_ms:
            used.popleft()
        most = fallback_calls(
            organisation.rate_per_s,
            organisation.burst,
            self._bounds,
            len(self._homes.others()) + 1,
        )
        if len(used) < most:
            used.append(now_ms)
            return None
        return OverRate(HOME_PAUSE_MS, "share")


def _is_short(reply: entry_pb2.TakeReply | None) -> TypeGuard[Any]:
    """Returns whether there will be a token soon."""
    return (
        reply is not None
        and reply.outcome == reply.OVER_RATE
        and reply.wait_ms <= HOLD_MS
    )


@dataclasses.dataclass
class _Held:
    bucket: bucket.Bucket
    since_ms: float
    terms: model.Organisation


def _terms(
    configuration: model.Configuration | None,
    organisation: ids.OrganisationId,
) -> model.Organisation | None:
    if configuration is None:
        return None
    return configuration.organisations.get(organisation)
