"""Handles callers' requests: access, budget, rate limit, history, target."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from typing import TYPE_CHECKING

from aiohttp import web

from mangotally.entry import access as access_lib
from mangotally.entry import access_log as access_log_lib
from mangotally.entry import (
    answers,
    attempts,
    draining,
    headers,
    history,
    model,
    outcomes,
    rates,
    request_state,
    requests,
    resumptions,
    sending,
    turn_budgets,
    turns,
)
from mangotally.entry import bodies as bodies_lib
from mangotally.entry import monitor as monitor_lib
from mangotally.entry import sink as sink_lib
from mangotally.policy import crash_histories
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import multidict

    from mangotally import ids


# Time-out for saving a turn, which the end of its streaming response waits
# for. Callers disconnect from a stream after two seconds without data.
SAVE_TIMEOUT_MS = 1800.0
# The priority of the organisation takes precedence over that of the route.
ORGANISATION_RANK = 1000
DEFAULT_TIMEOUT_MS = 60_000.0


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Components that the handler uses.

    Attributes:
        access: Decides what a request may access.
        bodies: Receives the bodies of requests.
        rates: Rate limits of organisations.
        budgets: Token budgets of programs.
        history: Saved turns.
        resumptions: Prepares requests that continue a stream.
        attempts: Runs requests at targets.
        names: Names of headers.
        monitor: Counts and logs requests.
        drain: Ends requests when this host stops.
        clock: A clock that also advances while the machine is suspended.
    """

    access: access_lib.AccessControl
    bodies: bodies_lib.Bodies
    rates: rates.Rates
    budgets: turn_budgets.TurnBudgets
    history: history.History
    resumptions: resumptions.Resumptions
    attempts: attempts.AttemptRunner
    names: headers.HeaderNames
    monitor: monitor_lib.Monitor
    drain: draining.Drain
    clock: clock_lib.Clock


