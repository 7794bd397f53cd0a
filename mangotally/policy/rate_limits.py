"""Admission of organisations' calls at their home, under its lease."""

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

ASK_AGAIN_MS = 250
BEQUEST_COPIES = 2
MAX_HELD_MS = 10_000
RESERVED_FRACTION = 0.5
BATCH_FRACTION = 0.25
MIN_BATCH_TOKENS = 2
TRANSFER_MS = 1000
_NUMBERS = 1 << 24


@dataclasses.dataclass
class _Account:
    """A bucket and the claim that it was made under."""

    bucket: bucket.TokenBucket
    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class _Received:
    """A bequest and when it came."""

    bequest: rate_decisions.Bequest
    received_ms: float


class RateLimits:
    """The buckets of the organisations that this host is home of."""

    def __init__(self, state: membership.MembershipState) -> None:
        """Makes a host's limits over its membership."""
        self._state = state
        self._accounts: dict[ids.OrganisationId, _Account] = {}
        self._claims: dict[ids.OrganisationId, ownership.OwnershipClaim] = {}
        self._generation = -1
        self._asked_ms: dict[ids.OrganisationId, float] = {}
        self._bequests: dict[ids.OrganisationId, _Received] = {}
        self._batches = 0
        self.closing = False

    def take(
        self,
        organisation: ids.OrganisationId,
        terms: rate_decisions.RateLimit,
        count: float,
        now_ms: float,
        ahead: float = 0,
    ) -> rate_decisions.Decision:
        """Admits calls, or says why not.

        Args:
            organisation: The organisation.
            terms: Its plan.
            count: Calls to admit.
            now_ms: Current time.
            ahead: Calls that are held and come before these; no more than
                the burst and what arrives at the rate in `LINE_MS`.
        """
        found = self.account(organisation, terms, now_ms)
        arriving = MAX_HELD_MS * terms.rate_per_s / clock.MS_PER_S
        if isinstance(found, rate_decisions.Held):
            is_over = ahead + count > terms.burst + arriving
            return rate_decisions.OverRate(found.wait_ms) if is_over else found
        if not isinstance(found, bucket.TokenBucket):
            return found
        in_excess = max(count, ahead + count - arriving)
        over_ms = found.min_wait_ms(in_excess, now_ms)
        if over_ms > 0:
            return rate_decisions.OverRate(over_ms)
        if ahead:
            return rate_decisions.Held(ASK_AGAIN_MS)
        wait_ms = found.take(count, now_ms)
        return (
            rate_decisions.Held(wait_ms)
            if wait_ms > 0
            else rate_decisions.Admitted()
        )

    def issue_batch(
        self,
        organisation: ids.OrganisationId,
        terms: rate_decisions.RateLimit,
        wanted: float,
        now_ms: float,
    ) -> bucket.Batch | None:
        """Gives an entry host tokens ahead of its next calls.

        Only from a well-filled bucket, and only a part of it, so that calls
        at other hosts find their tokens here. Batches end with the lease.

        Args:
            organisation: The organisation.
            terms: Its plan.
            wanted: Tokens that the host can use in a batch's lifetime.
            now_ms: Current time.
        """
        found = self.account(organisation, terms, now_ms)
        if not isinstance(found, bucket.TokenBucket):
            return None
        free = found.level(now_ms) - terms.burst * RESERVED_FRACTION
        count = float(math.floor(min(wanted, free * BATCH_FRACTION)))
        expires_ms = now_ms + prefetched_tokens.home_lifetime_ms()
        if count < MIN_BATCH_TOKENS:
            return None
        if expires_ms > self._state.lease.expires_ms:
            return None
        self._batches += 1
        offset = self._accounts[organisation].offset + 1
        number = offset * _NUMBERS + self._batches % _NUMBERS
        batch = bucket.Batch(number, count, expires_ms)
        found.issue_batch(batch, now_ms)
        return batch

    def settle(
        self,
        organisation: ids.OrganisationId,
        returned: prefetched_tokens.Returned,
        now_ms: float,
    ) -> None:
        """Takes back what an entry host has not used of a batch."""
        account = self._accounts.get(organisation)
        if account is not None and self._is_current(organisation, account):
            account.bucket.settle_batch(
                returned.number, returned.unused, now_ms
            )

    def account(
        self,
        organisation: ids.OrganisationId,
        terms: rate_decisions.RateLimit,
        now_ms: float,
    ) -> bucket.TokenBucket | rate_decisions.Decision:
        """Returns a bucket that this host may grant from, or why not."""
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
            opened = self._open(organisation, claim, terms, now_ms)
            if not isinstance(opened, bucket.TokenBucket):
                return opened
            account = _Account(opened, claim.offset)
            self._accounts[organisation] = account
        account.bucket.reconfigure(terms.rate_per_s, terms.burst, now_ms)
        return account.bucket

    def accept(
        self,
        organisation: ids.OrganisationId,
        offset: ids.Offset,
        state: rate_decisions.BucketState,
        terms: rate_decisions.RateLimit,
        now_ms: float,
    ) -> None:
        """Takes the bucket that the earlier home has handed over."""
        claim = self._claim(organisation)
        known = self._accounts.get(organisation)
        if claim is None or claim.offset != offset:
            return
        if known is not None and known.offset == offset:
            return
        made = _make(state, terms, now_ms)
        self._accounts[organisation] = _Account(made, offset)

    def hand_over(
        self,
        organisation: ids.OrganisationId,
        offset: ids.Offset,
        terms: rate_decisions.RateLimit,
        now_ms: float,
    ) -> rate_decisions.BucketState | None:
        """Returns the bucket for the home that a record has made.

        The record has been read here, so this host grants no more. The same
        question has the same answer: only one home asks it.

        Args:
            organisation: The organisation.
            offset: The record that moved its key.
            terms: Its plan.
            now_ms: Current time.

        Returns:
            The bucket, or None if this host cannot vouch for it.
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
            return _state_of(account.bucket, now_ms)
        if now_ms < claim.exclusive_from_ms:
            return None
        level = _level_since(claim.exclusive_from_ms, terms, now_ms)
        return rate_decisions.BucketState(level, terms.burst)

    def pending_handovers(
        self,
        plans: Mapping[ids.OrganisationId, rate_decisions.RateLimit],
        now_ms: float,
    ) -> list[tuple[ids.OrganisationId, rate_decisions.AskPrevious]]:
        """Returns the buckets that this host has to ask for."""
        found = []
        for organisation, terms in plans.items():
            held = self.account(organisation, terms, now_ms)
            if isinstance(held, rate_decisions.AskPrevious):
                found.append((organisation, held))
        return found

    def bequests(
        self,
        plans: Mapping[ids.OrganisationId, rate_decisions.RateLimit],
        now_ms: float,
    ) -> list[rate_decisions.Bequest]:
        """Stops all grants and returns the buckets for the next homes.

        Each goes to two hosts, as the first may be leaving too; it counts
        only where the key moves by the leaving of its givers.
        """
        found = []
        me = (self._state.local_host.host, self._state.incarnation)
        for organisation, terms in plans.items():
            held = self.account(organisation, terms, now_ms)
            received = self._bequests.get(organisation)
            givers: tuple[ownership.HostIncarnation, ...] = (me,)
            if isinstance(held, bucket.TokenBucket):
                state = _state_of(held, now_ms)
            elif received is not None:
                givers += received.bequest.givers
                state = _aged(received, now_ms)
            else:
                continue
            gone = {host for host, _ in givers}
            key = rendezvous.organisation_key(organisation)
            others = set(self._state.view.members) - gone
            found += [
                rate_decisions.Bequest(heir, organisation, givers, state)
                for heir in rendezvous.ranked(key, others)[:BEQUEST_COPIES]
            ]
        self.closing = True
        return found

    def receive_bequest(
        self, bequest: rate_decisions.Bequest, now_ms: float
    ) -> None:
        """Keeps a bucket that counts once its givers are gone."""
        received = _Received(bequest, now_ms)
        self._bequests[bequest.organisation] = received

    def is_open(self, organisation: ids.OrganisationId, now_ms: float) -> bool:
        """Returns whether this host could grant at this moment."""
        account = self._accounts.get(organisation)
        if (
            account is None
            or self.closing
            or not self._state.holds_lease(now_ms)
        ):
            return False
        return self._is_current(organisation, account)

    def forget(self, now_ms: float) -> None:
        """Drops the buckets of lost keys that no new home can want."""
        for organisation, account in list(self._accounts.items()):
            if self._is_current(organisation, account):
                continue
            if account.bucket.is_full(now_ms):
                del self._accounts[organisation]

    def levels(self, now_ms: float) -> dict[ids.OrganisationId, float]:
        """Returns the levels of the buckets in use here."""
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

    def _open(
        self,
        organisation: ids.OrganisationId,
        claim: ownership.OwnershipClaim,
        terms: rate_decisions.RateLimit,
        now_ms: float,
    ) -> bucket.TokenBucket | rate_decisions.Decision:
        received = self._bequests.get(organisation)
        if received is not None and self._counts(received, claim):
            del self._bequests[organisation]
            state = received.bequest.state
            return _make(state, terms, received.received_ms)
        if self._may_ask(organisation, claim, now_ms):
            assert claim.previous is not None
            self._asked_ms[organisation] = now_ms
            return rate_decisions.AskPrevious(claim.previous[0], claim.offset)
        if now_ms < claim.exclusive_from_ms:
            return rate_decisions.Held(
                min(ASK_AGAIN_MS, claim.exclusive_from_ms - now_ms)
            )
        level = _level_since(claim.exclusive_from_ms, terms, now_ms)
        return bucket.TokenBucket(terms.rate_per_s, terms.burst, level, now_ms)

    def _counts(
        self, received: _Received, claim: ownership.OwnershipClaim
    ) -> bool:
        """Returns whether the key came here by the givers' leaving."""
        givers = received.bequest.givers
        members = self._state.view.members.values()
        present = {(member.host, member.incarnation) for member in members}
        return claim.removed in givers and present.isdisjoint(givers)

    def _may_ask(
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


def _make(
    state: rate_decisions.BucketState,
    terms: rate_decisions.RateLimit,
    now_ms: float,
) -> bucket.TokenBucket:
    made = bucket.TokenBucket(
        terms.rate_per_s, terms.burst, state.level, now_ms
    )
    moved = TRANSFER_MS * terms.rate_per_s / clock.MS_PER_S
    made.lower_upper_bound(state.upper + moved)
    for item in state.batches:
        expires_ms = now_ms + item.expires_ms
        made.adopt_batch(dataclasses.replace(item, expires_ms=expires_ms))
    return made


def _aged(received: _Received, now_ms: float) -> rate_decisions.BucketState:
    """Returns a received bucket with its batches' time that has passed."""
    state = received.bequest.state
    passed_ms = now_ms - received.received_ms
    batches = tuple(
        dataclasses.replace(item, expires_ms=item.expires_ms - passed_ms)
        for item in state.batches
    )
    return dataclasses.replace(state, batches=batches)


def _state_of(
    found: bucket.TokenBucket, now_ms: float
) -> rate_decisions.BucketState:
    level = found.level(now_ms)
    batches = tuple(
        dataclasses.replace(item, expires_ms=item.expires_ms - now_ms)
        for item in found.batches
    )
    return rate_decisions.BucketState(level, found.upper_bound(now_ms), batches)


def _level_since(
    free_ms: float, terms: rate_decisions.RateLimit, now_ms: float
) -> float:
    gained = (now_ms - free_ms) * terms.rate_per_s / clock.MS_PER_S
    return min(terms.burst, gained)
