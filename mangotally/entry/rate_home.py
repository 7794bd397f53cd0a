"""Rate limiters of the organisations that this host is the home of.

Home: the host that owns a key, here the key of an organisation. A new home
takes over the bucket of the one before it, which admits nothing from then on.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2
from mangotally.policy import admission
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import configuration_cache as cache_lib
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import model, peers

logger = logging.getLogger(__name__)

# Fractions of the tolerated overshoot that the home and the standby home may
# use. The rest covers hosts that act on their own, clock differences and late
# configuration changes.
HOME_TOLERANCE = 0.45
DEPUTY_TOLERANCE = 0.35
# Fraction of the tolerance that delayed calls may take up if their home does
# not hand its bucket over: the new home does not know of them.
DELAYED_TOLERANCE = 0.4
# Time-out for one earlier home. At several changes in a row, each knows only
# the next one; the second time-out is for all that are asked. Calls wait
# meanwhile, so it is below the time-out of a call to the home.
HAND_OVER_TIMEOUT_MS = 100.0
SEARCH_TIMEOUT_MS = 250.0


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Tolerated excess over the rate limit of an organisation.

    Attributes:
        window_ms: Length of the sliding window that calls are counted in.
        overshoot: Tolerated excess, as a fraction of the calls that rate and
            burst allow.
        slack: Number of calls tolerated in addition.
    """

    window_ms: float
    overshoot: float
    slack: float

    def allowed(self, organisation: model.Organisation) -> float:
        """Returns the number of calls that rate and burst allow per window."""
        rate_per_ms = organisation.rate_per_s / clock_lib.MS_PER_S
        return rate_per_ms * self.window_ms + organisation.burst

    def tolerance(self, organisation: model.Organisation) -> float:
        """Returns the number of calls per window tolerated in addition."""
        return self.allowed(organisation) * self.overshoot + self.slack


@dataclasses.dataclass
class _Limiter:
    """Rate limiter of an organisation.

    Attributes:
        controller: Decides which calls are admitted.
        since_ms: Time since which this host is the home.
    """

    controller: admission.AdmissionController
    since_ms: float


@dataclasses.dataclass(frozen=True)
class _HandedOver:
    """A bucket that was handed over.

    Attributes:
        address: The host that has it now.
        generation: Generation of the homes that this host knew then. If it is
            the home in a later one, it may take the bucket back.
    """

    address: str
    generation: int


class _Outcome(enum.Enum):
    """How the search for a bucket at earlier homes ended.

    Attributes:
        GIVEN: An earlier home handed it over.
        NOT_KEPT: The last one asked has admitted nothing, or knows no more.
        NOT_FOUND: One did not answer, or the time was up.
    """

    GIVEN = "given"
    NOT_KEPT = "not-kept"
    NOT_FOUND = "not-found"


@dataclasses.dataclass(frozen=True)
class _Found:
    """Result of that search.

    Attributes:
        outcome: How it ended.
        address: The home that it ended at.
        asked: Number of homes that were asked.
        tokens: Tokens of the bucket, if it was given.
    """

    outcome: _Outcome
    address: str
    asked: int
    tokens: float = 0.0


