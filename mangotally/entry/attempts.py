"""Runs a request: a place, a target, and another try where that is safe."""

from __future__ import annotations

import dataclasses
import itertools
import logging
import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeAlias

import multidict

from mangotally import ids
from mangotally.entry import answers, events, model, sending, slots
from mangotally.policy import dispatch

if TYPE_CHECKING:
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import headers as headers_lib
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Targets that could not be reached at all, for one request.
MAX_UNREACHABLE_TARGETS = 3
# Work before the first event, in events.
PREFILL_UNITS = 0.6
RUN_TIME_SMOOTHING = 0.05
INITIAL_RUN_MS = 100.0
MIN_SEND_MS = 5.0
# A full target is expected to have room again after this time.
NOT_RUN_RETRY_MS = 100.0
_SERVER_FAULT = 500


@dataclasses.dataclass
class RequestState:
    """A request on its way, and what is learnt of it.

    Attributes:
        id: Its id.
        method: HTTP method.
        path: Path and query, as received.
        body: Body for the target.
        make_headers: Makes its headers, from those that depend on the
            attempt.
        route: Its route.
        service: The service that it goes to.
        priority: Rank; 0 is the highest.
        session: Requests with the same value share a cached prefix.
        due_ms: When its program should be finished.
        deadline_ms: When an answer is of no use any more.
        is_new: Whether it begins a program.
        attempts: Targets that it was sent to.
        target: The last of them.
        waited_ms: How long it waited for places.
        source: Who placed it last.
        place_ms: Time until it had its places, calls of homes included.
        first_event_ms: Time from the last place to the first event, or None.
        passed_events: Events that the caller has been sent.
        most_events: Events that the caller may be sent so far.
        extend: Raises `most_events`, or tells that it can't.
        last_event: Id of the last one, or None.
    """

    id: model.RequestId
    method: str
    path: str
    body: bytes
    make_headers: Callable[[dict[str, str]], multidict.CIMultiDict[str]]
    route: model.Route
    service: ids.ServiceId
    priority: int
    session: str
    due_ms: float
    deadline_ms: float
    is_new: bool = False
    attempts: int = 0
    target: ids.TargetId | None = None
    queued_ms: float = 0.0
    source: str = ""
    slot_wait_ms: float = 0.0
    first_event_ms: float | None = None
    passed_events: int = 0
    event_limit: float = math.inf
    raise_event_limit: Callable[[], Awaitable[bool]] | None = None
    last_event: int | None = None

    def note_first_event(self, after_ms: float) -> None:
        """Notes the time to the first event, unless there was one."""
        if self.first_event_ms is None:
            self.first_event_ms = after_ms


class EventSink(Protocol):
    """Takes the events of a stream."""

    async def begin(self, received: multidict.CIMultiDictProxy[str]) -> None:
        """Takes the target's headers, before the first event."""

    async def send_events(self, found: list[events.Event]) -> None:
        """Takes events that have become whole."""


@dataclasses.dataclass(frozen=True)
class StreamEnded:
    """A stream was passed on whole."""


@dataclasses.dataclass(frozen=True)
class StreamBroken:
    """A stream broke off after events had been passed on.

    Attributes:
        reason: What was seen.
    """

    reason: str


Tried: TypeAlias = (
    sending.Whole | sending.NotRun | sending.Broken | StreamEnded | StreamBroken
)
Result: TypeAlias = sending.Whole | StreamEnded | StreamBroken | answers.Refusal


