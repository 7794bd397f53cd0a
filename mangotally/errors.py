"""Failures that are returned as values.

Functions whose failure is an expected outcome return a
`returns.result.Result` whose error is a `Failure`. Exceptions are reserved
for broken invariants.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias, TypeVar

from returns import result

T = TypeVar("T")


class Ran(enum.Enum):
    """Whether a failed request was executed by its target."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Why a request failed.

    The values are part of the API: callers' programs and metrics rely on them.
    """

    BAD_REQUEST = "bad-request"
    UNAUTHORISED = "unauthorised"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    TURN_GAP = "turn-gap"
    TOO_LARGE = "too-large"
    OVER_RATE = "over-rate"
    OVER_BUDGET = "over-budget"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    MOVED = "moved"
    UNAVAILABLE = "unavailable"
    LOG_UNAVAILABLE = "log-unavailable"
    TARGET_FAILED = "target-failed"
    SHUTTING_DOWN = "shutting-down"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


HTTP_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORISED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.TURN_GAP: 409,
    Reason.TOO_LARGE: 413,
    Reason.OVER_RATE: 429,
    Reason.OVER_BUDGET: 402,
    Reason.DEADLINE: 504,
    Reason.QUARANTINED: 422,
    Reason.MOVED: 503,
    Reason.UNAVAILABLE: 503,
    Reason.LOG_UNAVAILABLE: 503,
    Reason.TARGET_FAILED: 502,
    Reason.SHUTTING_DOWN: 503,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True)
class Failure:
    """A refused or failed request.

    Attributes:
        reason: The kind of failure; it determines the HTTP status.
        detail: A human-readable explanation for the caller.
        ran: Whether the request was executed.
        retry_after_ms: Delay after which a retry is useful, or None.
    """

    reason: Reason
    detail: str
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return HTTP_STATUS[self.reason]


Outcome: TypeAlias = result.Result[T, Failure]


def failed(
    reason: Reason,
    detail: str,
    ran: Ran = Ran.NOT_RUN,
    retry_after_ms: int | None = None,
) -> result.Result[T, Failure]:
    """Returns a failed outcome."""
    return result.Failure(Failure(reason, detail, ran, retry_after_ms))


def home_moved(ran: Ran = Ran.NOT_RUN) -> result.Result[T, Failure]:
    """Returns the failure of a call to a host that is no longer the home."""
    return failed(Reason.MOVED, "The home has moved.", ran)


class InvariantError(Exception):
    """A broken invariant; the process is stopped."""