class RateHome:
    """Rate limiters of the organisations that this host is the home of.

    Attributes:
        address: Address of this host for other hosts.
    """

    def __init__(
        self,
        address: str,
        homes: homes_lib.Homes,
        peer_client: peers.PeerClient,
        configuration_cache: cache_lib.ConfigurationCache,
        bounds: Bounds,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without rate limiters.

        Args:
            address: Address of this host for other hosts.
            homes: Homes of keys.
            peer_client: Calls other hosts.
            configuration_cache: The active configuration.
            bounds: Tolerated excess.
            clock: Clock for rates.
        """
        self.address = address
        self._homes = homes
        self._peer_client = peer_client
        self._configuration_cache = configuration_cache
        self._bounds = bounds
        self._clock = clock
        self._limiters: dict[str, _Limiter] = {}
        self._creations: dict[str, asyncio.Task[_Limiter]] = {}
        self._handed_over: dict[str, _HandedOver] = {}

    async def take(
        self, key: str, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        """Admits a call, or returns when to retry it.

        Args:
            key: Key of the organisation, or of its standby home.
            request: The call.
        """
        limiter = await self._find(
            key, ids.OrganisationId(request.organisation), request.as_deputy
        )
        if limiter is None:
            handed_over = self._handed_over.get(key)
            moved_to = handed_over.address if handed_over else ""
            return entry_pb2.TakeReply(moved_to=moved_to)
        max_delay_ms = admission.MAX_DELAY_MS
        if request.HasField("max_delay_ms"):
            max_delay_ms = request.max_delay_ms
        decision = limiter.admit(
            request.program, request.kind, self._clock.now_ms(), max_delay_ms
        )
        reply = entry_pb2.TakeReply(
            is_new=decision.is_new,
            limit_calls=limiter.limit.calls,
            programs=limiter.active_programs,
        )
        if isinstance(decision, admission.Admitted):
            reply.outcome = reply.ADMITTED
            reply.wait_ms = decision.delay_ms
        else:
            reply.outcome = reply.OVER_RATE
            reply.wait_ms = decision.retry_after_ms
        return reply

    async def hand_over(
        self, request: entry_pb2.HandOverRequest
    ) -> entry_pb2.HandOverReply:
        """Hands a bucket over to a later home, and admits nothing any more."""
        key = request.key
        creation = self._creations.get(key)
        if creation is not None:
            await asyncio.wait((creation,))
        is_home = self._homes.owned_since_ms(key) is not None
        if is_home and request.generation <= self._homes.generation:
            # The other host does not know yet that it is home no longer.
            return entry_pb2.HandOverReply()
        limiter = self._limiters.pop(key, None)
        # No call has come while this host was the home: the bucket is still
        # where it would have asked for it.
        before = self._previous_address(key)
        self._handed_over[key] = _HandedOver(
            request.address, self._homes.generation
        )
        if limiter is None:
            if before is None or before == request.address:
                return entry_pb2.HandOverReply()
            return entry_pb2.HandOverReply(
                outcome=entry_pb2.HandOverReply.MOVED, address=before
            )
        tokens = limiter.controller.tokens(self._clock.now_ms())
        logger.info(
            "rate_handed_over",
            extra={"key": key, "address": request.address, "tokens": tokens},
        )
        return entry_pb2.HandOverReply(
            outcome=entry_pb2.HandOverReply.GIVEN, tokens=tokens
        )

    async def _find(
        self, key: str, organisation: ids.OrganisationId, as_deputy: bool
    ) -> admission.AdmissionController | None:
        since_ms = self._homes.owned_since_ms(key)
        found = _find_organisation(
            self._configuration_cache.configuration, organisation
        )
        if since_ms is None or found is None or self._is_handed_over(key):
            return None
        limit = self._limit(found, as_deputy)
        limiter = self._limiters.get(key)
        if limiter is None or limiter.since_ms != since_ms:
            limiter = await self._create(key, limit, since_ms)
            if self._homes.owned_since_ms(key) != limiter.since_ms:
                return None
            if self._limiters.get(key) is not limiter:
                return None
        if limiter.controller.limit != limit:
            limiter.controller.set_limit(limit, self._clock.now_ms())
        return limiter.controller

    def _is_handed_over(self, key: str) -> bool:
        handed_over = self._handed_over.get(key)
        if handed_over is None:
            return False
        return self._homes.generation <= handed_over.generation

    async def _create(
        self, key: str, limit: admission.Limit, since_ms: float
    ) -> _Limiter:
        """Creates a limiter; calls that come meanwhile share it."""
        creation = self._creations.get(key)
        if creation is None:
            creation = asyncio.create_task(
                self._take_over(key, limit, since_ms)
            )
            self._creations[key] = creation
            creation.add_done_callback(lambda _: self._creations.pop(key))
        return await asyncio.shield(creation)

    async def _take_over(
        self, key: str, limit: admission.Limit, since_ms: float
    ) -> _Limiter:
        tokens = await self._tokens_of_previous_home(key, limit)
        controller = admission.AdmissionController(
            limit, self._clock.now_ms(), tokens
        )
        self._handed_over.pop(key, None)
        self._limiters[key] = _Limiter(controller, since_ms)
        return self._limiters[key]

    async def _tokens_of_previous_home(
        self, key: str, limit: admission.Limit
    ) -> float:
        """Returns the tokens that a new home begins with."""
        address = self._previous_address(key)
        if address is None:
            return self._tokens_left_here(key)
        found = await self._search(key, address)
        match found.outcome:
            case _Outcome.GIVEN:
                tokens = found.tokens
            case _Outcome.NOT_KEPT:
                tokens = self._tokens_left_here(key)
            case _Outcome.NOT_FOUND:
                tokens = -limit.further_delayed_calls
        logger.info(
            "rate_taken_over",
            extra={
                "key": key,
                "outcome": found.outcome.value,
                "address": found.address,
                "asked": found.asked,
                "tokens": tokens,
            },
        )
        return tokens

    async def _search(self, key: str, address: str) -> _Found:
        """Asks earlier homes for a bucket, beginning at an address."""
        request = entry_pb2.HandOverRequest(
            key=key, generation=self._homes.generation, address=self.address
        )
        until_ms = self._clock.now_ms() + SEARCH_TIMEOUT_MS
        asked = 0
        while (left_ms := until_ms - self._clock.now_ms()) > 0:
            if address == self.address:
                return _Found(_Outcome.NOT_KEPT, address, asked)
            asked += 1
            reply = await self._peer_client.hand_over(
                address, request, min(HAND_OVER_TIMEOUT_MS, left_ms)
            )
            if reply is None:
                break
            if reply.outcome == reply.GIVEN:
                return _Found(_Outcome.GIVEN, address, asked, reply.tokens)
            if reply.outcome == reply.UNKNOWN:
                return _Found(_Outcome.NOT_KEPT, address, asked)
            address = reply.address
        return _Found(_Outcome.NOT_FOUND, address, asked)

    def _previous_address(self, key: str) -> str | None:
        handed_over = self._handed_over.get(key)
        if handed_over is not None:
            return handed_over.address
        previous = self._homes.previous_home_of(key)
        return previous.address if previous is not None else None

    def _tokens_left_here(self, key: str) -> float:
        """Returns the tokens of an earlier time as home, none at most.

        What other homes have admitted since is unknown.
        """
        limiter = self._limiters.get(key)
        if limiter is None:
            return 0.0
        return min(0.0, limiter.controller.tokens(self._clock.now_ms()))

    def _limit(
        self, organisation: model.Organisation, as_deputy: bool
    ) -> admission.Limit:
        tolerance = self._bounds.tolerance(organisation)
        calls = tolerance * DEPUTY_TOLERANCE
        if not as_deputy:
            calls = (
                self._bounds.allowed(organisation) + tolerance * HOME_TOLERANCE
            )
        return admission.Limit(
            calls, self._bounds.window_ms, tolerance * DELAYED_TOLERANCE
        )


def _find_organisation(
    configuration: model.Configuration | None,
    organisation: ids.OrganisationId,
) -> model.Organisation | None:
    if configuration is None:
        return None
    return configuration.organisations.get(organisation)
