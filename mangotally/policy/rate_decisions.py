"""Rate limit decisions, and the state of buckets that change their home.

The home of an organisation is the host that owns its key.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from mangotally import ids
from mangotally.policy import bucket, ownership


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """Rate limit of a plan.

    Attributes:
        rate_per_s: Calls per second over the whole fleet.
        burst: Number of calls that may exceed the rate at once.
    """

    rate_per_s: float
    burst: float


class Refusal(enum.Enum):
    """Why this host cannot decide about an organisation's calls.

    Attributes:
        NOT_HOME: This host is not the home of the organisation.
        NO_LEASE: This host does not hold a valid lease.
        CLOSING: This host is shutting down.
    """

    NOT_HOME = "not-home"
    NO_LEASE = "no-lease"
    CLOSING = "closing"


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The calls are admitted."""


@dataclasses.dataclass(frozen=True)
class Held:
    """The calls are delayed: they may be within the rate later.

    Attributes:
        wait_ms: Time after which to decide again.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True)
class OverRate:
    """The calls exceed the rate.

    Attributes:
        wait_ms: Time after which they would not exceed it.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True)
class AskPrevious:
    """The previous home has to hand over the bucket first.

    Attributes:
        host: The previous home.
        offset: Offset of the record that moved the key.
    """

    host: ids.HostId
    offset: ids.Offset


Decision: TypeAlias = Admitted | Held | OverRate | AskPrevious | Refusal


@dataclasses.dataclass(frozen=True)
class BucketState:
    """State of a bucket that is transferred to another home.

    Attributes:
        level: Lower bound of the available tokens.
        upper: Upper bound of the available tokens.
        batches: Batches that other hosts still hold. Their `expires_ms` is
            relative to the time at which this state is sent.
    """

    level: float
    upper: float
    batches: tuple[bucket.Batch, ...] = ()


@dataclasses.dataclass(frozen=True)
class Bequest:
    """Handover of a bucket by a host that shuts down to the next home.

    Attributes:
        heir: Host that receives the bucket.
        organisation: Organisation of the bucket.
        givers: The host that shuts down, and the hosts that handed the
            bucket over to it before by shutting down.
        state: State of the bucket; no giver grants from it any more.
    """

    heir: ids.HostId
    organisation: ids.OrganisationId
    givers: tuple[ownership.HostIncarnation, ...]
    state: BucketState
