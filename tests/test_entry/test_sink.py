"""Tests of mangotally.entry.sink."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import multidict

from mangotally.entry import caller_connections, events, sink
from mangotally.platform import standin_worker


async def _never(*_args: object) -> None:
    await asyncio.Event().wait()


class UnreadEventsTest(unittest.IsolatedAsyncioTestCase):
    """A caller that reads nothing keeps a slot at a target for a time only."""

    async def test_the_answer_is_aborted(self) -> None:
        request = mock.Mock()
        caller = sink.CallerSink(request, lambda _response: None)
        await caller.begin(multidict.CIMultiDictProxy(multidict.CIMultiDict()))
        response = mock.Mock(prepared=True, write=_never)
        caller._response = response
        complete = events.EventSplitter().feed(standin_worker.event(1))
        with (
            mock.patch.object(caller_connections, "UNREAD_TIMEOUT_MS", 10.0),
            self.assertRaises(ConnectionAbortedError),
        ):
            await caller.send_events(complete)
        request.transport.abort.assert_called_once_with()
