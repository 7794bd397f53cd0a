"""Interface of the platform's list of live and leaving hosts and targets."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from mangotally import errors, ids


class EntryKind(enum.Enum):
    """Kind of an entry in the list."""

    HOST = "host"
    TARGET = "target"


class EntryState(enum.Enum):
    """State of an entry as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class RosterEntry:
    """A host or target in the list.

    Attributes:
        id: Id of the host or target.
        kind: Whether it is a host of this system or a target.
        address: `ip:port` of a host, base URL of a target.
        place: Failure domain of the host or target.
        service: Service that a target belongs to; empty for a host.
        state: Whether the entry is live or leaving.
    """

    id: str
    kind: EntryKind
    address: str
    place: ids.FailureDomainId
    service: ids.ServiceId
    state: EntryState


class Roster(Protocol):
    """Reads the list, which may lag behind the actual state."""

    async def list(self) -> errors.Outcome[tuple[RosterEntry, ...]]:
        """Returns all entries."""
