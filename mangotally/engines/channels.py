"""Connections to targets, kept apart so that one target's can be dropped."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING, Self

import aiohttp

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator

KEEPALIVE_MS = 15_000
CHANNEL_EVICTION_THRESHOLD = 256


class SentError(aiohttp.ClientError):
    """The connection broke after the request may have been written."""


@dataclasses.dataclass
class _Channel:
    """The pooled connections to one target."""

    session: aiohttp.ClientSession
    users: int = 0
    retired: bool = False


class Channels:
    """Pooled connections by target, and new connections on request."""

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        """Makes the pools; entering it makes them usable.

        Args:
            tls: TLS context towards targets, or None for the default.
        """
        self._tls = tls
        self._channels: dict[str, _Channel] = {}
        self._fresh: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Returns the pools."""
        self._fresh = self._session(reuse=False)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.session.close()
        if self._fresh is not None:
            await self._fresh.close()

    @property
    def unpooled(self) -> aiohttp.ClientSession:
        """A session that makes a new connection for each request."""
        assert self._fresh is not None
        return self._fresh

    @contextlib.asynccontextmanager
    async def pooled(
        self, address: str
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Lends the session that reuses connections to a target."""
        channel = self._channels.get(address)
        if channel is None:
            await self._trim()
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
        """Stops the reuse of the connections to a target.

        Calls under way keep theirs until they end.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        channel.retired = True
        if channel.users == 0:
            await channel.session.close()

    async def _trim(self) -> None:
        if len(self._channels) < CHANNEL_EVICTION_THRESHOLD:
            return
        for address, channel in list(self._channels.items()):
            if channel.users == 0:
                await self.drop(address)

    def _session(self, reuse: bool) -> aiohttp.ClientSession:
        tls = self._tls if self._tls is not None else True
        if reuse:
            connector = aiohttp.TCPConnector(
                limit=0,
                ssl=tls,
                keepalive_timeout=clock_lib.to_seconds(KEEPALIVE_MS),
            )
        else:
            connector = aiohttp.TCPConnector(limit=0, ssl=tls, force_close=True)
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_never_resend,),
        )


async def _never_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keeps the library from sending a request a second time."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except aiohttp.ConnectionTimeoutError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise SentError(type(error).__name__) from error
