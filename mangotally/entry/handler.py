"""Takes a caller's request through all decisions to its answer."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from aiohttp import web

from mangotally import ids
from mangotally.entry import access_log as story_lib
from mangotally.entry import (
    answers,
    attempts,
    budgets,
    headers,
    history,
    model,
    rates,
    requests,
    sending,
    turns,
)
from mangotally.entry import configuration_cache as knowledge_lib
from mangotally.entry import monitor as monitor_lib
from mangotally.entry import sink as sink_lib
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import multidict


# Callers come back after this time if the configuration is not known.
CONFIGURATION_RETRY_MS = 300.0
# An outage that has made knowledge old seldom ends at once.
STALE_RETRY_MS = 800.0
# The store is seldom back sooner, and a caller has few tries.
STORE_RETRY_MS = 1000.0
# A key or route that is not known is denied only by fresher knowledge.
DENIAL_AGE_MS = 100.0
# The end of an answer waits so long for its turn to be kept; callers leave
# a silent stream after two seconds.
SAVE_TIMEOUT_MS = 1800.0
# Organisations rank before routes.
ORGANISATION_RANK = 1000
DEFAULT_TIME_MS = 60_000.0


@dataclasses.dataclass(frozen=True)
class Access:
    """What a request may use.

    Attributes:
        configuration: The version that allows it.
        route: Its route.
        organisation: Its organisation, or None on public routes.
    """

    configuration: model.Configuration
    route: model.Route
    organisation: model.Organisation | None


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What the handler decides with.

    Attributes:
        knowledge: The configuration.
        refresh: Reads the configuration now; returns whether it could.
        rates: Organisations' rates.
        budgets: Programs' token budgets.
        history: Turns that are kept.
        attempts: Runs requests at targets.
        names: Names of headers.
        monitor: Counts and logs.
        clock: A clock that counts suspensions.
    """

    configuration_cache: knowledge_lib.ConfigurationCache
    refresh: Callable[[], Awaitable[bool]]
    rates: rates.Rates
    budgets: budgets.BudgetClient
    history: history.History
    attempts: attempts.AttemptRunner
    names: headers.HeaderNames
    monitor: monitor_lib.Monitor
    clock: clock_lib.Clock


