"""Scheduling in one pool: the targets of a service and their queue."""

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
        organisation: Who pays for it.
        program: The program that it belongs to; one cached prefix each.
        turn: Number of the turn.
        prompt_tokens: Length of the whole prompt.
        max_tokens: Longest answer.
        attained_tokens: Service that the program has received so far.
        share: Weight of the organisation's plan.
        deadline_ms: When the call's time is over, on the pool's clock.
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
    """Whether a target takes new work.

    Attributes:
        LIVE: It does.
        LEAVING: It never will again; calls under way go on.
        BLOCKED: It does not at present, because it has failed.
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
        state: Whether it takes new work.
        slots: Calls that it runs at once.
    """

    target: ids.TargetId
    address: str
    place: ids.FailureDomainId
    state: TargetState
    slots: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What a target says of itself, some time ago.

    Attributes:
        running: Calls in its batch.
        waiting: Calls that it has let in but not begun.
        cached_tokens: Tokens in its prefix cache.
        cache_capacity_tokens: Size of its prefix cache.
        age_ms: How old the report was when it arrived.
    """

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity_tokens: int
    age_ms: float


class CacheEventKind(enum.Enum):
    """What happened to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of a target's prefix cache, perhaps late.

    Attributes:
        sequence: Number of the event at its target; gaps are lost events.
        kind: Stored or evicted.
        program: The program whose prefix it is.
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
    """What the caller of a target reports when a call ends.

    Attributes:
        call: The call.
        end: How it ended.
        cached_tokens: Prompt tokens that the target took from its cache.
        generated_tokens: Tokens generated.
        first_token_ms: Time to the first token, or None if there was none.
    """

    call: ids.CallId
    end: CallEnd
    cached_tokens: int = 0
    generated_tokens: int = 0
    first_token_ms: float | None = None


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """Send a call to a target now."""

    call: ids.CallId
    target: ids.TargetId
    address: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """A waiting call will not run."""

    call: ids.CallId
    detail: str


@dataclasses.dataclass(frozen=True)
class Release:
    """Tell a target to drop a program's prefix, until it confirms."""

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
        """Takes back a call that waits or was dispatched."""

    def finish(self, report: CallReport, now_ms: float) -> None:
        """Reports the end of a dispatched call."""

    def end_program(self, program: ids.ProgramId, now_ms: float) -> None:
        """A program is gone; its prefixes are to be released."""

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId, now_ms: float
    ) -> None:
        """A target has confirmed a release."""

    def observe_load(
        self, target: ids.TargetId, report: LoadReport, now_ms: float
    ) -> None:
        """Takes in a load report."""

    def observe_cache(
        self,
        target: ids.TargetId,
        events: Sequence[CacheEvent],
        now_ms: float,
    ) -> None:
        """Takes in cache events."""

    def advance(self, now_ms: float) -> list[Action]:
        """Returns what has to be done now, in order."""

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Returns when `advance` is due without a new event, or None."""
