"""Tests of mangotally.homes.programs and mangotally.homes.sweeper."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from returns import result

from mangotally import errors, ids
from mangotally.homes import partitions, programs, sweeper
from mangotally.hosts import messages
from mangotally.policy import records
from mangotally.settings import host as host_settings
from tests import history_fakes as fakes

ORGANISATION = ids.OrganisationId("o1")
SERVICE = ids.ServiceId("s")
ROOT = ids.ProgramId("p1")
H1, H2 = ids.HostId("h1"), ids.HostId("h2")
HOUR_MS = 3_600_000


class Host:
    """A host that acts as the home of all partitions."""

    def __init__(
        self, log: fakes.FakeLog, turns: fakes.FakeTurns, name: ids.HostId = H1
    ) -> None:
        clock = fakes.LoopClock(asyncio.get_running_loop())
        self.members = fakes.FakeMembers(name, [name], clock)
        members: Any = self.members
        runner: Any = turns
        self.partitions = partitions.Partitions(1, log, members, clock)
        self.home = programs.ProgramHome(self.partitions, runner, clock)
        settings = host_settings.HostSettings(
            host_id=name,
            port=1024,
            place="porto",
            log=host_settings.LogSettings(url="", retention_ms=HOUR_MS),
            roster_url="",
            weights_url="",
        )
        self.sweeper = sweeper.Sweeper(
            settings, self.partitions, self.home, clock
        )

    async def open(
        self,
        name: ids.ProgramId = ROOT,
        parent: ids.ProgramId | None = None,
        tokens: int = 10_000,
        calls: int = 100,
        wall_ms: int = HOUR_MS,
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Opens a program."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        budget = records.Budget(tokens, calls, wall_ms)
        return await self.home.open(
            messages.OpenProgram(
                records.ProgramOpened(
                    ORGANISATION,
                    name,
                    parent,
                    SERVICE,
                    budget,
                    now_ms + wall_ms,
                )
            )
        )

    async def turn(
        self, number: int, name: ids.ProgramId = ROOT, text: str = "hi"
    ) -> errors.Outcome[Any]:
        """Runs a turn; returns its text and whether it was replayed."""
        message = messages.RunTurn(
            ORGANISATION,
            ids.KeyId("k"),
            name,
            number,
            SERVICE,
            (records.ChatMessage("user", text),),
            100,
            1.0,
            HOUR_MS,
        )
        pieces = []
        last: errors.Outcome[Any] = result.Success(None)
        async for event in self.home.run_turn(message):
            last = event
            if isinstance(event.value_or(None), messages.TurnText):
                pieces.append(event.unwrap().text)
        return last.map(lambda end: ("".join(pieces), end.replayed))

    async def describe(
        self, name: ids.ProgramId = ROOT
    ) -> messages.ProgramDescription:
        """Returns the state of a program."""
        outcome = await self.home.describe(
            messages.DescribeProgram(ORGANISATION, name)
        )
        return outcome.unwrap()

    async def sweep(self) -> None:
        """Sweeps the only partition."""
        outcome = await self.partitions.partition_for(ORGANISATION, ROOT)
        await self.sweeper.sweep(outcome.unwrap())


class HistoryTest(unittest.TestCase):
    """Order of turns, repeated requests, and changes of home."""

    def test_losing_home_never_acknowledges(self) -> None:
        """If two homes run the same turn, only one acknowledges its answer.

        Afterwards both replay the answer that was recorded in the log.
        """

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            one, two = Host(log, turns), Host(log, turns, H2)
            await one.open()
            outcomes = await asyncio.gather(one.turn(1), two.turn(1))
            ends = [isinstance(item, result.Success) for item in outcomes]
            self.assertEqual(sorted(ends), [False, True])
            lost = outcomes[ends.index(False)].failure()
            self.assertEqual(lost.ran, errors.Ran.RAN)
            for host in (one, two):
                again = await host.turn(1)
                self.assertEqual(again, result.Success(("1", True)))
                gap = await host.turn(3)
                self.assertEqual(gap.failure().reason, errors.Reason.TURN_GAP)

        fakes.run(work)

    def test_stale_home_reads_before_it_refuses(self) -> None:
        """A home reads the log before it refuses an unknown program or turn."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            one, two = Host(log, turns), Host(log, turns, H2)
            await two.open(ids.ProgramId("p2"))
            await one.open()
            await one.turn(1)
            self.assertEqual((await two.turn(2)).unwrap(), ("3", False))
            self.assertEqual((await one.turn(3)).unwrap(), ("5", False))
            self.assertEqual((await two.describe()).turns, 2)

        fakes.run(work)

    def test_done_turn_is_replayed_after_the_budget_is_used(self) -> None:
        """A stale home replays a completed turn though no budget is left."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            one, two = Host(log, turns), Host(log, turns, H2)
            await one.open(calls=1)
            turns.delay_ms = 50
            running = asyncio.create_task(one.turn(1))
            await asyncio.sleep(0.075)
            self.assertEqual((await two.describe()).used_calls, 1)
            await running
            self.assertEqual((await two.turn(1)).unwrap(), ("1", True))

        fakes.run(work)

    def test_done_turn_is_replayed_in_place_of_a_failure(self) -> None:
        """A stale home that gets no slot replays a completed turn."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            one, two = Host(log, turns), Host(log, turns, H2)
            await one.open()
            await two.describe()
            await one.turn(1)
            turns.slot_failure = errors.Failure(errors.Reason.UNAVAILABLE, "no")
            self.assertEqual((await two.turn(1)).unwrap(), ("1", True))

        fakes.run(work)

    def test_repeat_joins_and_next_turn_is_refused(self) -> None:
        """A repeated turn runs once; the next is refused until it is done."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            host = Host(fakes.FakeLog(), turns)
            await host.open(calls=1)
            first, again, early, other = await asyncio.gather(
                host.turn(1), host.turn(1), host.turn(2), host.turn(1, text="x")
            )
            self.assertEqual(first, again)
            self.assertEqual(first.unwrap(), ("1", False))
            self.assertEqual(early.failure().reason, errors.Reason.TURN_GAP)
            self.assertEqual(early.failure().ran, errors.Ran.NOT_RUN)
            self.assertEqual(other.failure().reason, errors.Reason.CONFLICT)
            self.assertEqual(len(turns.runs), 1)

        fakes.run(work)

    def test_repeat_joins_turn_that_holds_the_last_budget(self) -> None:
        """A repeat of the turn that reserved the last call needs no budget."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            turns.delay_ms = 50
            host = Host(fakes.FakeLog(), turns)
            await host.open(calls=1)
            running = asyncio.create_task(host.turn(1))
            await asyncio.sleep(0.075)
            self.assertEqual((await host.describe()).used_calls, 1)
            again = await host.turn(1)
            self.assertEqual(again, await running)
            self.assertEqual(again.unwrap(), ("1", False))

        fakes.run(work)

    def test_reservation_runs_concurrently_with_the_wait_for_a_slot(
        self,
    ) -> None:
        """A turn waits for the slower of the two, not for their sum."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            host = Host(log, turns)
            await host.open()
            log.delay_ms, turns.delay_ms = 50, 100
            loop = asyncio.get_running_loop()
            before_s = loop.time()
            await host.turn(1)
            took_ms = round(1000 * (loop.time() - before_s))
            self.assertEqual(took_ms, 100 + 100 + 2 * 50)

        fakes.run(work)

    def test_failed_turn_ends_for_all_callers(self) -> None:
        """If a turn fails, all callers that joined it get the failure."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            host = Host(fakes.FakeLog(), turns)
            await host.open()
            turns.failure = errors.Failure(
                errors.Reason.TARGET_FAILED, "no", errors.Ran.MAY_HAVE_RUN
            )
            first, again = await asyncio.gather(host.turn(1), host.turn(1))
            self.assertEqual(first, again)
            turns.failure = None
            self.assertEqual((await host.turn(1)).unwrap(), ("1", False))

        fakes.run(work)


