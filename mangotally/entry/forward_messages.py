"""Messages between hosts about forwarded requests and their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import multidict

from mangotally.entry import entry_pb2, model, sending

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mangotally import ids

_ENCODING = "utf-8"
_ERRORS = "surrogateescape"


def forward_request(
    target: ids.TargetId,
    request: sending.Outgoing,
    headers: multidict.CIMultiDict[str],
    remaining_ms: float,
) -> entry_pb2.ForwardRequest:
    """Returns the call for sending a request to a target."""
    return entry_pb2.ForwardRequest(
        target=target,
        request=request.id,
        method=request.method,
        path=request.path.encode(_ENCODING, _ERRORS),
        headers=_header_messages(headers.items()),
        body=request.body,
        deadline_in_ms=remaining_ms,
    )


def outgoing(
    request: entry_pb2.ForwardRequest,
    now_ms: float,
    on_headers: Callable[[multidict.CIMultiDictProxy[str]], None],
) -> sending.Outgoing:
    """Returns the request of a call; its deadline is relative to `now_ms`."""
    return sending.Outgoing(
        model.RequestId(request.request),
        request.method,
        request.path.decode(_ENCODING, _ERRORS),
        multidict.CIMultiDict(read_headers(request.headers)),
        request.body,
        now_ms + request.deadline_in_ms,
        on_headers,
    )


def _header_messages(
    headers: Iterable[tuple[str, str]],
) -> list[entry_pb2.Header]:
    return [
        entry_pb2.Header(name=name, value=value.encode(_ENCODING, _ERRORS))
        for name, value in headers
    ]


def read_headers(
    messages: Iterable[entry_pb2.Header],
) -> multidict.CIMultiDictProxy[str]:
    """Returns the headers in a message."""
    return multidict.CIMultiDictProxy(
        multidict.CIMultiDict(
            (each.name, each.value.decode(_ENCODING, _ERRORS))
            for each in messages
        )
    )


def failure(
    end: entry_pb2.ForwardEnd,
) -> sending.NotRun | sending.Broken | None:
    """Returns how a request failed; None if the host was unable to send it."""
    match end.outcome:
        case entry_pb2.ForwardEnd.UNABLE:
            return None
        case entry_pb2.ForwardEnd.NOT_RUN:
            return sending.NotRun(end.reason, end.status, end.is_reached)
        case _:
            return sending.Broken(end.reason, end.is_timeout, end.is_path_lost)


def head(
    outcome: sending.Outcome, headers: multidict.CIMultiDictProxy[str]
) -> entry_pb2.ForwardPart:
    """Returns the part with the headers of an answer."""
    status = outcome.status if isinstance(outcome, sending.Whole) else 0
    return entry_pb2.ForwardPart(
        head=entry_pb2.ForwardHead(
            status=status,
            headers=_header_messages(headers.items()),
            is_stream=isinstance(outcome, sending.Stream),
        )
    )


def end(
    outcome: entry_pb2.ForwardEnd.Outcome.ValueType,
) -> entry_pb2.ForwardPart:
    """Returns the part that ends an answer."""
    return entry_pb2.ForwardPart(end=entry_pb2.ForwardEnd(outcome=outcome))


def end_not_run(outcome: sending.NotRun) -> entry_pb2.ForwardPart:
    """Returns the end of a request that has not run."""
    if outcome.is_path_lost:
        return end(entry_pb2.ForwardEnd.UNABLE)
    return entry_pb2.ForwardPart(
        end=entry_pb2.ForwardEnd(
            outcome=entry_pb2.ForwardEnd.NOT_RUN,
            reason=outcome.reason,
            status=outcome.status,
            is_reached=outcome.is_reached,
        )
    )


def end_broken(outcome: sending.Broken) -> entry_pb2.ForwardPart:
    """Returns the end of an answer that is broken off."""
    return entry_pb2.ForwardPart(
        end=entry_pb2.ForwardEnd(
            outcome=entry_pb2.ForwardEnd.BROKEN,
            reason=outcome.reason,
            is_timeout=outcome.is_timeout,
            is_path_lost=outcome.is_path_lost,
        )
    )
