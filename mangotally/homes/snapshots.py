"""Appends snapshots of the configuration before its records expire."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from typing import TYPE_CHECKING, Self

from returns import result

from mangotally.policy import records
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import configuration
    from mangotally.log import base, follower

logger = logging.getLogger(__name__)

# Longest time until the first snapshot in a stream that has none.
FIRST_SNAPSHOT_MS = 60_000
MAX_CHECK_MS = 10_000
CHECKS_PER_INTERVAL = 100
_FRACTION_STEPS = 1 << 32


def is_due(
    newest_wall_ms: int | None,
    started_wall_ms: int,
    now_wall_ms: int,
    interval_ms: float,
    host_fraction: float,
) -> bool:
    """Returns whether a host should append a snapshot.

    Each host has its own fraction, so that usually one host appends a
    snapshot and the others see it before theirs is due.

    Args:
        newest_wall_ms: When the latest snapshot was written, or None.
        started_wall_ms: When this host started to read the stream.
        now_wall_ms: Current time since the Unix epoch.
        interval_ms: Longest time between snapshots.
        host_fraction: A number in [0, 1) that is derived from the host id.
    """
    if newest_wall_ms is None:
        wait_ms = min(FIRST_SNAPSHOT_MS, interval_ms) * host_fraction
        return now_wall_ms - started_wall_ms >= wait_ms
    return now_wall_ms - newest_wall_ms >= interval_ms * (1 + host_fraction) / 2


class SnapshotWriter:
    """Maintains a recent snapshot in the configuration stream."""

    def __init__(
        self,
        log: base.Log,
        stream: str,
        live: configuration.LiveConfiguration,
        reader: follower.Follower,
        clock: clock_lib.Clock,
        interval_ms: float,
        host: str,
    ) -> None:
        """Entering the writer starts it.

        Args:
            log: The platform's log.
            stream: The configuration stream.
            live: The configuration in force.
            reader: Follows the stream.
            clock: The host's clock.
            interval_ms: Longest time between snapshots.
            host: The id of this host.
        """
        self._log = log
        self._stream = stream
        self._live = live
        self._reader = reader
        self._clock = clock
        self._interval_ms = interval_ms
        self._host_fraction = _fraction_of(host)
        self._started_wall_ms = clock.wall_ms()
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts the periodic check."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the periodic check."""
        await self._background.stop()

    async def write_if_due(self) -> bool:
        """Appends a snapshot if one is due; returns whether it did."""
        wall_ms = self._clock.wall_ms()
        current = self._live.current
        if self._reader.next_offset == 0 or not is_due(
            current.snapshot_wall_ms,
            self._started_wall_ms,
            wall_ms,
            self._interval_ms,
            self._host_fraction,
        ):
            return False
        record = current.snapshot(self._reader.next_offset, wall_ms)
        if record is None:
            return False
        data = records.registry.encode_batch([record])
        outcome = await self._log.append(self._stream, data)
        if isinstance(outcome, result.Failure):
            logger.warning("configuration_snapshot_failed")
            return False
        logger.info(
            "configuration_snapshot",
            extra={
                "version": record.version,
                "offset": outcome.unwrap(),
                "valid": outcome.unwrap() == record.read_to,
                "record_bytes": len(data),
            },
        )
        return True

    async def _run(self) -> None:
        check_ms = min(self._interval_ms / CHECKS_PER_INTERVAL, MAX_CHECK_MS)
        while True:
            await asyncio.sleep(clock_lib.to_seconds(check_ms))
            await self.write_if_due()


def _fraction_of(host: str) -> float:
    digest = hashlib.sha256(host.encode()).digest()
    return int.from_bytes(digest[:4]) / _FRACTION_STEPS
