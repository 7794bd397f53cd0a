"""The log that holds what must outlive every host."""

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
    """The store gave no useful answer; a write may still happen.

    Attributes:
        reason: What was seen, for logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Appended:
    """Records are in the store.

    Attributes:
        offset: Offset of the first one.
        end: End of the partition after the last one.
    """

    offset: Offset
    end: Offset


@dataclasses.dataclass(frozen=True)
class EndMoved:
    """Nothing was appended: the partition ends elsewhere.

    Attributes:
        end: Its end.
    """

    end: Offset


@dataclasses.dataclass(frozen=True)
class Batch:
    """Records of a partition, without gaps.

    Attributes:
        first: Offset of the first record.
        records: The records.
        end: End of the partition.
    """

    first: Offset
    records: tuple[bytes, ...]
    end: Offset

    @property
    def next(self) -> Offset:
        """Offset after the last record here."""
        return Offset(self.first + len(self.records))


@dataclasses.dataclass(frozen=True)
class Trimmed:
    """The records asked for have been deleted.

    Attributes:
        first: Oldest offset that is kept.
    """

    first: Offset


class Log(Protocol):
    """Partitions of topics; a topic begins to exist with its first use."""

    async def append(
        self,
        topic: Topic,
        partition: int,
        records: Sequence[bytes],
        at: Offset | None = None,
    ) -> Appended | EndMoved | Unavailable:
        """Appends records, all or none.

        Args:
            topic: The topic.
            part: Number of the partition.
            records: The records.
            at: Append only if the partition ends here.
        """

    async def read(
        self,
        topic: Topic,
        partition: int,
        first: Offset,
        wait_ms: int = 0,
        max_kb: int = MAX_READ_KB,
    ) -> Batch | Trimmed | Unavailable:
        """Reads records from an offset on.

        Args:
            topic: The topic.
            part: Number of the partition.
            first: Offset of the first record wanted.
            wait_ms: How long to wait for a record if there is none.
            max_kb: Most data wanted, in KiB.
        """


class Cursor:
    """Reads a partition to its end, again and again.

    Attributes:
        next: Offset of the first record that was not read.
    """

    def __init__(self, log: Log, topic: Topic, part: int) -> None:
        """Makes a cursor at the start of a partition."""
        self.next = Offset(0)
        self._log = log
        self._topic = topic
        self._part = part

    async def read(self, take: Callable[[bytes], None]) -> Unavailable | None:
        """Passes on all records up to the end; those deleted are left out.

        Args:
            take: Called with each record, once.

        Returns:
            Why the end was not reached, or None.
        """
        while True:
            batch = await self._log.read(self._topic, self._part, self.next)
            match batch:
                case Unavailable():
                    return batch
                case Trimmed():
                    self.next = batch.first
                    continue
            for record in batch.records:
                take(record)
            self.next = batch.next
            if batch.next >= batch.end:
                return None
