"""Stand-in for a plain service: counts what it runs."""

from __future__ import annotations

import collections

from aiohttp import web

from mangotally.standins import server


class ServiceStandIn(server.StandIn):
    """Answers every call and keeps what it saw."""

    def __init__(self, name: str) -> None:
        """Makes an idle service."""
        super().__init__()
        self.name = name
        self.runs: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.headers: list[dict[str, str]] = []
        self.targets: list[str] = []

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _run(self, request: web.Request) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        call = (request.method, request.path, key)
        self.runs[call] += 1
        self.headers.append(dict(request.headers))
        self.targets.append(request.raw_path)
        return web.json_response(
            {"path": request.path, "runs": self.runs[call]}
        )
