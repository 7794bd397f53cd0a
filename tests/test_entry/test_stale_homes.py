"""A host reads the homes again when one turns out to be none."""

from __future__ import annotations

import unittest

from mangotally.entry import entry_pb2, peers
from mangotally.util import clock as clock_lib
from tests import entry_fleet

TIMEOUT_MS = 1000


class _Handlers:
    """A host that is home of the keys of rates only."""

    async def take_tokens(
        self, _request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        return entry_pb2.TakeReply(outcome=entry_pb2.TakeReply.ADMITTED)

    async def place(
        self, _request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        return entry_pb2.PlaceReply()

    async def reserve(
        self, _request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        return entry_pb2.ReserveReply()

    async def _unused(self, _request: object) -> None:
        raise AssertionError

    call_store = settle = report = _unused


class StaleHomesTest(unittest.IsolatedAsyncioTestCase):
    """Peers tell who listens that the homes may have changed."""

    async def asyncSetUp(self) -> None:
        self.noted = 0
        self.address = f"127.0.0.1:{entry_fleet.free_port()}"
        self.links = await self.enterAsyncContext(
            peers.PeerClient(clock_lib.SystemClock())
        )
        self.links.on_stale_homes(self._note)

    def _note(self) -> None:
        self.noted += 1

    async def _serve(self) -> None:
        await self.enterAsyncContext(
            peers.Server(self.address, _Handlers(), lambda _name: None)
        )

    async def _take(self) -> entry_pb2.TakeReply | None:
        return await self.links.take_tokens(
            self.address, entry_pb2.TakeRequest(), TIMEOUT_MS
        )

    async def test_a_home_that_answers_is_no_reason(self) -> None:
        await self._serve()
        self.assertIsNotNone(await self._take())
        self.assertEqual(self.noted, 0)

    async def test_a_host_that_is_no_home_is_a_reason(self) -> None:
        await self._serve()
        await self.links.place(
            self.address, entry_pb2.PlaceRequest(), TIMEOUT_MS
        )
        self.assertEqual(self.noted, 1)
        await self.links.reserve(
            self.address, entry_pb2.ReserveRequest(), TIMEOUT_MS
        )
        self.assertEqual(self.noted, 2)

    async def test_a_silent_home_is_a_reason(self) -> None:
        self.assertIsNone(await self._take())
        self.assertEqual(self.noted, 1)
