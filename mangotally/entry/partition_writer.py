"""Appends of many requests to one partition, a few calls at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib

if TYPE_CHECKING:
    from collections.abc import Sequence


class PartitionWriter:
    """Appends to one partition; what comes meanwhile goes together.

    Attributes:
        part: The partition.
        end: The partition ended here or later when this was last heard.
    """

    def __init__(
        self, log: log_lib.Log, topic: log_lib.Topic, part: int
    ) -> None:
        """Makes a writer that has written nothing.

        Args:
            log: Where the topic is.
            topic: The topic.
            part: The partition.
        """
        self.partition = part
        self.known_end = log_lib.Offset(0)
        self._log = log
        self._topic = topic
        self._waiting: list[
            tuple[Sequence[bytes], asyncio.Future[log_lib.Offset | None]]
        ] = []
        self._task: asyncio.Task[None] | None = None

    async def write(self, records: Sequence[bytes]) -> log_lib.Offset | None:
        """Appends records; returns the first one's offset if they are kept."""
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
            is_kept = isinstance(appended, log_lib.Appended)
            next_offset = 0
            if isinstance(appended, log_lib.Appended):
                self.known_end = max(self.known_end, appended.end)
                next_offset = appended.offset
            for each, future in batch:
                if not future.done():
                    found = log_lib.Offset(next_offset) if is_kept else None
                    future.set_result(found)
                next_offset += len(each)
