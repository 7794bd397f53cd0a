"""RPC client and server for calls between entry hosts."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import math
from typing import TYPE_CHECKING, Any, Protocol, Self

import grpc

from mangotally.entry import entry_pb2, entry_pb2_grpc
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import (
        AsyncGenerator,
        AsyncIterator,
        Awaitable,
        Callable,
    )

    from mangotally.entry import homes as homes_lib

logger = logging.getLogger(__name__)

KEEPALIVE_MS = 2000
KEEPALIVE_TIMEOUT_MS = 1000
# Time-out of a connection until the other host has answered. If it were shorter
# than that takes when all hosts are busy, none would ever connect, and the
# attempts would keep them busy.
CONNECT_TIMEOUT_MS = 1000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 200
# A forwarded request: the largest body and head.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Limits of the back-off before a host that did not answer is called again.
MIN_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1000.0
# Calls that may take long at a healthy host: they wait for the log, or for
# other requests.
_SLOW_CALLS = frozenset({"CallStore", "Reserve"})
_TIMEOUT = grpc.StatusCode.DEADLINE_EXCEEDED.name
OPTIONS = (
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    # Despite its name, this option is the time-out of a connection.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)


class Handlers(Protocol):
    """Handles the calls of other hosts."""

    async def call_store(
        self, request: entry_pb2.StoreCall
    ) -> entry_pb2.StoreReply:
        """Forwards a call to the store."""

    async def take_tokens(
        self, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        """Admits a call within an organisation's rate limit."""

    async def hand_over(
        self, request: entry_pb2.HandOverRequest
    ) -> entry_pb2.HandOverReply:
        """Hands an organisation's bucket over to a later home."""

    async def reserve(
        self, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        """Reserves tokens of a program's budget."""

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Settles a reservation."""

    async def place(
        self, request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        """Assigns a slot at a target."""

    async def report(
        self, request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        """Processes a report on slots."""

    def forward(
        self, request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        """Sends a request to a target, and yields the answer."""


@dataclasses.dataclass
class _Backoff:
    """Back-off of a host that does not answer.

    Attributes:
        until_ms: When the host may be called again.
        pause_ms: Length of the last pause between calls.
    """

    until_ms: float
    pause_ms: float


@dataclasses.dataclass(frozen=True)
class _Connection:
    """A connection to a host, and the stub for calls over it."""

    channel: grpc.aio.Channel
    stub: entry_pb2_grpc.EntryStub


# Answer of hosts of earlier versions, which do not know the call.
_UNABLE = entry_pb2.ForwardPart(
    end=entry_pb2.ForwardEnd(outcome=entry_pb2.ForwardEnd.UNABLE)
)


class ForwardCall:
    """A request that another host sends to a target for this one."""

    def __init__(
        self,
        call: Any,
        on_answer: Callable[[], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Takes over a call that has been started.

        Args:
            call: The call.
            on_answer: Called when the host has answered.
            on_failure: Called with the reason if the call fails.
        """
        self._call = call
        self._on_answer = on_answer
        self._on_failure = on_failure

    async def read(self) -> entry_pb2.ForwardPart | None:
        """Returns the next part of the answer; None if the host is lost."""
        try:
            part = await self._call.read()
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.UNIMPLEMENTED:
                return _UNABLE
            self._on_failure(error.code().name)
            return None
        if part is grpc.aio.EOF:
            return None
        self._on_answer()
        return part

    def abandon(self) -> None:
        """Ends the call; the host has not answered in time."""
        self._on_failure("no-answer")
        self.cancel()

    def cancel(self) -> None:
        """Ends the call, so that the target stops working on the request."""
        self._call.cancel()


class PeerClient:
    """Calls other hosts; a connection is opened on first use.

    A host that did not answer is not called again until its back-off ends.
    The back-off doubles after each time-out, up to a limit.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._connections: dict[str, _Connection] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._answered_ms: dict[str, float] = {}
        self._on_stale_homes: Callable[[], None] = lambda: None

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        connections, self._connections = self._connections, {}
        await asyncio.gather(
            *(connection.channel.close() for connection in connections.values())
        )

    def on_stale_homes(self, callback: Callable[[], None]) -> None:
        """Registers a callback for when the known homes may be out of date.

        Args:
            callback: Called when a host does not answer, or replies that it
                is not the home. Home: the host that owns a key.
        """
        self._on_stale_homes = callback

    def home_address(self, homes: homes_lib.Homes, key: str) -> str | None:
        """Returns the address of a key's home, or None.

        None if the home is unknown, is this host itself according to the
        other hosts, or has not answered recently.
        """
        home = homes.home_of(key)
        if home is None or homes.is_self(home):
            return None
        return home.address if self.is_available(home.address) else None

    def is_available(self, address: str) -> bool:
        """Returns whether a host may be called: it has no back-off now."""
        backoff = self._backoffs.get(address)
        return backoff is None or self._clock.now_ms() >= backoff.until_ms

    async def call_store(
        self, address: str, request: entry_pb2.StoreCall, timeout_ms: float
    ) -> entry_pb2.StoreReply | None:
        """Calls the store through another host; None if it does not answer."""
        return await self._call(address, "CallStore", request, timeout_ms)

    async def take_tokens(
        self, address: str, request: entry_pb2.TakeRequest, timeout_ms: float
    ) -> entry_pb2.TakeReply | None:
        """Asks an organisation's home to admit a call; None if no answer."""
        return await self._call_home(address, "TakeTokens", request, timeout_ms)

    async def hand_over(
        self,
        address: str,
        request: entry_pb2.HandOverRequest,
        timeout_ms: float,
    ) -> entry_pb2.HandOverReply | None:
        """Asks an earlier home for a bucket; None if it does not answer."""
        if not self.is_available(address):
            return None
        return await self._call(address, "HandOver", request, timeout_ms)

    async def reserve(
        self,
        address: str,
        request: entry_pb2.ReserveRequest,
        timeout_ms: float,
    ) -> entry_pb2.ReserveReply | None:
        """Asks a program's home for a reservation; None if no answer."""
        return await self._call_home(address, "Reserve", request, timeout_ms)

    async def settle(
        self, address: str, request: entry_pb2.SettleRequest, timeout_ms: float
    ) -> entry_pb2.SettleReply | None:
        """Settles a reservation at a program's home; None if no answer."""
        return await self._call(address, "Settle", request, timeout_ms)

    async def place(
        self, address: str, request: entry_pb2.PlaceRequest, timeout_ms: float
    ) -> entry_pb2.PlaceReply | None:
        """Asks a service's home for a slot; None if it does not answer."""
        return await self._call_home(address, "Place", request, timeout_ms)

    async def report(
        self, address: str, request: entry_pb2.PlaceReport, timeout_ms: float
    ) -> entry_pb2.ReportReply | None:
        """Reports slots to a service's home; None if it does not answer."""
        return await self._call(address, "Report", request, timeout_ms)

    async def connect(self, address: str, timeout_ms: float) -> bool:
        """Returns whether there is a connection to a host within a time.

        A request whose connection can't be established has not been sent.
        """
        channel = self._connection(address).channel
        ready = grpc.ChannelConnectivity.READY
        try:
            async with asyncio.timeout(clock_lib.to_seconds(timeout_ms)):
                state = channel.get_state(try_to_connect=True)
                while state is not ready:
                    await channel.wait_for_state_change(state)
                    state = channel.get_state(try_to_connect=True)
        except TimeoutError:
            self._back_off(address, "connect", "no-connection")
            return False
        return True

    def forward(
        self,
        address: str,
        request: entry_pb2.ForwardRequest,
        timeout_ms: float,
    ) -> ForwardCall:
        """Begins to send a request to a target through another host."""
        stub = self._connection(address).stub
        sent_ms = self._clock.now_ms()
        return ForwardCall(
            stub.Forward(request, timeout=clock_lib.to_seconds(timeout_ms)),
            lambda: self._record_answer(address),
            lambda reason: self._handle_failure(
                address, "Forward", reason, sent_ms
            ),
        )

    async def _call_home(
        self, address: str, method: str, request: Any, timeout_ms: float
    ) -> Any:
        """Calls a host that may no longer be the home."""
        reply = await self._call(address, method, request, timeout_ms)
        if reply is not None and reply.outcome == reply.NOT_HOME:
            self._on_stale_homes()
        return reply

    async def _call(
        self, address: str, method: str, request: Any, timeout_ms: float
    ) -> Any:
        stub = self._connection(address).stub
        sent_ms = self._clock.now_ms()
        try:
            reply = await getattr(stub, method)(
                request, timeout=clock_lib.to_seconds(timeout_ms)
            )
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.UNIMPLEMENTED:
                # A host of an earlier version.
                logger.info(
                    "call_unknown", extra={"address": address, "call": method}
                )
                return None
            self._handle_failure(address, method, error.code().name, sent_ms)
            return None
        self._record_answer(address)
        return reply

    def _record_answer(self, address: str) -> None:
        self._answered_ms[address] = self._clock.now_ms()
        if self._backoffs.pop(address, None) is not None:
            logger.info("host_regained", extra={"address": address})

    def _connection(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            channel = grpc.aio.insecure_channel(address, options=OPTIONS)
            connection = _Connection(channel, entry_pb2_grpc.EntryStub(channel))
            self._connections[address] = connection
        return connection

    def _handle_failure(
        self, address: str, method: str, reason: str, sent_ms: float
    ) -> None:
        answered_ms = self._answered_ms.get(address, -math.inf)
        is_slow = reason == _TIMEOUT and method in _SLOW_CALLS
        if is_slow and answered_ms > sent_ms:
            # The host has answered other calls meanwhile: it is available,
            # and only this call is slow.
            logger.info("call_slow", extra={"address": address, "call": method})
            return
        self._back_off(address, method, reason)

    def _back_off(self, address: str, method: str, reason: str) -> None:
        self._on_stale_homes()
        now_ms = self._clock.now_ms()
        backoff = self._backoffs.get(address)
        if backoff is not None:
            if now_ms >= backoff.until_ms:
                # Doubled after a time-out only: a refused connection fails
                # without delay, and may work again soon.
                if reason == _TIMEOUT:
                    backoff.pause_ms = min(2 * backoff.pause_ms, MAX_BACKOFF_MS)
                backoff.until_ms = now_ms + backoff.pause_ms
            return
        self._backoffs[address] = _Backoff(
            now_ms + MIN_BACKOFF_MS, MIN_BACKOFF_MS
        )
        logger.warning(
            "host_lost",
            extra={"address": address, "call": method, "reason": reason},
        )


class Server:
    """RPC server for other hosts; listens while the context is entered."""

    def __init__(
        self, address: str, handlers: Handlers, count: Callable[[str], None]
    ) -> None:
        """Initialises the server; it does not listen yet.

        Args:
            address: IP address and port to listen on.
            handlers: Handle the calls.
            count: Called with the name of each call that is served.
        """
        self._address = address
        self._handlers = handlers
        self._count = count
        self._server: grpc.aio.Server

    async def __aenter__(self) -> Self:
        """Starts to listen."""
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
    """Passes calls to the handlers; method names are those of the protocol."""

    def __init__(
        self, handlers: Handlers, count: Callable[[str], None]
    ) -> None:
        self.CallStore = _unary(handlers.call_store, count)
        self.TakeTokens = _unary(handlers.take_tokens, count)
        self.HandOver = _unary(handlers.hand_over, count)
        self.Reserve = _unary(handlers.reserve, count)
        self.Settle = _unary(handlers.settle, count)
        self.Place = _unary(handlers.place, count)
        self.Report = _unary(handlers.report, count)
        self.Forward = _streaming(handlers.forward, count)


def _unary(
    handler: Callable[[Any], Awaitable[Any]],
    count: Callable[[str], None],
) -> Callable[[Any, Any], Awaitable[Any]]:
    name = handler.__name__

    async def handle(request: Any, _context: Any) -> Any:
        count(name)
        return await handler(request)

    return handle


def _streaming(
    handler: Callable[[Any], AsyncGenerator[Any, None]],
    count: Callable[[str], None],
) -> Callable[[Any, Any], AsyncIterator[Any]]:
    name = handler.__name__

    async def handle(request: Any, _context: Any) -> AsyncIterator[Any]:
        count(name)
        async with contextlib.aclosing(handler(request)) as parts:
            async for part in parts:
                yield part

    return handle
