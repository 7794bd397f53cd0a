"""Who calls, and what its plan allows."""

from __future__ import annotations

import asyncio
import dataclasses
import re
from typing import TYPE_CHECKING, Any, TypeVar

from returns import result

from mangotally import errors, ids
from mangotally.callers import limits
from mangotally.policy import configuration
from mangotally.settings import lists

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from aiohttp import web

    from mangotally.homes import configuration as live_configuration

_SCHEME = "bearer"
_PROGRAM = re.compile(r"[A-Za-z0-9._-]{1,128}")
R = TypeVar("R")


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


def authenticate(
    request: web.Request, live: live_configuration.LiveConfiguration
) -> errors.Outcome[Caller]:
    """Returns who calls, from the request's key."""
    unknown = live.refusal()
    if unknown is not None:
        return result.Failure(unknown)
    headers = request.headers.getall("Authorization", [])
    scheme, _, presented = (headers or [""])[0].partition(" ")
    if len(headers) != 1 or scheme.lower() != _SCHEME or not presented:
        return errors.failed(
            errors.Reason.UNAUTHORISED,
            "The request must carry one key, as `Authorization: Bearer KEY`.",
        )
    digest = configuration.digest_key(presented.strip())
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


def authorise_service(
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


def is_program_id(text: str) -> bool:
    """Returns whether a text can be the id of a program."""
    return _PROGRAM.fullmatch(text) is not None


async def run_while_key_active(
    live: live_configuration.LiveConfiguration,
    limiter: limits.ResourceLimiter,
    organisation: ids.OrganisationId,
    key_id: ids.KeyId,
    work: Coroutine[Any, Any, R],
    on_failure: Callable[[errors.Failure], Awaitable[R]],
) -> R:
    """Runs a call; ends it when its caller's key is withdrawn.

    Args:
        live: The configuration in force.
        limiter: Counts the calls of organisations.
        organisation: The caller's organisation.
        key_id: The caller's key.
        work: The call.
        on_failure: Tells the caller why, and returns in place of the call.

    Returns:
        what the call or `on_failure` returned.
    """
    with (
        limiter.count_call(organisation) as admitted,
        live.guard(key_id) as guard,
    ):
        if not admitted:
            work.close()
            return await on_failure(limits.too_many_calls())
        try:
            return await work
        except asyncio.CancelledError:
            task = asyncio.current_task()
            assert task is not None
            if not guard.withdrawn or task.uncancel() > 0:
                raise
    return await on_failure(
        errors.Failure(
            errors.Reason.UNAUTHORISED,
            "The key was withdrawn.",
            errors.Ran.MAY_HAVE_RUN,
        )
    )
