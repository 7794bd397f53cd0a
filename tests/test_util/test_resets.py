"""Clients whose answer without a length is reset with its last bytes."""

from __future__ import annotations

import asyncio
import unittest

import uvloop
from returns import result

from mangotally import ids
from mangotally.engines import channels
from mangotally.hosts import messages
from mangotally.platform import http, store
from mangotally.services import client
from tests import blocking_target

TIMEOUT_MS = 2000
CALL = messages.RunCall(
    ids.OrganisationId("escola"),
    "k1",
    None,
    ids.ServiceId("balcao"),
    "GET",
    "/deposits",
    (),
    "",
    TIMEOUT_MS,
)
ANSWER = b"HTTP/1.1 200 OK\r\n\r\nbegin of a body"


async def _call_store(*, resets: bool) -> store.Reply | store.Unavailable:
    target = blocking_target.BlockingTarget(ANSWER, resets)
    target.start()
    async with http.DirectTransport(target.address) as transport:
        call = store.Call("GET", "/", b"", False, TIMEOUT_MS)
        return await transport.call(call)


async def _call_service(
    *, resets: bool
) -> result.Result[messages.CallAnswer, object]:
    target = blocking_target.BlockingTarget(ANSWER, resets)
    target.start()
    async with channels.Channels() as opened:
        return await client.ServiceClient(opened).call(
            f"http://{target.address}", CALL, False, TIMEOUT_MS
        )


class ResetAnswerTest(unittest.TestCase):
    """A reset answer is a failure, a closed one is an answer."""

    def setUp(self) -> None:
        self.runner = self.enterContext(
            asyncio.Runner(loop_factory=uvloop.new_event_loop)
        )

    def test_reset_store(self) -> None:
        reply = self.runner.run(_call_store(resets=True))
        self.assertIsInstance(reply, store.Unavailable)

    def test_closed_store(self) -> None:
        reply = self.runner.run(_call_store(resets=False))
        self.assertIsInstance(reply, store.Reply)

    def test_reset_service(self) -> None:
        answer = self.runner.run(_call_service(resets=True))
        self.assertIsInstance(answer, result.Failure)

    def test_closed_service(self) -> None:
        answer = self.runner.run(_call_service(resets=False))
        self.assertIsInstance(answer, result.Success)
