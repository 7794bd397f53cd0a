"""Interface of the append-only log service."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from mangotally import errors, ids


@dataclasses.dataclass(frozen=True)
class Entry:
    """A record and its offset in a stream."""

    offset: ids.Offset
    data: bytes


@dataclasses.dataclass(frozen=True)
class Slice:
    """A range of a stream's entries.

    Attributes:
        entries: Entries in order of offset.
        oldest_offset: Oldest offset that the log still retains.
        next_offset: Offset that the next append is assigned.
    """

    entries: tuple[Entry, ...]
    oldest_offset: ids.Offset
    next_offset: ids.Offset


class Log(Protocol):
    """An append-only log whose streams are addressed by offset."""

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends one record.

        Args:
            stream: Name of the stream; created on first use.
            data: The record.

        Returns:
            The record's offset. After a failure the record may still have
            been written.
        """

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[Slice]:
        """Reads records, starting at an offset.

        Args:
            stream: Name of the stream.
            offset: First offset to read. If retention has removed it, the
                read starts at the oldest retained offset.
            wait_ms: Long-poll time: how long to wait for a first record.

        Returns:
            Records up to a size limit, possibly none. More may follow.
        """
