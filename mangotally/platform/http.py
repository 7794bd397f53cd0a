"""Transport of store calls over HTTP."""

from __future__ import annotations

from typing import Self

import aiohttp
import yarl

from mangotally.platform import store
from mangotally.util import clock as clock_lib
from mangotally.util import resets, responses

CONNECT_TIMEOUT_MS = 400
IDLE_CONNECTION_MS = 20_000
MAX_CONNECTIONS = 16
# Reads ask for 1 MiB at most; a larger record is returned on its own.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class DirectTransport:
    """This host's HTTP connections to the store.

    A connection whose answer times out is closed, so that a dead connection
    is not reused.
    """

    def __init__(self, address: str) -> None:
        """Creates the transport; entering its context opens the session.

        Args:
            address: IP address and port of the store.
        """
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        """Opens the session."""
        self._session = aiohttp.ClientSession(
            connector=resets.Connector(
                limit=MAX_CONNECTIONS,
                keepalive_timeout=clock_lib.to_seconds(IDLE_CONNECTION_MS),
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the connections."""
        await self._session.close()

    async def call(self, call: store.Call) -> store.Reply | store.Unavailable:
        """Returns the store's answer."""
        headers = {"Content-Type": "application/json"} if call.is_json else {}
        timeout = aiohttp.ClientTimeout(
            total=clock_lib.to_seconds(call.timeout_ms),
            sock_connect=clock_lib.to_seconds(CONNECT_TIMEOUT_MS),
        )
        try:
            async with self._session.request(
                call.method,
                yarl.URL(self._base + call.path_and_query, encoded=True),
                data=call.body or None,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await responses.read_limited(response, MAX_ANSWER_BYTES)
                if body is None:
                    return store.Unavailable("oversize-answer")
                return store.Reply(response.status, body)
        except TimeoutError:
            return store.Unavailable("timeout")
        except (aiohttp.ClientError, OSError) as error:
            return store.Unavailable(type(error).__name__)
