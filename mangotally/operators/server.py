"""The administration API over HTTP."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import pydantic
from aiohttp import web
from returns import result

from mangotally import errors, ids
from mangotally.callers import problems
from mangotally.policy import configuration, records
from mangotally.settings import lists

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.homes import configuration as live_configuration
    from mangotally.log import base, follower

_KEY_BYTES = 24
_KEY_ID_BYTES = 6


class OperatorRoutes:
    """Routes below `/admin`."""

    def __init__(
        self,
        key_digests: tuple[str, ...],
        live: live_configuration.LiveConfiguration,
        log: base.Log,
        reader: follower.Follower,
        dump: Callable[[], dict[str, Any]],
    ) -> None:
        """Makes the routes; `attach` adds them."""
        self._key_digests = frozenset(key_digests)
        self._live = live
        self._log = log
        self._reader = reader
        self._dump = dump

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_get("/admin/lists", self._get_lists)
        app.router.add_post("/admin/lists", self._publish)
        app.router.add_get("/admin/keys", self._list_keys)
        app.router.add_post("/admin/keys", self._give_key)
        app.router.add_delete("/admin/keys/{key}", self._withdraw_key)
        app.router.add_get("/admin/dump", self._get_dump)

    def _refuse(self, request: web.Request) -> web.Response | None:
        key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if configuration.digest_key(key) in self._key_digests:
            return None
        return problems.response_of(
            errors.Failure(
                errors.Reason.UNAUTHORISED, "The operator key does not work."
            )
        )

    async def _get_lists(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        current = self._live.current
        content = current.lists.model_dump(mode="json") if current.lists else {}
        return web.json_response({"version": current.version, "lists": content})

    async def _publish(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        try:
            content = lists.Lists.model_validate_json(await request.read())
        except pydantic.ValidationError as error:
            return problems.response_of(
                errors.Failure(errors.Reason.BAD_REQUEST, str(error))
            )
        version = self._live.current.version
        record = records.ConfigurationVersion(version + 1, version, content)
        appended = await self._append(record)
        if isinstance(appended, result.Failure):
            return problems.response_of(appended.failure())
        current = self._live.current
        if current.version <= version or current.lists != content:
            return problems.response_of(
                errors.Failure(
                    errors.Reason.CONFLICT,
                    "Another operator published first; read and try again.",
                )
            )
        return web.json_response({"version": current.version})

    async def _list_keys(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        return web.json_response(
            [
                {"key_id": key.key_id, "organisation": key.organisation}
                for key in self._live.current.working_keys()
            ]
        )

    async def _give_key(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        body = await request.json()
        organisation = ids.OrganisationId(str(body["organisation"]))
        key = f"mt-{secrets.token_urlsafe(_KEY_BYTES)}"
        key_id = ids.KeyId(f"k{secrets.token_hex(_KEY_ID_BYTES)}")
        record = records.KeyGiven(
            key_id, organisation, configuration.digest_key(key)
        )
        appended = await self._append(record)
        if isinstance(appended, result.Failure):
            return problems.response_of(appended.failure())
        return web.json_response({"key_id": key_id, "key": key}, status=201)

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        key_id = ids.KeyId(request.match_info["key"])
        if not self._live.current.is_valid(key_id):
            return problems.response_of(
                errors.Failure(errors.Reason.NOT_FOUND, "No such key.")
            )
        appended = await self._append(records.KeyWithdrawn(key_id))
        if isinstance(appended, result.Failure):
            return problems.response_of(appended.failure())
        return web.json_response({"key_id": key_id})

    async def _get_dump(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        return web.json_response(self._dump())

    async def _append(self, record: Any) -> errors.Outcome[None]:
        data = records.registry.encode_batch([record])
        outcome = await self._log.append(records.CONFIGURATION_STREAM, data)
        if isinstance(outcome, result.Failure):
            return outcome
        await self._reader.wait_for(outcome.unwrap())
        return result.Success(None)
