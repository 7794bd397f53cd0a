"""Batching of appends to one log partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib

if TYPE_CHECKING:
    from collections.abc import Sequence


class PartitionWriter:
    """Appends to one partition, with one call in flight at a time.

    Records that arrive during a call are batched into the next one.

    Attributes:
        partition: Number of the partition.
        known_end: Last known end of the partition; the actual end is this
            offset or a later one.
    """

    def __init__(
        self, log: log_lib.Log, topic: log_lib.Topic, partition: int
    ) -> None:
        """Initialises the writer.

        Args:
            log: Log that holds the topic.
            topic: Topic to append to.
            partition: Number of the partition.
        """
        self.partition = partition
        self.known_end = log_lib.Offset(0)
        self._log = log
        self._topic = topic
        self._waiting: list[
            tuple[Sequence[bytes], asyncio.Future[log_lib.Offset | None]]
        ] = []
        self._task: asyncio.Task[None] | None = None

    async def write(self, records: Sequence[bytes]) -> log_lib.Offset | None:
        """Appends records.

        Returns:
            Offset of the first record, or None if the append failed.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((records, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        return await future

    async def _drain(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            records = [record for each, _ in batch for record in each]
            appended = await self._log.append(
                self._topic, self.partition, records
            )
            is_appended = isinstance(appended, log_lib.Appended)
            next_offset = 0
            if isinstance(appended, log_lib.Appended):
                self.known_end = max(self.known_end, appended.end)
                next_offset = appended.offset
            for each, future in batch:
                if not future.done():
                    offset = (
                        log_lib.Offset(next_offset) if is_appended else None
                    )
                    future.set_result(offset)
                next_offset += len(each)
