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
    """Where the host listens.

    Attributes:
        callers: For callers.
        readiness: For the balancer's questions.
        hosts: For other entry hosts.
        metrics: For metrics and the state dump.
    """

    callers: Address
    readiness: Address
    hosts: Address
    metrics: Address


class Processor(_Model):
    """What the host may use of a processor.

    Attributes:
        share: Part of a core.
        speed: Speed of that core, as a multiple of the platform's unit.
    """

    share: Annotated[float, pydantic.Field(gt=0)] = 1.0
    speed: Annotated[float, pydantic.Field(gt=0)] = 1.0

    @property
    def capacity(self) -> float:
        """Work that is done in a time, as a multiple of a unit core's."""
        return self.share * self.speed


class Store(_Model):
    """The platform's store.

    Attributes:
        address: Where it is.
        partitions: Partitions of each topic.
    """

    address: Address
    partitions: Annotated[int, pydantic.Field(ge=1)] = 12


class Bounds(_Model):
    """What the operators are promised.

    Attributes:
        withdrawn_key_ms: How long a withdrawn key may be served.
        grace_s: Time between SIGTERM and SIGKILL.
        rate_window_s: Any span of this length counts for rates.
        rate_overshoot: Tolerated part of what rate and burst allow.
        rate_slack: Tolerated calls besides.
    """

    withdrawn_key_ms: Milliseconds = 5000
    grace_s: Seconds = 8
    rate_window_s: Seconds = 5
    rate_overshoot: Annotated[float, pydantic.Field(ge=0)] = 0.1
    rate_slack: Annotated[float, pydantic.Field(ge=0)] = 0


class EntrySettings(_Model):
    """Settings of one entry host.

    Attributes:
        host: Its id.
        failure_domain: Where it runs.
        listen: Where it listens.
        store: The platform's store.
        processor: What it may use of a processor.
        bounds: What the operators are promised.
    """

    host: Annotated[str, pydantic.Field(min_length=1)]
    failure_domain: Annotated[str, pydantic.Field(min_length=1)]
    listen: Listen
    store: Store
    processor: Processor = Processor()
    bounds: Bounds = Bounds()
