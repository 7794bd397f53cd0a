"""The HTTP server for callers and operators."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any, Protocol, Self

from aiohttp import web

from mangotally import errors
from mangotally.callers import headers, problems
from mangotally.callers import limits as limits_lib
from mangotally.metrics import recorder
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable, Sequence

    from mangotally.callers import readiness as readiness_lib

logger = logging.getLogger(__name__)

MAX_LINE_BYTES = 8190
MAX_HEADER_BYTES = 8190
IDLE_CHECK_MS = 1000
_NO_ACCESS_LOG: Any = None
BACKLOG = 1024


class RouteGroup(Protocol):
    """A group of routes that can be added to an application."""

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""


class HttpServer:
    """Listens on one address; when stopped, waits for active calls."""

    def __init__(
        self,
        address: str,
        port: int,
        routes: Sequence[RouteGroup],
        limits: limits_lib.ResourceLimiter,
        shutdown_ms: float,
        tls: ssl.SSLContext | None = None,
        measurements: recorder.Recorder | None = None,
        readiness: readiness_lib.Readiness | None = None,
    ) -> None:
        """Creates a server, which starts to listen when it is entered.

        Args:
            address: IP address to listen on.
            port: Port to listen on; 0 for a free one, see `port`.
            routes: The routes to serve.
            limits: Limits on what callers use.
            shutdown_ms: Maximum time to wait for active calls.
            tls: TLS context, or None for plain HTTP.
            measurements: Recorder of metrics, or None to record none.
            readiness: Adds readiness checks to the server if given.
        """
        self._recorder = measurements or recorder.NullRecorder()
        self._address = address
        self._port = port
        self.port = port
        self._tls = tls
        self._limits = limits
        middlewares = [
            self._count_refusals,
            _answer_errors,
            self._track_connection,
        ]
        if readiness is not None:
            middlewares.insert(1, readiness.middleware)
        self._app = web.Application(
            client_max_size=limits.bounds.body_bytes, middlewares=middlewares
        )
        self._app[limits_lib.KEY] = limits
        self._app[recorder.APP_KEY] = self._recorder
        if readiness is not None:
            readiness.attach(self._app)
        for group in routes:
            group.attach(self._app)
        self._shutdown_ms = shutdown_ms
        self._runner: web.AppRunner | None = None
        self._idle_since_ms: dict[web.RequestHandler, float] = {}
        self._active: set[web.RequestHandler] = set()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts listening."""
        runner = web.AppRunner(
            self._app,
            access_log=None,
            shutdown_timeout=clock_lib.to_seconds(self._shutdown_ms),
            handler_cancellation=True,
        )
        await runner.setup()
        self._runner = runner
        self._stack.push_async_callback(runner.cleanup)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._make_connection,
            self._address,
            self._port,
            ssl=self._tls,
            backlog=BACKLOG,
        )
        self._stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]
        sweeper = asyncio.create_task(self._close_idle_periodically())
        self._stack.callback(sweeper.cancel)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops listening, then waits for active calls."""
        await self._stack.aclose()

    def connection_count(self) -> int:
        """Returns the number of open connections."""
        server = self._runner.server if self._runner is not None else None
        return len(server.connections) if server is not None else 0

    def _make_connection(self) -> _Connection:
        assert self._runner is not None
        assert self._runner.server is not None
        return _Connection(
            self._runner.server,
            loop=asyncio.get_running_loop(),
            access_log=_NO_ACCESS_LOG,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    @web.middleware
    async def _count_refusals(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        response = await handler(request)
        reason = response.get(problems.REASON)
        if reason is not None:
            self._recorder.count_refusal(reason)
        return response

    @web.middleware
    async def _track_connection(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self._active.add(request.protocol)
        if len(self._active) > self._limits.bounds.connections:
            response = problems.make_response(_too_many_connections())
            response.force_close()
            return response
        try:
            return await handler(request)
        finally:
            self._limits.release_body(request)

    async def _close_idle_periodically(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(IDLE_CHECK_MS))
            self.close_idle_connections(clock_lib.SystemClock().now_ms())

    def close_idle_connections(self, now_ms: float) -> None:
        """Closes idle connections that are too old or too many.

        A connection is idle until its first request. Those older than
        `head_ms` are closed and, above the limit on connections, the oldest.

        Args:
            now_ms: The current monotonic time.
        """
        assert self._runner is not None
        server = self._runner.server
        found = server.connections if server is not None else []
        self._active.intersection_update(found)
        idle = [item for item in found if item not in self._active]
        self._idle_since_ms = {
            item: self._idle_since_ms.get(item, now_ms) for item in idle
        }
        excess = len(found) - self._limits.bounds.connections
        oldest = sorted(idle, key=lambda item: self._idle_since_ms[item])
        for number, item in enumerate(oldest):
            age_ms = now_ms - self._idle_since_ms[item]
            if age_ms > self._limits.bounds.head_ms or number < excess:
                logger.info("idle_connection_closed", extra={"age_ms": age_ms})
                item.force_close()


class _Connection(web.RequestHandler):
    """A connection that answers malformed requests with a problem too."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that is malformed or failed with an exception."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already been started")
        if status >= 500:
            return problems.make_response(_log_internal_error(request, exc))
        logger.info(
            "request_unreadable",
            extra={"remote": request.remote, "kind": type(exc).__name__},
        )
        response = problems.make_response(
            errors.Failure(
                errors.Reason.BAD_REQUEST,
                "The request line or headers are malformed or too long.",
            )
        )
        response.force_close()
        return response


@web.middleware
async def _answer_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    refusal = headers.check(request)
    if refusal is not None:
        return problems.make_response(refusal)
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        reason = errors.Reason.TOO_LARGE
        detail = "The request body exceeds the size limit."
    except web.HTTPException as error:
        if error.status in (404, 405):
            reason = errors.Reason.NOT_FOUND
            detail = "No route matches this path and method."
        else:
            reason = errors.Reason.BAD_REQUEST
            detail = "The request could not be read."
    except Exception as error:
        if request.writer.output_size > 0:
            raise
        return problems.make_response(_log_internal_error(request, error))
    return problems.make_response(errors.Failure(reason, detail))


def _log_internal_error(
    request: web.BaseRequest, error: BaseException | None
) -> errors.Failure:
    logger.error(
        "request_failed",
        extra={"method": request.method, "kind": type(error).__name__},
        exc_info=error,
    )
    return errors.Failure(
        errors.Reason.INTERNAL,
        "An internal error occurred; the request may have run.",
        errors.Ran.MAY_HAVE_RUN,
    )


def _too_many_connections() -> errors.Failure:
    return errors.Failure(
        errors.Reason.UNAVAILABLE,
        "This host has reached its limit of connections; try again later.",
        retry_after_ms=limits_lib.RETRY_AFTER_MS,
    )
