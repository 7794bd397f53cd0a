"""Messages between hosts about slots at targets."""

from __future__ import annotations

from mangotally import ids
from mangotally.entry import entry_pb2
from mangotally.policy import dispatch


def place_request(
    service: ids.ServiceId, request: dispatch.QueuedRequest, now_ms: float
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
    )


def queued_request(
    request: entry_pb2.PlaceRequest, now_ms: float
) -> dispatch.QueuedRequest:
    """Returns the request of a call for a slot."""
    return dispatch.QueuedRequest(
        ticket=dispatch.Ticket(request.ticket),
        host=ids.HostId(request.host),
        failure_domain=ids.FailureDomainId(request.failure_domain),
        priority=request.priority,
        is_new=request.is_new,
        due_ms=now_ms + request.due_in_ms,
        deadline_ms=now_ms + request.deadline_in_ms,
        session=request.session,
        excluded=frozenset(ids.TargetId(each) for each in request.excluded),
        connected=frozenset(ids.TargetId(each) for each in request.connected),
    )


def finished(message: entry_pb2.FinishedPlace) -> dispatch.Finished:
    """Returns the report that a request has ended at its target."""
    return dispatch.Finished(
        dispatch.Ticket(message.ticket),
        ids.TargetId(message.target),
        dispatch.EndReason(message.end),
        message.run_ms,
        message.units,
    )
