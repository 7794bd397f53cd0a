"""Liveness and readiness checks, and refusal of requests at shutdown.

GET /live  -> 200 as long as the process runs
GET /ready -> 200, or 503 once the host is draining
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from aiohttp import web

from mangotally import errors
from mangotally.callers import problems

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LIVE_PATH = "/live"
READY_PATH = "/ready"
RETRY_AFTER_MS = 1000


class ServingState(enum.Enum):
    """How new requests are handled.

    Attributes:
        SERVING: Accepted.
        DRAINING: Accepted, but the host reports that it is not ready.
        REFUSING: Refused.
    """

    SERVING = "serving"
    DRAINING = "leaving"
    REFUSING = "refusing"


class Readiness:
    """Counts active requests, and refuses new ones during shutdown."""

    def __init__(self) -> None:
        self.state = ServingState.SERVING
        self._active_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def active_requests(self) -> int:
        """Number of active requests."""
        return self._active_requests

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_get(LIVE_PATH, self._live)
        app.router.add_get(READY_PATH, self._ready)

    def start_draining(self) -> None:
        """Reports not ready, so that the balancer stops sending requests."""
        self.state = ServingState.DRAINING

    def refuse_new_requests(self) -> None:
        """Refuses new requests; active ones continue."""
        self.state = ServingState.REFUSING

    async def wait_idle(self) -> None:
        """Waits until no request is active."""
        await self._idle.wait()

    @web.middleware
    async def middleware(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Counts a request and handles it, or refuses it."""
        if request.path in (LIVE_PATH, READY_PATH):
            return await handler(request)
        if self.state is ServingState.REFUSING:
            response: web.StreamResponse = _refuse()
        else:
            response = await self._count(request, handler)
        if self.state is not ServingState.SERVING and not response.prepared:
            response.force_close()
        return response

    async def _count(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self._active_requests += 1
        self._idle.clear()
        try:
            return await handler(request)
        finally:
            self._active_requests -= 1
            if self._active_requests == 0:
                self._idle.set()

    async def _live(self, _request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _ready(self, _request: web.Request) -> web.Response:
        is_ready = self.state is ServingState.SERVING
        return web.json_response(
            {"ready": is_ready, "state": self.state.value},
            status=200 if is_ready else 503,
        )


def _refuse() -> web.Response:
    return problems.make_response(
        errors.Failure(
            errors.Reason.SHUTTING_DOWN,
            "This host is shutting down; send the request again.",
            errors.Ran.NOT_RUN,
            RETRY_AFTER_MS,
        )
    )
