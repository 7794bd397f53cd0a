"""What a target holds for programs and calls that are gone."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

T = TypeVar("T")
K = TypeVar("K")


@dataclasses.dataclass
class UnclaimedTracker(Generic[T]):
    """Things that were seen at a target and that nobody claimed.

    A thing is given up only if nobody claimed it for a while, so that what
    has just been granted, or is on its way between two hosts, is not.
    """

    grace_ms: float
    _since_ms: dict[T, float] = dataclasses.field(default_factory=dict)

    def observe(
        self,
        seen: Collection[T],
        is_claimed: Callable[[T], bool],
        now_ms: float,
    ) -> list[T]:
        """Takes in what targets hold now.

        Args:
            seen: All that they hold.
            is_claimed: Whether somebody still needs a thing.
            now_ms: Current time.

        Returns:
            What has been unclaimed for longer than the grace.
        """
        self._since_ms = {
            item: self._since_ms.get(item, now_ms)
            for item in seen
            if not is_claimed(item)
        }
        return [
            item
            for item, since_ms in self._since_ms.items()
            if now_ms - since_ms >= self.grace_ms
        ]


@dataclasses.dataclass
class ClaimTable(Generic[K, T]):
    """Things that their holders need, while they go on saying so.

    Attributes:
        valid_ms: How long a claim holds.
    """

    valid_ms: float
    _claims: dict[K, tuple[float, tuple[T, ...]]] = dataclasses.field(
        default_factory=dict
    )

    def put(self, holder: K, things: tuple[T, ...], now_ms: float) -> None:
        """Replaces what a holder claims."""
        self._claims[holder] = (now_ms, things)

    def valid(self, now_ms: float) -> list[T]:
        """Returns all that is claimed; drops claims that were not renewed."""
        self._claims = {
            holder: claim
            for holder, claim in self._claims.items()
            if now_ms - claim[0] < self.valid_ms
        }
        return [
            thing for _, things in self._claims.values() for thing in things
        ]


@dataclasses.dataclass
class RecheckSchedule(Generic[T]):
    """Things that were found to be needed, and when to ask again.

    Attributes:
        interval_ms: How long an answer holds.
    """

    interval_ms: float
    _asked_ms: dict[T, float] = dataclasses.field(default_factory=dict)

    def due(self, seen: Collection[T], now_ms: float) -> list[T]:
        """Returns what has to be asked for; forgets what is not seen.

        Args:
            seen: All things that are held now.
            now_ms: Current time.
        """
        self._asked_ms = {
            item: asked_ms
            for item, asked_ms in self._asked_ms.items()
            if item in seen
        }
        never_ms = now_ms - self.interval_ms
        return [
            item
            for item in seen
            if now_ms - self._asked_ms.get(item, never_ms) >= self.interval_ms
        ]

    def confirm(self, item: T, now_ms: float) -> None:
        """A thing was found to be needed."""
        self._asked_ms[item] = now_ms
