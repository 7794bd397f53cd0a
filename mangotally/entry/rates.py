"""Rates of organisations over all hosts."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2
from mangotally.policy import admission
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import configuration_cache as knowledge_lib
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import model, peers

# Longer than a lost packet takes to be sent again.
HOME_TIMEOUT_MS = 300
# Another host may reach the home.
UNKNOWN_RETRY_MS = 50
# Parts of the bound's tolerance. The rest is for clocks and late changes.
HOME_TOLERANCE = 0.45
DEPUTY_TOLERANCE = 0.35
LOCAL_TOLERANCE = 0.1
MAX_RETRY_AFTER_MS = 1500


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

    def allowed(self, terms: model.Organisation) -> float:
        """Returns the calls that an organisation may make in a window."""
        rate_per_ms = terms.rate_per_s / clock_lib.MS_PER_S
        return rate_per_ms * self.window_ms + terms.burst

    def tolerance(self, terms: model.Organisation) -> float:
        """Returns the calls in a window that are tolerated besides."""
        return self.allowed(terms) * self.overshoot + self.slack


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A call may run now.

    Attributes:
        is_new: Whether it begins a program, or None if that is not known.
        source: Who says so: `home`, `deputy` or `alone`.
    """

    is_new: bool | None
    source: str


@dataclasses.dataclass(frozen=True)
class OverRate:
    """A call is over its organisation's rate.

    Attributes:
        retry_after_ms: When it would not be.
        detail: Who says so, and the inputs of that decision.
    """

    retry_after_ms: float
    detail: str


@dataclasses.dataclass(frozen=True)
class HomeUnavailable:
    """Neither home answers, and this host's own part is used up.

    Attributes:
        retry_after_ms: When to try another host.
    """

    retry_after_ms: float


def local_call_limit(
    terms: model.Organisation, bounds: Bounds, hosts: int
) -> int:
    """Returns the calls in a window that a host admits by itself.

    All of these hosts together stay within the tolerance of the bound,
    whatever the homes grant besides.

    Args:
        terms: Terms of the organisation.
        bounds: What is tolerated.
        hosts: The most hosts that admit calls by themselves.
    """
    tolerance = bounds.tolerance(terms) * LOCAL_TOLERANCE
    return int(tolerance / hosts)


def home_key(organisation: ids.OrganisationId) -> str:
    """Returns the key whose home admits an organisation's calls."""
    return f"organisation/{organisation}"


def deputy_key(organisation: ids.OrganisationId) -> str:
    """Returns the key whose home admits some while the home is silent."""
    return f"deputy/{organisation}"


