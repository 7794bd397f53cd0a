"""Consumes a log stream continuously, by long polling."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, Self

from returns import result

from mangotally import ids
from mangotally.policy import records
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.log import base

logger = logging.getLogger(__name__)

WAIT_MS = 1000
RETRY_MS = 200


class Consumer(Protocol):
    """Processes the records of a stream in order."""

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Processes one record."""


@dataclasses.dataclass(frozen=True)
class TailWindow:
    """Reads only the tail of a stream; a gap starts it over at the tail.

    Attributes:
        max_offsets: Length of the tail, in offsets before the end.
        on_start: Called with the offset of the first record to read, at the
            start and whenever retention removed records before they were
            read.
        on_caught_up: Called when the stream has been read up to its end.
        pause_ms: Pause after each read, so that several records arrive in
            one read; a call of `wait_for` ends it early.
    """

    max_offsets: int
    on_start: Callable[[ids.Offset], None]
    on_caught_up: Callable[[], None]
    pause_ms: float = 0.0


class Follower:
    """Reads one stream in the background and passes on its records."""

    def __init__(
        self,
        log: base.Log,
        stream: str,
        consumer: Consumer,
        clock: clock_lib.Clock,
        on_gap: Callable[[ids.Offset, ids.Offset], None] | None = None,
        window: TailWindow | None = None,
        can_skip: Callable[[bytes, ids.Offset], bool] | None = None,
    ) -> None:
        """Creates a follower; entering its context starts the reads.

        Args:
            log: The log.
            stream: Name of the stream.
            consumer: Receives the records.
            clock: The clock.
            on_gap: Called with the next offset to read and the oldest
                retained offset if retention removed records in between.
            window: Which tail of the stream to read, or None to read all.
            can_skip: Returns whether an entry need not be decoded, or None
                to decode every entry.
        """
        self._can_skip = can_skip
        self._window = window
        self._on_gap = on_gap
        self._log = log
        self._stream = stream
        self._consumer = consumer
        self._clock = clock
        self._next_offset = ids.Offset(0)
        self._has_started = False
        self._end_pause = asyncio.Event()
        self._caught_up_ms: float | None = None
        self._caught_up = asyncio.Event()
        self._advanced = asyncio.Condition()
        self._background = background.BackgroundTasks(self._run)

    @property
    def next_offset(self) -> ids.Offset:
        """Offset of the next record to consume."""
        return self._next_offset

    @property
    def caught_up_ms(self) -> float | None:
        """When the stream was last read up to its end, or None."""
        return self._caught_up_ms

    async def __aenter__(self) -> Self:
        """Starts the background reads."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the background reads."""
        await self._background.stop()

    async def wait_caught_up(self) -> None:
        """Waits until the stream has been read up to its end once."""
        await self._caught_up.wait()

    async def wait_for(self, offset: ids.Offset) -> None:
        """Waits until the record at an offset has been consumed."""
        self._end_pause.set()
        async with self._advanced:
            await self._advanced.wait_for(lambda: self._next_offset > offset)

    async def _run(self) -> None:
        while True:
            wait_ms = WAIT_MS if self._caught_up.is_set() else 0
            outcome = await self._log.read(
                self._stream, self._next_offset, wait_ms
            )
            match outcome:
                case result.Success(found):
                    await self._consume_slice(found)
                    await self._pause()
                case _:
                    await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _pause(self) -> None:
        pause_ms = self._window.pause_ms if self._window else 0.0
        if not (pause_ms and self._caught_up.is_set()):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock_lib.to_seconds(pause_ms)):
                await self._end_pause.wait()
        self._end_pause.clear()

    async def _consume_slice(self, found: base.Slice) -> None:
        self._skip_gap(found)
        for entry in found.entries:
            if entry.offset < self._next_offset:
                continue
            self._read_entry(entry)
            self._next_offset = ids.Offset(entry.offset + 1)
        self._next_offset = max(self._next_offset, found.oldest_offset)
        if self._next_offset >= found.next_offset:
            self._caught_up_ms = self._clock.now_ms()
            if self._window is not None:
                self._window.on_caught_up()
            self._caught_up.set()
        async with self._advanced:
            self._advanced.notify_all()

    def _read_entry(self, entry: base.Entry) -> None:
        if self._can_skip and self._can_skip(entry.data, entry.offset):
            return
        for record in records.registry.decode_batch(entry.data):
            self._consume(record, entry.offset)

    def _skip_gap(self, found: base.Slice) -> None:
        has_gap = found.oldest_offset > self._next_offset
        if has_gap and self._on_gap is not None:
            self._on_gap(self._next_offset, found.oldest_offset)
        if self._window is not None and (has_gap or not self._has_started):
            start = max(
                found.oldest_offset,
                found.next_offset - self._window.max_offsets,
            )
            self._next_offset = ids.Offset(start)
            self._window.on_start(self._next_offset)
        self._has_started = True

    def _consume(
        self, record: result.Result[Any, str], offset: ids.Offset
    ) -> None:
        match record:
            case result.Success(message):
                self._consumer.consume(message, offset)
            case result.Failure(reason):
                logger.error(
                    "record_refused",
                    extra={
                        "stream": self._stream,
                        "offset": offset,
                        "reason": reason,
                    },
                )
