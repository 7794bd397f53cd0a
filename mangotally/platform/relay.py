"""Passes calls of the store on between hosts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mangotally.entry import entry_pb2
from mangotally.entry.log import Unavailable
from mangotally.platform import store

if TYPE_CHECKING:
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

# Beyond the call's own time, for the way between the hosts.
MARGIN_MS = 100
MAX_HOSTS = 2
# What another host spends on a call for this one.
CALL_MS = 700


class StoreRelay:
    """Has other hosts call the store."""

    def __init__(self, links: peers.Peers) -> None:
        """Makes a relay that knows no hosts.

        Args:
            links: Links to other hosts.
        """
        self._links = links
        self._homes: homes_lib.Homes | None = None

    def use(self, homes: homes_lib.Homes) -> None:
        """Names who knows other hosts; that is learnt from the store."""
        self._homes = homes

    async def relay(self, call: store.Call) -> store.Reply | Unavailable:
        """Returns the store's answer to a call made by another host."""
        hosts = self._homes.others() if self._homes else []
        random.shuffle(hosts)
        request = entry_pb2.StoreCall(
            method=call.method,
            target=call.target,
            body=call.body,
            is_json=call.is_json,
            timeout_ms=CALL_MS,
        )
        for host in hosts[:MAX_HOSTS]:
            reply = await self._links.call_store(
                host.address, request, CALL_MS + MARGIN_MS
            )
            if reply is not None and reply.status:
                return store.Reply(reply.status, reply.body)
        return Unavailable("no host reaches the store")


async def call_for_other(
    transport: store.Transport, request: entry_pb2.StoreCall
) -> entry_pb2.StoreReply:
    """Calls the store for another host, over this host's connections."""
    call = store.Call(
        request.method,
        request.target,
        request.body,
        request.is_json,
        request.timeout_ms,
    )
    reply = await transport.call(call)
    if isinstance(reply, Unavailable):
        return entry_pb2.StoreReply(reason=reply.reason)
    return entry_pb2.StoreReply(status=reply.status, body=reply.body)
