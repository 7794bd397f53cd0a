"""A loopback TCP proxy that delays, resets, holds or silences connections."""

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
# Closing a socket with this option sends a reset.
_RESET = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Which way bytes go."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class _Pipe:
    """The two connections of one client."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.is_silent = False

    def reset(self) -> None:
        for writer in self._writers:
            reset(writer.transport)


class Link:
    """Carries connections from an address of its own to a server.

    Attributes:
        name: For logs.
        server: Where connections are carried to.
        address: Where it listens, while entered.
        delay_ms: Time that each piece of data is held.
        refuses_connections: Whether new connections are reset.
    """

    def __init__(
        self, name: str, server: tuple[str, int], source: str = "127.0.0.1"
    ) -> None:
        """Makes a link; entering it listens.

        Args:
            name: For logs.
            server: Where connections are carried to.
            source: Address that the server sees as the client's.
        """
        self.name = name
        self.server = server
        self.address = ""
        self.delay_ms = 0.0
        self.refuses_connections = False
        self._source = source
        self._flows = {each: asyncio.Event() for each in Direction}
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
        """Delivers nothing in these directions until released."""
        for each in directions:
            self._flows[each].clear()

    def release(self) -> None:
        """Delivers what was held, and carries on."""
        for each in self._flows.values():
            each.set()

    def reset(self, share: float, chance: random.Random) -> None:
        """Resets a share of the open connections."""
        for pipe in self._choose(share, chance):
            pipe.reset()

    def black_hole(self, share: float, chance: random.Random) -> None:
        """Carries nothing more on a share of the open connections."""
        for pipe in self._choose(share, chance):
            pipe.is_silent = True

    def heal(self) -> None:
        """Ends all faults but those of connections already silent."""
        self.delay_ms = 0.0
        self.refuses_connections = False
        self.release()

    def _choose(self, share: float, chance: random.Random) -> list[_Pipe]:
        return [each for each in self._pipes if chance.random() < share]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # The streams of asyncio report a cancelled handler as an error.
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
            far_reader, far_writer = await asyncio.open_connection(
                *self.server, local_addr=(self._source, 0)
            )
        except OSError:
            reset(writer.transport)
            return
        pipe = _Pipe(writer, far_writer)
        self._pipes.add(pipe)
        try:
            await asyncio.gather(
                self._carry(pipe, Direction.TO_SERVER, reader, far_writer),
                self._carry(pipe, Direction.TO_CLIENT, far_reader, writer),
            )
        except OSError:
            pipe.reset()
        finally:
            self._pipes.discard(pipe)
            writer.close()
            far_writer.close()

    async def _carry(
        self,
        pipe: _Pipe,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(READ_BYTES):
            await self._wait(pipe, direction)
            writer.write(chunk)
            await writer.drain()
        await self._wait(pipe, direction)
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

    async def _wait(self, pipe: _Pipe, direction: Direction) -> None:
        if self.delay_ms:
            await asyncio.sleep(clock_lib.to_seconds(self.delay_ms))
        await self._flows[direction].wait()
        if pipe.is_silent:
            await asyncio.get_running_loop().create_future()


def reset(transport: asyncio.WriteTransport | asyncio.Transport) -> None:
    """Closes a connection with a reset."""
    found = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    transport.abort()
