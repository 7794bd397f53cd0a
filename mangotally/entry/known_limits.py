"""Limits that targets name in their answers, shared between hosts.

A host that knows of a limit tells the home of the service in each call for a
slot, so that the home knows it before it assigns the slot. Home: the host that
owns a key, here the key of the service. The home's replies tell the others.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from mangotally.entry import slot_messages
from mangotally.policy import target_limits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from mangotally import ids
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import entry_pb2
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)


class KnownLimits:
    """Limits of targets, as far as this host knows them."""

    def __init__(
        self,
        directory: directory_lib.TargetDirectory,
        on_change: Callable[[ids.TargetId], None],
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without knowing a limit.

        Args:
            directory: Lists the targets.
            on_change: Called with each target whose limit has changed.
            clock: Source of the current time.
        """
        self._directory = directory
        self._on_change = on_change
        self._clock = clock
        self._limits = target_limits.TargetLimits()
        # Targets whose unreadable limits have been logged.
        self._unreadable: set[ids.TargetId] = set()

    def limit_of(self, target: ids.TargetId) -> float | None:
        """Returns the limit of a target in requests per second, or None."""
        return self._limits.limit_of(target)

    def limited_targets(self) -> frozenset[ids.TargetId]:
        """Returns the targets that have a limit."""
        return frozenset(
            each.target
            for each in self._limits.observations()
            if each.limit_per_s is not None
        )

    def observe_answer(
        self,
        target: ids.TargetId,
        values: Sequence[str],
        sent_ms: float,
        is_run: bool,
    ) -> bool:
        """Reads the limit in an answer; returns whether it has changed.

        Args:
            target: The target.
            values: Values of the answer's header for the limit.
            sent_ms: When the request was sent.
            is_run: Whether the target ran the request. A rejection without a
                limit does not prove that there is none.
        """
        listed = self._directory.find(target)
        reading = target_limits.read(values)
        if listed is None:
            return False
        match reading:
            case target_limits.Reading.UNREADABLE:
                self._log_unreadable(target)
                return False
            case target_limits.Reading.ABSENT:
                if not is_run:
                    return False
                observation = target_limits.Observation(
                    target, listed.born_ms, None, sent_ms
                )
            case _:
                observation = target_limits.Observation(
                    target, listed.born_ms, reading, self._clock.now_ms()
                )
        return self._observe(observation, "answer")

    def merge(self, messages: Iterable[entry_pb2.TargetLimit]) -> None:
        """Adds what another host knows."""
        now_ms = self._clock.now_ms()
        for each in messages:
            observation = slot_messages.limit_observation(each, now_ms)
            listed = self._directory.find(observation.target)
            if listed is not None and listed.born_ms == observation.born_ms:
                self._observe(observation, "host")

    def messages(self, service: ids.ServiceId) -> list[entry_pb2.TargetLimit]:
        """Returns what this host knows, for other hosts."""
        now_ms = self._clock.now_ms()
        return [
            slot_messages.target_limit(each, now_ms)
            for each in self._limits.observations()
            if self._provides(each.target, service)
        ]

    def update_target(self, target: ids.TargetId) -> None:
        """Forgets the limit of a target that has restarted.

        A target that is not listed may be running, and be listed again.
        """
        listed = self._directory.find(target)
        if listed is None:
            self._unreadable.discard(target)
            return
        self._limits.drop_older(target, listed.born_ms)

    def _log_unreadable(self, target: ids.TargetId) -> None:
        """Logs the first answer of a target with an unreadable limit."""
        if target in self._unreadable:
            return
        self._unreadable.add(target)
        logger.warning("target_limit_unreadable", extra={"target": target})

    def _observe(
        self, observation: target_limits.Observation, source: str
    ) -> bool:
        if not self._limits.observe(observation):
            return False
        logger.info(
            "target_limit",
            extra={
                "target": observation.target,
                "limit_per_s": observation.limit_per_s,
                "source": source,
                "age_ms": round(self._clock.now_ms() - observation.at_ms),
            },
        )
        self._on_change(observation.target)
        return True

    def _provides(self, target: ids.TargetId, service: ids.ServiceId) -> bool:
        listed = self._directory.find(target)
        return listed is not None and listed.service == service
