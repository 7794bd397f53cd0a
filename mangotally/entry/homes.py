"""Ownership of keys: which host decides for a key."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from mangotally import ids


@dataclasses.dataclass(frozen=True)
class HostAddress:
    """Address of a host for calls from other hosts.

    Attributes:
        host: ID of the host.
        address: IP address and port.
        failure_domain: Failure domain that the host runs in.
        capacity: Fraction of a core available to the host, multiplied by the
            speed of that core.
    """

    host: ids.HostId
    address: str
    failure_domain: ids.FailureDomainId
    capacity: float = 1.0


class Homes(Protocol):
    """Owners of keys, as far as this host knows them."""

    @property
    def max_homes(self) -> int:
        """Maximum number of hosts that own keys at the same time."""

    @property
    def is_home(self) -> bool:
        """Whether this host owned any keys when owners were last read."""

    def home_of(self, key: str) -> HostAddress | None:
        """Returns the owner of a key as last read, or None."""

    def is_self(self, host: HostAddress) -> bool:
        """Returns whether an address belongs to this host."""

    def owned_since_ms(self, key: str) -> float | None:
        """Returns the time since which this host owns a key, or None."""

    def others(self) -> list[HostAddress]:
        """Returns the other hosts that own keys.

        Hosts that own none are not listed; there may be many of them.
        """

    def refresh(self) -> None:
        """Requests an early read of the owners.

        Called when an owner does not respond, or no longer owns a key.
        """