class Handler:
    """Answers callers' requests."""

    def __init__(self, parts: Dependencies) -> None:
        """Makes the handler.

        Args:
            parts: What it decides with.
        """
        self._parts = parts
        self.is_draining = False
        self.active_requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        received = requests.read(
            request.method,
            request.raw_path,
            request.headers,
            self._parts.names,
            self._parts.clock.now_ms(),
        )
        sink = sink_lib.CallerSink(request, self.close_if_draining)
        self.active_requests += 1
        story = story_lib.AccessLogEntry(received, self._parts.clock)
        answer: attempts.Result | None = None
        try:
            answer = await self._answer(request, received, sink, story)
            return await self._respond(answer, request, received, sink)
        except asyncio.CancelledError:
            story.outcome = "caller-left"
            raise
        finally:
            self.active_requests -= 1
            self._parts.monitor.record(story, answer)

    def close_if_draining(self, response: web.StreamResponse) -> None:
        """Ends the connection after the answer if this host leaves."""
        if self.is_draining:
            response.force_close()

    async def _answer(
        self,
        request: web.BaseRequest,
        received: requests.CallerRequest,
        sink: sink_lib.CallerSink,
        story: story_lib.AccessLogEntry,
    ) -> attempts.Result:
        access = await self._check_access(received, story)
        if isinstance(access, answers.Refusal):
            return access
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return answers.Refusal(answers.Cause.TOO_LARGE)
        if len(body) > access.configuration.max_body_bytes:
            return answers.Refusal(answers.Cause.TOO_LARGE)
        flow = self._flow(received, access, body)
        story.flow = flow
        story.organisation = _organisation_id(access)
        if not received.is_turn:
            return await self._admit_and_run(
                received, access, flow, sink, story
            )
        return await self._run_turn(received, access, flow, sink, story)

    async def _run_turn(
        self,
        received: requests.CallerRequest,
        access: Access,
        flow: attempts.RequestState,
        sink: sink_lib.CallerSink,
        story: story_lib.AccessLogEntry,
    ) -> attempts.Result:
        """Runs a turn within the budget of its program.

        The budget goes before the rate: a program that has spent it must
        not use up the rate of its organisation.
        """
        body = flow.body
        with story.measure_step("budget"):
            reserved = await self._reserve(received, access, flow)
        if isinstance(reserved, answers.Refusal):
            return reserved
        try:
            answer = await self._admit_and_run(
                received, access, flow, sink, story
            )
        finally:
            spent = flow.passed_events * _event_tokens(access, flow.service)
            reserved.settle(spent)
        if access.route.is_retained and isinstance(
            answer, attempts.StreamEnded
        ):
            with story.measure_step("keep"):
                return await self._keep(received, access, body, sink, answer)
        return answer

    async def _admit_and_run(
        self,
        received: requests.CallerRequest,
        access: Access,
        flow: attempts.RequestState,
        sink: sink_lib.CallerSink,
        story: story_lib.AccessLogEntry,
    ) -> attempts.Result:
        """Runs a request within the rate, behind the turns before it."""
        with story.measure_step("rate"):
            refusal = await self._admit(received, access, flow, story)
        if refusal is not None:
            return refusal
        if access.route.is_retained and received.parent_turn is not None:
            with story.measure_step("chain"):
                before = await self._find_chain(received, access, flow, story)
            if isinstance(before, answers.Refusal):
                return before
            flow.body = before + flow.body
        return await self._parts.attempts.run(flow, sink)

    async def _admit(
        self,
        received: requests.CallerRequest,
        access: Access,
        flow: attempts.RequestState,
        story: story_lib.AccessLogEntry,
    ) -> answers.Refusal | None:
        if access.organisation is None:
            return None
        kind = access.route.id if received.is_turn else ""
        admitted = await self._parts.rates.admit(
            access.organisation, received.program or "", kind
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
        story.admitted_by = admitted.source
        flow.is_new = bool(admitted.is_new) and received.is_turn
        return None

    async def _check_access(
        self, received: requests.CallerRequest, story: story_lib.AccessLogEntry
    ) -> Access | answers.Refusal:
        """Returns what a request may use; denies only on fresh knowledge."""
        knowledge = self._parts.configuration_cache
        found = self._look_up(received)
        if _is_denial(found) and knowledge.age_ms > DENIAL_AGE_MS:
            is_read = await self._parts.refresh()
            found = self._look_up(received) if is_read else _unsure()
        configuration = knowledge.configuration
        story.version = configuration.version if configuration else 0
        story.proof_age_ms = knowledge.age_ms
        return found

    def _look_up(
        self, received: requests.CallerRequest
    ) -> Access | answers.Refusal:
        knowledge = self._parts.configuration_cache
        configuration = knowledge.configuration
        if configuration is None:
            return answers.Refusal(
                answers.Cause.NO_CONFIGURATION,
                retry_after_ms=CONFIGURATION_RETRY_MS,
            )
        route = configuration.find_route(received.host, received.path_only)
        if route is None or not route.backends:
            return answers.Refusal(answers.Cause.NO_ROUTE)
        if route.is_public or not configuration.organisations:
            return Access(configuration, route, None)
        if not knowledge.is_fresh:
            return answers.Refusal(
                answers.Cause.STALE_CONFIGURATION,
                f"age {knowledge.age_ms:.0f} ms",
                STALE_RETRY_MS,
            )
        organisation = configuration.organisation_of(received.key or "")
        if organisation is None:
            return answers.Refusal(answers.Cause.BAD_KEY)
        return Access(configuration, route, organisation)

    def _flow(
        self, received: requests.CallerRequest, access: Access, body: bytes
    ) -> attempts.RequestState:
        route = access.route
        limit_ms = min(
            received.time_left_ms,
            route.timeout_ms or math.inf,
            DEFAULT_TIME_MS,
        )
        left_ms = received.program_left_ms
        due_ms = route.objective_ms if left_ms is None else left_ms
        organisation = access.organisation
        rank = organisation.priority or 0 if organisation else 0
        return attempts.RequestState(
            id=received.id,
            method=received.method,
            path=received.path,
            body=body,
            make_headers=lambda own: self._headers(received, access, own),
            route=route,
            service=_choose_service(route),
            priority=rank * ORGANISATION_RANK + route.priority,
            session=received.session or received.program or "",
            due_ms=received.arrived_ms + due_ms,
            deadline_ms=received.arrived_ms + limit_ms,
        )

    def _headers(
        self,
        received: requests.CallerRequest,
        access: Access,
        own: dict[str, str],
    ) -> multidict.CIMultiDict[str]:
        if access.organisation is not None:
            own[self._parts.names.organisation] = access.organisation.id
        return headers.request_headers(received.headers, self._parts.names, own)

    async def _find_chain(
        self,
        received: requests.CallerRequest,
        access: Access,
        flow: attempts.RequestState,
        story: story_lib.AccessLogEntry,
    ) -> bytes | answers.Refusal:
        assert received.parent_turn is not None
        until_ms = received.arrived_ms + access.route.objective_ms
        found = await self._parts.history.chain(
            received.parent_turn,
            _organisation_id(access),
            min(until_ms, flow.deadline_ms),
        )
        match found:
            case history.Chain():
                story.chain_turns = found.turns
                return found.content
            case history.NoSuchTurn():
                return answers.Refusal(
                    answers.Cause.NO_TURN, f"parent {received.parent_turn}"
                )
            case history.HistoryUnavailable():
                return answers.Refusal(
                    answers.Cause.TURN_UNKNOWN, found.reason, STORE_RETRY_MS
                )

    async def _reserve(
        self,
        received: requests.CallerRequest,
        access: Access,
        flow: attempts.RequestState,
    ) -> budgets.TurnReservation | answers.Refusal:
        until_ms = received.arrived_ms + access.route.objective_ms
        until_ms = min(until_ms, flow.deadline_ms)
        can_end = not access.route.is_retained
        found = await self._ask_tokens(
            received, access, received.max_tokens, until_ms, lend=can_end
        )
        if isinstance(found, budgets.Reservation):
            return self._turn_tokens(received, access, flow, found)
        if found.is_spent:
            return answers.Refusal(
                answers.Cause.BUDGET_SPENT,
                f"granted {found.granted} of {received.token_budget}, "
                f"turn {received.max_tokens}",
            )
        return answers.Refusal(
            answers.Cause.BUDGET_UNKNOWN, retry_after_ms=STORE_RETRY_MS
        )

    async def _ask_tokens(
        self,
        received: requests.CallerRequest,
        access: Access,
        tokens: int,
        until_ms: float,
        lend: bool,
    ) -> budgets.Reservation | budgets.Denial:
        assert received.program is not None
        assert received.token_budget is not None
        program = budgets.program_key(
            _organisation_id(access), received.program
        )
        return await self._parts.budgets.reserve(
            program, received.token_budget, tokens, until_ms, lend
        )

    def _turn_tokens(
        self,
        received: requests.CallerRequest,
        access: Access,
        flow: attempts.RequestState,
        first: budgets.Reservation,
    ) -> budgets.TurnReservation:
        """Returns the tokens of a turn, whose stream waits if they are out."""

        async def reserve(
            tokens: int,
        ) -> budgets.Reservation | budgets.Denial:
            return await self._ask_tokens(
                received, access, tokens, flow.deadline_ms, lend=False
            )

        async def extend() -> bool:
            is_extended = await turn.extend(flow.deadline_ms)
            flow.event_limit = turn.tokens // per_event
            return is_extended

        per_event = _event_tokens(access, flow.service)
        turn = budgets.TurnReservation(
            first, received.max_tokens, reserve, self._parts.clock
        )
        if not turn.is_fully_reserved:
            flow.event_limit = turn.tokens // per_event
            flow.raise_event_limit = extend
        return turn

    async def _keep(
        self,
        received: requests.CallerRequest,
        access: Access,
        body: bytes,
        sink: sink_lib.CallerSink,
        answer: attempts.StreamEnded,
    ) -> attempts.Result:
        data = b"".join(each + b"\n" for each in sink.data)
        turn = turns.Turn(
            model.TurnId(received.id),
            _organisation_id(access),
            received.parent_turn,
            body + data,
        )
        until_ms = self._parts.clock.now_ms() + SAVE_TIMEOUT_MS
        if await self._parts.history.save(turn, until_ms):
            return answer
        return attempts.StreamBroken("turn-not-kept")

    async def _respond(
        self,
        answer: attempts.Result,
        request: web.BaseRequest,
        received: requests.CallerRequest,
        sink: sink_lib.CallerSink,
    ) -> web.StreamResponse:
        match answer:
            case attempts.StreamEnded():
                return await sink.end()
            case attempts.StreamBroken():
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
                    self._parts.names.request_id, received.id
                )
        self.close_if_draining(response)
        return response


def _is_denial(found: Access | answers.Refusal) -> bool:
    return isinstance(found, answers.Refusal) and found.cause in (
        answers.Cause.NO_ROUTE,
        answers.Cause.BAD_KEY,
    )


def _unsure() -> answers.Refusal:
    return answers.Refusal(
        answers.Cause.STALE_CONFIGURATION,
        "not fresh enough to deny",
        CONFIGURATION_RETRY_MS,
    )


def _choose_service(route: model.Route) -> ids.ServiceId:
    weights = [each.weight for each in route.backends]
    if len(weights) == 1 or not sum(weights):
        return route.backends[0].service
    return random.choices(route.backends, weights)[0].service


def _organisation_id(access: Access) -> ids.OrganisationId:
    if access.organisation is None:
        return ids.OrganisationId("")
    return access.organisation.id


def _event_tokens(access: Access, service: ids.ServiceId) -> int:
    found = access.configuration.services.get(service)
    engine = found.engine if found else None
    return engine.tokens_per_event if engine else 1
