"""Rate limits of organisations across all hosts.

The home of an organisation, which is the host that owns its key, admits its
calls. If it does not respond, a standby home ("deputy") admits some calls, and
if that does not respond either, each home admits a few on its own.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2, rate_home
from mangotally.policy import admission
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import model, peers

# Longer than the retransmission of a lost packet takes.
HOME_TIMEOUT_MS = 300
# Another host may be able to reach the home.
UNKNOWN_RETRY_MS = 50
# Fraction of the tolerated overshoot that hosts acting on their own may use.
LOCAL_TOLERANCE = 0.1
# A call may be delayed for this fraction of the time that its caller waits; the
# rest is needed to run it.
MAX_DELAY_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A call may run now.

    Attributes:
        is_new: Whether the call starts a new program, or None if unknown.
        source: Who admitted the call: `home`, `deputy` (the standby home) or
            `alone` (this host on its own); `unlimited` without a rate limit.
    """

    is_new: bool | None
    source: str


@dataclasses.dataclass(frozen=True)
class OverRate:
    """A call exceeds the rate limit of its organisation.

    Attributes:
        retry_after_ms: Time after which the call would be admitted.
        detail: Who refused the call, and the inputs of the decision.
    """

    retry_after_ms: float
    detail: str


@dataclasses.dataclass(frozen=True)
class HomeUnavailable:
    """Neither home responds, and the local limit is exhausted.

    Attributes:
        retry_after_ms: Time after which to try another host.
    """

    retry_after_ms: float


def local_call_limit(
    organisation: model.Organisation, bounds: rate_home.Bounds, hosts: int
) -> int:
    """Returns the number of calls per window that a host admits on its own.

    All such hosts together stay within their fraction of the tolerance, in
    addition to the calls that the home and the standby home admit.

    Args:
        organisation: Organisation with its rate limit.
        bounds: Tolerated excess.
        hosts: Maximum number of hosts that admit calls on their own.
    """
    tolerance = bounds.tolerance(organisation) * LOCAL_TOLERANCE
    return int(tolerance / hosts)


def home_key(organisation: ids.OrganisationId) -> str:
    """Returns the key whose home admits the calls of an organisation."""
    return f"organisation/{organisation}"


def deputy_key(organisation: ids.OrganisationId) -> str:
    """Returns the key whose home is the standby home of an organisation.

    The standby home admits some calls while the home does not respond.
    """
    return f"deputy/{organisation}"


def key_of(request: entry_pb2.TakeRequest) -> str:
    """Returns the key whose home a call is sent to."""
    organisation = ids.OrganisationId(request.organisation)
    if request.as_deputy:
        return deputy_key(organisation)
    return home_key(organisation)


class Rates:
    """Admits calls through the home, the standby home, or a local limit."""

    def __init__(
        self,
        home: rate_home.RateHome,
        homes: homes_lib.Homes,
        links: peers.PeerClient,
        bounds: rate_home.Bounds,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the client.

        Args:
            home: Rate limiters that this host keeps as a home.
            homes: Homes of keys.
            links: Connections to the other hosts.
            bounds: Tolerated excess.
            clock: Clock for rates.
        """
        self._local = home
        self._homes = homes
        self._peers = links
        self._bounds = bounds
        self._clock = clock
        self._admitted_ms: dict[ids.OrganisationId, collections.deque[float]]
        self._admitted_ms = collections.defaultdict(collections.deque)

    async def admit(
        self,
        organisation: model.Organisation,
        program: str,
        kind: str,
        time_left_ms: float,
    ) -> Admitted | OverRate | HomeUnavailable:
        """Takes a token for a call, or returns when to retry it.

        Args:
            organisation: Organisation that makes the call.
            program: Program that the call belongs to, or empty.
            kind: Kind of the call.
            time_left_ms: How long the caller still waits for an answer.
        """
        if organisation.rate_per_s <= 0:
            return Admitted(None, "unlimited")
        request = entry_pb2.TakeRequest(
            organisation=organisation.id,
            program=program,
            kind=kind,
            max_delay_ms=MAX_DELAY_FRACTION * time_left_ms,
        )
        for as_deputy in (False, True):
            request.as_deputy = as_deputy
            reply = await self._ask(request)
            if reply is None or reply.outcome == reply.NOT_HOME:
                continue
            source = "deputy" if as_deputy else "home"
            if reply.outcome == reply.OVER_RATE:
                detail = (
                    f"{source} limit={reply.limit_calls:.0f} "
                    f"programs={reply.programs} new={reply.is_new}"
                )
                # Homes of earlier versions state later times, too.
                wait_ms = min(reply.wait_ms, admission.MAX_RETRY_AFTER_MS)
                return OverRate(wait_ms, detail)
            if reply.wait_ms > 0:
                await asyncio.sleep(clock_lib.to_seconds(reply.wait_ms))
            return Admitted(reply.is_new, source)
        return self._admit_locally(organisation)

    async def _ask(
        self, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply | None:
        key = key_of(request)
        if self._homes.owned_since_ms(key) is not None:
            reply = await self._local.take(key, request)
        else:
            address = self._peers.home_address(self._homes, key)
            if address is None:
                return None
            reply = await self._take_at(address, request)
        if reply is None or not reply.moved_to:
            return reply
        return await self._take_at(reply.moved_to, request)

    async def _take_at(
        self, address: str, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply | None:
        """Asks the home at an address, which may be this host."""
        if address == self._local.address:
            return await self._local.take(key_of(request), request)
        if not self._peers.is_available(address):
            return None
        return await self._peers.take_tokens(address, request, HOME_TIMEOUT_MS)

    def _admit_locally(
        self, organisation: model.Organisation
    ) -> Admitted | HomeUnavailable:
        """Admits a call within this host's share of the tolerance.

        The number of hosts is unknown, but at most `max_homes` of them are
        homes. Only these get a share.
        """
        if not self._homes.is_home:
            return HomeUnavailable(UNKNOWN_RETRY_MS)
        now_ms = self._clock.now_ms()
        used = self._admitted_ms[organisation.id]
        while used and now_ms - used[0] > self._bounds.window_ms:
            used.popleft()
        limit = local_call_limit(
            organisation, self._bounds, self._homes.max_homes
        )
        if len(used) < limit:
            used.append(now_ms)
            return Admitted(None, "alone")
        return HomeUnavailable(UNKNOWN_RETRY_MS)
