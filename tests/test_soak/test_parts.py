"""Tests of the proxy, the consumer groups and the fault plans."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import types
import unittest
from typing import cast

import aiohttp

from tests.soak import faults, proxy, store

READ_TIMEOUT_S = 0.1


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link to an echo server."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        address = self.server.sockets[0].getsockname()
        self.link = proxy.Link("link", address)
        await self.enterAsyncContext(self.link)
        self.reader, self.writer = await self._connect()
        self.assertEqual(await self._exchange(b"one"), b"one")

    async def test_hold_and_heal(self) -> None:
        for direction in proxy.Direction:
            self.link.hold(direction)
            with self.assertRaises(TimeoutError):
                await self._exchange(b"two")
            self.link.heal()
            self.assertEqual(await self.reader.read(9), b"two")

    async def test_black_hole_affects_open_connections_only(self) -> None:
        self.link.black_hole(1.0, random.Random(1))
        with self.assertRaises(TimeoutError):
            await self._exchange(b"two")
        self.reader, self.writer = await self._connect()
        self.assertEqual(await self._exchange(b"two"), b"two")

    async def test_resets(self) -> None:
        self.link.reset(1.0, random.Random(1))
        with self.assertRaises(ConnectionResetError):
            await self.reader.read(9)

    async def test_refuses(self) -> None:
        self.link.refuses_connections = True
        reader, _ = await self._connect()
        with self.assertRaises(ConnectionResetError):
            await reader.read(9)

    async def test_forwards_end_of_stream(self) -> None:
        self.writer.write_eof()
        self.assertEqual(await self.reader.read(), b"")

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.link.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def _exchange(self, data: bytes) -> bytes:
        self.writer.write(data)
        return await asyncio.wait_for(self.reader.read(9), READ_TIMEOUT_S)


class GroupTest(unittest.IsolatedAsyncioTestCase):
    """A partition is handed over only after its holder has released it."""

    async def asyncSetUp(self) -> None:
        self.store = store.SoakStore(seed=1)
        await self.enterAsyncContext(self.store)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.generations: dict[str, int] = {}

    async def test_holder_hands_over_after_it_learns_of_rebalance(self) -> None:
        self.assertEqual(len(await self._join("a|x|z")), 12)
        self.assertEqual(await self._join("b|y|z"), set())
        remaining = await self._join("a|x|z")
        self.assertEqual(len(remaining), 6)
        self.assertEqual(await self._join("b|y|z"), set())
        await self._join("a|x|z")
        self.assertEqual(len(await self._join("b|y|z")), 6)

    async def test_no_partition_has_two_holders(self) -> None:
        rng = random.Random(3)
        members = [f"{name}|x|z" for name in "abcd"]
        held: dict[str, set[int]] = {each: set() for each in members}
        for _ in range(300):
            member = rng.choice(members)
            if rng.random() < 0.1:
                self.store.rebalance()
            held[member] = await self._join(member)
            numbers = [number for found in held.values() for number in found]
            self.assertEqual(len(numbers), len(set(numbers)), held)

    async def _join(self, member: str) -> set[int]:
        async with self.session.post(
            self.store.url + "/log-join",
            json={
                "group": "g",
                "Member": member,
                "Topics": ["t"],
                "TtlMs": 60_000,
                "Generation": self.generations.get(member, 0),
            },
        ) as response:
            found = await response.json()
        self.generations[member] = found["Generation"]
        return {number for _, number, _ in found["parts"]}


class ReloadTest(unittest.TestCase):
    """Hosts that have restarted are reloaded, too."""

    def test_ready_hosts(self) -> None:
        hosts = [
            types.SimpleNamespace(name="never-restarted", started_ms=10.0),
            types.SimpleNamespace(name="restarted", started_ms=50.0),
            types.SimpleNamespace(name="starting", started_ms=90.0),
        ]
        served_ms = [("never-restarted", 20.0), ("starting", 80.0)]
        served_ms += [("restarted", 40.0), ("restarted", 60.0)]
        attempts = {
            str(at_ms): types.SimpleNamespace(
                host=host, sent_ms=at_ms, is_served=True
            )
            for host, at_ms in served_ms
        }
        environment = types.SimpleNamespace(
            hosts=hosts, oracle=types.SimpleNamespace(attempts=attempts)
        )
        injector = faults.FaultInjector(cast("faults.Environment", environment))
        ready = [each.name for each in injector._ready_hosts()]
        self.assertEqual(ready, ["never-restarted", "restarted"])


class PlanTest(unittest.TestCase):
    """A plan depends on its seed and duration alone."""

    def test_plans_are_reproducible_and_cover_all_kinds(self) -> None:
        plans = [faults.make_plan(seed, 20_000) for seed in range(50)]
        self.assertEqual(faults.make_plan(7, 20_000), plans[7])
        kinds = {fault.kind for plan in plans for fault in plan}
        self.assertEqual(kinds, set(faults.FaultKind))

    def test_faults_overlap_and_end(self) -> None:
        plan = faults.make_plan(1, 20_000)
        overlaps = sum(
            second.at_ms < first.at_ms + first.duration_ms
            for first, second in itertools.pairwise(plan)
        )
        self.assertGreater(overlaps, len(plan) / 4)
        ends_ms = [fault.at_ms + fault.duration_ms for fault in plan]
        self.assertLessEqual(max(ends_ms), 20_000)


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionResetError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


if __name__ == "__main__":
    unittest.main()
