"""Divides keys over the hosts by a group of the store."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from typing import TYPE_CHECKING, Protocol

from mangotally import ids
from mangotally.entry import homes
from mangotally.platform import store
from mangotally.policy import homes as homes_policy
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

logger = logging.getLogger(__name__)

GROUP = "homes"
TOPIC = store.Topic("homes")
LIFETIME_MS = 2500
JOIN_MS = 800
RETRY_MS = 150
# The owners are asked for again after this time, changes or not.
OWNERS_MS = 4000
_SEPARATOR = "|"


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

    @property
    def max_homes(self) -> int:
        """The most hosts that are homes of some keys at the same time."""
        return self._partitions

    @property
    def is_home(self) -> bool:
        """Whether this host was one of them when they were last read."""
        return any(map(self.is_own, self._owners.values()))

    def home_of(self, key: str) -> homes.HostAddress | None:
        """Returns the home of a key as last read, or None."""
        return self._owners.get(self._partition(key))

    def is_own(self, host: homes.HostAddress) -> bool:
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
        """Stays in the group until cancelled."""
        while True:
            async with self._calling:
                is_in = await self._stay()
            if is_in:
                await self._read_owners()
            usual_ms = JOIN_MS if is_in else RETRY_MS
            pause_ms = usual_ms * random.uniform(0.8, 1.2)
            await asyncio.sleep(clock_lib.to_seconds(pause_ms))

    def use(self, isolation: Isolation) -> None:
        """Names who tells whether other hosts can reach this one."""
        self._isolation = isolation

    async def leave(self) -> None:
        """Gives up this host's keys for good; it still learns the homes."""
        self._has_stopped = True
        async with self._calling:
            await self._give_up()

    async def _stay(self) -> bool:
        """Joins, or leaves while other hosts can't reach this one."""
        is_isolated = self._isolation is not None and (
            self._isolation.is_isolated
        )
        if not is_isolated and not self._has_stopped:
            return await self._join()
        if self._owned:
            await self._give_up()
        self._owners_generation = -1
        return True

    async def _give_up(self) -> None:
        self._owned = frozenset()
        self._owned_since.clear()
        self._owned_until_ms = 0.0
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

    async def _read_owners(self) -> None:
        now_ms = self._clock.now_ms()
        is_current = self._owners_generation == self._generation
        if is_current and now_ms - self._owners_ms < OWNERS_MS:
            return
        rows = await self._client.owners(GROUP)
        if isinstance(rows, store.Unavailable):
            return
        self._owners_ms = now_ms
        self._owners_generation = self._generation
        self._owners = _owners(rows)

    def _partition(self, key: str) -> int:
        return homes_policy.partition_of_key(key, self._partitions)


def _name(host: homes.HostAddress) -> str:
    return _SEPARATOR.join((host.host, host.address, host.failure_domain))


def _owners(
    rows: Mapping[tuple[str, int], str],
) -> dict[int, homes.HostAddress]:
    found = {}
    for (_, number), member in rows.items():
        fields = member.split(_SEPARATOR)
        if len(fields) == len(dataclasses.fields(homes.HostAddress)):
            found[number] = homes.HostAddress(
                ids.HostId(fields[0]), fields[1], ids.PlaceId(fields[2])
            )
    return found
