"""Authentication of callers, and authorisation by their plan."""

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
    """An authenticated caller.

    Attributes:
        organisation: The caller's organisation.
        key_id: Public id of the API key that the caller presented.
        plan: The organisation's plan.
    """

    organisation: ids.OrganisationId
    key_id: ids.KeyId
    plan: lists.Plan


def authenticate(
    request: web.Request, live: live_configuration.LiveConfiguration
) -> errors.Outcome[Caller]:
    """Authenticates a request by its API key and looks up its plan."""
    unknown = live.refusal()
    if unknown is not None:
        return result.Failure(unknown)
    headers = request.headers.getall("Authorization", [])
    scheme, _, presented = (headers or [""])[0].partition(" ")
    if len(headers) != 1 or scheme.lower() != _SCHEME or not presented:
        return errors.failed(
            errors.Reason.UNAUTHORISED,
            "Expected exactly one header `Authorization: Bearer KEY`.",
        )
    digest = configuration.digest_key(presented.strip())
    key = live.current.authenticate(digest)
    if key is None:
        return errors.failed(
            errors.Reason.UNAUTHORISED,
            "The API key is unknown or has been withdrawn.",
        )
    current = live.current.lists
    plan = current.organisation_plan(key.organisation) if current else None
    if plan is None:
        return errors.failed(
            errors.Reason.FORBIDDEN,
            "The organisation has no plan.",
        )
    return result.Success(Caller(key.organisation, key.key_id, plan))


def authorise_service(
    caller: Caller,
    service: str,
    kind: lists.ServiceKind,
    live: live_configuration.LiveConfiguration,
) -> errors.Outcome[lists.Service]:
    """Returns a service, or a failure if the caller may not use it."""
    current = live.current.lists
    found = current.service(service) if current else None
    if found is None or found.kind is not kind:
        return errors.failed(
            errors.Reason.NOT_FOUND,
            "The configuration has no service of this name and kind.",
        )
    if service not in caller.plan.services:
        return errors.failed(
            errors.Reason.FORBIDDEN,
            "The organisation's plan does not include this service.",
        )
    return result.Success(found)


def is_program_id(text: str) -> bool:
    """Returns whether a text is a well-formed program id."""
    return _PROGRAM.fullmatch(text) is not None


async def run_while_key_active(
    live: live_configuration.LiveConfiguration,
    limiter: limits.ResourceLimiter,
    organisation: ids.OrganisationId,
    key_id: ids.KeyId,
    work: Coroutine[Any, Any, R],
    on_failure: Callable[[errors.Failure], Awaitable[R]],
) -> R:
    """Runs a call, and cancels it if its caller's key is withdrawn.

    Args:
        live: The current configuration; cancels the calls of withdrawn keys.
        limiter: Limits the concurrent calls of an organisation.
        organisation: The caller's organisation.
        key_id: The caller's key.
        work: The call.
        on_failure: Sends the failure to the caller if the call is refused
            or cancelled; its result replaces that of the call.

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
            "The API key was withdrawn while the call was running.",
            errors.Ran.MAY_HAVE_RUN,
        )
    )
