"""Who calls, and what its plan allows."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.policy import configuration
from mangotally.settings import lists

if TYPE_CHECKING:
    from aiohttp import web

    from mangotally.homes import configuration as live_configuration

_SCHEME = "Bearer "


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller whose key works.

    Attributes:
        organisation: Its organisation.
        key_id: Its key's public id.
        plan: Its plan.
    """

    organisation: ids.OrganisationId
    key_id: ids.KeyId
    plan: lists.Plan


def identify(
    request: web.Request, live: live_configuration.LiveConfiguration
) -> errors.Outcome[Caller]:
    """Returns who calls, from the request's key."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(_SCHEME):
        return errors.failed(
            errors.Reason.UNAUTHORISED, "The request carries no key."
        )
    digest = configuration.digest_key(header[len(_SCHEME) :])
    key = live.current.authenticate(digest)
    if key is None:
        return errors.failed(
            errors.Reason.UNAUTHORISED, "The key does not work."
        )
    current = live.current.lists
    plan = current.organisation_plan(key.organisation) if current else None
    if plan is None:
        return errors.failed(
            errors.Reason.FORBIDDEN, "The organisation has no plan."
        )
    return result.Success(Caller(key.organisation, key.key_id, plan))


def check_service(
    caller: Caller,
    service: str,
    kind: lists.ServiceKind,
    live: live_configuration.LiveConfiguration,
) -> errors.Outcome[lists.Service]:
    """Returns a service that the caller may use."""
    current = live.current.lists
    found = current.service(service) if current else None
    if found is None or found.kind is not kind:
        return errors.failed(
            errors.Reason.NOT_FOUND, "There is no such service."
        )
    if service not in caller.plan.services:
        return errors.failed(
            errors.Reason.FORBIDDEN, "The plan does not include the service."
        )
    return result.Success(found)
