"""Log lines on standard output, that never block and are bounded."""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import sys
from typing import Self

from mangotally.util import clock as clock_lib
from mangotally.util import logs

MAX_QUEUED_LINES = 5000
FLUSH_DELAY_MS = 50
# Lines a second; what is less than a warning is left out first.
MAX_LINES_PER_S = 400
MAX_WARNINGS_PER_S = 800
RATE_WINDOW_MS = 1000


class BoundedHandler(logging.Handler):
    """Queues lines and writes them in bunches while it is entered.

    Above a rate, lines below the level of a warning are left out, above a
    higher one all are. How many were left out is itself a line.
    """

    def __init__(self, fd: int, clock: clock_lib.Clock) -> None:
        """Makes a handler.

        Args:
            fd: Descriptor to write to; made non-blocking while entered.
            clock: Time.
        """
        super().__init__()
        self._fd = fd
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._timer: asyncio.TimerHandle | None = None
        self._span_ms = clock.now_ms()
        self._count = 0
        self._left_out = 0
        self.setFormatter(logs.KeyValueFormatter())

    async def __aenter__(self) -> Self:
        """Takes all logs of the process."""
        os.set_blocking(self._fd, False)
        root = logging.getLogger()
        root.handlers[:] = [self]
        root.setLevel(logging.INFO)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Writes what is queued, and what comes after at once."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush()
        os.set_blocking(self._fd, True)
        fallback = logging.StreamHandler(sys.stdout)
        fallback.setFormatter(self.formatter)
        logging.getLogger().handlers[:] = [fallback]

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or counts it as left out."""
        if not self._admit(record.levelno):
            self._left_out += 1
            return
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._queue(line)

    def _queue(self, line: str) -> None:
        self._lines.append(line.encode(errors="replace") + b"\n")
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                clock_lib.to_seconds(FLUSH_DELAY_MS), self._flush
            )

    def _admit(self, level: int) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms - self._span_ms >= RATE_WINDOW_MS:
            self._span_ms = now_ms
            self._count = 0
            self._report()
        if len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._count += 1
        most = MAX_LINES_PER_S
        if level >= logging.WARNING:
            most = MAX_WARNINGS_PER_S
        return self._count <= most

    def _report(self) -> None:
        if self._left_out:
            left_out, self._left_out = self._left_out, 0
            self._queue(f"level=WARNING event=lines_left_out count={left_out}")

    def _flush(self) -> None:
        self._timer = None
        data = self._rest + b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._fd, data) if data else 0
        except BlockingIOError:
            written = 0
        self._rest = data[written:]
        if len(self._rest) > MAX_QUEUED_LINES * logs.TYPICAL_LINE_BYTES:
            self._left_out += self._rest.count(b"\n")
            self._rest = b""
        if self._rest and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                clock_lib.to_seconds(FLUSH_DELAY_MS), self._flush
            )
