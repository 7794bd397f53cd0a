"""RPC calls between entry hosts, over the loopback interface."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import grpc

from mangotally.entry import entry_pb2, peers
from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.soak import proxy

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

TIMEOUT_MS = 100
ANSWER_MS = 1000


class _Handlers:
    """A host with a slow log: `Reserve`, `Place` hang and `Report` answers."""

    async def reserve(
        self, _request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        await asyncio.sleep(10.0)
        return entry_pb2.ReserveReply()

    async def place(
        self, _request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        await asyncio.sleep(10.0)
        return entry_pb2.PlaceReply()

    async def report(
        self, _request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        return entry_pb2.ReportReply()

    async def _unused(self, _request: object) -> None:
        raise AssertionError

    call_store = take_tokens = hand_over = settle = _unused

    async def forward(
        self, _request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        raise AssertionError
        yield entry_pb2.ForwardPart()


class BackoffTest(unittest.IsolatedAsyncioTestCase):
    """Which hosts are not called again until their back-off ends."""

    async def asyncSetUp(self) -> None:
        self.address = f"127.0.0.1:{entry_fleet.free_port()}"
        self.client = await self.enterAsyncContext(
            peers.PeerClient(clock_lib.SystemClock())
        )

    async def _serve(self) -> None:
        await self.enterAsyncContext(
            peers.Server(self.address, _Handlers(), lambda _name: None)
        )
        await self._report()

    async def _report(self) -> entry_pb2.ReportReply | None:
        return await self.client.report(
            self.address, entry_pb2.PlaceReport(), ANSWER_MS
        )

    async def _reserve(self) -> entry_pb2.ReserveReply | None:
        return await self.client.reserve(
            self.address, entry_pb2.ReserveRequest(), TIMEOUT_MS
        )

    async def test_a_slow_reservation_alone_does_not_back_off_a_host(
        self,
    ) -> None:
        await self._serve()
        slow = asyncio.create_task(self._reserve())
        await asyncio.sleep(0.02)
        self.assertIsNotNone(await self._report())
        self.assertIsNone(await slow)
        self.assertTrue(self.client.is_available(self.address))

    async def test_a_home_that_assigns_no_slots_is_backed_off(self) -> None:
        await self._serve()
        slow = asyncio.create_task(
            self.client.place(
                self.address, entry_pb2.PlaceRequest(), TIMEOUT_MS
            )
        )
        await asyncio.sleep(0.02)
        self.assertIsNotNone(await self._report())
        self.assertIsNone(await slow)
        self.assertFalse(self.client.is_available(self.address))

    async def test_a_host_that_answers_nothing_is_backed_off(self) -> None:
        await self._serve()
        self.assertIsNone(await self._reserve())
        self.assertFalse(self.client.is_available(self.address))

    async def test_an_unreachable_host_is_backed_off(self) -> None:
        self.assertIsNone(await self._report())
        self.assertFalse(self.client.is_available(self.address))


class SlowHandshakeTest(unittest.IsolatedAsyncioTestCase):
    """A host connects to another one that takes half a second to answer."""

    DELAY_MS = 250.0
    ATTEMPTS = 20

    async def test_connects(self) -> None:
        port = entry_fleet.free_port()
        address = f"127.0.0.1:{port}"
        await self.enterAsyncContext(
            peers.Server(address, _Handlers(), lambda _name: None)
        )
        link = proxy.Link("slow", ("127.0.0.1", port))
        link.delay_ms = self.DELAY_MS
        await self.enterAsyncContext(link)
        client = await self.enterAsyncContext(
            peers.PeerClient(clock_lib.SystemClock())
        )
        for _ in range(self.ATTEMPTS):
            reply = await client.report(
                link.address, entry_pb2.PlaceReport(), ANSWER_MS
            )
            if reply is not None:
                return
            await asyncio.sleep(0.1)
        self.fail("no connection was made")


class EarlierVersionTest(unittest.IsolatedAsyncioTestCase):
    """A host of a version without the call has not sent the request."""

    async def test_forward(self) -> None:
        server = grpc.aio.server()
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        address = f"127.0.0.1:{port}"
        client = await self.enterAsyncContext(
            peers.PeerClient(clock_lib.SystemClock())
        )
        self.assertTrue(await client.connect(address, ANSWER_MS))
        call = client.forward(address, entry_pb2.ForwardRequest(), ANSWER_MS)
        part = await call.read()
        assert part is not None
        self.assertEqual(part.end.outcome, entry_pb2.ForwardEnd.UNABLE)
        self.assertTrue(client.is_available(address))
        reply = await client.hand_over(
            address, entry_pb2.HandOverRequest(), ANSWER_MS
        )
        self.assertIsNone(reply)
        self.assertTrue(client.is_available(address))
