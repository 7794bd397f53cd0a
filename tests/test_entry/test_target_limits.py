"""Tests of the limits that targets name in their answers."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import unittest
from typing import TYPE_CHECKING, Any

from tests import entry_fleet
from tests.entry_fleet import LOOKUP

if TYPE_CHECKING:
    from mangotally.platform import standin_worker

LIMIT_PER_S = 3.0
WINDOW_MS = 4000.0
# One and a half times the limit, and five requests.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000.0 + 5
LEARN_S = 0.5
PAUSE_S = 0.01
LOAD_S = 5.0


class _Load:
    """Calls the hosts in turn at a steady rate while entered."""

    def __init__(self, fleet: entry_fleet.EntryFleet) -> None:
        self._fleet = fleet
        self.statuses: list[int] = []
        self.retry_after_s: list[float] = []

    async def __aenter__(self) -> _Load:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                group.create_task(self._call(number % len(self._fleet.hosts)))
                await asyncio.sleep(PAUSE_S)

    async def _call(self, host: int) -> None:
        status, _, headers = await self._fleet.call(LOOKUP, host)
        self.statuses.append(status)
        if "Retry-After" in headers:
            self.retry_after_s.append(float(headers["Retry-After"]))


def _fleet(hosts: int = 2, desks: int = 2) -> entry_fleet.EntryFleet:
    """Returns a fleet whose keys stay valid while the hosts are busy."""
    fleet = entry_fleet.EntryFleet(hosts=hosts, desks=desks)
    fleet.bounds = dataclasses.replace(fleet.bounds, withdrawn_key_ms=5000)
    return fleet


def _most_in_window(worker: standin_worker.StandInWorker) -> int:
    at_ms = [each.at_ms for each in worker.executed]
    return max(
        sum(begin_ms <= each < begin_ms + WINDOW_MS for each in at_ms)
        for begin_ms in at_ms
    )


async def _run_limited(
    fleet: entry_fleet.EntryFleet, limited: standin_worker.StandInWorker
) -> _Load:
    """Runs load; forgets what happened before hosts could know the limit."""
    async with _Load(fleet) as load:
        limited.faults.limit = str(LIMIT_PER_S)
        await asyncio.sleep(LEARN_S)
        limited.executed.clear()
        load.statuses.clear()
        await asyncio.sleep(LOAD_S)
    return load


class LimitTest(unittest.IsolatedAsyncioTestCase):
    """A target gets no more requests than the limit that it names."""

    async def test_limit_holds_over_all_hosts(self) -> None:
        async with _fleet(hosts=3) as fleet:
            limited = fleet.desks[0]
            load = await _run_limited(fleet, limited)
            self.assertLessEqual(_most_in_window(limited), ALLOWED)
            self.assertEqual(set(load.statuses), {200})

    async def test_limit_is_used(self) -> None:
        async with _fleet(desks=1) as fleet:
            (limited,) = fleet.desks
            load = await _run_limited(fleet, limited)
            self.assertLessEqual(_most_in_window(limited), ALLOWED)
            self.assertGreaterEqual(
                len(limited.executed), 0.8 * LIMIT_PER_S * LOAD_S
            )
            self.assertEqual(set(load.statuses), {200, 503})
            self.assertTrue(load.retry_after_s)

    async def test_limit_ends_with_the_first_answer_without_it(self) -> None:
        async with _fleet(desks=1) as fleet:
            (limited,) = fleet.desks
            await _run_limited(fleet, limited)
            limited.faults.limit = ""
            async with _Load(fleet) as load:
                await asyncio.sleep(2.0)
                load.statuses.clear()
                await asyncio.sleep(1.0)
            self.assertEqual(set(load.statuses), {200})

    async def test_limit_holds_without_the_home(self) -> None:
        async with _fleet(hosts=3) as fleet:
            limited = fleet.desks[0]
            async with _Load(fleet):
                limited.faults.limit = str(LIMIT_PER_S)
                await asyncio.sleep(LEARN_S)
                for host in fleet.hosts:
                    _lose_homes(host._member)
                await asyncio.sleep(0.1)
                limited.executed.clear()
                await asyncio.sleep(LOAD_S)
            self.assertEqual(limited.executed, [])

    async def test_a_new_home_knows_the_limit(self) -> None:
        async with _fleet(hosts=3) as fleet:
            limited = fleet.desks[0]
            async with _Load(fleet):
                limited.faults.limit = str(LIMIT_PER_S)
                await asyncio.sleep(LEARN_S)
                limited.executed.clear()
                for host in fleet.hosts:
                    await host._member.leave()
                    await asyncio.sleep(1.0)
                    host._member._has_left = False
                await asyncio.sleep(LOAD_S)
            self.assertLessEqual(_most_in_window(limited), ALLOWED)


def _lose_homes(member: Any) -> None:
    """Makes a host place requests without a home."""
    member.home_of = lambda _key: None
    member.owned_since_ms = lambda _key: None
