"""HTTP client for targets; classifies how each request ended."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Self, TypeAlias

import aiohttp
import multidict
import yarl

from mangotally.entry import connections, model
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from mangotally.entry import headers as headers_lib

CONNECT_TIMEOUT_MS = 500
READ_BYTES = 16 * 1024
# How the library reports that a target has closed its connection.
_DISCONNECTIONS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
    OSError,
)
_OK = 200
_MISDIRECTED = 421
_SKIPPED_AUTO_HEADERS = frozenset(
    {"Accept", "Accept-Encoding", "User-Agent", "Content-Type"}
)


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request to send to a target.

    Attributes:
        id: Its id.
        method: HTTP method.
        path: Path and query, as received.
        headers: Headers.
        body: Complete body.
        deadline_ms: When its caller stops waiting.
        on_headers: Called with the headers of the target's answer.
    """

    id: model.RequestId
    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    deadline_ms: float
    on_headers: Callable[[multidict.CIMultiDictProxy[str]], None]


@dataclasses.dataclass(frozen=True)
class Whole:
    """A complete answer of the target.

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
    """The target has not run the request and will not run it.

    Attributes:
        reason: Why, for logs.
        status: HTTP status of the target, or 0 if there was no answer.
        is_reached: Whether the target answered at all.
        is_path_lost: Whether this host reaches no target, so that the outcome
            says nothing about this one.
        is_withheld: Whether this host did not send the request, because of
            what it knows of the target.
    """

    reason: str
    status: int = 0
    is_reached: bool = True
    is_path_lost: bool = False
    is_withheld: bool = False


@dataclasses.dataclass(frozen=True)
class Broken:
    """The target may have run the request, but gave no complete answer.

    Attributes:
        reason: What went wrong, for logs.
        is_timeout: Whether the deadline passed.
        is_path_lost: Whether this host reaches no target, so that the outcome
            says nothing about this one.
        is_disconnected: Whether the connection ended early.
    """

    reason: str
    is_timeout: bool = False
    is_path_lost: bool = False
    is_disconnected: bool = False


class PathLostError(aiohttp.ClientError):
    """An answer is broken off because this host reaches no target."""


class Stream(abc.ABC):
    """A streaming response."""

    def __init__(
        self,
        headers: multidict.CIMultiDictProxy[str],
        clock: clock_lib.Clock,
        deadline_ms: float,
    ) -> None:
        """Takes over a response whose headers have been received.

        Args:
            headers: Headers of the answer.
            clock: Source of the current time.
            deadline_ms: When its caller stops waiting.
        """
        self.headers = headers
        self._clock = clock
        self._deadline_ms = deadline_ms
        self.failure: Broken | None = None
        self.is_done = False

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields received bytes; afterwards, `failure` holds any failure."""
        try:
            while True:
                remaining_ms = self._deadline_ms - self._clock.now_ms()
                async with asyncio.timeout(clock_lib.to_seconds(remaining_ms)):
                    chunk = await self.read()
                if not chunk:
                    break
                yield chunk
        except TimeoutError:
            self.failure = Broken("timeout", is_timeout=True)
        except (aiohttp.ClientError, OSError) as error:
            is_path_lost = isinstance(error, PathLostError)
            self.failure = Broken(
                type(error).__name__,
                is_path_lost=is_path_lost,
                is_disconnected=True,
            )
        else:
            self.is_done = True
        if self.failure is not None:
            self.close()

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the next bytes; none if the stream is complete.

        Raises:
            aiohttp.ClientError, OSError: The stream is broken off.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection, so that the target stops generating."""


class DirectStream(Stream):
    """A streaming response over a connection to its target."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        clock: clock_lib.Clock,
        deadline_ms: float,
    ) -> None:
        """Takes over a response; see `Stream`."""
        super().__init__(response.headers, clock, deadline_ms)
        self._response = response

    async def read(self) -> bytes:
        """Returns the next bytes; see `Stream`.

        It may be cancelled and called again without a loss of bytes.
        """
        return await self._response.content.readany()

    def close(self) -> None:
        """Closes the connection."""
        self._response.close()


Outcome: TypeAlias = Whole | NotRun | Broken | Stream


class Sender:
    """HTTP client for the targets, with a connection pool."""

    def __init__(
        self, names: headers_lib.HeaderNames, clock: clock_lib.Clock
    ) -> None:
        """Initialises the client; entering its context opens the pool.

        Args:
            names: Names of headers.
            clock: Source of the current time.
        """
        self._names = names
        self._clock = clock
        self.connections: connections.Connector
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        """Opens the connection pool."""
        self.connections = connections.Connector(
            self._names.request_id, limit=0, use_dns_cache=False
        )
        self._session = aiohttp.ClientSession(
            connector=self.connections,
            request_class=connections.Request,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BYTES,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=clock_lib.to_seconds(CONNECT_TIMEOUT_MS),
            ),
        )
        # By default, the session retries requests with idempotent methods;
        # here the route decides whether a request may be retried.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send(self, address: str, request: Outgoing) -> Outcome:
        """Sends a request, and reads the answer or the head of a stream."""
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        url = yarl.URL(f"http://{address}{request.path}", encoded=True)
        try:
            async with asyncio.timeout(clock_lib.to_seconds(remaining_ms)):
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
            is_disconnected = isinstance(error, _DISCONNECTIONS)
            return Broken(type(error).__name__, is_disconnected=is_disconnected)

    async def _receive(
        self, response: aiohttp.ClientResponse, request: Outgoing
    ) -> Outcome:
        try:
            if (failure := self._check(response, request)) is not None:
                response.close()
                return failure
            request.on_headers(response.headers)
            if self._is_stream(response):
                return DirectStream(response, self._clock, request.deadline_ms)
            body = await _read_body(response)
            return self._classify(response, body)
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

    def _classify(
        self, response: aiohttp.ClientResponse, body: bytes
    ) -> Whole | NotRun:
        is_rejected = self._names.not_run in response.headers
        if is_rejected or response.status == _MISDIRECTED:
            return NotRun(f"status-{response.status}", response.status)
        return Whole(response.status, response.headers, body)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    while chunk := await response.content.readany():
        body += chunk
        # Lets other tasks run while a large answer is read.
        await asyncio.sleep(0)
    return bytes(body)
