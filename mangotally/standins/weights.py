"""Stand-in for the platform's weight store, with a rate limit.

POST /fetch {"name"} -> {"bytes"}, or 429 with Retry-After
POST /faults {...}   sets fields of `WeightFaults`
"""

from __future__ import annotations

import asyncio
import dataclasses

from aiohttp import web

from mangotally.standins import faults, server

FETCH_BYTES = 1_000_000


@dataclasses.dataclass
class WeightFaults:
    """Faults that the weight store simulates.

    Attributes:
        down: Answers 503 to every request.
        rate_per_s: Maximum fetches per second.
    """

    down: bool = False
    rate_per_s: float = 2.0


class WeightsStandIn(server.StandIn):
    """Records fetches and enforces its rate limit.

    Attributes:
        fetched: Names of the weights that were fetched.
        refused_count: Number of fetches that exceeded the rate.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults = WeightFaults()
        self.fetched: list[str] = []
        self.refused_count = 0
        self._next_s = 0.0

    def application(self) -> web.Application:
        """Returns the aiohttp application to serve."""
        app = web.Application()
        app.router.add_post("/fetch", self._fetch)
        faults.add_routes(app, lambda: self.faults)
        return app

    async def _fetch(self, request: web.Request) -> web.Response:
        if self.faults.down:
            return web.Response(status=503)
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_s:
            self.refused_count += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        self._next_s = now_s + 1 / self.faults.rate_per_s
        self.fetched.append(str((await request.json())["name"]))
        return web.json_response({"bytes": FETCH_BYTES})
