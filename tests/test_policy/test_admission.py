"""Tests of mangotally.policy.admission."""

from __future__ import annotations

import heapq
import unittest

import hypothesis
from hypothesis import strategies

from mangotally.policy import admission

WINDOW_MS = 5000.0
LIMIT = admission.Limit(calls=100.0, window_ms=WINDOW_MS)
# The token bucket starts empty and is full after this time.
FULL_MS = 5000.0


def _most_in_a_window(times_ms: list[float]) -> int:
    times_ms = sorted(times_ms)
    return max(
        (
            sum(start <= at < start + WINDOW_MS for at in times_ms)
            for start in times_ms
        ),
        default=0,
    )


class AdmissionControllerTest(unittest.TestCase):
    """Single admission decisions."""

    def test_starts_empty(self) -> None:
        controller = admission.AdmissionController(LIMIT, 0.0)
        decision = controller.admit("", "", 0.0)
        assert isinstance(decision, admission.Admitted)
        self.assertGreater(decision.delay_ms, 0)

    def test_delays_before_it_refuses(self) -> None:
        controller = admission.AdmissionController(LIMIT, 0.0)
        delays = []
        for _ in range(200):
            decision = controller.admit("", "", FULL_MS)
            if isinstance(decision, admission.OverLimit):
                self.assertGreater(decision.retry_after_ms, 0)
                break
            delays.append(decision.delay_ms)
        self.assertLessEqual(max(delays), admission.MAX_DELAY_MS)
        self.assertEqual(delays, sorted(delays))

    def test_a_lower_limit_applies_at_once(self) -> None:
        controller = admission.AdmissionController(LIMIT, 0.0)
        controller.set_limit(admission.Limit(0.0, WINDOW_MS), FULL_MS)
        for _ in range(int(admission.MIN_BURST)):
            controller.admit("", "", FULL_MS)
        decision = controller.admit("", "", FULL_MS)
        self.assertIsInstance(decision, admission.OverLimit)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 400.0), max_size=400)
    )
    def test_no_window_exceeds_the_limit(self, pauses_ms: list[float]) -> None:
        controller = admission.AdmissionController(LIMIT, 0.0)
        now_ms = 0.0
        admitted = []
        for number, pause_ms in enumerate(pauses_ms):
            now_ms += pause_ms
            decision = controller.admit(f"p{number % 7}", "k", now_ms)
            if isinstance(decision, admission.Admitted):
                admitted.append(now_ms + decision.delay_ms)
        self.assertLessEqual(_most_in_a_window(admitted), LIMIT.calls + 1)


class OverloadTest(unittest.TestCase):
    """Simulates programs of ten calls that start at a given rate."""

    CALLS = 10
    PAUSE_MS = 150.0

    def _simulate(self, programs_per_s: float, seconds: int) -> tuple[int, int]:
        """Returns the numbers of programs that started and that finished."""
        controller = admission.AdmissionController(LIMIT, 0.0)
        waiting = [
            (FULL_MS + number * 1000.0 / programs_per_s, f"p{number}", 0)
            for number in range(int(programs_per_s * seconds))
        ]
        started = finished = 0
        while waiting:
            waiting.sort()
            now_ms, program, calls = waiting.pop(0)
            decision = controller.admit(program, "k", now_ms)
            if isinstance(decision, admission.OverLimit):
                continue
            started += calls == 0
            if calls + 1 == self.CALLS:
                finished += 1
                continue
            next_ms = now_ms + decision.delay_ms + self.PAUSE_MS
            waiting.append((next_ms, program, calls + 1))
        return started, finished

    def test_all_finish_within_the_rate(self) -> None:
        started, finished = self._simulate(programs_per_s=1.2, seconds=20)
        self.assertEqual((started, finished), (24, 24))

    def test_most_started_programs_finish_at_eight_times_the_rate(self) -> None:
        started, finished = self._simulate(programs_per_s=14.0, seconds=20)
        allowed = LIMIT.rate_per_ms * 20_000 / self.CALLS
        self.assertGreaterEqual(finished, 0.9 * started)
        self.assertGreaterEqual(finished, 0.75 * allowed)


class FanOutTest(unittest.TestCase):
    """Simulates a program whose tools exceed a low rate for a time.

    Each turn is followed by many calls at once, of the tools of the program
    and its sub-agents. A refused call is repeated once; a program ends with
    a call that is refused twice.
    """

    LIMIT = admission.Limit(40.0, WINDOW_MS, delayed_calls=9.0)
    TURNS = 9
    TOOLS = 20
    TURN_MS = 250.0
    TOOL_MS = 150.0
    TIME_LEFT_MS = 3000.0
    MAX_REFUSALS = 2

    def _run_calls(
        self,
        controller: admission.AdmissionController,
        count: int,
        at_ms: float,
    ) -> list[float]:
        """Returns when each of several concurrent calls runs."""
        calls = [(at_ms, 0)] * count
        runs_ms = []
        while calls:
            now_ms, refusals = heapq.heappop(calls)
            decision = controller.admit(
                "p", "k", now_ms, 0.5 * self.TIME_LEFT_MS
            )
            if isinstance(decision, admission.Admitted):
                runs_ms.append(now_ms + decision.delay_ms)
                continue
            self.assertLess(refusals + 1, self.MAX_REFUSALS, now_ms)
            retry_ms = now_ms + decision.retry_after_ms
            heapq.heappush(calls, (retry_ms, refusals + 1))
        return runs_ms

    def test_a_program_with_tools_survives_a_low_rate(self) -> None:
        controller = admission.AdmissionController(self.LIMIT, 0.0)
        now_ms = FULL_MS
        runs_ms: list[float] = []
        for _ in range(self.TURNS):
            turn_ms = self._run_calls(controller, 1, now_ms)
            tools_begin_ms = turn_ms[0] + self.TURN_MS
            tools_ms = self._run_calls(controller, self.TOOLS, tools_begin_ms)
            runs_ms += turn_ms + tools_ms
            now_ms = max(tools_ms) + self.TOOL_MS
        self.assertLessEqual(_most_in_a_window(runs_ms), self.LIMIT.calls + 1)

    def test_a_few_tools_at_once_are_not_delayed(self) -> None:
        controller = admission.AdmissionController(self.LIMIT, 0.0)
        now_ms = FULL_MS
        for _ in range(self.TURNS):
            runs_ms = self._run_calls(controller, 8, now_ms)
            self.assertEqual(max(runs_ms), now_ms)
            now_ms += 8 / self.LIMIT.rate_per_ms

    def test_a_new_program_is_refused_early(self) -> None:
        controller = admission.AdmissionController(self.LIMIT, 0.0)
        useful_ms = 0.5 * self.TIME_LEFT_MS
        delays = []
        while isinstance(
            decision := controller.admit("p", "k", FULL_MS, useful_ms),
            admission.Admitted,
        ):
            delays.append(decision.delay_ms)
        self.assertGreater(max(delays), admission.MAX_DELAY_MS)
        self.assertLessEqual(max(delays), useful_ms)
        new = controller.admit("q", "k", FULL_MS, useful_ms)
        self.assertIsInstance(new, admission.OverLimit)
