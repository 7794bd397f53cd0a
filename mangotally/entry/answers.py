"""Answers of this system's own, and what they promise."""

from __future__ import annotations

import dataclasses
import enum
import json

from aiohttp import web

from mangotally.util import clock as clock_lib


class Cause(enum.Enum):
    """Why a request got no answer of a target; stable, for logs."""

    NO_CONFIGURATION = "no-configuration"
    STALE_CONFIGURATION = "stale-configuration"
    NO_ROUTE = "no-route"
    BAD_KEY = "bad-key"
    TOO_LARGE = "too-large"
    BAD_REQUEST = "bad-request"
    OVER_RATE = "over-rate"
    RATE_UNKNOWN = "rate-unknown"
    BUDGET_SPENT = "budget-spent"
    BUDGET_UNKNOWN = "budget-unknown"
    NO_TURN = "no-turn"
    TURN_UNKNOWN = "turn-unknown"
    NO_PLACE = "no-place"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    TIMEOUT = "timeout"
    LEAVING = "leaving"


_STATUS = {
    Cause.NO_CONFIGURATION: 503,
    Cause.STALE_CONFIGURATION: 503,
    Cause.NO_ROUTE: 404,
    Cause.BAD_KEY: 401,
    Cause.TOO_LARGE: 413,
    Cause.BAD_REQUEST: 400,
    Cause.OVER_RATE: 429,
    Cause.RATE_UNKNOWN: 503,
    Cause.BUDGET_SPENT: 402,
    Cause.BUDGET_UNKNOWN: 503,
    Cause.NO_TURN: 404,
    Cause.TURN_UNKNOWN: 503,
    Cause.NO_PLACE: 503,
    Cause.NOT_RUN: 503,
    Cause.MAY_HAVE_RUN: 502,
    Cause.TIMEOUT: 504,
    Cause.LEAVING: 503,
}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An answer of this system's own.

    Attributes:
        cause: Decides the status; 503, 429, 402 and 408 say that the
            request has not run and never will.
        detail: Inputs of the decision, for logs.
        retry_after_ms: When a later try makes sense, or None.
    """

    cause: Cause
    detail: str = ""
    retry_after_ms: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return _STATUS[self.cause]

    def response(self, request_id_name: str, request_id: str) -> web.Response:
        """Returns the answer for the caller."""
        headers = {request_id_name: request_id} if request_id else {}
        if self.retry_after_ms is not None:
            seconds = clock_lib.to_seconds(self.retry_after_ms)
            headers["Retry-After"] = f"{seconds:.3f}"
        return web.Response(
            status=self.status,
            headers=headers,
            body=json.dumps({"error": self.cause.value}).encode(),
            content_type="application/json",
        )
