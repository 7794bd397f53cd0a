"""Index of the locations of turns in the log."""

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
# Memory overhead of an entry in addition to its record.
ENTRY_BYTES = 250


class TurnIndex:
    """Index entries of turns, read from the log on demand and cached.

    Entries evicted from the cache are read from the log again.
    """

    def __init__(self, log: log_lib.Log, partition_count: int) -> None:
        """Starts with an empty cache.

        Args:
            log: Log that holds the index.
            partition_count: Number of partitions of the topic.
        """
        self._log = log
        self._partition_count = partition_count
        self._cursors = [
            log_lib.Cursor(log, TOPIC, number)
            for number in range(partition_count)
        ]
        self._locks = [asyncio.Lock() for _ in range(partition_count)]
        # Kept in encoded form, which needs little memory.
        self._records: collections.OrderedDict[model.TurnId, bytes]
        self._records = collections.OrderedDict()
        self._bytes = 0
        self._has_evicted = [False] * partition_count

    def partition_of(self, turn: model.TurnId) -> int:
        """Returns the partition that holds the index entry of a turn."""
        return rendezvous.partition_of_key(turn, self._partition_count)

    def cached(self, turn: model.TurnId) -> turns.IndexEntry | None:
        """Returns the entry of a turn if it is cached."""
        record = self._records.get(turn)
        return turns.read_index_record(record)[1] if record else None

    def put(self, turn: model.TurnId, entry: turns.IndexEntry) -> None:
        """Adds the entry of a turn to the cache, or replaces it."""
        self._put_record(turn, turns.index_record(turn, entry))

    async def look_up(
        self, turn: model.TurnId
    ) -> turns.IndexEntry | log_lib.Unavailable | None:
        """Returns the entry of a turn, or None if the log has none."""
        cached = self.cached(turn)
        if cached is not None:
            return cached
        number = self.partition_of(turn)
        async with self._locks[number]:
            failure = await self._load(turn, number)
        return failure if failure is not None else self.cached(turn)

    async def _load(
        self, turn: model.TurnId, number: int
    ) -> log_lib.Unavailable | None:
        """Reads new records of a partition until the turn is cached.

        If the turn is not among them and entries have been evicted, reads the
        whole partition again.
        """
        if turn in self._records:
            return None
        failure = await self._cursors[number].read(self._add_record)
        if failure is not None or turn in self._records:
            return failure
        if not self._has_evicted[number]:
            return None

        def add_if_wanted(record: bytes) -> None:
            if _turn_of(record) == turn:
                self._put_record(turn, record)

        logger.info("index_read_again", extra={"part": number})
        cursor = log_lib.Cursor(self._log, TOPIC, number)
        return await cursor.read(add_if_wanted)

    def _add_record(self, record: bytes) -> None:
        turn = _turn_of(record)
        if turn is not None and turn not in self._records:
            self._put_record(turn, record)

    def _put_record(self, turn: model.TurnId, record: bytes) -> None:
        self._bytes -= _size(self._records.pop(turn, None))
        self._records[turn] = record
        self._bytes += _size(record)
        while self._bytes > MAX_BYTES and len(self._records) > 1:
            oldest, evicted = self._records.popitem(last=False)
            self._bytes -= _size(evicted)
            self._has_evicted[self.partition_of(oldest)] = True


def _turn_of(record: bytes) -> model.TurnId | None:
    try:
        return turns.read_index_record(record)[0]
    except ValueError:
        logger.error("index_record_unreadable")
        return None


def _size(record: bytes | None) -> int:
    return 0 if record is None else len(record) + ENTRY_BYTES
