"""Sends a request to a target, and tells apart how it ends."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Self, TypeAlias

import aiohttp
import multidict
import yarl
from aiohttp import http_exceptions

from mangotally.entry import connections, model
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.entry import headers as headers_lib

CONNECT_TIMEOUT_MS = 500
READ_BYTES = 16 * 1024
_OK = 200
_MISDIRECTED = 421
_NOT_ADDED = frozenset(
    {"Accept", "Accept-Encoding", "User-Agent", "Content-Type"}
)


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request as its target gets it.

    Attributes:
        id: Its id.
        method: HTTP method.
        path: Path and query, as received.
        headers: Headers.
        body: Whole body.
        deadline_ms: When its caller stops to wait.
    """

    id: model.RequestId
    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    deadline_ms: float


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole answer of the target.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        body: The body.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The target has not run the request and never will.

    Attributes:
        reason: Why, for logs.
        status: HTTP status of the target, or 0 if none was sent.
        is_reached: Whether the target answered at all.
    """

    reason: str
    status: int = 0
    is_reached: bool = True


@dataclasses.dataclass(frozen=True)
class Broken:
    """The target may have run the request; there is no whole answer.

    Attributes:
        reason: What was seen, for logs.
        is_timeout: Whether the time was over.
    """

    reason: str
    is_timeout: bool = False


class Stream:
    """An answer that comes as a series of events."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        clock: clock_lib.Clock,
        deadline_ms: float,
    ) -> None:
        """Takes over a response whose headers have come.

        Args:
            response: The response.
            clock: Time.
            deadline_ms: When its caller stops to wait.
        """
        self._response = response
        self._clock = clock
        self._deadline_ms = deadline_ms
        self._protocol = (
            response.connection.protocol if response.connection else None
        )
        self.failure: Broken | None = None
        self.is_done = False

    @property
    def headers(self) -> multidict.CIMultiDictProxy[str]:
        """Headers of the answer."""
        return self._response.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields bytes as they come; `failure` tells how it ended."""
        try:
            while True:
                left_ms = self._deadline_ms - self._clock.now_ms()
                async with asyncio.timeout(clock_lib.to_seconds(left_ms)):
                    chunk = await self._response.content.read(READ_BYTES)
                if not chunk:
                    break
                yield chunk
        except TimeoutError:
            self.failure = Broken("timeout", is_timeout=True)
        except (aiohttp.ClientError, OSError) as error:
            self.failure = Broken(type(error).__name__)
        else:
            self.is_done = True
            self.failure = _reset_at_end(self._protocol)
        if self.failure is not None:
            self.close()

    def close(self) -> None:
        """Gives up what is left; the target stops."""
        self._response.close()


Outcome: TypeAlias = Whole | NotRun | Broken | Stream


class Sender:
    """Connections to the targets."""

    def __init__(
        self, names: headers_lib.HeaderNames, clock: clock_lib.Clock
    ) -> None:
        """Makes an owner of no connections.

        Args:
            names: Names of headers.
            clock: Time.
        """
        self._names = names
        self._clock = clock
        self.connections: connections.Connector
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        """Opens the owner."""
        self.connections = connections.Connector(limit=0, use_dns_cache=False)
        self._session = aiohttp.ClientSession(
            connector=self.connections,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BYTES,
            skip_auto_headers=_NOT_ADDED,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=clock_lib.to_seconds(CONNECT_TIMEOUT_MS),
            ),
        )
        # By itself the session sends a request again whose method is said
        # to be idempotent; here the route decides that.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send(self, address: str, request: Outgoing) -> Outcome:
        """Sends a request and reads the answer, or the head of a stream."""
        left_ms = request.deadline_ms - self._clock.now_ms()
        url = yarl.URL(f"http://{address}{request.path}", encoded=True)
        try:
            async with asyncio.timeout(clock_lib.to_seconds(left_ms)):
                response = await self._session.request(
                    request.method,
                    url,
                    headers=request.headers,
                    data=request.body or None,
                    allow_redirects=False,
                )
                return await self._receive(response, request)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return NotRun(type(error).__name__, is_reached=False)
        except TimeoutError:
            return Broken("timeout", is_timeout=True)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Broken(type(error).__name__)

    async def _receive(
        self, response: aiohttp.ClientResponse, request: Outgoing
    ) -> Outcome:
        try:
            if (fault := self._check(response, request)) is not None:
                response.close()
                return fault
            if self._is_stream(response):
                return Stream(response, self._clock, request.deadline_ms)
            protocol = (
                response.connection.protocol if response.connection else None
            )
            body = await _read_whole(response)
            if (reset := _reset_at_end(protocol)) is not None:
                return reset
            return self._judge(response, body)
        except BaseException:
            response.close()
            raise

    def _check(
        self, response: aiohttp.ClientResponse, request: Outgoing
    ) -> Broken | None:
        if response.status < _OK:
            return Broken("no-final-answer")
        echoed = response.headers.get(self._names.request_id)
        is_ok = response.status < 300
        if echoed != request.id and (is_ok or echoed is not None):
            return Broken("answer-to-other-request")
        if is_ok and self._names.stamp not in response.headers:
            return Broken("answer-without-stamp")
        if "Content-Encoding" in response.headers:
            return Broken("encoded-answer")
        return None

    def _is_stream(self, response: aiohttp.ClientResponse) -> bool:
        return (
            response.status == _OK
            and response.content_type == connections.EVENT_STREAM
        )

    def _judge(
        self, response: aiohttp.ClientResponse, body: bytes
    ) -> Whole | NotRun:
        is_refused = self._names.not_run in response.headers
        if is_refused or response.status == _MISDIRECTED:
            return NotRun(f"status-{response.status}", response.status)
        return Whole(response.status, response.headers, body)


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    while chunk := await response.content.read(READ_BYTES):
        body += chunk
        if len(chunk) == READ_BYTES:
            # Others have their turn while a large answer is read.
            await asyncio.sleep(0)
    return bytes(body)


def _reset_at_end(
    protocol: aiohttp.client_proto.ResponseHandler | None,
) -> Broken | None:
    """Returns a fault if the connection was reset rather than closed.

    An answer without a length ends with its connection. Bytes after a whole
    answer that can't be parsed belong to no request.
    """
    error = protocol.exception() if protocol is not None else None
    if error is None:
        return None
    if isinstance(
        error,
        aiohttp.ServerDisconnectedError | http_exceptions.HttpProcessingError,
    ):
        return None
    return Broken("reset-at-end")
