"""Reads a stream to its end and on, for as long as it lives."""

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
    """Takes the records of a stream in order."""

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Takes one record."""


@dataclasses.dataclass(frozen=True)
class TailWindow:
    """Follows the end of a stream, and starts anew after a loss.

    Attributes:
        max_offsets: How far before the end to begin.
        on_start: Called with the offset of the next record at the start,
            and whenever records aged out before they were read.
        on_caught_up: Called when the stream has been read up to its end.
        pause_ms: Pause after each read, so that records come together;
            it ends early if somebody waits for a record.
    """

    max_offsets: int
    on_start: Callable[[ids.Offset], None]
    on_caught_up: Callable[[], None]
    pause_ms: float = 0.0


class Follower:
    """Follows one stream of the log."""

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
        """Makes a follower; reading begins on entering it.

        Args:
            log: The log.
            stream: Name of the stream.
            consumer: Takes the records.
            clock: The clock.
            on_gap: Called with the offset wanted and the oldest kept if
                records aged out before they were read.
            window: How to follow only the end of the stream, or None.
            can_skip: Returns whether an entry need not be decoded, or None.
        """
        self._needless = can_skip
        self._window = window
        self._on_loss = on_gap
        self._log = log
        self._stream = stream
        self._consumer = consumer
        self._clock = clock
        self._next_offset = ids.Offset(0)
        self._begun = False
        self._hurry = asyncio.Event()
        self._read_ms: float | None = None
        self._caught_up = asyncio.Event()
        self._moved = asyncio.Condition()
        self._background = background.Background(self._run)

    @property
    def next_offset(self) -> ids.Offset:
        """All records before this offset have been consumed."""
        return self._next_offset

    @property
    def caught_up_ms(self) -> float | None:
        """When the stream was last read up to its end, or None."""
        return self._read_ms

    async def __aenter__(self) -> Self:
        """Starts to read."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to read."""
        await self._background.stop()

    async def wait_caught_up(self) -> None:
        """Waits until the stream has been read up to its end once."""
        await self._caught_up.wait()

    async def wait_for(self, offset: ids.Offset) -> None:
        """Waits until the record at an offset has been consumed."""
        self._hurry.set()
        async with self._moved:
            await self._moved.wait_for(lambda: self._next_offset > offset)

    async def _run(self) -> None:
        while True:
            wait_ms = WAIT_MS if self._caught_up.is_set() else 0
            outcome = await self._log.read(
                self._stream, self._next_offset, wait_ms
            )
            match outcome:
                case result.Success(part):
                    await self._take(part)
                    await self._pause()
                case _:
                    await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _pause(self) -> None:
        pause_ms = self._window.pause_ms if self._window else 0.0
        if not (pause_ms and self._caught_up.is_set()):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock_lib.to_seconds(pause_ms)):
                await self._hurry.wait()
        self._hurry.clear()

    async def _take(self, part: base.Slice) -> None:
        self._skip(part)
        for entry in part.entries:
            if entry.offset < self._next_offset:
                continue
            self._read_entry(entry)
            self._next_offset = ids.Offset(entry.offset + 1)
        self._next_offset = max(self._next_offset, part.oldest_offset)
        if self._next_offset >= part.next_offset:
            self._read_ms = self._clock.now_ms()
            if self._window is not None:
                self._window.on_caught_up()
            self._caught_up.set()
        async with self._moved:
            self._moved.notify_all()

    def _read_entry(self, entry: base.Entry) -> None:
        if self._needless and self._needless(entry.data, entry.offset):
            return
        for record in records.registry.decode_batch(entry.data):
            self._consume(record, entry.offset)

    def _skip(self, part: base.Slice) -> None:
        lost = part.oldest_offset > self._next_offset
        if lost and self._on_loss is not None:
            self._on_loss(self._next_offset, part.oldest_offset)
        if self._window is not None and (lost or not self._begun):
            start = max(
                part.oldest_offset, part.next_offset - self._window.max_offsets
            )
            self._next_offset = ids.Offset(start)
            self._window.on_start(self._next_offset)
        self._begun = True

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
