"""Homes of keys while the store or this host is unreachable."""

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
    """A store with a single group, of this host and one other member."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.clock = clock
        self.is_unavailable = False
        self.generation = 1
        self.owned = range(PARTITIONS)
        self.calls: list[str] = []
        self.generations: list[int] = []
        self.answer_ms = 0.0

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
        self.clock.advance(self.answer_ms)
        if self.is_unavailable:
            return log_lib.Unavailable("unavailable")
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
    """A host is the home of its keys until its session expires."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.group = _Group(self.clock)
        self.isolation = _Isolation()
        self.member = groups.HomesMember(
            cast("store.Store", self.group), THIS, PARTITIONS, self.clock
        )
        self.member.set_isolation(self.isolation)

    async def _run_step(self) -> None:
        """Lets the member run one step of its loop."""
        task = asyncio.create_task(self.member.run())
        await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_join_makes_host_a_home_and_reads_owners(self) -> None:
        self.assertIsNone(self.member.owned_since_ms(KEY))
        await self._run_step()
        self.assertIsNotNone(self.member.owned_since_ms(KEY))
        home = self.member.home_of(KEY)
        assert home is not None
        self.assertTrue(self.member.is_self(home))

    async def test_session_expires_while_the_store_is_unavailable(self) -> None:
        await self._run_step()
        self.group.is_unavailable = True
        self.clock.advance(groups.SESSION_TIMEOUT_MS - 1)
        await self._run_step()
        self.assertIsNotNone(self.member.owned_since_ms(KEY))
        self.clock.advance(1)
        self.assertIsNone(self.member.owned_since_ms(KEY))

    async def test_session_starts_when_the_join_is_sent(self) -> None:
        self.group.answer_ms = groups.SESSION_TIMEOUT_MS
        await self._run_step()
        self.assertIsNone(self.member.owned_since_ms(KEY))

    async def test_ownership_starts_anew_after_an_expired_session(self) -> None:
        await self._run_step()
        since_ms = self.member.owned_since_ms(KEY)
        self.clock.advance(groups.SESSION_TIMEOUT_MS)
        await self._run_step()
        # Another host may have been the home in between.
        self.assertNotEqual(self.member.owned_since_ms(KEY), since_ms)

    async def test_a_new_home_knows_the_one_before_it(self) -> None:
        self.group.owned = range(0)
        await self._run_step()
        self.assertIsNone(self.member.previous_home_of(KEY))
        self.clock.advance(10)
        self.group.generation, self.group.owned = 2, range(PARTITIONS)
        await self._run_step()
        before = self.member.previous_home_of(KEY)
        assert before is not None
        self.assertEqual(before.address, "10.0.0.2:1")
        self.assertEqual(self.member.generation, 2)

    async def test_rebalance_keeps_partitions_that_stay(self) -> None:
        await self._run_step()
        self.clock.advance(10)
        self.group.generation, self.group.owned = 2, range(1)
        await self._run_step()
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

    async def test_revoked_partitions_are_confirmed_at_once(self) -> None:
        await self._run_step()
        self.group.generation, self.group.owned = 2, range(1)
        await self._run_step()
        # Revoked partitions are assigned to the new owner once the previous
        # owner joins with generation 2.
        self.assertEqual(self.group.generations, [0, 1, 2])

    async def test_host_that_left_does_not_join_again(self) -> None:
        await self._run_step()
        await self.member.leave()
        await self._run_step()
        self.assertEqual(self.group.calls[-2:], ["leave", "owners"])
        self.assertIsNone(self.member.owned_since_ms(KEY))

    async def test_isolated_host_leaves_once_and_rejoins(self) -> None:
        await self._run_step()
        self.isolation.is_isolated = True
        await self._run_step()
        await self._run_step()
        self.assertEqual(self.group.calls.count("leave"), 1)
        self.assertIsNone(self.member.owned_since_ms(KEY))
        self.isolation.is_isolated = False
        await self._run_step()
        self.assertIsNotNone(self.member.owned_since_ms(KEY))


class NonMemberTest(unittest.IsolatedAsyncioTestCase):
    """A host outside the group polls the homes."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.group = _Group(self.clock)
        self.group.owners = self._owners  # type: ignore[method-assign]
        self.homes = ["10.0.1.1:1"] * PARTITIONS
        self.enterContext(mock.patch.object(groups, "MIN_REFRESH_MS", 20))
        weak = dataclasses.replace(THIS, capacity=0.1)
        self.member = groups.HomesMember(
            cast("store.Store", self.group), weak, PARTITIONS, self.clock
        )
        task = asyncio.create_task(self.member.run())
        self.addCleanup(task.cancel)
        await self._wait_for_reads(1)

    async def _owners(self, _group: str) -> dict[tuple[str, int], str]:
        self.group.calls.append("owners")
        return {
            ("homes", number): f"s{number}|{address}|z|2.000"
            for number, address in enumerate(self.homes)
        }

    async def _wait_for_reads(self, count: int) -> None:
        await entry_fleet.wait_for(
            lambda: self.group.calls == ["owners"] * count, timeout_s=1.0
        )

    async def test_knows_the_homes_without_joining(self) -> None:
        home = self.member.home_of(KEY)
        assert home is not None
        self.assertEqual((home.address, home.capacity), ("10.0.1.1:1", 2.0))
        self.assertFalse(self.member.is_home)
        self.assertEqual(len(self.member.others()), PARTITIONS)

    async def test_refresh_reads_the_homes_early(self) -> None:
        self.homes = ["10.0.1.2:1"] * PARTITIONS
        self.member.refresh()
        await self._wait_for_reads(2)
        home = self.member.home_of(KEY)
        assert home is not None
        self.assertEqual(home.address, "10.0.1.2:1")

    async def test_refreshes_back_off_while_nothing_changes(self) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for _ in range(100):
            self.member.refresh()
            await asyncio.sleep(0.005)
        # The back-off doubles each pause, so the total time doubles per read.
        elapsed_ms = 1000.0 * (loop.time() - start_s)
        max_reads = 2 + math.log2(1 + elapsed_ms / groups.MIN_REFRESH_MS)
        max_reads += elapsed_ms / groups.MAX_REFRESH_MS
        self.assertLess(len(self.group.calls), 1 + max_reads)
