"""What a target holds for programs and calls that are gone."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

T = TypeVar("T")


@dataclasses.dataclass
class Unclaimed(Generic[T]):
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
