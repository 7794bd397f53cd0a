"""Tests of the store client against the stand-in store."""

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
    """Another host, with or without a connection to the store."""

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


class _TimingOut:
    """A connection on which every call times out."""

    TIMEOUT_S = 0.4

    async def call(self, _call: store.Call) -> log_lib.Unavailable:
        await asyncio.sleep(self.TIMEOUT_S)
        return log_lib.Unavailable("timeout")


class _Refusing:
    """A connection on which the store rejects every call."""

    async def call(self, call: store.Call) -> store.Reply:
        return store.Reply(429, b"")


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer over the size limit is treated as unavailability."""

    async def test_body_without_end(self) -> None:
        async def send_endless_body(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            head = b"HTTP/1.1 200 OK\r\n\r\n"
            await server.send_endlessly(writer, head, b"x")

        server = await self.enterAsyncContext(
            raw_server.RawServer(send_endless_body)
        )
        address = server.url.removeprefix("http://")
        direct = await self.enterAsyncContext(http.DirectTransport(address))
        call = store.Call("GET", "/", timeout_ms=2000)
        found = await direct.call(call)
        self.assertEqual(found, store.Unavailable("oversize-answer"))
        await server.wait_until_closed()
        self.assertLess(server.sent_bytes, 16 * 1024 * 1024)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Appends, reads, keyed topics, groups and failover."""

    async def asyncSetUp(self) -> None:
        self.stand_in = standin_store.StandInStore(partitions=4)
        await self.enterAsyncContext(self.stand_in)
        address = self.stand_in.url.removeprefix("http://")
        self.direct = http.DirectTransport(address)
        await self.enterAsyncContext(self.direct)
        self.store = store.Store(self.direct)

    async def test_append_at_an_expected_end(self) -> None:
        first = await self.store.append(TOPIC, 1, [b"a", b"b"])
        self.assertEqual(
            first, log_lib.Appended(log_lib.Offset(0), log_lib.Offset(2))
        )
        moved = await self.store.append(TOPIC, 1, [b"c"], log_lib.Offset(1))
        self.assertEqual(moved, log_lib.EndMoved(log_lib.Offset(2)))
        batch = await self.store.read(TOPIC, 1, log_lib.Offset(1))
        assert isinstance(batch, log_lib.Batch)
        self.assertEqual((batch.records, batch.end), ((b"b",), 2))

    async def test_read_of_trimmed_records(self) -> None:
        await self.store.append(TOPIC, 0, [b"a", b"b"])
        self.stand_in.trim(TOPIC)
        found = await self.store.read(TOPIC, 0, log_lib.Offset(0))
        self.assertEqual(found, log_lib.Trimmed(log_lib.Offset(2)))

    async def test_latest_record_of_each_key(self) -> None:
        self.stand_in.put("keyed.x", "a", 1)
        self.stand_in.put("keyed.x", "b", 2)
        self.stand_in.put("keyed.x", "a", 3)
        self.stand_in.put("keyed.x", "b", None)
        found = await self.store.read_latest(log_lib.Topic("keyed.x"))
        assert isinstance(found, store.LatestRecords)
        self.assertEqual(found.records, (store.KeyedRecord("a", b"3"),))

    async def test_group_divides_partitions(self) -> None:
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

    async def test_failed_calls_return_unavailable(self) -> None:
        self.stand_in.faults.refuse = True
        for found in (
            await self.store.append(TOPIC, 0, [b"a"]),
            await self.store.read(TOPIC, 0, log_lib.Offset(0)),
            await self.store.read_latest(TOPIC),
            await self.store.owners("g"),
        ):
            self.assertIsInstance(found, log_lib.Unavailable)

    async def test_other_host_relays_calls(self) -> None:
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

    async def test_no_call_waits_for_a_direct_connection_that_times_out(
        self,
    ) -> None:
        clock = clock_lib.ManualClock()
        direct = _TimingOut()
        transport = failover.FailoverTransport(
            direct, _Relay(self.direct), clock
        )
        found = store.Store(transport)
        await found.append(TOPIC, 0, [b"a"])
        self.assertTrue(transport.is_direct_down)
        for _ in range(3):
            clock.advance(failover.RETRY_DIRECT_MS)
            start_s = time.monotonic()
            appended = await found.append(TOPIC, 0, [b"a"])
            self.assertIsInstance(appended, log_lib.Appended)
            self.assertLess(
                time.monotonic() - start_s, _TimingOut.TIMEOUT_S / 2
            )

    async def test_direct_connection_is_tried_again(self) -> None:
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
