"""Settings of an entry host.

The types do not need the validation library, whose import would delay the
start of a host. `loader` validates them with it; `prepared` builds them from a
file that is valid as it stands.
"""

from __future__ import annotations

import dataclasses
import re
from typing import Any, ClassVar

_ADDRESS = re.compile(r"[^:\s]+:\d{1,5}")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Settings:
    # Unknown fields are refused.
    __pydantic_config__: ClassVar[Any] = {"extra": "forbid"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen(_Settings):
    """Addresses that the host listens on.

    Attributes:
        callers: For callers.
        readiness: For the balancer's readiness checks.
        hosts: For other entry hosts.
        metrics: For metrics and the state dump.
    """

    callers: str
    readiness: str
    hosts: str
    metrics: str

    def __post_init__(self) -> None:
        """Checks the addresses."""
        for field in dataclasses.fields(self):
            _check_address(field.name, getattr(self, field.name))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Processor(_Settings):
    """The processor capacity that the host may use.

    Attributes:
        share: Fraction of a core.
        speed: Speed of that core, relative to the platform's unit core.
    """

    share: float = 1.0
    speed: float = 1.0

    def __post_init__(self) -> None:
        """Checks the ranges."""
        _check(self.share > 0, "share", "must be above 0")
        _check(self.speed > 0, "speed", "must be above 0")

    @property
    def capacity(self) -> float:
        """Work per unit of time, relative to that of a unit core."""
        return self.share * self.speed


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resources(_Settings):
    """What the process may use of its machine.

    Attributes:
        memory_mb: Memory.
        descriptors: Number of open files and connections; the limit of the
            operating system holds if it is lower.
    """

    memory_mb: float = 136.0
    descriptors: int = 1024

    def __post_init__(self) -> None:
        """Checks the ranges."""
        _check(self.memory_mb > 0, "memory_mb", "must be above 0")
        _check(self.descriptors > 0, "descriptors", "must be above 0")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Store(_Settings):
    """The platform's store.

    Attributes:
        address: Its address.
        partitions: Number of partitions of each topic.
    """

    address: str
    partitions: int = 12

    def __post_init__(self) -> None:
        """Checks the address and the range."""
        _check_address("address", self.address)
        _check(self.partitions >= 1, "partitions", "must be at least 1")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds(_Settings):
    """Guarantees to the operators.

    Attributes:
        withdrawn_key_ms: Maximum time for which requests with a withdrawn
            key are still served.
        grace_s: Time between SIGTERM and SIGKILL.
        rate_window_s: Length of the windows to which the rate guarantee
            applies; it holds for every window of this length.
        rate_overshoot: Tolerated excess, as a fraction of the calls that
            rate and burst allow.
        rate_slack: Tolerated number of calls on top of that.
    """

    withdrawn_key_ms: float = 5000.0
    grace_s: float = 8.0
    rate_window_s: float = 5.0
    rate_overshoot: float = 0.1
    rate_slack: float = 0.0

    def __post_init__(self) -> None:
        """Checks the ranges."""
        for name in ("withdrawn_key_ms", "grace_s", "rate_window_s"):
            _check(getattr(self, name) > 0, name, "must be above 0")
        for name in ("rate_overshoot", "rate_slack"):
            _check(getattr(self, name) >= 0, name, "must be at least 0")


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings(_Settings):
    """Settings of one entry host.

    Attributes:
        host: Unique id of this host.
        failure_domain: Failure domain of this host.
        listen: Addresses that the host listens on.
        store: The platform's store.
        processor: The processor capacity that the host may use.
        resources: What the process may use of its machine.
        bounds: Guarantees to the operators.
    """

    host: str
    failure_domain: str
    listen: Listen
    store: Store
    processor: Processor = dataclasses.field(default_factory=Processor)
    resources: Resources = dataclasses.field(default_factory=Resources)
    bounds: Bounds = dataclasses.field(default_factory=Bounds)

    def __post_init__(self) -> None:
        """Checks the names."""
        _check(bool(self.host), "host", "must not be empty")
        _check(bool(self.failure_domain), "failure_domain", "must not be empty")


def _check_address(name: str, value: str) -> None:
    _check(_ADDRESS.fullmatch(value) is not None, name, "must be HOST:PORT")


def _check(is_valid: bool, name: str, reason: str) -> None:
    if not is_valid:
        raise ValueError(f"{name} {reason}")
