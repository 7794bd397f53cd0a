"""Lines that native libraries write to standard error, as log events."""

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
_HANDSHAKE = "Handshake failed"


class StderrCapture:
    """Owns standard error's descriptor while the process serves.

    Native code writes into a pipe, whose lines are logged. Python's own
    standard error, and the trace of a process that dies of a signal, go to
    the descriptor as it was. A line that finds the pipe full is lost.
    """

    def __init__(self) -> None:
        """Makes the owner; entering it redirects the descriptor."""
        self._read_fd = -1
        self._kept_fd = -1
        self._rest = b""
        self._python_stderr = sys.stderr

    async def __aenter__(self) -> Self:
        """Redirects the descriptor into a pipe."""
        self._kept_fd = os.dup(STDERR_FD)
        self._read_fd, write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        os.set_blocking(write_fd, False)
        os.dup2(write_fd, STDERR_FD)
        os.close(write_fd)
        self._python_stderr = sys.stderr
        sys.stderr = os.fdopen(
            self._kept_fd, "w", buffering=1, closefd=False, errors="replace"
        )
        _move_handlers(self._python_stderr, sys.stderr)
        faulthandler.enable(self._kept_fd)
        asyncio.get_running_loop().add_reader(self._read_fd, self._read)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Puts the descriptor back and logs what is left in the pipe."""
        asyncio.get_running_loop().remove_reader(self._read_fd)
        os.dup2(self._kept_fd, STDERR_FD)
        self._read()
        faulthandler.disable()
        _move_handlers(sys.stderr, self._python_stderr)
        sys.stderr = self._python_stderr
        os.close(self._read_fd)
        os.close(self._kept_fd)

    def _read(self) -> None:
        try:
            data = os.read(self._read_fd, READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        *lines, rest = (self._rest + data).split(b"\n")
        self._rest = rest[:MAX_LINE_BYTES]
        for line in lines:
            _log(line[:MAX_LINE_BYTES].decode(errors="replace").strip())


def _log(line: str) -> None:
    if not line:
        return
    if _HANDSHAKE in line:
        reason = line.partition(_HANDSHAKE)[2].strip()
        logger.warning("tls_handshake_failed", extra={"reason": reason})
        return
    logger.info("native_line", extra={"text": line})


def _move_handlers(old: object, new: object) -> None:
    for handler in logging.getLogger().handlers:
        if isinstance(handler, logging.StreamHandler) and handler.stream is old:
            handler.setStream(new)
