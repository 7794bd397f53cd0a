"""Requests that a host sends to a target for a host that can't reach it.

Load pattern: some hosts lose their paths to all targets for seconds, while
callers and the other hosts still reach them. Their callers are served through
the other hosts; the home of a service assigns the slots as before.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import random
from typing import TYPE_CHECKING

import aiohttp
import multidict

from mangotally import ids
from mangotally.entry import entry_pb2, model, sending, target_paths
from mangotally.policy import relay_choice
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterable

    from mangotally.entry import directory as directory_lib
    from mangotally.entry import headers as headers_lib
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers, target_client

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
_ENCODING = "utf-8"
_ERRORS = "surrogateescape"


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
        return entry_pb2.ForwardRequest(
            target=target,
            request=request.id,
            method=request.method,
            path=request.path.encode(_ENCODING, _ERRORS),
            headers=_header_messages(headers.items()),
            body=request.body,
            deadline_in_ms=remaining_ms,
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
            return _failure(part.end)
        headers = _read_headers(part.head.headers)
        request.on_headers(headers)
        if part.head.is_stream:
            return ForwardedStream(
                call, headers, self._clock, request.deadline_ms
            )
        return await _receive_body(call, part.head.status, headers)


class Forwarder:
    """Sends requests to targets for hosts that can't reach them."""

    def __init__(
        self,
        client: target_client.TargetClient,
        directory: directory_lib.TargetDirectory,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the forwarder.

        Args:
            client: Sends requests to targets.
            directory: Lists the targets.
            clock: Source of the current time.
        """
        self._client = client
        self._directory = directory
        self._clock = clock
        self.is_draining = False
        self.active_requests = 0

    async def forward(
        self, request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        """Sends a request to its target, and yields the parts of the answer."""
        target = self._directory.find(ids.TargetId(request.target))
        is_able = target is not None and not self.is_draining
        if not is_able or not await self._client.can_forward():
            yield _end(entry_pb2.ForwardEnd.UNABLE)
            return
        assert target is not None
        self.active_requests += 1
        try:
            yield entry_pb2.ForwardPart(accepted=entry_pb2.ForwardAccepted())
            async with contextlib.aclosing(
                self._send(target, request)
            ) as parts:
                async for part in parts:
                    yield part
        finally:
            self.active_requests -= 1

    async def _send(
        self, target: model.Target, request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        received: list[multidict.CIMultiDictProxy[str]] = []
        outgoing = sending.Outgoing(
            model.RequestId(request.request),
            request.method,
            request.path.decode(_ENCODING, _ERRORS),
            multidict.CIMultiDict(_read_headers(request.headers)),
            request.body,
            self._clock.now_ms() + request.deadline_in_ms,
            received.append,
        )
        outcome = await self._client.send_directly(
            target, outgoing, is_repeatable=False
        )
        if isinstance(outcome, sending.Stream):
            async with contextlib.aclosing(_stream_parts(outcome)) as parts:
                async for part in parts:
                    yield part
            return
        for headers in received:
            yield _head(outcome, headers)
        match outcome:
            case sending.Whole():
                yield entry_pb2.ForwardPart(data=outcome.body)
                yield _end(entry_pb2.ForwardEnd.COMPLETE)
            case sending.NotRun():
                yield _end_not_run(outcome)
            case sending.Broken():
                yield _end_broken(outcome)


async def _stream_parts(
    stream: sending.Stream,
) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
    """Yields the parts of a stream, and closes it if that is broken off."""
    try:
        yield _head(stream, stream.headers)
        async with contextlib.aclosing(stream.chunks()) as chunks:
            async for chunk in chunks:
                yield entry_pb2.ForwardPart(data=chunk)
    finally:
        if not stream.is_done:
            stream.close()
    if stream.failure is not None:
        yield _end_broken(stream.failure)
    else:
        yield _end(entry_pb2.ForwardEnd.COMPLETE)


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
            return _failure(part.end)


def _header_messages(
    headers: Iterable[tuple[str, str]],
) -> list[entry_pb2.Header]:
    return [
        entry_pb2.Header(name=name, value=value.encode(_ENCODING, _ERRORS))
        for name, value in headers
    ]


def _read_headers(
    messages: Iterable[entry_pb2.Header],
) -> multidict.CIMultiDictProxy[str]:
    return multidict.CIMultiDictProxy(
        multidict.CIMultiDict(
            (each.name, each.value.decode(_ENCODING, _ERRORS))
            for each in messages
        )
    )


def _lost() -> sending.Broken:
    return sending.Broken("relay-lost", is_path_lost=True)


def _failure(
    end: entry_pb2.ForwardEnd,
) -> sending.NotRun | sending.Broken | None:
    match end.outcome:
        case entry_pb2.ForwardEnd.UNABLE:
            return None
        case entry_pb2.ForwardEnd.NOT_RUN:
            return sending.NotRun(end.reason, end.status, end.is_reached)
        case _:
            return sending.Broken(end.reason, end.is_timeout, end.is_path_lost)


def _head(
    outcome: sending.Outcome, headers: multidict.CIMultiDictProxy[str]
) -> entry_pb2.ForwardPart:
    status = outcome.status if isinstance(outcome, sending.Whole) else 0
    return entry_pb2.ForwardPart(
        head=entry_pb2.ForwardHead(
            status=status,
            headers=_header_messages(headers.items()),
            is_stream=isinstance(outcome, sending.Stream),
        )
    )


def _end(
    outcome: entry_pb2.ForwardEnd.Outcome.ValueType,
) -> entry_pb2.ForwardPart:
    return entry_pb2.ForwardPart(end=entry_pb2.ForwardEnd(outcome=outcome))


def _end_not_run(outcome: sending.NotRun) -> entry_pb2.ForwardPart:
    if outcome.is_path_lost:
        return _end(entry_pb2.ForwardEnd.UNABLE)
    return entry_pb2.ForwardPart(
        end=entry_pb2.ForwardEnd(
            outcome=entry_pb2.ForwardEnd.NOT_RUN,
            reason=outcome.reason,
            status=outcome.status,
            is_reached=outcome.is_reached,
        )
    )


def _end_broken(outcome: sending.Broken) -> entry_pb2.ForwardPart:
    return entry_pb2.ForwardPart(
        end=entry_pb2.ForwardEnd(
            outcome=entry_pb2.ForwardEnd.BROKEN,
            reason=outcome.reason,
            is_timeout=outcome.is_timeout,
            is_path_lost=outcome.is_path_lost,
        )
    )
