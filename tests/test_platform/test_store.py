"""The store's client against the stand-in."""

from __future__ import annotations

import asyncio
import time
import unittest

from mangotally.entry import log as log_lib
from mangotally.platform import failover, http, standin_store, store
from mangotally.util import clock as clock_lib
from tests import raw_server

TOPIC = log_lib.Topic("t")


class _Relay:
    """Another host that reaches the store, or does not."""

    def __init__(self, transport: store.Transport | None) -> None:
        self.transport = transport
        self.calls = 0

    async def relay(
        self, call: store.Call
    ) -> store.Reply | log_lib.Unavailable:
        self.calls += 1
        if self.transport is None:
            return log_lib.Unavailable("no host")
        return await self.transport.call(call)


class _Silent:
    """A way that loses every call."""

    WAIT_S = 0.4

    async def call(self, _call: store.Call) -> log_lib.Unavailable:
        await asyncio.sleep(self.WAIT_S)
        return log_lib.Unavailable("timeout")


class _Refusing:
    """A way to the store that is closed."""

    async def call(self, call: store.Call) -> store.Reply:
        return store.Reply(429, b"")


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer without end is no answer of the store."""

    async def test_body_without_end(self) -> None:
        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            head = b"HTTP/1.1 200 OK\r\n\r\n"
            await server.send_endlessly(writer, head, b"x")

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        address = server.url.removeprefix("http://")
        direct = await self.enterAsyncContext(http.DirectTransport(address))
        call = store.Call("GET", "/", timeout_ms=2000)
        found = await direct.call(call)
        self.assertEqual(found, store.Unavailable("oversize-answer"))
        await server.wait_until_closed()
        self.assertLess(server.sent_bytes, 16 * 1024 * 1024)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Appends, reads, keys and groups."""

    async def asyncSetUp(self) -> None:
        self.stand_in = standin_store.StandInStore(partitions=4)
        await self.enterAsyncContext(self.stand_in)
        address = self.stand_in.url.removeprefix("http://")
        self.direct = http.DirectTransport(address)
        await self.enterAsyncContext(self.direct)
        self.store = store.Store(self.direct)

    async def test_appends_at_an_end(self) -> None:
        first = await self.store.append(TOPIC, 1, [b"a", b"b"])
        self.assertEqual(
            first, log_lib.Appended(log_lib.Offset(0), log_lib.Offset(2))
        )
        moved = await self.store.append(TOPIC, 1, [b"c"], log_lib.Offset(1))
        self.assertEqual(moved, log_lib.EndMoved(log_lib.Offset(2)))
        batch = await self.store.read(TOPIC, 1, log_lib.Offset(1))
        assert isinstance(batch, log_lib.Batch)
        self.assertEqual((batch.records, batch.end), ((b"b",), 2))

    async def test_reads_what_is_left(self) -> None:
        await self.store.append(TOPIC, 0, [b"a", b"b"])
        self.stand_in.trim(TOPIC)
        found = await self.store.read(TOPIC, 0, log_lib.Offset(0))
        self.assertEqual(found, log_lib.Trimmed(log_lib.Offset(2)))

    async def test_newest_of_each_key(self) -> None:
        self.stand_in.put("keyed.x", "a", 1)
        self.stand_in.put("keyed.x", "b", 2)
        self.stand_in.put("keyed.x", "a", 3)
        self.stand_in.put("keyed.x", "b", None)
        found = await self.store.read_latest(log_lib.Topic("keyed.x"))
        assert isinstance(found, store.LatestRecords)
        self.assertEqual(found.records, (store.KeyedRecord("a", b"3"),))

    async def test_divides_partitions(self) -> None:
        one = await self.store.join("g", "one", [TOPIC], 2000, 0)
        assert isinstance(one, store.Assignment)
        self.assertEqual(len(one.partitions), 4)
        two = await self.store.join("g", "two", [TOPIC], 2000, 0)
        assert isinstance(two, store.Assignment)
        self.assertEqual(len(two.partitions), 2)
        self.assertGreater(two.generation, one.generation)
        await self.store.leave("g", "one")
        owners = await self.store.owners("g")
        assert not isinstance(owners, log_lib.Unavailable)
        self.assertEqual(set(owners.values()), {"two"})

    async def test_says_what_it_does_not_know(self) -> None:
        self.stand_in.faults.refuse = True
        for found in (
            await self.store.append(TOPIC, 0, [b"a"]),
            await self.store.read(TOPIC, 0, log_lib.Offset(0)),
            await self.store.read_latest(TOPIC),
            await self.store.owners("g"),
        ):
            self.assertIsInstance(found, log_lib.Unavailable)

    async def test_another_host_carries_calls(self) -> None:
        clock = clock_lib.ManualClock()
        relay = _Relay(self.direct)
        transport = failover.FailoverTransport(_Refusing(), relay, clock)
        found = store.Store(transport)
        for _ in range(2):
            appended = await found.append(TOPIC, 0, [b"a"])
            self.assertIsInstance(appended, log_lib.Appended)
        self.assertTrue(transport.is_direct_down)
        relay.transport = None
        appended = await found.append(TOPIC, 0, [b"a"])
        self.assertIsInstance(appended, log_lib.Unavailable)

    async def test_no_call_waits_for_a_silent_direct_way(self) -> None:
        clock = clock_lib.ManualClock()
        silent = _Silent()
        transport = failover.FailoverTransport(
            silent, _Relay(self.direct), clock
        )
        found = store.Store(transport)
        await found.append(TOPIC, 0, [b"a"])
        self.assertTrue(transport.is_direct_down)
        for _ in range(3):
            clock.advance(failover.RETRY_DIRECT_MS)
            begin_s = time.monotonic()
            appended = await found.append(TOPIC, 0, [b"a"])
            self.assertIsInstance(appended, log_lib.Appended)
            self.assertLess(time.monotonic() - begin_s, _Silent.WAIT_S / 2)

    async def test_direct_way_is_tried_again(self) -> None:
        clock = clock_lib.ManualClock()
        relay = _Relay(None)
        transport = failover.FailoverTransport(self.direct, relay, clock)
        self.stand_in.faults.refuse = True
        found = store.Store(transport)
        await found.append(TOPIC, 0, [b"a"])
        self.stand_in.faults.refuse = False
        clock.advance(failover.RETRY_DIRECT_MS)
        appended = await found.append(TOPIC, 0, [b"a"])
        self.assertIsInstance(appended, log_lib.Appended)
        self.assertFalse(transport.is_direct_down)