class Handler:
    """Handles callers' requests."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Initialises the handler.

        Args:
            dependencies: Components that it uses.
        """
        self._dependencies = dependencies
        self.active_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request, and logs it."""
        received = requests.read(
            request.method,
            request.raw_path,
            request.headers,
            self._dependencies.names,
            self._dependencies.clock.now_ms(),
        )
        sink = sink_lib.CallerSink(request, self.close_if_draining)
        self.active_requests += 1
        log_entry = access_log_lib.AccessLogEntry(
            received, self._dependencies.clock
        )
        answer: outcomes.Result | None = None
        try:
            answer = await self._answer_until_stop(
                request, received, sink, log_entry
            )
            return await self._respond(answer, request, received, sink)
        except asyncio.CancelledError:
            log_entry.outcome = "caller-left"
            raise
        finally:
            self.active_requests -= 1
            self._dependencies.monitor.record(log_entry, answer)

    def close_if_draining(self, response: web.StreamResponse) -> None:
        """Closes the connection after the answer if this host is draining."""
        if self._dependencies.drain.is_draining:
            response.force_close()

    async def _answer_until_stop(
        self,
        request: web.BaseRequest,
        received: requests.CallerRequest,
        sink: sink_lib.CallerSink,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> outcomes.Result:
        """Answers a request; gives up if this host is about to end."""
        try:
            async with self._dependencies.drain.limit():
                return await self._answer(request, received, sink, log_entry)
        except TimeoutError:
            return _end_at_stop(log_entry.state)

    async def _answer(
        self,
        request: web.BaseRequest,
        received: requests.CallerRequest,
        sink: sink_lib.CallerSink,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> outcomes.Result:
        access = await self._dependencies.access.check(received, log_entry)
        if isinstance(access, answers.Refusal):
            return access
        async with self._dependencies.bodies.receive(
            request, access.configuration.max_body_bytes
        ) as body:
            if isinstance(body, answers.Refusal):
                return body
            return await self._answer_whole(
                received, access, body, sink, log_entry
            )

    async def _answer_whole(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        body: bytes,
        sink: sink_lib.CallerSink,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> outcomes.Result:
        """Answers a request whose body has been received."""
        if self._dependencies.drain.phase is draining.Phase.REFUSING:
            return _refuse_at_stop()
        state = self._make_state(received, access, body)
        log_entry.state = state
        log_entry.organisation = access.organisation_id
        refusal = await self._prepare_resumption(received, state, log_entry)
        if refusal is not None:
            return refusal
        self._dependencies.resumptions.record_events(received, state)
        if not received.is_turn:
            return await self._admit_and_run(
                received, access, state, sink, log_entry
            )
        return await self._run_turn(received, access, state, sink, log_entry)

    async def _prepare_resumption(
        self,
        received: requests.CallerRequest,
        state: request_state.RequestState,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> answers.Refusal | None:
        """Prepares a request that continues an interrupted stream.

        Returns:
            The refusal if the stream can't be continued.
        """
        is_stream = state.route.kind is model.RouteKind.STREAMING
        if not (received.continues_stream and is_stream):
            return None
        with log_entry.measure_step("resume"):
            found, refusal = await self._dependencies.resumptions.prepare(
                received, state
            )
        log_entry.resumption = found
        return refusal

    async def _run_turn(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        state: request_state.RequestState,
        sink: sink_lib.CallerSink,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> outcomes.Result:
        """Runs a turn within the token budget of its program.

        The budget is checked before the rate limit: a program that has spent
        its budget must not use up the rate of its organisation.
        """
        request_body = state.body
        with log_entry.measure_step("budget"):
            reserved = await self._dependencies.budgets.reserve(
                received, access, state
            )
        if isinstance(reserved, answers.Refusal):
            return reserved
        try:
            answer = await self._admit_and_run(
                received, access, state, sink, log_entry
            )
        finally:
            spent = state.sent_events * turn_budgets.event_tokens(
                access, state.service
            )
            reserved.settle(spent)
        if access.route.is_retained and isinstance(
            answer, outcomes.StreamEnded
        ):
            with log_entry.measure_step("keep"):
                content = request_body + state.earlier_text + sink.text
                return await self._save_turn(received, access, content, answer)
        return answer

    async def _admit_and_run(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        state: request_state.RequestState,
        sink: sink_lib.CallerSink,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> outcomes.Result:
        """Runs a request within the rate limit.

        If the route retains turns, the content of the earlier turns is put
        before the body.
        """
        with log_entry.measure_step("rate"):
            refusal = await self._admit(received, access, state, log_entry)
        if refusal is not None:
            return refusal
        if access.route.is_retained and received.parent_turn is not None:
            with log_entry.measure_step("chain"):
                ancestors = await self._load_turn_chain(
                    received, access, state, log_entry
                )
            if isinstance(ancestors, answers.Refusal):
                return ancestors
            state.body = ancestors + state.body
        return await self._dependencies.attempts.run(state, sink)

    async def _admit(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        state: request_state.RequestState,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> answers.Refusal | None:
        if access.organisation is None:
            return None
        kind = access.route.id if received.is_turn else ""
        admitted = await self._dependencies.rates.admit(
            access.organisation,
            received.program or "",
            kind,
            state.deadline_ms - self._dependencies.clock.now_ms(),
        )
        if isinstance(admitted, rates.HomeUnavailable):
            return answers.Refusal(
                answers.Cause.RATE_UNKNOWN,
                retry_after_ms=admitted.retry_after_ms,
            )
        if isinstance(admitted, rates.OverRate):
            return answers.Refusal(
                answers.Cause.OVER_RATE,
                admitted.detail,
                admitted.retry_after_ms,
            )
        log_entry.admitted_by = admitted.source
        state.is_new = (
            bool(admitted.is_new)
            and received.is_turn
            and not received.continues_stream
        )
        return None

    def _make_state(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        body: bytes,
    ) -> request_state.RequestState:
        route = access.route
        time_limit_ms = min(
            received.time_left_ms,
            route.timeout_ms or math.inf,
            DEFAULT_TIMEOUT_MS,
        )
        program_left_ms = received.program_left_ms
        due_ms = (
            route.objective_ms if program_left_ms is None else program_left_ms
        )
        organisation = access.organisation
        rank = organisation.priority or 0 if organisation else 0
        service = _choose_service(route)
        tokens_per_event = max(1, turn_budgets.event_tokens(access, service))
        stated_tokens = received.stated_tokens
        return request_state.RequestState(
            id=received.id,
            method=received.method,
            path=received.path,
            body=body,
            make_headers=lambda attempt_headers: self._target_headers(
                received, access, attempt_headers
            ),
            route=route,
            organisation=access.organisation_id,
            service=service,
            priority=rank * ORGANISATION_RANK + route.priority,
            session=received.session or received.program or "",
            due_ms=received.arrived_ms + due_ms,
            deadline_ms=received.arrived_ms + time_limit_ms,
            digest=crash_histories.digest(
                access.organisation_id,
                received.method,
                received.path,
                received.parent_turn or "",
                body,
            ),
            stated_events=(
                stated_tokens / tokens_per_event if stated_tokens else None
            ),
            max_events=received.max_tokens / tokens_per_event,
        )

    def _target_headers(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        attempt_headers: dict[str, str],
    ) -> multidict.CIMultiDict[str]:
        if access.organisation is not None:
            attempt_headers[self._dependencies.names.organisation] = (
                access.organisation.id
            )
        return headers.request_headers(
            received.headers, self._dependencies.names, attempt_headers
        )

    async def _load_turn_chain(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        state: request_state.RequestState,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> bytes | answers.Refusal:
        assert received.parent_turn is not None
        until_ms = received.arrived_ms + access.route.objective_ms
        chain = await self._dependencies.history.chain(
            received.parent_turn,
            access.organisation_id,
            min(until_ms, state.deadline_ms),
        )
        match chain:
            case history.Chain():
                log_entry.chain_turns = chain.turns
                return chain.content
            case history.NoSuchTurn():
                return answers.Refusal(
                    answers.Cause.NO_TURN, f"parent {received.parent_turn}"
                )
            case history.HistoryUnavailable():
                return answers.Refusal(
                    answers.Cause.TURN_UNKNOWN,
                    chain.reason,
                    answers.STORE_RETRY_MS,
                )

    async def _save_turn(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        content: bytes,
        answer: outcomes.StreamEnded,
    ) -> outcomes.Result:
        turn = turns.Turn(
            model.TurnId(received.id),
            access.organisation_id,
            received.parent_turn,
            content,
        )
        until_ms = self._dependencies.clock.now_ms() + SAVE_TIMEOUT_MS
        if await self._dependencies.history.save(turn, until_ms):
            return answer
        return outcomes.StreamBroken("turn-not-kept")

    async def _respond(
        self,
        answer: outcomes.Result,
        request: web.BaseRequest,
        received: requests.CallerRequest,
        sink: sink_lib.CallerSink,
    ) -> web.StreamResponse:
        match answer:
            case outcomes.StreamEnded():
                return await sink.end()
            case outcomes.StreamBroken():
                sink.abort()
                raise ConnectionAbortedError(answer.reason)
            case sending.Whole():
                response = web.Response(
                    status=answer.status,
                    headers=headers.response_headers(answer.headers),
                    body=answer.body,
                )
            case answers.Refusal():
                response = answer.response(
                    self._dependencies.names.request_id, received.id
                )
        self.close_if_draining(response)
        return response


def _refuse_at_stop() -> answers.Refusal:
    # The other hosts serve: the caller need not wait.
    return answers.Refusal(answers.Cause.LEAVING, retry_after_ms=0.0)


def _end_at_stop(state: request_state.RequestState | None) -> outcomes.Result:
    """Returns the end of a request that outlasts the grace period."""
    if state is None or not state.may_have_run:
        return _refuse_at_stop()
    if state.sent_events:
        return outcomes.StreamBroken("host-stopped")
    return answers.Refusal(answers.Cause.TIMEOUT, "host-stopped")


def _choose_service(route: model.Route) -> ids.ServiceId:
    weights = [each.weight for each in route.backends]
    if len(weights) == 1 or not sum(weights):
        return route.backends[0].service
    return random.choices(route.backends, weights)[0].service
