"""Directory of the targets found by service discovery."""

from __future__ import annotations

import logging
import math
import random
from typing import TYPE_CHECKING

from mangotally.entry import model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mangotally import ids
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Time for targets whose entries expired during an outage to register again.
REMOVAL_GRACE_MS = 2000


class TargetDirectory:
    """Targets by id; notifies listeners of every change."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._targets: dict[ids.TargetId, model.Target] = {}
        self._removal_due_ms: dict[ids.TargetId, float] = {}
        self._listeners: list[Callable[[ids.TargetId], None]] = []
        self._followed_since_ms = math.inf
        self._current_ms = -math.inf
        # When the last target of a service and version ended.
        self._ended_ms: dict[
            tuple[ids.ServiceId, ids.SoftwareVersion], float
        ] = {}

    def add_listener(self, listener: Callable[[ids.TargetId], None]) -> None:
        """Registers a function to call with the id of each changed target."""
        self._listeners.append(listener)

    @property
    def current_ms(self) -> float:
        """Time up to which every change of the list is known here."""
        return self._current_ms

    def confirm_current(self, at_ms: float) -> None:
        """Records that every change before a time has been read."""
        self._current_ms = max(self._current_ms, at_ms)

    def find(self, target: ids.TargetId) -> model.Target | None:
        """Returns a target, or None if it is not listed."""
        return self._targets.get(target)

    def version_of(
        self, target: ids.TargetId | None
    ) -> ids.SoftwareVersion | None:
        """Returns the version of a target, or None if it is not listed."""
        listed = self._targets.get(target) if target is not None else None
        return listed.version if listed is not None else None

    def of_service(self, service: ids.ServiceId) -> list[model.Target]:
        """Returns the listed targets of a service."""
        return [
            each for each in self._targets.values() if each.service == service
        ]

    def in_domain(self, domain: ids.FailureDomainId) -> list[model.Target]:
        """Returns the listed targets of a failure domain."""
        return [
            each
            for each in self._targets.values()
            if each.failure_domain == domain
        ]

    def sample_addresses(self, count: int) -> list[str]:
        """Returns the addresses of some random targets that are ready."""
        addresses = [
            each.address
            for each in self._targets.values()
            if each.state is model.TargetState.READY
        ]
        return random.sample(addresses, min(count, len(addresses)))

    def only_version(
        self, service: ids.ServiceId, since_ms: float
    ) -> ids.SoftwareVersion | None:
        """Returns the only version of a service's targets since a time.

        Returns:
            The version. None if there was none or more than one, or if the
            targets have not been followed since then.
        """
        if self._followed_since_ms > since_ms:
            return None
        versions = {each.version for each in self.of_service(service)}
        versions |= {
            version
            for (ended_service, version), at_ms in self._ended_ms.items()
            if ended_service == service and at_ms >= since_ms
        }
        return versions.pop() if len(versions) == 1 else None

    def put(self, target: model.Target) -> None:
        """Adds or updates a target."""
        self._removal_due_ms.pop(target.id, None)
        known = self._targets.get(target.id)
        self._targets[target.id] = target
        if known == target:
            if target.cold_ms:
                self._notify(target.id)
            return
        if known is not None:
            self._record_end(known)
        logger.info(
            "target_changed",
            extra={
                "target": target.id,
                "service": target.service,
                "state": target.state.value,
                "born_ms": target.born_ms,
                "version": target.version,
                "address": target.address,
            },
        )
        self._notify(target.id)

    def remove(self, target: ids.TargetId, reason: str) -> None:
        """Removes a target at once."""
        self._removal_due_ms.pop(target, None)
        ended = self._targets.pop(target, None)
        if ended is None:
            return
        self._record_end(ended)
        logger.info("target_gone", extra={"target": target, "reason": reason})
        self._notify(target)

    def remove_later(self, target: ids.TargetId) -> None:
        """Removes a target unless it registers again within the grace time."""
        if target in self._targets:
            self._removal_due_ms.setdefault(
                target, self._clock.now_ms() + REMOVAL_GRACE_MS
            )

    def replace(
        self, targets: Iterable[model.Target], after_outage: bool
    ) -> None:
        """Replaces the directory by a complete list.

        Args:
            targets: All listed targets.
            after_outage: Whether entries may have expired although their
                targets are running; these are removed later.
        """
        self._followed_since_ms = min(
            self._followed_since_ms, self._clock.now_ms()
        )
        listed = {each.id: each for each in targets}
        for target in listed.values():
            self.put(target)
        for name in [name for name in self._targets if name not in listed]:
            if after_outage:
                self.remove_later(name)
            else:
                self.remove(name, "unlisted")

    def remove_expired(self) -> None:
        """Removes the targets that have not registered again in time."""
        now_ms = self._clock.now_ms()
        for name, until_ms in list(self._removal_due_ms.items()):
            if now_ms >= until_ms:
                self.remove(name, "lapsed")

    def _record_end(self, target: model.Target) -> None:
        key = (target.service, target.version)
        self._ended_ms[key] = self._clock.now_ms()

    def _notify(self, target: ids.TargetId) -> None:
        for listener in self._listeners:
            listener(target)
