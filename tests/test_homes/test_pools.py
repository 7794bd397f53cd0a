"""Tests of mangotally.homes.pool and mangotally.homes.quarantine."""

from __future__ import annotations

import asyncio
import unittest

from returns import result

from mangotally import errors, ids
from mangotally.homes import pool as pool_lib
from mangotally.homes import quarantine as live_quarantine
from mangotally.hosts import messages
from mangotally.policy import faults, pools, scheduler
from mangotally.util import clock as clock_lib
from tests.test_homes import fakes

K = faults.FaultKind
SERVICE = ids.ServiceId("assistente")


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """A pool of three targets with one slot each."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.log = fakes.FakeLog()
        self.quarantine = live_quarantine.LiveQuarantine(
            self.log, 60_000, self.clock
        )
        await self.enterAsyncContext(self.quarantine)
        self.pool = pool_lib.Pool(
            SERVICE,
            scheduler.FairScheduler(),
            self.quarantine,
            self.clock,
            lambda: 0.5,
        )
        self._set_targets("t1", "t2", "t3")

    def _set_targets(self, *names: str) -> None:
        self.pool.set_targets(
            [
                pools.TargetInfo(
                    ids.TargetId(name),
                    f"http://{name}",
                    ids.FailureDomainId("porto"),
                    pools.TargetState.LIVE,
                    1,
                )
                for name in names
            ]
        )

    def _acquire(
        self, call: str, digest: str | None = None
    ) -> asyncio.Task[errors.Outcome[messages.SlotGranted]]:
        pool_call = pools.PoolCall(
            ids.CallId(call),
            ids.OrganisationId("escola"),
            ids.ProgramId(f"p-{call}"),
            1,
            10,
            10,
            0,
            1.0,
            60_000,
            digest or call,
        )
        return asyncio.create_task(
            self.pool.acquire(pool_call, ids.HostId("h1"))
        )

    async def _granted(self, call: str, digest: str | None = None) -> str:
        return str((await self._acquire(call, digest)).unwrap().target)

    def _finish(
        self, call: str, digest: str, kind: K | None = None, target: str = ""
    ) -> None:
        fault = faults.Fault(kind, "") if kind else None
        end = fault.end if fault else pools.CallEnd.DONE
        self.pool.finish(
            messages.ReleaseSlot(
                SERVICE,
                pools.CallReport(ids.CallId(call), end),
                ids.TargetId(target) if target else None,
                digest,
                fault,
            )
        )

    async def test_moved_home_sends_waiting_calls_on(self) -> None:
        """Calls that wait for a slot fail with MOVED when the home moves."""
        for number in range(3):
            await self._granted(f"c{number}")
        waiting = self._acquire("c9")
        await asyncio.sleep(0)
        self.pool.close()
        outcome = await waiting
        self.assertIs(outcome.failure().reason, errors.Reason.MOVED)
        self.assertIs(outcome.failure().ran, errors.Ran.NOT_RUN)

    async def test_abandoned_call_frees_its_slot(self) -> None:
        """If the grant was lost, the report of the call frees the slot."""
        for number in range(3):
            await self._granted(f"c{number}")
        waiting = self._acquire("c9")
        self.pool.finish(
            messages.ReleaseSlot(
                SERVICE,
                pools.CallReport(ids.CallId("c0"), pools.CallEnd.CANCELLED),
            )
        )
        self.assertIsInstance(await waiting, result.Success)
        self.assertEqual(len(self.pool.pending_cancels), 1)

    async def test_suspect_waits_for_the_log(self) -> None:
        """A suspect is not sent to a target before its crash is logged."""
        first = await self._granted("c1", "poison")
        self.log.is_down = True
        self._finish("c1", "poison", K.CRASHED)
        again = self._acquire("c2", "poison")
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertFalse(again.done())
        self.log.is_down = False
        self.assertNotEqual((await again).unwrap().target, first)
        self.assertEqual(len(self.log.records), 1)

    async def test_second_crash_quarantines(self) -> None:
        """The third copy is refused; both targets may be probed at once."""
        for call in ("c1", "c2"):
            await self._granted(call, "poison")
            self._finish(call, "poison", K.CRASHED)
        outcome = await self._acquire("c3", "poison")
        self.assertIs(outcome.failure().reason, errors.Reason.QUARANTINED)
        self.assertIs(outcome.failure().ran, errors.Ran.NOT_RUN)
        probed = [
            self.pool.breaker(ids.TargetId(name)).begin_probe(0)
            for name in ("t1", "t2", "t3")
        ]
        self.assertEqual(probed.count(True), 2)

    async def test_innocent_suspect_is_cleared(self) -> None:
        """A complete answer clears a request that did not cause the crash."""
        await self._granted("c1", "innocent")
        self._finish("c1", "innocent", K.CRASHED)
        await self._granted("c2", "innocent")
        self._finish("c2", "innocent")
        self.assertEqual(self.quarantine.crashes("innocent"), [])

    async def test_target_is_removed_from_the_list(self) -> None:
        """Pending releases and cancels of a removed target are dropped."""
        target = await self._granted("c1")
        self.pool.end_program(ids.ProgramId("p-c1"))
        self._finish("c1", "c1", K.STALLED)
        self.assertTrue(
            self.pool.pending_releases and self.pool.pending_cancels
        )
        self._set_targets(*({"t1", "t2", "t3"} - {target}))
        self.assertEqual(list(self.pool.pending_releases), [])
        self.assertEqual(self.pool.pending_cancels, set())

    async def test_report_after_a_change_of_home(self) -> None:
        """A report of a call that an earlier home granted still counts."""
        self._finish("c1", "poison", K.CRASHED, "t1")
        self.assertEqual(len(self.quarantine.crashes("poison")), 1)
        breaker = self.pool.breaker(ids.TargetId("t1"))
        self.assertEqual(breaker.slots(1), 0)

    async def test_blocked_target_gets_no_call(self) -> None:
        """A target whose breaker is open gets no calls; others do."""
        for _ in range(3):
            target = await self._granted("c1")
            self._finish("c1", "c1", K.CONNECTION_REFUSED)
            self.assertIn(target, {"t1", "t2", "t3"})
        waiting = self._acquire("c2")
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.pool.close()
        await waiting
