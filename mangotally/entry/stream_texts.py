"""Records in the log what resumable turns have generated so far.

A turn that is resumed after an interruption brings only the rest of its text.
Later turns continue from all of it, so the part that an earlier answer brought
must outlive the host that forwarded it.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import logging
import struct
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import log as log_lib
from mangotally.entry import model, partitioned_topic
from mangotally.entry import stream_origins as origins_lib
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import events, partition_writer

logger = logging.getLogger(__name__)

TOPIC = log_lib.Topic("stream-texts")
RETRY_MS = 40
# Events wait for their record this long. After that, the stream goes on
# without records, and can't be resumed.
MAX_DELAY_MS = 60
MAX_CACHED_BYTES = 4 * 1024 * 1024
# Counted per event besides its data.
EVENT_BYTES = 300
_HEADER = struct.Struct(">I")


@dataclasses.dataclass(frozen=True)
class _RecordedEvent:
    """One event of a stream.

    Attributes:
        number: Its id.
        after: Id of the event before it; None if it is the first one.
        data: Its data.
    """

    number: int
    after: int | None
    data: bytes

    @property
    def size_bytes(self) -> int:
        """Memory that it takes, estimated."""
        return len(self.data) + EVENT_BYTES


class Recorder:
    """Records the events of one answer, before they are forwarded."""

    def __init__(
        self,
        writer: partition_writer.PartitionWriter,
        stream: origins_lib.StreamId,
        after: int | None,
    ) -> None:
        """Initialises the recorder.

        Args:
            writer: Appends to the partition of the stream.
            stream: The stream.
            after: Id of the last event that its caller has from an earlier
                answer, or None.
        """
        self._writer = writer
        self._stream = stream
        self._after = after
        self._is_given_up = False

    async def record(self, new: list[events.Event]) -> None:
        """Records events; gives up for good if the log does not respond."""
        if self._is_given_up:
            return
        records = self._encode(new)
        if records is None:
            self._give_up("event-without-id")
            return
        try:
            async with asyncio.timeout(clock_lib.to_seconds(MAX_DELAY_MS)):
                offset = await self._writer.write(records)
        except TimeoutError:
            offset = None
        if offset is None:
            self._give_up("log-unavailable")

    def _encode(self, new: list[events.Event]) -> list[bytes] | None:
        records = []
        for event in new:
            if event.number is None:
                return None
            records.append(
                _encode(
                    self._stream,
                    _RecordedEvent(event.number, self._after, event.data),
                )
            )
            self._after = event.number
        return records

    def _give_up(self, reason: str) -> None:
        self._is_given_up = True
        logger.warning(
            "stream_text_not_recorded",
            extra={"request": self._stream.request, "reason": reason},
        )


class StreamTexts:
    """Texts of the resumable turns of all hosts."""

    def __init__(
        self, log: log_lib.Log, partition_count: int, clock: clock_lib.Clock
    ) -> None:
        """Starts with an empty cache.

        Args:
            log: Log that holds the records.
            partition_count: Number of partitions of the topic.
            clock: Clock for deadlines.
        """
        self._clock = clock
        self._topic = partitioned_topic.PartitionedTopic(
            log, TOPIC, partition_count
        )
        self._cached: collections.OrderedDict[
            origins_lib.StreamId, list[_RecordedEvent]
        ] = collections.OrderedDict()
        self._cached_bytes = 0

    def recorder(
        self, stream: origins_lib.StreamId, after: int | None
    ) -> Recorder:
        """Returns the recorder of an answer; see `Recorder`."""
        return Recorder(self._topic.writer_of(stream.request), stream, after)

    async def look_up(
        self, stream: origins_lib.StreamId, last: int, until_ms: float
    ) -> bytes | origins_lib.NotRecorded | log_lib.Unavailable:
        """Returns the text of a stream, each event ended by a line feed.

        Args:
            stream: The stream.
            last: Id of the last event that is wanted.
            until_ms: Deadline if the log does not respond.
        """
        while True:
            # Events are recorded before they are forwarded, so one read that
            # begins now finds all that the caller has.
            failure = await self._topic.read_new(
                stream.request, self._add_record
            )
            if failure is None:
                return self._text(stream, last)
            if self._clock.now_ms() + RETRY_MS >= until_ms:
                return failure
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    def _text(
        self, stream: origins_lib.StreamId, last: int
    ) -> bytes | origins_lib.NotRecorded:
        recorded = self._cached.get(stream, [])
        if last not in {each.number for each in recorded}:
            return origins_lib.NotRecorded()
        return b"".join(
            each.data + b"\n" for each in recorded if each.number <= last
        )

    def _add_record(self, record: bytes) -> None:
        try:
            stream, event = _decode(record)
        except (ValueError, TypeError, struct.error):
            logger.error("stream_text_unreadable")
            return
        recorded = self._cached.setdefault(stream, [])
        # A resumed answer begins again after the last event that its caller
        # has, which may not be the last one that was recorded.
        while recorded and recorded[-1].number > (event.after or 0):
            self._cached_bytes -= recorded.pop().size_bytes
        last = recorded[-1].number if recorded else None
        # Otherwise an event between the two is not known.
        if last == event.after:
            recorded.append(event)
            self._cached_bytes += event.size_bytes
        if not recorded:
            del self._cached[stream]
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, evicted = self._cached.popitem(last=False)
            self._cached_bytes -= sum(each.size_bytes for each in evicted)


def _encode(stream: origins_lib.StreamId, event: _RecordedEvent) -> bytes:
    fields = [stream.organisation, stream.request, event.number, event.after]
    head = json.dumps(fields).encode()
    return _HEADER.pack(len(head)) + head + event.data


def _decode(record: bytes) -> tuple[origins_lib.StreamId, _RecordedEvent]:
    (length,) = _HEADER.unpack_from(record)
    begin = _HEADER.size + length
    fields = json.loads(record[_HEADER.size : begin])
    organisation, request, number, after = fields
    stream = origins_lib.StreamId(
        ids.OrganisationId(organisation), model.RequestId(request)
    )
    return stream, _RecordedEvent(number, after, record[begin:])
