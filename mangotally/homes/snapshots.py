"""Appends snapshots of the configuration before its records age out."""

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

FIRST_SNAPSHOT_MS = 60_000
MAX_CHECK_MS = 10_000
CHECKS_PER_INTERVAL = 100
_SHARES = 1 << 32


def is_due(
    newest_wall_ms: int | None,
    started_wall_ms: int,
    now_wall_ms: int,
    interval_ms: float,
    share: float,
) -> bool:
    """Returns whether a host is to append a snapshot.

    Hosts differ in their share, so that in general one host writes and
    the others then see its snapshot.

    Args:
        newest_wall_ms: When the newest snapshot was written, or None.
        started_wall_ms: When this host began to read.
        now_wall_ms: The time since the Unix epoch.
        interval_ms: Longest time between snapshots.
        share: A number of this host in [0, 1).
    """
    if newest_wall_ms is None:
        wait_ms = min(FIRST_SNAPSHOT_MS, interval_ms) * share
        return now_wall_ms - started_wall_ms >= wait_ms
    return now_wall_ms - newest_wall_ms >= interval_ms * (1 + share) / 2


class SnapshotWriter:
    """Keeps a snapshot in the configuration stream."""

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
        """Makes a writer; entering it starts it."""
        self._log = log
        self._stream = stream
        self._live = live
        self._reader = reader
        self._clock = clock
        self._interval_ms = interval_ms
        self._share = _share_of(host)
        self._started_wall_ms = clock.wall_ms()
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts to write."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to write."""
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
            self._share,
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


def _share_of(host: str) -> float:
    digest = hashlib.sha256(host.encode()).digest()
    return int.from_bytes(digest[:4]) / _SHARES
