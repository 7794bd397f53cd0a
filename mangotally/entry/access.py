"""Decides which route and organisation a request has access to."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import answers, model

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.entry import access_log as access_log_lib
    from mangotally.entry import configuration_cache, requests

# Retry-After while there is no configuration, or none recent enough to deny.
CONFIGURATION_RETRY_MS = 300.0
# Retry-After while the cached configuration is stale. An outage that lasted
# long enough to make it stale seldom ends at once.
STALE_RETRY_MS = 800.0
# Before an unknown key or route is denied, a cached configuration older than
# this is refreshed.
DENIAL_AGE_MS = 100.0


@dataclasses.dataclass(frozen=True)
class Access:
    """Access that has been granted to a request.

    Attributes:
        configuration: The configuration that grants it.
        route: The route of the request.
        organisation: Its organisation, or None on public routes.
    """

    configuration: model.Configuration
    route: model.Route
    organisation: model.Organisation | None

    @property
    def organisation_id(self) -> ids.OrganisationId:
        """Id of the organisation; empty on public routes."""
        if self.organisation is None:
            return ids.OrganisationId("")
        return self.organisation.id


class AccessControl:
    """Decides by the cached configuration what requests may access."""

    def __init__(
        self,
        cache: configuration_cache.ConfigurationCache,
        refresh: Callable[[], Awaitable[bool]],
    ) -> None:
        """Initialises the access control.

        Args:
            cache: The cached configuration.
            refresh: Reads the configuration now; returns whether that
                succeeded.
        """
        self._cache = cache
        self._refresh = refresh

    async def check(
        self,
        received: requests.CallerRequest,
        log_entry: access_log_lib.AccessLogEntry,
    ) -> Access | answers.Refusal:
        """Returns what a request may access.

        An unknown key or route is denied only by a recently confirmed
        configuration, which is refreshed first if necessary.
        """
        cache = self._cache
        access = self._find_access(received)
        if _is_denial(access) and cache.age_ms > DENIAL_AGE_MS:
            is_read = await self._refresh()
            access = (
                self._find_access(received)
                if is_read
                else _refuse_stale_denial()
            )
        configuration = cache.configuration
        log_entry.version = configuration.version if configuration else 0
        log_entry.proof_age_ms = cache.age_ms
        return access

    def _find_access(
        self, received: requests.CallerRequest
    ) -> Access | answers.Refusal:
        cache = self._cache
        configuration = cache.configuration
        if configuration is None:
            return answers.Refusal(
                answers.Cause.NO_CONFIGURATION,
                retry_after_ms=CONFIGURATION_RETRY_MS,
            )
        route = configuration.find_route(received.host, received.path_only)
        if route is None or not route.backends:
            return answers.Refusal(answers.Cause.NO_ROUTE)
        if route.is_public or not configuration.organisations:
            return Access(configuration, route, None)
        if not cache.is_fresh:
            return answers.Refusal(
                answers.Cause.STALE_CONFIGURATION,
                f"age {cache.age_ms:.0f} ms",
                STALE_RETRY_MS,
            )
        organisation = configuration.organisation_of(received.key or "")
        if organisation is None:
            return answers.Refusal(answers.Cause.BAD_KEY)
        return Access(configuration, route, organisation)


def _is_denial(access: Access | answers.Refusal) -> bool:
    return isinstance(access, answers.Refusal) and access.cause in (
        answers.Cause.NO_ROUTE,
        answers.Cause.BAD_KEY,
    )


def _refuse_stale_denial() -> answers.Refusal:
    return answers.Refusal(
        answers.Cause.STALE_CONFIGURATION,
        "configuration too old to deny access",
        CONFIGURATION_RETRY_MS,
    )
