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

MAX_PAGE_RECORDS = 500
MAX_RECORD_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass
class LogFaults:
    """Faults that the log service simulates.

    Attributes:
        down: Answers 503 to every request.
        delay_ms: Delay of each response.
        lost_answers: Number of following appends that take effect but are
            answered with an error.
        appends_per_s: Maximum appends per second over all streams, further
            ones are answered with 429; 0 for no limit.
        keep_records: Records retained per stream; 0 for all.
        keep_ms: Retention time of records; 0 for unlimited.
    """

    down: bool = False
    delay_ms: float = 0.0
    lost_answers: int = 0
    appends_per_s: float = 0.0
    keep_records: int = 0
    keep_ms: float = 0.0


class Stream:
    """In-memory records of one stream."""

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
        """Appends a record; returns its offset."""
        offset = self.next_offset
        self.records.append(data)
        self._times.append((offset, now_ms))
        return offset

    def apply_retention(self, faults: LogFaults, now_ms: float) -> None:
        """Drops the records that exceed the retention limits."""
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
        """Drops up to `count` of the oldest records."""
        count = max(0, min(count, len(self.records)))
        del self.records[:count]
        self.oldest_offset += count


class LogStandIn(server.StandIn):
    """Serves log streams from memory."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(address, port)
        self.streams: dict[str, Stream] = {}
        self.faults = LogFaults()
        self.append_count = 0
        self._recent_appends_ms: collections.deque[float] = collections.deque()

    def application(self) -> web.Application:
        """Returns the aiohttp application to serve."""
        app = web.Application(client_max_size=MAX_RECORD_BYTES)
        app.router.add_post("/streams/{stream}", self._append)
        app.router.add_get("/streams/{stream}", self._read)
        faults.add_routes(app, lambda: self.faults)
        return app

    def stream(self, name: str) -> Stream:
        """Returns a stream, which is created on first use."""
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
        while (
            self._recent_appends_ms
            and self._recent_appends_ms[0] <= now_ms - clock_lib.MS_PER_S
        ):
            self._recent_appends_ms.popleft()
        if len(self._recent_appends_ms) >= self.faults.appends_per_s:
            return True
        self._recent_appends_ms.append(now_ms)
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
        page = _limit_size(
            stream.records[index : index + MAX_PAGE_RECORDS], max_bytes
        )
        return web.json_response(
            {
                "entries": [
                    {
                        "offset": start + number,
                        "data": base64.b64encode(data).decode(),
                    }
                    for number, data in enumerate(page)
                ],
                "oldest_offset": stream.oldest_offset,
                "next_offset": stream.next_offset,
            }
        )


def _limit_size(stream_records: list[bytes], max_bytes: int) -> list[bytes]:
    """Returns the first records up to a total size, at least one if any."""
    size_bytes = 0
    for number, data in enumerate(stream_records):
        size_bytes += len(data)
        if number and size_bytes > max_bytes:
            return stream_records[:number]
    return stream_records


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
