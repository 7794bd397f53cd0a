"""Homes of keys: the home of a key is the host that owns it."""

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
    """Homes of keys, as far as this host knows them."""

    @property
    def max_homes(self) -> int:
        """Maximum number of hosts that are homes at the same time."""

    @property
    def is_home(self) -> bool:
        """Whether this host was the home of any key as last read."""

    def home_of(self, key: str) -> HostAddress | None:
        """Returns the home of a key as last read, or None."""

    @property
    def generation(self) -> int:
        """Number of the latest assignment of keys that this host knows."""

    def previous_home_of(self, key: str) -> HostAddress | None:
        """Returns the home of a key before this host became it, or None."""

    def is_self(self, host: HostAddress) -> bool:
        """Returns whether an address belongs to this host."""

    def owned_since_ms(self, key: str) -> float | None:
        """Returns since when this host is the home of a key, or None."""

    def others(self) -> list[HostAddress]:
        """Returns the other hosts that are homes of keys.

        There may be many more hosts, which are not listed.
        """

    def refresh(self) -> None:
        """Requests an early read of the homes.

        Called when a home does not respond, or turns out not to be one.
        """
