"""Calls the store directly, or through another host while that fails."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from mangotally.platform import store

if TYPE_CHECKING:
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Interval at which the direct connection is tried while it is down.
RETRY_DIRECT_MS = 300
# A call without side effects that the store answers from memory.
PROBE = store.Call("GET", "/log-owners?group=none", timeout_ms=RETRY_DIRECT_MS)
# The answer of a host that knows that it cannot reach the store itself.
NO_DIRECT_CONNECTION = store.Unavailable("cut-off")
_OVER_LIMIT = 429
_BUSY_STATUSES = frozenset({_OVER_LIMIT, 503})
# All hosts share the store's rate limit, so that a single 429 says little about
# this host's connection. A host that the store rejects gets 429 every time;
# the direct connection is taken as down at this many in a row.
MAX_CONSECUTIVE_BUSY = 2


class Relay(Protocol):
    """Relays calls through other hosts."""

    async def relay(self, call: store.Call) -> store.Reply | store.Unavailable:
        """Returns the store's answer to a call that another host makes."""


class FailoverTransport:
    """Sends calls directly, and through other hosts while that fails."""

    def __init__(
        self,
        direct: store.Transport,
        relay: Relay,
        clock: clock_lib.Clock,
    ) -> None:
        """Creates the transport.

        Args:
            direct: This host's connections to the store.
            relay: Relays calls through other hosts.
            clock: The clock.
        """
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._down_since_ms: float | None = None
        self._retry_ms = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._consecutive_busy = 0

    @property
    def is_direct_down(self) -> bool:
        """Whether calls over the direct connection fail."""
        return self._down_since_ms is not None

    async def call(self, call: store.Call) -> store.Reply | store.Unavailable:
        """Returns the store's answer."""
        if self._down_since_ms is None:
            reply = await self._direct.call(call)
            if _is_answer(reply):
                self._consecutive_busy = 0
                return reply
            if self._is_transient_limit(reply):
                return _answer_or_unavailable(await self._relay.relay(call))
            self._mark_down(reply)
        self._probe_if_due()
        relayed = await self._relay.relay(call)
        if _is_answer(relayed):
            return relayed
        await self._wait_for_probe()
        if self._down_since_ms is None:
            return await self._direct.call(call)
        return _as_unavailable(relayed)

    async def call_for_other(
        self, call: store.Call
    ) -> store.Reply | store.Unavailable:
        """Makes a call for a host that cannot reach the store.

        Fails at once while this host cannot reach the store either.
        """
        if self._down_since_ms is not None:
            self._probe_if_due()
            return NO_DIRECT_CONNECTION
        reply = await self._direct.call(call)
        if not _is_answer(reply):
            # The failure may be due to the short time-out of the other host.
            self._probe_if_due()
        return reply

    def _is_transient_limit(
        self, reply: store.Reply | store.Unavailable
    ) -> bool:
        """Returns whether a call was over the limit, with few in a row."""
        if not isinstance(reply, store.Reply) or reply.status != _OVER_LIMIT:
            return False
        self._consecutive_busy += 1
        return self._consecutive_busy < MAX_CONSECUTIVE_BUSY

    def _probe_if_due(self) -> None:
        """Probes the direct connection in the background of the calls.

        A call must not wait for the probe.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_ms or self._probe is not None:
            return
        self._retry_ms = now_ms + RETRY_DIRECT_MS
        self._probe = asyncio.create_task(self._try_direct())

    async def _wait_for_probe(self) -> None:
        """Waits for the active probe, if any."""
        if self._probe is not None:
            await asyncio.shield(self._probe)

    async def _try_direct(self) -> None:
        try:
            reply = await self._direct.call(PROBE)
            if _is_answer(reply):
                self._mark_up()
            elif not self._is_transient_limit(reply):
                self._mark_down(reply)
        finally:
            self._probe = None

    def _mark_down(self, reply: store.Reply | store.Unavailable) -> None:
        if self._down_since_ms is not None:
            return
        self._down_since_ms = self._clock.now_ms()
        self._retry_ms = self._down_since_ms + RETRY_DIRECT_MS
        logger.warning(
            "store_lost", extra={"reason": _as_unavailable(reply).reason}
        )

    def _mark_up(self) -> None:
        if self._down_since_ms is None:
            return
        down_ms = self._clock.now_ms() - self._down_since_ms
        self._down_since_ms = None
        self._consecutive_busy = 0
        logger.info("store_regained", extra={"lost_for_ms": down_ms})


def _is_answer(reply: store.Reply | store.Unavailable) -> bool:
    return isinstance(reply, store.Reply) and reply.status not in _BUSY_STATUSES


def _answer_or_unavailable(
    reply: store.Reply | store.Unavailable,
) -> store.Reply | store.Unavailable:
    return reply if _is_answer(reply) else _as_unavailable(reply)


def _as_unavailable(
    reply: store.Reply | store.Unavailable,
) -> store.Unavailable:
    if isinstance(reply, store.Unavailable):
        return reply
    return store.Unavailable(f"status {reply.status}")
