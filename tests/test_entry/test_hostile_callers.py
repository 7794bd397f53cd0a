"""Callers that misbehave can't end a host or block the others.

A host runs as a process of its own. While a crowd of such callers stays
connected, its memory and its descriptors stay bounded, and an ordinary request
is served. Nothing here depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import resource
import tempfile
import unittest
from typing import TYPE_CHECKING, Any

import aiohttp

from mangotally.platform import standin_store, standin_worker
from tests import entry_fleet
from tests.soak import processes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

# Memory of the smallest machine, and a lowered limit of descriptors, of which
# a quarter is left for targets, the store and other hosts.
MAX_MEMORY_KB = 136 * 1024
DESCRIPTORS = 512
MAX_OPEN = DESCRIPTORS * 3 // 4
MAX_BODY_BYTES = 4 * 1024 * 1024
OVERSIZE_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 64 * 1024
SMALL_PIECE_BYTES = 100
SMALL_PIECES = 200
CROWD_S = 4.0
BYTE_PAUSE_S = 0.01
# The store shares a loop with the crowd, and may answer late.
WITHDRAWN_KEY_MS = 5000.0
TRIES = 8
TRY_PAUSE_S = 0.5
SERVED = 200


def _configuration() -> dict[str, Any]:
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return entry_fleet.configuration(Limits=limits)


def _head(path: str, *lines: str) -> bytes:
    fields = (
        f"POST {path} HTTP/1.1",
        f"Host: {entry_fleet.HOST}",
        "Request-Id: hostile",
        "Deadline-Ms: 3000",
        f"Authorization: Bearer {entry_fleet.KEY}",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode()


def _announced(path: str, size_bytes: int) -> Iterator[bytes]:
    """Yields a request that stops one byte short of its end."""
    yield _head(path, f"Content-Length: {size_bytes}")
    left = size_bytes - 1
    while left:
        piece = min(PIECE_BYTES, left)
        yield b"x" * piece
        left -= piece


def _chunked(path: str, size_bytes: int) -> Iterator[bytes]:
    """Yields a request in chunks, small ones first, without the last one."""
    yield _head(path, "Transfer-Encoding: chunked")
    for _ in range(SMALL_PIECES):
        yield _chunk(SMALL_PIECE_BYTES)
    for _ in range(size_bytes // PIECE_BYTES - 1):
        yield _chunk(PIECE_BYTES)


def _chunk(size_bytes: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size_bytes, b"x" * size_bytes)


def _sent_ahead() -> Iterator[bytes]:
    """Yields whole requests, as many as are taken."""
    while True:
        yield 100 * _head(entry_fleet.LOOKUP, "Content-Length: 0")


def _short_fields() -> Iterator[bytes]:
    """Yields requests within the size of a head, of very many fields."""
    lines = [f"a{number % 10}:b" for number in range(2500)]
    while True:
        yield _head(entry_fleet.LOOKUP, *lines, "Content-Length: 0")


def _endless_head() -> Iterator[bytes]:
    yield _head(entry_fleet.LOOKUP).removesuffix(b"\r\n")
    for number in itertools.count():
        yield b"field-%d: %s\r\n" % (number, b"x" * 8000)


def _single_bytes() -> Iterator[bytes]:
    """Yields a head byte by byte; its last one never comes."""
    for value in _head(entry_fleet.LOOKUP, f"field: {'x' * 4000}")[:-1]:
        yield bytes([value])


class _Crowd:
    """Connections that stay open until the crowd is left."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._writers: list[asyncio.StreamWriter] = []

    async def send(
        self, pieces: list[Iterator[bytes]], pause_s: float = 0.0
    ) -> None:
        """Sends on a connection each, for a time or until it is closed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_S):
                await asyncio.gather(
                    *(self._send(each, pause_s) for each in pieces)
                )

    async def _send(self, pieces: Iterator[bytes], pause_s: float) -> None:
        with contextlib.suppress(OSError):
            # What is answered stays unread.
            reader, writer = await asyncio.open_connection(
                self._host, self._port, limit=1
            )
            self._writers.append(writer)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
            await asyncio.sleep(CROWD_S)
            del reader

    def close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


class HostileCallersTest(unittest.IsolatedAsyncioTestCase):
    """A host bears callers that misbehave."""

    async def asyncSetUp(self) -> None:
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store = await stack.enter_async_context(standin_store.StandInStore())
        store.put("keyed.op", "config", _configuration())
        self.worker = standin_worker.StandInWorker("d0", entry_fleet.DESK)
        await stack.enter_async_context(self.worker)
        record = self.worker.registration()
        store.put("keyed.servers", self.worker.name, record)
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        address = store.url.removeprefix("http://")
        self.host = processes.HostProcess(
            0, address, pathlib.Path(folder), WITHDRAWN_KEY_MS
        )
        with _limited_descriptors():
            self.host.start()
        stack.callback(self.host.kill)
        await self._serve_one()

    async def test_bodies_one_byte_short(self) -> None:
        await self._check(
            [_announced(entry_fleet.LOOKUP, MAX_BODY_BYTES) for _ in range(60)]
        )

    async def test_bodies_in_chunks(self) -> None:
        await self._check(
            [_chunked(entry_fleet.LOOKUP, MAX_BODY_BYTES) for _ in range(60)]
        )

    async def test_announced_bodies_over_the_limit(self) -> None:
        await self._check(
            [_announced(entry_fleet.LOOKUP, OVERSIZE_BYTES) for _ in range(60)]
        )

    async def test_chunked_bodies_over_the_limit(self) -> None:
        await self._check(
            [_chunked(entry_fleet.LOOKUP, OVERSIZE_BYTES) for _ in range(60)]
        )

    async def test_bodies_without_a_route(self) -> None:
        await self._check(
            [_announced("/none/", MAX_BODY_BYTES) for _ in range(300)]
        )

    async def test_requests_sent_ahead(self) -> None:
        await self._check([_sent_ahead() for _ in range(300)])

    async def test_very_many_short_fields(self) -> None:
        await self._check([_short_fields() for _ in range(100)])

    async def test_heads_without_an_end(self) -> None:
        await self._check([_endless_head() for _ in range(100)])

    async def test_heads_byte_by_byte(self) -> None:
        await self._check(
            [_single_bytes() for _ in range(100)], pause_s=BYTE_PAUSE_S
        )

    async def test_bodies_at_the_readiness_address(self) -> None:
        await self._check(
            [_announced("/readyz", MAX_BODY_BYTES) for _ in range(100)],
            self.host.readiness_url.removesuffix("/readyz"),
        )

    async def test_more_connections_than_descriptors(self) -> None:
        await self._check([iter(()) for _ in range(2 * DESCRIPTORS)])

    async def test_a_large_body_is_served_in_calm(self) -> None:
        """Both with an announced length and in chunks."""
        body = os.urandom(MAX_BODY_BYTES)

        async def chunks() -> AsyncIterator[bytes]:
            for begin in range(0, MAX_BODY_BYTES, PIECE_BYTES):
                yield body[begin : begin + PIECE_BYTES]

        for data in (body, chunks()):
            self.assertEqual(await self._send_ordinary(data), SERVED)
            self.assertTrue(self.worker.executed[-1].body == body)

    async def _check(
        self,
        crowd: list[Iterator[bytes]],
        url: str | None = None,
        pause_s: float = 0.0,
    ) -> None:
        """Checks a host while a crowd sends, and as it stays connected."""
        address = (url or self.host.url).removeprefix("http://")
        pid = self.host.pid
        async with self._watch_descriptors(pid) as most_open:
            callers = _Crowd(address)
            try:
                await callers.send(crowd, pause_s)
                await self._serve_one()
            finally:
                callers.close()
        self.assertTrue(self.host.is_running)
        self.assertEqual(self.host.pid, pid)
        self.assertLessEqual(_peak_memory_kb(pid), MAX_MEMORY_KB)
        self.assertLessEqual(most_open[0], MAX_OPEN)

    async def _serve_one(self) -> None:
        """Sends an ordinary request, as often as a patient caller does."""
        for _ in range(TRIES):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with asyncio.timeout(5.0):
                    if await self._send_ordinary() == SERVED:
                        return
            await asyncio.sleep(TRY_PAUSE_S)
        self.fail("no ordinary request is served")

    async def _send_ordinary(
        self, data: bytes | AsyncIterator[bytes] = b"in"
    ) -> int:
        headers = {
            "Host": entry_fleet.HOST,
            "Request-Id": "ordinary",
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {entry_fleet.KEY}",
            "Connection": "close",
        }
        async with self.session.post(
            self.host.url + entry_fleet.LOOKUP, headers=headers, data=data
        ) as response:
            await response.read()
            return response.status

    @contextlib.asynccontextmanager
    async def _watch_descriptors(self, pid: int) -> AsyncIterator[list[int]]:
        """Counts the open descriptors of a process, and keeps the most."""
        most_open = [0]

        async def watch() -> None:
            while True:
                count = len(os.listdir(f"/proc/{pid}/fd"))
                most_open[0] = max(most_open[0], count)
                await asyncio.sleep(0.1)

        task = asyncio.create_task(watch())
        try:
            yield most_open
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


@contextlib.contextmanager
def _limited_descriptors() -> Iterator[None]:
    """Limits the descriptors of processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 4096), hard))


def _peak_memory_kb(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError("the process has no memory")
