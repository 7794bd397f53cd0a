"""An organisation that sends many times its usual, and its programs."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from mangotally.policy import admission

WINDOW_MS = 5000.0
LIMIT = admission.Limit(calls=100.0, window_ms=WINDOW_MS)
# A gate begins empty and is full after this time.
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


class GateTest(unittest.TestCase):
    """Single decisions."""

    def test_begins_empty(self) -> None:
        found = admission.AdmissionController(LIMIT, 0.0)
        decision = found.admit("", "", 0.0)
        assert isinstance(decision, admission.Admitted)
        self.assertGreater(decision.delay_ms, 0)

    def test_delays_rather_than_refuses(self) -> None:
        found = admission.AdmissionController(LIMIT, 0.0)
        delays = []
        for _ in range(200):
            decision = found.admit("", "", FULL_MS)
            if isinstance(decision, admission.OverLimit):
                self.assertGreater(decision.retry_after_ms, 0)
                break
            delays.append(decision.delay_ms)
        self.assertLessEqual(max(delays), admission.MAX_DELAY_MS)
        self.assertEqual(delays, sorted(delays))

    def test_a_lower_limit_is_in_force_at_once(self) -> None:
        found = admission.AdmissionController(LIMIT, 0.0)
        found.set_limit(admission.Limit(0.0, WINDOW_MS), FULL_MS)
        for _ in range(int(admission.MIN_BURST)):
            found.admit("", "", FULL_MS)
        decision = found.admit("", "", FULL_MS)
        self.assertIsInstance(decision, admission.OverLimit)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 400.0), max_size=400)
    )
    def test_no_window_exceeds_the_limit(self, pauses_ms: list[float]) -> None:
        found = admission.AdmissionController(LIMIT, 0.0)
        now_ms = 0.0
        admitted = []
        for number, pause_ms in enumerate(pauses_ms):
            now_ms += pause_ms
            decision = found.admit(f"p{number % 7}", "k", now_ms)
            if isinstance(decision, admission.Admitted):
                admitted.append(now_ms + decision.delay_ms)
        self.assertLessEqual(_most_in_a_window(admitted), LIMIT.calls + 1)


class HotOrganisationTest(unittest.TestCase):
    """Replays programs of ten calls that come at several times the rate."""

    CALLS = 10
    PAUSE_MS = 150.0

    def _play(self, programs_per_s: float, seconds: int) -> tuple[int, int]:
        """Returns programs that were begun and that were finished."""
        found = admission.AdmissionController(LIMIT, 0.0)
        waiting = [
            (FULL_MS + number * 1000.0 / programs_per_s, f"p{number}", 0)
            for number in range(int(programs_per_s * seconds))
        ]
        begun = finished = 0
        while waiting:
            waiting.sort()
            now_ms, program, calls = waiting.pop(0)
            decision = found.admit(program, "k", now_ms)
            if isinstance(decision, admission.OverLimit):
                continue
            begun += calls == 0
            if calls + 1 == self.CALLS:
                finished += 1
                continue
            next_ms = now_ms + decision.delay_ms + self.PAUSE_MS
            waiting.append((next_ms, program, calls + 1))
        return begun, finished

    def test_all_finish_within_the_rate(self) -> None:
        begun, finished = self._play(programs_per_s=1.2, seconds=20)
        self.assertEqual((begun, finished), (24, 24))

    def test_most_that_begin_finish_at_eight_times_the_rate(self) -> None:
        begun, finished = self._play(programs_per_s=14.0, seconds=20)
        allowed = LIMIT.rate_per_ms * 20_000 / self.CALLS
        self.assertGreaterEqual(finished, 0.9 * begun)
        self.assertGreaterEqual(finished, 0.75 * allowed)
