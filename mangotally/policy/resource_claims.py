"""Finds resources at targets whose program or call no longer exists."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

T = TypeVar("T")
K = TypeVar("K")


@dataclasses.dataclass
class UnclaimedTracker(Generic[T]):
    """Resources held by targets that no host claims.

    A resource is reported only after it has been unclaimed for a grace
    period, so that resources that were just granted, or are being moved from
    one host to another, are not released.

    Attributes:
        grace_ms: Time for which a resource must be unclaimed.
    """

    grace_ms: float
    _unclaimed_since_ms: dict[T, float] = dataclasses.field(
        default_factory=dict
    )

    def observe(
        self,
        seen: Collection[T],
        is_claimed: Callable[[T], bool],
        now_ms: float,
    ) -> list[T]:
        """Updates the resources that targets currently hold.

        Args:
            seen: All resources that they hold.
            is_claimed: Whether a resource is still in use.
            now_ms: Current time.

        Returns:
            Resources that have been unclaimed for at least the grace period.
        """
        self._unclaimed_since_ms = {
            item: self._unclaimed_since_ms.get(item, now_ms)
            for item in seen
            if not is_claimed(item)
        }
        return [
            item
            for item, unclaimed_since_ms in self._unclaimed_since_ms.items()
            if now_ms - unclaimed_since_ms >= self.grace_ms
        ]


@dataclasses.dataclass
class ClaimTable(Generic[K, T]):
    """Resources claimed by their holders; claims expire unless renewed.

    Attributes:
        valid_ms: Time after which a claim expires.
    """

    valid_ms: float
    _claims: dict[K, tuple[float, tuple[T, ...]]] = dataclasses.field(
        default_factory=dict
    )

    def put(self, holder: K, resources: tuple[T, ...], now_ms: float) -> None:
        """Replaces the claim of a holder."""
        self._claims[holder] = (now_ms, resources)

    def valid(self, now_ms: float) -> list[T]:
        """Returns all claimed resources; drops expired claims."""
        self._claims = {
            holder: claim
            for holder, claim in self._claims.items()
            if now_ms - claim[0] < self.valid_ms
        }
        return [
            resource
            for _, resources in self._claims.values()
            for resource in resources
        ]


@dataclasses.dataclass
class RecheckSchedule(Generic[T]):
    """When to check again whether a resource is still in use.

    Attributes:
        interval_ms: Time for which a confirmation is valid.
    """

    interval_ms: float
    _confirmed_ms: dict[T, float] = dataclasses.field(default_factory=dict)

    def due(self, seen: Collection[T], now_ms: float) -> list[T]:
        """Returns resources to check; drops those that are no longer held.

        Args:
            seen: All resources that are currently held.
            now_ms: Current time.
        """
        self._confirmed_ms = {
            item: confirmed_ms
            for item, confirmed_ms in self._confirmed_ms.items()
            if item in seen
        }
        default_ms = now_ms - self.interval_ms
        return [
            item
            for item in seen
            if now_ms - self._confirmed_ms.get(item, default_ms)
            >= self.interval_ms
        ]

    def confirm(self, item: T, now_ms: float) -> None:
        """Records that a resource is still in use."""
        self._confirmed_ms[item] = now_ms
