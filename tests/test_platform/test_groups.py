"""Homes of keys while the store, or this host, is cut off."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import unittest
from typing import TYPE_CHECKING, cast
from unittest import mock

from mangotally import ids
from mangotally.entry import homes
from mangotally.entry import log as log_lib
from mangotally.platform import groups, store
from mangotally.util import clock as clock_lib
from tests import entry_fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

PARTITIONS = 4
KEY = "some key"
THIS = homes.HostAddress(
    ids.HostId("h0"), "10.0.0.1:1", ids.FailureDomainId("z")
)


class _Group:
    """A store that knows groups only, with one member beside this host."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.clock = clock
        self.is_away = False
        self.generation = 1
        self.owned = range(PARTITIONS)
        self.calls: list[str] = []
        self.generations: list[int] = []
        self.slow_ms = 0.0

    async def join(
        self,
        _group: str,
        _member: str,
        topics: Sequence[str],
        _lifetime_ms: int,
        generation: int,
    ) -> store.Assignment | log_lib.Unavailable:
        self.calls.append("join")
        self.generations.append(generation)
        self.clock.advance(self.slow_ms)
        if self.is_away:
            return log_lib.Unavailable("away")
        return store.Assignment(
            self.generation,
            frozenset((topics[0], number) for number in self.owned),
        )

    async def leave(self, _group: str, _member: str) -> None:
        self.calls.append("leave")

    async def owners(self, _group: str) -> dict[tuple[str, int], str]:
        self.calls.append("owners")
        return {
            ("homes", number): "h0|10.0.0.1:1|z" if number in self.owned
            else "h1|10.0.0.2:1|z"
            for number in range(PARTITIONS)
        }  # fmt: skip


class _Isolation:
    is_isolated = False


class HomesMemberTest(unittest.IsolatedAsyncioTestCase):
    """A host is the home of its keys for a time after each join."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.group = _Group(self.clock)
        self.isolation = _Isolation()
        self.member = groups.HomesMember(
            cast("store.Store", self.group), THIS, PARTITIONS, self.clock
        )
        self.member.use(self.isolation)

    async def _round(self) -> None:
        """Lets the member do one round of its work."""
        task = asyncio.create_task(self.member.run())
        await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_owns_and_knows_owners_after_a_join(self) -> None:
        self.assertIsNone(self.member.owned_since_ms(KEY))
        await self._round()
        self.assertIsNotNone(self.member.owned_since_ms(KEY))
        home = self.member.home_of(KEY)
        assert home is not None
        self.assertTrue(self.member.is_self(home))

    async def test_keys_lapse_while_the_store_is_away(self) -> None:
        await self._round()
        self.group.is_away = True
        self.clock.advance(groups.LIFETIME_MS - 1)
        await self._round()
        self.assertIsNotNone(self.member.owned_since_ms(KEY))
        self.clock.advance(1)
        self.assertIsNone(self.member.owned_since_ms(KEY))

    async def test_a_slow_answer_counts_from_its_sending(self) -> None:
        self.group.slow_ms = groups.LIFETIME_MS
        await self._round()
        self.assertIsNone(self.member.owned_since_ms(KEY))

    async def test_what_lapsed_is_owned_anew(self) -> None:
        await self._round()
        since_ms = self.member.owned_since_ms(KEY)
        self.clock.advance(groups.LIFETIME_MS)
        await self._round()
        # Another host may have been the home in between.
        self.assertNotEqual(self.member.owned_since_ms(KEY), since_ms)

    async def test_a_rebalance_moves_only_what_it_names(self) -> None:
        await self._round()
        self.clock.advance(10)
        self.group.generation, self.group.owned = 2, range(1)
        await self._round()
        owned = [
            key
            for key in map(str, range(50))
            if self.member.owned_since_ms(key) is not None
        ]
        self.assertTrue(owned)
        self.assertLess(len(owned), 50)
        self.assertEqual(
            {self.member.owned_since_ms(key) for key in owned}, {0}
        )
        self.assertEqual([each.host for each in self.member.others()], ["h1"])

    async def test_keys_that_move_are_given_up_at_once(self) -> None:
        await self._round()
        self.group.generation, self.group.owned = 2, range(1)
        await self._round()
        # The new home has them once the old one joins with generation 2.
        self.assertEqual(self.group.generations, [0, 1, 2])

    async def test_a_host_that_stops_does_not_join_again(self) -> None:
        await self._round()
        await self.member.leave()
        await self._round()
        self.assertEqual(self.group.calls[-2:], ["leave", "owners"])
        self.assertIsNone(self.member.owned_since_ms(KEY))

    async def test_an_isolated_host_leaves_once_and_returns(self) -> None:
        await self._round()
        self.isolation.is_isolated = True
        await self._round()
        await self._round()
        self.assertEqual(self.group.calls.count("leave"), 1)
        self.assertIsNone(self.member.owned_since_ms(KEY))
        self.isolation.is_isolated = False
        await self._round()
        self.assertIsNotNone(self.member.owned_since_ms(KEY))


class OutsideTest(unittest.IsolatedAsyncioTestCase):
    """A host that is no member reads the homes now and then."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.group = _Group(self.clock)
        self.group.owners = self._owners  # type: ignore[method-assign]
        self.homes = ["10.0.1.1:1"] * PARTITIONS
        self.enterContext(mock.patch.object(groups, "REFRESH_MS", 20))
        weak = dataclasses.replace(THIS, capacity=0.1)
        self.member = groups.HomesMember(
            cast("store.Store", self.group), weak, PARTITIONS, self.clock
        )
        task = asyncio.create_task(self.member.run())
        self.addCleanup(task.cancel)
        await self._reads(1)

    async def _owners(self, _group: str) -> dict[tuple[str, int], str]:
        self.group.calls.append("owners")
        return {
            ("homes", number): f"s{number}|{address}|z|2.000"
            for number, address in enumerate(self.homes)
        }

    async def _reads(self, count: int) -> None:
        await entry_fleet.wait_for(
            lambda: self.group.calls == ["owners"] * count, timeout_s=1.0
        )

    async def test_knows_the_homes_without_joining(self) -> None:
        home = self.member.home_of(KEY)
        assert home is not None
        self.assertEqual((home.address, home.capacity), ("10.0.1.1:1", 2.0))
        self.assertFalse(self.member.is_home)
        self.assertEqual(len(self.member.others()), PARTITIONS)

    async def test_reads_the_homes_again_when_one_is_in_doubt(self) -> None:
        self.homes = ["10.0.1.2:1"] * PARTITIONS
        self.member.refresh()
        await self._reads(2)
        home = self.member.home_of(KEY)
        assert home is not None
        self.assertEqual(home.address, "10.0.1.2:1")

    async def test_reads_less_often_while_nothing_changes(self) -> None:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        for _ in range(100):
            self.member.refresh()
            await asyncio.sleep(0.005)
        # The pauses double, so that their sum does.
        past_ms = 1000.0 * (loop.time() - begin_s)
        most_reads = 2 + math.log2(1 + past_ms / groups.REFRESH_MS)
        most_reads += past_ms / groups.MAX_REFRESH_MS
        self.assertLess(len(self.group.calls), 1 + most_reads)
