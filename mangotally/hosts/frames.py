"""Outgoing frames to another host, queued in bounded memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mangotally.hosts import hosts_pb2, messages

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_BATCH_FRAMES = 256
MAX_QUEUED_BYTES = 64 * 1024 * 1024


class FrameWriter:
    """Queues frames and writes those that are waiting as one batch.

    The queue grows while the peer does not read. When it would exceed
    `max_bytes`, the writer drops all further frames and has the stream
    ended.
    """

    def __init__(
        self,
        write: Callable[[Any], Awaitable[None]],
        on_full: Callable[[], None],
        max_bytes: int = MAX_QUEUED_BYTES,
    ) -> None:
        """Creates a writer.

        Args:
            write: The write method of a gRPC stream.
            on_full: Called once when the queue is full; must end the stream.
            max_bytes: Maximum size of the queued message bodies.
        """
        self._write = write
        self._on_full = on_full
        self._max_bytes = max_bytes
        self._queue: asyncio.Queue[Any] = asyncio.Queue()
        self._queued_bytes = 0
        self._full = False

    @property
    def queued_bytes(self) -> int:
        """Size of the queued message bodies."""
        return self._queued_bytes

    def put(self, call_id: int, kind: int, message: Any = None) -> None:
        """Queues a frame; drops it if the queue is or was full."""
        if self._full:
            return
        frame = hosts_pb2.Frame(call_id=call_id, kind=kind)
        if message is not None:
            frame.type, frame.body = messages.registry.encode(message)
        self._queued_bytes += len(frame.body)
        if self._queued_bytes > self._max_bytes:
            self._full = True
            self._on_full()
            return
        self._queue.put_nowait(frame)

    async def run(self) -> None:
        """Writes queued frames until cancelled or the stream fails."""
        while True:
            frames = [await self._queue.get()]
            while not self._queue.empty() and len(frames) < MAX_BATCH_FRAMES:
                frames.append(self._queue.get_nowait())
            await self._write(hosts_pb2.Batch(frames=frames))
            self._queued_bytes -= sum(len(frame.body) for frame in frames)
            for _ in frames:
                self._queue.task_done()

    async def flush(self) -> None:
        """Waits until all queued frames have been written."""
        await self._queue.join()
