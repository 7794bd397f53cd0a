"""Requests that crash their targets, as far as this host knows.

A host tells the home of the service what it knows of a request in each call
for a slot, and the home's reply tells the host. Home: the host that owns a
key, here the key of the service.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2
from mangotally.policy import crash_histories

if TYPE_CHECKING:
    from mangotally.entry import model
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)


class KnownCrashes:
    """Crashes of targets by the requests that ran there."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Starts without any crash.

        Args:
            clock: Source of the current time.
        """
        self._clock = clock
        self._histories = crash_histories.CrashHistories()

    def refused_for_ms(
        self, request: crash_histories.RequestDigest
    ) -> float | None:
        """Returns for how long a request is refused; None if it may run."""
        now_ms = self._clock.now_ms()
        until_ms = self._histories.refused_until_ms(request, now_ms)
        return None if until_ms is None else until_ms - now_ms

    def record_crash(
        self, request: crash_histories.RequestDigest, target: model.Target
    ) -> None:
        """Records that a target crashed while it ran a request."""
        crashed = crash_histories.Incarnation(target.id, target.born_ms)
        self._histories.record_crash(request, crashed, self._clock.now_ms())
        logger.warning(
            "target_crashed",
            extra={
                "target": target.id,
                "digest": request.hex(),
                "refused_for_ms": self.refused_for_ms(request),
            },
        )

    def record_answer(self, request: crash_histories.RequestDigest) -> bool:
        """Records an answer; returns whether the home should know."""
        return self._histories.record_answer(request, self._clock.now_ms())

    def merge(self, message: entry_pb2.CrashHistory) -> None:
        """Adds what another host knows of a request."""
        now_ms = self._clock.now_ms()
        history = crash_histories.History(
            {
                crash_histories.Incarnation(
                    ids.TargetId(each.target), each.born_ms
                ): now_ms - each.age_ms
                for each in message.crashes
            }
        )
        if message.HasField("answer_age_ms"):
            history.answered_ms = now_ms - message.answer_age_ms
        request = crash_histories.RequestDigest(message.digest)
        self._histories.merge(request, history)

    def message(
        self, request: crash_histories.RequestDigest
    ) -> entry_pb2.CrashHistory:
        """Returns what this host knows of a request, for other hosts."""
        now_ms = self._clock.now_ms()
        found = self._histories.find(request) or crash_histories.History()
        message = entry_pb2.CrashHistory(
            digest=request,
            crashes=[
                entry_pb2.TargetCrash(
                    target=each.target,
                    born_ms=each.born_ms,
                    age_ms=now_ms - at_ms,
                )
                for each, at_ms in found.crashed_ms.items()
            ],
        )
        if found.answered_ms is not None:
            message.answer_age_ms = now_ms - found.answered_ms
        return message
