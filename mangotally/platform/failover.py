"""Reaches the store directly, or through a host that does."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from mangotally.platform import store

if TYPE_CHECKING:
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# How often the direct way is tried while it is lost.
RETRY_DIRECT_MS = 300
# A call without effect that is answered from memory.
PROBE = store.Call("GET", "/log-owners?group=none", timeout_ms=RETRY_DIRECT_MS)
# The answer of a host that knows that it does not reach the store.
NO_DIRECT_CONNECTION = store.Unavailable("cut-off")
_OVER_LIMIT = 429
_BUSY = frozenset({_OVER_LIMIT, 503})
# The limit of calls is shared by all hosts, so that one call over it says
# little; a host that the store turns away gets no other answer.
MAX_CONSECUTIVE_BUSY = 2


class Relay(Protocol):
    """Other hosts that pass calls on."""

    async def relay(self, call: store.Call) -> store.Reply | store.Unavailable:
        """Returns the store's answer to a call made by another host."""


class FailoverTransport:
    """Carries calls directly, and through other hosts while that fails."""

    def __init__(
        self,
        direct: store.Transport,
        relay: Relay,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the transport.

        Args:
            direct: Connections of this host.
            relay: Other hosts.
            clock: Time.
        """
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._lost_ms: float | None = None
        self._retry_ms = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._busy = 0

    @property
    def is_direct_down(self) -> bool:
        """Whether the direct way fails."""
        return self._lost_ms is not None

    async def call(self, call: store.Call) -> store.Reply | store.Unavailable:
        """Returns the store's answer."""
        if self._lost_ms is None:
            reply = await self._direct.call(call)
            if _is_good(reply):
                self._busy = 0
                return reply
            if self._is_only_busy(reply):
                return _or_unavailable(await self._relay.relay(call))
            self._lose(reply)
        self._probe_if_due()
        relayed = await self._relay.relay(call)
        if _is_good(relayed):
            return relayed
        await self._probed()
        if self._lost_ms is None:
            return await self._direct.call(call)
        return _as_unavailable(relayed)

    async def call_for_other(
        self, call: store.Call
    ) -> store.Reply | store.Unavailable:
        """Returns the store's answer to a host that can't reach it.

        While this host can't either, that host is told so at once.
        """
        if self._lost_ms is not None:
            self._probe_if_due()
            return NO_DIRECT_CONNECTION
        reply = await self._direct.call(call)
        if not _is_good(reply):
            # The other host may have allowed too little time for it.
            self._probe_if_due()
        return reply

    def _is_only_busy(self, reply: store.Reply | store.Unavailable) -> bool:
        """Returns whether a call was over the limit, like few before it."""
        if not isinstance(reply, store.Reply) or reply.status != _OVER_LIMIT:
            return False
        self._busy += 1
        return self._busy < MAX_CONSECUTIVE_BUSY

    def _probe_if_due(self) -> None:
        """Tries the direct way beside the calls, which must not wait for it."""
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_ms or self._probe is not None:
            return
        self._retry_ms = now_ms + RETRY_DIRECT_MS
        self._probe = asyncio.create_task(self._try_direct())

    async def _probed(self) -> None:
        """Waits for the probe that is under way, if any."""
        if self._probe is not None:
            await asyncio.shield(self._probe)

    async def _try_direct(self) -> None:
        try:
            reply = await self._direct.call(PROBE)
            if _is_good(reply):
                self._regain()
            elif not self._is_only_busy(reply):
                self._lose(reply)
        finally:
            self._probe = None

    def _lose(self, reply: store.Reply | store.Unavailable) -> None:
        if self._lost_ms is not None:
            return
        self._lost_ms = self._clock.now_ms()
        self._retry_ms = self._lost_ms + RETRY_DIRECT_MS
        logger.warning(
            "store_lost", extra={"reason": _as_unavailable(reply).reason}
        )

    def _regain(self) -> None:
        if self._lost_ms is None:
            return
        lost_for_ms = self._clock.now_ms() - self._lost_ms
        self._lost_ms = None
        self._busy = 0
        logger.info("store_regained", extra={"lost_for_ms": lost_for_ms})


def _is_good(reply: store.Reply | store.Unavailable) -> bool:
    return isinstance(reply, store.Reply) and reply.status not in _BUSY


def _or_unavailable(
    reply: store.Reply | store.Unavailable,
) -> store.Reply | store.Unavailable:
    return reply if _is_good(reply) else _as_unavailable(reply)


def _as_unavailable(
    reply: store.Reply | store.Unavailable,
) -> store.Unavailable:
    if isinstance(reply, store.Unavailable):
        return reply
    return store.Unavailable(f"status {reply.status}")
