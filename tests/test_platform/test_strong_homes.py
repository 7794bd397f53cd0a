"""Homes in a group of unequal hosts, as hosts start and fail."""

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
# The tests divide all time constants by this factor.
SPEED_UP = 4
SCALED_CONSTANTS = {
    groups: (
        "SESSION_TIMEOUT_MS", "JOIN_INTERVAL_MS", "RETRY_MS",
        "OWNERS_MAX_AGE_MS", "NON_MEMBER_POLL_MS",
    ),
    isolation: ("PROBE_MS", "PROBE_TIMEOUT_MS"),
    candidacy: (
        "FIRST_JOIN_DELAY_MS", "MAX_FIRST_JOIN_DELAY_MS", "LEAVE_HOLD_MS",
        "LEAVE_JITTER_MS", "JOIN_JITTER_MS", "TRIAL_BACKOFF_MS",
        "TRIAL_JITTER_MS", "TRIAL_DURATION_MS", "TRIAL_PAUSE_MS",
        "ISOLATED_PAUSE_MS",
    ),
}  # fmt: skip


def _scale_times() -> contextlib.ExitStack:
    stack = contextlib.ExitStack()
    for module, names in SCALED_CONSTANTS.items():
        for name in names:
            value = getattr(module, name) / SPEED_UP
            scaled = type(getattr(module, name))(value)
            stack.enter_context(mock.patch.object(module, name, scaled))
    return stack


class _Links:
    """Links to the hosts that run and are reachable."""

    def __init__(self) -> None:
        self.reachable: set[str] = set()

    async def report(
        self, address: str, _report: object, _timeout_ms: float
    ) -> entry_pb2.ReportReply | None:
        return entry_pb2.ReportReply() if address in self.reachable else None


@dataclasses.dataclass
class _Host:
    member: groups.HomesMember
    tasks: background.BackgroundTasks
    address: str


class _Fleet:
    """Hosts that share one store."""

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
        detector = isolation.IsolationDetector(
            member, cast("peers.PeerClient", self._links)
        )
        member.set_isolation(detector)
        tasks = background.BackgroundTasks(member.run, detector.run)
        tasks.start()
        self.hosts[name] = _Host(member, tasks, address)
        self._links.reachable.add(address)

    async def kill(self, name: str) -> None:
        """Stops a host without letting it leave the group."""
        host = self.hosts.pop(name)
        self._links.reachable.discard(host.address)
        await host.tasks.stop()

    def owners(self) -> set[str]:
        """Returns the hosts that consider themselves the home of a key."""
        return {name for name in self.hosts if self.keys_of(name)}

    def keys_of(self, name: str) -> dict[str, float]:
        """Returns the keys that a host is the home of, and since when."""
        member = self.hosts[name].member
        since = {key: member.owned_since_ms(key) for key in map(str, range(99))}
        return {key: at for key, at in since.items() if at is not None}

    def is_consistent(self) -> bool:
        """Returns whether all hosts know the current home of each key."""
        return all(
            home is not None and key in self.keys_of(home.host)
            for host in self.hosts.values()
            for key in map(str, range(99))
            for home in [host.member.home_of(key)]
            if home is None or home.host in self.hosts
        )

    async def wait_for_owners(self, expected: set[str]) -> None:
        """Waits until exactly the expected hosts are homes."""
        await entry_fleet.wait_for(
            lambda: self.owners() == expected and self.is_consistent(),
            timeout_s=10.0,
        )


def _strong_hosts() -> Iterator[str]:
    return (f"s{number}" for number in range(3))


def _weak_hosts() -> Iterator[str]:
    return (f"w{number}" for number in range(6))


class StrongHomesTest(unittest.IsolatedAsyncioTestCase):
    """Three strong hosts among six weak ones are the homes of all keys."""

    async def asyncSetUp(self) -> None:
        self.enterContext(_scale_times())
        self.fleet = await self.enterAsyncContext(_Fleet())

    async def _start_hosts(self) -> None:
        for name in _weak_hosts():
            self.fleet.start(name, WEAK)
        for name in _strong_hosts():
            self.fleet.start(name, STRONG)
        await self.fleet.wait_for_owners(set(_strong_hosts()))

    async def test_weak_hosts_are_not_homes(self) -> None:
        await self._start_hosts()
        for _ in range(50):
            await asyncio.sleep(0.02)
            self.assertEqual(self.fleet.owners(), set(_strong_hosts()))

    async def test_weak_hosts_take_over_when_all_strong_ones_fail(self) -> None:
        await self._start_hosts()
        for name in _strong_hosts():
            await self.fleet.kill(name)
        await self.fleet.wait_for_owners(set(_weak_hosts()))

    async def test_strong_hosts_take_over_when_they_start(self) -> None:
        for name in _weak_hosts():
            self.fleet.start(name, WEAK)
        await self.fleet.wait_for_owners(set(_weak_hosts()))
        for name in _strong_hosts():
            self.fleet.start(name, STRONG)
        await self.fleet.wait_for_owners(set(_strong_hosts()))

    async def test_restart_of_a_weak_host_moves_no_key(self) -> None:
        await self._start_hosts()
        before = [self.fleet.keys_of(name) for name in _strong_hosts()]
        await self.fleet.kill("w0")
        self.fleet.start("w0", WEAK)
        await asyncio.sleep(1.0)
        after = [self.fleet.keys_of(name) for name in _strong_hosts()]
        self.assertEqual(before, after)

    async def test_hosts_outside_the_group_learn_of_a_new_home(self) -> None:
        await self._start_hosts()
        await self.fleet.kill("s0")
        self.fleet.start("s9", STRONG)
        await self.fleet.wait_for_owners({"s1", "s2", "s9"})

    async def test_hosts_of_equal_capacity_are_all_homes(self) -> None:
        for name in _weak_hosts():
            self.fleet.start(name, WEAK)
        await self.fleet.wait_for_owners(set(_weak_hosts()))
