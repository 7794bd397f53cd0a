"""Interface of the platform's weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from mangotally import errors


class WeightStore(Protocol):
    """Loads weights onto targets, at a limited rate."""

    async def fetch(self, name: str) -> errors.Outcome[int]:
        """Requests weights.

        Args:
            name: Name of a model, adapter or version.

        Returns:
            Size in bytes, or a failure with `retry_after_ms` if the rate
            limit of the store is reached.
        """