class AttemptRunner:
    """Runs requests at targets."""

    def __init__(
        self,
        host: ids.HostId,
        failure_domain: ids.FailureDomainId,
        finder: slots.SlotAllocator,
        sender: sending.Sender,
        directory: directory_lib.TargetDirectory,
        names: headers_lib.HeaderNames,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the runner.

        Args:
            host: This host and start.
            failure_domain: Where this host is.
            finder: Finds places.
            sender: Connections to the targets.
            directory: Lists the targets.
            names: Names of headers.
            clock: Time.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._finder = finder
        self._sender = sender
        self._directory = directory
        self._names = names
        self._clock = clock
        self._tickets = itertools.count()
        self._route_ms: dict[model.RouteId, float] = {}

    async def run(self, flow: RequestState, sink: EventSink) -> Result:
        """Returns how a request ended."""
        excluded: set[ids.TargetId] = set()
        unreached = 0
        broken: sending.Broken | None = None
        while True:
            place = await self._find(flow, frozenset(excluded))
            if isinstance(place, slots.SlotRefusal):
                if broken is not None:
                    return _after_broken(broken, flow)
                return _no_place(place)
            outcome = await self._try(flow, place, sink)
            match outcome:
                case sending.NotRun():
                    excluded.add(place.target)
                    unreached += not outcome.is_reached
                    flow.attempts += outcome.is_reached
                    if (
                        flow.attempts < flow.route.max_attempts
                        and unreached < MAX_UNREACHABLE_TARGETS
                    ):
                        continue
                    if broken is not None:
                        return _after_broken(broken, flow)
                    return _after_not_run(outcome)
                case sending.Broken():
                    broken = outcome
                    excluded.add(place.target)
                    flow.attempts += 1
                    if self._may_repeat(flow):
                        continue
                    return _after_broken(outcome, flow)
                case _:
                    flow.attempts += 1
                    return outcome

    def _may_repeat(self, flow: RequestState) -> bool:
        left_ms = flow.deadline_ms - self._clock.now_ms()
        return (
            flow.route.is_repeatable
            and flow.attempts < flow.route.max_attempts
            and left_ms > MIN_SEND_MS
        )

    async def _find(
        self, flow: RequestState, excluded: frozenset[ids.TargetId]
    ) -> slots.Slot | slots.SlotRefusal:
        ticket = dispatch.Ticket(f"{self._host}/{next(self._tickets)}")
        work = dispatch.QueuedRequest(
            ticket=ticket,
            host=self._host,
            failure_domain=self._failure_domain,
            priority=flow.priority,
            is_new=flow.is_new,
            due_ms=flow.due_ms,
            deadline_ms=flow.deadline_ms,
            session=flow.session,
            excluded=excluded,
            connected=self._connected(flow.service),
        )
        begin_ms = self._clock.now_ms()
        found = await self._finder.acquire(flow.service, work)
        flow.slot_wait_ms += self._clock.now_ms() - begin_ms
        if isinstance(found, slots.Slot):
            flow.queued_ms += found.waited_ms
            flow.source = found.source
        return found

    def _connected(self, service: ids.ServiceId) -> frozenset[ids.TargetId]:
        return frozenset(
            target.id
            for target in self._directory.of_service(service)
            if self._sender.connections.is_idle(target.address)
        )

    async def _try(
        self, flow: RequestState, place: slots.Slot, sink: EventSink
    ) -> Tried:
        flow.target = place.target
        end = dispatch.EndReason.CANCELLED
        units = 0.0
        passed_before = flow.passed_events
        try:
            outcome = await self._send(flow, place, sink)
            end = _end_of(outcome)
            if isinstance(outcome, sending.Whole):
                units = self._service_units(flow.route.id, place)
            elif isinstance(outcome, StreamEnded):
                passed = flow.passed_events - passed_before
                units = PREFILL_UNITS + passed
        finally:
            self._finder.release(place, end, units)
        if end is not dispatch.EndReason.DONE:
            self._log_fault(flow, place, outcome)
        return outcome

    async def _send(
        self, flow: RequestState, place: slots.Slot, sink: EventSink
    ) -> Tried:
        target = self._directory.find(place.target)
        if target is None:
            return sending.NotRun("target-gone", is_reached=False)
        left_ms = flow.deadline_ms - self._clock.now_ms()
        if left_ms < MIN_SEND_MS:
            return sending.NotRun("no-time-left", is_reached=False)
        own = {
            self._names.expected_target: target.id,
            self._names.time_left: str(int(left_ms)),
        }
        if flow.last_event is not None:
            own[self._names.last_event] = str(flow.last_event)
        request = sending.Outgoing(
            flow.id,
            flow.method,
            flow.path,
            flow.make_headers(own),
            flow.body,
            flow.deadline_ms,
        )
        outcome = await self._sender.send(target.address, request)
        if isinstance(outcome, sending.Stream):
            flow.first_event_ms = None
            return await self._pass_stream(flow, place, outcome, sink)
        return outcome

    async def _pass_stream(
        self,
        flow: RequestState,
        place: slots.Slot,
        stream: sending.Stream,
        sink: EventSink,
    ) -> StreamEnded | StreamBroken | sending.Broken:
        splitter = events.EventSplitter()
        try:
            if not flow.passed_events:
                await sink.begin(stream.headers)
            async for chunk in stream.chunks():
                found = _unseen(splitter.feed(chunk), flow.last_event)
                if not found:
                    continue
                flow.note_first_event(self._clock.now_ms() - place.since_ms)
                if not await _may_pass(flow, len(found)):
                    return StreamBroken("tokens-used-up")
                flow.passed_events += len(found)
                flow.last_event = found[-1].number
                await sink.send_events(found)
        except ValueError:
            stream.failure = sending.Broken("bad-event")
        finally:
            if stream.failure is not None or not stream.is_done:
                stream.close()
        failure = stream.failure
        if failure is None and splitter.has_partial_event:
            failure = sending.Broken("event-broken-off")
        if failure is None:
            return StreamEnded()
        if flow.passed_events and not self._can_resume(flow):
            return StreamBroken(failure.reason)
        return failure

    def _can_resume(self, flow: RequestState) -> bool:
        return (
            flow.last_event is not None
            and flow.route.is_repeatable
            and flow.attempts + 1 < flow.route.max_attempts
        )

    def _service_units(self, route: model.RouteId, place: slots.Slot) -> float:
        """Returns the usual time of a route's requests as their size."""
        run_ms = self._clock.now_ms() - place.since_ms
        usual_ms = self._route_ms.get(route, INITIAL_RUN_MS)
        self._route_ms[route] = usual_ms + RUN_TIME_SMOOTHING * (
            run_ms - usual_ms
        )
        return usual_ms

    def _log_fault(
        self, flow: RequestState, place: slots.Slot, outcome: object
    ) -> None:
        logger.info(
            "attempt_failed",
            extra={
                "request": flow.id,
                "target": place.target,
                "attempt": flow.attempts + 1,
                "placed_by": place.source,
                "outcome": type(outcome).__name__,
                "reason": getattr(outcome, "reason", ""),
                "events": flow.passed_events,
            },
        )


def _unseen(found: list[events.Event], last: int | None) -> list[events.Event]:
    """Leaves out events that the caller has had from another run."""
    if last is None:
        return found
    return [each for each in found if each.number is None or each.number > last]


async def _may_pass(flow: RequestState, events_count: int) -> bool:
    """Waits until the caller may be sent more events."""
    while flow.passed_events + events_count > flow.event_limit:
        if flow.raise_event_limit is None or not await flow.raise_event_limit():
            return False
    return True


def _end_of(outcome: object) -> dispatch.EndReason:
    match outcome:
        case sending.Whole() if outcome.status >= _SERVER_FAULT:
            return dispatch.EndReason.CANCELLED
        case sending.Whole() | StreamEnded():
            return dispatch.EndReason.DONE
        case sending.NotRun() if outcome.is_reached:
            return dispatch.EndReason.REJECTED
        case sending.Broken() if outcome.is_timeout:
            return dispatch.EndReason.CANCELLED
        case _:
            return dispatch.EndReason.FAILED


def _no_place(place: slots.SlotRefusal) -> answers.Refusal:
    detail = f"{place.reason} by {place.source}"
    return answers.Refusal(answers.Cause.NO_PLACE, detail, place.retry_after_ms)


def _after_not_run(outcome: sending.NotRun) -> answers.Refusal:
    return answers.Refusal(
        answers.Cause.NOT_RUN, outcome.reason, NOT_RUN_RETRY_MS
    )


def _after_broken(
    outcome: sending.Broken, flow: RequestState
) -> StreamBroken | answers.Refusal:
    if flow.passed_events:
        return StreamBroken(outcome.reason)
    if outcome.is_timeout:
        return answers.Refusal(answers.Cause.TIMEOUT, outcome.reason)
    return answers.Refusal(answers.Cause.MAY_HAVE_RUN, outcome.reason)
