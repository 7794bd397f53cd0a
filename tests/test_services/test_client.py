"""Tests of mangotally.services.client."""

from __future__ import annotations

import asyncio
import unittest

from returns import result

from mangotally import errors, ids
from mangotally.engines import channels as channels_lib
from mangotally.hosts import messages
from mangotally.services import client as service_client
from tests import raw_server

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _call(method: str = "POST") -> messages.RunCall:
    return messages.RunCall(
        ids.OrganisationId("escola"),
        "k1",
        None,
        ids.ServiceId("balcao"),
        method,
        "/deposits",
        (),
        "e30=",
        5000,
    )


class ServiceClientTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a target that closes the connection at various points."""

    async def asyncSetUp(self) -> None:
        self.channels = channels_lib.Channels()
        await self.enterAsyncContext(self.channels)
        self.client = service_client.ServiceClient(self.channels, 500)

    async def _run(
        self,
        server: raw_server.RawServer,
        method: str = "POST",
        is_repeatable: bool = False,
        timeout_ms: float = 5000,
    ) -> errors.Ran | None:
        outcome = await self.client.call(
            server.url, _call(method), is_repeatable, timeout_ms
        )
        if isinstance(outcome, result.Success):
            return None
        return outcome.failure().ran

    async def test_connection_refused(self) -> None:
        """If the connection is refused, the call has not run."""
        server = raw_server.RawServer(_close_at_once)
        async with server:
            pass
        self.assertIs(await self._run(server), errors.Ran.NOT_RUN)

    async def test_close_before_reading(self) -> None:
        """Once a connection is established, the call may have run."""
        async with raw_server.RawServer(_close_at_once) as server:
            ran = await self._run(server)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(server.connections, 1)

    async def test_close_after_request(self) -> None:
        """No method of request is sent again by aiohttp."""
        for method in ("POST", "DELETE", "PUT", "GET"):
            with self.subTest(method):

                async def handle(
                    server: raw_server.RawServer,
                    reader: asyncio.StreamReader,
                    _: asyncio.StreamWriter,
                ) -> None:
                    await server.read_request(reader)

                server = raw_server.RawServer(handle)
                async with server:
                    ran = await self._run(server, method)
                self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)
                self.assertEqual(len(server.requests), 1)

    async def test_close_within_response(self) -> None:
        """An incomplete response is a failure."""

        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(_ANSWER[:-1])
            await writer.drain()

        server = raw_server.RawServer(handle)
        async with server:
            ran = await self._run(server)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(len(server.requests), 1)

    async def test_connections_are_not_reused(self) -> None:
        """Non-idempotent calls never reuse a connection."""

        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(_ANSWER)
            await writer.drain()
            await reader.read()

        server = raw_server.RawServer(handle)
        async with server:
            self.assertIsNone(await self._run(server))
            self.assertIsNone(await self._run(server))
        self.assertEqual(server.connections, 2)

    async def test_target_does_not_answer(self) -> None:
        """If the target never answers, the call may have run."""

        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            _: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            await asyncio.Event().wait()

        server = raw_server.RawServer(handle)
        async with server:
            ran = await self._run(server, timeout_ms=50)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)

    async def test_endless_response(self) -> None:
        """An endless response fails at the size limit."""

        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()

        server = raw_server.RawServer(handle)
        async with server:
            ran = await self._run(server)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)


async def _close_at_once(
    _server: raw_server.RawServer,
    _reader: asyncio.StreamReader,
    _writer: asyncio.StreamWriter,
) -> None:
    return
