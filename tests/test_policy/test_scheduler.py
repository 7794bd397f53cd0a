"""Tests of the scheduler against a simple oracle."""

from __future__ import annotations

import collections
import unittest

import hypothesis.strategies as st
from hypothesis import stateful

from mangotally import ids
from mangotally.policy import pools, prefixes, scheduler
from tests import stateful as stateful_settings

SLOTS = 3
NAMES = [ids.TargetId(f"t{number}") for number in range(4)]
PROGRAMS = [ids.ProgramId(f"p{number}") for number in range(6)]
FAR_MS = 1e12
STEP_MS = 600_000.0


def make_info(
    name: ids.TargetId, state: pools.TargetState = pools.TargetState.LIVE
) -> pools.TargetInfo:
    """Returns a target."""
    return pools.TargetInfo(
        name, name, ids.FailureDomainId("braga"), state, SLOTS
    )


def make_call(
    number: int,
    program: ids.ProgramId = PROGRAMS[0],
    organisation: str = "a",
    prompt_tokens: int = 100,
    attained_tokens: int = 0,
    deadline_ms: float = FAR_MS,
    excluded: tuple[ids.TargetId, ...] = (),
) -> pools.PoolCall:
    """Returns a call."""
    return pools.PoolCall(
        call=ids.CallId(f"c{number}"),
        organisation=ids.OrganisationId(organisation),
        program=program,
        turn=1,
        prompt_tokens=prompt_tokens,
        max_tokens=100,
        attained_tokens=attained_tokens,
        share=3.0 if organisation == "c" else 1.0,
        deadline_ms=deadline_ms,
        digest="",
        excluded=excluded,
    )


