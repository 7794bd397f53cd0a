"""Tests that a host detects when no other host can be reached."""

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
    """A list of other hosts."""

    def __init__(self, others_count: int) -> None:
        self.hosts = [_host(number) for number in range(others_count)]

    def others(self) -> list[homes.HostAddress]:
        return self.hosts


class _Links:
    """Connections, some of which are cut.

    Attributes:
        cut: Addresses that do not respond.
        called: Addresses of all calls.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self.called: list[str] = []

    async def report(
        self, address: str, _report: object, _timeout_ms: float
    ) -> entry_pb2.ReportReply | None:
        self.called.append(address)
        return None if address in self.cut else entry_pb2.ReportReply()


class IsolationTest(unittest.IsolatedAsyncioTestCase):
    """A host is isolated after two rounds without any response."""

    def setUp(self) -> None:
        self.links = _Links()
        self.probe_ms = isolation.PROBE_MS
        isolation.PROBE_MS = 1
        self.addCleanup(setattr, isolation, "PROBE_MS", self.probe_ms)

    async def _run(self, others_count: int) -> isolation.IsolationDetector:
        self.homes = _Homes(others_count)
        detector = isolation.IsolationDetector(
            cast("homes.Homes", self.homes),
            cast("peers.PeerClient", self.links),
        )
        task = asyncio.create_task(detector.run())
        self.addCleanup(task.cancel)
        return detector

    def _cut_all(self) -> None:
        self.links.cut = {each.address for each in self.homes.hosts}

    async def _rounds(self, count: int) -> None:
        wanted = len(self.links.called) + count * isolation.PROBED_HOSTS
        await entry_fleet.wait_for(lambda: len(self.links.called) >= wanted)

    async def test_is_isolated_after_two_rounds_without_response(self) -> None:
        detector = await self._run(5)
        await self._rounds(3)
        self.assertFalse(detector.is_isolated)
        self._cut_all()
        await self._rounds(isolation.FAILED_ROUNDS + 1)
        self.assertTrue(detector.is_isolated)

    async def test_one_response_ends_isolation(self) -> None:
        detector = await self._run(5)
        self._cut_all()
        await self._rounds(isolation.FAILED_ROUNDS + 1)
        self.links.cut = set()
        await self._rounds(2)
        self.assertFalse(detector.is_isolated)

    async def test_is_not_isolated_if_most_hosts_respond(self) -> None:
        detector = await self._run(5)
        self.links.cut = {self.homes.hosts[0].address}
        for _ in range(20):
            await self._rounds(1)
            self.assertFalse(detector.is_isolated)

    async def test_is_not_isolated_with_too_few_other_hosts(self) -> None:
        detector = await self._run(isolation.MIN_OTHERS - 1)
        self._cut_all()
        await asyncio.sleep(0.05)
        self.assertFalse(detector.is_isolated)
        self.assertEqual(self.links.called, [])
