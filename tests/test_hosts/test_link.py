"""Tests of the streams between hosts."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from typing import TYPE_CHECKING, Any, Self

import grpc.aio
from returns import result

from mangotally import errors, ids
from mangotally.hosts import (
    frames,
    hosts_pb2,
    hosts_pb2_grpc,
    link,
    messages,
    router,
)
from mangotally.standins import platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MESSAGE = messages.TakeTokens(ids.OrganisationId("o"), 1)
ANSWER = messages.TokensTaken(held_ms=0)


class TcpProxy:
    """A TCP proxy that can stop forwarding on its open connections."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._forwarding_flags: list[list[bool]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1")
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    def stop_forwarding(self) -> None:
        """Stops forwarding on open connections; later ones work."""
        for flag in self._forwarding_flags:
            flag[0] = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        is_forwarding = [True]
        self._forwarding_flags.append(is_forwarding)
        self._writers += [writer, server_writer]
        for source, sink in ((reader, server_writer), (server_reader, writer)):
            task = asyncio.create_task(_copy(source, sink, is_forwarding))
            self._tasks.add(task)


async def _copy(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    is_forwarding: list[bool],
) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await source.read(65536):
            if is_forwarding[0]:
                sink.write(data)
                await sink.drain()


def make_router() -> router.Router:
    """Returns a router with a handler that works and one that raises."""

    async def admit(_: Any) -> errors.Outcome[Any]:
        return result.Success(ANSWER)

    async def fail(_: Any) -> errors.Outcome[Any]:
        raise ZeroDivisionError

    handlers = router.Router()
    handlers.add_unary(messages.TakeTokens, admit)
    handlers.add_unary(messages.HandOver, fail)
    return handlers


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Calls over a link with faults."""

    async def asyncSetUp(self) -> None:
        self.port = platform.free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        server = link.Server(make_router(), self.address)
        await self.enterAsyncContext(server)

    async def test_silent_connection_is_replaced(self) -> None:
        """A call on a connection that drops all data fails; the next works."""
        async with (
            TcpProxy(self.port) as proxy,
            link.Link(proxy.address) as client,
        ):
            self.assertEqual(
                await link.first_answer(client.stream(MESSAGE), 5000),
                result.Success(ANSWER),
            )
            proxy.stop_forwarding()
            async for outcome in client.stream(MESSAGE):
                self.assertIs(outcome.failure().ran, errors.Ran.MAY_HAVE_RUN)
            self.assertEqual(
                await link.first_answer(client.stream(MESSAGE), 5000),
                result.Success(ANSWER),
            )

    async def test_failing_handler_is_reported(self) -> None:
        """A handler that raises gives a failure, and the link stays usable."""
        async with link.Link(self.address) as client:
            failing_request = messages.HandOver(
                MESSAGE.organisation, ids.Offset(0)
            )
            with self.assertLogs("mangotally.hosts.link", "ERROR"):
                lost = await link.first_answer(
                    client.stream(failing_request), 5000
                )
            self.assertIs(lost.failure().reason, errors.Reason.INTERNAL)
            retried = await link.first_answer(client.stream(MESSAGE), 5000)
            self.assertEqual(retried, result.Success(ANSWER))

    async def test_invalid_frames_are_refused(self) -> None:
        """Unknown types and invalid bodies give a failure and a log line."""
        invalid = [
            hosts_pb2.Frame(call_id=1, kind=1, type="Nothing", body=b"{}"),
            hosts_pb2.Frame(call_id=2, kind=1, type="TakeTokens", body=b"\xff"),
            hosts_pb2.Frame(call_id=3, kind=1, type="TakeTokens", body=b"[]"),
        ]
        async with grpc.aio.insecure_channel(self.address) as channel:
            call = hosts_pb2_grpc.HostsStub(channel).Exchange()
            with self.assertLogs("mangotally.hosts.link", "WARNING") as logs:
                await call.write(hosts_pb2.Batch(frames=invalid))
                answers = await _read_frames(call, 2 * len(invalid))
            call.cancel()
        self.assertEqual(len(logs.records), len(invalid))
        kinds = [f.type for f in answers if f.kind == hosts_pb2.Frame.ITEM]
        self.assertEqual(kinds, ["Failure"] * len(invalid))


class FrameWriterTest(unittest.IsolatedAsyncioTestCase):
    """Frames for a peer that does not read."""

    async def test_full_queue_ends_stream(self) -> None:
        """The queue stays bounded, and the stream is ended once."""
        full_calls = []
        never_set = asyncio.Event()

        async def write(_: Any) -> None:
            await never_set.wait()

        writer = frames.FrameWriter(
            write, lambda: full_calls.append(True), max_bytes=1000
        )
        writer_task = asyncio.create_task(writer.run())
        for number in range(500):
            writer.put(number, hosts_pb2.Frame.REQUEST, MESSAGE)
            if number == 1:
                await asyncio.sleep(0)
        writer_task.cancel()
        self.assertEqual(full_calls, [True])
        self.assertLess(writer.queued_bytes, 2000)


async def _read_frames(call: Any, count: int) -> list[Any]:
    read: list[Any] = []
    batches: AsyncIterator[Any] = call
    async for batch in batches:
        read += batch.frames
        if len(read) >= count:
            return read
    return read


if __name__ == "__main__":
    unittest.main()
