"""Connections of callers, with bounds on what each of them may occupy."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from aiohttp import web, web_protocol

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)

# Request line and header lines together, and the number of lines.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADER_LINES = 1024
# Time for the head of a request, from its first byte.
HEAD_TIMEOUT_MS = 10_000.0
# Requests that are read before those before them are answered.
MAX_REQUESTS_AHEAD = 4
# Bytes of a body that are read before they are used; twice that is buffered.
BODY_BUFFER_BYTES = 16 * 1024
# Unread answers above this size keep further requests waiting.
WRITE_BUFFER_BYTES = 32 * 1024
UNREAD_TIMEOUT_MS = 15_000.0
CHECK_INTERVAL_MS = 1000.0
# Connections beyond the limit whose last request is under way.
MAX_CLOSING_FRACTION = 0.1
# Longer than any idle time-out that operators configure for callers'
# connections.
KEEP_ALIVE_TIMEOUT_S = 75.0
# Size of the pieces in which received bytes are passed to the parser.
_PIECE_BYTES = 4 * 1024
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class Connection(web_protocol.RequestHandler):
    """A connection that limits unread heads, requests and answers."""

    __slots__ = ("_head_bytes", "_head_ms", "_last_body", "_unparsed")

    def __init__(self, manager: Connections, **options: Any) -> None:
        """Initialises a connection without requests."""
        super().__init__(manager, **options)
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._unparsed = b""
        self._head_bytes = 0
        self._head_ms = 0.0
        self._last_body: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve, unless there are too many connections."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._connections.make_room(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drops what has not been parsed."""
        self._unparsed = b""
        if self._manager is not None:
            self._connections.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes up to the limits of the connection."""
        if not data:
            # The library continues with what its parser holds.
            self._parse_piece(data)
            return
        self._unparsed += data
        self._parse()

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request has been received."""
        if self._waiter is None or self._waiter.done():
            return False
        self.force_close()
        return True

    def close_after_answer(self) -> None:
        """Closes the connection after the request under way.

        Requests that were sent ahead are dropped; they have not run.
        """
        self._messages.clear()
        self._unparsed = b""
        self.close()

    def is_head_overdue(self, now_ms: float) -> bool:
        """Returns whether a head has taken too long."""
        return bool(self._head_bytes) and (
            now_ms - self._head_ms >= HEAD_TIMEOUT_MS
        )

    @property
    def _connections(self) -> Connections:
        assert isinstance(self._manager, Connections)
        return self._manager

    def _parse(self) -> None:
        while self._unparsed and not self._buffer_paused:
            if self._force_close or self._close:
                self._unparsed = b""
                return
            piece = self._unparsed[:_PIECE_BYTES]
            self._unparsed = self._unparsed[_PIECE_BYTES:]
            self._parse_piece(piece)

    def _parse_piece(self, piece: bytes) -> None:
        is_in_body = self._last_body is not None and (
            not self._last_body.is_eof()
        )
        count_before = self._request_count
        super().data_received(piece)
        if self._request_count != count_before:
            self._head_bytes = 0
            self._last_body = self._messages[-1][1] if self._messages else None
            if self._manager is not None:
                is_ahead = len(self._messages) > 1
                self._connections.record_request(self, is_ahead)
        elif not is_in_body:
            self._count_head(len(piece))

    def _count_head(self, size_bytes: int) -> None:
        if not self._head_bytes:
            self._head_ms = self._now_ms()
        self._head_bytes += size_bytes
        if self._head_bytes <= MAX_HEAD_BYTES:
            return
        self._unparsed = b""
        if self.transport is not None and self._current_request is None:
            self.transport.write(_HEAD_TOO_LARGE)
        self.force_close()

    def _resume_reading_if_drained(self) -> None:
        super()._resume_reading_if_drained()
        self._parse()

    def _now_ms(self) -> float:
        return self._loop.time() * clock_lib.MS_PER_S

    async def _handle_request(
        self, *arguments: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handles a request once the answers before it are read."""
        try:
            async with asyncio.timeout(clock_lib.to_seconds(UNREAD_TIMEOUT_MS)):
                await self._drain_helper()
        except TimeoutError:
            logger.info("answers_unread")
            self.force_close()
            raise ConnectionAbortedError from None
        result = await super()._handle_request(*arguments)
        if not self._messages and self._manager is not None:
            self._connections.record_idle(self)
        return result


class Connections(web.Server):
    """Makes the connections of a server, and bounds their number.

    Attributes:
        idle: Connections without a request under way, those longest idle
            first.
    """

    def __init__(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_connections: int,
        **options: Any,
    ) -> None:
        """Starts without connections.

        Args:
            handle: Answers a request.
            max_connections: Beyond this number, the connection that has been
                idle longest is closed.
            options: Options of the library's server.
        """
        super().__init__(
            handle,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEADER_LINES,
            read_bufsize=BODY_BUFFER_BYTES,
            auto_decompress=False,
            lingering_time=0.0,
            **options,
        )
        self._max_connections = max_connections
        self.idle: dict[Connection, None] = {}
        # Connections with requests sent ahead, and those that close.
        self._ahead: dict[Connection, None] = {}
        self._closing: set[Connection] = set()

    def __call__(self) -> web_protocol.RequestHandler:
        """Returns a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)

    def make_room(self, newest: Connection) -> None:
        """Closes another connection if there are too many.

        The first to go is the one idle longest, then one whose caller has sent
        requests ahead. If all others have one request under way, the newest
        connection is closed without being read.
        """
        count = len(self.connections) - len(self._closing)
        if count > self._max_connections:
            if not (self._close_longest_idle() or self._close_ahead()):
                newest.force_close()
            logger.info("connections_full", extra={"connections": count})
        self.record_idle(newest)

    def record_idle(self, connection: Connection) -> None:
        """Records that a connection has no request under way."""
        self._ahead.pop(connection, None)
        self.idle[connection] = None

    def record_request(self, connection: Connection, is_ahead: bool) -> None:
        """Records that a connection has a request, or more than one."""
        self.idle.pop(connection, None)
        if is_ahead:
            self._ahead[connection] = None

    def forget(self, connection: Connection) -> None:
        """Drops a connection that has ended."""
        self.idle.pop(connection, None)
        self._ahead.pop(connection, None)
        self._closing.discard(connection)

    def _close_longest_idle(self) -> bool:
        for each in list(self.idle):
            del self.idle[each]
            if each.close_if_idle():
                return True
        return False

    def _close_ahead(self) -> bool:
        is_limited = len(self._closing) >= (
            self._max_connections * MAX_CLOSING_FRACTION
        )
        if is_limited or not self._ahead:
            return False
        first = next(iter(self._ahead))
        del self._ahead[first]
        self._closing.add(first)
        first.close_after_answer()
        return True

    def close_idle(self) -> None:
        """Closes the connections that have no request under way."""
        for connection in self.connections:
            assert isinstance(connection, Connection)
            connection.close_if_idle()

    async def run(self) -> None:
        """Closes connections whose heads take too long, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(CHECK_INTERVAL_MS))
            now_ms = self._loop.time() * clock_lib.MS_PER_S
            for each in list(self.idle):
                if each.is_head_overdue(now_ms):
                    logger.info("head_overdue")
                    each.force_close()
