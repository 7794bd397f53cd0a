"""The platform's list of live and leaving hosts and targets."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from mangotally import errors, ids


class EntryKind(enum.Enum):
    """What an entry of the list is."""

    HOST = "host"
    TARGET = "target"


class EntryState(enum.Enum):
    """What the platform says of an entry."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class RosterEntry:
    """One host or target of the list.

    Attributes:
        id: Its name.
        kind: Host of the system, or target.
        address: `ip:port` of a host, base URL of a target.
        place: Its failure domain.
        service: The service of a target, or empty.
        state: Live or leaving.
    """

    id: str
    kind: EntryKind
    address: str
    place: ids.FailureDomainId
    service: ids.ServiceId
    state: EntryState


class Roster(Protocol):
    """Reads the list; it lags behind the truth."""

    async def list(self) -> errors.Outcome[tuple[RosterEntry, ...]]:
        """Returns all entries."""
