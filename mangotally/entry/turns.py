"""Turns as they are kept in the log: their records and where these are."""

from __future__ import annotations

import dataclasses
import json
import struct
from typing import Any

from mangotally import ids
from mangotally.entry import log as log_lib
from mangotally.entry import model

# Largest part of a turn in one record.
CHUNK_BYTES = 200_000
# Turns before a turn whose places its index record tells.
MAX_ANCESTORS = 64
BYTES_PER_KB = 1024
# Length of a record, and of the ends of a partition, in an answer.
FRAME_BYTES = 64
_HEADER = struct.Struct(">I")


@dataclasses.dataclass(frozen=True)
class Turn:
    """A turn that was answered whole.

    Attributes:
        id: Its id.
        organisation: Whose it is.
        parent: The turn that it continues from, or None.
        content: Its input, then the data of its events, each followed by a
            line feed: what it adds to the input of later turns.
    """

    id: model.TurnId
    organisation: ids.OrganisationId
    parent: model.TurnId | None
    content: bytes


@dataclasses.dataclass(frozen=True)
class Location:
    """Where a turn's content is.

    Attributes:
        part: Partition of the content.
        offset: Its first record.
        size_kb: A read of this size returns it whole, in KiB.
    """

    partition: int
    offset: log_lib.Offset
    size_kb: int

    @property
    def key(self) -> tuple[int, int]:
        """Names the content."""
        return self.partition, self.offset


@dataclasses.dataclass(frozen=True)
class IndexEntry:
    """What the index tells of a turn.

    Attributes:
        organisation: Whose it is.
        parent: The turn before, or None.
        location: Where its content is, or a place before that.
        before: Where the nearest turns before it are, the newest last;
            empty if that is not known.
        is_exact: Whether the content begins at `location`.
    """

    organisation: ids.OrganisationId
    parent: model.TurnId | None
    location: Location
    ancestors: tuple[Location, ...] = ()
    is_exact: bool = False

    @property
    def chain(self) -> tuple[Location, ...]:
        """Where this turn and the nearest before it are, if that is known."""
        if not self.is_exact:
            return ()
        return (*self.ancestors, self.location)[-MAX_ANCESTORS:]


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One record of a turn's content.

    Attributes:
        turn: The turn.
        number: Number of this part, from 0.
        count: Number of all parts.
        parent: The turn before, or None.
        data: Its bytes.
    """

    turn: model.TurnId
    number: int
    count: int
    parent: model.TurnId | None
    data: bytes


def content_records(turn: Turn) -> list[bytes]:
    """Returns the records of a turn's content."""
    content = turn.content
    pieces = [
        content[at : at + CHUNK_BYTES]
        for at in range(0, len(content), CHUNK_BYTES)
    ] or [b""]
    records = []
    for number, piece in enumerate(pieces):
        fields = [turn.id, number, len(pieces), turn.parent]
        head = json.dumps(fields).encode()
        records.append(_HEADER.pack(len(head)) + head + piece)
    return records


def parse_chunk(record: bytes) -> Chunk:
    """Returns what a record of a turn's content holds."""
    (length,) = _HEADER.unpack_from(record)
    body_at = _HEADER.size + length
    turn, number, count, parent = json.loads(record[_HEADER.size : body_at])
    return Chunk(turn, number, count, parent, record[body_at:])


def size_kb(records: list[bytes]) -> int:
    """Returns how much to read for a turn's records, in KiB."""
    size = sum(len(each) + FRAME_BYTES for each in records)
    return size // BYTES_PER_KB + 1


def index_record(name: model.TurnId, entry: IndexEntry) -> bytes:
    """Returns the index record of a turn."""
    fields = [
        name,
        entry.organisation,
        entry.parent,
        _place(entry.location),
        [_place(each) for each in entry.ancestors],
        int(entry.is_exact),
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def read_index_record(record: bytes) -> tuple[model.TurnId, IndexEntry]:
    """Returns the turn of an index record, and what it tells.

    Raises:
        ValueError: The record can't be read.
    """
    name, organisation, parent, location, before, exact = json.loads(record)
    entry = IndexEntry(
        organisation,
        parent,
        _location(location),
        tuple(_location(each) for each in before),
        bool(exact),
    )
    return name, entry


def _place(location: Location) -> list[int]:
    return [location.partition, location.offset, location.size_kb]


def _location(place: Any) -> Location:
    part, offset, size = place
    return Location(part, log_lib.Offset(offset), size)
