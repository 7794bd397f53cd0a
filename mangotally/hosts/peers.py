"""Calls to hosts of the fleet, including this one.

The home of a key is the host that owns it. It changes when hosts join or
leave the fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING, Any, Protocol, Self

from returns import result

from mangotally import errors, ids
from mangotally.hosts import link, router
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from mangotally.hosts import credentials as credentials_lib

CALL_TIMEOUT_MS = 5000
# How long a message is retried while the home of its key is changing.
HOME_RETRY_WINDOW_MS = 15_000
HOME_RETRY_INTERVAL_MS = 100


class Directory(Protocol):
    """Provides the addresses of hosts and the homes of keys."""

    @property
    def host(self) -> ids.HostId:
        """This host."""

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns the address of a host for other hosts, or None."""

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a rendezvous key, or None if unknown."""


class PeerClient:
    """Sends messages to hosts; this host's own are handled in-process."""

    def __init__(
        self,
        directory: Directory,
        handlers: router.Router,
        credentials: credentials_lib.HostCredentials | None = None,
    ) -> None:
        """Creates a client; links are opened on first use."""
        self._directory = directory
        self._router = handlers
        self._credentials = credentials
        self._links: dict[str, link.Link] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all links."""
        await self._stack.aclose()

    def dump(self) -> list[str]:
        """Returns the addresses of the open links for the state dump."""
        return sorted(
            address
            for address, host_link in self._links.items()
            if host_link.is_open
        )

    def is_known(self, host: ids.HostId) -> bool:
        """Returns whether a host's address is known."""
        return self._directory.address_of(host) is not None

    async def call(
        self,
        host: ids.HostId | None,
        message: Any,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> errors.Outcome[Any]:
        """Sends a message and returns its first answer."""
        return await link.first_answer(self.stream(host, message), timeout_ms)

    async def stream(
        self, host: ids.HostId | None, message: Any
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Sends a message and yields its answers."""
        if host == self._directory.host:
            answers = self._router.handle(message)
        else:
            address = self._directory.address_of(host) if host else None
            if address is None:
                yield errors.failed(
                    errors.Reason.UNAVAILABLE,
                    "The fleet's membership is changing; try again later.",
                    retry_after_ms=CALL_TIMEOUT_MS,
                )
                return
            answers = (await self._link(address)).stream(message)
        async with contextlib.aclosing(answers):  # type: ignore[type-var]
            async for answer in answers:
                yield answer

    async def call_home(
        self, key: str, message: Any, timeout_ms: float = CALL_TIMEOUT_MS
    ) -> errors.Outcome[Any]:
        """Sends a message to the home of a key and returns its answer.

        The message is sent again, also to a new home, if the home has
        changed, did not answer in time or lost the connection. It must
        therefore be safe to handle more than once.

        Args:
            key: The rendezvous key.
            message: The message.
            timeout_ms: Timeout of each attempt.
        """
        answers = self.stream_home(key, message, timeout_ms)
        async with contextlib.aclosing(answers):  # type: ignore[type-var]
            async for answer in answers:
                return answer
        return errors.failed(
            errors.Reason.UNAVAILABLE,
            "Another host sent no answer.",
            errors.Ran.MAY_HAVE_RUN,
        )

    async def stream_home(
        self, key: str, message: Any, first_timeout_ms: float | None = None
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Sends a message to the home of a key and yields its answers.

        Like `call_home`, but retries only until the first answer.

        Args:
            key: The rendezvous key.
            message: The message.
            first_timeout_ms: Timeout of the first answer of each attempt,
                or None.
        """
        retry_until_s = _now_s() + clock_lib.to_seconds(HOME_RETRY_WINDOW_MS)
        may_have_run = False
        while True:
            answers = self._stream_to_home(key, message)
            async with contextlib.aclosing(answers):
                first = await _first_answer(answers, first_timeout_ms)
                if not _should_retry(first) or _now_s() >= retry_until_s:
                    yield _with_earlier_attempts(first, may_have_run)
                    async for answer in answers:
                        yield answer
                    return
                may_have_run = may_have_run or _is_lost(first)
            await asyncio.sleep(clock_lib.to_seconds(HOME_RETRY_INTERVAL_MS))

    async def _stream_to_home(
        self, key: str, message: Any
    ) -> AsyncGenerator[errors.Outcome[Any], None]:
        host = self._directory.home_of(key)
        is_here = host == self._directory.host
        if host is None or not (is_here or self._directory.address_of(host)):
            yield errors.failed(
                errors.Reason.MOVED, "The home of the key is not known."
            )
            return
        async for answer in self.stream(host, message):
            yield answer

    async def _link(self, address: str) -> link.Link:
        known = self._links.get(address)
        if known is None:
            known = link.Link(address, self._credentials)
            self._links[address] = known
            await self._stack.enter_async_context(known)
        return known


async def _first_answer(
    answers: AsyncGenerator[errors.Outcome[Any], None],
    timeout_ms: float | None,
) -> errors.Outcome[Any]:
    timeout_s = None if timeout_ms is None else clock_lib.to_seconds(timeout_ms)
    try:
        async with asyncio.timeout(timeout_s):
            async for answer in answers:
                return answer
    except TimeoutError:
        pass
    return errors.failed(
        errors.Reason.UNAVAILABLE,
        "Another host sent no answer.",
        errors.Ran.MAY_HAVE_RUN,
    )


def _should_retry(outcome: errors.Outcome[Any]) -> bool:
    """Returns whether the home was not reached or has changed."""
    if isinstance(outcome, result.Success):
        return False
    failure = outcome.failure()
    if failure.reason is errors.Reason.MOVED:
        return True
    return _is_lost(outcome)


def _is_lost(outcome: errors.Outcome[Any]) -> bool:
    """Returns whether a host did not answer but may have run the message."""
    failure = outcome.failure()
    return (
        failure.reason is errors.Reason.UNAVAILABLE
        and failure.ran is errors.Ran.MAY_HAVE_RUN
    )


def _with_earlier_attempts(
    outcome: errors.Outcome[Any], may_have_run: bool
) -> errors.Outcome[Any]:
    """Returns the last outcome, adjusted for earlier attempts.

    If an earlier attempt may have run the message, a failure does not say
    that it has not run.
    """
    if isinstance(outcome, result.Success) or not may_have_run:
        return outcome
    failure = outcome.failure()
    if failure.ran is errors.Ran.RAN:
        return outcome
    return result.Failure(
        dataclasses.replace(failure, ran=errors.Ran.MAY_HAVE_RUN)
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
