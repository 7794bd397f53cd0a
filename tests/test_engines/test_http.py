"""Tests of mangotally.engines.http."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from returns import result

from mangotally import ids
from mangotally.engines import channels as channels_lib
from mangotally.engines import client, http
from mangotally.policy import faults, records
from tests import raw_server

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
_LIMITS = faults.TargetTimeouts(200, 100, 0, 100)
_CALL = ids.CallId("c1")


def _request(max_tokens: int = 8) -> client.ChatRequest:
    return client.ChatRequest(
        _CALL,
        ids.OrganisationId("escola"),
        ids.ProgramId("p1"),
        ids.ServiceId("assistente"),
        (records.ChatMessage("user", "hi"),),
        max_tokens,
        5000,
    )


def _event(text: str | None, number: int | None = None, **other: Any) -> bytes:
    choices = [{"index": 0, "delta": {"content": text}}] if text else []
    data = json.dumps({"id": _CALL, "choices": choices, **other})
    prefix = f"id: {number}\n" if number else ""
    return f"{prefix}data: {data}\n\n".encode()


_USAGE = _event(None, usage={"prompt_tokens": 1, "completion_tokens": 2})
_DONE = b"data: [DONE]\n\n"


class HttpEngineClientTest(unittest.IsolatedAsyncioTestCase):
    """Responses of a faulty engine."""

    async def asyncSetUp(self) -> None:
        self.channels = channels_lib.Channels()
        await self.enterAsyncContext(self.channels)
        self.engine = http.HttpEngineClient(self.channels, _LIMITS)

    async def _chat(
        self, *data: bytes, hang: bool = False, max_tokens: int = 8
    ) -> tuple[str, faults.FaultKind | None]:
        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            for item in data:
                writer.write(item)
            await writer.drain()
            if hang:
                await asyncio.Event().wait()

        server = raw_server.RawServer(handle)
        async with server:
            events = self.engine.chat(server.url, _request(max_tokens))
            return await _collect(events)

    async def test_complete_answer(self) -> None:
        """An answer consists of chunks and an end."""
        answer = await self._chat(
            _HEAD, _event("a", 1), _event("b", 2), _USAGE, _DONE
        )
        self.assertEqual(answer, ("ab.", None))

    async def test_no_first_token(self) -> None:
        """An answer without a first token is a stalled call."""
        answer = await self._chat(_HEAD, hang=True)
        self.assertEqual(answer, ("", faults.FaultKind.STALLED))

    async def test_no_headers(self) -> None:
        """A target that accepts but does not answer is a stalled call."""
        answer = await self._chat(hang=True)
        self.assertEqual(answer, ("", faults.FaultKind.STALLED))

    async def test_comments_do_not_count_as_progress(self) -> None:
        """Comments and empty chunks do not prevent the progress timeout."""

        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(_HEAD + _event("a", 1))
            while True:
                writer.write(b": ping\n\n" + _event(None))
                await writer.drain()
                await asyncio.sleep(0.01)

        server = raw_server.RawServer(handle)
        async with server:
            events = self.engine.chat(server.url, _request())
            answer = await _collect(events)
        self.assertEqual(answer, ("a", faults.FaultKind.STALLED))

    async def test_connection_closed_early(self) -> None:
        """A connection that closes before the end gives a `BROKEN` fault."""
        answer = await self._chat(_HEAD, _event("a", 1))
        self.assertEqual(answer, ("a", faults.FaultKind.BROKEN))

    async def test_answer_to_another_request(self) -> None:
        """A chunk of another request is never passed on."""
        other = _event("secret", 2).replace(b'"c1"', b'"c2"')
        answer = await self._chat(_HEAD, _event("a", 1), other)
        self.assertEqual(answer, ("a", faults.FaultKind.CROSSED))

    async def test_malformed(self) -> None:
        """Invalid chunks end the answer with a fault."""
        for invalid in (
            b"data: {\n\n",
            b"data: []\n\n",
            b"data: 7\n\n",
            b'data: {"id": "c1"}\n\n',
            b'data: {"id": "c1", "choices": [{"delta": 3}]}\n\n',
            b'data: {"id": "c1", "choices": [{"delta": {"content": 3}}]}\n\n',
            b"data: " + b"x" * 1_000_000 + b"\n\n",
            _event("late", 9),
            _DONE,
        ):
            with self.subTest(invalid[:40]):
                answer = await self._chat(_HEAD, _event("a", 1), invalid)
                self.assertEqual(answer, ("a", faults.FaultKind.MALFORMED))

    async def test_duplicate_chunks(self) -> None:
        """A chunk that was received before is not passed on again."""
        answer = await self._chat(
            _HEAD, _event("a", 1), _event("a", 1), _USAGE, _DONE
        )
        self.assertEqual(answer, ("a.", None))

    async def test_answer_exceeds_max_tokens(self) -> None:
        """An answer longer than requested ends with a fault."""
        chunks = b"".join(_event("x") for _ in range(20))
        answer = await self._chat(_HEAD, chunks, max_tokens=3)
        self.assertEqual(answer, ("xxx", faults.FaultKind.OVERSIZE))

    async def test_statuses(self) -> None:
        """Each HTTP status maps to its kind of fault."""
        for status, kind in (
            (503, faults.FaultKind.REFUSED),
            (429, faults.FaultKind.REFUSED),
            (500, faults.FaultKind.ERROR),
            (400, faults.FaultKind.REJECTED),
            (302, faults.FaultKind.ERROR),
        ):
            with self.subTest(status):
                head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
                answer = await self._chat(head.encode())
                self.assertEqual(answer, ("", kind))

    async def test_oversize_control_response(self) -> None:
        """An endless response to a control request fails."""

        async def handle(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(_HEAD)
            while True:
                writer.write(b" " * 65536)
                await writer.drain()

        server = raw_server.RawServer(handle)
        async with server:
            outcome = await self.engine.fetch_load(server.url)
        self.assertIsInstance(outcome, result.Failure)
        self.assertIn("oversize", outcome.failure().detail)

    async def test_invalid_load_reports(self) -> None:
        """An invalid load report fails."""
        for body in (
            b"[]",
            b"{}",
            b'{"running": "x"}',
            b"nonsense",
            b"7",
            b"[" * 60_000,
        ):
            with self.subTest(body):

                async def handle(
                    server: raw_server.RawServer,
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    body: bytes = body,
                ) -> None:
                    await server.read_request(reader)
                    writer.write(_HEAD + body)
                    await writer.drain()

                server = raw_server.RawServer(handle)
                async with server:
                    outcome = await self.engine.fetch_load(server.url)
                self.assertIsInstance(outcome, result.Failure)


async def _collect(events: Any) -> tuple[str, faults.FaultKind | None]:
    """Returns the text, with "." appended if it is complete, and any fault."""
    text = ""
    async for event in events:
        match event:
            case result.Success(client.ChatText(chunk)):
                text += chunk
            case result.Success(client.ChatEnd()):
                text += "."
            case _:
                return text, event.failure().kind
    return text, None
