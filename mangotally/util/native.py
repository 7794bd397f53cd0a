"""Logs the lines that native libraries write to standard error."""

from __future__ import annotations

import asyncio
import faulthandler
import logging
import os
import sys
from typing import Self

logger = logging.getLogger(__name__)

STDERR_FD = 2
READ_CHUNK_BYTES = 65_536
MAX_LINE_BYTES = 4096
_HANDSHAKE_FAILED = "Handshake failed"


class StderrCapture:
    """Redirects file descriptor 2 into a pipe while the process serves.

    Lines that native code writes to the pipe are logged. Python's own
    standard error, and the traceback of a process that is killed by a fatal
    signal, still go to the original file. A line that is written while the
    pipe is full is lost.
    """

    def __init__(self) -> None:
        self._read_fd = -1
        self._original_fd = -1
        self._partial_line = b""
        self._python_stderr = sys.stderr

    async def __aenter__(self) -> Self:
        """Redirects the file descriptor into a pipe."""
        self._original_fd = os.dup(STDERR_FD)
        self._read_fd, write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        os.set_blocking(write_fd, False)
        os.dup2(write_fd, STDERR_FD)
        os.close(write_fd)
        self._python_stderr = sys.stderr
        sys.stderr = os.fdopen(
            self._original_fd, "w", buffering=1, closefd=False, errors="replace"
        )
        _move_handlers(self._python_stderr, sys.stderr)
        faulthandler.enable(self._original_fd)
        asyncio.get_running_loop().add_reader(
            self._read_fd, self._read_available
        )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Restores the file descriptor and logs what remains in the pipe."""
        asyncio.get_running_loop().remove_reader(self._read_fd)
        os.dup2(self._original_fd, STDERR_FD)
        self._read_available()
        faulthandler.disable()
        _move_handlers(sys.stderr, self._python_stderr)
        sys.stderr = self._python_stderr
        os.close(self._read_fd)
        os.close(self._original_fd)

    def _read_available(self) -> None:
        try:
            data = os.read(self._read_fd, READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        *lines, partial_line = (self._partial_line + data).split(b"\n")
        self._partial_line = partial_line[:MAX_LINE_BYTES]
        for line in lines:
            _log_line(line[:MAX_LINE_BYTES].decode(errors="replace").strip())


def _log_line(line: str) -> None:
    if not line:
        return
    if _HANDSHAKE_FAILED in line:
        reason = line.partition(_HANDSHAKE_FAILED)[2].strip()
        logger.warning("tls_handshake_failed", extra={"reason": reason})
        return
    logger.info("native_line", extra={"text": line})


def _move_handlers(old: object, new: object) -> None:
    for handler in logging.getLogger().handlers:
        if isinstance(handler, logging.StreamHandler) and handler.stream is old:
            handler.setStream(new)
