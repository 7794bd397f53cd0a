"""The HTTP endpoints of the administration API and of `/metrics`."""

from __future__ import annotations

import hmac
import json
import logging
from typing import TYPE_CHECKING, Any

import pydantic
from aiohttp import web
from returns import result

from mangotally import errors, ids
from mangotally.callers import bodies, problems
from mangotally.hosts import messages
from mangotally.metrics import exposition, store
from mangotally.policy import configuration
from mangotally.settings import lists

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.homes import configuration as live_configuration
    from mangotally.hosts import peers as peers_lib
    from mangotally.operators import publisher

logger = logging.getLogger(__name__)


class Publication(pydantic.BaseModel):
    """Request body that publishes a version.

    Attributes:
        predecessor: Number of the version that the operator read.
        plans: Which organisation has which plan.
        uses: What each plan may use.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    predecessor: int = pydantic.Field(ge=0)
    plans: lists.PlanList
    uses: lists.UseList


class NewKey(pydantic.BaseModel):
    """Request body that issues an API key."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    organisation: lists.Name


class OperatorRoutes:
    """Routes below `/admin`, and `/metrics`."""

    def __init__(
        self,
        key_digests: tuple[str, ...],
        live: live_configuration.LiveConfiguration,
        publish: publisher.Publisher,
        dump: Callable[[], dict[str, Any]],
        peers: peers_lib.PeerClient,
        metrics: store.MetricsStore,
        metrics_key_digests: tuple[str, ...] = (),
    ) -> None:
        """Creates the routes.

        Args:
            key_digests: SHA-256 digests of the operator keys.
            live: The current configuration.
            publish: Publishes changes to the configuration.
            dump: Returns the state dump of this host.
            peers: The other hosts.
            metrics: The metrics of this host.
            metrics_key_digests: SHA-256 digests of keys that may read
                `/metrics` and nothing else.
        """
        self._key_digests = key_digests
        self._live = live
        self._publisher = publish
        self._dump = dump
        self._peers = peers
        self._metrics = metrics
        self._metrics_key_digests = metrics_key_digests

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        for method, path, handler in (
            ("GET", "/admin/lists", self._get_lists),
            ("POST", "/admin/lists", self._publish),
            ("GET", "/admin/keys", self._list_keys),
            ("POST", "/admin/keys", self._issue_key),
            ("DELETE", "/admin/keys/{key}", self._withdraw_key),
            ("GET", "/admin/dump", self._get_dump),
            ("GET", "/admin/hosts/{host}/dump", self._get_dump_of_host),
        ):
            app.router.add_route(
                method, path, self._require_key(handler, self._key_digests)
            )
        readers = self._key_digests + self._metrics_key_digests
        app.router.add_get(
            "/metrics", self._require_key(self._get_metrics, readers)
        )

    def require_operator_key(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Wraps a handler of another route group to require an operator key."""
        return self._require_key(handler, self._key_digests)

    def _require_key(
        self,
        handler: Callable[[web.Request], Awaitable[web.Response]],
        digests: tuple[str, ...],
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def checked(request: web.Request) -> web.Response:
            if _has_valid_key(request, digests):
                return await handler(request)
            logger.warning("operator_refused", extra={"remote": request.remote})
            return problems.make_response(
                errors.Failure(
                    errors.Reason.UNAUTHORISED,
                    "The operator key is missing or unknown.",
                )
            )

        return checked

    async def _get_lists(self, _request: web.Request) -> web.Response:
        current = self._live.current
        content = current.lists.model_dump(mode="json") if current.lists else {}
        return web.json_response(
            {
                "version": current.version,
                "complete": current.is_complete,
                "lists": content,
            }
        )

    async def _publish(self, request: web.Request) -> web.Response:
        body = await bodies.read(Publication, request)
        if isinstance(body, result.Failure):
            return problems.make_response(body.failure())
        publication = body.unwrap()
        found_problems = lists.find_problems(
            publication.plans, publication.uses
        )
        if found_problems:
            return problems.make_response(
                errors.Failure(
                    errors.Reason.BAD_REQUEST,
                    "; ".join(found_problems[: lists.MAX_PROBLEMS]),
                )
            )
        published = await self._publisher.publish(
            lists.Lists(plans=publication.plans, uses=publication.uses),
            publication.predecessor,
        )
        return _respond(published.map(lambda version: {"version": version}))

    async def _list_keys(self, _request: web.Request) -> web.Response:
        return web.json_response(
            [
                {"key_id": key.key_id, "organisation": key.organisation}
                for key in self._live.current.active_keys()
            ]
        )

    async def _issue_key(self, request: web.Request) -> web.Response:
        body = await bodies.read(NewKey, request)
        if isinstance(body, result.Failure):
            return problems.make_response(body.failure())
        organisation = ids.OrganisationId(body.unwrap().organisation)
        issued = await self._publisher.issue_key(organisation)
        return _respond(
            issued.map(lambda found: {"key_id": found[0], "key": found[1]}),
            status=201,
        )

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        key_id = ids.KeyId(request.match_info["key"])
        withdrawn = await self._publisher.withdraw_key(key_id)
        return _respond(withdrawn.map(lambda found: {"key_id": found}))

    async def _get_dump(self, _request: web.Request) -> web.Response:
        return web.json_response(self._dump())

    async def _get_dump_of_host(self, request: web.Request) -> web.Response:
        host = ids.HostId(request.match_info["host"])
        if not self._peers.is_known(host):
            return problems.make_response(
                errors.Failure(
                    errors.Reason.NOT_FOUND,
                    "The fleet has no host of this name.",
                )
            )
        answer = await self._peers.call(host, messages.DumpState())
        return _respond(answer.map(lambda found: json.loads(found.json)))

    async def dump_state(
        self, _message: messages.DumpState
    ) -> errors.Outcome[messages.StateDump]:
        """Answers another host's request for this host's state dump."""
        return result.Success(messages.StateDump(json.dumps(self._dump())))

    async def _get_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=exposition.render(self._metrics),
            headers={"Content-Type": exposition.CONTENT_TYPE},
        )


def _has_valid_key(request: web.Request, digests: tuple[str, ...]) -> bool:
    header = request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not key:
        return False
    digest = configuration.digest_key(key)
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches)


def _respond(outcome: errors.Outcome[Any], status: int = 200) -> web.Response:
    if isinstance(outcome, result.Failure):
        return problems.make_response(outcome.failure())
    return web.json_response(outcome.unwrap(), status=status)