class BudgetTest(unittest.TestCase):
    """Budgets are reserved before and settled after each attempt.

    Each program is charged with its whole tree of sub-agents.
    """

    def test_concurrent_sub_agents_never_overspend(self) -> None:
        """All agents together stay within the root's budget."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            host = Host(fakes.FakeLog(), turns)
            await host.open(tokens=300, calls=12)
            names = [ids.ProgramId(f"p1.{number}") for number in range(8)]
            for number, name in enumerate(names):
                parent = ROOT if number < 4 else names[number - 4]
                await host.open(name, parent)
            outcomes = await asyncio.gather(
                *(host.turn(1, name) for name in names)
            )
            failures = [
                item.failure()
                for item in outcomes
                if isinstance(item, result.Failure)
            ]
            self.assertTrue(failures)
            for failure in failures:
                self.assertEqual(failure.reason, errors.Reason.OVER_BUDGET)
                self.assertEqual(failure.ran, errors.Ran.NOT_RUN)
            used = await host.describe()
            self.assertLessEqual(turns.spent_tokens, 300)
            self.assertEqual(used.used_tokens, turns.spent_tokens)
            self.assertEqual(used.used_calls, len(turns.runs))

        fakes.run(work)

    def test_loop_ends_with_a_refusal(self) -> None:
        """The last answer is limited to the remaining tokens, then 402."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            host = Host(fakes.FakeLog(), turns)
            await host.open(tokens=200)
            outcome: errors.Outcome[Any] = result.Success(None)
            number = 0
            while isinstance(outcome, result.Success):
                number += 1
                self.assertLess(number, 50)
                outcome = await host.turn(number)
            self.assertEqual(outcome.failure().status, 402)
            self.assertEqual(outcome.failure().ran, errors.Ran.NOT_RUN)
            self.assertGreater(number, 2)
            self.assertLessEqual(turns.spent_tokens, 200)

        fakes.run(work)

    def test_sub_agent_learns_that_the_budget_ended_its_tree(self) -> None:
        """The refusal is the same before and after the sweep."""

        async def work() -> None:
            host = Host(fakes.FakeLog(), fakes.FakeTurns())
            child = ids.ProgramId("p1.1")
            await host.open(calls=1)
            await host.open(child, ROOT)
            await host.turn(1, child)
            before = (await host.turn(2, child)).failure()
            await host.sweep()
            closed = (await host.describe(child)).closed
            self.assertEqual(closed, records.CloseReason.PARENT)
            after = (await host.turn(2, child)).failure()
            for refusal in (before, after):
                self.assertEqual(refusal.reason, errors.Reason.OVER_BUDGET)
                self.assertEqual(refusal.ran, errors.Ran.NOT_RUN)

        fakes.run(work)

    def test_attempt_of_a_crashed_home_stays_charged(self) -> None:
        """Its tokens may have been spent; only the rest can still be used."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            one, two = Host(log, turns), Host(log, turns, H2)
            await one.open(tokens=250)
            turns.delay_ms = 50
            task = asyncio.create_task(one.turn(1))
            await asyncio.sleep(0.075)
            self.assertEqual(len(turns.runs), 1)
            crashed, log.is_unavailable = one.partitions, True
            self.assertEqual(len(crashed.loaded()), 1)
            for item in asyncio.all_tasks() - {asyncio.current_task()}:
                item.cancel()
            await asyncio.gather(task, return_exceptions=True)
            log.is_unavailable = False
            self.assertEqual((await two.turn(1)).unwrap(), ("1", False))
            used = await two.describe()
            self.assertEqual(used.used_calls, 2)
            self.assertGreater(used.used_tokens, turns.spent_tokens)
            self.assertLessEqual(used.used_tokens, 250)

        fakes.run(work)

    def test_turn_without_a_slot_returns_its_budget(self) -> None:
        """A turn that did not run is not charged."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            host = Host(fakes.FakeLog(), turns)
            await host.open()
            turns.slot_failure = errors.Failure(errors.Reason.UNAVAILABLE, "no")
            refused = await host.turn(1)
            self.assertEqual(refused.failure().ran, errors.Ran.NOT_RUN)
            await asyncio.sleep(1)
            used = await host.describe()
            self.assertEqual((used.used_tokens, used.used_calls), (0, 0))

        fakes.run(work)


