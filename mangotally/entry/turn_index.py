"""Where the turns are that the log keeps."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib
from mangotally.entry import turns
from mangotally.policy import rendezvous

if TYPE_CHECKING:
    from mangotally.entry import model

logger = logging.getLogger(__name__)

TOPIC = log_lib.Topic("turns.index")
MAX_BYTES = 16 * 1024 * 1024
# What an entry takes in memory beside its record.
ENTRY_BYTES = 250


class TurnIndex:
    """Entries of turns, read from the log as they are asked for.

    Entries that don't fit are looked for in the log again.
    """

    def __init__(self, log: log_lib.Log, partition_count: int) -> None:
        """Makes an index that has read nothing.

        Args:
            log: Where the index is.
            partition_count: Partitions of its topic.
        """
        self._log = log
        self._count = partition_count
        self._cursors = [
            log_lib.Cursor(log, TOPIC, number)
            for number in range(partition_count)
        ]
        self._locks = [asyncio.Lock() for _ in range(partition_count)]
        # As records, of which many take little memory.
        self._records: collections.OrderedDict[model.TurnId, bytes]
        self._records = collections.OrderedDict()
        self._bytes = 0
        self._has_dropped = [False] * partition_count

    def partition_of(self, name: model.TurnId) -> int:
        """Returns the partition that tells of a turn."""
        return rendezvous.partition_of_key(name, self._count)

    def cached(self, name: model.TurnId) -> turns.IndexEntry | None:
        """Returns the entry of a turn if it is in memory."""
        record = self._records.get(name)
        return turns.read_index_record(record)[1] if record else None

    def put(self, name: model.TurnId, entry: turns.IndexEntry) -> None:
        """Adds what is known of a turn, in place of what was."""
        self._put_record(name, turns.index_record(name, entry))

    async def look_up(
        self, name: model.TurnId
    ) -> turns.IndexEntry | log_lib.Unavailable | None:
        """Returns the entry of a turn, or None if the log has none."""
        known = self.cached(name)
        if known is not None:
            return known
        number = self.partition_of(name)
        async with self._locks[number]:
            failure = await self._read_to(name, number)
        return failure if failure is not None else self.cached(name)

    async def _read_to(
        self, name: model.TurnId, number: int
    ) -> log_lib.Unavailable | None:
        """Reads one partition, from its start if something was dropped."""
        if name in self._records:
            return None
        failure = await self._cursors[number].read(self._take)
        if failure is not None or name in self._records:
            return failure
        if not self._has_dropped[number]:
            return None

        def take_wanted(record: bytes) -> None:
            if _name_of(record) == name:
                self._put_record(name, record)

        logger.info("index_read_again", extra={"part": number})
        whole = log_lib.Cursor(self._log, TOPIC, number)
        return await whole.read(take_wanted)

    def _take(self, record: bytes) -> None:
        name = _name_of(record)
        if name is not None and name not in self._records:
            self._put_record(name, record)

    def _put_record(self, name: model.TurnId, record: bytes) -> None:
        self._bytes -= _size(self._records.pop(name, None))
        self._records[name] = record
        self._bytes += _size(record)
        while self._bytes > MAX_BYTES and len(self._records) > 1:
            oldest, dropped = self._records.popitem(last=False)
            self._bytes -= _size(dropped)
            self._has_dropped[self.partition_of(oldest)] = True


def _name_of(record: bytes) -> model.TurnId | None:
    try:
        return turns.read_index_record(record)[0]
    except ValueError:
        logger.error("index_record_unreadable")
        return None


def _size(record: bytes | None) -> int:
    return 0 if record is None else len(record) + ENTRY_BYTES
