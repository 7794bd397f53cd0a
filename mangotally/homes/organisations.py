"""Rate limiting of organisations' calls at the organisations' homes.

The home of an organisation is the host that owns its key. When the home
changes, the previous home hands the organisation's token bucket over.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import rate_decisions, rate_limits
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import configuration, membership
    from mangotally.hosts import peers as peers_lib
    from mangotally.hosts import router
    from mangotally.settings import lists

logger = logging.getLogger(__name__)

HAND_OVER_TIMEOUT_MS = 500
READ_TIMEOUT_MS = 400
# A delayed call waits at most for this many leases and the extra time, in
# which the lease of a crashed home expires and another host replaces it.
HOLD_LEASES = 1.5
EXTRA_HOLD_MS = 2000


def max_hold_ms(lease_ms: float) -> float:
    """Returns how long a call is delayed at most while its home changes."""
    return HOLD_LEASES * lease_ms + EXTRA_HOLD_MS


@dataclasses.dataclass
class _DelayQueue:
    """Delayed calls of one organisation, decided in order of arrival."""

    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    calls: int = 0


class OrganisationHome:
    """Token buckets of the organisations whose home is this host."""

    def __init__(
        self,
        members: membership.Membership,
        live: configuration.LiveConfiguration,
        peers: peers_lib.PeerClient,
        clock: clock_lib.Clock,
        lease_ms: float,
    ) -> None:
        """Creates the service; `attach` registers its handlers."""
        self._members = members
        self._live = live
        self._peers = peers
        self._clock = clock
        self._hold_ms = max_hold_ms(lease_ms)
        self._rate_limits = rate_limits.RateLimits(members.state)
        self._lists: lists.Lists | None = None
        self._cached_limits: dict[
            ids.OrganisationId, rate_decisions.RateLimit
        ] = {}
        self._queues: dict[ids.OrganisationId, _DelayQueue] = {}
        self._homes_changed = asyncio.Event()
        self._background = background.BackgroundTasks(self._follow_homes)
        members.on_change(self._on_change)
        members.on_leave(self.bequeath_buckets)

    async def __aenter__(self) -> Self:
        """Starts to request the buckets of keys that move to this host."""
        self._homes_changed.set()
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops requesting buckets."""
        await self._background.stop()

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handlers."""
        handlers.add_unary(messages.TakeTokens, self.admit)
        handlers.add_unary(messages.ReturnTokens, self.settle_batch)
        handlers.add_unary(messages.HandOver, self.hand_over)
        handlers.add_unary(messages.Bequeath, self.receive_bequest)

    async def admit(
        self, message: messages.TakeTokens
    ) -> errors.Outcome[messages.TokensTaken]:
        """Admits, delays or refuses calls of an organisation."""
        limit = self._current_limits().get(message.organisation)
        if limit is None:
            return _plan_missing()
        arrived_ms = self._clock.now_ms()
        if message.returned is not None:
            self._rate_limits.settle(
                message.organisation, message.returned, arrived_ms
            )
        queue = self._queues.setdefault(message.organisation, _DelayQueue())
        decision = self._rate_limits.take(
            message.organisation, limit, message.count, arrived_ms, queue.calls
        )
        if _is_undecided(decision):
            decision = await self._wait_in_queue(message, queue)
        if queue.calls == 0:
            self._queues.pop(message.organisation, None)
        if isinstance(decision, rate_decisions.Admitted):
            return self._admit(message, limit, arrived_ms)
        return _to_failure(decision)

    async def settle_batch(
        self, message: messages.ReturnTokens
    ) -> errors.Outcome[messages.Done]:
        """Puts the unused tokens of a batch back into the bucket."""
        self._rate_limits.settle(
            message.organisation, message.returned, self._clock.now_ms()
        )
        return result.Success(messages.Done())

    async def hand_over(
        self, message: messages.HandOver
    ) -> errors.Outcome[rate_decisions.BucketState]:
        """Hands an organisation's bucket over to its new home."""
        limit = self._current_limits().get(message.organisation)
        if limit is None:
            return _plan_missing()
        if not await self._members.wait_until_read(
            message.offset, READ_TIMEOUT_MS
        ):
            return errors.failed(
                errors.Reason.UNAVAILABLE,
                "The members stream has not been read up to the offset.",
            )
        state = self._rate_limits.hand_over(
            message.organisation, message.offset, limit, self._clock.now_ms()
        )
        if state is None:
            return errors.failed(
                errors.Reason.CONFLICT,
                "This host has no reliable state of the bucket.",
            )
        return result.Success(state)

    async def receive_bequest(
        self, message: messages.Bequeath
    ) -> errors.Outcome[messages.Done]:
        """Stores a bucket that a host sends before it leaves the fleet."""
        self._rate_limits.receive_bequest(message.bequest, self._clock.now_ms())
        return result.Success(messages.Done())

    async def bequeath_buckets(self) -> None:
        """Stops granting tokens and sends the buckets to the next homes."""
        await self._request_handovers()
        limits = self._current_limits()
        bequests = self._rate_limits.bequests(limits, self._clock.now_ms())
        sent = await asyncio.gather(
            *(
                self._peers.call(
                    item.heir, messages.Bequeath(item), HAND_OVER_TIMEOUT_MS
                )
                for item in bequests
            )
        )
        accepted = sum(isinstance(item, result.Success) for item in sent)
        logger.info(
            "buckets_handed_on", extra={"sent": len(sent), "taken": accepted}
        )

    async def _follow_homes(self) -> None:
        """Requests the buckets of new keys before calls for them arrive."""
        while True:
            await self._homes_changed.wait()
            self._homes_changed.clear()
            await self._request_handovers()

    async def _request_handovers(self) -> None:
        requests = self._rate_limits.pending_handovers(
            self._current_limits(), self._clock.now_ms()
        )
        await asyncio.gather(
            *(self._request_handover(*item) for item in requests)
        )

    def _on_change(self) -> None:
        self._rate_limits.prune(self._clock.now_ms())
        self._homes_changed.set()

    def _current_limits(
        self,
    ) -> dict[ids.OrganisationId, rate_decisions.RateLimit]:
        """Returns the rate limits of all organisations.

        They are computed once per version of the configuration.
        """
        current = self._live.current.lists
        if current is self._lists:
            return self._cached_limits
        self._lists = current
        self._cached_limits = {}
        if current is None:
            return self._cached_limits
        rate_limits_by_plan = {
            plan.name: rate_decisions.RateLimit(plan.rate_per_s, plan.burst)
            for plan in current.uses.plans
        }
        for item in current.plans.organisations:
            organisation = ids.OrganisationId(item.id)
            self._cached_limits[organisation] = rate_limits_by_plan[item.plan]
        return self._cached_limits

    def dump(self) -> dict[str, object]:
        """Returns the levels of the buckets, for the state dump."""
        levels = self._rate_limits.levels(self._clock.now_ms())
        return {
            name: {
                "level": round(level, 3),
                "held": self._queues[name].calls if name in self._queues else 0,
            }
            for name, level in levels.items()
        }

    def _admit(
        self,
        message: messages.TakeTokens,
        limit: rate_decisions.RateLimit,
        arrived_ms: float,
    ) -> errors.Outcome[messages.TokensTaken]:
        now_ms = self._clock.now_ms()
        batch = None
        if message.spare and message.organisation not in self._queues:
            batch = self._rate_limits.issue_batch(
                message.organisation, limit, message.spare, now_ms
            )
        held_ms = now_ms - arrived_ms
        if batch is None:
            return result.Success(messages.TokensTaken(held_ms))
        return result.Success(
            messages.TokensTaken(held_ms, batch.number, batch.count)
        )

    async def _wait_in_queue(
        self, message: messages.TakeTokens, queue: _DelayQueue
    ) -> rate_decisions.Decision:
        queue.calls += message.count
        try:
            async with asyncio.timeout(clock_lib.to_seconds(self._hold_ms)):
                async with queue.lock:
                    return await self._decide_delayed(message)
        except TimeoutError:
            return rate_decisions.OverRate(self._hold_ms)
        finally:
            queue.calls -= message.count

    async def _decide_delayed(
        self, message: messages.TakeTokens
    ) -> rate_decisions.Decision:
        while True:
            limit = self._current_limits().get(message.organisation)
            if limit is None:
                return rate_decisions.Refusal.NOT_HOME
            decision = self._rate_limits.take(
                message.organisation,
                limit,
                message.count,
                self._clock.now_ms(),
            )
            match decision:
                case rate_decisions.AskPrevious():
                    await self._request_handover(message.organisation, decision)
                case rate_decisions.Held(wait_ms):
                    await asyncio.sleep(clock_lib.to_seconds(wait_ms))
                case _:
                    return decision

    async def _request_handover(
        self,
        organisation: ids.OrganisationId,
        request: rate_decisions.AskPrevious,
    ) -> None:
        answer = await self._peers.call(
            request.host,
            messages.HandOver(organisation, request.offset),
            HAND_OVER_TIMEOUT_MS,
        )
        limit = self._current_limits().get(organisation)
        match answer:
            case result.Success(rate_decisions.BucketState() as state) if limit:
                self._rate_limits.accept(
                    organisation,
                    request.offset,
                    state,
                    limit,
                    self._clock.now_ms(),
                )
            case _:
                logger.info(
                    "bucket_not_handed_over",
                    extra={
                        "organisation": organisation,
                        "previous": request.host,
                    },
                )


def _is_undecided(decision: rate_decisions.Decision) -> bool:
    return isinstance(
        decision, rate_decisions.Held | rate_decisions.AskPrevious
    )


def _to_failure(decision: rate_decisions.Decision) -> errors.Outcome[Any]:
    match decision:
        case rate_decisions.OverRate(wait_ms):
            return errors.failed(
                errors.Reason.OVER_RATE,
                "The organisation is over its rate.",
                retry_after_ms=math.ceil(wait_ms),
            )
        case rate_decisions.Refusal.NO_LEASE:
            return errors.failed(
                errors.Reason.UNAVAILABLE,
                "Rates cannot be checked now.",
                retry_after_ms=EXTRA_HOLD_MS,
            )
        case _:
            return errors.home_moved()


def _plan_missing() -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.FORBIDDEN, "The organisation has no plan."
    )
