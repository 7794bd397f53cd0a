"""Fakes of the interfaces that the homes use."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.engines import client
from mangotally.hosts import messages
from mangotally.log import base
from mangotally.policy import faults, orders, pools, records

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

Script = list[Any]


class FakeDirectory:
    """A directory with a single host, the home of all keys."""

    host = ids.HostId("h1")

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns a host's address."""
        return None

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a key."""
        return self.host


class FakePeers:
    """Grants the first target that is not excluded.

    Queued `failures` are returned first. All messages are kept in `sent`.
    """

    def __init__(self, targets: Sequence[str]) -> None:
        self.targets = [ids.TargetId(item) for item in targets]
        self.failures: list[errors.Failure] = []
        self.sent: list[Any] = []
        self.call_received = asyncio.Event()

    async def call(
        self, host: ids.HostId | None, message: Any, timeout_ms: float = 0
    ) -> errors.Outcome[Any]:
        """Answers a message."""
        self.sent.append(message)
        self.call_received.set()
        if not isinstance(message, messages.AcquireSlot):
            return result.Success(messages.Done())
        if self.failures:
            return result.Failure(self.failures.pop(0))
        free = [t for t in self.targets if t not in message.call.excluded]
        if not free:
            return errors.failed(errors.Reason.UNAVAILABLE, "No target.")
        return result.Success(
            messages.SlotGranted(free[0], f"http://{free[0]}")
        )

    def reports(self) -> list[messages.ReleaseSlot]:
        """Returns the slot reports that were sent."""
        return [m for m in self.sent if isinstance(m, messages.ReleaseSlot)]


class FakeEngine:
    """Plays one script for each chat or resume request to a target.

    The items of a script are texts, fault kinds, and True for a complete
    end of the answer.
    """

    def __init__(self, **scripts: list[Script]) -> None:
        self._scripts = collections.defaultdict(list, scripts)
        self.requests: list[tuple[str, str, int]] = []
        self.released: list[tuple[str, ids.ProgramId]] = []
        self.cancelled: list[tuple[str, ids.CallId]] = []
        self.holdings_by_address: dict[str, client.EngineInventory] = {}
        self.down_addresses: set[str] = set()

    async def chat(
        self, address: str, request: client.ChatRequest
    ) -> AsyncIterator[client.ChatEvent]:
        """Plays the next script of the target."""
        async for event in self._play("chat", address, 0):
            yield event

    async def resume(
        self, address: str, request: client.ChatRequest, after: int
    ) -> AsyncIterator[client.ChatEvent]:
        """Plays the next script of the target."""
        async for event in self._play("resume", address, after):
            yield event

    async def _play(
        self, operation: str, address: str, after: int
    ) -> AsyncIterator[client.ChatEvent]:
        target = address.removeprefix("http://")
        self.requests.append((operation, target, after))
        number = after
        for item in self._scripts[target].pop(0):
            if isinstance(item, faults.FaultKind):
                yield result.Failure(faults.Fault(item, item.value))
            elif item is True:
                yield result.Success(client.ChatEnd(5, 2, number))
            else:
                number += 1
                yield result.Success(client.ChatText(item, number))

    async def cancel(
        self, address: str, call: ids.CallId
    ) -> errors.Outcome[None]:
        """Records a cancellation."""
        return self._record(address, self.cancelled, call)

    async def release_prefixes(
        self, address: str, prefixes: Sequence[client.PrefixKey]
    ) -> errors.Outcome[None]:
        """Records a release."""
        outcome: errors.Outcome[None] = result.Success(None)
        for item in prefixes:
            outcome = self._record(address, self.released, item.program)
        return outcome

    async def fetch_load(
        self, address: str
    ) -> errors.Outcome[pools.LoadReport]:
        """Returns the load of an idle engine."""
        outcome: errors.Outcome[None] = self._record(address, [], None)
        return outcome.map(lambda _: pools.LoadReport(0, 0, 0, 1000, 0))

    async def fetch_inventory(
        self, address: str
    ) -> errors.Outcome[client.EngineInventory]:
        """Returns what the test put into `holdings_by_address`."""
        outcome: errors.Outcome[None] = self._record(address, [], None)
        found = self.holdings_by_address.get(
            address, client.EngineInventory((), ())
        )
        return outcome.map(lambda _: found)

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> errors.Outcome[tuple[pools.CacheEvent, ...]]:
        """Returns no events."""
        return result.Success(())

    async def fetch_state(
        self, address: str
    ) -> errors.Outcome[orders.EngineReport]:
        """Reports an engine that has received no orders."""
        return result.Success(orders.EngineReport(orders.EngineState(), -1))

    async def send_order(
        self, address: str, fencing: int, desired: orders.EngineState
    ) -> errors.Outcome[orders.EngineReport]:
        """Reports that the order was carried out."""
        return result.Success(orders.EngineReport(desired, fencing))

    def _record(
        self, address: str, recorded: list[Any], item: Any
    ) -> errors.Outcome[None]:
        if address in self.down_addresses:
            return errors.failed(errors.Reason.TARGET_FAILED, "down")
        recorded.append((address, item))
        return result.Success(None)


class FakeLog:
    """Keeps appended records; fails while it is down."""

    def __init__(self) -> None:
        self.is_down = False
        self.records: list[Any] = []
        self.appended = asyncio.Event()

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        """Appends records."""
        if self.is_down:
            return errors.failed(errors.Reason.LOG_UNAVAILABLE, "down")
        for item in records.registry.decode_batch(data):
            self.records.append(item.unwrap())
        self.appended.set()
        return result.Success(ids.Offset(len(self.records)))

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        """Returns an empty slice."""
        return result.Success(base.Slice((), offset, offset))
