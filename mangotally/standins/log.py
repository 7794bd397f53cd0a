"""Stand-in for the platform's log service.

    POST /streams/{stream}                    -> {"offset": n}
    GET  /streams/{stream}?offset=n&wait_ms=t&max_bytes=b -> {"entries":
        [{"offset", "data"}], "oldest_offset", "next_offset"}

`data` is base64.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses

from aiohttp import web

from mangotally.standins import server
from mangotally.util import clock as clock_lib

MAX_SLICE = 500
MAX_RECORD_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass
class LogFaults:
    """How the log misbehaves.

    Attributes:
        down: Refuses everything.
        delay_ms: Waits before each answer.
        lost_answers: Appends that take effect but are answered with an
            error, counted down.
    """

    down: bool = False
    delay_ms: float = 0.0
    lost_answers: int = 0


class Stream:
    """Records of one stream in memory."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.oldest_offset = 0
        self.changed = asyncio.Condition()

    @property
    def next_offset(self) -> int:
        """Offset that the next append will get."""
        return self.oldest_offset + len(self.records)

    def age_out(self, count: int) -> None:
        """Drops the oldest records."""
        count = min(count, len(self.records))
        del self.records[:count]
        self.oldest_offset += count


class LogStandIn(server.StandIn):
    """Keeps streams in memory."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Makes an empty log."""
        super().__init__(address, port)
        self.streams: dict[str, Stream] = {}
        self.faults = LogFaults()
        self.appends = 0

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application(client_max_size=MAX_RECORD_BYTES)
        app.router.add_post("/streams/{stream}", self._append)
        app.router.add_get("/streams/{stream}", self._read)
        return app

    def stream(self, name: str) -> Stream:
        """Returns a stream, made on first use."""
        return self.streams.setdefault(name, Stream())

    async def _append(self, request: web.Request) -> web.Response:
        data = await request.read()
        if self.faults.down:
            return web.Response(status=503)
        await asyncio.sleep(clock_lib.to_seconds(self.faults.delay_ms))
        stream = self.stream(request.match_info["stream"])
        offset = stream.next_offset
        stream.records.append(data)
        self.appends += 1
        async with stream.changed:
            stream.changed.notify_all()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return web.Response(status=504)
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        offset = int(request.query.get("offset", "0"))
        wait_ms = int(request.query.get("wait_ms", "0"))
        if self.faults.down:
            return web.Response(status=503)
        await asyncio.sleep(clock_lib.to_seconds(self.faults.delay_ms))
        stream = self.stream(request.match_info["stream"])
        if wait_ms:
            await _wait_for(stream, offset, wait_ms)
        if self.faults.down:
            return web.Response(status=503)
        start = max(offset, stream.oldest_offset)
        index = start - stream.oldest_offset
        max_bytes = int(request.query.get("max_bytes", str(MAX_RECORD_BYTES)))
        part = _bounded(stream.records[index : index + MAX_SLICE], max_bytes)
        return web.json_response(
            {
                "entries": [
                    {
                        "offset": start + number,
                        "data": base64.b64encode(data).decode(),
                    }
                    for number, data in enumerate(part)
                ],
                "oldest_offset": stream.oldest_offset,
                "next_offset": stream.next_offset,
            }
        )


def _bounded(found: list[bytes], max_bytes: int) -> list[bytes]:
    """Returns the first records, at least one, up to a size."""
    size_bytes = 0
    for number, data in enumerate(found):
        size_bytes += len(data)
        if number and size_bytes > max_bytes:
            return found[:number]
    return found


async def _wait_for(stream: Stream, offset: int, wait_ms: int) -> None:
    try:
        async with (
            asyncio.timeout(clock_lib.to_seconds(wait_ms)),
            stream.changed,
        ):
            await stream.changed.wait_for(lambda: stream.next_offset > offset)
    except TimeoutError:
        return
