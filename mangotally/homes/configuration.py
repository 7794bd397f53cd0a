"""The configuration and API keys that are in force on this host."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
from typing import TYPE_CHECKING, Any

from mangotally import errors, ids
from mangotally.policy import configuration, records

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 2000


class OnStale(enum.Enum):
    """What a host does when its configuration exceeds the maximum age."""

    REFUSE = "refuse"
    CONTINUE = "continue"


class KeyGuard:
    """Cancels a task when its caller's key is withdrawn.

    Attributes:
        withdrawn: Whether the key was withdrawn.
    """

    def __init__(self, task: asyncio.Task[Any]) -> None:
        self._task = task
        self.withdrawn = False

    def cancel_task(self) -> None:
        """Cancels the task; its handler then finds `withdrawn` set."""
        self.withdrawn = True
        self._task.cancel()


class LiveConfiguration:
    """Configuration and keys according to the records read so far."""

    def __init__(self) -> None:
        self.current = configuration.Configuration()
        self._listeners: list[Callable[[], None]] = []
        self._guards: dict[ids.KeyId, set[KeyGuard]] = {}
        self._read_age_ms: Callable[[], float | None] = _no_age
        self._max_age_ms: float | None = None
        self._on_stale = OnStale.REFUSE

    def on_change(self, listener: Callable[[], None]) -> None:
        """Adds a function that is called when a record has taken effect."""
        self._listeners.append(listener)

    def limit_age(
        self,
        read_age_ms: Callable[[], float | None],
        max_age_ms: float,
        on_stale: OnStale,
    ) -> None:
        """Sets the maximum age of the configuration.

        Args:
            read_age_ms: Returns the time since the stream was last read up
                to its end, or None if it never was.
            max_age_ms: The maximum age.
            on_stale: What to do when the maximum age is exceeded.
        """
        self._read_age_ms = read_age_ms
        self._max_age_ms = max_age_ms
        self._on_stale = on_stale

    def refusal(self) -> errors.Failure | None:
        """Returns why keys cannot be checked reliably, or None if they can."""
        if not self.current.is_complete:
            return errors.Failure(
                errors.Reason.UNAVAILABLE,
                "This host does not know the configuration in force.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self._on_stale is OnStale.CONTINUE or not self.is_stale():
            return None
        return errors.Failure(
            errors.Reason.UNAVAILABLE,
            "This host's configuration is too old to trust keys.",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def is_stale(self) -> bool:
        """Returns whether the configuration exceeds its maximum age."""
        if self._max_age_ms is None:
            return False
        age_ms = self._read_age_ms()
        return age_ms is None or age_ms > self._max_age_ms

    def dump(self) -> dict[str, object]:
        """Returns the version and age, for the state dump."""
        age_ms = self._read_age_ms()
        return {
            "version": self.current.version,
            "age_ms": None if age_ms is None else int(age_ms),
            "complete": self.current.is_complete,
            "stale": self.is_stale(),
            "on_stale": self._on_stale.value,
            "keys": len(self.current.active_keys()),
            "snapshot_wall_ms": self.current.snapshot_wall_ms,
        }

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Applies a record of the configuration stream."""
        was_complete = self.current.is_complete
        fields = {"offset": offset, "kind": type(record).__name__}
        if not self.current.apply(record, offset):
            if not isinstance(record, records.ConfigurationSnapshot):
                logger.info("configuration_record_void", extra=fields)
            return
        fields["version"] = self.current.version
        logger.info("configuration_changed", extra=fields)
        if isinstance(record, records.KeyWithdrawn):
            self._cancel_calls(record.key_id)
        if not was_complete:
            self._cancel_calls_of_inactive_keys()
        for listener in self._listeners:
            listener()

    def can_skip(self, data: bytes, offset: ids.Offset) -> bool:
        """Returns whether an entry need not be decoded; see `Follower`.

        That is the case for snapshots while the state is complete.
        """
        if not self.current.is_complete:
            return False
        header = records.peek_snapshot(data)
        if header is None:
            return False
        self.current.note_snapshot(header, offset)
        return True

    def mark_incomplete(
        self, offset: ids.Offset, oldest_offset: ids.Offset
    ) -> None:
        """Records that retention removed records before they were read."""
        logger.warning(
            "configuration_records_lost",
            extra={"offset": offset, "oldest_offset": oldest_offset},
        )
        self.current.mark_incomplete()

    @contextlib.contextmanager
    def guard(self, key_id: ids.KeyId) -> Iterator[KeyGuard]:
        """Cancels the current task if the key is withdrawn in the context."""
        task = asyncio.current_task()
        assert task is not None
        guard = KeyGuard(task)
        guards = self._guards.setdefault(key_id, set())
        guards.add(guard)
        try:
            if not self.current.is_key_active(key_id):
                guard.cancel_task()
            yield guard
        finally:
            guards.discard(guard)
            if not guards:
                self._guards.pop(key_id, None)

    def _cancel_calls(self, key_id: ids.KeyId) -> None:
        guards = self._guards.pop(key_id, set())
        for guard in guards:
            guard.cancel_task()
        logger.info(
            "key_withdrawn", extra={"key_id": key_id, "calls": len(guards)}
        )

    def _cancel_calls_of_inactive_keys(self) -> None:
        for key_id in list(self._guards):
            if not self.current.is_key_active(key_id):
                self._cancel_calls(key_id)


def _no_age() -> float | None:
    return None
