"""An in-memory log with the faults of the platform's log."""

from __future__ import annotations

import asyncio
from typing import Any

from returns import result

from mangotally import errors, ids
from mangotally.homes import configuration
from mangotally.log import base, follower
from mangotally.operators import publisher
from mangotally.util import clock

STREAM = "configuration"


class FakeLog:
    """Keeps one stream; appends fail as configured.

    Attributes:
        entries: The entries of the stream.
        oldest: Offset of the oldest entry that can be read.
        append_results: Results of the next appends: "succeeds", "answer lost"
            (the entry is stored, but the append fails) or "fails". Appends
            succeed if the list is empty.
        changed: Set when an entry is added.
    """

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.oldest = 0
        self.append_results: list[str] = []
        self.changed = asyncio.Event()

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends an entry, unless the next of `append_results` is "fails"."""
        del stream
        outcome = (
            self.append_results.pop(0) if self.append_results else "succeeds"
        )
        if outcome != "fails":
            self.entries.append(data)
            self.changed.set()
        if outcome != "succeeds":
            return errors.failed(errors.Reason.LOG_UNAVAILABLE, outcome)
        return result.Success(ids.Offset(len(self.entries) - 1))

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        """Reads to the end; waits for a new entry if there is none."""
        del stream
        if wait_ms and offset >= len(self.entries):
            self.changed.clear()
            try:
                async with asyncio.timeout(clock.to_seconds(wait_ms)):
                    await self.changed.wait()
            except TimeoutError:
                pass
        start = max(offset, self.oldest)
        entries = tuple(
            base.Entry(ids.Offset(number), self.entries[number])
            for number in range(start, len(self.entries))
        )
        return result.Success(
            base.Slice(
                entries, ids.Offset(self.oldest), ids.Offset(len(self.entries))
            )
        )


class ConfigurationHost:
    """The configuration, reader and publisher of one host over a log."""

    def __init__(self, log: FakeLog, time: clock.Clock) -> None:
        self.log = log
        self.live = configuration.LiveConfiguration()
        self.reader = follower.Follower(
            log,
            STREAM,
            self.live,
            time,
            self.live.mark_incomplete,
            can_skip=self.live.can_skip,
        )
        self.publisher = publisher.Publisher(
            log, STREAM, self.live, self.reader
        )

    async def __aenter__(self) -> ConfigurationHost:
        await self.reader.__aenter__()
        await self.reader.wait_caught_up()
        return self

    async def __aexit__(self, *exc: Any) -> None:
        await self.reader.__aexit__(*exc)
