"""Settings of an entry host."""

from __future__ import annotations

from typing import Annotated

import pydantic

Milliseconds = Annotated[float, pydantic.Field(gt=0)]
Seconds = Annotated[float, pydantic.Field(gt=0)]
Address = Annotated[str, pydantic.Field(pattern=r"^[^:\s]+:\d{1,5}$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listen(_Model):
    """Addresses that the host listens on.

    Attributes:
        callers: For callers.
        readiness: For the balancer's readiness checks.
        hosts: For other entry hosts.
        metrics: For metrics and the state dump.
    """

    callers: Address
    readiness: Address
    hosts: Address
    metrics: Address


class Processor(_Model):
    """The processor capacity that the host may use.

    Attributes:
        share: Fraction of a core.
        speed: Speed of that core, relative to the platform's unit core.
    """

    share: Annotated[float, pydantic.Field(gt=0)] = 1.0
    speed: Annotated[float, pydantic.Field(gt=0)] = 1.0

    @property
    def capacity(self) -> float:
        """Work per unit of time, relative to that of a unit core."""
        return self.share * self.speed


class Store(_Model):
    """The platform's store.

    Attributes:
        address: Its address.
        partitions: Number of partitions of each topic.
    """

    address: Address
    partitions: Annotated[int, pydantic.Field(ge=1)] = 12


class Bounds(_Model):
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

    withdrawn_key_ms: Milliseconds = 5000
    grace_s: Seconds = 8
    rate_window_s: Seconds = 5
    rate_overshoot: Annotated[float, pydantic.Field(ge=0)] = 0.1
    rate_slack: Annotated[float, pydantic.Field(ge=0)] = 0


class EntrySettings(_Model):
    """Settings of one entry host.

    Attributes:
        host: Unique id of this host.
        failure_domain: Failure domain of this host.
        listen: Addresses that the host listens on.
        store: The platform's store.
        processor: The processor capacity that the host may use.
        bounds: Guarantees to the operators.
    """

    host: Annotated[str, pydantic.Field(min_length=1)]
    failure_domain: Annotated[str, pydantic.Field(min_length=1)]
    listen: Listen
    store: Store
    processor: Processor = Processor()
    bounds: Bounds = Bounds()
