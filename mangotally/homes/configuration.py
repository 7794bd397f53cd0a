"""The configuration in force on this host."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from mangotally.policy import configuration, records

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from mangotally import ids

logger = logging.getLogger(__name__)


class LiveConfiguration:
    """Configuration and keys as of the records read so far."""

    def __init__(self) -> None:
        self.current = configuration.Configuration()
        self._listeners: list[Callable[[], None]] = []
        self._streams: dict[ids.KeyId, set[asyncio.Task[Any]]] = {}

    def on_change(self, listener: Callable[[], None]) -> None:
        """Adds a function that is called when something took effect."""
        self._listeners.append(listener)

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Takes a record of the configuration stream."""
        if not self.current.apply(record):
            logger.info(
                "configuration_record_void",
                extra={"offset": offset, "kind": type(record).__name__},
            )
            return
        logger.info(
            "configuration_changed",
            extra={"offset": offset, "kind": type(record).__name__},
        )
        if isinstance(record, records.KeyWithdrawn):
            self._end_streams(record.key_id)
        for listener in self._listeners:
            listener()

    def guard(self, key_id: ids.KeyId, task: asyncio.Task[Any]) -> None:
        """Cancels a task when its caller's key is withdrawn."""
        tasks = self._streams.setdefault(key_id, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def _end_streams(self, key_id: ids.KeyId) -> None:
        for task in self._streams.pop(key_id, set()):
            task.cancel()
