"""Passes calls of the store on between hosts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mangotally.entry import entry_pb2
from mangotally.entry.log import Unavailable
from mangotally.platform import failover, store

if TYPE_CHECKING:
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

# Beyond the call's own time, for the way between the hosts.
MARGIN_MS = 100
MAX_HOSTS = 2
# Hosts that are cut off themselves say so at once; so many are asked in all.
MAX_ASKED = 8
# What another host spends on a call for this one.
CALL_MS = 700


class StoreRelay:
    """Has other hosts call the store."""

    def __init__(self, links: peers.PeerClient) -> None:
        """Makes a relay that knows no hosts.

        Args:
            links: Links to other hosts.
        """
        self._links = links
        self._homes: homes_lib.Homes | None = None
        self._last: str | None = None

    def use(self, homes: homes_lib.Homes) -> None:
        """Names who knows other hosts; that is learnt from the store."""
        self._homes = homes

    async def relay(self, call: store.Call) -> store.Reply | Unavailable:
        """Returns the store's answer to a call made by another host."""
        timeout_ms = CALL_MS + call.wait_ms
        request = entry_pb2.StoreCall(
            method=call.method,
            target=call.target,
            body=call.body,
            is_json=call.is_json,
            timeout_ms=timeout_ms,
        )
        failed = 0
        for address in self._ranked()[:MAX_ASKED]:
            reply = await self._links.call_store(
                address, request, timeout_ms + MARGIN_MS
            )
            if reply is not None and reply.status:
                self._last = address
                return store.Reply(reply.status, reply.body)
            failed += reply is None or reply.reason != failover.CUT_OFF.reason
            if failed == MAX_HOSTS:
                break
        return Unavailable("no host reaches the store")

    def _ranked(self) -> list[str]:
        """Returns the other hosts, first the one that carried a call last."""
        hosts = self._homes.others() if self._homes else []
        addresses = [each.address for each in hosts]
        random.shuffle(addresses)
        addresses.sort(key=lambda each: each != self._last)
        return addresses


async def call_for_other(
    transport: failover.FailoverTransport, request: entry_pb2.StoreCall
) -> entry_pb2.StoreReply:
    """Calls the store for another host, over this host's connections."""
    call = store.Call(
        request.method,
        request.target,
        request.body,
        request.is_json,
        request.timeout_ms,
    )
    reply = await transport.call_for_other(call)
    if isinstance(reply, Unavailable):
        return entry_pb2.StoreReply(reason=reply.reason)
    return entry_pb2.StoreReply(status=reply.status, body=reply.body)
