"""Admission of organisations' calls at their home."""

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
HOLD_LEASES = 1.5
HOLD_EXTRA_MS = 2000


def hold_ms(lease_ms: float) -> float:
    """Returns how long a call is held while its home changes."""
    return HOLD_LEASES * lease_ms + HOLD_EXTRA_MS


@dataclasses.dataclass
class _Line:
    """Held calls of one organisation, decided in order of arrival."""

    turn: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    calls: int = 0


class OrganisationHome:
    """Token buckets of the organisations that this host is home of."""

    def __init__(
        self,
        members: membership.Membership,
        live: configuration.LiveConfiguration,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        lease_ms: float,
    ) -> None:
        """Makes the home; `attach` puts it to work."""
        self._members = members
        self._live = live
        self._peers = peers
        self._clock = clock
        self._hold_ms = hold_ms(lease_ms)
        self._limits = rate_limits.RateLimits(members.state)
        self._lists: lists.Lists | None = None
        self._known_plans: dict[
            ids.OrganisationId, rate_decisions.RateLimit
        ] = {}
        self._lines: dict[ids.OrganisationId, _Line] = {}
        self._moved = asyncio.Event()
        self._background = background.BackgroundTasks(self._follow_homes)
        members.on_change(self._on_change)
        members.on_leave(self.hand_on)

    async def __aenter__(self) -> Self:
        """Starts to ask for the buckets of keys that move here."""
        self._moved.set()
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to ask."""
        await self._background.stop()

    def attach(self, handlers: router.Router) -> None:
        """Adds this home's handlers."""
        handlers.add_unary(messages.TakeTokens, self.take)
        handlers.add_unary(messages.ReturnTokens, self.take_back)
        handlers.add_unary(messages.HandOver, self.hand_over)
        handlers.add_unary(messages.Bequeath, self.receive)

    async def take(
        self, message: messages.TakeTokens
    ) -> errors.Outcome[messages.TokensTaken]:
        """Admits calls of an organisation, holds or refuses them."""
        terms = self._plans().get(message.organisation)
        if terms is None:
            return _no_plan()
        asked_ms = self._clock.now_ms()
        if message.returned is not None:
            self._limits.settle(
                message.organisation, message.returned, asked_ms
            )
        line = self._lines.setdefault(message.organisation, _Line())
        decision = self._limits.take(
            message.organisation, terms, message.count, asked_ms, line.calls
        )
        if _is_open(decision):
            decision = await self._wait_in_line(message, line)
        if line.calls == 0:
            self._lines.pop(message.organisation, None)
        if isinstance(decision, rate_decisions.Admitted):
            return self._admit(message, terms, asked_ms)
        return _refuse(decision)

    async def take_back(
        self, message: messages.ReturnTokens
    ) -> errors.Outcome[messages.Done]:
        """Takes back what was not used of a batch."""
        self._limits.settle(
            message.organisation, message.returned, self._clock.now_ms()
        )
        return result.Success(messages.Done())

    async def hand_over(
        self, message: messages.HandOver
    ) -> errors.Outcome[rate_decisions.BucketState]:
        """Hands an organisation's bucket to its new home."""
        terms = self._plans().get(message.organisation)
        if terms is None:
            return _no_plan()
        if not await self._members.wait_read(message.offset, READ_TIMEOUT_MS):
            return errors.failed(
                errors.Reason.UNAVAILABLE, "The stream is not read so far."
            )
        state = self._limits.hand_over(
            message.organisation, message.offset, terms, self._clock.now_ms()
        )
        if state is None:
            return errors.failed(
                errors.Reason.CONFLICT, "This host cannot vouch for a bucket."
            )
        return result.Success(state)

    async def receive(
        self, message: messages.Bequeath
    ) -> errors.Outcome[messages.Done]:
        """Keeps the bucket of a host that is about to leave."""
        self._limits.receive_bequest(message.bequest, self._clock.now_ms())
        return result.Success(messages.Done())

    async def hand_on(self) -> None:
        """Stops all grants and sends the buckets to their next homes."""
        await self._ask_all()
        plans = self._plans()
        bequests = self._limits.bequests(plans, self._clock.now_ms())
        sent = await asyncio.gather(
            *(
                self._peers.call(
                    item.heir, messages.Bequeath(item), HAND_OVER_TIMEOUT_MS
                )
                for item in bequests
            )
        )
        taken = sum(isinstance(item, result.Success) for item in sent)
        logger.info(
            "buckets_handed_on", extra={"sent": len(sent), "taken": taken}
        )

    async def _follow_homes(self) -> None:
        """Asks for the buckets of new keys before their calls come."""
        while True:
            await self._moved.wait()
            self._moved.clear()
            await self._ask_all()

    async def _ask_all(self) -> None:
        questions = self._limits.pending_handovers(
            self._plans(), self._clock.now_ms()
        )
        await asyncio.gather(*(self._ask(*item) for item in questions))

    def _on_change(self) -> None:
        self._limits.prune(self._clock.now_ms())
        self._moved.set()

    def _plans(self) -> dict[ids.OrganisationId, rate_decisions.RateLimit]:
        """Returns the terms of all organisations, made once per version."""
        current = self._live.current.lists
        if current is self._lists:
            return self._known_plans
        self._lists = current
        self._known_plans = {}
        if current is None:
            return self._known_plans
        terms = {
            plan.name: rate_decisions.RateLimit(plan.rate_per_s, plan.burst)
            for plan in current.uses.plans
        }
        for item in current.plans.organisations:
            organisation = ids.OrganisationId(item.id)
            self._known_plans[organisation] = terms[item.plan]
        return self._known_plans

    def dump(self) -> dict[str, object]:
        """Returns the buckets' levels, for the state dump."""
        levels = self._limits.levels(self._clock.now_ms())
        return {
            name: {
                "level": round(level, 3),
                "held": self._lines[name].calls if name in self._lines else 0,
            }
            for name, level in levels.items()
        }

    def _admit(
        self,
        message: messages.TakeTokens,
        terms: rate_decisions.RateLimit,
        asked_ms: float,
    ) -> errors.Outcome[messages.TokensTaken]:
        now_ms = self._clock.now_ms()
        batch = None
        if message.spare and message.organisation not in self._lines:
            batch = self._limits.issue_batch(
                message.organisation, terms, message.spare, now_ms
            )
        held_ms = now_ms - asked_ms
        if batch is None:
            return result.Success(messages.TokensTaken(held_ms))
        return result.Success(
            messages.TokensTaken(held_ms, batch.number, batch.count)
        )

    async def _wait_in_line(
        self, message: messages.TakeTokens, line: _Line
    ) -> rate_decisions.Decision:
        line.calls += message.count
        try:
            async with asyncio.timeout(clock_lib.to_seconds(self._hold_ms)):
                async with line.turn:
                    return await self._decide(message)
        except TimeoutError:
            return rate_decisions.OverRate(self._hold_ms)
        finally:
            line.calls -= message.count

    async def _decide(
        self, message: messages.TakeTokens
    ) -> rate_decisions.Decision:
        while True:
            terms = self._plans().get(message.organisation)
            if terms is None:
                return rate_decisions.Refusal.NOT_HOME
            decision = self._limits.take(
                message.organisation,
                terms,
                message.count,
                self._clock.now_ms(),
            )
            match decision:
                case rate_decisions.AskPrevious():
                    await self._ask(message.organisation, decision)
                case rate_decisions.Held(wait_ms):
                    await asyncio.sleep(clock_lib.to_seconds(wait_ms))
                case _:
                    return decision

    async def _ask(
        self,
        organisation: ids.OrganisationId,
        question: rate_decisions.AskPrevious,
    ) -> None:
        answer = await self._peers.call(
            question.host,
            messages.HandOver(organisation, question.offset),
            HAND_OVER_TIMEOUT_MS,
        )
        terms = self._plans().get(organisation)
        match answer:
            case result.Success(rate_decisions.BucketState() as state) if terms:
                self._limits.accept(
                    organisation,
                    question.offset,
                    state,
                    terms,
                    self._clock.now_ms(),
                )
            case _:
                logger.info(
                    "bucket_not_handed_over",
                    extra={
                        "organisation": organisation,
                        "previous": question.host,
                    },
                )


def _is_open(decision: rate_decisions.Decision) -> bool:
    return isinstance(
        decision, rate_decisions.Held | rate_decisions.AskPrevious
    )


def _refuse(decision: rate_decisions.Decision) -> errors.Outcome[Any]:
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
                retry_after_ms=HOLD_EXTRA_MS,
            )
        case _:
            return errors.failed(errors.Reason.MOVED, "The home has moved.")


def _no_plan() -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.FORBIDDEN, "The organisation has no plan."
    )
