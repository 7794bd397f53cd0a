"""Homes of hosts with unequal capacity, as hosts come and go."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import unittest
from typing import TYPE_CHECKING, cast
from unittest import mock

from mangotally import ids
from mangotally.entry import entry_pb2, homes, isolation
from mangotally.platform import groups, http, standin_store, store
from mangotally.policy import candidacy
from mangotally.util import background
from mangotally.util import clock as clock_lib
from tests import entry_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mangotally.entry import peers

PARTITIONS = 12
STRONG = 2.15
WEAK = 0.361
# The days' times take a quarter in the tests.
PACE = 4
SCALED = {
    groups: ("LIFETIME_MS", "JOIN_MS", "RETRY_MS", "OWNERS_MS", "OUTSIDE_MS"),
    isolation: ("PROBE_MS", "PROBE_TIMEOUT_MS"),
    candidacy: (
        "FIRST_WAIT_MS", "MAX_FIRST_WAIT_MS", "LEAVE_HOLD_MS",
        "LEAVE_SPREAD_MS", "JOIN_SPREAD_MS", "TRIAL_AFTER_MS",
        "TRIAL_SPREAD_MS", "TRIAL_MS", "TRIAL_PAUSE_MS", "ISOLATED_PAUSE_MS",
    ),
}  # fmt: skip


def _faster() -> contextlib.ExitStack:
    stack = contextlib.ExitStack()
    for module, names in SCALED.items():
        for name in names:
            value = getattr(module, name) / PACE
            scaled = type(getattr(module, name))(value)
            stack.enter_context(mock.patch.object(module, name, scaled))
    return stack


class _Links:
    """Reaches the hosts that run and are not cut off."""

    def __init__(self) -> None:
        self.reached: set[str] = set()

    async def report(
        self, address: str, _report: object, _timeout_ms: float
    ) -> entry_pb2.ReportReply | None:
        return entry_pb2.ReportReply() if address in self.reached else None


@dataclasses.dataclass
class _Host:
    member: groups.HomesMember
    tasks: background.Background
    address: str


class _Fleet:
    """Hosts that share a store."""

    def __init__(self) -> None:
        self.hosts: dict[str, _Host] = {}
        self.store = standin_store.StandInStore(PARTITIONS)
        self._links = _Links()
        self._clock = clock_lib.SystemClock()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> _Fleet:
        await self._stack.enter_async_context(self.store)
        address = self.store.url.removeprefix("http://")
        self._transport = await self._stack.enter_async_context(
            http.DirectTransport(address)
        )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for name in list(self.hosts):
            await self.kill(name)
        await self._stack.aclose()

    def start(self, name: str, capacity: float) -> None:
        """Starts a host."""
        address = f"{name}:1"
        this_host = homes.HostAddress(
            ids.HostId(name), address, ids.FailureDomainId("z"), capacity
        )
        client = store.Store(self._transport)
        member = groups.HomesMember(client, this_host, PARTITIONS, self._clock)
        reached = isolation.IsolationDetector(
            member, cast("peers.PeerClient", self._links)
        )
        member.use(reached)
        tasks = background.Background(member.run, reached.run)
        tasks.start()
        self.hosts[name] = _Host(member, tasks, address)
        self._links.reached.add(address)

    async def kill(self, name: str) -> None:
        """Ends a host that tells nobody."""
        host = self.hosts.pop(name)
        self._links.reached.discard(host.address)
        await host.tasks.stop()

    def owners(self) -> set[str]:
        """Returns the hosts that own a partition, as they see it."""
        return {name for name in self.hosts if self.keys_of(name)}

    def keys_of(self, name: str) -> dict[str, float]:
        """Returns which keys a host is home of, and since when."""
        member = self.hosts[name].member
        since = {key: member.owned_since_ms(key) for key in map(str, range(99))}
        return {key: at for key, at in since.items() if at is not None}

    def agree(self) -> bool:
        """Returns whether each host knows the home of each key."""
        return all(
            home is not None and key in self.keys_of(home.host)
            for host in self.hosts.values()
            for key in map(str, range(99))
            for home in [host.member.home_of(key)]
            if home is None or home.host in self.hosts
        )

    async def settle(self, wanted: set[str]) -> None:
        """Waits until some hosts, and no others, are homes."""
        await entry_fleet.wait_for(
            lambda: self.owners() == wanted and self.agree(), timeout_s=10.0
        )


def _strong() -> Iterator[str]:
    return (f"s{number}" for number in range(3))


def _weak() -> Iterator[str]:
    return (f"w{number}" for number in range(6))


class StrongHomesTest(unittest.IsolatedAsyncioTestCase):
    """Three strong hosts among six weak ones are the homes of all keys."""

    async def asyncSetUp(self) -> None:
        self.enterContext(_faster())
        self.fleet = await self.enterAsyncContext(_Fleet())

    async def _start(self) -> None:
        for name in _weak():
            self.fleet.start(name, WEAK)
        for name in _strong():
            self.fleet.start(name, STRONG)
        await self.fleet.settle(set(_strong()))

    async def test_weak_hosts_are_homes_of_no_keys(self) -> None:
        await self._start()
        for _ in range(50):
            await asyncio.sleep(0.02)
            self.assertEqual(self.fleet.owners(), set(_strong()))

    async def test_weak_hosts_take_over_when_all_strong_ones_die(self) -> None:
        await self._start()
        for name in _strong():
            await self.fleet.kill(name)
        await self.fleet.settle(set(_weak()))

    async def test_strong_hosts_take_over_when_they_come(self) -> None:
        for name in _weak():
            self.fleet.start(name, WEAK)
        await self.fleet.settle(set(_weak()))
        for name in _strong():
            self.fleet.start(name, STRONG)
        await self.fleet.settle(set(_strong()))

    async def test_a_weak_host_that_restarts_moves_no_key(self) -> None:
        await self._start()
        before = [self.fleet.keys_of(name) for name in _strong()]
        await self.fleet.kill("w0")
        self.fleet.start("w0", WEAK)
        await asyncio.sleep(1.0)
        after = [self.fleet.keys_of(name) for name in _strong()]
        self.assertEqual(before, after)

    async def test_a_host_that_is_no_home_hears_of_a_new_one(self) -> None:
        await self._start()
        await self.fleet.kill("s0")
        self.fleet.start("s9", STRONG)
        await self.fleet.settle({"s1", "s2", "s9"})

    async def test_hosts_of_equal_capacity_are_all_homes(self) -> None:
        for name in _weak():
            self.fleet.start(name, WEAK)
        await self.fleet.settle(set(_weak()))
