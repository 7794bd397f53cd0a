"""Targets with predictable responses, and the faults they inject."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random

from aiohttp import web

from mangotally.standins import server
from mangotally.util import clock as clock_lib
from tests.soak import oracle as oracle_lib
from tests.soak import proxy, workload

SLOTS = 8
MAX_EVENT_MS = 40.0
# Some requests are slow, so that hosts are stopped and killed while they are
# in flight.
SLOW_PROBABILITY = 0.1
SLOW_FACTOR = 6.0
HANG_MS = 4000.0
INVALID_RESPONSE = b"\x00\x9fnot HTTP\r\n\r\n"
LATE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: other\r\n"
    b"Content-Length: 5\r\n\r\nother"
)


@dataclasses.dataclass
class Faults:
    """Probability of each fault, for each request.

    Attributes:
        shed: Refused as not executed.
        drop: Executed, and the connection is reset without a response.
        cut: The connection is reset in the middle of the response; for
            streams half the probability, at each event.
        garble: The response is not valid HTTP.
        wrong_id: The response has the id of another request.
        no_stamp: The response has no stamp.
        late_answer: A second response follows the first.
        fail: Executed, with the response 500.
        hang: Answered only after HANG_MS.
    """

    shed: float = 0.0
    drop: float = 0.0
    cut: float = 0.0
    garble: float = 0.0
    wrong_id: float = 0.0
    no_stamp: float = 0.0
    late_answer: float = 0.0
    fail: float = 0.0
    hang: float = 0.0


class Target(server.StandIn):
    """Executes requests and reports each of them to the oracle.

    Attributes:
        name: The id of the target; a new one after each restart.
        service: The service it belongs to.
        faults: The faults it injects.
        link: The proxy through which hosts reach it.
        is_leaving: Whether its answers say that it is about to stop.
    """

    link: proxy.Link

    def __init__(
        self, number: int, service: str, oracle: oracle_lib.Oracle, seed: int
    ) -> None:
        """Creates a target.

        Args:
            number: Number of the target, part of its id.
            service: The service it belongs to.
            oracle: Receives each execution.
            seed: Seed of the faults and processing times.
        """
        super().__init__()
        self.service = service
        self.faults = Faults()
        self._number = number
        self._oracle = oracle
        self._rng = random.Random(seed)
        self._starts = itertools.count(1)
        self._counts = itertools.count(1)
        self._running = 0
        self._start_ms = 0
        self._version = ""
        self.name = ""
        self.restart(workload.VERSIONS[number % len(workload.VERSIONS)])

    def restart(self, version: str) -> None:
        """Takes a new id and start time, as a restarted process has."""
        self._version = version
        self.is_leaving = False
        self.name = f"t{self._number}-{next(self._starts)}"
        self._start_ms = clock_lib.SystemClock().wall_ms()

    def store_record(self, state: str = "ready") -> dict[str, object]:
        """Returns the record that registers the target in the store."""
        return {
            "Service": self.service,
            "Address": self.link.address,
            "Zone": "z1",
            "Version": self._version,
            "Slots": SLOTS,
            "State": state,
            "ColdRemainingMs": 0,
            "Seq": 1,
            "born": self._start_ms,
        }

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        name = request.headers.get("Request-Id", "")
        body = await request.read()
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"Instance-Id": self.name})
        if self._running >= SLOTS or self._occurs(self.faults.shed):
            return web.Response(
                status=503, headers={"Not-Executed": "1", "Request-Id": name}
            )
        run = self._begin(request, name)
        self._oracle.record_run(
            run, request.method, request.raw_path, request.headers, body
        )
        self._running += 1
        try:
            return await self._answer(request, name, run)
        finally:
            self._running -= 1

    def _begin(self, request: web.Request, name: str) -> oracle_lib.Run:
        stamp = f"{self.name}.{next(self._counts)}"
        is_failure = self._occurs(self.faults.fail)
        is_stream = "Token-Usage" in request.headers
        body = b"failed" if is_failure else workload.plain_body(name, stamp)
        return oracle_lib.Run(
            target=self.name,
            service=self.service,
            stamp=stamp,
            at_ms=self._oracle.clock.now_ms(),
            status=500 if is_failure else 200,
            body=b"" if is_stream and not is_failure else body,
        )

    async def _answer(
        self, request: web.Request, name: str, run: oracle_lib.Run
    ) -> web.StreamResponse:
        faults = self.faults
        if self._occurs(faults.hang):
            run.is_faulty = True
            await asyncio.sleep(clock_lib.to_seconds(HANG_MS))
        if self._occurs(faults.drop):
            self._abort(request, run)
        if self._occurs(faults.garble):
            assert request.transport is not None
            request.transport.write(INVALID_RESPONSE)
            self._abort(request, run)
        headers = {"Request-Id": name, "Server-Stamp": run.stamp}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self._occurs(faults.wrong_id):
            run.is_faulty = True
            headers["Request-Id"] = "other"
        if self._occurs(faults.no_stamp):
            run.is_faulty = True
            del headers["Server-Stamp"]
        if run.status == 200 and "Token-Usage" in request.headers:
            return await self._stream(request, name, headers, run)
        return await self._plain(request, headers, run)

    async def _plain(
        self,
        request: web.Request,
        headers: dict[str, str],
        run: oracle_lib.Run,
    ) -> web.StreamResponse:
        await self._work(SLOW_FACTOR if self._occurs(SLOW_PROBABILITY) else 1.0)
        response = web.StreamResponse(status=run.status, headers=headers)
        framing = self._rng.randrange(3)
        if framing == 0:
            response.enable_chunked_encoding()
        elif framing == 1:
            response.content_length = len(run.body)
        else:
            # No length: the end of the connection ends the response.
            response.force_close()
        await response.prepare(request)
        if self._occurs(self.faults.cut):
            await response.write(run.body[: len(run.body) // 2])
            self._abort(request, run)
        await response.write(run.body)
        await response.write_eof()
        if self._occurs(self.faults.late_answer) and request.transport:
            request.transport.write(LATE_ANSWER)
        return response

    async def _stream(
        self,
        request: web.Request,
        name: str,
        headers: dict[str, str],
        run: oracle_lib.Run,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        stream = request.headers.get("Resumes", name)
        is_slow = self._occurs(SLOW_PROBABILITY)
        # The prompt of a later turn does not tell the versions of earlier ones.
        is_query = request.path.startswith(workload.RequestKind.QUERY.value)
        version = self._version if is_query else workload.FIRST_VERSION
        for number in range(first, workload.event_count(stream) + 1):
            await self._work(SLOW_FACTOR if is_slow else 1.0)
            event = workload.event_bytes(stream, number, version)
            if self._occurs(self.faults.cut / 2):
                await response.write(event[: len(event) // 2])
                self._abort(request, run)
            await response.write(event)
        await response.write_eof()
        return response

    async def _work(self, factor: float = 1.0) -> None:
        work_ms = self._rng.uniform(0.0, MAX_EVENT_MS) * factor
        await asyncio.sleep(clock_lib.to_seconds(work_ms))

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._rng.random() < probability

    def _abort(self, request: web.Request, run: oracle_lib.Run) -> None:
        """Resets the connection.

        Closing it without a reset could look like a complete response.
        """
        run.is_faulty = True
        if request.transport is not None:
            proxy.reset(request.transport)
        raise ConnectionAbortedError
