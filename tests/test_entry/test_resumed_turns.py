"""Tests of turns that are resumed, and then continued by a later turn."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

import aiohttp

from mangotally import ids
from mangotally.entry import events, model, stream_origins, stream_texts
from mangotally.platform import standin_worker
from mangotally.util import clock as clock_lib
from tests.entry_fleet import TALK, with_fleet
from tests.test_entry import fake_log

if TYPE_CHECKING:
    from tests import entry_fleet

EVENTS = 6
WHOLE_TEXT = b"".join(b"e%d\n" % n for n in range(1, EVENTS + 1))
PARTITIONS = 3
STREAM = stream_origins.StreamId(
    ids.OrganisationId("o"), model.RequestId("first")
)


class ResumedTurnTest(unittest.IsolatedAsyncioTestCase):
    """A later turn runs with all that its caller was told."""

    async def _turn(
        self,
        fleet: entry_fleet.EntryFleet,
        request_id: str,
        host: int,
        cut_after: int = -1,
        **headers: Any,
    ) -> int:
        """Runs a turn, which may break off; returns its status."""
        for worker in fleet.models:
            worker.events = EVENTS
            worker.faults.cut_after = cut_after
        with contextlib.suppress(aiohttp.ClientPayloadError):
            status, _, _ = await fleet.turn(
                TALK, host, Request_Id=request_id, **headers
            )
            return status
        return 200

    async def _check_next_turn(
        self, fleet: entry_fleet.EntryFleet, parent: str
    ) -> None:
        status = await self._turn(fleet, "next", 0, Parent_Turn=parent)
        self.assertEqual(status, 200)
        (run,) = (each for each in fleet.runs() if each.request_id == "next")
        self.assertEqual(run.body, b"in" + WHOLE_TEXT + b"in")

    # The text that an earlier answer had brought was missing (review/1).
    @with_fleet
    async def test_next_turn_has_the_text_of_all_answers(
        self, fleet: entry_fleet.EntryFleet
    ) -> None:
        await self._turn(fleet, "first", 0, cut_after=2)
        status = await self._turn(
            fleet, "again", 1, Resumes="first", Last_Event_Id="2"
        )
        self.assertEqual(status, 200)
        await self._check_next_turn(fleet, "again")

    # The second answer is recorded as a part of the same stream.
    @with_fleet
    async def test_next_turn_has_the_text_of_three_answers(
        self, fleet: entry_fleet.EntryFleet
    ) -> None:
        await self._turn(fleet, "first", 0, cut_after=2)
        await self._turn(
            fleet, "again", 1, 4, Resumes="first", Last_Event_Id="2"
        )
        status = await self._turn(
            fleet, "last", 0, Resumes="first", Last_Event_Id="4"
        )
        self.assertEqual(status, 200)
        await self._check_next_turn(fleet, "last")

    # A turn whose text is not known must not be continued from a part of it.
    @with_fleet
    async def test_refuses_to_resume_a_turn_whose_text_is_not_known(
        self, fleet: entry_fleet.EntryFleet
    ) -> None:
        await self._turn(fleet, "first", 0, cut_after=2)
        attempts: list[dict[str, Any]] = [
            {"Resumes": "first", "Last_Event_Id": "3"},
            {"Resumes": "first", "Last_Event_Id": "x"},
            {"Last_Event_Id": "2"},
        ]
        for resumed in attempts:
            status = await self._turn(fleet, "again", 1, **resumed)
            self.assertEqual(status, 503)
        runs = {each.request_id for each in fleet.runs()}
        self.assertNotIn("again", runs)


class StreamTextsTest(unittest.IsolatedAsyncioTestCase):
    """Texts are found as far as they are known without a gap."""

    def setUp(self) -> None:
        self.log = fake_log.FakeLog()
        self.clock = clock_lib.SystemClock()
        self.texts = self._new_host()

    def _new_host(self) -> stream_texts.StreamTexts:
        return stream_texts.StreamTexts(self.log, PARTITIONS, self.clock)

    async def _look_up(self, last: int) -> object:
        until_ms = self.clock.now_ms() + stream_texts.RETRY_MS
        return await self._new_host().look_up(STREAM, last, until_ms)

    async def test_a_resumed_answer_replaces_what_its_caller_did_not_get(
        self,
    ) -> None:
        await self.texts.recorder(STREAM, None).record(_events(1, 3))
        await self.texts.recorder(STREAM, 2).record(_events(3, 4, b"new"))
        self.assertEqual(await self._look_up(2), b"old1\nold2\n")
        self.assertEqual(await self._look_up(4), b"old1\nold2\nnew3\nnew4\n")

    async def test_a_text_with_a_gap_is_not_known(self) -> None:
        recorder = self.texts.recorder(STREAM, None)
        await recorder.record(_events(1, 1))
        self.log.refuse = 1
        await recorder.record(_events(2, 2))
        await recorder.record(_events(3, 3))
        await self.texts.recorder(STREAM, 3).record(_events(4, 4))
        self.assertEqual(await self._look_up(1), b"old1\n")
        for last in (2, 3, 4):
            found = await self._look_up(last)
            self.assertEqual(found, stream_origins.NotRecorded())

    async def test_an_unavailable_log_delays_a_stream_only_once(self) -> None:
        recorder = self.texts.recorder(STREAM, None)

        async def hang(*_args: object) -> None:
            await asyncio.sleep(60)

        begin_ms = self.clock.now_ms()
        with mock.patch.object(self.log, "append", hang):
            for number in range(1, 20):
                await recorder.record(_events(number, number))
        took_ms = self.clock.now_ms() - begin_ms
        self.assertLess(took_ms, 3 * stream_texts.MAX_DELAY_MS)

    async def test_memory_is_bounded(self) -> None:
        size = stream_texts.MAX_CACHED_BYTES // 4
        host = self._new_host()
        for number in range(8):
            stream = stream_origins.StreamId(
                STREAM.organisation, model.RequestId(f"r{number}")
            )
            event = events.Event(b"", 1, b"x" * size)
            await self.texts.recorder(stream, None).record([event])
            await host.look_up(stream, 1, self.clock.now_ms())
            self.assertLessEqual(
                host._cached_bytes, stream_texts.MAX_CACHED_BYTES
            )
            self.assertEqual(
                host._cached_bytes,
                sum(
                    e.size_bytes for each in host._cached.values() for e in each
                ),
            )

    async def test_an_unreadable_record_is_skipped(self) -> None:
        recorder = self.texts.recorder(STREAM, None)
        await recorder.record(_events(1, 1))
        for records in self.log.records.values():
            records[:0] = [b"", b"\0\0\0\2[]", b"\0\0\0\1[", b"\xff" * 9]
        with self.assertLogs("mangotally.entry.stream_texts", "ERROR"):
            self.assertEqual(await self._look_up(1), b"old1\n")


def _events(first: int, last: int, text: bytes = b"old") -> list[events.Event]:
    return [
        events.Event(standin_worker.event(n), n, text + b"%d" % n)
        for n in range(first, last + 1)
    ]


if __name__ == "__main__":
    unittest.main()
