"""Answers of the engine stand-in, stored so that they can be resumed."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Stream:
    """The events of one answer.

    Attributes:
        call: Id of the call.
        task: The task that generates the answer.
        readers: Number of connections that receive the answer.
        is_done: Whether the answer is complete.
    """

    def __init__(self, call: str) -> None:
        self.call = call
        self.task: asyncio.Task[None] | None = None
        self.readers = 0
        self.is_done = False
        self._events: list[bytes] = []
        self._changed = asyncio.Condition()

    async def add_text(self, text: str) -> None:
        """Adds an event with a piece of text."""
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        await self._add({"choices": [choice]})

    async def finish(self, prompt: int, cached: int, generated: int) -> None:
        """Adds an event with the usage and completes the answer."""
        usage = {
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        await self._add({"choices": [], "usage": usage})
        async with self._changed:
            self.is_done = True
            self._changed.notify_all()

    async def follow(self, after: int) -> AsyncIterator[tuple[int, bytes]]:
        """Yields the events after a number, with their numbers, to the end."""
        number = after
        while True:
            async with self._changed:
                while not self.is_done and len(self._events) <= number:
                    await self._changed.wait()
            while number < len(self._events):
                yield number + 1, self._events[number]
                number += 1
            if self.is_done:
                yield number + 1, b"data: [DONE]\n\n"
                return

    def stop(self) -> None:
        """Cancels the generation; readers keep waiting for the next event."""
        if self.task is not None:
            self.task.cancel()

    async def _add(self, chunk: dict[str, Any]) -> None:
        body = {"id": self.call, "object": "chat.completion.chunk", **chunk}
        number = len(self._events) + 1
        event = f"id: {number}\ndata: {json.dumps(body)}\n\n"
        async with self._changed:
            self._events.append(event.encode())
            self._changed.notify_all()
