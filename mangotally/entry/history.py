"""Turns that later turns continue from, kept in the log."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import logging
import struct
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import log as log_lib
from mangotally.entry import model
from mangotally.policy import homes
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Sequence

logger = logging.getLogger(__name__)

CONTENT = log_lib.Topic("turns")
INDEX = log_lib.Topic("turns.index")
CACHE_BYTES = 24 * 1024 * 1024
MAX_INDEX_ENTRIES = 200_000
MAX_CHAIN_TURNS = 1000
# Largest part of a turn in one record.
PART_BYTES = 200_000
# A read that looks for a turn's content.
CONTENT_READ_KB = 64
RETRY_MS = 40
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
class Unknown:
    """The log did not answer; the turn may be there.

    Attributes:
        reason: What was seen.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class _Entry:
    """Where a turn's content is.

    Attributes:
        organisation: Whose it is.
        parent: The turn before, or None.
        part: Partition of the content.
        hint: The content is at this offset or later.
    """

    organisation: ids.OrganisationId
    parent: model.TurnId | None
    part: int
    hint: log_lib.Offset


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
        self._count = partition_count
        part = homes.partition_of_key(host, partition_count)
        self._content = _Writer(log, CONTENT, part)
        self._index_writers = [
            _Writer(log, INDEX, number) for number in range(partition_count)
        ]
        self._index = [
            log_lib.Cursor(log, INDEX, number)
            for number in range(partition_count)
        ]
        self._index_locks = [asyncio.Lock() for _ in range(partition_count)]
        self._entries: collections.OrderedDict[model.TurnId, _Entry]
        self._entries = collections.OrderedDict()
        self._cache: collections.OrderedDict[model.TurnId, Turn]
        self._cache = collections.OrderedDict()
        self._cached_bytes = 0

    async def keep(self, turn: Turn, until_ms: float) -> bool:
        """Records a turn; returns whether the log has it.

        Args:
            turn: The turn.
            until_ms: When to give up.
        """
        entry = _Entry(
            turn.organisation,
            turn.parent,
            self._content.part,
            self._content.end,
        )
        number = homes.partition_of_key(turn.id, self._count)
        kept = await asyncio.gather(
            self._write(self._content, _content_records(turn), until_ms),
            self._write(
                self._index_writers[number],
                [_index_record(turn.id, entry)],
                until_ms,
            ),
        )
        if not all(kept):
            return False
        self._remember(turn)
        self._enter(turn.id, entry)
        return True

    async def chain(
        self,
        turn: model.TurnId,
        organisation: ids.OrganisationId,
        until_ms: float,
    ) -> Chain | NoSuchTurn | Unknown:
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
            if not isinstance(found, Turn):
                return found
            if found.organisation != organisation:
                return NoSuchTurn()
            parts.append(found.content)
            name = found.parent
        parts.reverse()
        return Chain(b"".join(parts), len(parts))

    async def _find(
        self, name: model.TurnId, until_ms: float
    ) -> Turn | NoSuchTurn | Unknown:
        cached = self._cache.get(name)
        if cached is not None:
            self._cache.move_to_end(name)
            return cached
        while True:
            found = await self._read(name)
            if not isinstance(found, Unknown):
                return found
            if self._clock.now_ms() + RETRY_MS >= until_ms:
                return found
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _read(self, name: model.TurnId) -> Turn | NoSuchTurn | Unknown:
        entry = self._entries.get(name)
        if entry is None:
            number = homes.partition_of_key(name, self._count)
            async with self._index_locks[number]:
                if name not in self._entries:
                    failure = await self._read_index(number)
                    if failure is not None:
                        return failure
            entry = self._entries.get(name)
        if entry is None:
            return NoSuchTurn()
        return await self._read_content(name, entry)

    async def _read_index(self, number: int) -> Unknown | None:
        """Reads one partition of the index to its end."""
        failure = await self._index[number].read(self._take_index_record)
        return None if failure is None else Unknown(f"index: {failure.reason}")

    async def _read_content(
        self, name: model.TurnId, entry: _Entry
    ) -> Turn | NoSuchTurn | Unknown:
        parts: dict[int, bytes] = {}
        first = entry.hint
        while True:
            batch = await self._log.read(
                CONTENT, entry.part, first, max_kb=CONTENT_READ_KB
            )
            match batch:
                case log_lib.Unavailable():
                    return Unknown(f"content: {batch.reason}")
                case log_lib.Trimmed():
                    first = batch.first
                    continue
            for record in batch.records:
                found, number, count, part = _split(record)
                if found != name:
                    continue
                parts[number] = part
                if len(parts) == count:
                    content = b"".join(parts[i] for i in sorted(parts))
                    turn = Turn(name, entry.organisation, entry.parent, content)
                    self._remember(turn)
                    return turn
            if batch.next >= batch.end:
                logger.error(
                    "turn_without_content",
                    extra={"turn": name, "part": entry.part},
                )
                return NoSuchTurn()
            first = batch.next

    async def _write(
        self, writer: _Writer, records: Sequence[bytes], until_ms: float
    ) -> bool:
        while True:
            if await writer.write(records):
                return True
            if self._clock.now_ms() + RETRY_MS >= until_ms:
                return False
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    def _take_index_record(self, record: bytes) -> None:
        try:
            name, organisation, parent, part, hint = json.loads(record)
        except ValueError:
            logger.error("index_record_unreadable")
            return
        self._enter(name, _Entry(organisation, parent, part, hint))

    def _enter(self, name: model.TurnId, entry: _Entry) -> None:
        self._entries[name] = entry
        if len(self._entries) > MAX_INDEX_ENTRIES:
            self._entries.popitem(last=False)

    def _remember(self, turn: Turn) -> None:
        known = self._cache.pop(turn.id, None)
        if known is not None:
            self._cached_bytes -= len(known.content)
        self._cache[turn.id] = turn
        self._cached_bytes += len(turn.content)
        while self._cached_bytes > CACHE_BYTES:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest.content)


