"""How long work takes at targets now, shared between hosts.

What a host has heard since its last call goes to the home of the service with
the next call, so this costs no calls of its own. Home: the host that owns a
key, here the key of the service.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2
from mangotally.policy import target_pace

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mangotally.util import clock as clock_lib

# Statements of a service that wait to be passed on. The home of the service
# passes none on.
MAX_UNSENT = 200
# Older statements are not worth passing on.
MAX_AGE_MS = 2 * target_pace.HALF_LIFE_MS


@dataclasses.dataclass(frozen=True)
class Statement:
    """What a target has said of its pace.

    Attributes:
        target: The target.
        pace: Time that work takes, in hundredths of the usual time.
        at_ms: When its answer was received.
    """

    target: ids.TargetId
    pace: float
    at_ms: float


class KnownPaces:
    """Collects statements of targets, and passes them on once."""

    def __init__(
        self, on_statement: Callable[[Statement], None], clock: clock_lib.Clock
    ) -> None:
        """Starts without statements.

        Args:
            on_statement: Called with each statement, also of other hosts.
            clock: Source of the current time.
        """
        self._on_statement = on_statement
        self._clock = clock
        # The latest one of each target of a service that is not passed on yet.
        self._unsent: dict[ids.ServiceId, dict[ids.TargetId, Statement]] = {}

    def observe_answer(
        self, service: ids.ServiceId, target: ids.TargetId, load: str | None
    ) -> None:
        """Reads the pace that an answer states, if any."""
        pace = target_pace.read(load)
        if pace is None:
            return
        statement = Statement(target, pace, self._clock.now_ms())
        unsent = self._unsent.setdefault(service, {})
        unsent.pop(target, None)
        unsent[target] = statement
        if len(unsent) > MAX_UNSENT:
            del unsent[next(iter(unsent))]
        self._on_statement(statement)

    def merge(self, messages: Iterable[entry_pb2.TargetPace]) -> None:
        """Adds what another host has heard."""
        now_ms = self._clock.now_ms()
        for each in messages:
            self._on_statement(
                Statement(
                    ids.TargetId(each.target), each.pace, now_ms - each.age_ms
                )
            )

    def take_messages(
        self, service: ids.ServiceId
    ) -> list[entry_pb2.TargetPace]:
        """Returns what is news to the home of a service."""
        now_ms = self._clock.now_ms()
        return [
            entry_pb2.TargetPace(
                target=each.target, pace=each.pace, age_ms=now_ms - each.at_ms
            )
            for each in self._unsent.pop(service, {}).values()
            if now_ms - each.at_ms < MAX_AGE_MS
        ]
