"""Tests of targets that leave, are cold, or are in an evacuated domain."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import unittest
from typing import TYPE_CHECKING, Any

from tests import entry_fleet
from tests.entry_fleet import CHAT, DESK, LOOKUP, MODEL, PAY, QUERY

if TYPE_CHECKING:
    from mangotally.platform import standin_worker

DOMAINS = ("z1", "z2")
# All answers to earlier requests have been received by then.
LEARN_S = 0.3
LOAD_S = 0.8
# Hosts have followed a change of the homes by then.
HOMES_S = 1.5
PAUSE_S = 0.02
COLD_RATE_PER_S = 8.0
# What a cold target may get in a second without crashing.
COLD_ALLOWED = 1.5 * COLD_RATE_PER_S + 5


def _fleet(hosts: int = 3) -> entry_fleet.EntryFleet:
    """Returns a fleet with a target of each service in each domain.

    Its keys stay valid while the hosts are busy.
    """
    fleet = entry_fleet.EntryFleet(hosts=hosts)
    fleet.bounds = dataclasses.replace(fleet.bounds, withdrawn_key_ms=5000)
    for workers in (fleet.models, fleet.desks):
        for worker, domain in zip(workers, DOMAINS, strict=True):
            worker.domain = domain
    return fleet


async def _load(
    fleet: entry_fleet.EntryFleet, path: str, duration_s: float = LOAD_S
) -> list[int]:
    """Calls the hosts in turn; returns the statuses of the answers."""
    calls = []
    is_turn = path in (CHAT, QUERY)
    for number in range(int(duration_s / PAUSE_S)):
        host = number % len(fleet.hosts)
        call = (
            fleet.turn(path, host, Program_Id=f"p{number}")
            if is_turn
            else fleet.call(path, host)
        )
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(PAUSE_S)
    return [status for status, _, _ in await asyncio.gather(*calls)]


def _lose_homes(fleet: entry_fleet.EntryFleet) -> None:
    """Makes all hosts place requests without a home."""
    for host in fleet.hosts:
        member: Any = host._member
        member.home_of = lambda _key: None
        member.owned_since_ms = lambda _key: None


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """A target that says in its answers that it leaves gets no requests."""

    async def _check(
        self,
        fleet: entry_fleet.EntryFleet,
        workers: list[standin_worker.StandInWorker],
        path: str,
    ) -> None:
        """Checks that a leaving target is avoided and others serve."""
        leaving = workers[0]
        leaving.faults.leaving = "1"
        await _load(fleet, path, LEARN_S)
        leaving.executed.clear()
        statuses = await _load(fleet, path)
        self.assertEqual(leaving.executed, [])
        self.assertEqual(set(statuses), {200})

    async def test_plain_answers(self) -> None:
        async with _fleet() as fleet:
            await self._check(fleet, fleet.desks, LOOKUP)

    async def test_heads_of_streams(self) -> None:
        async with _fleet() as fleet:
            await self._check(fleet, fleet.models, QUERY)

    async def test_a_host_alone(self) -> None:
        async with _fleet(hosts=1) as fleet:
            await self._check(fleet, fleet.desks, PAY)

    async def test_rejections(self) -> None:
        async with _fleet() as fleet:
            leaving = fleet.desks[0]
            leaving.faults.shed = True
            leaving.faults.leaving = "1"
            await _load(fleet, LOOKUP, LEARN_S)
            leaving.faults.shed = False
            await _load(fleet, LOOKUP)
            self.assertEqual(leaving.executed, [])

    async def test_without_homes(self) -> None:
        """Each host keeps to what it has passed on itself."""
        async with _fleet() as fleet:
            _lose_homes(fleet)
            await self._check(fleet, fleet.desks, LOOKUP)

    async def test_without_the_store(self) -> None:
        async with _fleet() as fleet:
            leaving = fleet.desks[0]
            leaving.faults.leaving = "1"
            await _load(fleet, LOOKUP, LEARN_S)
            fleet.store.faults.refuse = True
            leaving.executed.clear()
            await _load(fleet, LOOKUP, 1.0)
            self.assertEqual(leaving.executed, [])

    async def test_a_restarted_host_learns_it_from_the_home(self) -> None:
        async with _fleet() as fleet:
            leaving = fleet.desks[0]
            leaving.faults.leaving = "1"
            await _load(fleet, LOOKUP, LEARN_S)
            await fleet.stop_host(2)
            restarted = await fleet.add_host("h2")
            await entry_fleet.wait_for(lambda: restarted.is_ready)
            # Until the others know its new address, nobody can tell it.
            await asyncio.sleep(HOMES_S)
            for host in (0, 1):
                await fleet.call(LOOKUP, host)
            leaving.executed.clear()
            statuses = [(await fleet.call(LOOKUP, 3))[0] for _ in range(10)]
            self.assertEqual(set(statuses), {200})
            self.assertEqual(leaving.executed, [])

    async def test_a_restarted_target_is_used_again(self) -> None:
        async with _fleet() as fleet:
            leaving, other = fleet.desks
            leaving.faults.leaving = "1"
            await _load(fleet, LOOKUP, LEARN_S)
            leaving.faults.leaving = ""
            other.faults.shed = True
            record = leaving.registration() | {"born": 2}
            fleet.store.put("keyed.servers", leaving.name, record)
            await asyncio.sleep(1.0)
            leaving.executed.clear()
            await _load(fleet, LOOKUP)
            self.assertTrue(leaving.executed)

    async def test_all_targets_leave(self) -> None:
        """Requests are refused at once, and truthfully."""
        async with _fleet() as fleet:
            for worker in fleet.desks:
                worker.faults.leaving = "1"
            await _load(fleet, LOOKUP, 2 * LEARN_S)
            for worker in fleet.desks:
                worker.executed.clear()
            status, _, headers = await fleet.call(PAY)
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
            self.assertEqual(fleet.runs(), [])

    async def test_a_stream_under_way_is_not_cut(self) -> None:
        async with _fleet(hosts=1) as fleet:
            for worker in fleet.models:
                worker.event_ms = 200.0
                worker.faults.leaving = "1"
            status, body, _ = await fleet.turn(QUERY)
            self.assertEqual(status, 200)
            self.assertEqual(body.count(b"data:"), 3)

    async def test_other_values_change_nothing(self) -> None:
        async with _fleet() as fleet:
            for worker, value in zip(fleet.desks, ("0", "soon"), strict=True):
                worker.faults.leaving = value
            statuses = await _load(fleet, LOOKUP)
            self.assertEqual(set(statuses), {200})


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """The targets of an evacuated failure domain get no requests."""

    async def _check(self, fleet: entry_fleet.EntryFleet) -> None:
        """Checks that the targets in the first domain get nothing."""
        for worker in (*fleet.models, *fleet.desks):
            worker.executed.clear()
        for path in (LOOKUP, QUERY):
            statuses = await _load(fleet, path)
            self.assertEqual(set(statuses), {200})
        for worker in (fleet.models[0], fleet.desks[0]):
            self.assertEqual(worker.executed, [])

    async def test_is_in_force_until_it_is_taken_back(self) -> None:
        async with _fleet() as fleet:
            fleet.store.put("keyed.op", "evacuate/z1", {})
            await asyncio.sleep(LEARN_S)
            await self._check(fleet)
            fleet.store.put("keyed.op", "evacuate/z1", None)
            await asyncio.sleep(LEARN_S)
            fleet.desks[1].faults.shed = True
            await _load(fleet, LOOKUP)
            self.assertTrue(fleet.desks[0].executed)

    async def test_is_known_after_a_restart_and_a_trim(self) -> None:
        async with _fleet(hosts=1) as fleet:
            fleet.store.put("keyed.op", "evacuate/z1", {})
            fleet.store.trim("keyed.op")
            await fleet.stop_host(0)
            fleet.hosts.clear()
            fleet.urls.clear()
            await fleet.add_host("h0")
            await fleet.wait_until_ready()
            await self._check(fleet)

    async def test_a_home_that_has_not_read_it(self) -> None:
        """Hosts keep away from targets that their home assigns."""
        async with _fleet() as fleet:
            for unaware in fleet.hosts[1:]:
                unaware._closures.evacuate("z1")  # type: ignore[arg-type]
            fleet.desks[0].executed.clear()
            for _ in range(10):
                for host in (1, 2):
                    status, _, _ = await fleet.call(LOOKUP, host)
                    self.assertEqual(status, 200)
            self.assertEqual(fleet.desks[0].executed, [])

    async def test_without_homes(self) -> None:
        async with _fleet() as fleet:
            fleet.store.put("keyed.op", "evacuate/z1", {})
            await asyncio.sleep(LEARN_S)
            _lose_homes(fleet)
            await self._check(fleet)

    async def test_all_domains(self) -> None:
        """Requests are refused at once."""
        async with _fleet() as fleet:
            for domain in DOMAINS:
                fleet.store.put("keyed.op", f"evacuate/{domain}", {})
            await asyncio.sleep(LEARN_S)
            status, _, headers = await fleet.call(PAY)
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
            self.assertEqual(fleet.desks[0].executed, [])

    async def test_bad_records_change_nothing(self) -> None:
        async with _fleet() as fleet:
            for key, value in (
                ("evacuate/z1", []),
                ("evacuate/z9", {}),
                ("evacuate/", {}),
            ):
                fleet.store.put("keyed.op", key, value)
            await asyncio.sleep(LEARN_S)
            fleet.desks[1].faults.shed = True
            await _load(fleet, LOOKUP)
            self.assertTrue(fleet.desks[0].executed)


class ColdTest(unittest.IsolatedAsyncioTestCase):
    """A cold target gets no more requests than it takes."""

    def _configuration(self, version: int) -> dict[str, Any]:
        cold = {"ColdStartS": 5.0, "ColdRateS": COLD_RATE_PER_S}
        base = entry_fleet.configuration(version)
        for service in base["Services"]:
            service.update(cold)
        return base

    async def _start_cold(self, fleet: entry_fleet.EntryFleet) -> None:
        """Makes all targets of the plain service cold."""
        fleet.store.put("keyed.op", "config", self._configuration(2))
        await asyncio.sleep(LEARN_S)
        for worker in fleet.desks:
            worker.cold_ms = 5000
            fleet.store.put("keyed.servers", worker.name, worker.registration())
        await asyncio.sleep(1.0)
        for worker in fleet.desks:
            worker.executed.clear()

    async def test_rate_holds_over_all_hosts(self) -> None:
        async with _fleet() as fleet:
            await self._start_cold(fleet)
            await _load(fleet, LOOKUP, 2.5)
            for worker in fleet.desks:
                at_ms = [each.at_ms for each in worker.executed]
                most = max(
                    sum(begin <= each < begin + 1000.0 for each in at_ms)
                    for begin in at_ms
                )
                self.assertLessEqual(most, COLD_ALLOWED)

    async def test_hosts_without_a_home_avoid_cold_targets(self) -> None:
        async with _fleet() as fleet:
            await self._start_cold(fleet)
            _lose_homes(fleet)
            statuses = await _load(fleet, LOOKUP, 0.5)
            self.assertEqual(set(statuses), {503})
            self.assertEqual(fleet.desks[0].executed, [])

    async def test_targets_are_cold_after_an_evacuation(self) -> None:
        async with _fleet(hosts=1) as fleet:
            fleet.store.put("keyed.op", "config", self._configuration(2))
            fleet.store.put("keyed.op", "evacuate/z1", {})
            await asyncio.sleep(LEARN_S)
            fleet.store.put("keyed.op", "evacuate/z1", None)
            await asyncio.sleep(LEARN_S)
            closures = fleet.hosts[0]._closures
            self.assertEqual(
                closures.cold_targets(),
                {fleet.models[0].name, fleet.desks[0].name},
            )


class NoColdStartTest(unittest.IsolatedAsyncioTestCase):
    """Bad values of the configuration limit nothing."""

    async def test_bad_rates(self) -> None:
        async with _fleet(hosts=1) as fleet:
            versions = itertools.count(2)
            for rate in (-1, 1e12, "many", None, 0):
                changed = entry_fleet.configuration(next(versions))
                for service in changed["Services"]:
                    service |= {"ColdStartS": 5.0, "ColdRateS": rate}
                fleet.store.put("keyed.op", "config", changed)
                await asyncio.sleep(LEARN_S)
                active = fleet.hosts[0]._configuration_cache.configuration
                assert active is not None
                self.assertEqual(active.version, changed["Version"])
                for name in (MODEL, DESK):
                    listed = active.services[name]  # type: ignore[index]
                    self.assertIsNone(listed.cold_start)
