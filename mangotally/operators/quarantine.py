"""The endpoints for quarantined requests in the administration API.

GET    /admin/quarantine           -> [{"digest", "service", ...}]
DELETE /admin/quarantine/{digest}  ends the quarantine of a request
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from returns import result

from mangotally.callers import problems

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.homes import quarantine

    Handler = Callable[[web.Request], Awaitable[web.Response]]

PATH = "/admin/quarantine"


class QuarantineRoutes:
    """Routes below `/admin/quarantine`."""

    def __init__(
        self,
        live: quarantine.LiveQuarantine,
        require_key: Callable[[Handler], Handler],
    ) -> None:
        """Creates the routes.

        Args:
            live: The current quarantine.
            require_key: Wraps a handler so that it requires an operator key.
        """
        self._live = live
        self._require_key = require_key

    def attach(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_get(PATH, self._require_key(self._list))
        app.router.add_delete(
            f"{PATH}/{{digest}}", self._require_key(self._lift)
        )

    async def _list(self, _request: web.Request) -> web.Response:
        return web.json_response(
            [
                {
                    "digest": item.digest,
                    "service": item.service,
                    "targets": list(item.targets),
                    "until_wall_ms": item.until_wall_ms,
                }
                for item in self._live.quarantined()
            ]
        )

    async def _lift(self, request: web.Request) -> web.Response:
        digest = request.match_info["digest"]
        outcome = await self._live.lift(digest)
        if isinstance(outcome, result.Failure):
            return problems.make_response(outcome.failure())
        return web.json_response({"digest": digest})
