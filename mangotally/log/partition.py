"""Group commit to one history stream, with its records kept in order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.policy import programs, records

if TYPE_CHECKING:
    from mangotally.log import base


class Partition:
    """A history stream: its ledger in memory, and appends to it.

    Only one append is under way at a time; records that arrive meanwhile
    go with the next. An append that lands right after the last record read
    shows that no other host has written, so nothing has to be read back.
    """

    def __init__(self, log: base.Log, stream: str) -> None:
        """Makes an empty partition; `load` fills it."""
        self._log = log
        self._stream = stream
        self._next_offset = ids.Offset(0)
        self._pending: list[tuple[Any, asyncio.Future[errors.Outcome[bool]]]]
        self._pending = []
        self._writer: asyncio.Task[None] | None = None
        self.ledger = programs.Ledger()

    async def load(self) -> errors.Outcome[None]:
        """Reads the stream up to its end."""
        while True:
            outcome = await self._log.read(self._stream, self._next_offset)
            match outcome:
                case result.Success(part):
                    self._take(part)
                    if self._next_offset >= part.next_offset:
                        return result.Success(None)
                case result.Failure(failure):
                    return result.Failure(failure)

    async def append(self, record: Any) -> errors.Outcome[bool]:
        """Appends a record and applies it to the ledger.

        Returns:
            Whether the record took effect: False if another record of the
            log came first. A failure means that it may yet take effect.
        """
        future: asyncio.Future[errors.Outcome[bool]]
        future = asyncio.get_running_loop().create_future()
        self._pending.append((record, future))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write())
        return await asyncio.shield(future)

    async def _write(self) -> None:
        while self._pending:
            batch, self._pending = self._pending, []
            data = records.registry.encode_batch([item for item, _ in batch])
            outcome = await self._log.append(self._stream, data)
            match outcome:
                case result.Success(offset):
                    await self._settle(batch, offset)
                case result.Failure(failure):
                    for _, future in batch:
                        future.set_result(result.Failure(failure))

    async def _settle(
        self,
        batch: list[tuple[Any, asyncio.Future[errors.Outcome[bool]]]],
        offset: ids.Offset,
    ) -> None:
        if offset != self._next_offset:
            missed = await self._read_until(offset)
            if isinstance(missed, result.Failure):
                for _, future in batch:
                    future.set_result(result.Failure(missed.failure()))
                return
        for record, future in batch:
            future.set_result(result.Success(self.ledger.apply(record)))
        self._next_offset = ids.Offset(offset + 1)

    async def _read_until(self, offset: ids.Offset) -> errors.Outcome[None]:
        while self._next_offset < offset:
            outcome = await self._log.read(self._stream, self._next_offset)
            match outcome:
                case result.Success(part):
                    self._take(part, offset)
                case result.Failure(failure):
                    return result.Failure(failure)
        return result.Success(None)

    def _take(
        self, part: base.Slice, end_offset: ids.Offset | None = None
    ) -> None:
        for entry in part.entries:
            if end_offset is not None and entry.offset >= end_offset:
                return
            if entry.offset < self._next_offset:
                continue
            for record in records.registry.decode_batch(entry.data):
                if isinstance(record, result.Success):
                    self.ledger.apply(record.unwrap())
            self._next_offset = ids.Offset(entry.offset + 1)
        self._next_offset = max(self._next_offset, part.oldest_offset)
