"""HTTP client of the log service."""

from __future__ import annotations

import base64
import binascii
from typing import Any

import aiohttp
from returns import result

from mangotally import errors, ids
from mangotally.log import base
from mangotally.util import clock

APPEND_TIMEOUT_MS = 2000
READ_TIMEOUT_MS = 3000
READ_MAX_BYTES = 8 * 1024 * 1024
RETRY_AFTER_MS = 5000
_BODY_ERRORS = (ValueError, KeyError, TypeError, binascii.Error)


class HttpLog:
    """Log over HTTP; `mangotally.standins.log` is a server for tests."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Creates a client.

        Args:
            session: The HTTP session; the caller closes it.
            url: Base URL of the service.
        """
        self._session = session
        self._url = url.rstrip("/")

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends one record; see `base.Log.append`."""
        url = f"{self._url}/streams/{stream}"
        timeout = aiohttp.ClientTimeout(clock.to_seconds(APPEND_TIMEOUT_MS))
        try:
            async with self._session.post(
                url, data=data, timeout=timeout
            ) as response:
                if response.status != 200:
                    return _unavailable(f"append: status {response.status}")
                body = await response.json()
                return result.Success(ids.Offset(int(body["offset"])))
        except (aiohttp.ClientError, TimeoutError) as error:
            return _unavailable(f"append: {type(error).__name__}")
        except _BODY_ERRORS:
            return _unavailable("append: malformed answer")

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        """Reads records, starting at an offset; see `base.Log.read`."""
        url = f"{self._url}/streams/{stream}"
        params = {
            "offset": str(offset),
            "wait_ms": str(wait_ms),
            "max_bytes": str(READ_MAX_BYTES),
        }
        timeout = aiohttp.ClientTimeout(
            clock.to_seconds(READ_TIMEOUT_MS + wait_ms)
        )
        try:
            async with self._session.get(
                url, params=params, timeout=timeout
            ) as response:
                if response.status != 200:
                    return _unavailable(f"read: status {response.status}")
                return result.Success(_parse_slice(await response.json()))
        except (aiohttp.ClientError, TimeoutError) as error:
            return _unavailable(f"read: {type(error).__name__}")
        except _BODY_ERRORS:
            return _unavailable("read: malformed answer")


def _parse_slice(body: dict[str, Any]) -> base.Slice:
    entries = tuple(
        base.Entry(
            ids.Offset(int(item["offset"])),
            base64.b64decode(item["data"], validate=True),
        )
        for item in body["entries"]
    )
    return base.Slice(
        entries,
        ids.Offset(int(body["oldest_offset"])),
        ids.Offset(int(body["next_offset"])),
    )


def _unavailable(detail: str) -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.LOG_UNAVAILABLE,
        f"The log is unavailable ({detail}).",
        retry_after_ms=RETRY_AFTER_MS,
    )
