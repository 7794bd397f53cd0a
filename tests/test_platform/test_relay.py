"""Calls of the store that other hosts carry, some of them cut off too."""

from __future__ import annotations

import asyncio
import json
import struct
import time
import unittest
from urllib import parse as urls

from mangotally import ids
from mangotally.entry import allowances, entry_pb2, homes
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
    """A way to the store that works."""

    async def call(self, _call: store.Call) -> store.Reply:
        return store.Reply(200, b"{}")


class _Links:
    """Other hosts, each with its own way to the store."""

    def __init__(self, ways: dict[str, store.Transport]) -> None:
        self.clock = clock_lib.SystemClock()
        self.asked: list[str] = []
        self._ways = {
            address: failover.FailoverTransport(way, self, self.clock)
            for address, way in ways.items()
        }

    def others(self) -> list[homes.HostAddress]:
        return [
            homes.HostAddress(ids.HostId(each), each, ids.PlaceId("z"))
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
        own = allowances.Allowances(
            store.Store(transport),
            ids.HostId("h/alone"),
            1,
            spending.EXACT_PARTS,
            clock,
        )
        await own.give_back(spending.ProgramKey("org/p"), 100)
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
            request = entry_pb2.StoreCall(method="GET", target=CALL.target)
            await self.links.call_store(address, request, 0.0)
        begin_s = time.monotonic()
        for _ in range(20):
            found = await self.relay.relay(CALL)
            self.assertIsInstance(found, store.Reply)
        self.assertLess(time.monotonic() - begin_s, SILENT_S)

    async def test_goes_back_to_the_host_that_carried_a_call(self) -> None:
        while not isinstance(await self.relay.relay(CALL), store.Reply):
            pass
        last = self.links.asked[-1]
        self.links.asked.clear()
        for _ in range(10):
            await self.relay.relay(CALL)
        self.assertEqual(self.links.asked, [last] * 10)
