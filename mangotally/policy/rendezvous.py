"""Rendezvous hashing of keys to their home hosts."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

_DIGEST_BYTES = 8


def ranked(key: str, hosts: Iterable[ids.HostId]) -> list[ids.HostId]:
    """Returns the hosts in rendezvous order of a key, the home first."""
    return sorted(hosts, key=lambda host: _weight(key, host), reverse=True)


def home(key: str, hosts: Iterable[ids.HostId]) -> ids.HostId | None:
    """Returns the home of a key, or None if there are no hosts."""
    return max(hosts, key=lambda host: _weight(key, host), default=None)


class HomeMap:
    """Homes of keys over a set of hosts, kept up to date as it changes."""

    def __init__(self) -> None:
        self._hosts: set[ids.HostId] = set()
        self._best: dict[str, tuple[int, ids.HostId]] = {}

    @property
    def hosts(self) -> frozenset[ids.HostId]:
        """The hosts."""
        return frozenset(self._hosts)

    def add(self, host: ids.HostId) -> None:
        """Adds a host; it takes over the keys that rank it first."""
        self._hosts.add(host)
        for key, best in self._best.items():
            weight = _weight(key, host)
            if weight > best:
                self._best[key] = weight

    def remove(self, host: ids.HostId) -> None:
        """Removes a host; its keys move to the next in their order."""
        self._hosts.discard(host)
        for key, (_, holder) in list(self._best.items()):
            if holder == host:
                del self._best[key]

    def home(self, key: str) -> ids.HostId | None:
        """Returns the home of a key, or None if there are no hosts."""
        best = self._best.get(key)
        if best is None and self._hosts:
            best = max(_weight(key, host) for host in self._hosts)
            self._best[key] = best
        return best[1] if best else None


def organisation_key(organisation: ids.OrganisationId) -> str:
    """Returns the rendezvous key of an organisation."""
    return f"organisation/{organisation}"


def partition_key(partition: ids.PartitionId) -> str:
    """Returns the rendezvous key of a history partition."""
    return f"partition/{partition}"


def pool_key(service: ids.ServiceId) -> str:
    """Returns the rendezvous key of a service's pool of targets."""
    return f"pool/{service}"


def partition_of(
    organisation: ids.OrganisationId, key: str, partitions: int
) -> ids.PartitionId:
    """Returns the history partition of a program tree or call key.

    Args:
        organisation: The owner; equal keys of two owners are unrelated.
        key: Root program id or idempotency key.
        partitions: Number of partitions.
    """
    return ids.PartitionId(
        partition_of_key(f"{organisation}\0{key}", partitions)
    )


def partition_of_key(key: str, partitions: int) -> int:
    """Returns the partition of a key, the same on all hosts."""
    return _hash(key) % partitions


def _weight(key: str, host: ids.HostId) -> tuple[int, ids.HostId]:
    return _hash(f"{key}\0{host}"), host


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")
