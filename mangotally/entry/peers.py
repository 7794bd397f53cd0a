"""Calls between entry hosts."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from typing import TYPE_CHECKING, Any, Protocol, Self

import grpc

from mangotally.entry import entry_pb2, entry_pb2_grpc
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.entry import homes as homes_lib

logger = logging.getLogger(__name__)

KEEPALIVE_MS = 2000
KEEPALIVE_TIMEOUT_MS = 1000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 200
# A host that did not answer is called again after these times.
MIN_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1000.0
# Calls that wait for the log, or for other requests, at a host that is well.
_MAY_BE_SLOW = frozenset({"CallStore", "Reserve"})
_TIMEOUT = grpc.StatusCode.DEADLINE_EXCEEDED.name
OPTIONS = (
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
)


class Handlers(Protocol):
    """What this host does for others."""

    async def call_store(
        self, request: entry_pb2.StoreCall
    ) -> entry_pb2.StoreReply:
        """Passes a call on to the store."""

    async def take_tokens(
        self, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        """Grants tokens of an organisation's rate."""

    async def reserve(
        self, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        """Sets tokens of a program's budget aside."""

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Ends a reservation."""

    async def place(
        self, request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        """Grants a place at a target."""

    async def report(
        self, request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        """Takes a report on places."""


@dataclasses.dataclass
class _Silence:
    """A host that does not answer.

    Attributes:
        until_ms: When it is called again.
        pause_ms: How long it was not called last.
    """

    until_ms: float
    pause_ms: float


@dataclasses.dataclass(frozen=True)
class _Link:
    """A connection to a host, and its calls."""

    channel: grpc.aio.Channel
    stub: entry_pb2_grpc.EntryStub


class PeerClient:
    """Links to other hosts; each opens on first use.

    A host that did not answer is left alone for a while, longer each time.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Makes an owner of no links."""
        self._clock = clock
        self._links: dict[str, _Link] = {}
        self._silent: dict[str, _Silence] = {}
        self._answered_ms: dict[str, float] = {}
        self._note_stale: Callable[[], None] = lambda: None

    async def __aenter__(self) -> Self:
        """Returns the owner."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all links."""
        links, self._links = self._links, {}
        await asyncio.gather(*(link.channel.close() for link in links.values()))

    def on_stale_homes(self, note_stale: Callable[[], None]) -> None:
        """Names what to call when a host turns out to be no home, or silent."""
        self._note_stale = note_stale

    def home_address(self, homes: homes_lib.Homes, key: str) -> str | None:
        """Returns where the home of a key is called, or None.

        There is none if the home is not known, is this host as other hosts
        see it, or did not answer a moment ago.
        """
        home = homes.home_of(key)
        if home is None or homes.is_self(home):
            return None
        return home.address if self.is_available(home.address) else None

    def is_available(self, address: str) -> bool:
        """Returns whether a host is worth calling now."""
        silence = self._silent.get(address)
        return silence is None or self._clock.now_ms() >= silence.until_ms

    async def call_store(
        self, address: str, request: entry_pb2.StoreCall, timeout_ms: float
    ) -> entry_pb2.StoreReply | None:
        """Has another host call the store; None if it does not answer."""
        return await self._call(address, "CallStore", request, timeout_ms)

    async def take_tokens(
        self, address: str, request: entry_pb2.TakeRequest, timeout_ms: float
    ) -> entry_pb2.TakeReply | None:
        """Asks an organisation's home; None if it does not answer."""
        return await self._ask(address, "TakeTokens", request, timeout_ms)

    async def reserve(
        self,
        address: str,
        request: entry_pb2.ReserveRequest,
        timeout_ms: float,
    ) -> entry_pb2.ReserveReply | None:
        """Asks a program's home; None if it does not answer."""
        return await self._ask(address, "Reserve", request, timeout_ms)

    async def settle(
        self, address: str, request: entry_pb2.SettleRequest, timeout_ms: float
    ) -> entry_pb2.SettleReply | None:
        """Tells a program's home; None if it does not answer."""
        return await self._call(address, "Settle", request, timeout_ms)

    async def place(
        self, address: str, request: entry_pb2.PlaceRequest, timeout_ms: float
    ) -> entry_pb2.PlaceReply | None:
        """Asks a service's home; None if it does not answer."""
        return await self._ask(address, "Place", request, timeout_ms)

    async def report(
        self, address: str, request: entry_pb2.PlaceReport, timeout_ms: float
    ) -> entry_pb2.ReportReply | None:
        """Reports to a service's home; None if it does not answer."""
        return await self._call(address, "Report", request, timeout_ms)

    async def _ask(
        self, address: str, method: str, request: Any, timeout_ms: float
    ) -> Any:
        """Calls a home that may not be it any more."""
        reply = await self._call(address, method, request, timeout_ms)
        if reply is not None and reply.outcome == reply.NOT_HOME:
            self._note_stale()
        return reply

    async def _call(
        self, address: str, method: str, request: Any, timeout_ms: float
    ) -> Any:
        stub = self._link(address).stub
        sent_ms = self._clock.now_ms()
        try:
            reply = await getattr(stub, method)(
                request, timeout=clock_lib.to_seconds(timeout_ms)
            )
        except grpc.aio.AioRpcError as error:
            self._note_failure(address, method, error.code().name, sent_ms)
            return None
        self._answered_ms[address] = self._clock.now_ms()
        if self._silent.pop(address, None) is not None:
            logger.info("host_regained", extra={"address": address})
        return reply

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            channel = grpc.aio.insecure_channel(address, options=OPTIONS)
            link = _Link(channel, entry_pb2_grpc.EntryStub(channel))
            self._links[address] = link
        return link

    def _note_failure(
        self, address: str, method: str, reason: str, sent_ms: float
    ) -> None:
        answered_ms = self._answered_ms.get(address, -math.inf)
        is_slow = reason == _TIMEOUT and method in _MAY_BE_SLOW
        if is_slow and answered_ms > sent_ms:
            # It has answered others meanwhile: only this call is slow.
            logger.info("call_slow", extra={"address": address, "call": method})
            return
        self._note_silent(address, method, reason)

    def _note_silent(self, address: str, method: str, reason: str) -> None:
        self._note_stale()
        now_ms = self._clock.now_ms()
        known = self._silent.get(address)
        if known is not None:
            if now_ms >= known.until_ms:
                # A refused connection costs no waiting, and may soon work.
                if reason == _TIMEOUT:
                    known.pause_ms = min(2 * known.pause_ms, MAX_BACKOFF_MS)
                known.until_ms = now_ms + known.pause_ms
            return
        self._silent[address] = _Silence(
            now_ms + MIN_BACKOFF_MS, MIN_BACKOFF_MS
        )
        logger.warning(
            "host_lost",
            extra={"address": address, "call": method, "reason": reason},
        )


class Server:
    """Serves other hosts while entered."""

    def __init__(
        self, address: str, handlers: Handlers, count: Callable[[str], None]
    ) -> None:
        """Makes a server.

        Args:
            address: IP address and port to listen at.
            handlers: What is done.
            count: Called with the name of each call that is served.
        """
        self._address = address
        self._handlers = handlers
        self._count = count
        self._server: grpc.aio.Server

    async def __aenter__(self) -> Self:
        """Listens."""
        self._server = grpc.aio.server(options=OPTIONS)
        entry_pb2_grpc.add_EntryServicer_to_server(
            _Servicer(self._handlers, self._count), self._server
        )
        self._server.add_insecure_port(self._address)
        await self._server.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops listening."""
        await self._server.stop(0)


class _Servicer(entry_pb2_grpc.EntryServicer):
    """Hands calls to the handlers; the names are the protocol's."""

    def __init__(
        self, handlers: Handlers, count: Callable[[str], None]
    ) -> None:
        self.CallStore = _unary(handlers.call_store, count)
        self.TakeTokens = _unary(handlers.take_tokens, count)
        self.Reserve = _unary(handlers.reserve, count)
        self.Settle = _unary(handlers.settle, count)
        self.Place = _unary(handlers.place, count)
        self.Report = _unary(handlers.report, count)


def _unary(
    handler: Callable[[Any], Awaitable[Any]],
    count: Callable[[str], None],
) -> Callable[[Any, Any], Awaitable[Any]]:
    name = handler.__name__

    async def handle(request: Any, _context: Any) -> Any:
        count(name)
        return await handler(request)

    return handle