class EndTest(unittest.TestCase):
    """Ends of programs, and snapshots of programs that are still open."""

    def test_end_of_parent_ends_running_children(self) -> None:
        """Their turns are cancelled and their prefixes released."""

        async def work() -> None:
            turns = fakes.FakeTurns()
            turns.delay_ms = 1000
            host = Host(fakes.FakeLog(), turns)
            child = ids.ProgramId("p1.1")
            await host.open()
            await host.open(child, ROOT)
            running = asyncio.create_task(host.turn(1, child))
            await asyncio.sleep(1.5)
            await host.home.close(messages.CloseProgram(ORGANISATION, ROOT))
            failure = (await running).failure()
            self.assertEqual(failure.reason, errors.Reason.CANCELLED)
            self.assertEqual(failure.ran, errors.Ran.MAY_HAVE_RUN)
            self.assertEqual(turns.ended_programs, [ROOT, child])
            closed = (await host.describe(child)).closed
            self.assertEqual(closed, records.CloseReason.PARENT)
            late = await host.open(ids.ProgramId("p1.2"), ROOT)
            self.assertEqual(late.failure().reason, errors.Reason.CONFLICT)

        fakes.run(work)

    def test_sweep_closes_expired_and_exhausted_programs(self) -> None:
        """A new home repeats the release requests of the closed programs."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            host = Host(log, turns)
            spent = ids.ProgramId("p2")
            await host.open(wall_ms=5000)
            await host.open(spent, calls=1)
            await host.turn(1, spent)
            await host.sweep()
            self.assertEqual(turns.ended_programs, [spent])
            await asyncio.sleep(6)
            await host.sweep()
            self.assertEqual(turns.ended_programs, [spent, ROOT])
            refused = await host.turn(1)
            self.assertEqual(refused.failure().reason, errors.Reason.DEADLINE)
            after = Host(log, turns, H2)
            closed = (await after.describe()).closed
            self.assertEqual(closed, records.CloseReason.DEADLINE)
            await asyncio.sleep(1)
            self.assertEqual(sorted(turns.ended_programs[2:]), [ROOT, spent])
            await asyncio.sleep(2 * 3600)
            await after.sweep()
            self.assertEqual(after.home.dump()["programs"], 0)

        fakes.run(work)

    def test_live_program_outlives_the_log_retention(self) -> None:
        """Its snapshot and the records after it restore its exact state."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            host = Host(log, turns)
            await host.open(wall_ms=10 * HOUR_MS)
            await host.turn(1)
            old = len(log.streams["history-0"])
            await asyncio.sleep(0.6 * HOUR_MS / 1000)
            await host.sweep()
            log.age_out("history-0", old)
            await host.turn(2)
            before = await host.describe()
            after = Host(log, turns, H2)
            self.assertEqual((await after.turn(1)).unwrap(), ("1", True))
            self.assertEqual((await after.turn(2)).unwrap(), ("3", True))
            self.assertEqual(await after.describe(), before)

        fakes.run(work)

    def test_snapshot_does_not_depend_on_expired_records(self) -> None:
        """A stale home reads the log to its end before it takes snapshots."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            one, two = Host(log, turns), Host(log, turns, H2)
            await one.open(wall_ms=10 * HOUR_MS)
            await asyncio.sleep(60)
            await one.sweep()
            await two.open(ids.ProgramId("p2"))
            old = len(log.streams["history-0"])
            await asyncio.sleep(0.6 * HOUR_MS / 1000)
            await one.sweep()
            log.age_out("history-0", old)
            self.assertEqual((await Host(log, turns, H2).describe()).turns, 0)

        fakes.run(work)


class OutageTest(unittest.TestCase):
    """The log is unavailable at different steps of a turn."""

    def test_turn_is_refused_before_it_runs(self) -> None:
        """Nothing is sent to a target and nothing stays charged."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            host = Host(log, turns)
            await host.open()
            log.is_unavailable = True
            refused = await host.turn(1)
            self.assertEqual(
                refused.failure().reason, errors.Reason.LOG_UNAVAILABLE
            )
            self.assertEqual(refused.failure().ran, errors.Ran.NOT_RUN)
            self.assertIsNotNone(refused.failure().retry_after_ms)
            self.assertEqual(turns.runs, [])
            log.is_unavailable = False
            await asyncio.sleep(10)
            self.assertEqual((await host.describe()).used_calls, 0)
            self.assertEqual((await host.turn(1)).unwrap(), ("1", False))

        fakes.run(work)

    def test_deadline_holds_while_the_log_is_down(self) -> None:
        """The turn is cancelled; the end is recorded after the outage."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            turns.delay_ms = 60_000
            host = Host(log, turns)
            await host.open(wall_ms=90_000)
            running = asyncio.create_task(host.turn(1))
            await asyncio.sleep(61)
            self.assertEqual(len(turns.runs), 1)
            log.is_unavailable = True
            await asyncio.sleep(30)
            await host.sweep()
            self.assertTrue(running.done())
            failure = running.result().failure()
            self.assertEqual(failure.reason, errors.Reason.DEADLINE)
            self.assertEqual(failure.ran, errors.Ran.MAY_HAVE_RUN)
            closing = await host.home.close(
                messages.CloseProgram(ORGANISATION, ids.ProgramId("none"))
            )
            self.assertEqual(
                closing.failure().reason, errors.Reason.LOG_UNAVAILABLE
            )
            log.is_unavailable = False
            await asyncio.sleep(10)
            await host.sweep()
            closed = (await host.describe()).closed
            self.assertEqual(closed, records.CloseReason.DEADLINE)

        fakes.run(work)

    def test_answer_is_withheld_until_it_is_recorded(self) -> None:
        """If the turn is sent again after the outage, it does not run again."""

        async def work() -> None:
            log, turns = fakes.FakeLog(), fakes.FakeTurns()
            host = Host(log, turns)
            await host.open()
            turns.delay_ms = 50
            running = asyncio.create_task(host.turn(1))
            await asyncio.sleep(0.075)
            log.is_unavailable = True
            failure = (await running).failure()
            self.assertEqual(failure.reason, errors.Reason.LOG_UNAVAILABLE)
            self.assertEqual(failure.ran, errors.Ran.MAY_HAVE_RUN)
            log.is_unavailable = False
            await asyncio.sleep(10)
            self.assertEqual((await host.turn(1)).unwrap(), ("1", True))
            self.assertEqual(len(turns.runs), 1)

        fakes.run(work)
