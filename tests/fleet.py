"""A fleet on the loopback interface, for integration tests."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any, Self

import aiohttp

from mangotally import ids
from mangotally.commands import local

if TYPE_CHECKING:
    from mangotally.standins import engine

ORGANISATION = ids.OrganisationId("escola-braga")
MODEL_SERVICE = "assistente"
PLAIN_SERVICE = "balcao"


class Fleet:
    """A local fleet and an HTTP session for requests to it."""

    def __init__(self, hosts: int = 3) -> None:
        self.local = local.LocalFleet("tornos-norte", hosts)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        await self._stack.enter_async_context(self.local)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._stack.aclose()

    def key(self, organisation: ids.OrganisationId = ORGANISATION) -> str:
        """Returns an organisation's key."""
        return self.local.platform.keys[organisation][1]

    def engines(self) -> list[engine.EngineStandIn]:
        """Returns the model engines."""
        return list(self.local.platform.engines.values())

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        entry: int = 0,
        headers: dict[str, str] | None = None,
        key: str | None = None,
    ) -> tuple[int, Any]:
        """Sends a request; returns the status and the decoded response."""
        all_headers = {"Authorization": f"Bearer {key or self.key()}"}
        all_headers.update(headers or {})
        url = self.local.entry_urls()[entry] + path
        async with self.session.request(
            method, url, json=body, headers=all_headers
        ) as response:
            text = await response.text()
            if "json" in response.content_type:
                return response.status, json.loads(text)
            return response.status, text

    async def open_program(self, **fields: Any) -> str:
        """Opens a program; returns its id."""
        body = {"service": MODEL_SERVICE, **fields}
        status, answer = await self.request("POST", "/v1/programs", body)
        assert status == 201, answer
        return str(answer["program_id"])

    async def turn(
        self,
        program: str,
        number: int,
        text: str,
        entry: int = 0,
        **fields: Any,
    ) -> tuple[int, Any]:
        """Runs a turn; returns the status and the decoded response."""
        body = {
            "model": MODEL_SERVICE,
            "messages": [{"role": "user", "content": text}],
            **fields,
        }
        headers = {
            "Mangotally-Program": program,
            "Mangotally-Turn": str(number),
        }
        return await self.request(
            "POST", "/v1/chat/completions", body, entry, headers
        )

    async def stop(self, number: int) -> None:
        """Stops a host gracefully, as SIGTERM does."""
        await self.local.hosts[number].__aexit__()

    async def kill(self, number: int) -> None:
        """Stops a host's heartbeats and connections, as a crash does.

        The host does not leave the fleet.
        """
        host = self.local.hosts[number]
        host.members.stop_without_leaving()
        await host.stop_at_once()
