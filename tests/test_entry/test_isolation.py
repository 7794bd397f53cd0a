"""A host whose links to all others are cut notices it."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, cast

from mangotally import ids
from mangotally.entry import entry_pb2, homes, isolation
from tests import entry_fleet

if TYPE_CHECKING:
    from mangotally.entry import peers


def _host(number: int) -> homes.HostAddress:
    name = f"h{number}"
    return homes.HostAddress(
        ids.HostId(name), f"10.0.0.{number}:1", ids.FailureDomainId("z")
    )


class _Homes:
    """Knows some other hosts."""

    def __init__(self, others_count: int) -> None:
        self.found = [_host(number) for number in range(others_count)]

    def others(self) -> list[homes.HostAddress]:
        return self.found


class _Links:
    """Links that are cut to some hosts."""

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self.asked: list[str] = []

    async def report(
        self, address: str, _report: object, _timeout_ms: float
    ) -> entry_pb2.ReportReply | None:
        self.asked.append(address)
        return None if address in self.cut else entry_pb2.ReportReply()


class IsolationTest(unittest.IsolatedAsyncioTestCase):
    """Two rounds without any answer are isolation."""

    def setUp(self) -> None:
        self.links = _Links()
        self.probe_ms = isolation.PROBE_MS
        isolation.PROBE_MS = 1
        self.addCleanup(setattr, isolation, "PROBE_MS", self.probe_ms)

    async def _run(self, others_count: int) -> isolation.IsolationDetector:
        self.homes = _Homes(others_count)
        found = isolation.IsolationDetector(
            cast("homes.Homes", self.homes),
            cast("peers.PeerClient", self.links),
        )
        task = asyncio.create_task(found.run())
        self.addCleanup(task.cancel)
        return found

    def _cut_all(self) -> None:
        self.links.cut = {each.address for each in self.homes.found}

    async def _rounds(self, count: int) -> None:
        wanted = len(self.links.asked) + count * isolation.PROBED_HOSTS
        await entry_fleet.wait_for(lambda: len(self.links.asked) >= wanted)

    async def test_is_isolated_after_two_silent_rounds(self) -> None:
        found = await self._run(5)
        await self._rounds(3)
        self.assertFalse(found.is_isolated)
        self._cut_all()
        await self._rounds(isolation.FAILED_ROUNDS + 1)
        self.assertTrue(found.is_isolated)

    async def test_one_answer_ends_it(self) -> None:
        found = await self._run(5)
        self._cut_all()
        await self._rounds(isolation.FAILED_ROUNDS + 1)
        self.links.cut = set()
        await self._rounds(2)
        self.assertFalse(found.is_isolated)

    async def test_a_host_that_reaches_most_others_is_not(self) -> None:
        found = await self._run(5)
        self.links.cut = {self.homes.found[0].address}
        for _ in range(20):
            await self._rounds(1)
            self.assertFalse(found.is_isolated)

    async def test_too_few_others_prove_nothing(self) -> None:
        found = await self._run(isolation.MIN_OTHERS - 1)
        self._cut_all()
        await asyncio.sleep(0.05)
        self.assertFalse(found.is_isolated)
        self.assertEqual(self.links.asked, [])
