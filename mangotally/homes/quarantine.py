"""The quarantine in force on this host.

It follows the quarantine stream of the log; crashes that this host observes
take effect here at once and are appended to the stream.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import errors
from mangotally.policy import quarantine, records
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.log import base

logger = logging.getLogger(__name__)

RETRY_MS = 500
# Longest wait for the log before a suspect request is sent to a target.
LOG_TIMEOUT_MS = 5000


class LiveQuarantine:
    """Follows the quarantine stream and appends to it."""

    def __init__(
        self, log: base.Log, keep_ms: int, clock: clock_lib.Clock
    ) -> None:
        """Creates an empty quarantine; entering it starts the appends.

        Args:
            log: The platform's log.
            keep_ms: Time after which a crash expires.
            clock: The host's clock.
        """
        self._log = log
        self._keep_ms = keep_ms
        self._clock = clock
        self._state = quarantine.Quarantine()
        self._pending: dict[str, list[Any]] = {}
        self._wake = asyncio.Event()
        self._pending_changed = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts appending records."""
        self._task = asyncio.create_task(self._append_pending())
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops appending records."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Applies a record of the quarantine stream."""
        if self._state.apply(record):
            logger.info(
                "quarantine_changed",
                extra={"offset": offset, "kind": type(record).__name__},
            )

    def is_refused(self, digest: str) -> bool:
        """Returns whether a request is quarantined."""
        return self._state.is_refused(digest, self._clock.wall_ms())

    def crashes(self, digest: str) -> list[records.RequestCrashed]:
        """Returns the crashes of a request that have not expired."""
        return self._state.crashes(digest, self._clock.wall_ms())

    def quarantined(self) -> list[quarantine.QuarantinedRequest]:
        """Returns all quarantined requests."""
        return self._state.quarantined(self._clock.wall_ms())

    def record_crash(
        self,
        digest: str,
        service: ids.ServiceId,
        target: ids.TargetId,
        call: ids.CallId,
    ) -> None:
        """Records a crash, here at once and in the log as soon as possible."""
        now_ms = self._clock.wall_ms()
        record = records.RequestCrashed(
            digest, service, target, call, now_ms, now_ms + self._keep_ms
        )
        if self._state.apply(record):
            logger.warning(
                "request_crashed_target",
                extra={"target": target, "digest": digest},
            )
            self._queue(digest, record)

    def clear(self, digest: str) -> None:
        """Clears a suspect that got a complete answer."""
        record = records.RequestCleared(digest)
        if self._state.apply(record):
            self._queue(digest, record)

    async def lift(self, digest: str) -> errors.Outcome[None]:
        """Lifts the quarantine of a request on every host."""
        if not self._state.crashes(digest, self._clock.wall_ms()):
            return errors.failed(
                errors.Reason.NOT_FOUND, "The request is not quarantined."
            )
        outcome = await self._append([records.QuarantineLifted(digest)])
        return outcome.map(lambda _: None)

    async def wait_until_logged(self, digest: str) -> bool:
        """Waits until all records of this host on a request are in the log.

        Returns:
            Whether they are; False if the log did not accept them within
            `LOG_TIMEOUT_MS`.
        """
        if digest not in self._pending:
            return True
        try:
            async with (
                asyncio.timeout(clock_lib.to_seconds(LOG_TIMEOUT_MS)),
                self._pending_changed,
            ):
                await self._pending_changed.wait_for(
                    lambda: digest not in self._pending
                )
        except TimeoutError:
            return False
        return True

    def dump(self) -> dict[str, object]:
        """Returns the size of the quarantine for the state dump."""
        now_ms = self._clock.wall_ms()
        return {
            "quarantined": len(self._state.quarantined(now_ms)),
            "suspects": self._state.suspect_count(now_ms),
            "unwritten": len(self._pending),
        }

    def _queue(self, digest: str, record: Any) -> None:
        self._pending.setdefault(digest, []).append(record)
        self._wake.set()

    async def _append_pending(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch = {key: list(items) for key, items in self._pending.items()}
            pending = [item for items in batch.values() for item in items]
            if pending and isinstance(
                await self._append(pending), result.Failure
            ):
                await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
                self._wake.set()
                continue
            await self._remove_appended(batch)

    async def _remove_appended(self, batch: dict[str, list[Any]]) -> None:
        async with self._pending_changed:
            for digest, written in batch.items():
                remaining = self._pending[digest][len(written) :]
                if remaining:
                    self._pending[digest] = remaining
                else:
                    del self._pending[digest]
            self._pending_changed.notify_all()

    async def _append(self, batch: list[Any]) -> errors.Outcome[ids.Offset]:
        data = records.registry.encode_batch(batch)
        return await self._log.append(records.QUARANTINE_STREAM, data)
