"""Chat completions."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
from typing import TYPE_CHECKING, Any

from aiohttp import web
from returns import result

from mangotally import errors, ids
from mangotally.callers import access, bodies, problems
from mangotally.homes import organisations
from mangotally.hosts import messages
from mangotally.policy import records
from mangotally.settings import lists
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.homes import configuration as live_configuration
    from mangotally.homes import membership
    from mangotally.homes import programs as program_home
    from mangotally.hosts import peers as peers_lib

PATH = "/v1/chat/completions"
PROGRAM_HEADER = "Mangotally-Program"
TURN_HEADER = "Mangotally-Turn"
_MAX_TURN = 100_000


class ChatRoutes:
    """The route for chat completions."""

    def __init__(
        self,
        live: live_configuration.LiveConfiguration,
        members: membership.Membership,
        home: program_home.ProgramHome,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the route; `attach` adds it."""
        self._live = live
        self._members = members
        self._home = home
        self._peers = peers
        self._clock = clock

    def attach(self, app: web.Application) -> None:
        """Adds the route to an application."""
        app.router.add_post(PATH, self._complete)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        prepared = await self._prepare(request)
        if isinstance(prepared, result.Failure):
            return problems.response_of(prepared.failure())
        message, streamed = prepared.unwrap()
        task = asyncio.current_task()
        assert task is not None
        self._live.guard(message.key_id, task)
        admitted = await organisations.take_tokens(
            self._peers,
            self._members,
            messages.TakeTokens(message.organisation, 1),
        )
        if isinstance(admitted, result.Failure):
            return problems.response_of(admitted.failure())
        if message.program is None:
            events = self._peers.stream(self._members.host, message)
        else:
            key = self._home.key_of(message.organisation, message.program)
            events = self._peers.stream_home(key, message)
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            if streamed:
                return await _answer_stream(request, message, events)
            return await _answer_whole(message, events)

    async def _prepare(
        self, request: web.Request
    ) -> errors.Outcome[tuple[messages.RunTurn, bool]]:
        caller = access.identify(request, self._live)
        if isinstance(caller, result.Failure):
            return caller
        body = bodies.parse(bodies.Chat, await request.read())
        if isinstance(body, result.Failure):
            return body
        chat = body.unwrap()
        allowed = access.check_service(
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
                records.ChatMessage(item.role, item.content)
                for item in chat.messages
            ),
            chat.max_tokens,
            plan.share,
            plan.program_wall_ms,
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
            f"{PROGRAM_HEADER} and {TURN_HEADER} go together.",
        )
    if not (turn.isascii() and turn.isdigit() and len(turn) <= 6):
        return errors.failed(
            errors.Reason.BAD_REQUEST, f"{TURN_HEADER} is not a turn number."
        )
    number = int(turn)
    if not 1 <= number <= _MAX_TURN:
        return errors.failed(
            errors.Reason.BAD_REQUEST, f"{TURN_HEADER} is out of range."
        )
    return result.Success((ids.ProgramId(program), number))


async def _answer_whole(
    message: messages.RunTurn, events: AsyncIterator[errors.Outcome[Any]]
) -> web.Response:
    text: list[str] = []
    async for event in events:
        match event:
            case result.Success(messages.TurnText(piece)):
                text.append(piece)
            case result.Success(messages.TurnEnd() as end):
                return web.json_response(
                    {
                        "id": _answer_id(message),
                        "object": "chat.completion",
                        "model": message.service,
                        "choices": [
                            {
                                "index": 0,
                                "message": {
                                    "role": "assistant",
                                    "content": "".join(text),
                                },
                                "finish_reason": "stop",
                            }
                        ],
                        "usage": _usage(end),
                    }
                )
            case _:
                return problems.response_of(event.failure())
    return problems.response_of(_broken_off())


async def _answer_stream(
    request: web.Request,
    message: messages.RunTurn,
    events: AsyncIterator[errors.Outcome[Any]],
) -> web.StreamResponse:
    response: web.StreamResponse | None = None
    async for event in events:
        failure = None if isinstance(event, result.Success) else event.failure()
        if response is None:
            if failure is not None:
                return problems.response_of(failure)
            response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "Cache-Control": "no-store",
                }
            )
            await response.prepare(request)
        if failure is not None:
            await _write_event(response, {"error": problems.body_of(failure)})
            break
        await _write_success(response, message, event.unwrap())
    if response is None:
        return problems.response_of(_broken_off())
    await response.write_eof()
    return response


async def _write_success(
    response: web.StreamResponse, message: messages.RunTurn, event: object
) -> None:
    chunk: dict[str, Any] = {
        "id": _answer_id(message),
        "object": "chat.completion.chunk",
        "model": message.service,
    }
    match event:
        case messages.TurnText(piece):
            chunk["choices"] = [
                {
                    "index": 0,
                    "delta": {"content": piece},
                    "finish_reason": None,
                }
            ]
            await _write_event(response, chunk)
        case messages.TurnEnd() as end:
            chunk["choices"] = [
                {"index": 0, "delta": {}, "finish_reason": "stop"}
            ]
            chunk["usage"] = _usage(end)
            await _write_event(response, chunk)
            await response.write(b"data: [DONE]\n\n")


async def _write_event(
    response: web.StreamResponse, body: dict[str, Any]
) -> None:
    await response.write(f"data: {json.dumps(body)}\n\n".encode())


def _usage(end: messages.TurnEnd) -> dict[str, Any]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.generated_tokens,
        "total_tokens": end.prompt_tokens + end.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def _answer_id(message: messages.RunTurn) -> str:
    return f"chat-{message.program or 'single'}-{message.turn}"


def _broken_off() -> errors.Failure:
    return errors.Failure(
        errors.Reason.TARGET_FAILED,
        "The answer broke off.",
        errors.Ran.MAY_HAVE_RUN,
        retry_after_ms=math.ceil(clock_lib.MS_PER_S),
    )
