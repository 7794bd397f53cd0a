"""The HTTP server for callers."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Protocol, Self

from aiohttp import web

from mangotally import errors
from mangotally.callers import problems
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

logger = logging.getLogger(__name__)


class Routes(Protocol):
    """A group of routes."""

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""


class HttpServer:
    """Listens on one address; stopping finishes calls under way."""

    def __init__(
        self,
        address: str,
        port: int,
        routes: Sequence[Routes],
        max_body_bytes: int,
        shutdown_ms: float,
    ) -> None:
        """Makes a server; it listens on entering it."""
        self._address = address
        self._port = port
        self._app = web.Application(
            client_max_size=max_body_bytes, middlewares=[_answer_errors]
        )
        for group in routes:
            group.attach(self._app)
        self._shutdown_ms = shutdown_ms
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        runner = web.AppRunner(
            self._app,
            access_log=None,
            shutdown_timeout=clock_lib.to_seconds(self._shutdown_ms),
            handler_cancellation=True,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, self._address, self._port)
        await site.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to listen, then waits for calls under way."""
        await self._stack.aclose()


@web.middleware
async def _answer_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        reason = errors.Reason.TOO_LARGE
        detail = "The request body is too large."
    except web.HTTPException as error:
        if error.status in (404, 405):
            reason = errors.Reason.NOT_FOUND
            detail = "There is no such route."
        else:
            reason = errors.Reason.BAD_REQUEST
            detail = "The request cannot be read."
    return problems.response_of(errors.Failure(reason, detail))
