"""Tests that outdated data on homes is detected."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from mangotally.entry import entry_pb2, peers
from mangotally.util import clock as clock_lib
from tests import entry_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

TIMEOUT_MS = 1000


class _Handlers:
    """Handlers of a host that is the home of rate limit keys only."""

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

    call_store = hand_over = settle = report = _unused

    async def forward(
        self, _request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        raise AssertionError
        yield entry_pb2.ForwardPart()


class StaleHomesTest(unittest.IsolatedAsyncioTestCase):
    """The listener is notified when the homes may have changed."""

    async def asyncSetUp(self) -> None:
        self.notifications = 0
        self.address = f"127.0.0.1:{entry_fleet.free_port()}"
        self.links = await self.enterAsyncContext(
            peers.PeerClient(clock_lib.SystemClock())
        )
        self.links.on_stale_homes(self._notify)

    def _notify(self) -> None:
        self.notifications += 1

    async def _serve(self) -> None:
        await self.enterAsyncContext(
            peers.Server(self.address, _Handlers(), lambda _name: None)
        )

    async def _take(self) -> entry_pb2.TakeReply | None:
        return await self.links.take_tokens(
            self.address, entry_pb2.TakeRequest(), TIMEOUT_MS
        )

    async def test_responding_home_does_not_notify(self) -> None:
        await self._serve()
        self.assertIsNotNone(await self._take())
        self.assertEqual(self.notifications, 0)

    async def test_host_that_is_not_the_home_notifies(self) -> None:
        await self._serve()
        await self.links.place(
            self.address, entry_pb2.PlaceRequest(), TIMEOUT_MS
        )
        self.assertEqual(self.notifications, 1)
        await self.links.reserve(
            self.address, entry_pb2.ReserveRequest(), TIMEOUT_MS
        )
        self.assertEqual(self.notifications, 2)

    async def test_unresponsive_home_notifies(self) -> None:
        self.assertIsNone(await self._take())
        self.assertEqual(self.notifications, 1)
