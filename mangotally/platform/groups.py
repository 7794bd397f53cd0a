"""Divides keys over the hosts by a group of the store."""

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
from mangotally.policy import candidacy
from mangotally.policy import rendezvous as homes_policy
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

logger = logging.getLogger(__name__)

GROUP = "homes"
TOPIC = store.Topic("homes")
LIFETIME_MS = 2500
JOIN_MS = 800
RETRY_MS = 150
# A new member has its keys once their holders have joined again.
DEALT_MS = 1200
# Members read the owners again after this time, changes or not.
OWNERS_MS = 4000
# Other hosts hear of no changes, and read the owners so often.
OUTSIDE_MS = 2000
# The next try when a home is silent or is none; doubled while nothing changes.
REFRESH_MS = 300
MAX_REFRESH_MS = 1000
JITTER = 0.2
_SEPARATOR = "|"
# Without the capacity, as hosts of earlier versions have them.
_MIN_FIELDS = 3


class Isolation(Protocol):
    """Tells whether other hosts can reach this one."""

    @property
    def is_isolated(self) -> bool:
        """Whether no other host answers."""


class HomesMember:
    """This host in the group whose members are the homes of keys."""

    def __init__(
        self,
        client: store.Store,
        this_host: homes.HostAddress,
        partitions: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a member that has not joined.

        Args:
            client: The store.
            this_host: Where other hosts reach this one.
            partitions: Partitions of a topic.
            clock: A clock that counts suspensions.
        """
        self._client = client
        self._this_host = this_host
        self._member = _name(this_host)
        self._candidacy = candidacy.Candidacy(
            this_host.host, this_host.capacity, random.random()
        )
        self._reason: candidacy.Reason | None = None
        self._is_member = False
        self._joined_ms = 0.0
        self._partitions = partitions
        self._clock = clock
        self._isolation: Isolation | None = None
        self._generation = 0
        self._owned: frozenset[int] = frozenset()
        self._owned_until_ms = 0.0
        self._owned_since: dict[int, float] = {}
        self._has_stopped = False
        # A join under way must not arrive after this host has left.
        self._calling = asyncio.Lock()
        self._owners: dict[int, homes.HostAddress] = {}
        self._owners_ms = -float("inf")
        self._owners_generation = -1
        self._stale = asyncio.Event()
        self._refresh_ms = float(REFRESH_MS)

    @property
    def max_homes(self) -> int:
        """The most hosts that are homes of some keys at the same time."""
        return self._partitions

    @property
    def is_home(self) -> bool:
        """Whether this host was one of them when they were last read."""
        return any(map(self.is_self, self._owners.values()))

    def home_of(self, key: str) -> homes.HostAddress | None:
        """Returns the home of a key as last read, or None."""
        return self._owners.get(self._partition(key))

    def is_self(self, host: homes.HostAddress) -> bool:
        """Returns whether an address is this host's."""
        return host.address == self._this_host.address

    def owned_since_ms(self, key: str) -> float | None:
        """Returns since when this host is the home of a key, or None."""
        partition = self._partition(key)
        if self._clock.now_ms() >= self._owned_until_ms:
            return None
        return self._owned_since.get(partition)

    def others(self) -> list[homes.HostAddress]:
        """Returns the other hosts that are homes of some keys."""
        found = {each.host: each for each in self._owners.values()}
        found.pop(self._this_host.host, None)
        return list(found.values())

    async def run(self) -> None:
        """Learns the homes, and is one if need be, until cancelled."""
        while True:
            owners, is_refresh = self._owners, self._stale.is_set()
            self._stale.clear()
            async with self._calling:
                pause_ms = await self._step(is_refresh)
            if is_refresh and owners == self._owners:
                self._refresh_ms = min(2 * self._refresh_ms, MAX_REFRESH_MS)
            else:
                self._refresh_ms = REFRESH_MS
            await self._wait(pause_ms * random.uniform(1 - JITTER, 1 + JITTER))

    def use(self, isolation: Isolation) -> None:
        """Names who tells whether other hosts can reach this one."""
        self._isolation = isolation

    def refresh(self) -> None:
        """Has the homes read again soon: one is silent, or is none."""
        self._stale.set()

    async def leave(self) -> None:
        """Gives up this host's keys for good; it still learns the homes."""
        self._has_stopped = True
        async with self._calling:
            if self._is_member:
                await self._give_up()

    async def _wait(self, pause_ms: float) -> None:
        """Waits for a time, or less if the homes should be read again."""
        least_ms = min(pause_ms, self._refresh_ms)
        await asyncio.sleep(clock_lib.to_seconds(least_ms))
        with contextlib.suppress(TimeoutError):
            rest_s = clock_lib.to_seconds(pause_ms - least_ms)
            await asyncio.wait_for(self._stale.wait(), rest_s)

    async def _step(self, is_refresh: bool) -> float:
        """Joins, stays out or leaves; returns when to decide again."""
        if not self._is_member and not await self._read_owners():
            return RETRY_MS
        if self._has_stopped:
            return OUTSIDE_MS
        decision = self._decide()
        if not decision.is_member:
            if self._is_member:
                await self._give_up()
            return min(OUTSIDE_MS, decision.pause_ms)
        if not self._is_member:
            self._is_member = True
            self._joined_ms = self._clock.now_ms()
        owned = self._owned
        if not await self._join():
            return RETRY_MS
        if owned - self._owned:
            # Others get them once this host joins with the new generation.
            await self._join()
        if is_refresh or self._are_owners_old():
            await self._read_owners()
        is_new = self._clock.now_ms() - self._joined_ms < DEALT_MS
        usual_ms = RETRY_MS if is_new and not self._owned else JOIN_MS
        return min(usual_ms, decision.pause_ms)

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

    async def _give_up(self) -> None:
        """Leaves the group; other members have the keys at once."""
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
            GROUP, self._member, [TOPIC], LIFETIME_MS, self._generation
        )
        if isinstance(joined, store.Unavailable):
            return False
        owned = frozenset(number for _, number in joined.partitions)
        if self._clock.now_ms() >= self._owned_until_ms:
            # Another host may have been home in between.
            self._owned_since.clear()
            self._change(joined.generation, owned)
        elif joined.generation != self._generation or owned != self._owned:
            self._change(joined.generation, owned)
        self._owned_until_ms = sent_ms + LIFETIME_MS
        return True

    def _change(self, generation: int, owned: frozenset[int]) -> None:
        now_ms = self._clock.now_ms()
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

    def _are_owners_old(self) -> bool:
        if self._owners_generation != self._generation:
            return True
        return self._clock.now_ms() - self._owners_ms >= OWNERS_MS

    async def _read_owners(self) -> bool:
        """Reads the homes; returns whether they have ever been read."""
        now_ms = self._clock.now_ms()
        rows = await self._client.owners(GROUP)
        if not isinstance(rows, store.Unavailable):
            self._owners_ms = now_ms
            self._owners_generation = self._generation
            self._owners = _owners(rows)
        return self._owners_ms > -float("inf")

    def _partition(self, key: str) -> int:
        return homes_policy.partition_of_key(key, self._partitions)


def _name(host: homes.HostAddress) -> str:
    """Returns what tells all hosts of a member."""
    return _SEPARATOR.join(
        (
            host.host,
            host.address,
            host.failure_domain,
            f"{host.capacity:.3f}",
        )
    )


def _owners(
    rows: Mapping[tuple[str, int], str],
) -> dict[int, homes.HostAddress]:
    found = {}
    for (_, number), member in rows.items():
        host = _host(member)
        if host is not None:
            found[number] = host
    return found


def _host(member: str) -> homes.HostAddress | None:
    fields = member.split(_SEPARATOR)
    if len(fields) < _MIN_FIELDS:
        return None
    name, address, domain, *more = fields
    found = homes.HostAddress(
        ids.HostId(name), address, ids.FailureDomainId(domain)
    )
    if not more:
        return found
    return dataclasses.replace(found, capacity=float(more[0]))
