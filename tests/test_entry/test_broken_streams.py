"""Streams that break off, and whose next target answers with an error."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from mangotally.platform import standin_worker
from tests import entry_fleet
from tests.entry_fleet import HOST, KEY, QUERY

if TYPE_CHECKING:
    from aiohttp import web

EVENTS = 4
FIRST_PART = 2
ATTEMPTS = 3
# What a target does with a request; other numbers are the status of a whole
# answer.
BREAK_OFF = 0
GO_ON = 1


class _ScriptedWorker(standin_worker.StandInWorker):
    """A target that does what a script says next, whichever target it is."""

    def __init__(self, name: str, script: list[int]) -> None:
        super().__init__(name, entry_fleet.MODEL, events=EVENTS)
        self._script = script

    async def _run(self, request: web.Request, name: str) -> web.StreamResponse:
        step = self._script.pop(0)
        self.faults.cut_after = FIRST_PART if step == BREAK_OFF else -1
        self.faults.resumed_status = step if step > GO_ON else 0
        return await super()._run(request, name)


class BrokenStreamTest(unittest.IsolatedAsyncioTestCase):
    """The caller sees nothing but events, and no end that was not made."""

    async def asyncSetUp(self) -> None:
        self.script: list[int] = []
        self.fleet = entry_fleet.EntryFleet(hosts=1)
        self.fleet.models = [
            _ScriptedWorker(f"m{number}", self.script)
            for number in range(ATTEMPTS)
        ]
        await self.enterAsyncContext(self.fleet)
        await self._allow_attempts(ATTEMPTS)

    async def _allow_attempts(self, count: int) -> None:
        configuration = entry_fleet.configuration(2)
        for route in configuration["Routes"]:
            route["MaxAttempts"] = count
        self.fleet.store.put("keyed.op", "config", configuration)
        cache = self.fleet.hosts[0]._configuration_cache

        def is_applied() -> bool:
            found = cache.configuration
            return found is not None and found.version == 2

        await entry_fleet.wait_for(is_applied)

    async def _stream(self) -> bytes:
        """Returns all bytes of an answer, as they came."""
        address = self.fleet.urls[0].removeprefix("http://")
        name, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(name, int(port))
        headers = {
            "Host": HOST,
            "Request-Id": "a",
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}",
            "Program-Id": "p1",
            "Token-Budget": "100000",
            "Token-Usage": "5,50",
            "Program-Deadline-Ms": "5000",
            "Content-Length": "0",
            "Connection": "close",
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"POST {QUERY} HTTP/1.1", *lines, "\r\n"])
        writer.write(head.encode())
        received = b""
        try:
            while data := await reader.read(65536):
                received += data
        except ConnectionError:
            pass
        finally:
            writer.close()
        return received

    # The error's head and text were written into the stream.
    async def test_an_error_of_the_next_target_is_not_passed_on(self) -> None:
        for status in (500, 404, 200, 204):
            self.script[:] = [BREAK_OFF, status, status]
            received = await self._stream()
            head, _, body = received.partition(b"\r\n\r\n")
            with self.subTest(status=status):
                self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
                self.assertNotIn(b"HTTP/1.1", body)
                self.assertNotIn(b"whole", body)
                self.assertIn(standin_worker.event(FIRST_PART), body)
                self.assertFalse(body.endswith(b"0\r\n\r\n"))
            await asyncio.sleep(1.0)

    async def test_goes_on_at_a_target_that_resumes(self) -> None:
        self.script[:] = [BREAK_OFF, 500, GO_ON]
        received = await self._stream()
        self.assertEqual(self.script, [])
        for number in range(1, EVENTS + 1):
            self.assertEqual(received.count(standin_worker.event(number)), 1)
        self.assertTrue(received.endswith(b"0\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