class RateHome:
    """Gates of the organisations that this host is home of."""

    def __init__(
        self,
        homes: homes_lib.Homes,
        knowledge: knowledge_lib.ConfigurationCache,
        bounds: Bounds,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a home without gates.

        Args:
            homes: Knows the homes.
            knowledge: The configuration.
            bounds: What is tolerated.
            clock: Time.
        """
        self._homes = homes
        self._knowledge = knowledge
        self._bounds = bounds
        self._clock = clock
        self._gates: dict[str, _Held] = {}

    def take(self, request: entry_pb2.TakeRequest) -> entry_pb2.TakeReply:
        """Admits a call, or says when it could be."""
        found = self._find(
            ids.OrganisationId(request.organisation), request.as_deputy
        )
        if found is None:
            return entry_pb2.TakeReply()
        decision = found.admit(
            request.program, request.kind, self._clock.now_ms()
        )
        reply = entry_pb2.TakeReply(
            is_new=decision.is_new,
            limit_calls=found.limit.calls,
            programs=found.active_programs,
        )
        if isinstance(decision, admission.Admitted):
            reply.outcome = reply.ADMITTED
            reply.wait_ms = decision.delay_ms
        else:
            reply.outcome = reply.OVER_RATE
            reply.wait_ms = decision.retry_after_ms
        return reply

    def _find(
        self, organisation: ids.OrganisationId, as_deputy: bool
    ) -> admission.AdmissionController | None:
        key = deputy_key(organisation) if as_deputy else home_key(organisation)
        since_ms = self._homes.owned_since_ms(key)
        terms = _terms(self._knowledge.configuration, organisation)
        if since_ms is None or terms is None:
            self._gates.pop(key, None)
            return None
        now_ms = self._clock.now_ms()
        limit = self._limit(terms, as_deputy)
        held = self._gates.get(key)
        if held is None or held.since_ms != since_ms:
            # What the home before has admitted is unknown: begin empty.
            held = _Held(admission.AdmissionController(limit, now_ms), since_ms)
            self._gates[key] = held
        if held.gate.limit != limit:
            held.gate.set_limit(limit, now_ms)
        return held.gate

    def _limit(
        self, terms: model.Organisation, as_deputy: bool
    ) -> admission.Limit:
        tolerance = self._bounds.tolerance(terms)
        calls = tolerance * DEPUTY_TOLERANCE
        if not as_deputy:
            calls = self._bounds.allowed(terms) + tolerance * HOME_TOLERANCE
        return admission.Limit(calls, self._bounds.window_ms)


class Rates:
    """Decides on each call, with the home's word or without it."""

    def __init__(
        self,
        home: RateHome,
        homes: homes_lib.Homes,
        links: peers.PeerClient,
        bounds: Bounds,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the decider.

        Args:
            home: Gates of this host.
            homes: Knows the homes.
            links: Links to the other hosts.
            bounds: What is tolerated.
            clock: Time.
        """
        self._home = home
        self._homes = homes
        self._links = links
        self._bounds = bounds
        self._clock = clock
        self._alone: dict[ids.OrganisationId, collections.deque[float]]
        self._alone = collections.defaultdict(collections.deque)

    async def admit(
        self, organisation: model.Organisation, program: str, kind: str
    ) -> Admitted | OverRate | HomeUnavailable:
        """Takes a token for a call, or says when there is one.

        Args:
            organisation: Its organisation.
            program: Its program, or empty.
            kind: Kind of the call.
        """
        if organisation.rate_per_s <= 0:
            return Admitted(None, "unlimited")
        for as_deputy in (False, True):
            reply = await self._ask(organisation, program, kind, as_deputy)
            if reply is None or reply.outcome == reply.NOT_HOME:
                continue
            source = "deputy" if as_deputy else "home"
            if reply.outcome == reply.OVER_RATE:
                wait_ms = min(reply.wait_ms, MAX_RETRY_AFTER_MS)
                detail = (
                    f"{source} limit={reply.limit_calls:.0f} "
                    f"programs={reply.programs} new={reply.is_new}"
                )
                return OverRate(wait_ms, detail)
            if reply.wait_ms > 0:
                await asyncio.sleep(clock_lib.to_seconds(reply.wait_ms))
            return Admitted(reply.is_new, source)
        return self._admit_alone(organisation)

    async def _ask(
        self,
        organisation: model.Organisation,
        program: str,
        kind: str,
        as_deputy: bool,
    ) -> entry_pb2.TakeReply | None:
        key = home_key(organisation.id)
        if as_deputy:
            key = deputy_key(organisation.id)
        request = entry_pb2.TakeRequest(
            organisation=organisation.id,
            program=program,
            kind=kind,
            as_deputy=as_deputy,
        )
        if self._homes.owned_since_ms(key) is not None:
            return self._home.take(request)
        address = self._links.home_address(self._homes, key)
        if address is None:
            return None
        return await self._links.take_tokens(address, request, HOME_TIMEOUT_MS)

    def _admit_alone(
        self, organisation: model.Organisation
    ) -> Admitted | HomeUnavailable:
        """Admits a call within this host's part of the tolerance.

        Nobody knows the number of hosts, but no more than `max_homes` are
        homes: only these have a part.
        """
        if not self._homes.is_home:
            return HomeUnavailable(UNKNOWN_RETRY_MS)
        now_ms = self._clock.now_ms()
        used = self._alone[organisation.id]
        while used and now_ms - used[0] > self._bounds.window_ms:
            used.popleft()
        most = local_call_limit(
            organisation, self._bounds, self._homes.max_homes
        )
        if len(used) < most:
            used.append(now_ms)
            return Admitted(None, "alone")
        return HomeUnavailable(UNKNOWN_RETRY_MS)


@dataclasses.dataclass
class _Held:
    gate: admission.AdmissionController
    since_ms: float


def _terms(
    configuration: model.Configuration | None,
    organisation: ids.OrganisationId,
) -> model.Organisation | None:
    if configuration is None:
        return None
    return configuration.organisations.get(organisation)