class _Writer:
    """Appends to one partition; what comes meanwhile goes together.

    Attributes:
        part: The partition.
        end: The partition ended here or later when this was last heard.
    """

    def __init__(
        self, log: log_lib.Log, topic: log_lib.Topic, part: int
    ) -> None:
        self.part = part
        self.end = log_lib.Offset(0)
        self._log = log
        self._topic = topic
        self._waiting: list[tuple[Sequence[bytes], asyncio.Future[bool]]] = []
        self._task: asyncio.Task[None] | None = None

    async def write(self, records: Sequence[bytes]) -> bool:
        """Appends records; returns whether the log has them."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((records, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        return await future

    async def _drain(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            records = [record for each, _ in batch for record in each]
            appended = await self._log.append(self._topic, self.part, records)
            is_kept = isinstance(appended, log_lib.Appended)
            if isinstance(appended, log_lib.Appended):
                self.end = max(self.end, appended.end)
            for _, future in batch:
                if not future.done():
                    future.set_result(is_kept)


def _content_records(turn: Turn) -> list[bytes]:
    content = turn.content
    pieces = [
        content[at : at + PART_BYTES]
        for at in range(0, len(content), PART_BYTES)
    ] or [b""]
    records = []
    for number, piece in enumerate(pieces):
        head = json.dumps([turn.id, number, len(pieces)]).encode()
        records.append(_HEADER.pack(len(head)) + head + piece)
    return records


def _split(record: bytes) -> tuple[str, int, int, bytes]:
    """Returns turn, number of the part, count of parts, and the part."""
    (length,) = _HEADER.unpack_from(record)
    body_at = _HEADER.size + length
    turn, number, count = json.loads(record[_HEADER.size : body_at])
    return turn, number, count, record[body_at:]


def _index_record(name: model.TurnId, entry: _Entry) -> bytes:
    return json.dumps(
        [name, entry.organisation, entry.parent, entry.part, entry.hint]
    ).encode()
