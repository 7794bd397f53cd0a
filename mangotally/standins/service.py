"""Stand-in for a plain service: counts what it runs.

Any path is a call, but for these:

    GET  /.well-known/live   answers, and counts nothing
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
    """How the service misbehaves.

    Attributes:
        refuse: Answers 503 to every call without running it.
        slow_ms: Waits before it runs a call.
        hang_before: Never runs a call, and never answers.
        hang_after: Runs a call, and never answers.
        close_before: Closes the connection instead of running a call.
        close_after: Runs a call, then closes the connection.
        crash_on: Crashes at a call whose body contains this text.
    """

    refuse: bool = False
    slow_ms: float = 0.0
    hang_before: bool = False
    hang_after: bool = False
    close_before: bool = False
    close_after: bool = False
    crash_on: str = ""


class ServiceStandIn(server.StandIn):
    """Answers every call and keeps what it saw."""

    def __init__(self, name: str) -> None:
        """Makes an idle service."""
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
        """Returns the application to serve."""
        app = web.Application()
        app.router.add_get("/.well-known/live", self._live)
        faults.add_routes(app, lambda: self.faults)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def crash(self) -> None:
        """Drops all connections and listens no longer."""
        self.crashes += 1
        await self.stop()

    async def _live(self, _request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        shown = self.faults
        body = await request.text()
        if shown.refuse:
            return web.Response(status=503)
        if shown.crash_on and shown.crash_on in body:
            await asyncio.shield(asyncio.create_task(self.crash()))
        if shown.hang_before:
            await asyncio.Event().wait()
        if shown.close_before:
            return _close(request)
        await asyncio.sleep(clock_lib.to_seconds(shown.slow_ms))
        key = request.headers.get("Idempotency-Key", "")
        call = (request.method, request.path, key)
        self.run_counts[call] += 1
        self.headers.append(dict(request.headers))
        self.raw_paths.append(request.raw_path)
        if shown.hang_after:
            await asyncio.Event().wait()
        if shown.close_after:
            return _close(request)
        return web.json_response(
            {"path": request.path, "runs": self.run_counts[call]}
        )


def _close(request: web.Request) -> web.Response:
    assert request.transport is not None
    request.transport.close()
    return web.Response()
