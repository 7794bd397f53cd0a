"""Which host decides for a key."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from mangotally import ids


@dataclasses.dataclass(frozen=True)
class HostAddress:
    """Where other hosts reach a host.

    Attributes:
        host: Its id.
        address: IP address and port.
        failure_domain: Where it runs.
        capacity: Its part of a core, times the speed of that core.
    """

    host: ids.HostId
    address: str
    failure_domain: ids.FailureDomainId
    capacity: float = 1.0


class Homes(Protocol):
    """Knows the homes of keys."""

    @property
    def max_homes(self) -> int:
        """The most hosts that are homes of some keys at the same time."""

    @property
    def is_home(self) -> bool:
        """Whether this host was one of them when they were last read."""

    def home_of(self, key: str) -> HostAddress | None:
        """Returns the home of a key as last read, or None."""

    def is_self(self, host: HostAddress) -> bool:
        """Returns whether an address is this host's."""

    def owned_since_ms(self, key: str) -> float | None:
        """Returns since when this host is the home of a key, or None."""

    def others(self) -> list[HostAddress]:
        """Returns the other hosts that are homes of some keys.

        There may be many more hosts, which nobody lists.
        """

    def refresh(self) -> None:
        """Has the homes read again soon: one is silent, or is none."""
