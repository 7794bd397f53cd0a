"""Encoding of turns in the log: content records and index records."""

from __future__ import annotations

import dataclasses
import json
import struct
from typing import Any

from mangotally import ids
from mangotally.entry import log as log_lib
from mangotally.entry import model

# Maximum size of the piece of a turn in one record.
CHUNK_BYTES = 200_000
# Maximum number of ancestors whose locations are in an index record.
MAX_ANCESTORS = 64
BYTES_PER_KB = 1024
# Counted per record for the framing of a response: the length of the record,
# and the offsets of both ends of the partition.
FRAME_BYTES = 64
_HEADER = struct.Struct(">I")


@dataclasses.dataclass(frozen=True)
class Turn:
    """A turn that was answered completely.

    Attributes:
        id: ID of the turn.
        organisation: Organisation that the turn belongs to.
        parent: Turn that this one continues from, or None.
        content: Input of the turn, followed by the data of its events, each
            terminated by a line feed. Later turns have it in their input.
    """

    id: model.TurnId
    organisation: ids.OrganisationId
    parent: model.TurnId | None
    content: bytes


@dataclasses.dataclass(frozen=True)
class Location:
    """Location of the content of a turn in the log.

    Attributes:
        partition: Partition of the content.
        offset: Offset of the first record.
        size_kb: Size of a read that returns the complete content, in KiB.
    """

    partition: int
    offset: log_lib.Offset
    size_kb: int

    @property
    def key(self) -> tuple[int, int]:
        """Identifies the content."""
        return self.partition, self.offset


@dataclasses.dataclass(frozen=True)
class IndexEntry:
    """Index entry of a turn.

    Attributes:
        organisation: Organisation that the turn belongs to.
        parent: Parent turn, or None.
        location: Location of the content, or one before it.
        ancestors: Locations of the nearest ancestors, newest last; empty if
            unknown.
        is_exact: Whether the content begins exactly at `location`.
    """

    organisation: ids.OrganisationId
    parent: model.TurnId | None
    location: Location
    ancestors: tuple[Location, ...] = ()
    is_exact: bool = False

    @property
    def chain(self) -> tuple[Location, ...]:
        """Locations of the nearest ancestors and this turn, empty if unknown.

        These are the ancestors of a child of this turn.
        """
        if not self.is_exact:
            return ()
        return (*self.ancestors, self.location)[-MAX_ANCESTORS:]


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One record of the content of a turn.

    Attributes:
        turn: ID of the turn.
        number: Index of this record within the turn, starting at 0.
        count: Number of records of the turn.
        parent: Parent turn, or None.
        data: Piece of the content.
    """

    turn: model.TurnId
    number: int
    count: int
    parent: model.TurnId | None
    data: bytes


def content_records(turn: Turn) -> list[bytes]:
    """Encodes the content of a turn."""
    content = turn.content
    pieces = [
        content[start : start + CHUNK_BYTES]
        for start in range(0, len(content), CHUNK_BYTES)
    ] or [b""]
    records = []
    for number, piece in enumerate(pieces):
        fields = [turn.id, number, len(pieces), turn.parent]
        head = json.dumps(fields).encode()
        records.append(_HEADER.pack(len(head)) + head + piece)
    return records


def parse_chunk(record: bytes) -> Chunk:
    """Decodes a content record."""
    (length,) = _HEADER.unpack_from(record)
    body_start = _HEADER.size + length
    turn, number, count, parent = json.loads(record[_HEADER.size : body_start])
    return Chunk(turn, number, count, parent, record[body_start:])


def size_kb(records: list[bytes]) -> int:
    """Returns the size of a read that returns all records, in KiB."""
    size = sum(len(each) + FRAME_BYTES for each in records)
    return size // BYTES_PER_KB + 1


def index_record(name: model.TurnId, entry: IndexEntry) -> bytes:
    """Encodes the index entry of a turn."""
    fields = [
        name,
        entry.organisation,
        entry.parent,
        _location_fields(entry.location),
        [_location_fields(each) for each in entry.ancestors],
        int(entry.is_exact),
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def read_index_record(record: bytes) -> tuple[model.TurnId, IndexEntry]:
    """Decodes an index record into the turn ID and its entry.

    Raises:
        ValueError: The record is malformed.
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


def _location_fields(location: Location) -> list[int]:
    return [location.partition, location.offset, location.size_kb]


def _location(fields: Any) -> Location:
    partition, offset, size = fields
    return Location(partition, log_lib.Offset(offset), size)
