"""HTTP connections to targets, pooled by target.

Each target has a session of its own, so that the connections to one target
can be dropped without those to others.
"""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING, Self

import aiohttp

from mangotally.util import clock as clock_lib
from mangotally.util import resets

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator

KEEPALIVE_MS = 15_000
# From this number of pooled targets, targets without calls are dropped before
# another one is added.
CHANNEL_EVICTION_THRESHOLD = 256


class SentError(aiohttp.ClientError):
    """The connection failed after the request may have been written."""


@dataclasses.dataclass
class _Channel:
    """The pooled connections to one target.

    Attributes:
        session: Session with the connections.
        users: Number of calls that use the session.
        retired: Whether the session closes once no call uses it.
    """

    session: aiohttp.ClientSession
    users: int = 0
    retired: bool = False


class Channels:
    """Pooled connections by target, and connections for single requests."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        """Creates the pools; they can be used once this is entered.

        Args:
            tls: TLS context for connections to targets, or None for the
                default.
        """
        self._tls = tls
        self._channels: dict[str, _Channel] = {}
        self._unpooled: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Opens the session for unpooled connections."""
        self._unpooled = self._session(reuse=False)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.session.close()
        if self._unpooled is not None:
            await self._unpooled.close()

    @property
    def unpooled(self) -> aiohttp.ClientSession:
        """A session that opens a new connection for each request."""
        assert self._unpooled is not None
        return self._unpooled

    @contextlib.asynccontextmanager
    async def pooled(
        self, address: str
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Provides the session that reuses connections to a target."""
        channel = self._channels.get(address)
        if channel is None:
            await self._evict_idle()
            channel = _Channel(self._session(reuse=True))
            self._channels[address] = channel
        channel.users += 1
        try:
            yield channel.session
        finally:
            channel.users -= 1
            if channel.retired and channel.users == 0:
                await channel.session.close()

    async def drop(self, address: str) -> None:
        """Stops reusing the connections to a target.

        Calls in flight keep their connections until they end.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        channel.retired = True
        if channel.users == 0:
            await channel.session.close()

    async def _evict_idle(self) -> None:
        if len(self._channels) < CHANNEL_EVICTION_THRESHOLD:
            return
        for address, channel in list(self._channels.items()):
            if channel.users == 0:
                await self.drop(address)

    def _session(self, reuse: bool) -> aiohttp.ClientSession:
        tls = self._tls if self._tls is not None else True
        if reuse:
            connector = resets.Connector(
                limit=0,
                ssl=tls,
                keepalive_timeout=clock_lib.to_seconds(KEEPALIVE_MS),
            )
        else:
            connector = resets.Connector(limit=0, ssl=tls, force_close=True)
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_prevent_resend,),
        )


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevents aiohttp from sending a request again on a new connection.

    A `SentError` is not retried by aiohttp. Failures to connect are passed
    on as they are, since nothing was sent.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except aiohttp.ConnectionTimeoutError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise SentError(type(error).__name__) from error
