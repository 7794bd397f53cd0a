"""The endpoints that open, describe and end programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from returns import result

from mangotally import errors, ids
from mangotally.callers import access, bodies, problems
from mangotally.hosts import messages
from mangotally.policy import records
from mangotally.settings import lists

if TYPE_CHECKING:
    from mangotally.homes import configuration as live_configuration
    from mangotally.homes import programs as program_home
    from mangotally.hosts import peers as peers_lib
    from mangotally.util import clock as clock_lib

PATH = "/v1/programs"


class ProgramRoutes:
    """Routes below `/v1/programs`.

    Each request is sent to the program's home, the host that owns its key.
    """

    def __init__(
        self,
        live: live_configuration.LiveConfiguration,
        home: program_home.ProgramHome,
        peers: peers_lib.PeerClient,
        clock: clock_lib.Clock,
    ) -> None:
        self._live = live
        self._home = home
        self._peers = peers
        self._clock = clock

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_post(PATH, self._open)
        app.router.add_get(f"{PATH}/{{program}}", self._describe)
        app.router.add_delete(f"{PATH}/{{program}}", self._close)

    async def _open(self, request: web.Request) -> web.Response:
        caller = access.authenticate(request, self._live)
        if isinstance(caller, result.Failure):
            return problems.make_response(caller.failure())
        body = await bodies.read(bodies.NewProgram, request)
        if isinstance(body, result.Failure):
            return problems.make_response(body.failure())
        requested = body.unwrap()
        allowed = access.authorise_service(
            caller.unwrap(),
            requested.service,
            lists.ServiceKind.MODEL,
            self._live,
        )
        if isinstance(allowed, result.Failure):
            return problems.make_response(allowed.failure())
        opened = self._make_record(caller.unwrap(), requested)
        key = self._home.key_of(opened.organisation, opened.program)
        answer = await self._peers.call_home(key, messages.OpenProgram(opened))
        return _respond(answer, status=201)

    def _make_record(
        self, caller: access.Caller, requested: bodies.NewProgram
    ) -> records.ProgramOpened:
        plan = caller.plan
        parent = ids.ProgramId(requested.parent) if requested.parent else None
        wall_ms = min(
            requested.budget.wall_ms or plan.program_wall_ms,
            requested.deadline_ms or plan.program_wall_ms,
            plan.program_wall_ms,
        )
        budget = records.Budget(
            min(
                requested.budget.tokens or plan.program_tokens,
                plan.program_tokens,
            ),
            min(
                requested.budget.calls or plan.program_calls, plan.program_calls
            ),
            wall_ms,
        )
        return records.ProgramOpened(
            caller.organisation,
            ids.new_program_id(parent),
            parent,
            ids.ServiceId(requested.service),
            budget,
            self._clock.wall_ms() + wall_ms,
        )

    async def _describe(self, request: web.Request) -> web.Response:
        return await self._call_home(request, messages.DescribeProgram)

    async def _close(self, request: web.Request) -> web.Response:
        return await self._call_home(request, messages.CloseProgram)

    async def _call_home(
        self,
        request: web.Request,
        kind: type[messages.DescribeProgram | messages.CloseProgram],
    ) -> web.Response:
        caller = access.authenticate(request, self._live)
        if isinstance(caller, result.Failure):
            return problems.make_response(caller.failure())
        organisation = caller.unwrap().organisation
        name = request.match_info["program"]
        if not access.is_program_id(name):
            return problems.make_response(
                errors.Failure(
                    errors.Reason.NOT_FOUND, "There is no such program."
                )
            )
        program = ids.ProgramId(name)
        answer = await self._peers.call_home(
            self._home.key_of(organisation, program),
            kind(organisation, program),
        )
        return _respond(answer, status=200)


def _respond(
    answer: errors.Outcome[messages.ProgramDescription], status: int
) -> web.Response:
    if isinstance(answer, result.Failure):
        return problems.make_response(answer.failure())
    description = answer.unwrap()
    body = {
        "program_id": description.program,
        "parent": description.parent,
        "service": description.service,
        "turns": description.turns,
        "state": "open" if description.closed is None else "ended",
        "used": {
            "tokens": description.used_tokens,
            "calls": description.used_calls,
        },
        "budget": {
            "tokens": description.budget.tokens,
            "calls": description.budget.calls,
            "wall_ms": description.budget.wall_ms,
        },
        "deadline_wall_ms": description.deadline_wall_ms,
    }
    return web.json_response(body, status=status)
