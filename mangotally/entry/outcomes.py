"""How attempts at targets end, and what a caller is answered then."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from mangotally.entry import answers, sending
from mangotally.policy import dispatch

if TYPE_CHECKING:
    from mangotally.entry import request_state, slots

# Retry-After when targets rejected the request: a full target is expected to
# have a free slot again after this time.
NOT_RUN_RETRY_MS = 100.0
_SERVER_FAULT = 500


@dataclasses.dataclass(frozen=True)
class StreamEnded:
    """A stream was forwarded completely."""


@dataclasses.dataclass(frozen=True)
class StreamBroken:
    """A stream was interrupted after events had been sent to the caller.

    Attributes:
        reason: What went wrong.
        is_path_lost: Whether this host reaches no target, so that the outcome
            says nothing about this one.
        is_disconnected: Whether the target's connection ended early.
    """

    reason: str
    is_path_lost: bool = False
    is_disconnected: bool = False


AttemptOutcome: TypeAlias = (
    sending.Whole | sending.NotRun | sending.Broken | StreamEnded | StreamBroken
)
Result: TypeAlias = sending.Whole | StreamEnded | StreamBroken | answers.Refusal


def is_unreachable(outcome: sending.NotRun) -> bool:
    """Returns whether a target could not be reached with a request."""
    return not outcome.is_reached and not outcome.is_withheld


def end_reason(outcome: object) -> dispatch.EndReason:
    """Returns what an outcome says of the target, for its dispatcher."""
    match outcome:
        case sending.Whole() if outcome.status >= _SERVER_FAULT:
            return dispatch.EndReason.CANCELLED
        case sending.Whole() | StreamEnded():
            return dispatch.EndReason.DONE
        case sending.NotRun() if outcome.is_reached:
            return dispatch.EndReason.REJECTED
        case sending.Broken() if outcome.is_timeout:
            return dispatch.EndReason.CANCELLED
        case sending.NotRun() if outcome.is_withheld:
            return dispatch.EndReason.CANCELLED
        case sending.NotRun() | sending.Broken() | StreamBroken() if (
            outcome.is_path_lost
        ):
            return dispatch.EndReason.CANCELLED
        case _:
            return dispatch.EndReason.FAILED


def refuse_without_slot(slot: slots.SlotRefusal) -> answers.Refusal:
    """Returns the refusal of a request that gets no slot."""
    detail = f"{slot.reason} by {slot.source}"
    if slot.reason == dispatch.NO_TARGET_OF_VERSION:
        return answers.Refusal(answers.Cause.VERSION_GONE, detail)
    if slot.reason == dispatch.CRASHES_TARGETS:
        return answers.Refusal(
            answers.Cause.CRASHES_TARGETS, detail, slot.retry_after_ms
        )
    return answers.Refusal(answers.Cause.NO_PLACE, detail, slot.retry_after_ms)


def refuse_not_run(outcome: sending.NotRun) -> answers.Refusal:
    """Returns the refusal of a request that no target has run."""
    return answers.Refusal(
        answers.Cause.NOT_RUN, outcome.reason, NOT_RUN_RETRY_MS
    )


def end_after_failure(
    outcome: sending.Broken, state: request_state.RequestState
) -> StreamBroken | answers.Refusal:
    """Returns the end of a request that a target may have run."""
    if state.sent_events:
        return StreamBroken(outcome.reason)
    if outcome.is_timeout:
        return answers.Refusal(answers.Cause.TIMEOUT, outcome.reason)
    return answers.Refusal(answers.Cause.MAY_HAVE_RUN, outcome.reason)
