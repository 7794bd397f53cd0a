"""Non-blocking, rate-limited logging to standard output."""

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
# Above the first rate, only records of level WARNING or higher are written;
# above the second rate, none are.
MAX_LINES_PER_S = 400
MAX_WARNINGS_PER_S = 800
RATE_WINDOW_MS = 1000


class BoundedHandler(logging.Handler):
    """A handler that queues lines and writes them in batches.

    It handles all log records of the process while it is entered. Above
    `MAX_LINES_PER_S`, records below WARNING are dropped; above
    `MAX_WARNINGS_PER_S`, all are. The number of dropped lines is logged.
    """

    def __init__(self, fd: int, clock: clock_lib.Clock) -> None:
        """Stores the file descriptor and the clock.

        Args:
            fd: File descriptor to write to; it is non-blocking while the
                handler is entered.
            clock: Clock for the rate limits.
        """
        super().__init__()
        self._fd = fd
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._timer: asyncio.TimerHandle | None = None
        self._window_start_ms = clock.now_ms()
        self._window_lines = 0
        self._dropped_lines = 0
        self.setFormatter(logs.KeyValueFormatter())

    async def __aenter__(self) -> Self:
        """Becomes the only handler of the root logger."""
        os.set_blocking(self._fd, False)
        root = logging.getLogger()
        root.handlers[:] = [self]
        root.setLevel(logging.INFO)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Writes the queued lines; later records are written synchronously."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush()
        os.set_blocking(self._fd, True)
        fallback = logging.StreamHandler(sys.stdout)
        fallback.setFormatter(self.formatter)
        logging.getLogger().handlers[:] = [fallback]

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or counts it as dropped."""
        if not self._admit(record.levelno):
            self._dropped_lines += 1
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
        if now_ms - self._window_start_ms >= RATE_WINDOW_MS:
            self._window_start_ms = now_ms
            self._window_lines = 0
            self._report_dropped()
        if len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._window_lines += 1
        max_lines = MAX_LINES_PER_S
        if level >= logging.WARNING:
            max_lines = MAX_WARNINGS_PER_S
        return self._window_lines <= max_lines

    def _report_dropped(self) -> None:
        if self._dropped_lines:
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
            self._queue(
                f"level=WARNING event=lines_left_out count={dropped_lines}"
            )

    def _flush(self) -> None:
        self._timer = None
        data = self._unwritten + b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._fd, data) if data else 0
        except BlockingIOError:
            written = 0
        self._unwritten = data[written:]
        if len(self._unwritten) > MAX_QUEUED_LINES * logs.TYPICAL_LINE_BYTES:
            self._dropped_lines += self._unwritten.count(b"\n")
            self._unwritten = b""
        if self._unwritten and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                clock_lib.to_seconds(FLUSH_DELAY_MS), self._flush
            )
