"""Failover of log calls: a host without a connection uses another host."""

from __future__ import annotations

import base64
import logging
from typing import TYPE_CHECKING, Any, Protocol

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.log import base

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.hosts import router
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

DIRECT_BACKOFF_MS = 2000
RELAY_TIMEOUT_MS = 2500
MAX_WAIT_MS = 5000


class Caller(Protocol):
    """Sends messages to other hosts."""

    async def call(
        self, host: ids.HostId | None, message: Any, timeout_ms: float
    ) -> errors.Outcome[Any]:
        """Sends a message and returns its single answer."""


class FailoverLog:
    """A log that is called through another host if the direct calls fail.

    After a failure the direct connection is not tried for a back-off time
    (`DIRECT_BACKOFF_MS` to twice that, at random), so that not every call
    waits for a time-out. Each call is relayed by one other host, chosen at
    random. A relayed append may be written to the log twice.
    """

    def __init__(
        self,
        direct: base.Log,
        clock: clock_lib.Clock,
        random_fraction: Callable[[], float],
    ) -> None:
        """Creates a log over this host's direct connection.

        Args:
            direct: The log over this host's own connection.
            clock: The clock.
            random_fraction: Returns a random number from 0 to 1.
        """
        self._direct = direct
        self._clock = clock
        self._random_fraction = random_fraction
        self._retry_direct_ms = 0.0
        self._caller: Caller | None = None
        self._others: Callable[[], list[ids.HostId]] = list

    def attach(
        self,
        handlers: router.Router,
        caller: Caller,
        others: Callable[[], list[ids.HostId]],
    ) -> None:
        """Registers the relay handlers and enables relaying by other hosts.

        Args:
            handlers: Router to register the handlers with.
            caller: Sends messages to other hosts.
            others: Returns the other hosts of the fleet.
        """
        handlers.add_unary(messages.RelayAppend, self._serve_append)
        handlers.add_unary(messages.RelayRead, self._serve_read)
        self._caller = caller
        self._others = others

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends one record; see `base.Log.append`."""
        message = messages.RelayAppend(stream, base64.b64encode(data).decode())
        outcome = await self._call_with_failover(
            lambda: self._direct.append(stream, data), message, 0
        )
        match outcome:
            case result.Success(messages.RelayedAppend(offset)):
                return result.Success(offset)
        return outcome

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        """Reads records, starting at an offset; see `base.Log.read`."""
        outcome = await self._call_with_failover(
            lambda: self._direct.read(stream, offset, wait_ms),
            messages.RelayRead(stream, offset, wait_ms),
            wait_ms,
        )
        match outcome:
            case result.Success(messages.RelayedSlice() as found):
                return result.Success(_to_slice(found))
        return outcome

    async def _call_with_failover(
        self,
        call_direct: Callable[[], Awaitable[errors.Outcome[Any]]],
        message: Any,
        wait_ms: int,
    ) -> errors.Outcome[Any]:
        others = self._others()
        is_backing_off = self._clock.now_ms() < self._retry_direct_ms
        if not (is_backing_off and others):
            outcome = await call_direct()
            if isinstance(outcome, result.Success) or not others:
                self._retry_direct_ms = 0.0
                return outcome
            if not is_backing_off:
                logger.warning("log_unreachable", extra={"others": len(others)})
            pause_ms = DIRECT_BACKOFF_MS * (1 + self._random_fraction())
            self._retry_direct_ms = self._clock.now_ms() + pause_ms
        assert self._caller is not None
        chosen = others[
            int(self._random_fraction() * len(others)) % len(others)
        ]
        relayed = await self._caller.call(
            chosen, message, wait_ms + RELAY_TIMEOUT_MS
        )
        if isinstance(relayed, result.Success):
            return relayed
        return errors.failed(
            errors.Reason.LOG_UNAVAILABLE, "The log is unavailable."
        )

    async def _serve_append(
        self, message: messages.RelayAppend
    ) -> errors.Outcome[messages.RelayedAppend]:
        try:
            data = base64.b64decode(message.data_base64, validate=True)
        except ValueError:
            return errors.failed(
                errors.Reason.BAD_REQUEST, "Record data is not valid base64."
            )
        outcome = await self._direct.append(message.stream, data)
        return outcome.map(messages.RelayedAppend)

    async def _serve_read(
        self, message: messages.RelayRead
    ) -> errors.Outcome[messages.RelayedSlice]:
        wait_ms = max(0, min(message.wait_ms, MAX_WAIT_MS))
        outcome = await self._direct.read(
            message.stream, message.offset, wait_ms
        )
        return outcome.map(_to_message)


def _to_message(found: base.Slice) -> messages.RelayedSlice:
    entries = tuple(
        (item.offset, base64.b64encode(item.data).decode())
        for item in found.entries
    )
    return messages.RelayedSlice(
        entries, found.oldest_offset, found.next_offset
    )


def _to_slice(found: messages.RelayedSlice) -> base.Slice:
    entries = tuple(
        base.Entry(offset, base64.b64decode(data))
        for offset, data in found.entries
    )
    return base.Slice(entries, found.oldest_offset, found.next_offset)
