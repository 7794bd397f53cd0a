"""Storage of turns in the log, and lookup of turn chains."""

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
# Size of each read if the index gives only a lower bound of the offset of a
# turn's content.
SEARCH_READ_KB = 64
# Maximum number of concurrent reads of ancestors; all hosts share the store's
# limit of calls.
MAX_PREFETCHES = 32
RETRY_MS = 40


@dataclasses.dataclass(frozen=True)
class Chain:
    """Content of a turn and all its ancestors.

    Attributes:
        content: Concatenated content, oldest turn first.
        turns: Number of turns.
    """

    content: bytes
    turns: int


@dataclasses.dataclass(frozen=True)
class NoSuchTurn:
    """The turn is not stored, or belongs to another organisation."""


@dataclasses.dataclass(frozen=True)
class HistoryUnavailable:
    """The log did not respond, so the turn may or may not exist.

    Attributes:
        reason: Description of the failure.
    """

    reason: str


class History:
    """Stores turns, and assembles the chain of a turn and its ancestors."""

    def __init__(
        self,
        log: log_lib.Log,
        host: ids.HostId,
        partition_count: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts with an empty cache.

        Args:
            log: Log that holds the turns.
            host: ID of this host, which determines the partition that it
                writes the content of turns to.
            partition_count: Number of partitions per topic.
            clock: Clock for deadlines.
        """
        self._log = log
        self._clock = clock
        number = rendezvous.partition_of_key(host, partition_count)
        self._content_writer = partition_writer.PartitionWriter(
            log, CONTENT_TOPIC, number
        )
        self._index_writers = [
            partition_writer.PartitionWriter(log, turn_index.TOPIC, number)
            for number in range(partition_count)
        ]
        self._index = turn_index.TurnIndex(log, partition_count)
        self._cache = _Cache()
        self._prefetch_limit = asyncio.Semaphore(MAX_PREFETCHES)

    async def save(self, turn: turns.Turn, until_ms: float) -> bool:
        """Stores a turn; returns whether that succeeded.

        Args:
            turn: Turn to store.
            until_ms: Deadline for retries.
        """
        records = turns.content_records(turn)
        size_kb = turns.size_kb(records)
        writer = self._content_writer
        entry = turns.IndexEntry(
            turn.organisation,
            turn.parent,
            turns.Location(writer.partition, writer.known_end, size_kb),
            self._chain_locations(turn.parent),
        )
        number = self._index.partition_of(turn.id)
        index_record = turns.index_record(turn.id, entry)
        offset, indexed = await asyncio.gather(
            self._write(writer, records, until_ms),
            self._write(self._index_writers[number], [index_record], until_ms),
        )
        if offset is None or indexed is None:
            return False
        self._cache_turn(turn, entry, offset)
        return True

    async def chain(
        self,
        turn: model.TurnId,
        organisation: ids.OrganisationId,
        until_ms: float,
    ) -> Chain | NoSuchTurn | HistoryUnavailable:
        """Returns the content of a turn and its ancestors.

        Args:
            turn: Last turn of the chain.
            organisation: Organisation that requests the chain.
            until_ms: Deadline if the log does not respond.
        """
        contents: list[bytes] = []
        turn_id: model.TurnId | None = turn
        while turn_id is not None and len(contents) < MAX_CHAIN_TURNS:
            found = await self._find(turn_id, until_ms)
            if not isinstance(found, turns.Turn):
                return found
            if found.organisation != organisation:
                return NoSuchTurn()
            contents.append(found.content)
            turn_id = found.parent
        contents.reverse()
        return Chain(b"".join(contents), len(contents))

    async def _find(
        self, turn_id: model.TurnId, until_ms: float
    ) -> turns.Turn | NoSuchTurn | HistoryUnavailable:
        cached = self._cache.find(turn_id)
        if cached is not None:
            return cached
        while True:
            found = await self._read(turn_id)
            if not isinstance(found, HistoryUnavailable):
                return found
            if self._clock.now_ms() + RETRY_MS >= until_ms:
                return found
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _read(
        self, turn_id: model.TurnId
    ) -> turns.Turn | NoSuchTurn | HistoryUnavailable:
        entry = await self._index.look_up(turn_id)
        if isinstance(entry, log_lib.Unavailable):
            return HistoryUnavailable(f"index: {entry.reason}")
        if entry is None:
            return NoSuchTurn()
        turn, _ = await asyncio.gather(
            self._read_content(turn_id, entry), self._read_ancestors(entry)
        )
        return turn

    async def _read_content(
        self, turn_id: model.TurnId, entry: turns.IndexEntry
    ) -> turns.Turn | NoSuchTurn | HistoryUnavailable:
        """Reads the content of a turn, searching from its indexed offset on."""
        size_kb = entry.location.size_kb if entry.is_exact else SEARCH_READ_KB
        reader = _Reader(self._log, entry.location, size_kb)
        found = await reader.search(lambda chunk: chunk.turn == turn_id)
        if isinstance(found, HistoryUnavailable):
            return found
        if not found:
            logger.error(
                "turn_without_content",
                extra={"turn": turn_id, "part": entry.location.partition},
            )
            return NoSuchTurn()
        turn = turns.Turn(
            turn_id, entry.organisation, entry.parent, _join(found)
        )
        self._cache_turn(turn, entry, reader.offset)
        return turn

    async def _read_ancestors(self, entry: turns.IndexEntry) -> None:
        """Prefetches the uncached ancestors of a turn concurrently.

        Ancestors that cannot be prefetched are looked up one by one later.
        """
        await asyncio.gather(
            *(
                self._read_ancestor(number, entry)
                for number, location in enumerate(entry.ancestors)
                if not self._cache.holds(location)
            )
        )

    async def _read_ancestor(
        self, number: int, entry: turns.IndexEntry
    ) -> None:
        location = entry.ancestors[number]
        reader = _Reader(self._log, location, location.size_kb)
        async with self._prefetch_limit:
            found = await reader.search(lambda _: True)
        is_at_location = reader.offset == location.offset
        if (
            isinstance(found, HistoryUnavailable)
            or not found
            or not is_at_location
        ):
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
        ancestor_entry = turns.IndexEntry(
            entry.organisation, first.parent, location, entry.ancestors[:number]
        )
        self._cache_turn(turn, ancestor_entry, reader.offset)

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

    def _chain_locations(
        self, turn_id: model.TurnId | None
    ) -> tuple[turns.Location, ...]:
        entry = self._index.cached(turn_id) if turn_id is not None else None
        return entry.chain if entry is not None else ()

    def _cache_turn(
        self, turn: turns.Turn, entry: turns.IndexEntry, offset: log_lib.Offset
    ) -> None:
        """Caches a turn and its index entry with the exact offset."""
        location = dataclasses.replace(entry.location, offset=offset)
        exact = dataclasses.replace(entry, location=location, is_exact=True)
        self._index.put(turn.id, exact)
        self._cache.put(turn, location)


class _Reader:
    """Searches for the content records of a turn, starting at an offset.

    Attributes:
        offset: Offset of the first content record found.
    """

    def __init__(
        self, log: log_lib.Log, location: turns.Location, size_kb: int
    ) -> None:
        self.offset = location.offset
        self._log = log
        self._partition = location.partition
        self._next = location.offset
        self._size_kb = size_kb

    async def search(
        self, is_wanted: Callable[[turns.Chunk], bool]
    ) -> list[turns.Chunk] | HistoryUnavailable:
        """Returns the content records of the first matching turn, if any."""
        found: list[turns.Chunk] = []
        while True:
            batch = await self._log.read(
                CONTENT_TOPIC, self._partition, self._next, max_kb=self._size_kb
            )
            match batch:
                case log_lib.Unavailable():
                    return HistoryUnavailable(f"content: {batch.reason}")
                case log_lib.Trimmed():
                    self._next = batch.first
                    continue
            if self._collect(batch, is_wanted, found):
                return found
            if batch.next >= batch.end:
                return []
            if not batch.records:
                self._size_kb *= 2
            self._next = batch.next

    def _collect(
        self,
        batch: log_lib.Batch,
        is_wanted: Callable[[turns.Chunk], bool],
        found: list[turns.Chunk],
    ) -> bool:
        """Adds records to `found`; returns whether the turn is complete."""
        for number, record in enumerate(batch.records):
            chunk = turns.parse_chunk(record)
            if not found:
                if chunk.number or not is_wanted(chunk):
                    continue
                self.offset = log_lib.Offset(batch.first + number)
            elif chunk.turn != found[0].turn:
                continue
            found.append(chunk)
            if len(found) == chunk.count:
                return True
        return False


class _Cache:
    """Least recently used cache of turns, limited by total size."""

    def __init__(self) -> None:
        self._turns: collections.OrderedDict[
            model.TurnId, tuple[turns.Turn, turns.Location]
        ] = collections.OrderedDict()
        self._locations: set[tuple[int, int]] = set()
        self._bytes = 0

    def find(self, turn_id: model.TurnId) -> turns.Turn | None:
        """Returns a turn if it is cached."""
        found = self._turns.get(turn_id)
        if found is None:
            return None
        self._turns.move_to_end(turn_id)
        return found[0]

    def holds(self, location: turns.Location) -> bool:
        """Returns whether the turn at a location is cached."""
        return location.key in self._locations

    def put(self, turn: turns.Turn, location: turns.Location) -> None:
        """Adds a turn, and evicts the least recently used ones."""
        self._evict(turn.id)
        self._turns[turn.id] = (turn, location)
        self._locations.add(location.key)
        self._bytes += len(turn.content)
        while self._bytes > CACHE_BYTES:
            self._evict(next(iter(self._turns)))

    def _evict(self, turn_id: model.TurnId) -> None:
        found = self._turns.pop(turn_id, None)
        if found is not None:
            turn, location = found
            self._locations.discard(location.key)
            self._bytes -= len(turn.content)


def _join(chunks: list[turns.Chunk]) -> bytes:
    return b"".join(each.data for each in chunks)
