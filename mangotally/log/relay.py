"""The log through other hosts, for a host that cannot reach it."""

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
    """Sends messages to hosts."""

    async def call(
        self, host: ids.HostId | None, message: Any, timeout_ms: float
    ) -> errors.Outcome[Any]:
        """Sends a message and returns its one answer."""


class FailoverLog:
    """A log that goes through another host while this one cannot reach it.

    After a failure the own connection rests for a while with jitter, so
    that it costs no time-out on each call. One other host, drawn at random,
    is asked per call. A relayed append may be in the log twice.
    """

    def __init__(
        self,
        own: base.Log,
        clock: clock_lib.Clock,
        draw: Callable[[], float],
    ) -> None:
        """Makes a log over this host's own connection.

        Args:
            own: The log as this host reaches it.
            clock: The clock.
            draw: Returns a random number from 0 to 1.
        """
        self._own = own
        self._clock = clock
        self._draw = draw
        self._rest_until_ms = 0.0
        self._caller: Caller | None = None
        self._others: Callable[[], list[ids.HostId]] = list

    def attach(
        self,
        handlers: router.Router,
        caller: Caller,
        others: Callable[[], list[ids.HostId]],
    ) -> None:
        """Serves other hosts, and uses them.

        Args:
            handlers: Where to add the handlers.
            caller: Sends messages to hosts.
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
        outcome = await self._either(
            lambda: self._own.append(stream, data), message, 0
        )
        match outcome:
            case result.Success(messages.RelayedAppend(offset)):
                return result.Success(offset)
        return outcome

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        """Reads records from an offset on; see `base.Log.read`."""
        outcome = await self._either(
            lambda: self._own.read(stream, offset, wait_ms),
            messages.RelayRead(stream, offset, wait_ms),
            wait_ms,
        )
        match outcome:
            case result.Success(messages.RelayedSlice() as part):
                return result.Success(_to_slice(part))
        return outcome

    async def _either(
        self,
        ask_own: Callable[[], Awaitable[errors.Outcome[Any]]],
        message: Any,
        wait_ms: int,
    ) -> errors.Outcome[Any]:
        others = self._others()
        rests = self._clock.now_ms() < self._rest_until_ms
        if not (rests and others):
            outcome = await ask_own()
            if isinstance(outcome, result.Success) or not others:
                self._rest_until_ms = 0.0
                return outcome
            if not rests:
                logger.warning("log_unreachable", extra={"others": len(others)})
            pause_ms = DIRECT_BACKOFF_MS * (1 + self._draw())
            self._rest_until_ms = self._clock.now_ms() + pause_ms
        assert self._caller is not None
        chosen = others[int(self._draw() * len(others)) % len(others)]
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
            return errors.failed(errors.Reason.BAD_REQUEST, "Not base64.")
        outcome = await self._own.append(message.stream, data)
        return outcome.map(messages.RelayedAppend)

    async def _serve_read(
        self, message: messages.RelayRead
    ) -> errors.Outcome[messages.RelayedSlice]:
        wait_ms = max(0, min(message.wait_ms, MAX_WAIT_MS))
        outcome = await self._own.read(message.stream, message.offset, wait_ms)
        return outcome.map(_to_message)


def _to_message(part: base.Slice) -> messages.RelayedSlice:
    entries = tuple(
        (item.offset, base64.b64encode(item.data).decode())
        for item in part.entries
    )
    return messages.RelayedSlice(entries, part.oldest_offset, part.next_offset)


def _to_slice(part: messages.RelayedSlice) -> base.Slice:
    entries = tuple(
        base.Entry(offset, base64.b64decode(data))
        for offset, data in part.entries
    )
    return base.Slice(entries, part.oldest_offset, part.next_offset)
