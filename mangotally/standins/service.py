"""Stand-in for a plain service, which counts the calls that it runs.

A request to any path is a call, except for:

    GET  /.well-known/live   health check, not counted
    POST /faults {...}       sets fields of `ServiceFaults`
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses

from aiohttp import web

from mangotally.standins import faults, server
from mangotally.util import clock as clock_lib


@dataclasses.dataclass
class ServiceFaults:
    """Faults that the service simulates.

    Attributes:
        refuse: Answers 503 to every call without running it.
        slow_ms: Delay before a call is run.
        hang_before: Neither runs nor answers a call.
        hang_after: Runs a call but does not answer.
        close_before: Closes the connection without running the call.
        close_after: Runs a call, then closes the connection.
        crash_on: Crashes on a call whose body contains this text.
    """

    refuse: bool = False
    slow_ms: float = 0.0
    hang_before: bool = False
    hang_after: bool = False
    close_before: bool = False
    close_after: bool = False
    crash_on: str = ""


class ServiceStandIn(server.StandIn):
    """Answers every call and records it.

    Attributes:
        run_counts: Number of runs by method, path and idempotency key.
        headers: Headers of all calls that were run.
        raw_paths: Request targets of all calls that were run, as received.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.faults = ServiceFaults()
        self.crashes = 0
        self.run_counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.headers: list[dict[str, str]] = []
        self.raw_paths: list[str] = []

    def application(self) -> web.Application:
        """Returns the aiohttp application to serve."""
        app = web.Application()
        app.router.add_get("/.well-known/live", self._live)
        faults.add_routes(app, lambda: self.faults)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def crash(self) -> None:
        """Stops the server and closes all connections."""
        self.crashes += 1
        await self.stop()

    async def _live(self, _request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        active_faults = self.faults
        body = await request.text()
        if active_faults.refuse:
            return web.Response(status=503)
        if active_faults.crash_on and active_faults.crash_on in body:
            await asyncio.shield(asyncio.create_task(self.crash()))
        if active_faults.hang_before:
            await asyncio.Event().wait()
        if active_faults.close_before:
            return _close(request)
        await asyncio.sleep(clock_lib.to_seconds(active_faults.slow_ms))
        key = request.headers.get("Idempotency-Key", "")
        call = (request.method, request.path, key)
        self.run_counts[call] += 1
        self.headers.append(dict(request.headers))
        self.raw_paths.append(request.raw_path)
        if active_faults.hang_after:
            await asyncio.Event().wait()
        if active_faults.close_after:
            return _close(request)
        return web.json_response(
            {"path": request.path, "runs": self.run_counts[call]}
        )


def _close(request: web.Request) -> web.Response:
    assert request.transport is not None
    request.transport.close()
    return web.Response()
