"""Tests of mangotally.entry.stream_origins."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

from mangotally import ids
from mangotally.entry import log as log_lib
from mangotally.entry import model, stream_origins
from mangotally.policy import resumption
from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.test_entry import fake_log

PARTITIONS = 3
ORIGIN = resumption.Origin(
    ids.ServiceId("s"), ids.TargetId("t"), ids.SoftwareVersion("v2"), 7
)
ORGANISATION = ids.OrganisationId("o")
FAILURES = 2
# Pauses of 100 and 200 ms; at a fixed pause of 40 ms there would be 7 calls.
OUTAGE_MS = 290.0


def _stream(
    request: str, organisation: ids.OrganisationId = ORGANISATION
) -> stream_origins.StreamId:
    return stream_origins.StreamId(organisation, model.RequestId(request))


class StreamOriginsTest(unittest.IsolatedAsyncioTestCase):
    """Records are written once the log is available, and read back."""

    def setUp(self) -> None:
        self.log = fake_log.FakeLog()
        self.clock = clock_lib.SystemClock()
        self.origins = self._new_host()

    def _new_host(self) -> stream_origins.StreamOrigins:
        return stream_origins.StreamOrigins(self.log, PARTITIONS, self.clock)

    async def _look_up(
        self, host: stream_origins.StreamOrigins, request: str
    ) -> object:
        until_ms = self.clock.now_ms() + stream_origins.RETRY_MS
        return await host.look_up(_stream(request), until_ms)

    async def test_other_hosts_find_the_origin(self) -> None:
        self.origins.record(_stream("r"), ORIGIN)
        await self.origins._writes.wait_idle()
        for host, is_own in ((self.origins, True), (self._new_host(), False)):
            self.assertEqual(
                await self._look_up(host, "r"),
                stream_origins.Found(ORIGIN, is_own),
            )
            self.assertEqual(
                await self._look_up(host, "other"),
                stream_origins.NotRecorded(),
            )

    async def test_waits_for_a_record_that_is_on_its_way(self) -> None:
        host = self._new_host()
        until_ms = self.clock.now_ms() + 1000.0
        task = asyncio.create_task(host.look_up(_stream("r"), until_ms))
        await asyncio.sleep(clock_lib.to_seconds(stream_origins.RETRY_MS))
        self.origins.record(_stream("r"), ORIGIN)
        found = await task
        self.assertEqual(found, stream_origins.Found(ORIGIN, is_own=False))

    async def test_an_outage_is_not_answered_with_many_calls(self) -> None:
        self.log.refuse = FAILURES
        self.origins.record(_stream("r"), ORIGIN)
        begin_ms = self.clock.now_ms()
        await self.origins._writes.wait_idle()
        self.assertGreater(self.clock.now_ms() - begin_ms, OUTAGE_MS)
        found = await self._look_up(self._new_host(), "r")
        self.assertEqual(found, stream_origins.Found(ORIGIN, is_own=False))

    async def test_an_unavailable_log_is_not_taken_for_a_missing_record(
        self,
    ) -> None:
        self.log.refuse = 100
        found = await self._look_up(self._new_host(), "r")
        self.assertIsInstance(found, log_lib.Unavailable)

    async def test_unreadable_records_are_skipped(self) -> None:
        self.origins.record(_stream("r"), ORIGIN)
        await self.origins._writes.wait_idle()
        for records in self.log.records.values():
            records[:0] = [b"\xff", b"[]", b"3", b'["r", 1]']
        found = await self._look_up(self._new_host(), "r")
        self.assertEqual(found, stream_origins.Found(ORIGIN, is_own=False))

    async def test_organisations_may_use_the_same_id(self) -> None:
        other = ids.OrganisationId("other")
        self.origins.record(_stream("r"), ORIGIN)
        changed = dataclasses.replace(ORIGIN, version=ids.SoftwareVersion("v3"))
        self.origins.record(_stream("r", other), changed)
        await self.origins._writes.wait_idle()
        for host in (self.origins, self._new_host()):
            for organisation, origin in (
                (ORGANISATION, ORIGIN),
                (other, changed),
            ):
                found = await host.look_up(_stream("r", organisation), 0.0)
                assert isinstance(found, stream_origins.Found)
                self.assertEqual(found.origin, origin)

    async def test_long_ids_are_not_recorded(self) -> None:
        name = "r" * (stream_origins.MAX_ID_CHARS + 1)
        self.origins.record(_stream(name), ORIGIN)
        self.assertEqual(
            await self._look_up(self.origins, name),
            stream_origins.NotRecorded(),
        )
        self.assertEqual(self.log.appends, 0)

    async def test_memory_is_bounded(self) -> None:
        count = stream_origins.MAX_CACHED + 10
        for number in range(count):
            self.origins._cache(
                _stream(f"r{number}"),
                stream_origins.Found(ORIGIN, is_own=True),
            )
        self.assertEqual(len(self.origins._cached), stream_origins.MAX_CACHED)

    async def test_pending_writes_are_bounded(self) -> None:
        self.log.refuse = 10**6
        for number in range(stream_origins.MAX_PENDING_WRITES + 10):
            self.origins.record(_stream(f"r{number}"), ORIGIN)
        await entry_fleet.wait_for(lambda: self.log.appends)
        self.assertLessEqual(
            self.origins._pending_writes, stream_origins.MAX_PENDING_WRITES
        )
        for task in self.origins._writes._tasks:
            task.cancel()
