"""HTTP client of the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from returns import result

from mangotally import errors
from mangotally.engines import http as http_engine
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.engines import channels as channels_lib

TIMEOUT_MS = 5000
RETRY_AFTER_MS = 1000


class HttpWeightStore:
    """Weight store over HTTP.

    `mangotally.standins.weights` is a server for tests.
    """

    def __init__(self, channels: channels_lib.Channels, url: str) -> None:
        """Creates a client; the caller closes the channels."""
        self._channels = channels
        self._url = url.rstrip("/")

    async def fetch(self, name: str) -> errors.Outcome[int]:
        """Requests weights; see `client.WeightStore`."""
        timeout = aiohttp.ClientTimeout(clock_lib.to_seconds(TIMEOUT_MS))
        try:
            async with self._channels.unpooled.post(
                f"{self._url}/fetch",
                json={"name": name},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    retry_after_ms = http_engine.parse_retry_after(
                        response.headers
                    )
                    return _unavailable(retry_after_ms or RETRY_AFTER_MS)
                return result.Success(int((await response.json())["bytes"]))
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            return _unavailable(RETRY_AFTER_MS)


def _unavailable(retry_after_ms: int) -> errors.Outcome[int]:
    return errors.failed(
        errors.Reason.UNAVAILABLE,
        "The weight store is unavailable.",
        retry_after_ms=retry_after_ms,
    )
