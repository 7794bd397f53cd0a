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
    """Calls against a target that closes at each step."""

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

    async def test_nothing_listens(self) -> None:
        """A refused connection means that the call has not run."""
        server = raw_server.RawServer(_close_at_once)
        async with server:
            pass
        self.assertIs(await self._run(server), errors.Ran.NOT_RUN)

    async def test_close_before_reading(self) -> None:
        """Once connected, bytes may have been read."""
        async with raw_server.RawServer(_close_at_once) as server:
            ran = await self._run(server)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(server.connections, 1)

    async def test_close_after_request(self) -> None:
        """No method is sent again by the library."""
        for method in ("POST", "DELETE", "PUT", "GET"):
            with self.subTest(method):

                async def act(
                    server: raw_server.RawServer,
                    reader: asyncio.StreamReader,
                    _: asyncio.StreamWriter,
                ) -> None:
                    await server.read_request(reader)

                server = raw_server.RawServer(act)
                async with server:
                    ran = await self._run(server, method)
                self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)
                self.assertEqual(len(server.requests), 1)

    async def test_close_within_answer(self) -> None:
        """An answer that breaks off is no answer."""

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(_ANSWER[:-1])
            await writer.drain()

        server = raw_server.RawServer(act)
        async with server:
            ran = await self._run(server)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(len(server.requests), 1)

    async def test_connection_goes_silent(self) -> None:
        """Non-idempotent calls never share a connection with others."""

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(_ANSWER)
            await writer.drain()
            await reader.read()

        server = raw_server.RawServer(act)
        async with server:
            self.assertIsNone(await self._run(server))
            self.assertIsNone(await self._run(server))
        self.assertEqual(server.connections, 2)

    async def test_silent_target(self) -> None:
        """A target that never answers may have run the call."""

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            _: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            await asyncio.Event().wait()

        server = raw_server.RawServer(act)
        async with server:
            ran = await self._run(server, timeout_ms=50)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)

    async def test_endless_answer(self) -> None:
        """An endless answer is cut at the limit."""

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()

        server = raw_server.RawServer(act)
        async with server:
            ran = await self._run(server)
        self.assertIs(ran, errors.Ran.MAY_HAVE_RUN)


async def _close_at_once(
    _server: raw_server.RawServer,
    _reader: asyncio.StreamReader,
    _writer: asyncio.StreamWriter,
) -> None:
    return
