"""Client of plain services."""

from __future__ import annotations

import base64

import aiohttp
from returns import result

from mangotally import errors
from mangotally.hosts import messages
from mangotally.util import clock as clock_lib

MAX_ANSWER_BYTES = 4 * 1024 * 1024


class ServiceClient:
    """Sends calls to targets of plain services."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Makes a client; the caller closes the session."""
        self._session = session

    async def call(
        self, address: str, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Sends one call and returns its answer.

        Args:
            address: Base URL of the target.
            message: The call.

        Returns:
            The answer. A failure says `not-run` only if no byte of the
            call was written.
        """
        timeout = aiohttp.ClientTimeout(
            clock_lib.to_seconds(message.timeout_ms)
        )
        try:
            async with self._session.request(
                message.method,
                f"{address}{message.path}",
                headers=dict(message.headers),
                data=base64.b64decode(message.body_base64),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await _read_limited(response)
                if body is None:
                    return _failed("the answer is too large", errors.Ran.RAN)
                return result.Success(
                    messages.CallAnswer(
                        response.status,
                        response.content_type,
                        base64.b64encode(body).decode(),
                        replayed=False,
                    )
                )
        except aiohttp.ClientConnectorError:
            return _failed("no connection", errors.Ran.NOT_RUN)
        except (aiohttp.ClientError, TimeoutError) as error:
            return _failed(type(error).__name__, errors.Ran.MAY_HAVE_RUN)


async def _read_limited(response: aiohttp.ClientResponse) -> bytes | None:
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return None
        parts.append(part)
    return b"".join(parts)


def _failed(
    detail: str, ran: errors.Ran
) -> errors.Outcome[messages.CallAnswer]:
    return errors.failed(
        errors.Reason.TARGET_FAILED, f"The target failed ({detail}).", ran
    )
