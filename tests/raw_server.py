"""A TCP server whose behaviour on each connection is set by the test."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_WRITE_BYTES = 16_384


class RawServer:
    """Counts connections and requests; `act` handles each connection."""

    def __init__(
        self,
        act: Callable[
            [RawServer, asyncio.StreamReader, asyncio.StreamWriter],
            Awaitable[None],
        ],
    ) -> None:
        self._act = act
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.sent_bytes = 0
        self.requests: list[bytes] = []
        self.url = ""

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def read_request(self, reader: asyncio.StreamReader) -> bytes:
        """Reads the head and body of one request."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
        self.requests.append(head + body)
        return head + body

    async def send_endlessly(
        self, writer: asyncio.StreamWriter, begin: bytes, repeated: bytes
    ) -> None:
        """Sends some bytes, then others repeatedly until it is closed."""
        writer.write(begin)
        block = repeated * max(1, _WRITE_BYTES // len(repeated))
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            self.sent_bytes += len(block)
            await asyncio.sleep(0)

    async def wait_until_closed(self, timeout_s: float = 1.0) -> None:
        """Waits until no connection is open."""
        if self._tasks:
            _, pending = await asyncio.wait(self._tasks, timeout=timeout_s)
            if pending:
                raise TimeoutError("a connection is still open")

    def close_connections(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                await self._act(self, reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()
