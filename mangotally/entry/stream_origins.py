"""Records in the log which target began each resumable stream.

A caller whose stream was interrupted resumes it at any host, also after all
hosts were killed. The record tells that host the software version that must
continue it.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import logging

from mangotally import ids
from mangotally.entry import log as log_lib
from mangotally.entry import model, partitioned_topic
from mangotally.policy import resumption
from mangotally.util import background
from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

TOPIC = log_lib.Topic("streams")
RETRY_MS = 40
# A record may be on its way to the log while the caller already resumes the
# stream at another host.
SETTLE_MS = 120
# A later record is useless: the deadline of its caller has passed.
WRITE_TIMEOUT_MS = 5000
# First pause before a failed write is repeated; doubled after each failure, as
# all hosts repeat theirs in an outage.
WRITE_RETRY_MS = 100
MAX_PENDING_WRITES = 1000
MAX_CACHED = 8192
# Streams of requests with longer ids are not recorded, which bounds the memory
# for records.
MAX_ID_CHARS = 256


@dataclasses.dataclass(frozen=True)
class StreamId:
    """Identifies a stream.

    Attributes:
        organisation: The organisation that requested it. Callers choose the
            ids of their requests, so two organisations may use the same one.
        request: The request whose answer brought its first event.
    """

    organisation: ids.OrganisationId
    request: model.RequestId


@dataclasses.dataclass(frozen=True)
class Found:
    """The origin of a stream.

    Attributes:
        origin: The origin.
        is_own: Whether this host forwarded the first event itself.
    """

    origin: resumption.Origin
    is_own: bool


@dataclasses.dataclass(frozen=True)
class NotRecorded:
    """The log holds no record of the stream."""


class StreamOrigins:
    """Origins of the resumable streams of all hosts."""

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
        self._cached: collections.OrderedDict[StreamId, Found]
        self._cached = collections.OrderedDict()
        self._writes = background.DetachedTasks()
        self._pending_writes = 0

    def record(self, stream: StreamId, origin: resumption.Origin) -> None:
        """Records the origin of a stream in the background.

        The first event need not wait for this: a stream without a record is
        not resumed.
        """
        is_short = len(stream.request) <= MAX_ID_CHARS
        if not is_short or self._pending_writes >= MAX_PENDING_WRITES:
            _log_not_recorded(stream)
            return
        self._cache(stream, Found(origin, is_own=True))
        self._pending_writes += 1
        self._writes.start(self._write(stream, origin))

    async def look_up(
        self, stream: StreamId, until_ms: float
    ) -> Found | NotRecorded | log_lib.Unavailable:
        """Returns the origin of a stream.

        Args:
            stream: The stream.
            until_ms: Deadline if the log does not respond.
        """
        settled_ms = self._clock.now_ms() + SETTLE_MS
        while True:
            failure = await self._read_until_cached(stream)
            found = self._cached.get(stream)
            if found is not None:
                return found
            now_ms = self._clock.now_ms()
            is_last = now_ms + RETRY_MS >= until_ms
            if failure is None and (is_last or now_ms >= settled_ms):
                return NotRecorded()
            if failure is not None and is_last:
                return failure
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _read_until_cached(
        self, stream: StreamId
    ) -> log_lib.Unavailable | None:
        """Reads the new records of a partition if the stream is unknown."""
        if stream in self._cached:
            return None
        return await self._topic.read_new(stream.request, self._add_record)

    async def _write(self, stream: StreamId, origin: resumption.Origin) -> None:
        writer = self._topic.writer_of(stream.request)
        record = _encode(stream, origin)
        until_ms = self._clock.now_ms() + WRITE_TIMEOUT_MS
        pause_ms = WRITE_RETRY_MS
        try:
            while await writer.write([record]) is None:
                if self._clock.now_ms() + pause_ms >= until_ms:
                    _log_not_recorded(stream)
                    return
                await asyncio.sleep(clock_lib.to_seconds(pause_ms))
                pause_ms *= 2
        finally:
            self._pending_writes -= 1

    def _add_record(self, record: bytes) -> None:
        try:
            stream, origin = _decode(record)
        except (ValueError, TypeError):
            logger.error("stream_record_unreadable")
            return
        if stream not in self._cached:
            self._cache(stream, Found(origin, is_own=False))

    def _cache(self, stream: StreamId, found: Found) -> None:
        self._cached[stream] = found
        while len(self._cached) > MAX_CACHED:
            self._cached.popitem(last=False)


def _log_not_recorded(stream: StreamId) -> None:
    logger.warning(
        "stream_not_recorded",
        extra={"request": stream.request[:MAX_ID_CHARS]},
    )


def _encode(stream: StreamId, origin: resumption.Origin) -> bytes:
    fields = [
        stream.organisation,
        stream.request,
        origin.service,
        origin.target,
        origin.version,
        origin.begun_ms,
    ]
    return json.dumps(fields).encode()


def _decode(record: bytes) -> tuple[StreamId, resumption.Origin]:
    fields = json.loads(record)
    organisation, request, service, target, version, begun_ms = fields
    origin = resumption.Origin(
        ids.ServiceId(service),
        ids.TargetId(target),
        ids.SoftwareVersion(version),
        begun_ms,
    )
    stream = StreamId(
        ids.OrganisationId(organisation), model.RequestId(request)
    )
    return stream, origin
