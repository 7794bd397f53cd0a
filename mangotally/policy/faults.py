"""Faults of targets, as seen by the host that called them."""

from __future__ import annotations

import dataclasses
import enum

from mangotally import errors
from mangotally.policy import pools


class FaultKind(enum.Enum):
    """What went wrong with a call of a target.

    Attributes:
        UNREACHABLE: No connection could be made in time.
        CONNECTION_REFUSED: Nothing listens at the target's address.
        REFUSED: The target declined the call without beginning it.
        REJECTED: The target calls the request itself wrong.
        ERROR: The target answered with a server error.
        STALLED: The answer made no progress within its limit.
        BROKEN: The connection ended before the answer did.
        CRASHED: The connection ended, and the target has lost the call.
        CROSSED: The answer belongs to another request.
        MALFORMED: The answer cannot be read.
        OVERSIZE: The answer is longer than the call allows.
        LOST: The target no longer knows the call that is to be resumed.
        CANCELLED: The target was told to end the call.
        DEADLINE: The call's time is over.
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
_PROCESS_GONE = frozenset({FaultKind.CONNECTION_REFUSED, FaultKind.LOST})
_ENDS = {
    FaultKind.STALLED: pools.CallEnd.STALLED,
    FaultKind.CRASHED: pools.CallEnd.CRASHED,
    FaultKind.CANCELLED: pools.CallEnd.CANCELLED,
    FaultKind.DEADLINE: pools.CallEnd.CANCELLED,
}
_FINAL = frozenset({FaultKind.STALLED, FaultKind.CANCELLED, FaultKind.DEADLINE})


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of one call.

    Attributes:
        kind: What went wrong.
        detail: A short text for logs and callers.
        retry_after_ms: How long the target wants to be left alone, or None.
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
        """Whether the target may still hold the rest of the answer."""
        return self.kind in _RESUMABLE

    @property
    def end(self) -> pools.CallEnd:
        """How the call ended, for the scheduler."""
        return _ENDS.get(self.kind, pools.CallEnd.FAILED)


@dataclasses.dataclass(frozen=True)
class TargetTimeouts:
    """How long a target may take.

    Attributes:
        connect_ms: Time to make a connection.
        first_token_ms: Time to the first token of an empty prompt.
        first_token_ms_per_token: Added to that for each prompt token.
        between_tokens_ms: Time between tokens.
    """

    connect_ms: float
    first_token_ms: float
    first_token_ms_per_token: float
    between_tokens_ms: float

    def first_token_timeout_ms(self, prompt_tokens: int) -> float:
        """Returns the time to the first token of a prompt."""
        growth_ms = prompt_tokens * self.first_token_ms_per_token
        return self.first_token_ms + growth_ms


def after_resume(first: Fault, second: Fault) -> Fault:
    """Returns what a fault was, after an attempt to resume failed.

    A broken connection alone may be the network's fault. If nothing
    listens any more, or the target has lost the call, its process ended.
    """
    if second.kind in _PROCESS_GONE:
        return Fault(FaultKind.CRASHED, first.detail)
    if second.kind in _FINAL:
        return second
    return first
