"""Stand-in for the platform's log service.

    POST /streams/{stream}                    -> {"offset": n}
    GET  /streams/{stream}?offset=n&wait_ms=t&max_bytes=b -> {"entries":
        [{"offset", "data"}], "oldest_offset", "next_offset"}

    POST /faults {...}  sets fields of `LogFaults`

`data` is base64.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses

from aiohttp import web

from mangotally.standins import faults, server
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
        appends_per_s: Appends a second over all streams; more are answered
            with 429. 0 for no limit.
        keep_records: Records kept of each stream; 0 for all.
        keep_ms: How long records are kept; 0 for ever.
    """

    down: bool = False
    delay_ms: float = 0.0
    lost_answers: int = 0
    appends_per_s: float = 0.0
    keep_records: int = 0
    keep_ms: float = 0.0


class Stream:
    """Records of one stream in memory."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.oldest_offset = 0
        self._times: list[tuple[int, float]] = []
        self.changed = asyncio.Condition()

    @property
    def next_offset(self) -> int:
        """Offset that the next append will get."""
        return self.oldest_offset + len(self.records)

    def append(self, data: bytes, now_ms: float) -> int:
        """Adds a record; returns its offset."""
        offset = self.next_offset
        self.records.append(data)
        self._times.append((offset, now_ms))
        return offset

    def apply_retention(self, faults: LogFaults, now_ms: float) -> None:
        """Drops records that are kept no longer."""
        if faults.keep_records:
            self.drop_oldest(len(self.records) - faults.keep_records)
        if faults.keep_ms:
            old = [
                offset
                for offset, time_ms in self._times
                if time_ms < now_ms - faults.keep_ms
            ]
            if old:
                self.drop_oldest(old[-1] + 1 - self.oldest_offset)
                del self._times[: len(old)]

    def drop_oldest(self, count: int) -> None:
        """Drops the oldest records."""
        count = max(0, min(count, len(self.records)))
        del self.records[:count]
        self.oldest_offset += count


class LogStandIn(server.StandIn):
    """Keeps streams in memory."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Makes an empty log."""
        super().__init__(address, port)
        self.streams: dict[str, Stream] = {}
        self.faults = LogFaults()
        self.append_count = 0
        self._recent: collections.deque[float] = collections.deque()

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application(client_max_size=MAX_RECORD_BYTES)
        app.router.add_post("/streams/{stream}", self._append)
        app.router.add_get("/streams/{stream}", self._read)
        faults.add_routes(app, lambda: self.faults)
        return app

    def stream(self, name: str) -> Stream:
        """Returns a stream, made on first use."""
        return self.streams.setdefault(name, Stream())

    async def _append(self, request: web.Request) -> web.Response:
        data = await request.read()
        if self.faults.down:
            return web.Response(status=503)
        await asyncio.sleep(clock_lib.to_seconds(self.faults.delay_ms))
        now_ms = _now_ms()
        if self._is_over_rate(now_ms):
            return web.Response(status=429, headers={"Retry-After": "1"})
        stream = self.stream(request.match_info["stream"])
        offset = stream.append(data, now_ms)
        stream.apply_retention(self.faults, now_ms)
        self.append_count += 1
        async with stream.changed:
            stream.changed.notify_all()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return web.Response(status=504)
        return web.json_response({"offset": offset})

    def _is_over_rate(self, now_ms: float) -> bool:
        if not self.faults.appends_per_s:
            return False
        while self._recent and self._recent[0] <= now_ms - clock_lib.MS_PER_S:
            self._recent.popleft()
        if len(self._recent) >= self.faults.appends_per_s:
            return True
        self._recent.append(now_ms)
        return False

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
        stream.apply_retention(self.faults, _now_ms())
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


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * clock_lib.MS_PER_S


async def _wait_for(stream: Stream, offset: int, wait_ms: int) -> None:
    try:
        async with (
            asyncio.timeout(clock_lib.to_seconds(wait_ms)),
            stream.changed,
        ):
            await stream.changed.wait_for(lambda: stream.next_offset > offset)
    except TimeoutError:
        return
