"""Rate limiting of organisations' calls at their home, under its lease.

The home of an organisation is the host that owns its key.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import (
    bucket,
    ownership,
    prefetched_tokens,
    rate_decisions,
    rendezvous,
)
from mangotally.util import clock

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mangotally.policy import membership

# Interval between requests for the same handover, and between decisions on
# delayed calls.
ASK_AGAIN_MS = 250
# Number of hosts that receive a bucket when its home shuts down.
BEQUEST_COPIES = 2
# Calls that arrive at the rate within this time may be delayed in addition to
# the burst.
MAX_HELD_MS = 10_000
# Fraction of the burst that is not issued in batches.
RESERVED_FRACTION = 0.5
# Largest fraction of the other tokens that is issued in one batch.
BATCH_FRACTION = 0.25
MIN_BATCH_TOKENS = 2
# The upper bound of a transferred bucket is raised by the refill of this time,
# since the transfer itself takes time.
TRANSFER_MS = 1000
# Batch numbers are unique over homes: offset of the claim, then a counter.
_NUMBERS_PER_OFFSET = 1 << 24


@dataclasses.dataclass
class _Account:
    """A bucket, and the offset of the claim under which it was created."""

    bucket: bucket.TokenBucket
    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class _Received:
    """A handed-over bucket, and the time at which it arrived."""

    bequest: rate_decisions.Bequest
    received_ms: float


class RateLimits:
    """Buckets of the organisations whose home this host is."""

    def __init__(self, state: membership.MembershipState) -> None:
        """Starts without buckets.

        Args:
            state: Membership state of this host.
        """
        self._state = state
        self._accounts: dict[ids.OrganisationId, _Account] = {}
        self._claims: dict[ids.OrganisationId, ownership.OwnershipClaim] = {}
        self._generation = -1
        self._asked_ms: dict[ids.OrganisationId, float] = {}
        self._bequests: dict[ids.OrganisationId, _Received] = {}
        self._issued_batches = 0
        self.closing = False

    def take(
        self,
        organisation: ids.OrganisationId,
        limit: rate_decisions.RateLimit,
        count: float,
        now_ms: float,
        calls_ahead: float = 0,
    ) -> rate_decisions.Decision:
        """Decides whether calls are admitted.

        Args:
            organisation: The organisation.
            limit: Rate limit of its plan.
            count: Number of calls.
            now_ms: Current time.
            calls_ahead: Number of delayed calls that precede these. The total
                is limited to the burst plus the calls that arrive at the rate
                within `MAX_HELD_MS`; more are over the rate.
        """
        outcome = self.account(organisation, limit, now_ms)
        arriving_calls = MAX_HELD_MS * limit.rate_per_s / clock.MS_PER_S
        if isinstance(outcome, rate_decisions.Held):
            is_over = calls_ahead + count > limit.burst + arriving_calls
            return (
                rate_decisions.OverRate(outcome.wait_ms) if is_over else outcome
            )
        if not isinstance(outcome, bucket.TokenBucket):
            return outcome
        needed_tokens = max(count, calls_ahead + count - arriving_calls)
        excess_wait_ms = outcome.min_wait_ms(needed_tokens, now_ms)
        if excess_wait_ms > 0:
            return rate_decisions.OverRate(excess_wait_ms)
        if calls_ahead:
            return rate_decisions.Held(ASK_AGAIN_MS)
        wait_ms = outcome.take(count, now_ms)
        return (
            rate_decisions.Held(wait_ms)
            if wait_ms > 0
            else rate_decisions.Admitted()
        )

    def issue_batch(
        self,
        organisation: ids.OrganisationId,
        limit: rate_decisions.RateLimit,
        desired: float,
        now_ms: float,
    ) -> bucket.Batch | None:
        """Issues a batch of tokens that an entry host prefetches.

        Part of the bucket stays reserved, and only a fraction of the rest is
        issued, so that tokens remain for calls at other hosts. A batch must
        expire before the lease does.

        Args:
            organisation: The organisation.
            limit: Rate limit of its plan.
            desired: Tokens that the host can use within the lifetime of a
                batch.
            now_ms: Current time.

        Returns:
            The batch, or None if no batch can be issued.
        """
        outcome = self.account(organisation, limit, now_ms)
        if not isinstance(outcome, bucket.TokenBucket):
            return None
        free = outcome.level(now_ms) - limit.burst * RESERVED_FRACTION
        count = float(math.floor(min(desired, free * BATCH_FRACTION)))
        expires_ms = now_ms + prefetched_tokens.home_lifetime_ms()
        if count < MIN_BATCH_TOKENS:
            return None
        if expires_ms > self._state.lease.expires_ms:
            return None
        self._issued_batches += 1
        offset = self._accounts[organisation].offset + 1
        number = (
            offset * _NUMBERS_PER_OFFSET
            + self._issued_batches % _NUMBERS_PER_OFFSET
        )
        batch = bucket.Batch(number, count, expires_ms)
        outcome.issue_batch(batch, now_ms)
        return batch

    def settle(
        self,
        organisation: ids.OrganisationId,
        returned: prefetched_tokens.Returned,
        now_ms: float,
    ) -> None:
        """Takes back the tokens of a batch that an entry host did not use."""
        account = self._accounts.get(organisation)
        if account is not None and self._is_current(organisation, account):
            account.bucket.settle_batch(
                returned.number, returned.unused, now_ms
            )

    def account(
        self,
        organisation: ids.OrganisationId,
        limit: rate_decisions.RateLimit,
        now_ms: float,
    ) -> bucket.TokenBucket | rate_decisions.Decision:
        """Returns a bucket that may be used, or why it may not be used."""
        key = rendezvous.organisation_key(organisation)
        if self.closing:
            return rate_decisions.Refusal.CLOSING
        if self._state.home_of(key) != self._state.local_host.host:
            return rate_decisions.Refusal.NOT_HOME
        if not self._state.holds_lease(now_ms):
            return rate_decisions.Refusal.NO_LEASE
        claim = self._claim(organisation)
        if claim is None:
            return rate_decisions.Refusal.NOT_HOME
        account = self._accounts.get(organisation)
        if account is None or account.offset != claim.offset:
            created = self._create_bucket(organisation, claim, limit, now_ms)
            if not isinstance(created, bucket.TokenBucket):
                return created
            account = _Account(created, claim.offset)
            self._accounts[organisation] = account
        account.bucket.reconfigure(limit.rate_per_s, limit.burst, now_ms)
        return account.bucket

    def accept(
        self,
        organisation: ids.OrganisationId,
        offset: ids.Offset,
        state: rate_decisions.BucketState,
        limit: rate_decisions.RateLimit,
        now_ms: float,
    ) -> None:
        """Adopts the bucket that the previous home has handed over."""
        claim = self._claim(organisation)
        known = self._accounts.get(organisation)
        if claim is None or claim.offset != offset:
            return
        if known is not None and known.offset == offset:
            return
        restored = _restore(state, limit, now_ms)
        self._accounts[organisation] = _Account(restored, offset)

    def hand_over(
        self,
        organisation: ids.OrganisationId,
        offset: ids.Offset,
        limit: rate_decisions.RateLimit,
        now_ms: float,
    ) -> rate_decisions.BucketState | None:
        """Returns the state of a bucket for the home that a record determined.

        This host has read the record, so it no longer grants from the bucket.
        The request may be repeated with the same result, since only one home
        sends it.

        Args:
            organisation: The organisation.
            offset: Offset of the record that moved its key.
            limit: Rate limit of its plan.
            now_ms: Current time.

        Returns:
            The state, or None if this host does not know it for certain.
        """
        if self._state.next_offset <= offset:
            return None
        key = rendezvous.organisation_key(organisation)
        current = self._state.ownership.claim(key)
        if current is not None and current.offset < offset:
            return None
        claim = self._state.ownership.claim(key, before=offset)
        if claim is None:
            return None
        account = self._accounts.get(organisation)
        if account is not None and account.offset == claim.offset:
            return _export(account.bucket, now_ms)
        if now_ms < claim.exclusive_from_ms:
            return None
        level = _refilled_level(claim.exclusive_from_ms, limit, now_ms)
        return rate_decisions.BucketState(level, limit.burst)

    def pending_handovers(
        self,
        plans: Mapping[ids.OrganisationId, rate_decisions.RateLimit],
        now_ms: float,
    ) -> list[tuple[ids.OrganisationId, rate_decisions.AskPrevious]]:
        """Returns the handovers that this host has to request."""
        pending = []
        for organisation, limit in plans.items():
            outcome = self.account(organisation, limit, now_ms)
            if isinstance(outcome, rate_decisions.AskPrevious):
                pending.append((organisation, outcome))
        return pending

    def bequests(
        self,
        plans: Mapping[ids.OrganisationId, rate_decisions.RateLimit],
        now_ms: float,
    ) -> list[rate_decisions.Bequest]:
        """Stops granting tokens; returns the buckets for the next homes.

        Each bucket is sent to two hosts, since the first may be shutting down
        as well. It takes effect only at the host to which the key moves
        because its givers left.
        """
        created = []
        own_incarnation = (self._state.local_host.host, self._state.incarnation)
        for organisation, limit in plans.items():
            outcome = self.account(organisation, limit, now_ms)
            received = self._bequests.get(organisation)
            givers: tuple[ownership.HostIncarnation, ...] = (own_incarnation,)
            if isinstance(outcome, bucket.TokenBucket):
                state = _export(outcome, now_ms)
            elif received is not None:
                givers += received.bequest.givers
                state = _with_remaining_lifetimes(received, now_ms)
            else:
                continue
            leaving = {host for host, _ in givers}
            key = rendezvous.organisation_key(organisation)
            others = set(self._state.view.members) - leaving
            created += [
                rate_decisions.Bequest(heir, organisation, givers, state)
                for heir in rendezvous.ranked(key, others)[:BEQUEST_COPIES]
            ]
        self.closing = True
        return created

    def receive_bequest(
        self, bequest: rate_decisions.Bequest, now_ms: float
    ) -> None:
        """Stores a bucket that takes effect once its givers have left."""
        received = _Received(bequest, now_ms)
        self._bequests[bequest.organisation] = received

    def is_open(self, organisation: ids.OrganisationId, now_ms: float) -> bool:
        """Returns whether this host may currently grant tokens."""
        account = self._accounts.get(organisation)
        if (
            account is None
            or self.closing
            or not self._state.holds_lease(now_ms)
        ):
            return False
        return self._is_current(organisation, account)

    def prune(self, now_ms: float) -> None:
        """Drops full buckets of keys that moved away.

        A new home that gets no state for them loses nothing.
        """
        for organisation, account in list(self._accounts.items()):
            if self._is_current(organisation, account):
                continue
            if account.bucket.is_full(now_ms):
                del self._accounts[organisation]

    def levels(self, now_ms: float) -> dict[ids.OrganisationId, float]:
        """Returns the levels of the buckets whose home is this host."""
        return {
            organisation: account.bucket.level(now_ms)
            for organisation, account in sorted(self._accounts.items())
            if self._is_current(organisation, account)
        }

    def _is_current(
        self, organisation: ids.OrganisationId, account: _Account
    ) -> bool:
        claim = self._claim(organisation)
        return claim is not None and claim.offset == account.offset

    def _claim(
        self, organisation: ids.OrganisationId
    ) -> ownership.OwnershipClaim | None:
        if self._generation != self._state.generation:
            self._generation = self._state.generation
            self._claims.clear()
        known = self._claims.get(organisation)
        if known is None:
            key = rendezvous.organisation_key(organisation)
            known = self._state.ownership.claim(key)
            if known is not None:
                self._claims[organisation] = known
        return known

    def _create_bucket(
        self,
        organisation: ids.OrganisationId,
        claim: ownership.OwnershipClaim,
        limit: rate_decisions.RateLimit,
        now_ms: float,
    ) -> bucket.TokenBucket | rate_decisions.Decision:
        received = self._bequests.get(organisation)
        if received is not None and self._takes_effect(received, claim):
            del self._bequests[organisation]
            state = received.bequest.state
            return _restore(state, limit, received.received_ms)
        if self._should_ask_previous(organisation, claim, now_ms):
            assert claim.previous is not None
            self._asked_ms[organisation] = now_ms
            return rate_decisions.AskPrevious(claim.previous[0], claim.offset)
        if now_ms < claim.exclusive_from_ms:
            return rate_decisions.Held(
                min(ASK_AGAIN_MS, claim.exclusive_from_ms - now_ms)
            )
        level = _refilled_level(claim.exclusive_from_ms, limit, now_ms)
        return bucket.TokenBucket(limit.rate_per_s, limit.burst, level, now_ms)

    def _takes_effect(
        self, received: _Received, claim: ownership.OwnershipClaim
    ) -> bool:
        """Returns whether the key moved here because the givers left."""
        givers = received.bequest.givers
        members = self._state.view.members.values()
        present = {(member.host, member.incarnation) for member in members}
        return claim.removed in givers and present.isdisjoint(givers)

    def _should_ask_previous(
        self,
        organisation: ids.OrganisationId,
        claim: ownership.OwnershipClaim,
        now_ms: float,
    ) -> bool:
        if claim.previous is None:
            return False
        member = self._state.view.members.get(claim.previous[0])
        if member is None or member.incarnation != claim.previous[1]:
            return False
        asked_ms = self._asked_ms.get(organisation, -math.inf)
        if now_ms >= claim.exclusive_from_ms:
            return asked_ms < claim.exclusive_from_ms
        return now_ms - asked_ms >= ASK_AGAIN_MS


def _restore(
    state: rate_decisions.BucketState,
    limit: rate_decisions.RateLimit,
    now_ms: float,
) -> bucket.TokenBucket:
    restored = bucket.TokenBucket(
        limit.rate_per_s, limit.burst, state.level, now_ms
    )
    transfer_refill = TRANSFER_MS * limit.rate_per_s / clock.MS_PER_S
    restored.cap_upper_bound(state.upper + transfer_refill)
    for item in state.batches:
        expires_ms = now_ms + item.expires_ms
        restored.adopt_batch(dataclasses.replace(item, expires_ms=expires_ms))
    return restored


def _with_remaining_lifetimes(
    received: _Received, now_ms: float
) -> rate_decisions.BucketState:
    """Returns a received state with the expiry of its batches adjusted."""
    state = received.bequest.state
    elapsed_ms = now_ms - received.received_ms
    batches = tuple(
        dataclasses.replace(item, expires_ms=item.expires_ms - elapsed_ms)
        for item in state.batches
    )
    return dataclasses.replace(state, batches=batches)


def _export(
    source: bucket.TokenBucket, now_ms: float
) -> rate_decisions.BucketState:
    level = source.level(now_ms)
    batches = tuple(
        dataclasses.replace(item, expires_ms=item.expires_ms - now_ms)
        for item in source.batches
    )
    return rate_decisions.BucketState(
        level, source.upper_bound(now_ms), batches
    )


def _refilled_level(
    exclusive_from_ms: float, limit: rate_decisions.RateLimit, now_ms: float
) -> float:
    gained = (now_ms - exclusive_from_ms) * limit.rate_per_s / clock.MS_PER_S
    return min(limit.burst, gained)
