"""The endpoint that forwards calls to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from returns import result

from mangotally import errors, ids
from mangotally.callers import access, chat, headers, limits, problems
from mangotally.homes import calls
from mangotally.hosts import messages
from mangotally.metrics import recorder
from mangotally.settings import lists
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import admission as admission_lib
    from mangotally.homes import configuration as live_configuration
    from mangotally.hosts import peers as peers_lib

PATH_PREFIX = "/services/"
PATH = "/services/{service}/{path:.*}"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
CALL_TIMEOUT_MS = 30_000
_MAX_KEY_LENGTH = 256
_ALLOWED_HEADERS = ("Accept", "Accept-Language", "Content-Type")


class ServiceRoutes:
    """Routes below `/services`.

    A call that has an idempotency key and may not be repeated is sent to the
    home of that key, the host that owns it. Other calls run on this host.
    """

    def __init__(
        self,
        live: live_configuration.LiveConfiguration,
        admission: admission_lib.AdmissionClient,
        home: calls.CallHome,
        peers: peers_lib.PeerClient,
        open_services: tuple[str, ...],
    ) -> None:
        self._live = live
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
        caller = access.authenticate(request, self._live)
        if isinstance(caller, result.Failure):
            return problems.make_response(caller.failure())
        allowed = access.authorise_service(
            caller.unwrap(), service, lists.ServiceKind.PLAIN, self._live
        )
        if isinstance(allowed, result.Failure):
            return problems.make_response(allowed.failure())
        return await access.run_while_key_active(
            self._live,
            request.app[limits.KEY],
            caller.unwrap().organisation,
            caller.unwrap().key_id,
            self._admit(request, caller.unwrap().organisation),
            problems.respond,
        )

    async def _admit(
        self, request: web.Request, organisation: ids.OrganisationId
    ) -> web.StreamResponse:
        admitted = await self._admission.admit(organisation)
        if isinstance(admitted, result.Failure):
            return problems.make_response(admitted.failure())
        return await self._answer(request, organisation)

    async def _answer(
        self, request: web.Request, organisation: ids.OrganisationId
    ) -> web.StreamResponse:
        watch = recorder.CallTimer(
            request.app[recorder.APP_KEY], organisation, clock_lib.SystemClock()
        )
        answer = await self._run(request, organisation)
        if isinstance(answer, result.Failure):
            return problems.make_response(answer.failure())
        value = answer.unwrap()
        watch.finish(None)
        return web.Response(
            status=value.status,
            body=calls.decode_body(value.body_base64),
            headers={"Content-Type": value.content_type},
        )

    async def _run(
        self, request: web.Request, organisation: ids.OrganisationId
    ) -> errors.Outcome[messages.CallAnswer]:
        current = self._live.current.lists
        service = request.match_info["service"]
        found = current.service(service) if current else None
        if found is None:
            return errors.failed(
                errors.Reason.NOT_FOUND,
                "The configuration has no service of this name.",
            )
        program = request.headers.get(chat.PROGRAM_HEADER)
        key = _call_key(request)
        if key is not None and len(key) > _MAX_KEY_LENGTH:
            return errors.failed(
                errors.Reason.BAD_REQUEST,
                f"{IDEMPOTENCY_KEY_HEADER} must have at most {_MAX_KEY_LENGTH} "
                f"characters; got {len(key)}.",
            )
        if program is not None and not access.is_program_id(program):
            return errors.failed(
                errors.Reason.NOT_FOUND, "There is no such program."
            )
        path = target_path(request.raw_path)
        if path is None:
            return errors.failed(
                errors.Reason.BAD_REQUEST,
                f"The path must have the form {PATH_PREFIX}SERVICE/PATH.",
            )
        body = await request.app[limits.KEY].read_body(request)
        if isinstance(body, result.Failure):
            return body
        if headers.exposes_key(request, body.unwrap()):
            return errors.failed(
                errors.Reason.BAD_REQUEST,
                "The API key must be sent only in the Authorization header.",
            )
        sent = [
            (name, request.headers[name])
            for name in _ALLOWED_HEADERS
            if name in request.headers
        ]
        if key is not None:
            sent.append((IDEMPOTENCY_KEY_HEADER, key))
        message = messages.RunCall(
            organisation,
            key or "",
            ids.ProgramId(program) if program else None,
            ids.ServiceId(service),
            request.method,
            path,
            tuple(sent),
            calls.encode_body(body.unwrap()),
            CALL_TIMEOUT_MS,
        )
        if key is None or found.is_idempotent(request.method, path):
            return await self._home.run_unrecorded(message)
        home_key = self._home.key_of(organisation, key)
        return await self._peers.call_home(home_key, message, CALL_TIMEOUT_MS)


def _call_key(request: web.Request) -> str | None:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    program = request.headers.get(chat.PROGRAM_HEADER)
    turn = request.headers.get(chat.TURN_HEADER)
    if key is None and program is not None and turn is not None:
        return f"{program}/{turn}"
    return key


def target_path(raw_path: str) -> str | None:
    """Returns the part of a request target that is sent to the service.

    Args:
        raw_path: The request target as the caller sent it.

    Returns:
        Path and query, byte for byte as sent, or None if the request
        target is not of the form `/services/SERVICE/PATH`.
    """
    if not raw_path.startswith(PATH_PREFIX):
        return None
    _, slash, rest = raw_path[len(PATH_PREFIX) :].partition("/")
    return f"/{rest}" if slash else None
