"""Relayed store calls, with some relaying hosts disconnected as well."""

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

TIMEOUT_S = 0.3
CALL = store.Call("GET", "/log-owners?group=g")


class _TimingOut:
    """A connection to the store on which every call times out."""

    async def call(self, _call: store.Call) -> log_lib.Unavailable:
        await asyncio.sleep(TIMEOUT_S)
        return log_lib.Unavailable("timeout")


class _Working:
    """A connection to the store that works.

    Attributes:
        statuses: Statuses of the next answers; later ones are 200.
    """

    def __init__(self, statuses: tuple[int, ...] = ()) -> None:
        self.statuses = list(statuses)

    async def call(self, call: store.Call) -> store.Reply | log_lib.Unavailable:
        wait_s = 1.0 if "WaitMs=1000" in call.path_and_query else 0.0
        try:
            async with asyncio.timeout(call.timeout_ms / 1000):
                await asyncio.sleep(wait_s)
        except TimeoutError:
            return log_lib.Unavailable("timeout")
        status = self.statuses.pop(0) if self.statuses else 200
        return store.Reply(status, bytes(16))


class _Links:
    """Other hosts, each with its own connection to the store."""

    def __init__(self, connections: dict[str, store.Transport]) -> None:
        self.clock = clock_lib.SystemClock()
        self.called: list[str] = []
        self._transports = {
            address: failover.FailoverTransport(connection, self, self.clock)
            for address, connection in connections.items()
        }

    def transport(self, address: str) -> failover.FailoverTransport:
        return self._transports[address]

    def others(self) -> list[homes.HostAddress]:
        return [
            homes.HostAddress(ids.HostId(each), each, ids.FailureDomainId("z"))
            for each in self._transports
        ]

    async def relay(self, _call: store.Call) -> log_lib.Unavailable:
        return log_lib.Unavailable("no host")

    async def call_store(
        self, address: str, request: entry_pb2.StoreCall, _timeout_ms: float
    ) -> entry_pb2.StoreReply:
        self.called.append(address)
        return await relay.call_for_other(self._transports[address], request)


class _RecordingStore:
    """A store that executes every append, also those without `At`.

    Answers over the direct connection are lost, so the call is relayed too.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []

    async def call(self, call: store.Call) -> log_lib.Unavailable:
        self._execute(call)
        return log_lib.Unavailable("timeout")

    async def relay(self, call: store.Call) -> store.Reply:
        return self._execute(call)

    def _execute(self, call: store.Call) -> store.Reply:
        query = urls.parse_qs(urls.urlsplit(call.path_and_query).query)
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
    """Tokens that a host returns after its program's home did not answer."""

    async def test_return_that_is_sent_twice_counts_once(self) -> None:
        clock = clock_lib.ManualClock()
        recording = _RecordingStore()
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
    """Half of the other hosts cannot reach the store either."""

    def setUp(self) -> None:
        self.links = _Links(
            {
                "down-1": _TimingOut(),
                "down-2": _TimingOut(),
                "good-1": _Working(),
                "good-2": _Working(),
            }
        )
        self.relay = relay.StoreRelay(self.links)  # type: ignore[arg-type]
        self.relay.set_homes(self.links)  # type: ignore[arg-type]

    async def test_hosts_known_to_be_disconnected_cause_no_wait(
        self,
    ) -> None:
        for address in ("down-1", "down-2"):
            await self.links.transport(address).call(CALL)
        start_s = time.monotonic()
        for _ in range(20):
            found = await self.relay.relay(CALL)
            self.assertIsInstance(found, store.Reply)
        self.assertLess(time.monotonic() - start_s, TIMEOUT_S)

    async def test_long_poll_is_not_cut_short(self) -> None:
        self.links = _Links({"good": _Working()})
        self.relay = relay.StoreRelay(self.links)  # type: ignore[arg-type]
        self.relay.set_homes(self.links)  # type: ignore[arg-type]
        waiting = store.Call(
            "GET", "/log-read?WaitMs=1000", timeout_ms=2000, wait_ms=1000
        )
        found = await self.relay.relay(waiting)
        self.assertIsInstance(found, store.Reply)
        self.assertFalse(self.links.transport("good").is_direct_down)

    async def test_failed_relayed_call_keeps_the_direct_connection(
        self,
    ) -> None:
        links = _Links({"good": _Working()})
        request = entry_pb2.StoreCall(
            method="GET", target="/log-read?WaitMs=1000", timeout_ms=50.0
        )
        reply = await links.call_store("good", request, 0.0)
        self.assertFalse(reply.status)
        await asyncio.sleep(0.01)
        self.assertFalse(links.transport("good").is_direct_down)

    async def test_single_call_over_the_limit_keeps_the_direct_connection(
        self,
    ) -> None:
        links = _Links({"busy": _Working((429, 200, 429, 200))})
        found = [await links.transport("busy").call(CALL) for _ in range(4)]
        self.assertFalse(links.transport("busy").is_direct_down)
        self.assertIsInstance(found[0], log_lib.Unavailable)
        self.assertIsInstance(found[1], store.Reply)

    async def test_repeated_rejection_marks_the_direct_connection_down(
        self,
    ) -> None:
        links = _Links({"refused": _Working((429,) * 20)})
        for _ in range(failover.MAX_CONSECUTIVE_BUSY):
            await links.transport("refused").call(CALL)
        self.assertTrue(links.transport("refused").is_direct_down)

    async def test_prefers_the_host_that_last_succeeded(self) -> None:
        while not isinstance(await self.relay.relay(CALL), store.Reply):
            pass
        last = self.links.called[-1]
        self.links.called.clear()
        for _ in range(10):
            await self.relay.relay(CALL)
        self.assertEqual(self.links.called, [last] * 10)