def done(call: ids.CallId) -> pools.CallReport:
    """Returns the report of a call that ended well."""
    return pools.CallReport(call, pools.CallEnd.DONE, 0, 50, 10.0)


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Any events; the oracle knows what waits, runs and is held."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.count = 0
        self.scheduler = scheduler.FairScheduler()
        self.states: dict[ids.TargetId, pools.TargetState] = {}
        self.waiting: dict[ids.CallId, pools.PoolCall] = {}
        self.inside: dict[ids.CallId, ids.TargetId] = {}
        self.calls: dict[ids.CallId, pools.PoolCall] = {}
        self.used: set[tuple[ids.TargetId, ids.ProgramId]] = set()
        self.gone: set[tuple[ids.TargetId, ids.ProgramId]] = set()
        self.set_targets(list(NAMES), [])

    @stateful.rule(
        listed=st.lists(st.sampled_from(NAMES), unique=True),
        leaving=st.lists(st.sampled_from(NAMES), unique=True, max_size=2),
    )
    def set_targets(
        self, listed: list[ids.TargetId], leaving: list[ids.TargetId]
    ) -> None:
        """The host list changes."""
        states = pools.TargetState
        self.states = {
            name: states.LEAVING if name in leaving else states.LIVE
            for name in listed
        }
        infos = [make_info(name, state) for name, state in self.states.items()]
        self.scheduler.set_targets(infos, self.now_ms)
        self.advance()

    @stateful.rule(
        program=st.sampled_from(PROGRAMS),
        organisation=st.sampled_from("abc"),
        tokens=st.integers(0, 50_000),
        time_ms=st.sampled_from([5_000.0, FAR_MS]),
        excluded=st.lists(st.sampled_from(NAMES), unique=True, max_size=2),
    )
    def submit(
        self,
        program: ids.ProgramId,
        organisation: str,
        tokens: int,
        time_ms: float,
        excluded: list[ids.TargetId],
    ) -> None:
        """A call arrives."""
        self.count += 1
        call = make_call(
            self.count,
            program,
            organisation,
            tokens,
            tokens,
            self.now_ms + time_ms,
            tuple(excluded),
        )
        self.gone = {item for item in self.gone if item[1] != program}
        self.waiting[call.call] = call
        self.calls[call.call] = call
        self.scheduler.submit(call, self.now_ms)
        self.advance()

    @stateful.precondition(lambda self: self.inside)
    @stateful.rule(data=st.data(), end=st.sampled_from(list(pools.CallEnd)))
    def finish(self, data: st.DataObject, end: pools.CallEnd) -> None:
        """A running call ends."""
        call = data.draw(st.sampled_from(sorted(self.inside)))
        del self.inside[call]
        self.scheduler.finish(pools.CallReport(call, end, 0, 9), self.now_ms)
        self.advance()

    @stateful.precondition(lambda self: self.inside or self.waiting)
    @stateful.rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """A call is taken back."""
        call = data.draw(st.sampled_from(sorted([*self.inside, *self.waiting])))
        self.inside.pop(call, None)
        self.waiting.pop(call, None)
        self.scheduler.cancel(call, self.now_ms)
        self.advance()

    @stateful.rule(program=st.sampled_from(PROGRAMS))
    def end_program(self, program: ids.ProgramId) -> None:
        """A program is gone; its callers take their calls back first."""
        own = [c for c, call in self.calls.items() if call.program == program]
        for call in own:
            if call in self.inside or call in self.waiting:
                self.inside.pop(call, None)
                self.waiting.pop(call, None)
                self.scheduler.cancel(call, self.now_ms)
        self.gone |= {item for item in self.used if item[1] == program}
        self.used -= self.gone
        self.scheduler.end_program(program, self.now_ms)
        self.advance()

    @stateful.precondition(lambda self: self.gone)
    @stateful.rule(data=st.data())
    def confirm(self, data: st.DataObject) -> None:
        """A target confirms a release."""
        item = data.draw(st.sampled_from(sorted(self.gone)))
        self.gone.discard(item)
        self.scheduler.confirm_release(*item, self.now_ms)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        running=st.integers(0, 2 * SLOTS),
        age_ms=st.integers(0, 5000),
    )
    def report_load(
        self, name: ids.TargetId, running: int, age_ms: int
    ) -> None:
        """A load report arrives, right or wrong."""
        report = pools.LoadReport(running, 0, 0, 60_000, age_ms)
        self.scheduler.observe_load(name, report, self.now_ms)
        self.advance()

    @stateful.rule(
        name=st.sampled_from(NAMES),
        program=st.sampled_from(PROGRAMS),
        kind=st.sampled_from(list(pools.CacheEventKind)),
    )
    def report_cache(
        self,
        name: ids.TargetId,
        program: ids.ProgramId,
        kind: pools.CacheEventKind,
    ) -> None:
        """A cache event arrives, perhaps an old one."""
        event = pools.CacheEvent(1, kind, program, 500)
        self.scheduler.observe_cache(name, [event], self.now_ms)
        self.advance()

    @stateful.rule(by_ms=st.sampled_from([1.0, 300.0, 20_000.0]))
    def tick(self, by_ms: float) -> None:
        """Time passes."""
        self.now_ms += by_ms
        self.advance()

    def advance(self) -> set[tuple[ids.TargetId, ids.ProgramId]]:
        """Checks each action; returns the releases."""
        released = set()
        for action in self.scheduler.advance(self.now_ms):
            match action:
                case pools.Dispatch():
                    self.check_dispatch(action)
                case pools.Refuse():
                    call = self.waiting.pop(action.call)
                    over = call.deadline_ms <= self.now_ms
                    live = [
                        name
                        for name, state in self.states.items()
                        if state is pools.TargetState.LIVE
                    ]
                    assert over or set(live) <= set(call.excluded)
                case pools.Release():
                    assert action.target in self.states
                    released.add((action.target, action.program))
        return released

    def check_dispatch(self, action: pools.Dispatch) -> None:
        """Checks that a call may run where it is sent."""
        call = self.waiting.pop(action.call)
        assert call.deadline_ms > self.now_ms
        assert action.target not in call.excluded
        assert self.states[action.target] is pools.TargetState.LIVE
        self.inside[action.call] = action.target
        self.used.add((action.target, call.program))
        load = collections.Counter(self.inside.values())
        assert load[action.target] <= SLOTS

    def teardown(self) -> None:
        """Checks that all calls end and all prefixes are released."""
        self.set_targets(list(NAMES), [])
        for _ in range(len(self.calls) + 2):
            for name in NAMES:
                ours = sum(item == name for item in self.inside.values())
                report = pools.LoadReport(ours, 0, 0, 60_000, 0)
                self.scheduler.observe_load(name, report, self.now_ms)
            self.advance()
            for call in list(self.inside):
                del self.inside[call]
                self.scheduler.finish(done(call), self.now_ms)
            self.now_ms += STEP_MS
        self.advance()
        assert not self.waiting, "a call was lost"
        assert not self.inside
        for program in PROGRAMS:
            self.end_program(program)
        self.now_ms += prefixes.RELEASE_RETRY_MS
        assert self.gone <= self.advance(), "a prefix is not released"


