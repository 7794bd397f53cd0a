"""Tests of mangotally.policy.dispatch."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import unittest

from mangotally import ids
from mangotally.policy import (
    dispatch,
    run_times,
    target_view,
    work_estimates,
)

HOST = ids.HostId("h1")
DOMAIN = ids.FailureDomainId("z1")
NO_DEADLINE_MS = 1e9


def _request(
    name: str,
    priority: int = 0,
    due_ms: float = NO_DEADLINE_MS,
    deadline_ms: float = NO_DEADLINE_MS,
    is_new: bool = False,
    excluded: tuple[str, ...] = (),
) -> dispatch.QueuedRequest:
    return dispatch.QueuedRequest(
        ids.Ticket(name),
        HOST,
        DOMAIN,
        priority,
        is_new,
        due_ms,
        deadline_ms,
        excluded=frozenset(ids.TargetId(each) for each in excluded),
    )


def _dispatcher(*slots: int) -> dispatch.Dispatcher:
    dispatcher = dispatch.Dispatcher()
    for number, count in enumerate(slots):
        name = ids.TargetId(f"t{number}")
        dispatcher.set_target(name, count, DOMAIN, True)
    return dispatcher


def _placed(results: list[dispatch.Placed | dispatch.Refused]) -> list[str]:
    return [
        each.ticket for each in results if isinstance(each, dispatch.Placed)
    ]


class DispatcherTest(unittest.TestCase):
    """Single dispatching decisions."""

    def test_gives_a_target_no_more_than_its_slots(self) -> None:
        dispatcher = _dispatcher(2, 1)
        for number in range(5):
            dispatcher.submit(_request(f"w{number}"), 0.0)
        self.assertEqual(len(_placed(dispatcher.advance(0.0))), 3)
        self.assertEqual((dispatcher.in_flight, dispatcher.waiting), (3, 2))

    def test_queue_order(self) -> None:
        dispatcher = _dispatcher(1)
        dispatcher.submit(_request("running"), 0.0)
        dispatcher.advance(0.0)
        dispatcher.submit(_request("low", priority=1), 1.0)
        dispatcher.submit(_request("new", is_new=True), 1.0)
        dispatcher.submit(_request("late", due_ms=0.5), 1.0)
        dispatcher.submit(_request("later", due_ms=200.0), 1.0)
        dispatcher.submit(_request("sooner", due_ms=100.0), 1.0)
        order: list[str] = []
        for number in range(5):
            done = ids.Ticket(order[-1] if order else "running")
            dispatcher.finish(
                dispatch.Finished(
                    done, ids.TargetId("t0"), dispatch.EndReason.DONE, 5.0
                ),
                2.0 + number,
            )
            order += _placed(dispatcher.advance(2.0 + number))
        self.assertEqual(order, ["sooner", "later", "new", "late", "low"])

    def test_refuses_at_once_what_cannot_be_in_time(self) -> None:
        dispatcher = _dispatcher(1)
        for number in range(10):
            dispatcher.submit(_request(f"w{number}", deadline_ms=1000.0), 0.0)
        results = dispatcher.advance(0.0)
        refused = [r for r in results if isinstance(r, dispatch.Refused)]
        self.assertTrue(refused)
        for each in refused:
            self.assertGreaterEqual(
                each.retry_after_ms, dispatch.MIN_RETRY_AFTER_MS
            )

    def test_refuses_without_targets(self) -> None:
        dispatcher = dispatch.Dispatcher()
        dispatcher.submit(_request("w"), 0.0)
        (refused,) = dispatcher.advance(0.0)
        assert isinstance(refused, dispatch.Refused)
        self.assertEqual(refused.reason, "no-target")

    def test_callers_return_one_after_another_without_targets(self) -> None:
        dispatcher = dispatch.Dispatcher()
        for number in range(3):
            dispatcher.submit(_request(f"w{number}"), 0.0)
        times_ms = [
            round(each.retry_after_ms)
            for each in dispatcher.advance(0.0)
            if isinstance(each, dispatch.Refused)
        ]
        run_ms = work_estimates.INITIAL_RUN_MS
        self.assertEqual(times_ms, [run_ms, 2 * run_ms, 3 * run_ms])

    def test_pauses_a_target_after_consecutive_faults(self) -> None:
        dispatcher = _dispatcher(4, 4)
        bad = ids.TargetId("t0")
        for number in range(2):
            ticket = ids.Ticket(f"f{number}")
            dispatcher.adopt(ticket, HOST, bad)
            dispatcher.finish(
                dispatch.Finished(ticket, bad, dispatch.EndReason.FAILED), 0.0
            )
        for number in range(8):
            dispatcher.submit(_request(f"w{number}"), 1.0)
        results = dispatcher.advance(1.0)
        targets = {r.target for r in results if isinstance(r, dispatch.Placed)}
        self.assertEqual(targets, {"t1"})
        results = dispatcher.advance(2.0 + target_view.BACKOFF_MS)
        self.assertEqual(len(_placed(results)), 1)

    def test_skips_excluded_targets(self) -> None:
        dispatcher = _dispatcher(1, 1)
        dispatcher.submit(_request("w", excluded=("t0",)), 0.0)
        (placed,) = dispatcher.advance(0.0)
        assert isinstance(placed, dispatch.Placed)
        self.assertEqual(placed.target, "t1")

    def test_drops_requests_that_their_host_no_longer_has(self) -> None:
        dispatcher = _dispatcher(1)
        dispatcher.submit(_request("w"), 0.0)
        dispatcher.advance(0.0)
        dispatcher.retain(HOST, frozenset())
        self.assertEqual(dispatcher.in_flight, 0)

    def test_refuses_at_once_if_all_targets_are_excluded(self) -> None:
        dispatcher = _dispatcher(1)
        dispatcher.submit(_request("w", excluded=("t0",)), 0.0)
        (refused,) = dispatcher.advance(0.0)
        assert isinstance(refused, dispatch.Refused)
        self.assertEqual(refused.reason, "no-target")


class TargetLimitTest(unittest.TestCase):
    """Targets that name limits in the middle of traffic."""

    SECONDS = 20

    def _targets_of_load(
        self, limits_per_s: dict[str, float], per_s: float
    ) -> dict[str, list[float]]:
        """Returns when each of four targets gets requests, which end at once.

        The limits are named at 0 ms.
        """
        dispatcher = _dispatcher(4, 4, 4, 4)
        for name, limit_per_s in limits_per_s.items():
            dispatcher.set_limit(ids.TargetId(name), limit_per_s, 0.0)
        assigned: dict[str, list[float]] = collections.defaultdict(list)
        for number in range(int(per_s * self.SECONDS)):
            now_ms = number * 1000.0 / per_s
            deadline_ms = now_ms + 3000.0
            dispatcher.submit(
                _request(f"w{number}", deadline_ms=deadline_ms), now_ms
            )
            for each in dispatcher.advance(now_ms):
                if not isinstance(each, dispatch.Placed):
                    assigned["refused"].append(now_ms)
                    continue
                assigned[each.target].append(now_ms)
                done = dispatch.Finished(
                    each.ticket, each.target, dispatch.EndReason.DONE, 50.0, 1.0
                )
                dispatcher.finish(done, now_ms)
        return assigned

    def _check_limit(self, at_ms: list[float], limit_per_s: float) -> None:
        for begin_ms in at_ms:
            in_window = sum(
                begin_ms <= each < begin_ms + 4000 for each in at_ms
            )
            self.assertLessEqual(in_window, 1.5 * limit_per_s * 4 + 5)

    def test_other_targets_take_what_limited_ones_can_not(self) -> None:
        limits_per_s = {"t0": 5.8, "t1": 3.2, "t2": 0.0}
        assigned = self._targets_of_load(limits_per_s, per_s=60.0)
        for name, limit_per_s in limits_per_s.items():
            self._check_limit(assigned[name], limit_per_s)
        self.assertEqual(assigned["refused"], [])

    def test_limits_are_used_under_overload(self) -> None:
        limits_per_s = {f"t{n}": 2.0 + n for n in range(4)}
        assigned = self._targets_of_load(limits_per_s, per_s=60.0)
        for name, limit_per_s in limits_per_s.items():
            self._check_limit(assigned[name], limit_per_s)
            self.assertGreaterEqual(
                len(assigned[name]), 0.9 * limit_per_s * self.SECONDS
            )

    def test_refuses_at_once_what_no_limit_allows_in_time(self) -> None:
        dispatcher = _dispatcher(4)
        dispatcher.set_limit(ids.TargetId("t0"), 0.25, 0.0)
        dispatcher.submit(_request("w", deadline_ms=3000.0), 0.0)
        (refused,) = dispatcher.advance(0.0)
        assert isinstance(refused, dispatch.Refused)
        self.assertEqual(refused.reason, "too-late")
        self.assertEqual(refused.retry_after_ms, 4000.0)

    def test_a_restarted_target_has_no_limit(self) -> None:
        dispatcher = _dispatcher(4)
        target = ids.TargetId("t0")
        dispatcher.set_limit(target, 0.25, 0.0)
        dispatcher.drop_target(target)
        dispatcher.set_target(target, 4, DOMAIN, True)
        dispatcher.submit(_request("w"), 0.0)
        self.assertEqual(_placed(dispatcher.advance(0.0)), ["w"])

    def test_requests_wait_for_a_limit(self) -> None:
        dispatcher = _dispatcher(4)
        dispatcher.set_limit(ids.TargetId("t0"), 10.0, 0.0)
        dispatcher.submit(_request("w"), 0.0)
        self.assertEqual(dispatcher.advance(0.0), [])
        self.assertEqual(_placed(dispatcher.advance(100.0)), ["w"])


class LoadTest(unittest.TestCase):
    """Simulates load on targets that run every request they get."""

    RUN_MS = 100.0
    SECONDS = 20

    def _simulate(
        self, per_s: float, slow: float, deadline_ms: float = 3000.0
    ) -> tuple[list[float], int]:
        """Returns the latencies of completed requests and the refusals.

        The first of four targets is `slow` times as slow as the others.
        """
        dispatcher = _dispatcher(4, 4, 4, 4)
        arrivals = [
            n * 1000.0 / per_s for n in range(int(per_s * self.SECONDS))
        ]
        started = {f"w{n}": at for n, at in enumerate(arrivals)}
        pending = [(at, 0, f"w{n}", "") for n, at in enumerate(arrivals)]
        heapq.heapify(pending)
        latencies: list[float] = []
        refused = 0
        while pending:
            now_ms, _, name, target = heapq.heappop(pending)
            if target:
                run_ms = self.RUN_MS * (slow if target == "t0" else 1.0)
                dispatcher.finish(
                    dispatch.Finished(
                        ids.Ticket(name),
                        ids.TargetId(target),
                        dispatch.EndReason.DONE,
                        run_ms,
                        1.0,
                    ),
                    now_ms,
                )
                latencies.append(now_ms - started[name])
            else:
                due_ms = now_ms + deadline_ms
                dispatcher.submit(
                    _request(name, due_ms=due_ms, deadline_ms=due_ms), now_ms
                )
            for each in dispatcher.advance(now_ms):
                if isinstance(each, dispatch.Refused):
                    refused += 1
                    continue
                run_ms = self.RUN_MS * (slow if each.target == "t0" else 1.0)
                heapq.heappush(
                    pending, (now_ms + run_ms, 1, each.ticket, each.target)
                )
        return sorted(latencies), refused

    def test_usual_load_does_not_wait(self) -> None:
        latencies, refused = self._simulate(per_s=100.0, slow=1.0)
        self.assertEqual(refused, 0)
        self.assertLessEqual(latencies[-1], 1.5 * self.RUN_MS)

    def test_a_slow_target_gets_fewer_requests(self) -> None:
        latencies, refused = self._simulate(per_s=90.0, slow=5.0)
        self.assertEqual(refused, 0)
        self.assertLessEqual(latencies[int(len(latencies) * 0.95)], 150.0)

    def test_overload_is_refused_and_the_rest_meets_its_deadline(self) -> None:
        latencies, refused = self._simulate(per_s=240.0, slow=1.0)
        self.assertGreater(refused, 0)
        self.assertLessEqual(latencies[-1], 3000.0)
        capacity = 16 / self.RUN_MS * 1000.0 * self.SECONDS
        self.assertGreaterEqual(len(latencies), 0.95 * capacity)


class ManyHostsTest(unittest.TestCase):
    """Simulates many hosts, each of which forwards few requests.

    Targets close connections that have been idle for some seconds.
    """

    HOSTS = 200
    TARGETS = 24
    SLOTS = 6
    PER_S = 280.0
    RUN_MS = 100.0
    IDLE_MS = 9000.0
    SECONDS = 40
    SLOW_TARGETS = ("t0", "t1")

    def setUp(self) -> None:
        self.random = random.Random(1)
        self.dispatcher = _dispatcher(*[self.SLOTS] * self.TARGETS)
        self.idle_since_ms: dict[tuple[ids.HostId, str], list[float]] = (
            collections.defaultdict(list)
        )
        self.new_connections = 0
        self.run_at: collections.Counter[str] = collections.Counter()

    def _simulate(self, slow: float = 1.0) -> int:
        """Runs the requests of `SECONDS`; returns how many there were."""
        count = int(self.PER_S * self.SECONDS)
        events: list[tuple[float, int, dispatch.Placed | None]] = [
            (n * 1000.0 / self.PER_S, n, None) for n in range(count)
        ]
        hosts: dict[str, ids.HostId] = {}
        heapq.heapify(events)
        while events:
            now_ms, number, ended = heapq.heappop(events)
            if ended is None:
                host = ids.HostId(f"h{self.random.randrange(self.HOSTS)}")
                hosts[f"w{number}"] = host
                self._submit(f"w{number}", host, now_ms)
            else:
                self._finish(ended, hosts[ended.ticket], now_ms, slow)
            for each in self.dispatcher.advance(now_ms):
                assert isinstance(each, dispatch.Placed)
                self._connect(hosts[each.ticket], each.target, now_ms)
                run_ms = self._run_ms(each, slow)
                heapq.heappush(events, (now_ms + run_ms, number, each))
        return count

    def _run_ms(self, placed: dispatch.Placed, slow: float) -> float:
        work = random.Random(placed.ticket).uniform(0.5, 1.5)
        factor = slow if placed.target in self.SLOW_TARGETS else 1.0
        return self.RUN_MS * work * factor

    def _submit(self, name: str, host: ids.HostId, now_ms: float) -> None:
        connected = frozenset(
            ids.TargetId(target)
            for (owner, target), idle in self.idle_since_ms.items()
            if owner == host and self._usable(idle, now_ms)
        )
        request = dataclasses.replace(
            _request(name), host=host, connected=connected
        )
        self.dispatcher.submit(request, now_ms)

    def _usable(self, idle_since_ms: list[float], now_ms: float) -> list[float]:
        return [at for at in idle_since_ms if now_ms - at < self.IDLE_MS]

    def _connect(self, host: ids.HostId, target: str, now_ms: float) -> None:
        idle = self._usable(self.idle_since_ms[host, target], now_ms)
        if idle:
            idle.pop()
        else:
            self.new_connections += 1
        self.idle_since_ms[host, target] = idle
        self.run_at[target] += 1

    def _finish(
        self,
        placed: dispatch.Placed,
        host: ids.HostId,
        now_ms: float,
        slow: float,
    ) -> None:
        finished = dispatch.Finished(
            placed.ticket,
            placed.target,
            dispatch.EndReason.DONE,
            self._run_ms(placed, slow),
            1.0,
        )
        self.dispatcher.finish(finished, now_ms)
        self.idle_since_ms[host, placed.target].append(now_ms)

    def test_hosts_return_to_targets_they_are_connected_to(self) -> None:
        """At most one new connection for 20 requests, after the first ones."""
        count = self._simulate()
        first = 2 * self.HOSTS
        self.assertLessEqual(self.new_connections, first + count / 20)

    def test_connections_do_not_keep_slow_targets_in_use(self) -> None:
        count = self._simulate(slow=3.0)
        usual_share = len(self.SLOW_TARGETS) / self.TARGETS
        at_slow = sum(self.run_at[target] for target in self.SLOW_TARGETS)
        self.assertLess(at_slow, 0.5 * usual_share * count)


@dataclasses.dataclass
class _Program:
    """A simulated program.

    Attributes:
        start_ms: When it started.
        turns: Work of each of its turns, in ms at an idle target.
        due_ms: When it should be finished.
        done: Number of turns that have ended.
        refusals: Consecutive refusals of its current turn.
    """

    start_ms: float
    turns: list[float]
    due_ms: float
    done: int = 0
    refusals: int = 0


class ProgramsUnderOverloadTest(unittest.TestCase):
    """Simulates programs of several turns at several times the capacity.

    A turn that is refused is repeated after the stated time; a program ends
    with the third refusal of a turn.
    """

    TARGETS = 4
    SLOTS = 8
    MEAN_RUN_MS = 200.0
    PAUSE_MS = 200.0
    DEADLINE_MS = 4000.0
    MAX_REFUSALS = 3
    BURST_MS = (2000.0, 6000.0)
    END_MS = 8000.0

    def setUp(self) -> None:
        self.random = random.Random(1)
        self.dispatcher = _dispatcher(*[self.SLOTS] * self.TARGETS)
        self.events: list[tuple[float, int, str | dispatch.Placed]] = []
        self.numbers = itertools.count()
        self.programs: dict[str, _Program] = {}
        self.in_time = self.wasted_turns = 0

    def _push(self, at_ms: float, value: str | dispatch.Placed) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), value))

    def _add_programs(self, overload: float) -> None:
        turns_per_ms = self.TARGETS * self.SLOTS / self.MEAN_RUN_MS
        now_ms = 0.0
        while now_ms < self.END_MS:
            count = self.random.choice((3, 3, 3, 9))
            begin_ms, end_ms = self.BURST_MS
            load = overload if begin_ms <= now_ms < end_ms else 0.75
            now_ms += self.random.expovariate(load * turns_per_ms / 4.5)
            turns = [
                self.MEAN_RUN_MS * self.random.uniform(0.2, 1.8)
                for _ in range(count)
            ]
            idle_ms = sum(turns) + self.PAUSE_MS * (count - 1)
            name = f"p{len(self.programs)}"
            self.programs[name] = _Program(
                now_ms, turns, now_ms + 1.3 * idle_ms + 250.0
            )
            self._push(now_ms, name)

    def _submit(self, name: str, now_ms: float) -> None:
        program = self.programs[name]
        ticket = f"{name}/{program.done}/{program.refusals}"
        request = _request(
            ticket,
            due_ms=program.due_ms,
            deadline_ms=now_ms + self.DEADLINE_MS,
            # Only the first request of a program is known to be one.
            is_new=program.done == 0 and program.refusals == 0,
        )
        request = dataclasses.replace(request, session=name)
        self.dispatcher.submit(request, now_ms)

    def _handle(
        self, decision: dispatch.Placed | dispatch.Refused, now_ms: float
    ) -> None:
        name = decision.ticket.partition("/")[0]
        program = self.programs[name]
        if isinstance(decision, dispatch.Placed):
            run_ms = program.turns[program.done]
            self._push(now_ms + run_ms, decision)
            return
        program.refusals += 1
        if program.refusals < self.MAX_REFUSALS:
            self._push(now_ms + decision.retry_after_ms, name)
        else:
            self.wasted_turns += program.done

    def _end_turn(self, placed: dispatch.Placed, now_ms: float) -> None:
        name = placed.ticket.partition("/")[0]
        program = self.programs[name]
        run_ms = program.turns[program.done]
        finished = dispatch.Finished(
            placed.ticket, placed.target, dispatch.EndReason.DONE, run_ms, 1.0
        )
        self.dispatcher.finish(finished, now_ms)
        program.done += 1
        program.refusals = 0
        if program.done < len(program.turns):
            self._push(now_ms + self.PAUSE_MS, name)
        else:
            self.in_time += now_ms <= program.due_ms

    def _simulate(self, overload: float) -> None:
        self._add_programs(overload)
        while self.events:
            now_ms, _, value = heapq.heappop(self.events)
            if isinstance(value, dispatch.Placed):
                self._end_turn(value, now_ms)
            else:
                self._submit(value, now_ms)
            for decision in self.dispatcher.advance(now_ms):
                self._handle(decision, now_ms)

    def test_started_programs_are_finished_in_time(self) -> None:
        self._simulate(overload=4.0)
        started = sum(each.done > 0 for each in self.programs.values())
        self.assertEqual(self.wasted_turns, 0)
        self.assertGreaterEqual(self.in_time, 0.8 * started)

    def test_none_is_refused_at_the_usual_load(self) -> None:
        self._simulate(overload=0.75)
        self.assertEqual(self.in_time, len(self.programs))


class KindsOfWorkTest(unittest.TestCase):
    """Simulates many hosts whose requests differ in work by up to 40 times.

    All targets are equally fast, so each gets its share of the requests.
    """

    HOSTS = 200
    TARGETS = 24
    REQUESTS = 12_000
    RUN_MS = (5.0, 55.0, 55.0, 220.0)
    GAP_MS = 4.0

    def _simulate(self) -> collections.Counter[str]:
        """Returns the number of requests of each target."""
        rng = random.Random(1)
        dispatcher = _dispatcher(*[6] * self.TARGETS)
        times = [run_times.UsualRunTimes[float]() for _ in range(self.HOSTS)]
        events: list[tuple[float, int, dispatch.Placed | None]] = [
            (n * self.GAP_MS, n, None) for n in range(self.REQUESTS)
        ]
        heapq.heapify(events)
        kinds: dict[str, tuple[int, float]] = {}
        counts: collections.Counter[str] = collections.Counter()
        while events:
            now_ms, number, ended = heapq.heappop(events)
            if ended is None:
                kinds[f"w{number}"] = (
                    rng.randrange(self.HOSTS),
                    rng.choice(self.RUN_MS),
                )
                dispatcher.submit(_request(f"w{number}"), now_ms)
            else:
                host, run_ms = kinds[ended.ticket]
                finished = dispatch.Finished(
                    ended.ticket,
                    ended.target,
                    dispatch.EndReason.DONE,
                    run_ms,
                    times[host].add(run_ms, run_ms),
                )
                dispatcher.finish(finished, now_ms)
            for each in dispatcher.advance(now_ms):
                assert isinstance(each, dispatch.Placed)
                counts[each.target] += 1
                run_ms = kinds[each.ticket][1]
                heapq.heappush(events, (now_ms + run_ms, number, each))
        return counts

    def test_equal_targets_get_equal_shares(self) -> None:
        counts = self._simulate()
        mean = self.REQUESTS / self.TARGETS
        self.assertEqual(len(counts), self.TARGETS)
        self.assertLess(max(counts.values()), 1.5 * mean)
