"""Relays store calls between hosts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mangotally.entry import entry_pb2
from mangotally.entry.log import Unavailable
from mangotally.platform import failover, store

if TYPE_CHECKING:
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

# Added to the call's own time-out for the network between the hosts.
NETWORK_MARGIN_MS = 100
MAX_FAILED_HOSTS = 2
# Hosts that cannot reach the store either answer so at once and do not count as
# failed; this limits the hosts that are asked in all.
MAX_ASKED_HOSTS = 8
# Time-out of a call to the store that another host makes for this one, without
# the time that the call itself waits for new records.
DIRECT_CALL_TIMEOUT_MS = 700


class StoreRelay:
    """Asks other hosts to call the store."""

    def __init__(self, links: peers.PeerClient) -> None:
        """Creates a relay; `set_homes` gives it the other hosts.

        Args:
            links: Client of other hosts.
        """
        self._links = links
        self._homes: homes_lib.Homes | None = None
        self._last_address: str | None = None

    def set_homes(self, homes: homes_lib.Homes) -> None:
        """Sets the source of other hosts.

        The other hosts are those that are homes, which means that they own
        keys. They are set later because they are read from the store itself.
        """
        self._homes = homes

    async def relay(self, call: store.Call) -> store.Reply | Unavailable:
        """Returns the store's answer to a call that another host makes."""
        timeout_ms = DIRECT_CALL_TIMEOUT_MS + call.wait_ms
        request = entry_pb2.StoreCall(
            method=call.method,
            target=call.path_and_query,
            body=call.body,
            is_json=call.is_json,
            timeout_ms=timeout_ms,
        )
        failed = 0
        for address in self._ordered_addresses()[:MAX_ASKED_HOSTS]:
            reply = await self._links.call_store(
                address, request, timeout_ms + NETWORK_MARGIN_MS
            )
            if reply is not None and reply.status:
                self._last_address = address
                return store.Reply(reply.status, reply.body)
            failed += (
                reply is None
                or reply.reason != failover.NO_DIRECT_CONNECTION.reason
            )
            if failed == MAX_FAILED_HOSTS:
                break
        return Unavailable("no host reaches the store")

    def _ordered_addresses(self) -> list[str]:
        """Returns the other hosts, shuffled, the last that succeeded first."""
        hosts = self._homes.others() if self._homes else []
        addresses = [each.address for each in hosts]
        random.shuffle(addresses)
        addresses.sort(key=lambda each: each != self._last_address)
        return addresses


async def call_for_other(
    transport: failover.FailoverTransport, request: entry_pb2.StoreCall
) -> entry_pb2.StoreReply:
    """Makes a store call for another host, over the direct connection."""
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