MACHINES = [SchedulerMachine]


SchedulerTest = SchedulerMachine.TestCase
SchedulerTest.settings = stateful_settings.CI_SETTINGS


class OrderTest(unittest.TestCase):
    """Order within and between organisations."""

    def setUp(self) -> None:
        self.scheduler = scheduler.FairScheduler()
        self.scheduler.set_targets([make_info(NAMES[0])], 0.0)

    def run_one(self, now_ms: float) -> list[ids.CallId]:
        """Returns what is dispatched now."""
        return [
            action.call
            for action in self.scheduler.advance(now_ms)
            if isinstance(action, pools.Dispatch)
        ]

    def serve(self, calls: list[pools.PoolCall]) -> list[pools.PoolCall]:
        """Queues calls behind a full target; returns their order."""
        fill = [
            make_call(1000 + n, ids.ProgramId(f"f{n}"), "z")
            for n in range(SLOTS)
        ]
        for call in fill:
            self.scheduler.submit(call, 0.0)
        running = self.run_one(0.0)
        for call in calls:
            self.scheduler.submit(call, 0.0)
        by_id = {call.call: call for call in calls}
        order: list[pools.PoolCall] = []
        while running:
            self.scheduler.finish(done(running.pop(0)), 0.0)
            sent = self.run_one(0.0)
            running += sent
            order += [by_id[call] for call in sent]
        return order

    def test_least_attained_first(self) -> None:
        """Within an organisation the least served program goes first."""
        attained = [900, 100, 500, 0, 700]
        calls = [
            make_call(n, ids.ProgramId(f"q{n}"), attained_tokens=tokens)
            for n, tokens in enumerate(attained)
        ]
        order = [call.attained_tokens for call in self.serve(calls)]
        self.assertEqual(order, sorted(attained))

    def test_backlogged_organisations_get_their_shares(self) -> None:
        """A backlogged organisation is never behind by more than one call."""
        calls = [
            make_call(n, ids.ProgramId(f"q{n}"), "ac"[n % 2]) for n in range(80)
        ]
        order = [call.organisation for call in self.serve(calls)]
        for count in range(1, 41):
            served = collections.Counter(order[:count])
            lag = abs(
                served[ids.OrganisationId("c")] / 3.0
                - served[ids.OrganisationId("a")]
            )
            self.assertLessEqual(lag, 1.0 + 1.0 / 3.0, order[:count])

    def test_flood_does_not_delay_another_organisation(self) -> None:
        """One call goes before the flood of another organisation."""
        flood = [make_call(n, ids.ProgramId(f"q{n}"), "a") for n in range(50)]
        order = self.serve([*flood, make_call(99, PROGRAMS[1], "b")])
        place = [call.call for call in order].index(ids.CallId("c99"))
        self.assertLessEqual(place, 1)

    def test_no_starvation_by_new_programs(self) -> None:
        """A much served program waits for no program that began much later."""
        attained = 20_000
        limit_ms = attained / scheduler.Tuning().age_tokens_per_ms
        old = make_call(0, PROGRAMS[1], attained_tokens=attained)
        born_ms = {old.call: 0.0}
        sent: list[ids.CallId] = []
        for number in range(SLOTS):
            first = make_call(500 + number, ids.ProgramId(f"f{number}"))
            born_ms[first.call] = 0.0
            self.scheduler.submit(first, 0.0)
        sent += self.run_one(0.0)
        self.scheduler.submit(old, 0.0)
        for number in range(1, 100):
            now_ms = number * 1000.0
            for call in (number, -number):
                born_ms[ids.CallId(f"c{call}")] = now_ms
                program = ids.ProgramId(f"q{call}")
                self.scheduler.submit(make_call(call, program), now_ms)
            if len(sent) >= SLOTS:
                self.scheduler.finish(done(sent[-SLOTS]), now_ms)
            sent += self.run_one(now_ms)
        self.assertIn(old.call, sent)
        before = sent[: sent.index(old.call)]
        self.assertLessEqual(max(born_ms[call] for call in before), limit_ms)


