"""Which targets may get new requests, beyond what their entries say.

Load patterns: a target stops taking requests and says so only in its answers;
operators evacuate a failure domain under full load; the targets of a domain
start together, and can't take their share of the load at once.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Sequence

# Targets that are kept; those observed longest ago are forgotten.
MAX_TARGETS = 1000
# A cold target gets this fraction of the rate that it takes. The homes before
# and after a change may both assign its requests for up to a second.
COLD_RATE_FRACTION = 0.75
_LEAVING = "1"


class Closure(enum.Enum):
    """Why a target gets no new requests.

    Attributes:
        LEAVING: Its answers or its entry say that it is about to stop.
        EVACUATED: Operators have evacuated its failure domain.
    """

    LEAVING = "target-leaving"
    EVACUATED = "domain-evacuated"


def says_leaving(values: Sequence[str]) -> bool:
    """Returns whether an answer says that its target is about to stop.

    Args:
        values: Values of the answer's header. One of several is enough: a
            target that is left too early is replaced by the others.
    """
    texts = (text for value in values for text in value.split(","))
    return any(text.strip() == _LEAVING for text in texts)


@dataclasses.dataclass(frozen=True)
class LeavingNotice:
    """A target's statement that it is about to stop.

    It holds for the lifetime of the target's process: an answer without the
    statement that arrives later may have been sent earlier.

    Attributes:
        target: The target.
        born_ms: Start time of its process.
        at_ms: When its answer was received.
    """

    target: ids.TargetId
    born_ms: int
    at_ms: float


class LeavingTargets:
    """The targets that have said that they are about to stop."""

    def __init__(self) -> None:
        """Starts without notices."""
        self._notices: dict[ids.TargetId, LeavingNotice] = {}

    def notices(self) -> tuple[LeavingNotice, ...]:
        """Returns the first notice of each target's process."""
        return tuple(self._notices.values())

    def add(self, notice: LeavingNotice) -> bool:
        """Adds a notice; returns whether it is news."""
        if self.is_leaving(notice.target, notice.born_ms):
            return False
        self._notices.pop(notice.target, None)
        self._notices[notice.target] = notice
        if len(self._notices) > MAX_TARGETS:
            del self._notices[next(iter(self._notices))]
        return True

    def is_leaving(self, target: ids.TargetId, born_ms: int) -> bool:
        """Returns whether a target's process is about to stop."""
        known = self._notices.get(target)
        return known is not None and known.born_ms == born_ms


@dataclasses.dataclass(frozen=True)
class ColdStart:
    """How the targets of a service bear load after they have started.

    Attributes:
        duration_ms: How long a target stays cold.
        rate_per_s: Requests that a cold target takes in a second.
    """

    duration_ms: float
    rate_per_s: float

    @property
    def assigned_per_s(self) -> float:
        """Requests in a second that a home assigns to a cold target."""
        return self.rate_per_s * COLD_RATE_FRACTION


class ColdTargets:
    """The targets that are cold, and until when."""

    def __init__(self) -> None:
        """Starts without cold targets."""
        self._until_ms: dict[ids.TargetId, float] = {}

    def names(self) -> frozenset[ids.TargetId]:
        """Returns the cold targets."""
        return frozenset(self._until_ms)

    def is_cold(self, target: ids.TargetId) -> bool:
        """Returns whether a target is cold."""
        return target in self._until_ms

    def add(self, target: ids.TargetId, until_ms: float) -> bool:
        """Extends the time that a target is cold; returns whether it was warm.

        Args:
            target: The target.
            until_ms: When it is warm again, at the earliest.
        """
        known_ms = self._until_ms.pop(target, None)
        self._until_ms[target] = max(until_ms, known_ms or until_ms)
        if len(self._until_ms) > MAX_TARGETS:
            del self._until_ms[next(iter(self._until_ms))]
        return known_ms is None

    def remove_warm(self, now_ms: float) -> list[ids.TargetId]:
        """Removes and returns the targets that are warm again."""
        warm = [
            target
            for target, until_ms in self._until_ms.items()
            if until_ms <= now_ms
        ]
        for target in warm:
            del self._until_ms[target]
        return warm
