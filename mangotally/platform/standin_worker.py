"""Stand-in of the platform's workers, with fault injection.

A worker is a target: it serves a model or is a plain HTTP server.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from aiohttp import web

from mangotally.platform import headers
from mangotally.standins import faults as faults_lib
from mangotally.standins import server
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

STAMP = "stamp"
FIRST_VERSION = "v1"
# For each kind of endless answer: its first bytes and the bytes that are
# repeated. All kinds but "head" send the status line and usual headers first.
ENDLESS = {
    "head": (b"HTTP/1.1 100 Continue\r\n\r\n", b"\r\n"),
    "body": (b"\r\n", b"x"),
    "event": (b"Content-Type: text/event-stream\r\n\r\n", b"data: x\n"),
    "events": (b"Content-Type: text/event-stream\r\n\r\n", b"data:\n\n"),
}
_ENDLESS_BYTES = 16_384
_NAMES = headers.NAMES


@dataclasses.dataclass
class Faults:
    """Faults that the worker injects.

    Attributes:
        shed: Refuse every request as not executed.
        drop: Close the connection after a request was executed.
        cut_after: Events after which a stream is aborted, or -1.
        wrong_id: Answer with the id of another request.
        no_stamp: Omit the stamp, the target's signature, from answers.
        endless: Kind of endless answer, a key of `ENDLESS`, or empty.
        limit: Requests per second that answers name as the limit, or empty.
        leaving: What answers say of the worker's leaving, or empty.
        resumed_status: Status of a whole answer to requests that continue a
            stream, or 0 for a stream.
        crash_body: Body of the requests that crash the worker, or empty.
    """

    shed: bool = False
    drop: bool = False
    cut_after: int = -1
    wrong_id: bool = False
    no_stamp: bool = False
    endless: str = ""
    limit: str = ""
    leaving: str = ""
    resumed_status: int = 0
    crash_body: str = ""


@dataclasses.dataclass(frozen=True)
class ExecutedRequest:
    """A request that the worker executed.

    Attributes:
        request_id: Id of the request.
        method: HTTP method.
        path: Path and query.
        headers: Headers by name in lower case.
        body: The body.
        at_ms: When it was executed.
    """

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at_ms: float


class StandInWorker(server.StandIn):
    """Executes requests; answers turns of a program with event streams."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int = 4,
        events: int = 3,
        event_ms: float = 2.0,
        version: str = FIRST_VERSION,
        domain: str = "z1",
    ) -> None:
        """Creates a worker.

        Args:
            name: Id of the target.
            service: Service that the target belongs to.
            slots: Maximum number of concurrent requests.
            events: Number of events in a stream.
            event_ms: Time per event, or per plain answer.
            version: Version of its software, which changes what it generates.
            domain: Its failure domain.
        """
        super().__init__()
        self.name = name
        self.service = service
        self.slots = slots
        self.faults = Faults()
        self.executed: list[ExecutedRequest] = []
        self.running = 0
        self.max_running = 0
        self.endless_bytes = 0
        self.events = events
        self.event_ms = event_ms
        self.version = version
        self.domain = domain
        self.cold_ms = 0
        self._clock = clock_lib.SystemClock()

    def registration(self, state: str = "ready") -> dict[str, object]:
        """Returns the record that the worker writes to the store."""
        return {
            "Service": self.service,
            "Address": self.url.removeprefix("http://"),
            "Zone": self.domain,
            "Version": self.version,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": self.cold_ms,
            "Seq": 1,
            "born": 1,
        }

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application(client_max_size=1 << 24)
        faults_lib.add_routes(app, lambda: self.faults)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        name = request.headers.get(_NAMES.request_id, "")
        expected = request.headers.get(_NAMES.expected_target, self.name)
        body = await request.read()
        if expected != self.name:
            return web.Response(
                status=421,
                headers={_NAMES.target: self.name, **self._notice_headers()},
            )
        if self.faults.shed or self.running >= self.slots:
            return web.Response(
                status=503,
                headers={
                    _NAMES.not_run: "1",
                    _NAMES.request_id: name,
                    **self._notice_headers(),
                },
            )
        self.executed.append(
            ExecutedRequest(
                name,
                request.method,
                request.raw_path,
                {key.lower(): each for key, each in request.headers.items()},
                body,
                self._clock.now_ms(),
            )
        )
        if body and body == self.faults.crash_body.encode():
            await self.crash()
        return await self._count_running(lambda: self._run(request, name))

    async def _count_running(
        self, run: Callable[[], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await run()
        finally:
            self.running -= 1

    async def _run(self, request: web.Request, name: str) -> web.StreamResponse:
        if self.faults.drop:
            _abort(request)
        headers_ = {
            _NAMES.request_id: "other" if self.faults.wrong_id else name,
            _NAMES.load: f"{self.running},0,{self.slots}",
            **self._notice_headers(),
        }
        if not self.faults.no_stamp:
            headers_[_NAMES.stamp] = STAMP
        if self.faults.endless:
            await self._send_endlessly(request, headers_)
        if self.faults.resumed_status and _NAMES.last_event in request.headers:
            return web.Response(
                status=self.faults.resumed_status,
                body=b"whole",
                headers=headers_,
            )
        if _NAMES.token_usage in request.headers:
            return await self._stream(request, headers_)
        await asyncio.sleep(clock_lib.to_seconds(self.event_ms))
        return web.Response(body=b"answer", headers=headers_)

    def _notice_headers(self) -> dict[str, str]:
        notices = {
            _NAMES.limit: self.faults.limit,
            _NAMES.leaving: self.faults.leaving,
        }
        return {name: value for name, value in notices.items() if value}

    async def _send_endlessly(
        self, request: web.Request, headers_: dict[str, str]
    ) -> None:
        """Sends until the caller closes the connection."""
        start, unit = ENDLESS[self.faults.endless]
        if self.faults.endless != "head":
            lines = [f"{name}: {value}" for name, value in headers_.items()]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, ""])
            start = head.encode() + start
        transport = request.transport
        block = unit * (_ENDLESS_BYTES // len(unit))
        while transport is not None and not transport.is_closing():
            transport.write(start + block)
            start = b""
            self.endless_bytes += len(block)
            await request.protocol._drain_helper()
            await asyncio.sleep(0)
        raise ConnectionAbortedError

    async def _stream(
        self, request: web.Request, headers_: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers_)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get(_NAMES.last_event, 0)) + 1
        for number in range(first, self.events + 1):
            if number - 1 == self.faults.cut_after:
                await response.write(b"id: 9")
                _abort(request)
                raise ConnectionAbortedError
            await asyncio.sleep(clock_lib.to_seconds(self.event_ms))
            await response.write(event(number, self.version))
        await response.write_eof()
        return response


def event(number: int, version: str = FIRST_VERSION) -> bytes:
    """Returns an event of a stream, as a software version generates it."""
    suffix = "" if version == FIRST_VERSION else f" of {version}"
    return f"id: {number}\ndata: e{number}{suffix}\n\n".encode()


def _abort(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()
