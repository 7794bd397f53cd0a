"""Fakes for tests of histories: virtual time, in-memory log, targets."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.log import base
from mangotally.policy import lease, rendezvous
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

LOG_DELAY_MS = 1.0


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances the loop's virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise AssertionError(
                "all tasks are blocked and no timer is pending"
            )
        self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when all tasks are waiting."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns virtual time."""
        return self._virtual_selector.now_s


class LoopClock:
    """A clock that returns the virtual time of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Returns virtual time in milliseconds."""
        return self._loop.time() * clock_lib.MS_PER_S

    def wall_ms(self) -> int:
        """Returns virtual time in whole milliseconds."""
        return int(self.now_ms())


class FakeLog:
    """An in-memory log with injectable faults."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.oldest: dict[str, int] = {}
        self.is_unavailable = False
        self.lost_acknowledgements = 0
        self.delay_ms = LOG_DELAY_MS
        self.appends = 0
        self.times: list[float] = []

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends one record; see `base.Log.append`."""
        await asyncio.sleep(self.delay_ms / clock_lib.MS_PER_S)
        if self.is_unavailable:
            return _unavailable()
        entries = self.streams.setdefault(stream, [])
        entries.append(data)
        offset = self.oldest.get(stream, 0) + len(entries) - 1
        self.times.append(asyncio.get_running_loop().time())
        self.appends += 1
        await asyncio.sleep(self.delay_ms / clock_lib.MS_PER_S)
        if self.lost_acknowledgements > 0:
            self.lost_acknowledgements -= 1
            return _unavailable()
        return result.Success(ids.Offset(offset))

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        """Reads two entries at a time; see `base.Log.read`."""
        await asyncio.sleep(self.delay_ms / clock_lib.MS_PER_S)
        if self.is_unavailable:
            return _unavailable()
        entries = self.streams.setdefault(stream, [])
        oldest = self.oldest.get(stream, 0)
        start = max(offset, oldest)
        chunk = entries[start - oldest : start - oldest + 2]
        return result.Success(
            base.Slice(
                tuple(
                    base.Entry(ids.Offset(start + number), data)
                    for number, data in enumerate(chunk)
                ),
                ids.Offset(oldest),
                ids.Offset(oldest + len(entries)),
            )
        )

    def expire(self, stream: str, before_s: float) -> None:
        """Drops the entries appended before a time, in a one-stream log."""
        old = sum(time_s < before_s for time_s in self.times)
        del self.times[:old]
        self.age_out(stream, old)

    def age_out(self, stream: str, count: int) -> None:
        """Drops the oldest entries of a stream."""
        entries = self.streams.setdefault(stream, [])
        count = min(count, len(entries))
        del entries[:count]
        self.oldest[stream] = self.oldest.get(stream, 0) + count


class FakeMembers:
    """The membership view of one host, set by the test."""

    def __init__(
        self,
        host: ids.HostId,
        hosts: list[ids.HostId],
        clock: clock_lib.Clock,
    ) -> None:
        self.host = host
        self.hosts = hosts
        self.lease = lease.Lease(5000)
        self.lease.renew(1e12)
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers a listener for changes of the view."""
        self._listeners.append(listener)

    def set_hosts(self, hosts: list[ids.HostId]) -> None:
        """Sets the hosts of the view and notifies the listeners."""
        self.hosts = hosts
        for listener in self._listeners:
            listener()

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a key, the host that owns it."""
        return rendezvous.home(key, self.hosts)

    def is_home(self, key: str) -> bool:
        """Returns whether this host is the home of a key."""
        return self.home_of(key) == self.host


class FakeTurns:
    """A turn runner that records the turns it runs."""

    def __init__(self) -> None:
        self.runs: list[tuple[ids.ProgramId, int, int]] = []
        self.spent_tokens = 0
        self.ended_programs: list[ids.ProgramId] = []
        self.delay_ms = 5.0
        self.failure: errors.Failure | None = None
        self.slot_failure: errors.Failure | None = None

    async def generate(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        prompt: list[Any],
        _attained_tokens: int,
        permit: Callable[[], Awaitable[errors.Outcome[Any]]] | None = None,
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Generates the number of messages in the prompt as text."""
        await asyncio.sleep(self.delay_ms / clock_lib.MS_PER_S)
        if self.slot_failure is not None:
            yield result.Failure(self.slot_failure)
            return
        allowed = await permit() if permit is not None else None
        if isinstance(allowed, result.Failure):
            yield allowed
            return
        length = sum(len(item.content.encode()) for item in prompt)
        self.runs.append((program, message.turn, length))
        generated = min(8, message.max_tokens)
        self.spent_tokens += length + generated
        yield result.Success(messages.TurnText(f"{len(prompt)}"))
        await asyncio.sleep(self.delay_ms / clock_lib.MS_PER_S)
        if self.failure is not None:
            yield result.Failure(self.failure)
            return
        yield result.Success(
            messages.TurnEnd(
                length, 0, generated, ids.TargetId("t1"), replayed=False
            )
        )

    async def end_program(
        self, _service: ids.ServiceId, program: ids.ProgramId
    ) -> None:
        """Records that a program has ended."""
        self.ended_programs.append(program)


def run(function: Callable[[], Awaitable[Any]]) -> Any:
    """Runs a coroutine function to completion on a virtual loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(_call_and_cancel_tasks(function))
    finally:
        loop.close()


async def _call_and_cancel_tasks(function: Callable[[], Awaitable[Any]]) -> Any:
    try:
        return await function()
    finally:
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)


def _unavailable() -> errors.Outcome[Any]:
    return errors.failed(errors.Reason.LOG_UNAVAILABLE, "down")
