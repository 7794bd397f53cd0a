"""Assigns keys to hosts by membership in a consumer group of the store.

A group divides the partitions of a topic among its members. A key belongs to
a partition; the member that owns the partition is the key's home (the host
that owns the key).
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random
from typing import TYPE_CHECKING, Protocol

from mangotally import ids
from mangotally.entry import homes
from mangotally.platform import store
from mangotally.policy import candidacy, rendezvous
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

logger = logging.getLogger(__name__)

GROUP = "homes"
TOPIC = store.Topic("homes")
SESSION_TIMEOUT_MS = 2500
JOIN_INTERVAL_MS = 800
RETRY_MS = 150
# Duration of a rebalance: a new member is assigned partitions once their
# previous owners have joined again. Until then it joins every RETRY_MS.
REBALANCE_MS = 1200
# Members read the owners again after this time even without a rebalance.
OWNERS_MAX_AGE_MS = 4000
# Hosts outside the group are not told of a rebalance, so they poll the owners
# at this interval.
NON_MEMBER_POLL_MS = 2000
# First delay before the owners are read again when a home does not answer or
# reports that it is not the home; doubled while the owners stay the same.
MIN_REFRESH_MS = 300
MAX_REFRESH_MS = 1000
# Each pause is varied at random by up to this fraction of its length.
JITTER = 0.2
_SEPARATOR = "|"
# Hosts of earlier versions write member names without the capacity.
_MIN_FIELDS = 3


class IsolationStatus(Protocol):
    """Reports whether other hosts can reach this one."""

    @property
    def is_isolated(self) -> bool:
        """Whether no other host answers."""


class HomesMember:
    """This host's membership in the group of the homes of keys."""

    def __init__(
        self,
        client: store.Store,
        this_host: homes.HostAddress,
        partitions: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Creates a member that has not joined the group.

        Args:
            client: The store.
            this_host: Address of this host for other hosts.
            partitions: Number of partitions of a topic.
            clock: A clock that includes time in suspension.
        """
        self._client = client
        self._this_host = this_host
        self._member = _member_name(this_host)
        self._candidacy = candidacy.Candidacy(
            this_host.host, this_host.capacity, random.random()
        )
        self._reason: candidacy.Reason | None = None
        self._is_member = False
        self._joined_ms = 0.0
        self._partitions = partitions
        self._clock = clock
        self._isolation: IsolationStatus | None = None
        self._generation = 0
        self._owned: frozenset[int] = frozenset()
        self._owned_until_ms = 0.0
        self._owned_since: dict[int, float] = {}
        self._previous: dict[int, homes.HostAddress] = {}
        self._has_left = False
        # Serialises calls: a join in flight must not reach the store after this
        # host has left.
        self._call_lock = asyncio.Lock()
        self._owners: dict[int, homes.HostAddress] = {}
        self._owners_ms = -float("inf")
        self._owners_generation = -1
        self._stale = asyncio.Event()
        self._refresh_ms = float(MIN_REFRESH_MS)

    @property
    def max_homes(self) -> int:
        """The maximum number of hosts that are homes at the same time."""
        return self._partitions

    @property
    def is_home(self) -> bool:
        """Whether this host was a home when the owners were last read."""
        return any(map(self.is_self, self._owners.values()))

    def home_of(self, key: str) -> homes.HostAddress | None:
        """Returns the home of a key as last read, or None if unknown."""
        return self._owners.get(self._partition(key))

    @property
    def generation(self) -> int:
        """Generation of the group that this host has joined last."""
        return self._generation

    def previous_home_of(self, key: str) -> homes.HostAddress | None:
        """Returns the home of a key before this host, or None if unknown."""
        return self._previous.get(self._partition(key))

    def is_self(self, host: homes.HostAddress) -> bool:
        """Returns whether an address is that of this host."""
        return host.address == self._this_host.address

    def owned_since_ms(self, key: str) -> float | None:
        """Returns since when this host is a key's home; None if it is not."""
        partition = self._partition(key)
        if self._clock.now_ms() >= self._owned_until_ms:
            return None
        return self._owned_since.get(partition)

    def others(self) -> list[homes.HostAddress]:
        """Returns the other hosts that are homes of keys."""
        found = {each.host: each for each in self._owners.values()}
        found.pop(self._this_host.host, None)
        return list(found.values())

    async def run(self) -> None:
        """Keeps the membership and the known homes current until cancelled."""
        while True:
            owners, is_refresh = self._owners, self._stale.is_set()
            self._stale.clear()
            async with self._call_lock:
                pause_ms = await self._run_once(is_refresh)
            if is_refresh and owners == self._owners:
                self._refresh_ms = min(2 * self._refresh_ms, MAX_REFRESH_MS)
            else:
                self._refresh_ms = MIN_REFRESH_MS
            await self._wait(pause_ms * random.uniform(1 - JITTER, 1 + JITTER))

    def set_isolation(self, isolation: IsolationStatus) -> None:
        """Sets the source of this host's isolation status."""
        self._isolation = isolation

    def refresh(self) -> None:
        """Requests an early read of the homes.

        Called when a home does not answer or reports that it is not the home.
        """
        self._stale.set()

    async def leave(self) -> None:
        """Leaves the group for good; the homes are still read."""
        self._has_left = True
        async with self._call_lock:
            if self._is_member:
                await self._leave_group()

    async def _wait(self, pause_ms: float) -> None:
        """Waits for a time, or less if an early read of the homes is due."""
        min_wait_ms = min(pause_ms, self._refresh_ms)
        await asyncio.sleep(clock_lib.to_seconds(min_wait_ms))
        with contextlib.suppress(TimeoutError):
            remaining_s = clock_lib.to_seconds(pause_ms - min_wait_ms)
            await asyncio.wait_for(self._stale.wait(), remaining_s)

    async def _run_once(self, is_refresh: bool) -> float:
        """Joins, stays out or leaves; returns the ms until the next step."""
        if not self._is_member and not await self._read_owners():
            return RETRY_MS
        if self._has_left:
            return NON_MEMBER_POLL_MS
        decision = self._decide()
        if not decision.is_member:
            if self._is_member:
                await self._leave_group()
            return min(NON_MEMBER_POLL_MS, decision.pause_ms)
        if not self._is_member:
            self._is_member = True
            self._joined_ms = self._clock.now_ms()
        owned = self._owned
        if not await self._join():
            return RETRY_MS
        if owned - self._owned:
            # Partitions were revoked: others are assigned them once this host
            # joins with the new generation.
            await self._join()
        if is_refresh or self._are_owners_stale():
            await self._read_owners()
        is_new = self._clock.now_ms() - self._joined_ms < REBALANCE_MS
        interval_ms = (
            RETRY_MS if is_new and not self._owned else JOIN_INTERVAL_MS
        )
        return min(interval_ms, decision.pause_ms)

    def _decide(self) -> candidacy.Decision:
        is_isolated = self._isolation is not None and (
            self._isolation.is_isolated
        )
        owners = {each.host: each.capacity for each in self._owners.values()}
        view = candidacy.GroupView(owners, self._is_member, is_isolated)
        decision = self._candidacy.decide(view, self._clock.now_ms())
        if decision.reason is not self._reason:
            self._reason = decision.reason
            logger.info(
                "candidacy_changed",
                extra={
                    "member": decision.is_member,
                    "reason": decision.reason.value,
                    "capacity": self._this_host.capacity,
                    "homes": len(owners),
                },
            )
        return decision

    async def _leave_group(self) -> None:
        """Leaves the group; its partitions go to other members at once."""
        self._is_member = False
        self._owned = frozenset()
        self._owned_since.clear()
        self._owned_until_ms = 0.0
        self._owners = {
            number: host
            for number, host in self._owners.items()
            if not self.is_self(host)
        }
        await self._client.leave(GROUP, self._member)

    async def _join(self) -> bool:
        sent_ms = self._clock.now_ms()
        joined = await self._client.join(
            GROUP, self._member, [TOPIC], SESSION_TIMEOUT_MS, self._generation
        )
        if isinstance(joined, store.Unavailable):
            return False
        owned = frozenset(number for _, number in joined.partitions)
        if self._clock.now_ms() >= self._owned_until_ms:
            # The session expired: another host may have been the home in
            # between.
            self._owned_since.clear()
            self._apply_assignment(joined.generation, owned)
        elif joined.generation != self._generation or owned != self._owned:
            self._apply_assignment(joined.generation, owned)
        self._owned_until_ms = sent_ms + SESSION_TIMEOUT_MS
        return True

    def _apply_assignment(self, generation: int, owned: frozenset[int]) -> None:
        now_ms = self._clock.now_ms()
        # The known owners are still those of before.
        for number in owned - self._owned_since.keys():
            previous = self._owners.get(number)
            self._previous.pop(number, None)
            if previous is not None and not self.is_self(previous):
                self._previous[number] = previous
        self._owned_since = {
            number: self._owned_since.get(number, now_ms) for number in owned
        }
        logger.info(
            "homes_changed",
            extra={
                "generation": generation,
                "before": self._generation,
                "owned": sorted(owned),
            },
        )
        self._generation = generation
        self._owned = owned

    def _are_owners_stale(self) -> bool:
        if self._owners_generation != self._generation:
            return True
        return self._clock.now_ms() - self._owners_ms >= OWNERS_MAX_AGE_MS

    async def _read_owners(self) -> bool:
        """Reads the homes; returns whether any read has succeeded yet."""
        now_ms = self._clock.now_ms()
        rows = await self._client.owners(GROUP)
        if not isinstance(rows, store.Unavailable):
            self._owners_ms = now_ms
            self._owners_generation = self._generation
            self._owners = _parse_owners(rows)
        return self._owners_ms > -float("inf")

    def _partition(self, key: str) -> int:
        return rendezvous.partition_of_key(key, self._partitions)


def _member_name(host: homes.HostAddress) -> str:
    """Returns the member name, which tells other hosts its address."""
    return _SEPARATOR.join(
        (
            host.host,
            host.address,
            host.failure_domain,
            f"{host.capacity:.3f}",
        )
    )


def _parse_owners(
    rows: Mapping[tuple[str, int], str],
) -> dict[int, homes.HostAddress]:
    found = {}
    for (_, number), member in rows.items():
        host = _parse_member(member)
        if host is not None:
            found[number] = host
    return found


def _parse_member(member: str) -> homes.HostAddress | None:
    fields = member.split(_SEPARATOR)
    if len(fields) < _MIN_FIELDS:
        return None
    name, address, domain, *optional = fields
    found = homes.HostAddress(
        ids.HostId(name), address, ids.FailureDomainId(domain)
    )
    if not optional:
        return found
    return dataclasses.replace(found, capacity=float(optional[0]))
