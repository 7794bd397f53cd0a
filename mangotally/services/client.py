"""Client of plain services."""

from __future__ import annotations

import base64
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import yarl
from returns import result

from mangotally.engines import http as http_engine
from mangotally.hosts import messages
from mangotally.policy import faults
from mangotally.util import clock as clock_lib
from mangotally.util import responses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.engines import channels as channels_lib

PROBE_PATH = "/.well-known/live"
PROBE_TIMEOUT_MS = 2000
MAX_ANSWER_BYTES = 4 * 1024 * 1024
_IDENTITY = {"Accept-Encoding": "identity"}
_REFUSALS = frozenset({429, 503})


class ServiceClient:
    """Sends calls to targets of plain services."""

    def __init__(
        self,
        channels: channels_lib.Channels,
        connect_ms: float = 1000,
    ) -> None:
        """Makes a client; the caller closes the channels."""
        self._channels = channels
        self._connect_ms = connect_ms

    async def call(
        self,
        address: str,
        message: messages.RunCall,
        is_repeatable: bool,
        timeout_ms: float,
    ) -> result.Result[messages.CallAnswer, faults.Fault]:
        """Sends one call and returns its answer.

        A call that may not be repeated gets a connection of its own: on a
        reused one, a close by the target and the request can cross, and
        nobody could tell whether the call has run. The library never
        sends a request twice here.

        Args:
            address: Base URL of the target.
            message: The call.
            is_repeatable: Whether running the call twice does no harm.
            timeout_ms: Longest time for the answer.

        Returns:
            The answer, or a fault. Its `ran` is `not-run` only if no
            byte of the call was written to the target.
        """
        timeout = aiohttp.ClientTimeout(
            clock_lib.to_seconds(timeout_ms),
            sock_connect=clock_lib.to_seconds(self._connect_ms),
        )
        try:
            async with (
                self._session(address, is_repeatable) as session,
                session.request(
                    message.method,
                    yarl.URL(f"{address}{message.path}", encoded=True),
                    headers=_IDENTITY | dict(message.headers),
                    data=base64.b64decode(message.body_base64),
                    timeout=timeout,
                    allow_redirects=False,
                ) as response,
            ):
                return await _read_answer(response, is_repeatable)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return result.Failure(http_engine.fault_from_exception(error))

    async def classify_fault(
        self, address: str, fault: faults.Fault
    ) -> faults.Fault:
        """Tells a crash of a target from a broken connection."""
        if fault.kind is not faults.FaultKind.BROKEN:
            return fault
        probed = await self.probe(address)
        if probed is None:
            return fault
        return faults.after_resume(fault, probed)

    async def probe(self, address: str) -> faults.Fault | None:
        """Tries a new connection to a target; any answer will do."""
        timeout = aiohttp.ClientTimeout(clock_lib.to_seconds(PROBE_TIMEOUT_MS))
        try:
            async with self._channels.unpooled.get(
                f"{address}{PROBE_PATH}", timeout=timeout, allow_redirects=False
            ):
                return None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return http_engine.fault_from_exception(error)

    @contextlib.asynccontextmanager
    async def _session(
        self, address: str, is_repeatable: bool
    ) -> AsyncIterator[aiohttp.ClientSession]:
        if not is_repeatable:
            yield self._channels.unpooled
            return
        async with self._channels.pooled(address) as session:
            yield session


async def _read_answer(
    response: aiohttp.ClientResponse, is_repeatable: bool
) -> result.Result[messages.CallAnswer, faults.Fault]:
    if is_repeatable and response.status in _REFUSALS:
        return result.Failure(
            faults.Fault(
                faults.FaultKind.REFUSED,
                f"status {response.status}",
                http_engine.parse_retry_after(response.headers),
            )
        )
    body = await responses.read_limited(response, MAX_ANSWER_BYTES)
    if body is None:
        return result.Failure(
            faults.Fault(faults.FaultKind.OVERSIZE, "the answer is too large")
        )
    return result.Success(
        messages.CallAnswer(
            response.status,
            response.headers.get("Content-Type", "application/octet-stream"),
            base64.b64encode(body).decode(),
            replayed=False,
        )
    )
