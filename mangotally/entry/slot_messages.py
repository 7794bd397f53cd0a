"""Messages between hosts about slots at targets."""

from __future__ import annotations

import math

from mangotally import ids
from mangotally.entry import entry_pb2
from mangotally.policy import (
    crash_histories,
    dispatch,
    target_closures,
    target_limits,
)


def place_request(
    service: ids.ServiceId,
    request: dispatch.QueuedRequest,
    crash_history: entry_pb2.CrashHistory,
    now_ms: float,
) -> entry_pb2.PlaceRequest:
    """Returns the call for a slot; its times are relative to `now_ms`."""
    return entry_pb2.PlaceRequest(
        service=service,
        ticket=request.ticket,
        host=request.host,
        failure_domain=request.failure_domain,
        priority=request.priority,
        is_new=request.is_new,
        due_in_ms=request.due_ms - now_ms,
        deadline_in_ms=request.deadline_ms - now_ms,
        session=request.session,
        excluded=sorted(request.excluded),
        connected=sorted(request.connected),
        version=request.version,
        crash_history=crash_history,
        units=request.units,
    )


def queued_request(
    request: entry_pb2.PlaceRequest, now_ms: float
) -> dispatch.QueuedRequest:
    """Returns the request of a call for a slot."""
    return dispatch.QueuedRequest(
        ticket=ids.Ticket(request.ticket),
        host=ids.HostId(request.host),
        failure_domain=ids.FailureDomainId(request.failure_domain),
        priority=request.priority,
        is_new=request.is_new,
        due_ms=now_ms + request.due_in_ms,
        deadline_ms=now_ms + request.deadline_in_ms,
        session=request.session,
        excluded=frozenset(ids.TargetId(each) for each in request.excluded),
        connected=frozenset(ids.TargetId(each) for each in request.connected),
        version=(
            ids.SoftwareVersion(request.version)
            if request.HasField("version")
            else None
        ),
        digest=crash_histories.RequestDigest(request.crash_history.digest),
        units=_amount(request.units),
    )


def place_reply(
    decision: dispatch.Placed | dispatch.Refused | None,
) -> entry_pb2.PlaceReply:
    """Returns the reply to a call for a slot; None if it is still queued."""
    match decision:
        case None:
            return entry_pb2.PlaceReply(outcome=entry_pb2.PlaceReply.WAITING)
        case dispatch.Placed():
            return entry_pb2.PlaceReply(
                outcome=entry_pb2.PlaceReply.PLACED,
                target=decision.target,
                waited_ms=decision.waited_ms,
            )
        case dispatch.Refused():
            return entry_pb2.PlaceReply(
                outcome=entry_pb2.PlaceReply.REFUSED,
                retry_after_ms=decision.retry_after_ms,
                reason=decision.reason,
            )


def finished_place(finished: dispatch.Finished) -> entry_pb2.FinishedPlace:
    """Returns the message that a request has ended at its target."""
    return entry_pb2.FinishedPlace(
        ticket=finished.ticket,
        target=finished.target,
        end=finished.end.value,
        run_ms=finished.run_ms,
        units=finished.units,
    )


def finished(message: entry_pb2.FinishedPlace) -> dispatch.Finished:
    """Returns the report that a request has ended at its target."""
    return dispatch.Finished(
        ids.Ticket(message.ticket),
        ids.TargetId(message.target),
        dispatch.EndReason(message.end),
        message.run_ms,
        message.units,
    )


def target_limit(
    observation: target_limits.Observation, now_ms: float
) -> entry_pb2.TargetLimit:
    """Returns the message about the limit of a target."""
    return entry_pb2.TargetLimit(
        target=observation.target,
        born_ms=observation.born_ms,
        limit_per_s=observation.limit_per_s,
        age_ms=now_ms - observation.at_ms,
    )


def limit_observation(
    message: entry_pb2.TargetLimit, now_ms: float
) -> target_limits.Observation:
    """Returns the observation in a message about the limit of a target."""
    has_limit = message.HasField("limit_per_s")
    return target_limits.Observation(
        ids.TargetId(message.target),
        message.born_ms,
        message.limit_per_s if has_limit else None,
        now_ms - message.age_ms,
    )


def target_leaving(
    notice: target_closures.LeavingNotice, now_ms: float
) -> entry_pb2.TargetLeaving:
    """Returns the message about a target that is about to stop."""
    return entry_pb2.TargetLeaving(
        target=notice.target,
        born_ms=notice.born_ms,
        age_ms=now_ms - notice.at_ms,
    )


def leaving_notice(
    message: entry_pb2.TargetLeaving, now_ms: float
) -> target_closures.LeavingNotice:
    """Returns the notice in a message about a target that is leaving."""
    return target_closures.LeavingNotice(
        ids.TargetId(message.target),
        message.born_ms,
        now_ms - message.age_ms,
    )


def _amount(value: float) -> float:
    """Returns a number of at least 0; another one counts as unknown."""
    return value if math.isfinite(value) and value > 0.0 else 0.0
