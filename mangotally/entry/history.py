"""Turns that later turns continue from, kept in the log."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib
from mangotally.entry import partition_writer, turn_index, turns
from mangotally.policy import rendezvous
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mangotally import ids
    from mangotally.entry import model

logger = logging.getLogger(__name__)

CONTENT_TOPIC = log_lib.Topic("turns")
CACHE_BYTES = 24 * 1024 * 1024
MAX_CHAIN_TURNS = 1000
# A read that looks for a turn's content from a place before it.
SEARCH_READ_KB = 64
# Reads of turns before a turn at the same time; all hosts share the limit of
# the store's calls.
MAX_READS_AHEAD = 32
RETRY_MS = 40


@dataclasses.dataclass(frozen=True)
class Chain:
    """The content of a turn and of all before it.

    Attributes:
        content: Oldest first.
        turns: How many.
    """

    content: bytes
    turns: int


@dataclasses.dataclass(frozen=True)
class NoSuchTurn:
    """The turn is not kept, or is another organisation's."""


@dataclasses.dataclass(frozen=True)
class HistoryUnavailable:
    """The log did not answer; the turn may be there.

    Attributes:
        reason: What was seen.
    """

    reason: str


class History:
    """Keeps turns and finds the chain of a turn."""

    def __init__(
        self,
        log: log_lib.Log,
        host: ids.HostId,
        partition_count: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a history with nothing in memory.

        Args:
            log: Where turns are kept.
            host: This host; decides the partition of its turns.
            partition_count: Partitions of a topic.
            clock: Time.
        """
        self._log = log
        self._clock = clock
        part = rendezvous.partition_of_key(host, partition_count)
        self._content = partition_writer.PartitionWriter(
            log, CONTENT_TOPIC, part
        )
        self._index_writers = [
            partition_writer.PartitionWriter(log, turn_index.TOPIC, number)
            for number in range(partition_count)
        ]
        self._index = turn_index.TurnIndex(log, partition_count)
        self._cache = _Cache()
        self._reading_ahead = asyncio.Semaphore(MAX_READS_AHEAD)

    async def save(self, turn: turns.Turn, until_ms: float) -> bool:
        """Records a turn; returns whether the log has it.

        Args:
            turn: The turn.
            until_ms: When to give up.
        """
        records = turns.content_records(turn)
        size_kb = turns.size_kb(records)
        writer = self._content
        entry = turns.IndexEntry(
            turn.organisation,
            turn.parent,
            turns.Location(writer.partition, writer.known_end, size_kb),
            self._chain_of(turn.parent),
        )
        number = self._index.partition_of(turn.id)
        index_record = turns.index_record(turn.id, entry)
        offset, indexed = await asyncio.gather(
            self._write(writer, records, until_ms),
            self._write(self._index_writers[number], [index_record], until_ms),
        )
        if offset is None or indexed is None:
            return False
        self._locate(turn, entry, offset)
        return True

    async def chain(
        self,
        turn: model.TurnId,
        organisation: ids.OrganisationId,
        until_ms: float,
    ) -> Chain | NoSuchTurn | HistoryUnavailable:
        """Returns what a turn and those before it add to the next input.

        Args:
            turn: The turn to continue from.
            organisation: Who asks.
            until_ms: When to give up if the log does not answer.
        """
        parts: list[bytes] = []
        name: model.TurnId | None = turn
        while name is not None and len(parts) < MAX_CHAIN_TURNS:
            found = await self._find(name, until_ms)
            if not isinstance(found, turns.Turn):
                return found
            if found.organisation != organisation:
                return NoSuchTurn()
            parts.append(found.content)
            name = found.parent
        parts.reverse()
        return Chain(b"".join(parts), len(parts))

    async def _find(
        self, name: model.TurnId, until_ms: float
    ) -> turns.Turn | NoSuchTurn | HistoryUnavailable:
        cached = self._cache.find(name)
        if cached is not None:
            return cached
        while True:
            found = await self._read(name)
            if not isinstance(found, HistoryUnavailable):
                return found
            if self._clock.now_ms() + RETRY_MS >= until_ms:
                return found
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _read(
        self, name: model.TurnId
    ) -> turns.Turn | NoSuchTurn | HistoryUnavailable:
        entry = await self._index.look_up(name)
        if isinstance(entry, log_lib.Unavailable):
            return HistoryUnavailable(f"index: {entry.reason}")
        if entry is None:
            return NoSuchTurn()
        turn, _ = await asyncio.gather(
            self._read_content(name, entry), self._read_before(entry)
        )
        return turn

    async def _read_content(
        self, name: model.TurnId, entry: turns.IndexEntry
    ) -> turns.Turn | NoSuchTurn | HistoryUnavailable:
        """Reads from where a turn may begin until it is found."""
        size_kb = entry.location.size_kb if entry.is_exact else SEARCH_READ_KB
        reader = _Reader(self._log, entry.location, size_kb)
        found = await reader.search(lambda part: part.turn == name)
        if isinstance(found, HistoryUnavailable):
            return found
        if not found:
            logger.error(
                "turn_without_content",
                extra={"turn": name, "part": entry.location.partition},
            )
            return NoSuchTurn()
        turn = turns.Turn(name, entry.organisation, entry.parent, _join(found))
        self._locate(turn, entry, reader.offset)
        return turn

    async def _read_before(self, entry: turns.IndexEntry) -> None:
        """Reads the turns before a turn at once, those not in memory.

        What can't be read is looked for again, turn by turn.
        """
        await asyncio.gather(
            *(
                self._read_at(number, entry)
                for number, location in enumerate(entry.ancestors)
                if not self._cache.holds(location)
            )
        )

    async def _read_at(self, number: int, entry: turns.IndexEntry) -> None:
        location = entry.ancestors[number]
        reader = _Reader(self._log, location, location.size_kb)
        async with self._reading_ahead:
            found = await reader.search(lambda _: True)
        is_there = reader.offset == location.offset
        if isinstance(found, HistoryUnavailable) or not found or not is_there:
            reason = (
                found.reason
                if isinstance(found, HistoryUnavailable)
                else "deleted"
            )
            logger.info(
                "turn_not_read_ahead",
                extra={"part": location.partition, "reason": reason},
            )
            return
        first = found[0]
        turn = turns.Turn(
            first.turn, entry.organisation, first.parent, _join(found)
        )
        known = turns.IndexEntry(
            entry.organisation, first.parent, location, entry.ancestors[:number]
        )
        self._locate(turn, known, reader.offset)

    async def _write(
        self,
        writer: partition_writer.PartitionWriter,
        records: Sequence[bytes],
        until_ms: float,
    ) -> log_lib.Offset | None:
        while True:
            offset = await writer.write(records)
            if offset is not None:
                return offset
            if self._clock.now_ms() + RETRY_MS >= until_ms:
                return None
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    def _chain_of(
        self, name: model.TurnId | None
    ) -> tuple[turns.Location, ...]:
        entry = self._index.cached(name) if name is not None else None
        return entry.chain if entry is not None else ()

    def _locate(
        self, turn: turns.Turn, entry: turns.IndexEntry, offset: log_lib.Offset
    ) -> None:
        """Remembers a turn, and where it is."""
        location = dataclasses.replace(entry.location, offset=offset)
        exact = dataclasses.replace(entry, location=location, is_exact=True)
        self._index.put(turn.id, exact)
        self._cache.put(turn, location)


class _Reader:
    """Looks for a turn's parts from an offset on.

    Attributes:
        offset: Where the first part was.
    """

    def __init__(
        self, log: log_lib.Log, location: turns.Location, size_kb: int
    ) -> None:
        self.offset = location.offset
        self._log = log
        self._part = location.partition
        self._next = location.offset
        self._size_kb = size_kb

    async def search(
        self, is_wanted: Callable[[turns.Chunk], bool]
    ) -> list[turns.Chunk] | HistoryUnavailable:
        """Returns the parts of the first turn that is wanted, if any."""
        found: list[turns.Chunk] = []
        while True:
            batch = await self._log.read(
                CONTENT_TOPIC, self._part, self._next, max_kb=self._size_kb
            )
            match batch:
                case log_lib.Unavailable():
                    return HistoryUnavailable(f"content: {batch.reason}")
                case log_lib.Trimmed():
                    self._next = batch.first
                    continue
            if self._take(batch, is_wanted, found):
                return found
            if batch.next >= batch.end:
                return []
            if not batch.records:
                self._size_kb *= 2
            self._next = batch.next

    def _take(
        self,
        batch: log_lib.Batch,
        is_wanted: Callable[[turns.Chunk], bool],
        found: list[turns.Chunk],
    ) -> bool:
        """Adds the parts of a batch; returns whether the turn is whole."""
        for number, record in enumerate(batch.records):
            part = turns.parse_chunk(record)
            if not found:
                if part.number or not is_wanted(part):
                    continue
                self.offset = log_lib.Offset(batch.first + number)
            elif part.turn != found[0].turn:
                continue
            found.append(part)
            if len(found) == part.count:
                return True
        return False


class _Cache:
    """Turns in memory, as many as fit."""

    def __init__(self) -> None:
        self._turns: collections.OrderedDict[
            model.TurnId, tuple[turns.Turn, turns.Location]
        ] = collections.OrderedDict()
        self._places: set[tuple[int, int]] = set()
        self._bytes = 0

    def find(self, name: model.TurnId) -> turns.Turn | None:
        """Returns a turn if it is here."""
        found = self._turns.get(name)
        if found is None:
            return None
        self._turns.move_to_end(name)
        return found[0]

    def holds(self, location: turns.Location) -> bool:
        """Returns whether the turn at a location is here."""
        return location.key in self._places

    def put(self, turn: turns.Turn, location: turns.Location) -> None:
        """Adds a turn, and drops those used longest ago."""
        self._drop(turn.id)
        self._turns[turn.id] = (turn, location)
        self._places.add(location.key)
        self._bytes += len(turn.content)
        while self._bytes > CACHE_BYTES:
            self._drop(next(iter(self._turns)))

    def _drop(self, name: model.TurnId) -> None:
        found = self._turns.pop(name, None)
        if found is not None:
            turn, location = found
            self._places.discard(location.key)
            self._bytes -= len(turn.content)


def _join(parts: list[turns.Chunk]) -> bytes:
    return b"".join(each.data for each in parts)
