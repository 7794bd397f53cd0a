"""Sends requests to targets through other hosts.

Load pattern: some hosts lose their paths to all targets for seconds, while
callers and the other hosts still reach them. Their callers are served through
the other hosts; the home of a service assigns the slots as before.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import random
from typing import TYPE_CHECKING

import aiohttp

from mangotally.entry import (
    entry_pb2,
    forward_messages,
    sending,
    target_paths,
)
from mangotally.policy import relay_choice
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import multidict

    from mangotally import ids
    from mangotally.entry import headers as headers_lib
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 200.0
# Time-out of a host's statement that it is about to send a request. It may
# check its paths before.
ACCEPT_TIMEOUT_MS = target_paths.CHECK_TIMEOUT_MS + 150.0
# The call between the hosts lasts longer than the request by this time, so
# that the host at the target can report a time-out.
CALL_MARGIN_MS = 200.0
# Hosts that are asked for one request.
MAX_ASKED_HOSTS = 4


class ForwardedStream(sending.Stream):
    """A streaming response that another host receives."""

    def __init__(
        self,
        call: peers.ForwardCall,
        headers: multidict.CIMultiDictProxy[str],
        clock: clock_lib.Clock,
        deadline_ms: float,
    ) -> None:
        """Takes over a call whose head has been received; see `Stream`."""
        super().__init__(headers, clock, deadline_ms)
        self._call = call

    async def read(self) -> bytes:
        """Returns the next bytes; see `Stream`."""
        part = await self._call.read()
        if part is None:
            raise sending.PathLostError("relay-lost")
        if part.WhichOneof("part") == "data":
            return part.data
        if part.end.outcome == entry_pb2.ForwardEnd.COMPLETE:
            return b""
        if part.end.is_path_lost:
            raise sending.PathLostError(part.end.reason)
        raise aiohttp.ClientPayloadError(part.end.reason)

    def close(self) -> None:
        """Ends the call, so that the target stops generating."""
        self._call.cancel()


class Relays:
    """Sends requests to targets through other hosts.

    Attributes:
        outcomes: Number of these requests by outcome.
    """

    def __init__(
        self,
        peer_client: peers.PeerClient,
        homes: homes_lib.Homes,
        names: headers_lib.HeaderNames,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the client.

        Args:
            peer_client: Calls other hosts.
            homes: Lists the other hosts.
            names: Names of headers.
            clock: Source of the current time.
        """
        self._peer_client = peer_client
        self._homes = homes
        self._names = names
        self._clock = clock
        self._choice = relay_choice.RelayChoice()
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def send(
        self, target: ids.TargetId, request: sending.Outgoing
    ) -> sending.Outcome:
        """Sends a request through a host that reaches its target."""
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(clock_lib.to_seconds(remaining_ms)):
                outcome = await self._ask_hosts(target, request)
        except TimeoutError:
            outcome = sending.Broken("timeout", is_timeout=True)
        self.outcomes[type(outcome).__name__] += 1
        return outcome

    async def _ask_hosts(
        self, target: ids.TargetId, request: sending.Outgoing
    ) -> sending.Outcome:
        available = [
            each.address
            for each in self._homes.others()
            if self._peer_client.is_available(each.address)
        ]
        random.shuffle(available)
        ordered = self._choice.order(available, self._clock.now_ms())
        for address in ordered[:MAX_ASKED_HOSTS]:
            outcome = await self._send_through(address, target, request)
            is_able = outcome is not None
            self._choice.record(address, is_able, self._clock.now_ms())
            if outcome is not None:
                logger.info(
                    "request_forwarded",
                    extra={
                        "request": request.id,
                        "target": target,
                        "address": address,
                        "outcome": type(outcome).__name__,
                    },
                )
                return outcome
        return sending.NotRun("no-relay", is_reached=False, is_path_lost=True)

    async def _send_through(
        self, address: str, target: ids.TargetId, request: sending.Outgoing
    ) -> sending.Outcome | None:
        """Sends a request through a host; None if that host is unable to."""
        if not await self._peer_client.connect(address, CONNECT_TIMEOUT_MS):
            return None
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        call = self._peer_client.forward(
            address,
            self._message(target, request, remaining_ms),
            remaining_ms + CALL_MARGIN_MS,
        )
        is_taken_over = False
        try:
            outcome = await self._receive(call, request)
            is_taken_over = isinstance(outcome, ForwardedStream)
            return outcome
        finally:
            if not is_taken_over:
                call.cancel()

    def _message(
        self,
        target: ids.TargetId,
        request: sending.Outgoing,
        remaining_ms: float,
    ) -> entry_pb2.ForwardRequest:
        headers = request.headers.copy()
        # Time has passed since the headers were made.
        headers[self._names.time_left] = str(int(remaining_ms))
        return forward_messages.forward_request(
            target, request, headers, remaining_ms
        )

    async def _receive(
        self, call: peers.ForwardCall, request: sending.Outgoing
    ) -> sending.Outcome | None:
        try:
            async with asyncio.timeout(clock_lib.to_seconds(ACCEPT_TIMEOUT_MS)):
                part = await call.read()
        except TimeoutError:
            call.abandon()
            return sending.Broken("relay-silent", is_path_lost=True)
        if part is not None and part.WhichOneof("part") == "accepted":
            part = await call.read()
        if part is None:
            return _lost()
        if part.WhichOneof("part") == "end":
            return forward_messages.failure(part.end)
        headers = forward_messages.read_headers(part.head.headers)
        request.on_headers(headers)
        if part.head.is_stream:
            return ForwardedStream(
                call, headers, self._clock, request.deadline_ms
            )
        return await _receive_body(call, part.head.status, headers)


async def _receive_body(
    call: peers.ForwardCall,
    status: int,
    headers: multidict.CIMultiDictProxy[str],
) -> sending.Outcome | None:
    body = bytearray()
    while True:
        part = await call.read()
        if part is None:
            return _lost()
        if part.WhichOneof("part") == "data":
            body += part.data
        elif part.end.outcome == entry_pb2.ForwardEnd.COMPLETE:
            return sending.Whole(status, headers, bytes(body))
        else:
            return forward_messages.failure(part.end)


def _lost() -> sending.Broken:
    return sending.Broken("relay-lost", is_path_lost=True)
