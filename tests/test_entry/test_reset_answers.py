"""Answers of targets that end with their connection, closed or reset."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import multidict
import uvloop

from mangotally.entry import model, sending
from mangotally.platform import headers
from mangotally.util import clock as clock_lib
from tests import blocking_target

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_MS = 4000.0
REQUEST_ID = model.RequestId("r1")
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
PLAIN = HEAD + b"\r\n" + b"x" * 100
STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
WITH_LENGTH = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


async def _receive(answer: bytes, resets: bool) -> sending.Outcome:
    """Returns the outcome of a request, that of a stream after its end."""
    clock = clock_lib.SystemClock()
    async with sending.Sender(headers.NAMES, clock) as sender:
        target = blocking_target.BlockingTarget(answer, resets)
        target.start()
        request = sending.Outgoing(
            REQUEST_ID,
            "GET",
            "/",
            multidict.CIMultiDict({"Request-Id": REQUEST_ID}),
            b"",
            clock.now_ms() + DEADLINE_MS,
            lambda _: None,
        )
        outcome = await sender.send(target.address, request)
        if isinstance(outcome, sending.Stream):
            async for _ in outcome.chunks():
                pass
    target.join(blocking_target.WAIT_S)
    return outcome


class AnswerEndTest(unittest.TestCase):
    """Only a closed connection ends an answer that has no length."""

    new_loop: Callable[[], asyncio.AbstractEventLoop] = staticmethod(
        uvloop.new_event_loop
    )

    def receive(self, answer: bytes, *, resets: bool) -> sending.Outcome:
        """Returns the outcome of a request on the loop under test."""
        with asyncio.Runner(loop_factory=self.new_loop) as runner:
            return runner.run(_receive(answer, resets))

    def check_broken_stream(self, answer: bytes) -> None:
        """Checks that a stream that is reset after some bytes has failed."""
        outcome = self.receive(answer, resets=True)
        assert isinstance(outcome, sending.Stream), outcome
        self.assertIsNotNone(outcome.failure)

    def test_reset_after_part_of_a_body(self) -> None:
        outcome = self.receive(PLAIN, resets=True)
        self.assertIsInstance(outcome, sending.Broken)

    def test_reset_after_an_event(self) -> None:
        self.check_broken_stream(STREAM + EVENTS)

    def test_reset_before_the_first_event(self) -> None:
        self.check_broken_stream(STREAM)

    def test_reset_inside_an_event(self) -> None:
        self.check_broken_stream(STREAM + EVENTS[:-4])

    def test_closed_after_a_body(self) -> None:
        outcome = self.receive(PLAIN, resets=False)
        self.assertIsInstance(outcome, sending.Whole)

    def test_closed_after_an_event(self) -> None:
        outcome = self.receive(STREAM + EVENTS, resets=False)
        assert isinstance(outcome, sending.Stream), outcome
        self.assertIsNone(outcome.failure)

    def test_reset_after_a_body_with_a_length(self) -> None:
        outcome = self.receive(WITH_LENGTH, resets=True)
        self.assertIsInstance(outcome, sending.Whole)

    def test_reset_after_a_chunked_body(self) -> None:
        outcome = self.receive(CHUNKED, resets=True)
        self.assertIsInstance(outcome, sending.Whole)


class LibraryLoopTest(AnswerEndTest):
    """The same on the loop of the standard library."""

    new_loop = staticmethod(asyncio.new_event_loop)
