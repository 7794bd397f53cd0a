"""Decisions on organisations' calls, and buckets on their way."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from mangotally import ids
from mangotally.policy import bucket, ownership


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """What a plan allows.

    Attributes:
        rate_per_s: Calls a second over the whole fleet.
        burst: Calls above the rate at once.
    """

    rate_per_s: float
    burst: float


class Refusal(enum.Enum):
    """Why this host decides nothing about an organisation's calls."""

    NOT_HOME = "not-home"
    NO_LEASE = "no-lease"
    CLOSING = "closing"


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The calls may run now."""


@dataclasses.dataclass(frozen=True)
class Held:
    """The calls may be within the rate; decide again later.

    Attributes:
        wait_ms: When that is worth while.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True)
class OverRate:
    """The calls are over the rate.

    Attributes:
        wait_ms: When they would not be.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True)
class AskPrevious:
    """The earlier home has to hand over first.

    Attributes:
        host: The earlier home.
        offset: The record that moved the key.
    """

    host: ids.HostId
    offset: ids.Offset


Decision: TypeAlias = Admitted | Held | OverRate | AskPrevious | Refusal


@dataclasses.dataclass(frozen=True)
class BucketState:
    """A bucket on its way to another home.

    Attributes:
        level: Tokens that are there for certain.
        upper: Most tokens that can be there.
        batches: Tokens that other hosts still hold; `expires_ms` counts
            from the sending of this state.
    """

    level: float
    upper: float
    batches: tuple[bucket.Batch, ...] = ()


@dataclasses.dataclass(frozen=True)
class Bequest:
    """A bucket that a leaving host sends to the host that will be home.

    Attributes:
        heir: That host.
        organisation: The organisation.
        givers: The host that leaves, and those that left it to that host.
        state: The bucket; no giver grants from it any more.
    """

    heir: ids.HostId
    organisation: ids.OrganisationId
    givers: tuple[ownership.HostIncarnation, ...]
    state: BucketState
