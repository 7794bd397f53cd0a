"""Connections to targets, whose answers are bounded as they arrive."""

from __future__ import annotations

import dataclasses
import functools
import logging
import re
import socket
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import client_proto, client_reqrep, http_exceptions

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import asyncio

logger = logging.getLogger(__name__)

# Status line, header lines and interim answers together.
MAX_HEAD_BYTES = 16 * 1024
MAX_INTERIM_ANSWERS = 16
# Bodies with their framing. One event is bounded by itself.
MAX_BODY_BYTES = 1024 * 1024
MAX_STREAM_BYTES = 2 * 1024 * 1024
# All whole answers under way together; small ones are never refused.
MAX_PENDING_BYTES = 4 * 1024 * 1024
SMALL_ANSWER_BYTES = 64 * 1024
# What one connection can hand over in one turn of the event loop.
RECEIVE_BYTES = 32 * 1024
IDLE_CONNECTION_MS = 9000.0
# A request has to arrive before its target closes the connection.
KEEP_ALIVE_MARGIN_MS = 200.0
EVENT_STREAM = "text/event-stream"
# What the library is handed at once while a head is awaited.
_HEAD_PART_BYTES = 2048
_TIMEOUT = re.compile(r"\btimeout=(\d{1,9})(?!\d)", re.ASCII | re.IGNORECASE)
_HEAD_END = b"\r\n\r\n"
_FIRST_FINAL_STATUS = 200


class OversizeAnswerError(aiohttp.ClientError):
    """A target sent more than an answer may have."""


@dataclasses.dataclass
class PendingAnswers:
    """Whole answers that have not come to their end.

    Attributes:
        size_bytes: What has arrived of them, heads included.
    """

    size_bytes: int = 0


