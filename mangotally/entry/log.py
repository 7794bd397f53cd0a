"""Interface of the replicated log, which holds state that outlives hosts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, NewType, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

Topic = NewType("Topic", str)
Offset = NewType("Offset", int)
MAX_READ_KB = 1024


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store gave no usable response; a write may still take effect.

    Attributes:
        reason: Description of the failure, for logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Appended:
    """The records are stored.

    Attributes:
        offset: Offset of the first record.
        end: End of the partition after the last record.
    """

    offset: Offset
    end: Offset


@dataclasses.dataclass(frozen=True)
class EndMoved:
    """Nothing was appended: the partition does not end at the given offset.

    Attributes:
        end: Actual end of the partition.
    """

    end: Offset


@dataclasses.dataclass(frozen=True)
class Batch:
    """Consecutive records of a partition.

    Attributes:
        first: Offset of the first record.
        records: Encoded records.
        end: End of the partition.
    """

    first: Offset
    records: tuple[bytes, ...]
    end: Offset

    @property
    def next(self) -> Offset:
        """Offset after the last record of this batch."""
        return Offset(self.first + len(self.records))


@dataclasses.dataclass(frozen=True)
class Trimmed:
    """The requested records have been deleted.

    Attributes:
        first: Oldest offset that is still stored.
    """

    first: Offset


class Log(Protocol):
    """Partitioned topics; a topic is created on first use."""

    async def append(
        self,
        topic: Topic,
        partition: int,
        records: Sequence[bytes],
        at: Offset | None = None,
    ) -> Appended | EndMoved | Unavailable:
        """Appends records atomically.

        Args:
            topic: Topic to append to.
            partition: Number of the partition.
            records: Encoded records.
            at: If given, append only if the partition ends at this offset.
        """

    async def read(
        self,
        topic: Topic,
        partition: int,
        first: Offset,
        wait_ms: int = 0,
        max_kb: int = MAX_READ_KB,
    ) -> Batch | Trimmed | Unavailable:
        """Reads records, starting at an offset.

        Args:
            topic: Topic to read from.
            partition: Number of the partition.
            first: Offset of the first record to read.
            wait_ms: How long to wait for a record if there is none.
            max_kb: Maximum size of the response, in KiB.
        """


class Cursor:
    """Reads a partition incrementally.

    Attributes:
        next: Offset of the next record to read.
    """

    def __init__(self, log: Log, topic: Topic, partition: int) -> None:
        """Starts at the beginning of a partition."""
        self.next = Offset(0)
        self._log = log
        self._topic = topic
        self._partition = partition

    async def read(self, handle: Callable[[bytes], None]) -> Unavailable | None:
        """Reads all new records up to the end, skipping deleted ones.

        Args:
            handle: Called once with each record.

        Returns:
            The failure if the end was not reached, otherwise None.
        """
        while True:
            batch = await self._log.read(
                self._topic, self._partition, self.next
            )
            match batch:
                case Unavailable():
                    return batch
                case Trimmed():
                    self.next = batch.first
                    continue
            for record in batch.records:
                handle(record)
            self.next = batch.next
            if batch.next >= batch.end:
                return None
