"""Tests of mangotally.policy.target_limits."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from mangotally import ids
from mangotally.policy import target_limits

TARGET = ids.TargetId("t")
WINDOW_MS = 4000.0


class ReadTest(unittest.TestCase):
    """What a target may send in place of a limit."""

    def test_limits(self) -> None:
        for text, expected in (("5.8", 5.8), ("0", 0.0), ("1e9", 1e9)):
            self.assertEqual(target_limits.read([text]), expected)

    def test_the_lowest_of_several_limits_holds(self) -> None:
        self.assertEqual(target_limits.read(["7", "3.5"]), 3.5)
        self.assertEqual(target_limits.read(["7, 3.5"]), 3.5)
        self.assertEqual(target_limits.read(["nan", "3.5"]), 3.5)

    def test_absent(self) -> None:
        self.assertIs(target_limits.read([]), target_limits.Reading.ABSENT)

    def test_unreadable(self) -> None:
        for text in ("", "nan", "inf", "-inf", "-1", "1e999", "four", "0x4"):
            self.assertIs(
                target_limits.read([text]),
                target_limits.Reading.UNREADABLE,
                text,
            )


def _observation(
    limit_per_s: float | None, at_ms: float, born_ms: int = 1
) -> target_limits.Observation:
    return target_limits.Observation(TARGET, born_ms, limit_per_s, at_ms)


class TargetLimitsTest(unittest.TestCase):
    """The newest observation of a target holds, whoever made it."""

    def setUp(self) -> None:
        self.limits = target_limits.TargetLimits()

    def test_no_limit_is_not_kept_for_targets_without_one(self) -> None:
        self.assertFalse(self.limits.observe(_observation(None, 1.0)))
        self.assertEqual(self.limits.observations(), ())

    def test_a_limit_falls_rises_and_ends(self) -> None:
        for at_ms, limit_per_s in enumerate((6.0, 2.0, 9.0, None, 4.0)):
            observation = _observation(limit_per_s, float(at_ms))
            self.assertTrue(self.limits.observe(observation))
            self.assertEqual(self.limits.limit_of(TARGET), limit_per_s)

    def test_an_older_observation_changes_nothing(self) -> None:
        self.limits.observe(_observation(4.0, 10.0))
        self.assertFalse(self.limits.observe(_observation(None, 9.0)))
        self.assertFalse(self.limits.observe(_observation(9.0, 10.0)))
        self.assertEqual(self.limits.limit_of(TARGET), 4.0)

    def test_a_restarted_target_has_no_limit(self) -> None:
        self.limits.observe(_observation(4.0, 10.0))
        self.assertFalse(self.limits.observe(_observation(None, 11.0, 2)))
        self.limits.observe(_observation(7.0, 11.0, 2))
        self.assertEqual(self.limits.limit_of(TARGET), 7.0)


class LimitedIntakeTest(unittest.TestCase):
    """No window gets more requests than the limit and a short burst."""

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.floats(0.0, 50.0), strategies.integers(1, 400))
    def test_window(self, limit_per_s: float, step_ms: int) -> None:
        intake = target_limits.LimitedIntake(limit_per_s, 0.0)
        taken_ms: list[float] = []
        for now_ms in range(0, 20_000, step_ms):
            if intake.wait_ms(now_ms) <= 0:
                intake.take(now_ms)
                taken_ms.append(now_ms)
        allowed = 1.5 * limit_per_s * 4 + 5
        for begin_ms in taken_ms:
            in_window = sum(
                begin_ms <= each < begin_ms + WINDOW_MS for each in taken_ms
            )
            self.assertLessEqual(in_window, allowed)

    def test_a_limit_of_zero_still_lets_some_requests_through(self) -> None:
        intake = target_limits.LimitedIntake(0.0, 0.0)
        wait_ms = intake.wait_ms(0.0)
        self.assertLessEqual(wait_ms, WINDOW_MS)
        self.assertLessEqual(intake.wait_ms(wait_ms), 1e-6)

    def test_a_lower_limit_holds_at_once(self) -> None:
        intake = target_limits.LimitedIntake(100.0, 0.0)
        intake.change(1.0, 10_000.0)
        intake.take(10_000.0)
        self.assertGreater(intake.wait_ms(10_000.0), 0.0)


class TwoHomesTest(unittest.TestCase):
    """The limit holds while the home of a service moves.

    The previous home still assigns until it notices, a second later; the
    new one knows the limit, but not what was assigned.
    """

    MOVE_MS = 10_000.0
    OVERLAP_MS = 1000.0
    STEP_MS = 10.0
    END_MS = 20_000.0

    def _taken_ms(self, limit_per_s: float) -> list[float]:
        """Returns when the target gets requests from homes under overload."""
        taken_ms: list[float] = []
        before = target_limits.LimitedIntake(limit_per_s, 0.0)
        after = target_limits.LimitedIntake(limit_per_s, self.MOVE_MS)
        now_ms = 0.0
        while now_ms < self.END_MS:
            homes = [before] if now_ms < self.MOVE_MS + self.OVERLAP_MS else []
            homes += [after] if now_ms >= self.MOVE_MS else []
            for intake in homes:
                if intake.wait_ms(now_ms) <= 0:
                    intake.take(now_ms)
                    taken_ms.append(now_ms)
            now_ms += self.STEP_MS
        return taken_ms

    def test_limit_holds(self) -> None:
        for limit_per_s in (0.0, 0.3, 1.0, 3.2, 5.8, 20.0, 60.0):
            taken_ms = self._taken_ms(limit_per_s)
            allowed = 1.5 * limit_per_s * WINDOW_MS / 1000.0 + 5
            for begin_ms in taken_ms:
                in_window = sum(
                    begin_ms <= each < begin_ms + WINDOW_MS for each in taken_ms
                )
                self.assertLessEqual(in_window, allowed, limit_per_s)
