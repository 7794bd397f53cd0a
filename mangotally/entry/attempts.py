"""Runs requests at targets and retries them where that is safe.

Each attempt needs a slot at a target. A request that may have run is retried
only if its route allows that.
"""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING, Protocol

from mangotally import ids
from mangotally.entry import (
    events,
    model,
    outcomes,
    request_state,
    sending,
    slots,
    stream_origins,
    target_news,
)
from mangotally.policy import (
    dispatch,
    resumption,
    run_times,
    stream_lengths,
)

if TYPE_CHECKING:
    import multidict

    from mangotally.entry import directory as directory_lib
    from mangotally.entry import headers as headers_lib
    from mangotally.entry import known_closures, target_client
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Unreachable targets after which a request is given up.
MAX_UNREACHABLE_TARGETS = 3
# Size of the work before the first event (the prefill), in events.
PREFILL_UNITS = 0.6
# A request is not sent to a target with less time than this to its deadline.
MIN_SEND_MS = 5.0


class EventSink(Protocol):
    """Receives the events of a stream."""

    async def begin(self, received: multidict.CIMultiDictProxy[str]) -> None:
        """Receives the target's headers, before the first event."""

    async def send_events(self, complete: list[events.Event]) -> None:
        """Receives complete events."""


class AttemptRunner:
    """Runs requests at targets, with retries."""

    def __init__(
        self,
        host: ids.HostId,
        failure_domain: ids.FailureDomainId,
        allocator: slots.SlotAllocator,
        client: target_client.TargetClient,
        directory: directory_lib.TargetDirectory,
        closures: known_closures.KnownClosures,
        origins: stream_origins.StreamOrigins,
        names: headers_lib.HeaderNames,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the runner.

        Args:
            host: Id of this host, with a suffix for this run of the process.
            failure_domain: Failure domain of this host.
            allocator: Assigns slots at targets.
            client: Sends requests to the targets.
            directory: Lists the targets.
            closures: Which targets must not get requests now.
            origins: Records what began each stream.
            names: Names of headers.
            clock: Source of the current time.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._allocator = allocator
        self._client = client
        self._directory = directory
        self._closures = closures
        self._origins = origins
        self._names = names
        self._clock = clock
        self._tickets = itertools.count()
        self._run_times = run_times.UsualRunTimes[model.RouteId]()
        self._lengths = stream_lengths.StreamLengths[model.RouteId]()

    async def run(
        self, state: request_state.RequestState, sink: EventSink
    ) -> outcomes.Result:
        """Runs a request and returns how it ended."""
        excluded: set[ids.TargetId] = set()
        unreachable_targets = 0
        failure: sending.Broken | None = None
        while True:
            slot = await self._acquire_slot(state, frozenset(excluded))
            if isinstance(slot, slots.SlotRefusal):
                if failure is not None:
                    return outcomes.end_after_failure(failure, state)
                return outcomes.refuse_without_slot(slot)
            outcome = await self._run_attempt(state, slot, sink)
            if isinstance(outcome, sending.Whole) and state.sent_events:
                # Another answer can't follow the events that have been sent.
                outcome = sending.Broken(f"status-{outcome.status}-in-stream")
            match outcome:
                case sending.NotRun():
                    excluded.add(slot.target)
                    unreachable_targets += outcomes.is_unreachable(outcome)
                    state.attempts += outcome.is_reached
                    if (
                        state.attempts < state.route.max_attempts
                        and unreachable_targets < MAX_UNREACHABLE_TARGETS
                    ):
                        continue
                    if failure is not None:
                        return outcomes.end_after_failure(failure, state)
                    return outcomes.refuse_not_run(outcome)
                case sending.Broken():
                    failure = outcome
                    excluded.add(slot.target)
                    state.attempts += 1
                    if self._may_retry(state):
                        continue
                    return outcomes.end_after_failure(outcome, state)
                case _:
                    state.attempts += 1
                    return outcome

    def _may_retry(self, state: request_state.RequestState) -> bool:
        remaining_ms = state.deadline_ms - self._clock.now_ms()
        return (
            state.route.is_repeatable
            and state.attempts < state.route.max_attempts
            and remaining_ms > MIN_SEND_MS
            and self._is_version_certain(state)
        )

    def _is_version_certain(self, state: request_state.RequestState) -> bool:
        """Returns whether it is certain which version began a stream.

        Before its first event, any version may begin it.
        """
        if state.origin is None:
            return True
        listed = self._directory.version_of(state.origin.target)
        version = resumption.version_to_resume_at(state.origin, listed)
        return version is not None

    async def _acquire_slot(
        self,
        state: request_state.RequestState,
        excluded: frozenset[ids.TargetId],
    ) -> slots.Slot | slots.SlotRefusal:
        ticket = ids.Ticket(f"{self._host}/{next(self._tickets)}")
        queued = dispatch.QueuedRequest(
            ticket=ticket,
            host=self._host,
            failure_domain=self._failure_domain,
            priority=state.priority,
            is_new=state.is_new,
            due_ms=state.due_ms,
            deadline_ms=state.deadline_ms,
            session=state.session,
            excluded=excluded,
            connected=self._idle_connected_targets(state.service),
            version=state.origin.version if state.origin else None,
            digest=state.digest,
            units=self._predicted_units(state),
        )
        begin_ms = self._clock.now_ms()
        decision = await self._allocator.acquire(state.service, queued)
        state.slot_wait_ms += self._clock.now_ms() - begin_ms
        if isinstance(decision, slots.Slot):
            state.queued_ms += decision.queued_ms
            state.source = decision.source
        return decision

    def _predicted_units(self, state: request_state.RequestState) -> float:
        """Returns the work that is left of a request; 0 if unknown."""
        if state.route.kind is not model.RouteKind.STREAMING:
            return self._run_times.usual_ms(state.route.id)
        events_ = self._lengths.predict(
            state.route.id, state.stated_events, state.max_events
        )
        if events_ is None:
            return 0.0
        return PREFILL_UNITS + max(0.0, events_ - state.sent_events)

    def _idle_connected_targets(
        self, service: ids.ServiceId
    ) -> frozenset[ids.TargetId]:
        return frozenset(
            target.id
            for target in self._directory.of_service(service)
            if self._client.is_idle(target.address)
        )

    async def _run_attempt(
        self,
        state: request_state.RequestState,
        slot: slots.Slot,
        sink: EventSink,
    ) -> outcomes.AttemptOutcome:
        state.target = slot.target
        end = dispatch.EndReason.CANCELLED
        units = 0.0
        events_before = state.sent_events
        try:
            outcome = await self._send(state, slot, sink)
            end = outcomes.end_reason(outcome)
            if isinstance(outcome, sending.Whole):
                run_ms = self._clock.now_ms() - slot.assigned_ms
                units = self._run_times.add(state.route.id, run_ms)
            elif isinstance(outcome, outcomes.StreamEnded):
                sent = state.sent_events - events_before
                if not events_before:
                    self._lengths.add(state.route.id, state.stated_events, sent)
                units = PREFILL_UNITS + sent
        finally:
            self._allocator.release(slot, end, units)
        if end is not dispatch.EndReason.DONE:
            self._log_failure(state, slot, outcome)
        await self._record_crash_or_answer(state, slot, outcome)
        return outcome

    async def _record_crash_or_answer(
        self,
        state: request_state.RequestState,
        slot: slots.Slot,
        outcome: outcomes.AttemptOutcome,
    ) -> None:
        """Records whether the target crashed while it ran the request."""
        match outcome:
            case sending.Whole() | outcomes.StreamEnded():
                self._allocator.record_answer(state.service, state.digest)
            case sending.Broken() | outcomes.StreamBroken():
                target = self._directory.find(slot.target)
                if (
                    outcome.is_disconnected
                    and not outcome.is_path_lost
                    and target is not None
                    and await self._client.has_crashed(target)
                ):
                    await self._allocator.record_crash(state.digest, target)

    async def _send(
        self,
        state: request_state.RequestState,
        slot: slots.Slot,
        sink: EventSink,
    ) -> outcomes.AttemptOutcome:
        target = self._directory.find(slot.target)
        if target is None:
            return sending.NotRun("target-gone", is_reached=False)
        withheld = self._closures.reason_to_withhold(target, slot.asked_ms)
        if withheld is not None:
            return sending.NotRun(withheld, is_reached=False, is_withheld=True)
        if state.origin and target.version != state.origin.version:
            return sending.NotRun("other-version", is_reached=False)
        remaining_ms = state.deadline_ms - self._clock.now_ms()
        if remaining_ms < MIN_SEND_MS:
            return sending.NotRun("no-time-left", is_reached=False)
        sent_ms = self._clock.now_ms()

        def observe(received: multidict.CIMultiDictProxy[str]) -> None:
            self._allocator.observe_answer(
                slot,
                target_news.AnswerHead(
                    limits=received.getall(self._names.limit, ()),
                    leaving=received.getall(self._names.leaving, ()),
                    load=received.get(self._names.load),
                    is_run=self._names.not_run not in received,
                ),
                sent_ms,
            )

        attempt_headers = {
            self._names.expected_target: target.id,
            self._names.time_left: str(int(remaining_ms)),
        }
        if state.last_event is not None:
            attempt_headers[self._names.last_event] = str(state.last_event)
        request = sending.Outgoing(
            state.id,
            state.method,
            state.path,
            state.make_headers(attempt_headers),
            state.body,
            state.deadline_ms,
            observe,
        )
        may_have_run = state.may_have_run
        state.may_have_run = True
        outcome = await self._client.send(
            target, request, state.route.is_repeatable
        )
        if isinstance(outcome, sending.NotRun):
            state.may_have_run = may_have_run
        if isinstance(outcome, sending.Stream):
            state.first_event_ms = None
            return await self._forward_stream(
                state, slot, target, outcome, sink
            )
        return outcome

    async def _forward_stream(
        self,
        state: request_state.RequestState,
        slot: slots.Slot,
        target: model.Target,
        stream: sending.Stream,
        sink: EventSink,
    ) -> outcomes.StreamEnded | outcomes.StreamBroken | sending.Broken:
        splitter = events.EventSplitter()
        try:
            if not state.sent_events:
                await sink.begin(stream.headers)
            async for chunk in stream.chunks():
                new = _new_events(splitter.feed(chunk), state.last_event)
                if not new:
                    continue
                state.record_first_event(
                    self._clock.now_ms() - slot.assigned_ms
                )
                if not await _may_send(state, len(new)):
                    return outcomes.StreamBroken("tokens-used-up")
                self._record_origin(state, target)
                if state.recorder is not None:
                    await state.recorder.record(new)
                state.sent_events += len(new)
                state.last_event = new[-1].number
                await sink.send_events(new)
        except ValueError:
            stream.failure = sending.Broken("bad-event")
        finally:
            if stream.failure is not None or not stream.is_done:
                stream.close()
        failure = stream.failure or _truncation(splitter, state)
        if failure is None:
            return outcomes.StreamEnded()
        if state.sent_events and not self._can_resume(state):
            return outcomes.StreamBroken(
                failure.reason, failure.is_path_lost, failure.is_disconnected
            )
        return failure

    def _record_origin(
        self, state: request_state.RequestState, target: model.Target
    ) -> None:
        """Records what began a stream, unless it is known already."""
        if state.origin is not None:
            return
        state.origin = resumption.Origin(
            target.service, target.id, target.version, self._clock.wall_ms()
        )
        if state.route.is_resumable:
            stream = stream_origins.StreamId(state.organisation, state.id)
            self._origins.record(stream, state.origin)

    def _can_resume(self, state: request_state.RequestState) -> bool:
        return (
            state.last_event is not None
            and state.route.is_repeatable
            and state.attempts + 1 < state.route.max_attempts
            and self._is_version_certain(state)
        )

    def _log_failure(
        self,
        state: request_state.RequestState,
        slot: slots.Slot,
        outcome: object,
    ) -> None:
        logger.info(
            "attempt_failed",
            extra={
                "request": state.id,
                "target": slot.target,
                "attempt": state.attempts + 1,
                "placed_by": slot.source,
                "outcome": type(outcome).__name__,
                "reason": getattr(outcome, "reason", ""),
                "events": state.sent_events,
            },
        )


def _truncation(
    splitter: events.EventSplitter, state: request_state.RequestState
) -> sending.Broken | None:
    """Returns a failure if a stream can't be complete where it ended."""
    if splitter.has_partial_event:
        return sending.Broken("event-broken-off")
    if state.origin is None:
        return sending.Broken("no-event")
    return None


def _new_events(
    received: list[events.Event], last: int | None
) -> list[events.Event]:
    """Drops events that the caller has received from an earlier attempt."""
    if last is None:
        return received
    return [
        each for each in received if each.number is None or each.number > last
    ]


async def _may_send(
    state: request_state.RequestState, events_count: int
) -> bool:
    """Waits until the caller may be sent more events.

    Returns:
        Whether the events may be sent.
    """
    while state.sent_events + events_count > state.event_limit:
        if (
            state.raise_event_limit is None
            or not await state.raise_event_limit()
        ):
            return False
    return True
