"""A topic of the log whose records belong to keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib
from mangotally.entry import partition_writer
from mangotally.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable


class PartitionedTopic:
    """Writes and reads the records of keys, each key in one partition."""

    def __init__(
        self, log: log_lib.Log, topic: log_lib.Topic, partition_count: int
    ) -> None:
        """Starts to read at the beginning of each partition.

        Args:
            log: Log that holds the topic.
            topic: The topic.
            partition_count: Number of its partitions.
        """
        self._partition_count = partition_count
        numbers = range(partition_count)
        self._writers = [
            partition_writer.PartitionWriter(log, topic, number)
            for number in numbers
        ]
        self._cursors = [
            log_lib.Cursor(log, topic, number) for number in numbers
        ]
        self._locks = [asyncio.Lock() for _ in numbers]

    def writer_of(self, key: str) -> partition_writer.PartitionWriter:
        """Returns the writer of the partition that a key belongs to."""
        return self._writers[self._partition_of(key)]

    async def read_new(
        self, key: str, handle: Callable[[bytes], None]
    ) -> log_lib.Unavailable | None:
        """Reads the new records of the partition that a key belongs to.

        Args:
            key: The key.
            handle: Called once with each record, those of other keys included.

        Returns:
            The failure if the end was not reached, otherwise None.
        """
        number = self._partition_of(key)
        async with self._locks[number]:
            return await self._cursors[number].read(handle)

    def _partition_of(self, key: str) -> int:
        return rendezvous.partition_of_key(key, self._partition_count)
