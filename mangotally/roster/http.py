"""HTTP client of the list of hosts and targets."""

from __future__ import annotations

import aiohttp
from returns import result

from mangotally import errors
from mangotally.roster import base
from mangotally.util import clock, codec

TIMEOUT_MS = 2000


class HttpRoster:
    """Roster over HTTP; `mangotally.standins.roster` is a server for tests."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Creates a client; the caller closes the session."""
        self._session = session
        self._url = url.rstrip("/")

    async def list(self) -> errors.Outcome[tuple[base.RosterEntry, ...]]:
        """Returns all entries."""
        timeout = aiohttp.ClientTimeout(clock.to_seconds(TIMEOUT_MS))
        adapter = codec.type_adapter(tuple[base.RosterEntry, ...])
        try:
            async with self._session.get(
                f"{self._url}/entries", timeout=timeout
            ) as response:
                body = await response.read()
                return result.Success(adapter.validate_json(body))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return errors.failed(
                errors.Reason.UNAVAILABLE,
                f"The host list is unavailable ({type(error).__name__}).",
            )
