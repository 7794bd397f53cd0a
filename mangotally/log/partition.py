"""Group commit to one history stream, with its records kept in order."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import errors, ids
from mangotally.policy import ledger as ledger_lib
from mangotally.policy import records
from mangotally.util import clock as clock_lib
from mangotally.util import codec

if TYPE_CHECKING:
    from mangotally.log import append_limiter, base

logger = logging.getLogger(__name__)

WAIT_MS = 4000
RETRY_MIN_MS = 50
RETRY_MAX_MS = 2000
UNAVAILABLE_FAILURES = 6
RETRY_AFTER_MS = 5000
FLUSH_MS = 2000
MAX_BATCH_BYTES = 4 * 1024 * 1024
MAX_RECORD_BYTES = 12 * 1024 * 1024
MAX_PENDING_BYTES = 16 * 1024 * 1024
_YIELD_ENTRIES = 32


@dataclasses.dataclass(eq=False)
class _Write:
    """A record on its way to the log.

    Attributes:
        make: Returns the record, given the offset of the first record that
            the ledger has not read.
        remade: Whether it is made again each time it is sent.
        kept: Whether it is written even if nobody waits for it any more.
        future: Whether the record took effect.
        record: The record as last sent.
        data: The encoded record.
        applied: Whether a copy of it has taken effect.
    """

    make: Callable[[ids.Offset], Any]
    remade: bool
    kept: bool
    future: asyncio.Future[bool]
    record: Any
    data: bytes
    applied: bool = False
    abandoned: bool = False

    def prepare(self, offset: ids.Offset) -> None:
        """Makes the record again if it depends on its offset."""
        if not self.remade:
            return
        made = self.make(offset)
        if made is not None:
            self.record = made
            self.data = records.registry.encode_item(made)


class Partition:
    """A history stream: its ledger in memory, and appends to it.

    Only one append is under way at a time; records that arrive meanwhile
    go with the next. An append that lands right after the last record read
    shows that no other host has written, so nothing has to be read back.
    After an append without an answer the same records are appended again:
    the ledger counts the first copy, and the gap shows where it is.
    """

    def __init__(
        self,
        log: base.Log,
        stream: str,
        clock: clock_lib.Clock,
        limiter: append_limiter.AppendRateLimiter | None = None,
        call_lifetime_ms: int = ledger_lib.DAY_MS,
    ) -> None:
        """Makes an empty partition; `catch_up` fills it.

        Args:
            log: The platform's log.
            stream: Name of the stream.
            clock: The clock.
            limiter: Paces the appends, or None.
            call_lifetime_ms: How long an idempotency key names one call.
        """
        self._log = log
        self._stream = stream
        self._clock = clock
        self._limiter = limiter
        self._call_lifetime_ms = call_lifetime_ms
        self._random = random.Random(stream)
        self._next_offset = ids.Offset(0)
        self._pending: collections.deque[_Write] = collections.deque()
        self._pending_bytes = 0
        self._sent: list[_Write] = []
        self._failures = 0
        self._reading = asyncio.Lock()
        self._writer: asyncio.Task[None] | None = None
        self._begun_ms: float | None = None
        self._current_ms = 0.0
        self.ledger = ledger_lib.Ledger(call_lifetime_ms)

    async def __aenter__(self) -> Self:
        """Returns the partition."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Writes what waits, for a bounded time, and stops the writer."""
        if self._writer is not None:
            await asyncio.wait(
                [self._writer], timeout=clock_lib.to_seconds(FLUSH_MS)
            )
            self._writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._writer
        for write in [*self._sent, *self._pending]:
            write.future.cancel()

    @property
    def current_for_ms(self) -> float:
        """Time from the first read of the stream's end to the last one."""
        if self._begun_ms is None:
            return 0.0
        return self._current_ms - self._begun_ms

    @property
    def pending_bytes(self) -> int:
        """Bytes of records that the log has not confirmed."""
        return self._pending_bytes

    async def catch_up(self) -> errors.Outcome[None]:
        """Reads the stream up to its end."""
        async with self._reading:
            while True:
                read_ms = self._clock.now_ms()
                outcome = await self._log.read(self._stream, self._next_offset)
                if isinstance(outcome, result.Failure):
                    return result.Failure(outcome.failure())
                part = outcome.unwrap()
                await self._take(part, part.next_offset)
                if self._next_offset >= part.next_offset:
                    self._mark_current(read_ms)
                    return result.Success(None)

    async def append(
        self,
        record: Any,
        wait_ms: float = WAIT_MS,
        retry_after_timeout: bool = False,
    ) -> errors.Outcome[bool]:
        """Appends a record and applies it to the ledger.

        Args:
            record: The record.
            wait_ms: Longest time to wait for the log.
            retry_after_timeout: Whether the record is written later if the log does not
                answer in time, for as long as this process lives.

        Returns:
            Whether the record took effect: False if another record of the
            log came first. A failure means that it may yet take effect.
        """
        return await self._submit(
            lambda _: record, record, retry_after_timeout, wait_ms
        )

    async def append_snapshot(
        self, make: Callable[[ids.Offset], Any]
    ) -> errors.Outcome[bool]:
        """Appends a snapshot; void if it has grown old on its way.

        Args:
            make: Returns the snapshot, given the offset of the first record
                that the ledger has not read.
        """
        record = make(self._next_offset)
        if record is None:
            return result.Success(False)
        return await self._submit(make, record, False, WAIT_MS, remade=True)

    async def _submit(
        self,
        make: Callable[[ids.Offset], Any],
        record: Any,
        kept: bool,
        wait_ms: float,
        remade: bool = False,
    ) -> errors.Outcome[bool]:
        data = records.registry.encode_item(record)
        if len(data) > MAX_RECORD_BYTES:
            logger.error(
                "record_too_large",
                extra={"stream": self._stream, "size_bytes": len(data)},
            )
            return errors.failed(
                errors.Reason.TOO_LARGE, "The record is too large to keep."
            )
        if not self._may_queue(len(data), kept):
            return _unavailable()
        future = asyncio.get_running_loop().create_future()
        write = _Write(make, remade, kept, future, record, data)
        self._pending.append(write)
        self._pending_bytes += len(data)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write())
        try:
            async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
                return result.Success(await asyncio.shield(future))
        except TimeoutError:
            write.abandoned = not kept
            return _unavailable()

    def _mark_current(self, read_ms: float) -> None:
        self._current_ms = max(self._current_ms, read_ms)
        if self._begun_ms is None:
            self._begun_ms = read_ms

    def _may_queue(self, size_bytes: int, kept: bool) -> bool:
        if self._pending_bytes + size_bytes > MAX_PENDING_BYTES:
            return False
        waiting = bool(self._sent or self._pending)
        return kept or not (waiting and self._is_down())

    def _is_down(self) -> bool:
        return self._failures >= UNAVAILABLE_FAILURES

    async def _write(self) -> None:
        while self._pending:
            if self._limiter is not None:
                await self._limiter.acquire()
            self._next_batch()
            while self._sent:
                await self._commit()

    def _next_batch(self) -> None:
        size_bytes = 0
        while self._pending:
            size_bytes += len(self._pending[0].data)
            if self._sent and size_bytes > MAX_BATCH_BYTES:
                return
            self._sent.append(self._pending.popleft())

    async def _commit(self) -> None:
        self._drop_abandoned()
        if not self._sent:
            return
        for write in self._sent:
            write.prepare(self._next_offset)
        data = codec.join_items([write.data for write in self._sent])
        outcome = await self._log.append(self._stream, data)
        match outcome:
            case result.Success(offset):
                await self._settle(offset)
            case _:
                await self._pause("append")

    def _drop_abandoned(self) -> None:
        for write in [item for item in self._sent if item.abandoned]:
            self._sent.remove(write)
            self._pending_bytes -= len(write.data)

    async def _pause(self, step: str) -> None:
        if self._failures == 0:
            logger.warning(
                "log_failed", extra={"stream": self._stream, "step": step}
            )
        self._failures = min(self._failures + 1, 16)
        longest_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2**self._failures)
        wait_ms = self._random.uniform(longest_ms / 2, longest_ms)
        await asyncio.sleep(clock_lib.to_seconds(wait_ms))

    async def _settle(self, offset: ids.Offset) -> None:
        while not await self._read_until(offset):
            await self._pause("read")
        self._failures = 0
        sent, self._sent = self._sent, []
        for write in sent:
            self._pending_bytes -= len(write.data)
            if not write.future.done():
                write.future.set_result(write.applied)

    async def _read_until(self, offset: ids.Offset) -> bool:
        async with self._reading:
            while self._next_offset < offset:
                outcome = await self._log.read(self._stream, self._next_offset)
                if isinstance(outcome, result.Failure):
                    return False
                before = self._next_offset
                await self._take(outcome.unwrap(), offset)
                if self._next_offset == before:
                    return False
            if self._next_offset == offset:
                for write in self._sent:
                    applied = self.ledger.apply(write.record, offset)
                    write.applied = write.applied or applied
                self._next_offset = ids.Offset(offset + 1)
            return True

    async def _take(self, part: base.Slice, end: ids.Offset) -> None:
        if part.oldest_offset > self._next_offset:
            self._skip_to(part.oldest_offset)
        for number, entry in enumerate(part.entries):
            if entry.offset >= end:
                break
            if entry.offset < self._next_offset:
                continue
            self._apply_entry(entry)
            if number % _YIELD_ENTRIES == _YIELD_ENTRIES - 1:
                await asyncio.sleep(0)
        if part.entries and part.entries[-1].offset >= end:
            self._next_offset = max(self._next_offset, end)
        elif not part.entries:
            last = min(part.next_offset, end)
            self._next_offset = max(self._next_offset, last)

    def _skip_to(self, offset: ids.Offset) -> None:
        """Starts again: records that were not read have aged out."""
        if self._next_offset > 0:
            logger.warning(
                "history_aged_out",
                extra={"stream": self._stream, "offset": self._next_offset},
            )
        self.ledger = ledger_lib.Ledger(self._call_lifetime_ms, offset)
        self._next_offset = offset

    def _apply_entry(self, entry: base.Entry) -> None:
        for outcome in records.registry.decode_batch(entry.data):
            if isinstance(outcome, result.Failure):
                logger.error(
                    "record_refused",
                    extra={
                        "stream": self._stream,
                        "offset": entry.offset,
                        "reason": outcome.failure(),
                    },
                )
                continue
            record = outcome.unwrap()
            if self.ledger.apply(record, entry.offset):
                self._note_applied(record)
        self._next_offset = ids.Offset(entry.offset + 1)

    def _note_applied(self, record: Any) -> None:
        for write in self._sent:
            if write.record == record:
                write.applied = True


def _unavailable() -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.LOG_UNAVAILABLE,
        "The log does not answer.",
        retry_after_ms=RETRY_AFTER_MS,
    )
