"""The log service as the system sees it."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from mangotally import errors, ids


@dataclasses.dataclass(frozen=True)
class Entry:
    """A record as the log keeps it."""

    offset: ids.Offset
    data: bytes


@dataclasses.dataclass(frozen=True)
class Slice:
    """A part of a stream.

    Attributes:
        entries: Entries in order of offset.
        oldest_offset: Oldest offset that the log still keeps.
        next_offset: Offset that the next append will get.
    """

    entries: tuple[Entry, ...]
    oldest_offset: ids.Offset
    next_offset: ids.Offset


class Log(Protocol):
    """An append-only log with streams and offsets."""

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends one record.

        Args:
            stream: Name of the stream; made on first use.
            data: The record.

        Returns:
            The record's offset. On failure the record may be in the log
            all the same.
        """

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[Slice]:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            offset: First offset wanted; the oldest kept if it has aged out.
            wait_ms: How long to wait for a first record.

        Returns:
            Some records of bounded size, perhaps none. More may follow.
        """
