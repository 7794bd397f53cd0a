"""Calls to the hosts of the fleet, this one included."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Protocol, Self

from mangotally import errors, ids
from mangotally.hosts import link, router

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import grpc

CALL_TIMEOUT_MS = 5000


class Directory(Protocol):
    """Knows the hosts of the fleet and the homes of keys."""

    @property
    def host(self) -> ids.HostId:
        """This host."""

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns a host's address for other hosts, or None."""

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a rendezvous key, or None."""


class Peers:
    """Sends messages to hosts; a message to this host stays local."""

    def __init__(
        self,
        directory: Directory,
        handlers: router.Router,
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        """Makes the sender; links open on first use."""
        self._directory = directory
        self._router = handlers
        self._credentials = credentials
        self._links: dict[str, link.Link] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Returns the sender."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes all links."""
        await self._stack.aclose()

    async def call(
        self,
        host: ids.HostId | None,
        message: Any,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> errors.Outcome[Any]:
        """Sends a message and returns its one answer."""
        return await link.first(self.stream(host, message), timeout_ms)

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
                    "The fleet is changing; try again.",
                    retry_after_ms=CALL_TIMEOUT_MS,
                )
                return
            answers = (await self._link(address)).stream(message)
        async with contextlib.aclosing(answers):  # type: ignore[type-var]
            async for answer in answers:
                yield answer

    async def _link(self, address: str) -> link.Link:
        found = self._links.get(address)
        if found is None:
            found = link.Link(address, self._credentials)
            self._links[address] = found
            await self._stack.enter_async_context(found)
        return found
