"""State of a request while it is run."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

import multidict

from mangotally import ids
from mangotally.entry import model
from mangotally.policy import crash_histories, resumption

if TYPE_CHECKING:
    from mangotally.entry import events


class EventRecorder(Protocol):
    """Records the events of a stream."""

    async def record(self, new: list[events.Event]) -> None:
        """Records events that will be forwarded."""


@dataclasses.dataclass
class RequestState:
    """State of one request while it is run.

    Attributes:
        id: Its id.
        method: HTTP method.
        path: Path and query, as received.
        body: Body for the target.
        make_headers: Builds the headers for the target from those that are
            set for this attempt.
        route: Its route.
        organisation: Its organisation; empty on public routes.
        service: The service that handles it.
        priority: Its priority; 0 is the highest.
        session: Requests with the same value share a cached prefix.
        due_ms: When its program should be finished.
        deadline_ms: When its caller no longer needs an answer.
        digest: Identifies it if it is sent again under a new id.
        stated_events: Number of events that its caller expects, or None.
        max_events: Number of events that are not exceeded.
        is_new: Whether it is the first request of a program.
        attempts: Number of targets that it was sent to.
        target: The last of these targets, or None.
        may_have_run: Whether it was sent to a target that has not rejected it.
        queued_ms: Total time in the queues for slots.
        source: What assigned the last slot: `home`, the host that owns the key
            of the service, or `alone`, this host by itself.
        slot_wait_ms: Total time until slots were assigned, calls to homes
            included.
        first_event_ms: Time from the last slot to the first event, or None.
        sent_events: Number of events sent to the caller.
        event_limit: Number of events that may be sent to the caller so far.
        raise_event_limit: Raises `event_limit`; returns whether it could.
        last_event: Id of the last event sent to the caller, or None.
        earlier_text: What an earlier answer brought of a turn that is resumed.
        recorder: Records the events before they are forwarded, or None.
        origin: What began the stream; None before its first event. Only
            targets of the same version may continue it.
    """

    id: model.RequestId
    method: str
    path: str
    body: bytes
    make_headers: Callable[[dict[str, str]], multidict.CIMultiDict[str]]
    route: model.Route
    organisation: ids.OrganisationId
    service: ids.ServiceId
    priority: int
    session: str
    due_ms: float
    deadline_ms: float
    digest: crash_histories.RequestDigest
    stated_events: float | None = None
    max_events: float = math.inf
    is_new: bool = False
    attempts: int = 0
    target: ids.TargetId | None = None
    may_have_run: bool = False
    queued_ms: float = 0.0
    source: str = ""
    slot_wait_ms: float = 0.0
    first_event_ms: float | None = None
    sent_events: int = 0
    event_limit: float = math.inf
    raise_event_limit: Callable[[], Awaitable[bool]] | None = None
    last_event: int | None = None
    earlier_text: bytes = b""
    recorder: EventRecorder | None = None
    origin: resumption.Origin | None = None

    def record_first_event(self, after_ms: float) -> None:
        """Records the time to the first event; later calls do nothing."""
        if self.first_event_ms is None:
            self.first_event_ms = after_ms
