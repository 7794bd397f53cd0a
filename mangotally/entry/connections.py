"""Connections to targets, with limits on the size of their answers."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import functools
import logging
import re
import socket
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import client_proto, client_reqrep, http_exceptions

from mangotally.util import clock as clock_lib
from mangotally.util import resets

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

logger = logging.getLogger(__name__)

# Status line, header lines and interim (1xx) answers together.
MAX_HEAD_BYTES = 16 * 1024
MAX_INTERIM_ANSWERS = 16
# Bodies with their framing. Single events have a limit of their own.
MAX_BODY_BYTES = 1024 * 1024
MAX_STREAM_BYTES = 2 * 1024 * 1024
# Total of all non-streaming answers being received; small ones are never
# refused because of it.
MAX_PENDING_BYTES = 4 * 1024 * 1024
SMALL_ANSWER_BYTES = 64 * 1024
# Limits what one connection can deliver in one iteration of the event loop.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Copies of earlier answers that are skipped before one answer, and earlier
# requests of a connection whose copies are known.
MAX_SKIPPED_ANSWERS = 4
MAX_EARLIER_REQUESTS = 32
IDLE_CONNECTION_MS = 9000.0
# A request must arrive before the target closes the idle connection.
KEEP_ALIVE_MARGIN_MS = 200.0
EVENT_STREAM = "text/event-stream"
# Chunks of one answer that are parsed before its reader has its turn. The
# library works on each chunk on its own, however short.
MAX_UNREAD_CHUNKS = 128
# Size of the pieces in which a head is passed to the library's parser.
_HEAD_CHUNK_BYTES = 2048
_TIMEOUT = re.compile(r"\btimeout=(\d{1,9})(?!\d)", re.ASCII | re.IGNORECASE)
_HEAD_END = b"\r\n\r\n"
_FIRST_FINAL_STATUS = 200


class OversizeAnswerError(aiohttp.ClientError):
    """A target's answer exceeds a size limit."""


@dataclasses.dataclass
class PendingAnswers:
    """Non-streaming answers that have not been received completely.

    Attributes:
        size_bytes: Bytes received of them so far, heads included.
    """

    size_bytes: int = 0


