"""The targets that the platform lists."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mangotally import ids
    from mangotally.entry import model
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Targets whose entries lapsed during an outage have so long to return.
REMOVAL_GRACE_MS = 2000


class TargetDirectory:
    """Targets by id; tells a listener of every change."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Makes an empty list."""
        self._clock = clock
        self._targets: dict[ids.TargetId, model.Target] = {}
        self._doomed: dict[ids.TargetId, float] = {}
        self._listeners: list[Callable[[ids.TargetId], None]] = []

    def listen(self, listener: Callable[[ids.TargetId], None]) -> None:
        """Calls a function with the id of each target that changes."""
        self._listeners.append(listener)

    def find(self, target: ids.TargetId) -> model.Target | None:
        """Returns a target that is listed, or None."""
        return self._targets.get(target)

    def of_service(self, service: ids.ServiceId) -> list[model.Target]:
        """Returns the listed targets of a service."""
        return [
            each for each in self._targets.values() if each.service == service
        ]

    def put(self, target: model.Target) -> None:
        """Adds a target, or changes it."""
        self._doomed.pop(target.id, None)
        known = self._targets.get(target.id)
        if known == target:
            return
        self._targets[target.id] = target
        logger.info(
            "target_changed",
            extra={
                "target": target.id,
                "service": target.service,
                "state": target.state.value,
                "born_ms": target.born_ms,
                "address": target.address,
            },
        )
        self._tell(target.id)

    def remove(self, target: ids.TargetId, reason: str) -> None:
        """Removes a target at once."""
        self._doomed.pop(target, None)
        if self._targets.pop(target, None) is None:
            return
        logger.info("target_gone", extra={"target": target, "reason": reason})
        self._tell(target)

    def remove_later(self, target: ids.TargetId) -> None:
        """Removes a target unless it is listed again soon."""
        if target in self._targets:
            self._doomed.setdefault(
                target, self._clock.now_ms() + REMOVAL_GRACE_MS
            )

    def replace(
        self, targets: Iterable[model.Target], after_outage: bool
    ) -> None:
        """Takes a whole list.

        Args:
            targets: All that are listed.
            after_outage: Whether entries may have lapsed though the
                targets live.
        """
        listed = {each.id: each for each in targets}
        for target in listed.values():
            self.put(target)
        for name in [name for name in self._targets if name not in listed]:
            if after_outage:
                self.remove_later(name)
            else:
                self.remove(name, "unlisted")

    def remove_lapsed(self) -> None:
        """Removes the targets that have not come back in time."""
        now_ms = self._clock.now_ms()
        for name, until_ms in list(self._doomed.items()):
            if now_ms >= until_ms:
                self.remove(name, "lapsed")

    def _tell(self, target: ids.TargetId) -> None:
        for listener in self._listeners:
            listener(target)
