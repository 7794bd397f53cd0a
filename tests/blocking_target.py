"""A target whose answer and end of connection arrive together."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

WAIT_S = 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class BlockingTarget(threading.Thread):
    """Answers one request and ends the connection before the client reads.

    The client's loop is blocked meanwhile, so that it finds the answer and
    the end of the connection together.
    """

    def __init__(self, answer: bytes, resets: bool) -> None:
        super().__init__(daemon=True)
        self._answer = answer
        self._resets = resets
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._loop = asyncio.get_running_loop()

    def run(self) -> None:
        """Serves one connection."""
        with self._listener:
            connection, _ = self._listener.accept()
        is_blocked = threading.Event()
        is_ended = threading.Event()

        def block() -> None:
            is_blocked.set()
            is_ended.wait(WAIT_S)

        with connection:
            connection.recv(65_536)
            self._loop.call_soon_threadsafe(block)
            is_blocked.wait(WAIT_S)
            connection.sendall(self._answer)
            if self._resets:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        is_ended.set()
