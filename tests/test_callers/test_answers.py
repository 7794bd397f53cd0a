"""Tests of the writers of answers to chat completions."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from aiohttp import test_utils, web
from returns import result

from mangotally import errors, ids
from mangotally.callers import answers, limits, server
from mangotally.hosts import messages
from mangotally.metrics import recorder, store
from mangotally.util import clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ_TIMEOUT_S = 10
MESSAGE = messages.RunTurn(
    ids.OrganisationId("org-a"),
    ids.KeyId("k1"),
    None,
    1,
    ids.ServiceId("model"),
    (),
    16,
    1.0,
    1000,
)
TEXT = messages.TurnText("hello")
END = messages.TurnEnd(3, 1, 2, ids.TargetId("model-1"), replayed=False)


async def yield_all(*events: Any) -> AsyncIterator[errors.Outcome[Any]]:
    """Yields events as the home of a program (the host that runs it) does."""
    for event in events:
        if isinstance(event, errors.Failure):
            yield result.Failure(event)
        else:
            yield result.Success(event)


class FakeResponse(dict[str, object]):
    """Records what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.blocks = False
        self.ended = False

    async def write(self, data: bytes) -> None:
        """Records data, or blocks as for a caller that does not read."""
        if self.blocks:
            await asyncio.Event().wait()
        self.written += data

    async def write_eof(self) -> None:
        """Ends the answer."""
        self.ended = True


class EndlessRoutes:
    """A route whose answer never ends."""

    def __init__(self) -> None:
        self.ended: asyncio.Future[str] = asyncio.Future()

    def attach(self, app: web.Application) -> None:
        """Adds the route."""
        app.router.add_get("/", self._answer)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        watch = recorder.CallTimer(
            recorder.NullRecorder(),
            MESSAGE.organisation,
            clock.ManualClock(),
        )
        answer = answers.StreamAnswerWriter(request, MESSAGE, watch)
        try:
            return await answer.write(self._events())
        except ConnectionError as error:
            self.ended.set_result(str(error))
            raise

    async def _events(self) -> AsyncIterator[errors.Outcome[Any]]:
        while True:
            yield result.Success(messages.TurnText("x" * 4000))


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """A caller that stops reading, over a real connection."""

    async def test_call_ends(self) -> None:
        """Once the buffers are full, the call ends after the write time-out."""
        routes = EndlessRoutes()
        limiter = limits.ResourceLimiter(limits.Bounds())
        with mock.patch.object(answers, "WRITE_TIMEOUT_MS", 20):
            async with server.HttpServer(
                "127.0.0.1", 0, [routes], limiter, 0
            ) as running:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", running.port, limit=1024
                )
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                async with asyncio.timeout(READ_TIMEOUT_S):
                    reason = await routes.ended
                writer.close()
        self.assertEqual(reason, "the caller did not read the answer in time")


class StreamAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers as server-sent events."""

    async def asyncSetUp(self) -> None:
        """Creates an answer whose headers have been sent."""
        self.metrics = store.MetricsStore()
        watch = recorder.CallTimer(
            self.metrics, MESSAGE.organisation, clock.ManualClock()
        )
        request = test_utils.make_mocked_request("POST", "/")
        self.answer = answers.StreamAnswerWriter(request, MESSAGE, watch)
        self.response = FakeResponse()
        self.answer._response = self.response  # type: ignore[assignment]

    def events(self) -> list[str]:
        """Returns the written events."""
        parts = self.response.written.decode().split("\n\n")
        return [part.removeprefix("data: ") for part in parts if part]

    async def test_complete_answer(self) -> None:
        """A complete answer ends with `[DONE]` and is counted in metrics."""
        await self.answer.write(yield_all(TEXT, END))
        self.assertEqual(self.events()[-1], "[DONE]")
        self.assertTrue(self.response.ended)
        names = [name for name, _ in self.metrics.targets.items()]
        self.assertEqual(names, ["model-1"])

    async def test_incomplete_answer(self) -> None:
        """An incomplete answer ends with an error and without `[DONE]`."""
        await self.answer.write(yield_all(TEXT))
        last = json.loads(self.events()[-1])
        self.assertEqual(last["error"]["ran"], "may-have-run")
        self.assertTrue(self.response.ended)
        self.assertEqual(list(self.metrics.targets.items()), [])

    async def test_failure_after_first_event(self) -> None:
        """The last event is the problem."""
        failure = errors.Failure(errors.Reason.TARGET_FAILED, "no")
        await self.answer.write(yield_all(TEXT, failure))
        self.assertEqual(json.loads(self.events()[-1])["error"]["status"], 502)

    async def test_caller_that_does_not_read(self) -> None:
        """A write that takes too long ends the call."""
        self.response.blocks = True
        with (
            mock.patch.object(answers, "WRITE_TIMEOUT_MS", 1),
            self.assertRaises(ConnectionResetError),
        ):
            await self.answer.write(yield_all(TEXT, END))
