"""Calls of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from returns import result

from mangotally import errors, ids
from mangotally.callers import access, chat, problems
from mangotally.homes import calls
from mangotally.hosts import messages
from mangotally.settings import lists

if TYPE_CHECKING:
    from mangotally.homes import admission as admission_lib
    from mangotally.homes import configuration as live_configuration
    from mangotally.homes import membership
    from mangotally.hosts import peers as peers_lib

PATH = "/services/{service}/{path:.*}"
KEY_HEADER = "Idempotency-Key"
CALL_TIMEOUT_MS = 30_000
_MAX_KEY_LENGTH = 256
_ALLOWED_HEADERS = ("Accept", "Accept-Language", "Content-Type")


class ServiceRoutes:
    """Routes below `/services`."""

    def __init__(
        self,
        live: live_configuration.LiveConfiguration,
        members: membership.Membership,
        admission: admission_lib.Admission,
        home: calls.CallHome,
        peers: peers_lib.Peers,
        open_services: tuple[str, ...],
    ) -> None:
        """Makes the routes; `attach` adds them."""
        self._live = live
        self._members = members
        self._admission = admission
        self._home = home
        self._peers = peers
        self._open_services = open_services

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_route("*", PATH, self._call)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        service = request.match_info["service"]
        if service in self._open_services:
            return await self._answer(request, ids.OrganisationId(""))
        caller = access.identify(request, self._live)
        if isinstance(caller, result.Failure):
            return problems.response_of(caller.failure())
        allowed = access.check_service(
            caller.unwrap(), service, lists.ServiceKind.PLAIN, self._live
        )
        if isinstance(allowed, result.Failure):
            return problems.response_of(allowed.failure())
        return await access.run_guarded(
            self._live,
            caller.unwrap().key_id,
            self._admit(request, caller.unwrap().organisation),
            problems.send,
        )

    async def _admit(
        self, request: web.Request, organisation: ids.OrganisationId
    ) -> web.StreamResponse:
        admitted = await self._admission.take(organisation)
        if isinstance(admitted, result.Failure):
            return problems.response_of(admitted.failure())
        return await self._answer(request, organisation)

    async def _answer(
        self, request: web.Request, organisation: ids.OrganisationId
    ) -> web.StreamResponse:
        answer = await self._run(request, organisation)
        if isinstance(answer, result.Failure):
            return problems.response_of(answer.failure())
        value = answer.unwrap()
        return web.Response(
            status=value.status,
            body=calls.decode_body(value.body_base64),
            content_type=value.content_type,
        )

    async def _run(
        self, request: web.Request, organisation: ids.OrganisationId
    ) -> errors.Outcome[messages.CallAnswer]:
        current = self._live.current.lists
        service = request.match_info["service"]
        found = current.service(service) if current else None
        if found is None:
            return errors.failed(
                errors.Reason.NOT_FOUND, "There is no such service."
            )
        program = request.headers.get(chat.PROGRAM_HEADER)
        key = _call_key(request)
        if key is not None and len(key) > _MAX_KEY_LENGTH:
            return errors.failed(
                errors.Reason.BAD_REQUEST, f"{KEY_HEADER} is too long."
            )
        path = "/" + request.match_info["path"]
        headers = [
            (name, request.headers[name])
            for name in _ALLOWED_HEADERS
            if name in request.headers
        ]
        if key is not None:
            headers.append((KEY_HEADER, key))
        query = f"?{request.query_string}" if request.query_string else ""
        message = messages.RunCall(
            organisation,
            key or "",
            ids.ProgramId(program) if program else None,
            ids.ServiceId(service),
            request.method,
            path + query,
            tuple(headers),
            calls.encode_body(await request.read()),
            CALL_TIMEOUT_MS,
        )
        if key is None or found.may_repeat(request.method, path):
            return await self._home.send(message)
        home_key = self._home.key_of(organisation, key)
        return await self._peers.call_home(home_key, message, CALL_TIMEOUT_MS)


def _call_key(request: web.Request) -> str | None:
    key = request.headers.get(KEY_HEADER)
    program = request.headers.get(chat.PROGRAM_HEADER)
    turn = request.headers.get(chat.TURN_HEADER)
    if key is None and program is not None and turn is not None:
        return f"{program}/{turn}"
    return key
