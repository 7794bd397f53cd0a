"""Targets that must not get requests now, as far as this host knows.

Every host checks this before each send, whatever assigned the slot: a home may
have read less, and a slot may be older than the closure. Home: the host that
owns a key, here the key of a service.
"""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

from mangotally.entry import model, slot_messages
from mangotally.policy import target_closures
from mangotally.policy.target_closures import Closure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from mangotally import ids
    from mangotally.entry import configuration_cache as cache_lib
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import entry_pb2
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# A slot at a cold target that took longer to arrive is not used. The target's
# rate counts requests in the second in which their slots are assigned.
MAX_COLD_SLOT_AGE_MS = 500.0
COLD_SLOT_EXPIRED = "cold-slot-expired"


class KnownClosures:
    """Decides whether a request may be sent to a target now.

    Attributes:
        changes: Number of changes, by kind.
    """

    def __init__(
        self,
        directory: directory_lib.TargetDirectory,
        cache: cache_lib.ConfigurationCache,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts with all targets open and warm.

        Args:
            directory: Lists the targets.
            cache: The configuration, which says how cold targets bear load.
            clock: Source of the current time.
        """
        self._directory = directory
        self._cache = cache
        self._clock = clock
        self._listeners: list[Callable[[ids.TargetId], None]] = []
        self._leaving = target_closures.LeavingTargets()
        self._cold = target_closures.ColdTargets()
        self._evacuated: set[ids.FailureDomainId] = set()
        self.changes: collections.Counter[str] = collections.Counter()

    def add_listener(self, listener: Callable[[ids.TargetId], None]) -> None:
        """Registers a function to call with each target that has changed."""
        self._listeners.append(listener)

    @property
    def evacuated_domains(self) -> frozenset[ids.FailureDomainId]:
        """Failure domains whose targets get no requests."""
        return frozenset(self._evacuated)

    def closure_of(self, target: model.Target) -> Closure | None:
        """Returns why a target gets no requests now, or None."""
        if target.failure_domain in self._evacuated:
            return Closure.EVACUATED
        if target.state is model.TargetState.DRAINING:
            return Closure.LEAVING
        if self._leaving.is_leaving(target.id, target.born_ms):
            return Closure.LEAVING
        return None

    def reason_to_withhold(
        self, target: model.Target, asked_ms: float
    ) -> str | None:
        """Returns why a request must not be sent to a target now, or None.

        Args:
            target: The target.
            asked_ms: When the slot of the request was asked for.
        """
        closure = self.closure_of(target)
        if closure is not None:
            return closure.value
        age_ms = self._clock.now_ms() - asked_ms
        is_late = age_ms > MAX_COLD_SLOT_AGE_MS
        if is_late and self._cold.is_cold(target.id):
            return COLD_SLOT_EXPIRED
        return None

    def closed_targets(self, service: ids.ServiceId) -> frozenset[ids.TargetId]:
        """Returns the targets of a service that get no requests now."""
        return frozenset(
            each.id
            for each in self._directory.of_service(service)
            if self.closure_of(each) is not None
        )

    def cold_targets(self) -> frozenset[ids.TargetId]:
        """Returns the targets that have started a short time ago."""
        return self._cold.names()

    def cold_rate_per_s(self, target: model.Target) -> float | None:
        """Returns the rate of requests to a cold target; None if it is warm."""
        if not self._cold.is_cold(target.id):
            return None
        cold_start = self._cold_start(target)
        return cold_start.assigned_per_s if cold_start is not None else None

    def observe_answer(
        self, target: ids.TargetId, values: Sequence[str]
    ) -> bool:
        """Reads whether a target says that it is leaving.

        Args:
            target: The target.
            values: Values of the answer's header for that.

        Returns:
            Whether this is news.
        """
        listed = self._directory.find(target)
        if listed is None or not target_closures.says_leaving(values):
            return False
        notice = target_closures.LeavingNotice(
            target, listed.born_ms, self._clock.now_ms()
        )
        return self._add_leaving(notice, "answer")

    def merge(self, messages: Iterable[entry_pb2.TargetLeaving]) -> None:
        """Adds what another host knows."""
        now_ms = self._clock.now_ms()
        for each in messages:
            self._add_leaving(
                slot_messages.leaving_notice(each, now_ms), "host"
            )

    def messages(self, service: ids.ServiceId) -> list[entry_pb2.TargetLeaving]:
        """Returns what targets of a service have said, for other hosts."""
        now_ms = self._clock.now_ms()
        return [
            slot_messages.target_leaving(each, now_ms)
            for each in self._leaving.notices()
            if self._provides(each, service)
        ]

    def evacuate(self, domain: ids.FailureDomainId) -> None:
        """Closes the targets of a failure domain until it is reopened."""
        if domain in self._evacuated:
            return
        self._evacuated.add(domain)
        self._record_change("domain_evacuated", domain=domain)
        if not self._directory.in_domain(domain):
            logger.warning(
                "evacuated_domain_has_no_targets", extra={"domain": domain}
            )
        self._notify_domain(domain)

    def reopen(self, domain: ids.FailureDomainId) -> None:
        """Opens the targets of a failure domain; they count as cold.

        Without load, targets lose what makes them fast, and their entries may
        say so later than this.
        """
        if domain not in self._evacuated:
            return
        self._evacuated.remove(domain)
        self._record_change("domain_reopened", domain=domain)
        for target in self._directory.in_domain(domain):
            self.mark_cold(target.id, "reopened")
        self._notify_domain(domain)

    def retain_evacuated(self, domains: Iterable[ids.FailureDomainId]) -> None:
        """Reopens all evacuated failure domains except those listed."""
        for domain in self._evacuated.difference(domains):
            self.reopen(domain)

    def mark_cold(self, name: ids.TargetId, source: str) -> None:
        """Counts a target as started now, if its service has cold starts.

        Args:
            name: The target.
            source: How this is known, for logs.
        """
        target = self._directory.find(name)
        if target is None:
            return
        cold_start = self._cold_start(target)
        if cold_start is not None:
            self._add_cold(target, cold_start.duration_ms, source)

    def update_target(self, name: ids.TargetId) -> None:
        """Reads from a target's entry how long it stays cold."""
        target = self._directory.find(name)
        if target is None or not target.cold_ms:
            return
        if self._cold_start(target) is not None:
            self._add_cold(target, target.cold_ms, "entry")

    def end_cold_starts(self) -> None:
        """Ends the restriction of targets that are warm again."""
        for name in self._cold.remove_warm(self._clock.now_ms()):
            self._record_change("target_warm", target=name)
            self._notify(name)

    def _add_cold(
        self, target: model.Target, duration_ms: float, source: str
    ) -> None:
        until_ms = self._clock.now_ms() + duration_ms
        if not self._cold.add(target.id, until_ms):
            return
        self._record_change(
            "target_cold",
            target=target.id,
            source=source,
            duration_ms=round(duration_ms),
        )
        self._notify(target.id)

    def _add_leaving(
        self, notice: target_closures.LeavingNotice, source: str
    ) -> bool:
        if not self._leaving.add(notice):
            return False
        self._record_change(
            "target_leaving",
            target=notice.target,
            source=source,
            age_ms=round(self._clock.now_ms() - notice.at_ms),
        )
        self._notify(notice.target)
        return True

    def _cold_start(
        self, target: model.Target
    ) -> target_closures.ColdStart | None:
        configuration = self._cache.configuration
        if configuration is None:
            return None
        service = configuration.services.get(target.service)
        return service.cold_start if service is not None else None

    def _provides(
        self, notice: target_closures.LeavingNotice, service: ids.ServiceId
    ) -> bool:
        listed = self._directory.find(notice.target)
        return (
            listed is not None
            and listed.service == service
            and listed.born_ms == notice.born_ms
        )

    def _record_change(self, event: str, **fields: object) -> None:
        self.changes[event] += 1
        logger.info(event, extra=fields)

    def _notify_domain(self, domain: ids.FailureDomainId) -> None:
        for target in self._directory.in_domain(domain):
            self._notify(target.id)

    def _notify(self, name: ids.TargetId) -> None:
        for listener in self._listeners:
            listener(name)
