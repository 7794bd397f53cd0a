"""The endpoint for chat completions."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.callers import access, answers, bodies, limits, problems
from mangotally.hosts import messages
from mangotally.metrics import recorder
from mangotally.policy import records
from mangotally.settings import lists

if TYPE_CHECKING:
    from aiohttp import web

    from mangotally.homes import admission as admission_lib
    from mangotally.homes import configuration as live_configuration
    from mangotally.homes import membership
    from mangotally.homes import programs as program_home
    from mangotally.hosts import peers as peers_lib
    from mangotally.util import clock as clock_lib

PATH = "/v1/chat/completions"
PROGRAM_HEADER = "Mangotally-Program"
TURN_HEADER = "Mangotally-Turn"
DEFAULT_MAX_TOKENS = 512
_MAX_TURN = 100_000


class ChatRoutes:
    """The route for chat completions.

    A turn of a program is sent to the program's home, the host that owns the
    program's key; a call without a program runs on this host.
    """

    def __init__(
        self,
        live: live_configuration.LiveConfiguration,
        members: membership.Membership,
        admission: admission_lib.AdmissionClient,
        home: program_home.ProgramHome,
        peers: peers_lib.PeerClient,
        clock: clock_lib.Clock,
    ) -> None:
        self._live = live
        self._members = members
        self._admission = admission
        self._home = home
        self._peers = peers
        self._clock = clock

    def attach(self, app: web.Application) -> None:
        """Adds the route to an application."""
        app.router.add_post(PATH, self._complete)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        prepared = await self._prepare(request)
        if isinstance(prepared, result.Failure):
            return problems.make_response(prepared.failure())
        message, streamed = prepared.unwrap()
        answer = answers.make_answer_writer(
            request,
            message,
            streamed,
            recorder.CallTimer(
                request.app[recorder.APP_KEY], message.organisation, self._clock
            ),
        )
        return await access.run_while_key_active(
            self._live,
            request.app[limits.KEY],
            message.organisation,
            message.key_id,
            self._run(message, answer),
            answer.fail,
        )

    async def _run(
        self, message: messages.RunTurn, answer: answers.AnswerWriter
    ) -> web.StreamResponse:
        admitted = await self._admission.admit(message.organisation)
        if isinstance(admitted, result.Failure):
            return problems.make_response(admitted.failure())
        if message.program is None:
            events = self._peers.stream(self._members.host, message)
        else:
            key = self._home.key_of(message.organisation, message.program)
            events = self._peers.stream_home(key, message)
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            return await answer.write(events)

    async def _prepare(
        self, request: web.Request
    ) -> errors.Outcome[tuple[messages.RunTurn, bool]]:
        caller = access.authenticate(request, self._live)
        if isinstance(caller, result.Failure):
            return caller
        body = await bodies.read(bodies.Chat, request)
        if isinstance(body, result.Failure):
            return body
        chat = body.unwrap()
        allowed = access.authorise_service(
            caller.unwrap(), chat.model, lists.ServiceKind.MODEL, self._live
        )
        if isinstance(allowed, result.Failure):
            return allowed
        turn = _parse_turn(request)
        if isinstance(turn, result.Failure):
            return turn
        program, number = turn.unwrap()
        plan = caller.unwrap().plan
        message = messages.RunTurn(
            caller.unwrap().organisation,
            caller.unwrap().key_id,
            program,
            number,
            ids.ServiceId(chat.model),
            tuple(
                records.ChatMessage(item.role, item.text(), item.extra_fields())
                for item in chat.messages
            ),
            chat.max_answer_tokens(DEFAULT_MAX_TOKENS),
            plan.share,
            plan.program_wall_ms,
            chat.engine_options(),
        )
        return result.Success((message, chat.stream))


def _parse_turn(
    request: web.Request,
) -> errors.Outcome[tuple[ids.ProgramId | None, int]]:
    program = request.headers.get(PROGRAM_HEADER)
    turn = request.headers.get(TURN_HEADER)
    if program is None and turn is None:
        return result.Success((None, 1))
    if program is None or turn is None:
        return errors.failed(
            errors.Reason.BAD_REQUEST,
            f"{PROGRAM_HEADER} and {TURN_HEADER} must be sent together.",
        )
    if not (turn.isascii() and turn.isdigit() and len(turn) <= 6):
        return errors.failed(
            errors.Reason.BAD_REQUEST,
            f"{TURN_HEADER} must be a decimal number of at most 6 digits.",
        )
    if not access.is_program_id(program):
        return errors.failed(
            errors.Reason.NOT_FOUND, "There is no such program."
        )
    number = int(turn)
    if not 1 <= number <= _MAX_TURN:
        return errors.failed(
            errors.Reason.BAD_REQUEST,
            f"{TURN_HEADER} must be between 1 and {_MAX_TURN}; got {number}.",
        )
    return result.Success((ids.ProgramId(program), number))
