"""Tests of mangotally.policy.usual_load, and of surges in fairness."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import fairness, usual_load

_ONE = ids.OrganisationId("one")
_OTHER = ids.OrganisationId("other")
_SLOTS = 100
_MINUTE_MS = 60_000.0


class UsualLoadTest(unittest.TestCase):
    """Expected number of running calls of an organisation."""

    def setUp(self) -> None:
        self.usual = usual_load.UsualLoad(20 * _MINUTE_MS)
        self.usual.record(_ONE, 10, 0)
        self.usual.record(_OTHER, 30, 0)

    def _expected(self, now_ms: float) -> float:
        self.usual.record(_OTHER, 30, now_ms)
        expected = self.usual.expected(_ONE)
        assert expected is not None
        return expected

    def test_unknown_at_first(self) -> None:
        """Nothing is expected until the average covers the warm-up time."""
        self.usual.record(_OTHER, 30, _MINUTE_MS / 2)
        self.assertIsNone(self.usual.expected(_ONE))

    def test_average(self) -> None:
        """The expectation follows a change in load slowly."""
        self.assertAlmostEqual(self._expected(5 * _MINUTE_MS), 10)
        self.usual.record(_ONE, 20, 5 * _MINUTE_MS)
        self.assertLess(self._expected(6 * _MINUTE_MS), 12)
        self.assertGreater(self._expected(60 * _MINUTE_MS), 18)

    def test_general_rise_in_load(self) -> None:
        """If the others have twice their usual load, twice is expected."""
        self.usual.record(_OTHER, 60, 5 * _MINUTE_MS)
        expected = self.usual.expected(_ONE)
        assert expected is not None
        self.assertAlmostEqual(expected, 20)

    def test_only_organisation(self) -> None:
        """Nothing is expected of the only organisation with calls."""
        self.usual.record(_OTHER, 0, 5 * _MINUTE_MS)
        self.assertIsNone(self.usual.expected(_ONE))


class SurgeTest(unittest.TestCase):
    """Conditions under which an organisation is in a surge."""

    def setUp(self) -> None:
        self.shares = fairness.Shares(fairness.Headroom())
        self._run(_ONE, 20, 0)
        self._run(_OTHER, 40, 0)

    def _run(
        self, organisation: ids.OrganisationId, calls: int, now_ms: float
    ) -> None:
        for _ in range(calls):
            self.shares.enqueue(organisation, 1.0)
            self.shares.charge(organisation, 1.0, now_ms)

    def test_only_with_a_backlog(self) -> None:
        """The usual load without a backlog is not a surge."""
        self._run(_OTHER, 1, 5 * _MINUTE_MS)
        self.assertFalse(self.shares.is_surging(_ONE, _SLOTS))
        for _ in range(10):
            self.shares.enqueue(_ONE, 1.0)
        self.assertTrue(self.shares.is_surging(_ONE, _SLOTS))
        self.assertFalse(self.shares.is_surging(_OTHER, _SLOTS))

    def test_small_load_is_no_surge(self) -> None:
        """Below the floor of the pool's slots there is no surge."""
        for _ in range(10):
            self.shares.enqueue(_ONE, 1.0)
        self._run(_OTHER, 1, 5 * _MINUTE_MS)
        self.assertFalse(self.shares.is_surging(_ONE, 10 * _SLOTS))

    def test_usual_load_grows_while_calls_are_held_back(self) -> None:
        """Lasting demand raises the number of calls that may run."""
        now_ms = 5 * _MINUTE_MS
        for _ in range(200):
            self.shares.enqueue(_ONE, 1.0)
        running = 20
        for _ in range(2000):
            now_ms += _MINUTE_MS / 10
            self.shares.settle(_ONE, 0.0, now_ms)
            running -= 1
            while running < 60 and not self.shares.is_surging(_ONE, _SLOTS):
                self._run(_ONE, 1, now_ms)
                running += 1
        self.assertGreater(running, 25)
