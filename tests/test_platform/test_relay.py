"""Calls of the store that other hosts carry, some of them cut off too."""

from __future__ import annotations

import asyncio
import json
import struct
import time
import unittest
from urllib import parse as urls

from mangotally import ids
from mangotally.entry import entry_pb2, homes, host_grants
from mangotally.entry import log as log_lib
from mangotally.platform import failover, relay, store
from mangotally.policy import spending
from mangotally.util import clock as clock_lib

SILENT_S = 0.3
CALL = store.Call("GET", "/log-owners?group=g")


class _Silent:
    """A way to the store that loses every call."""

    async def call(self, _call: store.Call) -> log_lib.Unavailable:
        await asyncio.sleep(SILENT_S)
        return log_lib.Unavailable("timeout")


class _Good:
    """A way to the store that works.

    Attributes:
        statuses: Statuses of the next answers; then 200.
    """

    def __init__(self, statuses: tuple[int, ...] = ()) -> None:
        self.statuses = list(statuses)

    async def call(self, call: store.Call) -> store.Reply | log_lib.Unavailable:
        wait_s = 1.0 if "WaitMs=1000" in call.target else 0.0
        try:
            async with asyncio.timeout(call.timeout_ms / 1000):
                await asyncio.sleep(wait_s)
        except TimeoutError:
            return log_lib.Unavailable("timeout")
        status = self.statuses.pop(0) if self.statuses else 200
        return store.Reply(status, bytes(16))


class _Links:
    """Other hosts, each with its own way to the store."""

    def __init__(self, ways: dict[str, store.Transport]) -> None:
        self.clock = clock_lib.SystemClock()
        self.asked: list[str] = []
        self._ways = {
            address: failover.FailoverTransport(way, self, self.clock)
            for address, way in ways.items()
        }

    def way(self, address: str) -> failover.FailoverTransport:
        return self._ways[address]

    def others(self) -> list[homes.HostAddress]:
        return [
            homes.HostAddress(ids.HostId(each), each, ids.FailureDomainId("z"))
            for each in self._ways
        ]

    async def relay(self, _call: store.Call) -> log_lib.Unavailable:
        return log_lib.Unavailable("no host")

    async def call_store(
        self, address: str, request: entry_pb2.StoreCall, _timeout_ms: float
    ) -> entry_pb2.StoreReply:
        self.asked.append(address)
        return await relay.call_for_other(self._ways[address], request)


class _Recording:
    """A store that carries out every append, without `At` too.

    The answer of the direct way is lost, so that the call is sent again.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []

    async def call(self, call: store.Call) -> log_lib.Unavailable:
        self._do(call)
        return log_lib.Unavailable("timeout")

    async def relay(self, call: store.Call) -> store.Reply:
        return self._do(call)

    def _do(self, call: store.Call) -> store.Reply:
        query = urls.parse_qs(urls.urlsplit(call.target).query)
        if call.method == "GET":
            end = len(self.records)
            return store.Reply(200, struct.pack(">QQ", end, 0))
        end = len(self.records)
        if int(query.get("At", [end])[0]) != end:
            return store.Reply(412, json.dumps({"EndOffset": end}).encode())
        self.records.append(call.body[4:])
        body = {"Offset": end, "EndOffset": end + 1}
        return store.Reply(200, json.dumps(body).encode())


class ReturnTest(unittest.IsolatedAsyncioTestCase):
    """Tokens that a host returns whose home did not answer."""

    async def test_a_return_that_is_sent_twice_counts_once(self) -> None:
        clock = clock_lib.ManualClock()
        recording = _Recording()
        transport = failover.FailoverTransport(recording, recording, clock)
        own = host_grants.HostGrants(
            store.Store(transport),
            ids.HostId("h/alone"),
            1,
            spending.EXACT_GRANT_DIVISOR,
            clock,
        )
        await own.return_tokens(spending.ProgramKey("org/p"), 100)
        for _ in range(3):
            await own.return_unused(lambda _program: False)
        returned = sum(json.loads(each)[1] for each in recording.records)
        self.assertEqual(returned, -100)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Half of the other hosts are cut off the store as well."""

    def setUp(self) -> None:
        self.links = _Links(
            {
                "cut-1": _Silent(),
                "cut-2": _Silent(),
                "good-1": _Good(),
                "good-2": _Good(),
            }
        )
        self.relay = relay.StoreRelay(self.links)  # type: ignore[arg-type]
        self.relay.use(self.links)  # type: ignore[arg-type]

    async def test_no_call_waits_for_a_host_that_knows_it_is_cut_off(
        self,
    ) -> None:
        for address in ("cut-1", "cut-2"):
            await self.links.way(address).call(CALL)
        begin_s = time.monotonic()
        for _ in range(20):
            found = await self.relay.relay(CALL)
            self.assertIsInstance(found, store.Reply)
        self.assertLess(time.monotonic() - begin_s, SILENT_S)

    async def test_a_read_that_waits_is_waited_for(self) -> None:
        self.links = _Links({"good": _Good()})
        self.relay = relay.StoreRelay(self.links)  # type: ignore[arg-type]
        self.relay.use(self.links)  # type: ignore[arg-type]
        waiting = store.Call(
            "GET", "/log-read?WaitMs=1000", timeout_ms=2000, wait_ms=1000
        )
        found = await self.relay.relay(waiting)
        self.assertIsInstance(found, store.Reply)
        self.assertFalse(self.links.way("good").is_lost)

    async def test_a_call_for_another_host_that_fails_loses_no_way(
        self,
    ) -> None:
        links = _Links({"good": _Good()})
        request = entry_pb2.StoreCall(
            method="GET", target="/log-read?WaitMs=1000", timeout_ms=50.0
        )
        reply = await links.call_store("good", request, 0.0)
        self.assertFalse(reply.status)
        await asyncio.sleep(0.01)
        self.assertFalse(links.way("good").is_lost)

    async def test_one_call_over_the_limit_loses_no_way(self) -> None:
        links = _Links({"busy": _Good((429, 200, 429, 200))})
        found = [await links.way("busy").call(CALL) for _ in range(4)]
        self.assertFalse(links.way("busy").is_lost)
        self.assertIsInstance(found[0], log_lib.Unavailable)
        self.assertIsInstance(found[1], store.Reply)

    async def test_a_host_that_is_turned_away_loses_its_way(self) -> None:
        links = _Links({"refused": _Good((429,) * 20)})
        for _ in range(failover.BUSY_IN_A_ROW):
            await links.way("refused").call(CALL)
        self.assertTrue(links.way("refused").is_lost)

    async def test_goes_back_to_the_host_that_carried_a_call(self) -> None:
        while not isinstance(await self.relay.relay(CALL), store.Reply):
            pass
        last = self.links.asked[-1]
        self.links.asked.clear()
        for _ in range(10):
            await self.relay.relay(CALL)
        self.assertEqual(self.links.asked, [last] * 10)
