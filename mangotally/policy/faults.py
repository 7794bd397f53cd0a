"""Faults of calls to targets, as observed by the calling host."""

from __future__ import annotations

import dataclasses
import enum

from mangotally import errors
from mangotally.policy import pools


class FaultKind(enum.Enum):
    """Kind of failure of a call to a target.

    Attributes:
        UNREACHABLE: No connection was established within the timeout.
        CONNECTION_REFUSED: Nothing listens at the target's address.
        REFUSED: The target declined the call without starting it.
        REJECTED: The target reported the request itself as invalid.
        ERROR: The target answered with a server error.
        STALLED: The answer made no progress within its timeout.
        BROKEN: The connection closed before the answer was complete.
        CRASHED: The connection closed and the target no longer has the call.
        CROSSED: The answer belongs to another request.
        MALFORMED: The answer cannot be parsed.
        OVERSIZE: The answer is longer than the call allows.
        LOST: The target does not know the call that was to be resumed.
        CANCELLED: The target was told to cancel the call.
        DEADLINE: The deadline of the call has passed.
    """

    UNREACHABLE = "unreachable"
    CONNECTION_REFUSED = "connection-refused"
    REFUSED = "refused"
    REJECTED = "rejected"
    ERROR = "error"
    STALLED = "stalled"
    BROKEN = "broken"
    CRASHED = "crashed"
    CROSSED = "crossed"
    MALFORMED = "malformed"
    OVERSIZE = "oversize"
    LOST = "lost"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"


_NOT_RUN = frozenset(
    {
        FaultKind.UNREACHABLE,
        FaultKind.CONNECTION_REFUSED,
        FaultKind.REFUSED,
        FaultKind.REJECTED,
    }
)
_RESUMABLE = frozenset(
    {
        FaultKind.STALLED,
        FaultKind.BROKEN,
        FaultKind.CROSSED,
        FaultKind.MALFORMED,
    }
)
_PROCESS_ENDED = frozenset({FaultKind.CONNECTION_REFUSED, FaultKind.LOST})
_CALL_ENDS = {
    FaultKind.STALLED: pools.CallEnd.STALLED,
    FaultKind.CRASHED: pools.CallEnd.CRASHED,
    FaultKind.CANCELLED: pools.CallEnd.CANCELLED,
    FaultKind.DEADLINE: pools.CallEnd.CANCELLED,
}
_REPLACES_FIRST_FAULT = frozenset(
    {FaultKind.STALLED, FaultKind.CANCELLED, FaultKind.DEADLINE}
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Failure of one call.

    Attributes:
        kind: Kind of failure.
        detail: Short description for logs and callers.
        retry_after_ms: Time before the target accepts calls again, as stated
            by the target, or None.
    """

    kind: FaultKind
    detail: str
    retry_after_ms: int | None = None

    @property
    def ran(self) -> errors.Ran:
        """Whether the target may have run the call."""
        if self.kind in _NOT_RUN:
            return errors.Ran.NOT_RUN
        return errors.Ran.MAY_HAVE_RUN

    @property
    def is_resumable(self) -> bool:
        """Whether the target may still have the rest of the answer."""
        return self.kind in _RESUMABLE

    @property
    def end(self) -> pools.CallEnd:
        """Outcome of the call as reported to the scheduler."""
        return _CALL_ENDS.get(self.kind, pools.CallEnd.FAILED)


@dataclasses.dataclass(frozen=True)
class TargetTimeouts:
    """Timeouts of calls to a target.

    Attributes:
        connect_ms: Timeout for establishing a connection.
        first_token_ms: Timeout for the first token if the prompt is empty.
        first_token_ms_per_token: Addition to `first_token_ms` for each prompt
            token.
        between_tokens_ms: Timeout between two tokens.
    """

    connect_ms: float
    first_token_ms: float
    first_token_ms_per_token: float
    between_tokens_ms: float

    def first_token_timeout_ms(self, prompt_tokens: int) -> float:
        """Returns the timeout for the first token after a prompt."""
        prompt_ms = prompt_tokens * self.first_token_ms_per_token
        return self.first_token_ms + prompt_ms


def after_resume(first: Fault, second: Fault) -> Fault:
    """Returns the fault to report after an attempt to resume has failed.

    A broken connection by itself may be a network fault. If nothing listens
    at the address any more, or the target does not know the call, the
    target's process has ended.

    Args:
        first: Fault of the call.
        second: Fault of the attempt to resume it.
    """
    if second.kind in _PROCESS_ENDED:
        return Fault(FaultKind.CRASHED, first.detail)
    if second.kind in _REPLACES_FIRST_FAULT:
        return second
    return first