class PlacementTest(unittest.TestCase):
    """Where calls go."""

    def setUp(self) -> None:
        self.scheduler = scheduler.FairScheduler()
        self.scheduler.set_targets([make_info(name) for name in NAMES], 0.0)

    def dispatch(self, call: pools.PoolCall, now_ms: float) -> ids.TargetId:
        """Submits a call and returns where it goes at once."""
        self.scheduler.submit(call, now_ms)
        actions = self.scheduler.advance(now_ms)
        found = [a for a in actions if isinstance(a, pools.Dispatch)]
        self.assertEqual([action.call for action in found], [call.call])
        return found[0].target

    def test_full_target_hides_no_free_one(self) -> None:
        """A call goes to a free target, however many programs pause there."""
        full, free = NAMES[:2]
        pool = scheduler.FairScheduler()
        pool.set_targets([make_info(full), make_info(free)], 0.0)
        for number in range(8):
            program = ids.ProgramId(f"paused{number}")
            call = make_call(number, program, excluded=(full,))
            pool.submit(call, 0.0)
            pool.advance(0.0)
            pool.finish(done(call.call), 0.0)
        for number in range(8, 8 + SLOTS):
            program = ids.ProgramId(f"running{number}")
            pool.submit(make_call(number, program, excluded=(free,)), 0.0)
        pool.advance(0.0)
        pool.submit(make_call(100, ids.ProgramId("new"), "b"), 0.0)
        sent = [a for a in pool.advance(0.0) if isinstance(a, pools.Dispatch)]
        self.assertEqual([item.target for item in sent], [free])

    def test_program_returns_to_its_prefix(self) -> None:
        """A long prefix is worth a busier target."""
        first = make_call(1, PROGRAMS[1], prompt_tokens=20_000)
        target = self.dispatch(first, 0.0)
        self.scheduler.finish(done(first.call), 0.0)
        for number in range(2, 2 + 2 * len(NAMES)):
            self.dispatch(make_call(number, ids.ProgramId(f"q{number}")), 1.0)
        again = make_call(50, PROGRAMS[1], prompt_tokens=20_100)
        self.assertEqual(self.dispatch(again, 2.0), target)

    def test_lost_prefix_is_forgotten(self) -> None:
        """After a crash of a call its target counts as cold."""
        first = make_call(1, PROGRAMS[1], prompt_tokens=20_000)
        target = self.dispatch(first, 0.0)
        crashed = pools.CallReport(first.call, pools.CallEnd.CRASHED)
        self.scheduler.finish(crashed, 0.0)
        self.dispatch(make_call(2, PROGRAMS[2]), 0.0)
        again = make_call(3, PROGRAMS[1], excluded=(target,))
        self.assertNotEqual(self.dispatch(again, 0.0), target)

    def test_returning_target_keeps_its_calls(self) -> None:
        """Calls still inside count when a target is listed again."""
        for number in range(SLOTS):
            call = make_call(number, ids.ProgramId(f"q{number}"))
            self.scheduler.set_targets([make_info(NAMES[0])], 0.0)
            self.dispatch(call, 0.0)
        self.scheduler.set_targets([], 0.0)
        self.scheduler.finish(done(ids.CallId("c0")), 0.0)
        self.scheduler.set_targets([make_info(NAMES[0])], 0.0)
        self.dispatch(make_call(10, ids.ProgramId("q10")), 0.0)
        self.scheduler.submit(make_call(11, ids.ProgramId("q11")), 0.0)
        self.assertEqual(self.scheduler.advance(0.0), [])

    def test_excluded_everywhere_is_refused(self) -> None:
        """A call that excludes every live target is refused."""
        call = make_call(1, excluded=tuple(NAMES))
        self.scheduler.submit(call, 0.0)
        actions = self.scheduler.advance(0.0)
        self.assertEqual(len(actions), 1)
        self.assertIsInstance(actions[0], pools.Refuse)

    def test_own_calls_in_a_report_count_once(self) -> None:
        """Own calls in a report are not taken for those of others."""
        for number in range(2 * len(NAMES)):
            call = make_call(number, ids.ProgramId(f"q{number}"))
            self.dispatch(call, 1000.0)
        for name in NAMES:
            report = pools.LoadReport(2, 0, 0, 60_000, age_ms=50.0)
            self.scheduler.observe_load(name, report, 1100.0)
        call = make_call(90, ids.ProgramId("q90"))
        self.dispatch(call, 1200.0)
