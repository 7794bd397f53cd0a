"""Tests of mangotally.entry.caller_connections."""

from __future__ import annotations

import asyncio
import unittest

from tests import entry_fleet

BODY_BYTES = 400_000
REQUESTS = 3
# Hosts have read a change of the configuration by then.
READ_S = 0.5


class RequestsAheadTest(unittest.IsolatedAsyncioTestCase):
    """Whole requests that are sent ahead are served in order."""

    async def test_bodies_larger_than_a_head_may_be(self) -> None:
        body = b"x" * BODY_BYTES
        limits = {"MaxBodyBytes": BODY_BYTES}
        async with entry_fleet.EntryFleet(hosts=1) as fleet:
            changed = entry_fleet.configuration(2, Limits=limits)
            fleet.store.put("keyed.op", "config", changed)
            await asyncio.sleep(READ_S)
            address = fleet.urls[0].removeprefix("http://")
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in range(REQUESTS):
                writer.write(_head(number, len(body)) + body)
            for number in range(REQUESTS):
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b"200 OK", head)
                self.assertIn(b"ahead-%d" % number, head)
                await reader.readexactly(len(b"answer"))
            writer.close()
            self.assertTrue(all(run.body == body for run in fleet.runs()))


def _head(number: int, size_bytes: int) -> bytes:
    lines = (
        f"POST {entry_fleet.LOOKUP} HTTP/1.1",
        f"Host: {entry_fleet.HOST}",
        f"Request-Id: ahead-{number}",
        f"Authorization: Bearer {entry_fleet.KEY}",
        f"Content-Length: {size_bytes}",
    )
    return "\r\n".join((*lines, "", "")).encode()
