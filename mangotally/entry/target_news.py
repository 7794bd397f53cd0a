"""What targets say of themselves in their answers, shared between hosts."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import TYPE_CHECKING, TypeAlias

from mangotally.entry import entry_pb2, known_limits, known_paces

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally import ids
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import known_closures
    from mangotally.util import clock as clock_lib

Message: TypeAlias = (
    entry_pb2.PlaceRequest | entry_pb2.PlaceReply | entry_pb2.PlaceReport
)


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """What the head of a target's answer says of the target.

    Attributes:
        limits: Values of the header for its limit.
        leaving: Values of the header that it is about to stop.
        load: The header for its load, or None.
        is_run: Whether it ran the request.
    """

    limits: Sequence[str]
    leaving: Sequence[str]
    load: str | None
    is_run: bool


class TargetNews:
    """Reads answers of targets, and messages of other hosts about them."""

    def __init__(
        self,
        directory: directory_lib.TargetDirectory,
        closures: known_closures.KnownClosures,
        on_change: Callable[[ids.TargetId], None],
        on_pace: Callable[[known_paces.Statement], None],
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without any news.

        Args:
            directory: Lists the targets.
            closures: Which targets must not get requests now.
            on_change: Called with each target that is limited, or closed, in
                another way than before.
            on_pace: Called with each statement of a pace.
            clock: Source of the current time.
        """
        self.limits = known_limits.KnownLimits(directory, on_change, clock)
        self.closures = closures
        closures.add_listener(on_change)
        self._paces = known_paces.KnownPaces(on_pace, clock)

    def observe_answer(
        self,
        service: ids.ServiceId,
        target: ids.TargetId,
        head: AnswerHead,
        sent_ms: float,
    ) -> bool:
        """Reads the head of an answer.

        Args:
            service: The service of the target.
            target: The target.
            head: What it says.
            sent_ms: When the request was sent.

        Returns:
            Whether other hosts should learn of it at once.
        """
        self._paces.observe_answer(service, target, head.load)
        is_limited = self.limits.observe_answer(
            target, head.limits, sent_ms, head.is_run
        )
        is_leaving = self.closures.observe_answer(target, head.leaving)
        return is_limited or is_leaving

    def merge(self, message: Message) -> None:
        """Adds what another host knows."""
        self.limits.merge(message.limits)
        self.closures.merge(message.leaving)
        if isinstance(message, entry_pb2.PlaceRequest):
            self._paces.merge(message.paces)

    def add_to(self, message: Message, service: ids.ServiceId) -> None:
        """Adds what this host knows of a service's targets to a message."""
        message.limits.extend(self.limits.messages(service))
        message.leaving.extend(self.closures.messages(service))
        if isinstance(message, entry_pb2.PlaceRequest):
            message.paces.extend(self._paces.take_messages(service))

    def update_target(self, name: ids.TargetId) -> None:
        """Reads the changed entry of a target."""
        self.limits.update_target(name)
        self.closures.update_target(name)

    def unassignable_alone(self) -> frozenset[ids.TargetId]:
        """Returns the targets whose rate only their home can count."""
        return self.limits.limited_targets() | self.closures.cold_targets()