class AnswerHandler(client_proto.ResponseHandler):
    """Counts what arrives for a request before it is parsed.

    The library bounds single lines, but not what it skips: blank lines and
    interim answers before a head, the size and extension of a chunk,
    trailers.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, under_way: PendingAnswers
    ) -> None:
        """Makes the handler of one connection.

        Args:
            loop: The event loop.
            under_way: What the answers on all connections hold.
        """
        super().__init__(loop)
        self._under_way = under_way
        self._size_bytes = 0
        self._counted_bytes = 0
        self._most_bytes = MAX_HEAD_BYTES
        self._is_stream = False
        self._has_head = False
        self._interim_answers = 0
        self._idle_ms = IDLE_CONNECTION_MS
        self._last_ms = 0.0

    def is_connected(self) -> bool:
        """Whether a request may be sent; an idle connection ages."""
        return super().is_connected() and not self._is_expired

    @property
    def _is_expired(self) -> bool:
        return (
            self._is_whole and self._now_ms() >= self._last_ms + self._idle_ms
        )

    def _now_ms(self) -> float:
        return self._loop.time() * clock_lib.MS_PER_S

    def set_response_params(self, **params: Any) -> None:
        """Begins to await the answer to a request."""
        self._release()
        self._size_bytes = 0
        self._most_bytes = MAX_HEAD_BYTES
        self._is_stream = False
        self._has_head = False
        self._interim_answers = 0
        super().set_response_params(**params)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes that nothing more arrives."""
        self._release()
        super().connection_lost(exc)

    @property
    def _is_whole(self) -> bool:
        """Whether the answer has come to its end."""
        return self._has_head and (
            self._payload is None or self._payload.is_eof()
        )

    def data_received(self, data: bytes) -> None:
        """Takes what has arrived; nothing means to parse what is held back."""
        if not data:
            super().data_received(data)
            return
        while data and not self._has_head and self._exception is None:
            size = _head_part_size(data)
            self._take(data[:size])
            data = data[size:]
        if data and self._exception is None:
            self._take(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Takes a parsed head."""
        message, _ = data
        if self._has_head:
            self._drop("answer")
            return
        if message.code < _FIRST_FINAL_STATUS:
            self._interim_answers += 1
        else:
            self._has_head = True
            content_type = message.headers.get("Content-Type", "")
            self._is_stream = content_type.startswith(EVENT_STREAM)
            most_bytes = MAX_STREAM_BYTES if self._is_stream else MAX_BODY_BYTES
            self._most_bytes = MAX_HEAD_BYTES + most_bytes
            self._idle_ms = _idle_ms(message.headers.get("Keep-Alive", ""))
        super().feed_data(data, size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Goes on after the reader of a body has fallen behind."""
        super().resume_reading(resume_parser)
        self._check_parsed()

    def _take(self, data: bytes) -> None:
        if self._is_whole:
            self._drop("bytes")
            return
        self._last_ms = self._now_ms()
        self._size_bytes += len(data)
        if not self._is_stream:
            self._counted_bytes += len(data)
            self._under_way.size_bytes += len(data)
        if self._is_oversize():
            self._refuse()
            return
        super().data_received(data)
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self._refuse()
        self._check_parsed()

    def _is_oversize(self) -> bool:
        if self._size_bytes > self._most_bytes:
            return True
        return (
            self._counted_bytes > SMALL_ANSWER_BYTES
            and self._under_way.size_bytes > MAX_PENDING_BYTES
        )

    def _check_parsed(self) -> None:
        error = self._exception
        if isinstance(error, http_exceptions.HttpProcessingError):
            self._fail_body(aiohttp.ClientPayloadError(str(error)))
        if self._is_stream or self._is_whole:
            self._release()

    def _drop(self, what: str) -> None:
        """Closes the connection: what came belongs to no request."""
        if self.transport is None or self.transport.is_closing():
            return
        host, port = self.transport.get_extra_info("peername")[:2]
        logger.info(
            "bytes_after_answer",
            extra={"what": what, "address": f"{host}:{port}"},
        )
        self.transport.abort()

    def _release(self) -> None:
        """Counts the answer no longer."""
        self._under_way.size_bytes -= self._counted_bytes
        self._counted_bytes = 0

    def _fail_body(self, error: BaseException) -> None:
        """Wakes up who reads a body that can't be whole any more.

        The library tells only those who await a head.
        """
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def _refuse(self) -> None:
        """Closes the connection; its request has no whole answer."""
        error = OversizeAnswerError("the answer is larger than the limit")
        self._buffer.clear()
        self.set_exception(error)
        self._fail_body(error)
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Makes connections with bounded answers."""

    def __init__(self, **options: Any) -> None:
        """Makes a connector of no connections."""
        super().__init__(
            socket_factory=_make_socket,
            keepalive_timeout=clock_lib.to_seconds(IDLE_CONNECTION_MS),
            **options,
        )
        self._keys: dict[str, client_reqrep.ConnectionKey] = {}
        self._factory = functools.partial(
            _make_handler, loop=self._loop, under_way=PendingAnswers()
        )

    def is_idle(self, address: str) -> bool:
        """Returns whether a request to an address would find a connection."""
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
            # The library takes the first: the one that was used last, which
            # is the least likely to have been dropped by its target.
            idle.rotate(1)


def _idle_ms(keep_alive: str) -> float:
    """Returns how long a connection may be idle, by its target's header."""
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return IDLE_CONNECTION_MS
    stated_ms = float(found[1]) * clock_lib.MS_PER_S
    return min(stated_ms - KEEP_ALIVE_MARGIN_MS, IDLE_CONNECTION_MS)


def _head_part_size(data: bytes) -> int:
    """Returns how much of a head, but nothing after it, is handed over.

    An error in what follows would take the head with it.
    """
    end = data.find(_HEAD_END, 0, _HEAD_PART_BYTES)
    return end + len(_HEAD_END) if end >= 0 else _HEAD_PART_BYTES


def _make_handler(
    loop: asyncio.AbstractEventLoop, under_way: PendingAnswers
) -> client_proto.ResponseHandler:
    return AnswerHandler(loop, under_way)


def _make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    return made