class AnswerHandler(resets.ResetAwareHandler):
    """Counts and limits the bytes of an answer before they are parsed.

    The library limits the length of single lines, but not what it skips:
    blank lines and interim answers before a head, the size and extension of
    a chunk, trailers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pending: PendingAnswers,
        id_header: str,
    ) -> None:
        """Initialises the handler of one connection.

        Args:
            loop: The event loop.
            pending: Counts pending answers over all connections.
            id_header: Name of the header that tells which request an answer
                belongs to.
        """
        super().__init__(loop)
        self._pending = pending
        self._id_header = id_header
        self._size_bytes = 0
        self._pending_bytes = 0
        self._limit_bytes = MAX_HEAD_BYTES
        self._is_stream = False
        self._has_head = False
        self._interim_answers = 0
        self._idle_ms = IDLE_CONNECTION_MS
        self._received_ms = 0.0
        self._expected_id: str | None = None
        self._earlier_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_EARLIER_REQUESTS
        )
        self._skipped_answers = 0
        # Reads the body of a skipped answer.
        self._skipping: asyncio.Task[None] | None = None

    def is_connected(self) -> bool:
        """Whether a request may be sent; idle connections expire."""
        return super().is_connected() and not self._is_expired

    @property
    def _is_expired(self) -> bool:
        return (
            self._is_complete
            and self._now_ms() >= self._received_ms + self._idle_ms
        )

    def _now_ms(self) -> float:
        return self._loop.time() * clock_lib.MS_PER_S

    def set_response_params(self, **params: Any) -> None:
        """Resets the counters for the answer to the next request."""
        self._stop_counting()
        self._size_bytes = 0
        self._limit_bytes = MAX_HEAD_BYTES
        self._is_stream = False
        self._has_head = False
        self._interim_answers = 0
        self._skipped_answers = 0
        super().set_response_params(**params)

    def expect_request(self, headers: Mapping[str, str]) -> None:
        """Takes the id of the request that is about to be sent."""
        self._expected_id = headers.get(self._id_header)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops counting the answer: no more bytes will arrive."""
        self._stop_counting()
        if self._skipping is not None:
            self._skipping.cancel()
        if self._has_head and not self._is_complete:
            self._log_end_with_connection(exc or self._socket_error)
        super().connection_lost(exc)

    @property
    def _is_complete(self) -> bool:
        """Whether the answer has been received completely."""
        return self._has_head and (
            self._payload is None or self._payload.is_eof()
        )

    def data_received(self, data: bytes) -> None:
        """Checks and parses received bytes.

        Args:
            data: The bytes; if empty, the library goes on to parse bytes
                that it has buffered.
        """
        if not data:
            super().data_received(data)
            return
        while data and not self._has_head and self._exception is None:
            size = _head_chunk_size(data)
            self._receive(data[:size])
            data = data[size:]
        if data and self._exception is None:
            self._receive(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives a parsed head from the library's parser."""
        message, body = data
        if self._has_head:
            self._abort_unexpected("answer")
            return
        if message.code < _FIRST_FINAL_STATUS:
            self._interim_answers += 1
        elif self._is_late_copy(message, body):
            self._skip_answer(message, body)
            return
        else:
            self._has_head = True
            self._earlier_ids.append(message.headers.get(self._id_header, ""))
            content_type = message.headers.get("Content-Type", "")
            self._is_stream = content_type.startswith(EVENT_STREAM)
            limit_bytes = (
                MAX_STREAM_BYTES if self._is_stream else MAX_BODY_BYTES
            )
            self._limit_bytes = MAX_HEAD_BYTES + limit_bytes
            self._idle_ms = _idle_ms(message.headers.get("Keep-Alive", ""))
            if self._id_header not in message.headers:
                # A second copy could be taken for the answer to the next
                # request on this connection.
                self.force_close()
            _limit_unread_chunks(body)
        super().feed_data(data, size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resumes reading after back-pressure from the reader of a body."""
        super().resume_reading(resume_parser)
        self._after_parsing()

    def _is_late_copy(self, message: Any, body: aiohttp.StreamReader) -> bool:
        """Returns whether an answer was already received on this connection.

        A copy without a length can't be told from what follows it.
        """
        named = message.headers.get(self._id_header, "")
        has_end = (
            body.is_eof()
            or message.chunked
            or "Content-Length" in message.headers
        )
        return (
            named in self._earlier_ids
            and named != self._expected_id
            and has_end
            and self._skipped_answers < MAX_SKIPPED_ANSWERS
        )

    def _skip_answer(self, message: Any, body: aiohttp.StreamReader) -> None:
        """Drops a copy of an earlier answer; the expected one follows it."""
        self._skipped_answers += 1
        logger.info(
            "answer_skipped",
            extra={
                "request": self._expected_id,
                "named": message.headers[self._id_header],
                "status": message.code,
            },
        )
        self._limit_bytes = MAX_HEAD_BYTES + MAX_BODY_BYTES
        body.on_eof(self._end_skipped_answer)
        if not body.is_eof():
            self._skipping = self._loop.create_task(_read_to_end(body))

    def _end_skipped_answer(self) -> None:
        self._size_bytes = 0
        self._limit_bytes = MAX_HEAD_BYTES

    def _receive(self, data: bytes) -> None:
        if self._is_complete:
            self._abort_unexpected("bytes")
            return
        self._received_ms = self._now_ms()
        self._size_bytes += len(data)
        if not self._is_stream:
            self._pending_bytes += len(data)
            self._pending.size_bytes += len(data)
        if self._is_oversize():
            self._fail_oversize()
            return
        super().data_received(data)
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self._fail_oversize()
        self._after_parsing()

    def _is_oversize(self) -> bool:
        if self._size_bytes > self._limit_bytes:
            return True
        return (
            self._pending_bytes > SMALL_ANSWER_BYTES
            and self._pending.size_bytes > MAX_PENDING_BYTES
        )

    def _after_parsing(self) -> None:
        error = self._exception
        if isinstance(error, http_exceptions.HttpProcessingError):
            self.fail_body(aiohttp.ClientPayloadError(str(error)))
        if self._is_stream or self._is_complete:
            self._stop_counting()

    def _abort_unexpected(self, what: str) -> None:
        """Closes the connection: the received bytes belong to no request."""
        if self.transport is None or self.transport.is_closing():
            return
        host, port = self.transport.get_extra_info("peername")[:2]
        logger.info(
            "bytes_after_answer",
            extra={"what": what, "address": f"{host}:{port}"},
        )
        self.transport.abort()

    def _log_end_with_connection(self, error: BaseException | None) -> None:
        logger.info(
            "answer_ended_with_connection",
            extra={
                "is_stream": self._is_stream,
                "bytes": self._size_bytes,
                "error": type(error).__name__ if error else "",
            },
        )

    def _stop_counting(self) -> None:
        """Removes the answer from the count of pending bytes."""
        self._pending.size_bytes -= self._pending_bytes
        self._pending_bytes = 0

    def _fail_oversize(self) -> None:
        """Closes the connection; its request gets no complete answer."""
        error = OversizeAnswerError("the answer is larger than the limit")
        self._buffer.clear()
        self.set_exception(error)
        self.fail_body(error)
        if self.transport is not None:
            self.transport.abort()


class Request(aiohttp.ClientRequest):
    """A request that names itself to its connection."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Sends the request."""
        if isinstance(conn.protocol, AnswerHandler):
            conn.protocol.expect_request(self.headers)
        return await super().send(conn)


class Connector(resets.Connector):
    """Connection pool whose connections limit the size of answers."""

    def __init__(self, id_header: str, **options: Any) -> None:
        """Initialises the pool without connections.

        Args:
            id_header: Name of the header that tells which request an answer
                belongs to.
            options: Options of the library's connector.
        """
        super().__init__(
            socket_factory=_make_socket,
            keepalive_timeout=clock_lib.to_seconds(IDLE_CONNECTION_MS),
            **options,
        )
        self._keys: dict[str, client_reqrep.ConnectionKey] = {}
        self._factory = functools.partial(
            _make_handler,
            loop=self._loop,
            pending=PendingAnswers(),
            id_header=id_header,
        )

    def is_idle(self, address: str) -> bool:
        """Returns whether the pool has an idle connection to an address."""
        key = self._keys.get(address)
        if key is None:
            return False
        if key not in self._conns:
            del self._keys[address]
            return False
        return any(handler.is_connected() for handler, _ in self._conns[key])

    def _release(
        self,
        key: client_reqrep.ConnectionKey,
        protocol: client_proto.ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        self._keys[f"{key.host}:{key.port}"] = key
        idle = self._conns.get(key)
        if idle and idle[-1][0] is protocol:
            # The library reuses the first connection of the pool. The most
            # recently used one is moved there: it is the least likely to have
            # been closed by its target.
            idle.rotate(1)


def _idle_ms(keep_alive: str) -> float:
    """Returns the maximum idle time that a Keep-Alive header allows."""
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return IDLE_CONNECTION_MS
    stated_ms = float(found[1]) * clock_lib.MS_PER_S
    return min(stated_ms - KEEP_ALIVE_MARGIN_MS, IDLE_CONNECTION_MS)


def _limit_unread_chunks(body: aiohttp.StreamReader) -> None:
    """Makes a body pause its connection after a number of unread chunks."""
    if body is not aiohttp.EMPTY_PAYLOAD:
        body._high_water_chunks = MAX_UNREAD_CHUNKS
        body._low_water_chunks = MAX_UNREAD_CHUNKS // 2


async def _read_to_end(body: aiohttp.StreamReader) -> None:
    # An error ends the connection, which its request reports.
    with contextlib.suppress(aiohttp.ClientError, OSError):
        while await body.readany():
            pass


def _head_chunk_size(data: bytes) -> int:
    """Returns how many bytes to parse next while a head is awaited.

    Bytes after the head are left for a separate call: an error in them would
    discard the head as well.
    """
    end = data.find(_HEAD_END, 0, _HEAD_CHUNK_BYTES)
    return end + len(_HEAD_END) if end >= 0 else _HEAD_CHUNK_BYTES


def _make_handler(
    loop: asyncio.AbstractEventLoop, pending: PendingAnswers, id_header: str
) -> client_proto.ResponseHandler:
    return AnswerHandler(loop, pending, id_header)


def _make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    return created
