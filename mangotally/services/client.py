"""HTTP client for the targets of plain services."""

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
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_NO_ENCODING = {"Accept-Encoding": "identity"}
_REFUSAL_STATUSES = frozenset({429, 503})


class ServiceClient:
    """Sends calls to the targets of plain services."""

    def __init__(
        self,
        channels: channels_lib.Channels,
        connect_ms: float = 1000,
    ) -> None:
        """Creates a client.

        Args:
            channels: Connections to targets; the caller closes them.
            connect_ms: Timeout for establishing a connection.
        """
        self._channels = channels
        self._connect_ms = connect_ms

    async def call(
        self,
        address: str,
        message: messages.RunCall,
        is_repeatable: bool,
        timeout_ms: float,
    ) -> result.Result[messages.CallAnswer, faults.Fault]:
        """Sends a call and returns its response.

        A call that is not repeatable uses a new connection. The target may
        close a reused connection just as the request is sent, and then it
        cannot be determined whether the call has run. aiohttp's own resend
        of requests is disabled.

        Args:
            address: Base URL of the target.
            message: The call.
            is_repeatable: Whether the call may safely run more than once.
            timeout_ms: Timeout of the call.

        Returns:
            The response, or a fault. The fault's `ran` is `not-run` only if
            no byte of the call was written to the target.
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
                    headers=_NO_ENCODING | dict(message.headers),
                    data=base64.b64decode(message.body_base64),
                    timeout=timeout,
                    allow_redirects=False,
                ) as response,
            ):
                return await _read_response(response, is_repeatable)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return result.Failure(http_engine.fault_from_exception(error))

    async def classify_fault(
        self, address: str, fault: faults.Fault
    ) -> faults.Fault:
        """Determines whether a broken connection was a crash of the target."""
        if fault.kind is not faults.FaultKind.BROKEN:
            return fault
        probe_fault = await self.probe(address)
        if probe_fault is None:
            return fault
        return faults.after_resume(fault, probe_fault)

    async def probe(self, address: str) -> faults.Fault | None:
        """Probes a target over a new connection; any response is a success."""
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


async def _read_response(
    response: aiohttp.ClientResponse, is_repeatable: bool
) -> result.Result[messages.CallAnswer, faults.Fault]:
    if is_repeatable and response.status in _REFUSAL_STATUSES:
        return result.Failure(
            faults.Fault(
                faults.FaultKind.REFUSED,
                f"status {response.status}",
                http_engine.parse_retry_after(response.headers),
            )
        )
    body = await responses.read_limited(response, MAX_RESPONSE_BYTES)
    if body is None:
        return result.Failure(
            faults.Fault(faults.FaultKind.OVERSIZE, "the response is too large")
        )
    return result.Success(
        messages.CallAnswer(
            response.status,
            response.headers.get("Content-Type", "application/octet-stream"),
            base64.b64encode(body).decode(),
            replayed=False,
        )
    )
