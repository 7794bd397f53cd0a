"""The scheduler interface of a pool: a service's targets and its queue."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class PoolCall:
    """A call that waits for a target.

    Attributes:
        call: Its id.
        organisation: The organisation that is charged for it.
        program: Its program; each program has one cached prefix.
        turn: Number of the turn.
        prompt_tokens: Length of the whole prompt.
        max_tokens: Maximum length of the answer.
        attained_tokens: Tokens of service that the program has received.
        share: Weight of the organisation's plan.
        deadline_ms: Deadline of the call, on the pool's clock.
        digest: Digest of the request, for quarantine.
        excluded: Targets that must not be chosen.
    """

    call: ids.CallId
    organisation: ids.OrganisationId
    program: ids.ProgramId
    turn: int
    prompt_tokens: int
    max_tokens: int
    attained_tokens: int
    share: float
    deadline_ms: float
    digest: str
    excluded: tuple[ids.TargetId, ...] = ()


class TargetState(enum.Enum):
    """Whether a target accepts new calls.

    Attributes:
        LIVE: It accepts calls.
        LEAVING: It is draining: running calls continue, and it will not
            accept calls again.
        BLOCKED: It does not accept calls at present, because it has failed.
    """

    LIVE = "live"
    LEAVING = "leaving"
    BLOCKED = "blocked"


@dataclasses.dataclass(frozen=True)
class TargetInfo:
    """A target of the pool.

    Attributes:
        target: Its id.
        address: Base URL.
        place: Its failure domain.
        state: Whether it accepts new calls.
        slots: Number of calls that it runs concurrently.
    """

    target: ids.TargetId
    address: str
    place: ids.FailureDomainId
    state: TargetState
    slots: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """A target's report of its own load, possibly delayed.

    Attributes:
        running: Calls in its batch.
        waiting: Calls that it has accepted but not started.
        cached_tokens: Tokens in its prefix cache.
        cache_capacity_tokens: Capacity of its prefix cache.
        age_ms: Age of the report on arrival.
    """

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity_tokens: int
    age_ms: float


class CacheEventKind(enum.Enum):
    """Kinds of changes of a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of a target's prefix cache, possibly delayed.

    Attributes:
        sequence: Sequence number at its target; a gap means lost events.
        kind: Stored or evicted.
        program: The program that the prefix belongs to.
        tokens: Length of the prefix.
    """

    sequence: int
    kind: CacheEventKind
    program: ids.ProgramId
    tokens: int


class CallEnd(enum.Enum):
    """How a dispatched call ended."""

    DONE = "done"
    FAILED = "failed"
    STALLED = "stalled"
    CRASHED = "crashed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class CallReport:
    """The report of a dispatched call that has ended.

    Attributes:
        call: The call.
        end: How it ended.
        cached_tokens: Prompt tokens served from the target's cache.
        generated_tokens: Tokens generated.
        first_token_ms: Time to first token, or None if there was none.
    """

    call: ids.CallId
    end: CallEnd
    cached_tokens: int = 0
    generated_tokens: int = 0
    first_token_ms: float | None = None


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """The action of sending a call to a target."""

    call: ids.CallId
    target: ids.TargetId
    address: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The action of refusing a waiting call."""

    call: ids.CallId
    detail: str


@dataclasses.dataclass(frozen=True)
class Release:
    """The action of asking a target to drop a program's prefix.

    The action is repeated until the target confirms the release.
    """

    target: ids.TargetId
    program: ids.ProgramId


Action = Dispatch | Refuse | Release


class Scheduler(Protocol):
    """Decides where and when the calls of one pool run.

    Every method takes the current time in milliseconds; none reads a clock.
    """

    def set_targets(self, targets: Sequence[TargetInfo], now_ms: float) -> None:
        """Replaces the targets of the pool."""

    def submit(self, call: PoolCall, now_ms: float) -> None:
        """Adds a call to the queue."""

    def cancel(self, call: ids.CallId, now_ms: float) -> None:
        """Cancels a waiting or dispatched call."""

    def finish(self, report: CallReport, now_ms: float) -> None:
        """Records the end of a dispatched call."""

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """Starts to release the prefixes of a program that has ended."""

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """Records that a target has confirmed a release."""

    def observe_load(
        self, target: ids.TargetId, report: LoadReport, now_ms: float
    ) -> None:
        """Applies a target's load report."""

    def observe_cache(
        self,
        target: ids.TargetId,
        events: Sequence[CacheEvent],
        now_ms: float,
    ) -> None:
        """Applies a target's cache events."""

    def advance(self, now_ms: float) -> list[Action]:
        """Returns the actions to execute now, in order."""

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Returns when `advance` is due if no event occurs, or None."""
