"""Closes expired programs and keeps records of open ones in the log.

Programs are closed at their deadline or when their budget is exhausted.
Records that the log would soon drop are appended again as snapshots.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally.policy import calls, programs, records, snapshots
from mangotally.policy import ledger as ledger_lib
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally import ids
    from mangotally.homes import partitions as partitions_lib
    from mangotally.homes import programs as program_home
    from mangotally.log import partition as partition_log
    from mangotally.settings import host as host_settings

logger = logging.getLogger(__name__)

SWEEP_MS = 1000
# Age, as a fraction of the log's retention, from which records are appended
# again as snapshots.
SNAPSHOT_AGE_FRACTION = 0.5
MAX_CLOSES_PER_SWEEP = 256
MAX_SNAPSHOTS_PER_SWEEP = 64


class Sweeper:
    """Periodically sweeps the partitions whose home is this host."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        partitions: partitions_lib.Partitions,
        home: program_home.ProgramHome,
        clock: clock_lib.Clock,
    ) -> None:
        self._settings = settings
        self._partitions = partitions
        self._home = home
        self._clock = clock
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts sweeping."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops sweeping."""
        await self._background.stop()

    async def sweep(self, partition: partition_log.Partition) -> None:
        """Closes, snapshots and prunes the programs of one partition."""
        if partition.current_for_ms <= 2 * self._settings.lease_ms:
            await partition.catch_up()
        await asyncio.gather(
            *(
                self._close(partition, key, reason)
                for key, reason in self._programs_to_close(partition.ledger)
            )
        )
        await self._take_snapshots(partition)
        partition.ledger.prune(
            self._clock.wall_ms(), self._settings.log.program_keep_ms
        )

    async def _close(
        self,
        partition: partition_log.Partition,
        key: programs.ProgramKey,
        reason: records.CloseReason,
    ) -> None:
        ended = await self._home.end(partition, *key, reason)
        if isinstance(ended, result.Success):
            logger.info(
                "program_closed",
                extra={"program": key[1], "reason": reason.value},
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(SWEEP_MS))
            for partition in self._partitions.loaded():
                await self.sweep(partition)

    def _programs_to_close(
        self, ledger: ledger_lib.Ledger
    ) -> list[tuple[programs.ProgramKey, records.CloseReason]]:
        now_ms = self._clock.wall_ms()
        due = []
        for key, program in ledger.programs.items():
            if program.closed is not None:
                continue
            if now_ms >= program.deadline_wall_ms:
                due.append((key, records.CloseReason.DEADLINE))
            elif program.account.exhausted and not self._home.has_active_turn(
                *key
            ):
                due.append((key, records.CloseReason.BUDGET))
        return due[:MAX_CLOSES_PER_SWEEP]

    async def _take_snapshots(self, partition: partition_log.Partition) -> None:
        """Appends snapshots of programs and calls whose records expire soon.

        The stream is read to its end first. A snapshot of an outdated state
        would depend on earlier records, which may expire before it does.
        """
        now_ms = self._clock.wall_ms()
        if not any(self._due_for_snapshot(partition.ledger, now_ms)):
            return
        read = await partition.catch_up()
        if isinstance(read, result.Failure):
            return
        roots, keys = self._due_for_snapshot(partition.ledger, now_ms)
        makers: list[Callable[[ids.Offset], Any]] = [
            functools.partial(_tree_snapshot, partition, root, now_ms)
            for root in roots
        ]
        makers += [
            functools.partial(_call_snapshot, partition, key, now_ms)
            for key in keys
        ]
        await asyncio.gather(
            *(
                self._append(partition, make)
                for make in makers[:MAX_SNAPSHOTS_PER_SWEEP]
            )
        )

    def _due_for_snapshot(
        self, ledger: ledger_lib.Ledger, now_ms: int
    ) -> tuple[list[programs.ProgramKey], list[calls.CallKey]]:
        age_ms = int(self._settings.log.retention_ms * SNAPSHOT_AGE_FRACTION)
        return (
            snapshots.roots_due_for_snapshot(ledger, now_ms, age_ms),
            ledger.calls.due_for_snapshot(now_ms, age_ms),
        )

    async def _append(
        self,
        partition: partition_log.Partition,
        make: Callable[[ids.Offset], Any],
    ) -> None:
        outcome = await partition.append_snapshot(make)
        if isinstance(outcome, result.Failure):
            logger.warning("snapshot_failed")


def _tree_snapshot(
    partition: partition_log.Partition,
    root: programs.ProgramKey,
    now_wall_ms: int,
    as_of: ids.Offset,
) -> records.TreeSnapshot:
    return snapshots.make_tree_snapshot(
        partition.ledger, root, as_of, now_wall_ms
    )


def _call_snapshot(
    partition: partition_log.Partition,
    key: calls.CallKey,
    now_wall_ms: int,
    as_of: ids.Offset,
) -> records.CallSnapshot | None:
    return partition.ledger.calls.snapshot(key, as_of, now_wall_ms)
