"""Stand-in for the platform's host list.

GET  /entries      -> [{"id", "kind", "address", "place", "service",
    "state"}]
POST /faults {...} sets fields of `RosterFaults`
"""

from __future__ import annotations

import asyncio
import dataclasses

from aiohttp import web

from mangotally.roster import base
from mangotally.standins import faults, server
from mangotally.util import clock as clock_lib
from mangotally.util import codec


@dataclasses.dataclass
class RosterFaults:
    """Faults that the host list simulates.

    Attributes:
        down: Answers 503 to every request.
        lag_ms: Delay until a change becomes visible.
    """

    down: bool = False
    lag_ms: float = 0.0


class RosterStandIn(server.StandIn):
    """Serves the entries that were put into it, with a delay."""

    def __init__(self, lag_ms: float = 0.0) -> None:
        """Creates an empty list.

        Args:
            lag_ms: Delay until a change becomes visible.
        """
        super().__init__()
        self.faults = RosterFaults(lag_ms=lag_ms)
        self._entries: dict[str, base.RosterEntry] = {}

    def application(self) -> web.Application:
        """Returns the aiohttp application to serve."""
        app = web.Application()
        app.router.add_get("/entries", self._list)
        faults.add_routes(app, lambda: self.faults)
        return app

    async def put(self, entry: base.RosterEntry) -> None:
        """Adds or replaces an entry after the delay."""
        await asyncio.sleep(clock_lib.to_seconds(self.faults.lag_ms))
        self._entries[entry.id] = entry

    async def remove(self, entry_id: str) -> None:
        """Removes an entry after the delay."""
        await asyncio.sleep(clock_lib.to_seconds(self.faults.lag_ms))
        self._entries.pop(entry_id, None)

    async def set_state(self, entry_id: str, state: base.EntryState) -> None:
        """Changes the state of an entry after the delay."""
        entry = self._entries[entry_id]
        await self.put(dataclasses.replace(entry, state=state))

    async def _list(self, _request: web.Request) -> web.Response:
        if self.faults.down:
            return web.Response(status=503)
        entries = tuple(self._entries.values())
        adapter = codec.type_adapter(tuple[base.RosterEntry, ...])
        return web.Response(
            body=adapter.dump_json(entries), content_type="application/json"
        )
