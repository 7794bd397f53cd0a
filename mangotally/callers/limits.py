"""Limits on the memory, connections and calls that callers use."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING

from aiohttp import web
from returns import result

from mangotally import errors
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mangotally import ids

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 1000
_RESERVED = "reserved_bytes"


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of one server.

    Attributes:
        head_ms: Maximum time from opening a connection to its first request.
        body_ms: Maximum time to receive a request's body.
        body_bytes: Maximum size of one request's body.
        all_bodies_bytes: Maximum total size of the bodies in memory.
        connections: Maximum number of open connections.
        organisation_calls: Maximum number of concurrent calls of one
            organisation.
    """

    head_ms: float = 10_000
    body_ms: float = 30_000
    body_bytes: int = 4_194_304
    all_bodies_bytes: int = 134_217_728
    connections: int = 4096
    organisation_calls: int = 1024


class ResourceLimiter:
    """Counts the body memory and calls in use; independent of plans."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.reserved_bytes = 0
        self._calls: collections.Counter[ids.OrganisationId] = (
            collections.Counter()
        )

    async def read_body(self, request: web.Request) -> errors.Outcome[bytes]:
        """Reads a request's body within the limits of size and time.

        Memory for the announced length, or for the largest permitted body if
        none is announced, is reserved until `release_body` is called.
        """
        length = request.content_length
        if length is not None and length > self.bounds.body_bytes:
            return _too_large()
        size = self.bounds.body_bytes if length is None else length
        if self.reserved_bytes + size > self.bounds.all_bodies_bytes:
            return errors.failed(
                errors.Reason.UNAVAILABLE,
                "The request bodies held by this host use all memory reserved "
                "for them; try again later.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        self._reserve(request, size)
        try:
            async with asyncio.timeout(
                clock_lib.to_seconds(self.bounds.body_ms)
            ):
                body = await request.read()
        except TimeoutError:
            return errors.failed(
                errors.Reason.BAD_REQUEST,
                "The request body took too long to arrive.",
            )
        except web.HTTPRequestEntityTooLarge:
            return _too_large()
        except (web.RequestPayloadError, ConnectionError):
            return errors.failed(
                errors.Reason.BAD_REQUEST, "The request body could not be read."
            )
        self._reserve(request, len(body))
        return result.Success(body)

    def release_body(self, request: web.Request) -> None:
        """Releases the memory reserved for a request's body."""
        self._reserve(request, 0)

    @contextlib.contextmanager
    def count_call(self, organisation: ids.OrganisationId) -> Iterator[bool]:
        """Counts a call while it runs; yields whether the limit permits it."""
        if self._calls[organisation] >= self.bounds.organisation_calls:
            yield False
            return
        self._calls[organisation] += 1
        try:
            yield True
        finally:
            self._calls[organisation] -= 1
            if not self._calls[organisation]:
                del self._calls[organisation]

    def dump(self) -> dict[str, object]:
        """Returns the current use, for the state dump."""
        return {
            "bodies_bytes": self.reserved_bytes,
            "calls": sum(self._calls.values()),
        }

    def _reserve(self, request: web.Request, size: int) -> None:
        self.reserved_bytes += size - request.get(_RESERVED, 0)
        request[_RESERVED] = size


KEY = web.AppKey("limits", ResourceLimiter)


def too_many_calls() -> errors.Failure:
    """Returns the failure for an organisation at its limit of calls."""
    return errors.Failure(
        errors.Reason.OVER_RATE,
        "The organisation has too many concurrent calls at this host.",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _too_large() -> errors.Outcome[bytes]:
    return errors.failed(
        errors.Reason.TOO_LARGE, "The request body exceeds the size limit."
    )
