"""A TCP proxy on the loopback interface that injects network faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from typing import TYPE_CHECKING, Self

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import random

READ_BYTES = 65536
# SO_LINGER with a timeout of 0: closing the socket sends a TCP reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """The direction in which data is forwarded."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class _Pipe:
    """A connection of a client and its connection to the server."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.is_black_holed = False

    def reset(self) -> None:
        for writer in self._writers:
            reset(writer.transport)


class Link:
    """A proxy that listens on an address of its own and forwards to a server.

    Attributes:
        name: Name for logs.
        server: Address of the server.
        address: Address on which the proxy listens, while entered.
        delay_ms: Delay of each chunk of data.
        refuses_connections: Whether new connections are reset.
    """

    def __init__(
        self, name: str, server: tuple[str, int], source: str = "127.0.0.1"
    ) -> None:
        """Creates a link; entering it starts to listen.

        Args:
            name: Name for logs.
            server: Address of the server.
            source: Source address of the connections to the server.
        """
        self.name = name
        self.server = server
        self.address = ""
        self.delay_ms = 0.0
        self.refuses_connections = False
        self._source = source
        self._delivering = {each: asyncio.Event() for each in Direction}
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server
        self.release()

    async def __aenter__(self) -> Self:
        self._listener = await asyncio.start_server(
            self._accept, "127.0.0.1", 0
        )
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold(self, *directions: Direction) -> None:
        """Stops delivery in these directions until release() is called."""
        for each in directions:
            self._delivering[each].clear()

    def release(self) -> None:
        """Delivers the held data and resumes delivery."""
        for each in self._delivering.values():
            each.set()

    def reset(self, fraction: float, rng: random.Random) -> None:
        """Resets a random fraction of the open connections."""
        for pipe in self._sample(fraction, rng):
            pipe.reset()

    def black_hole(self, fraction: float, rng: random.Random) -> None:
        """Forwards no more data on a random fraction of the connections.

        The connections stay open; heal() does not restore them.
        """
        for pipe in self._sample(fraction, rng):
            pipe.is_black_holed = True

    def heal(self) -> None:
        """Ends all faults except those of black-holed connections."""
        self.delay_ms = 0.0
        self.refuses_connections = False
        self.release()

    def _sample(self, fraction: float, rng: random.Random) -> list[_Pipe]:
        return [each for each in self._pipes if rng.random() < fraction]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # asyncio streams log a cancelled connection handler as an error.
            pass
        finally:
            self._tasks.discard(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses_connections:
            reset(writer.transport)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self.server, local_addr=(self._source, 0)
            )
        except OSError:
            reset(writer.transport)
            return
        pipe = _Pipe(writer, server_writer)
        self._pipes.add(pipe)
        try:
            await asyncio.gather(
                self._forward(pipe, Direction.TO_SERVER, reader, server_writer),
                self._forward(pipe, Direction.TO_CLIENT, server_reader, writer),
            )
        except OSError:
            pipe.reset()
        finally:
            self._pipes.discard(pipe)
            writer.close()
            server_writer.close()

    async def _forward(
        self,
        pipe: _Pipe,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(READ_BYTES):
            await self._wait_for_delivery(pipe, direction)
            writer.write(chunk)
            await writer.drain()
        await self._wait_for_delivery(pipe, direction)
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

    async def _wait_for_delivery(
        self, pipe: _Pipe, direction: Direction
    ) -> None:
        if self.delay_ms:
            await asyncio.sleep(clock_lib.to_seconds(self.delay_ms))
        await self._delivering[direction].wait()
        if pipe.is_black_holed:
            await asyncio.get_running_loop().create_future()


def reset(transport: asyncio.WriteTransport | asyncio.Transport) -> None:
    """Closes a connection with a reset."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
