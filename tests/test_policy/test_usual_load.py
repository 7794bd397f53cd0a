"""Tests of mangotally.policy.ordinary and of surges."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import fairness, usual_load

_ONE = ids.OrganisationId("one")
_OTHER = ids.OrganisationId("other")
_SLOTS = 100
_MINUTE_MS = 60_000.0


class OrdinaryUseTest(unittest.TestCase):
    """What an organisation is expected to use."""

    def setUp(self) -> None:
        self.use = usual_load.UsualLoad(20 * _MINUTE_MS)
        self.use.note(_ONE, 10, 0)
        self.use.note(_OTHER, 30, 0)

    def _expected(self, now_ms: float) -> float:
        self.use.note(_OTHER, 30, now_ms)
        found = self.use.expected(_ONE)
        assert found is not None
        return found

    def test_not_known_at_first(self) -> None:
        """A pool that has just begun limits nobody."""
        self.use.note(_OTHER, 30, _MINUTE_MS / 2)
        self.assertIsNone(self.use.expected(_ONE))

    def test_average(self) -> None:
        """More calls count by and by."""
        self.assertAlmostEqual(self._expected(5 * _MINUTE_MS), 10)
        self.use.note(_ONE, 20, 5 * _MINUTE_MS)
        self.assertLess(self._expected(6 * _MINUTE_MS), 12)
        self.assertGreater(self._expected(60 * _MINUTE_MS), 18)

    def test_busy_hour_of_all(self) -> None:
        """Where the others have twice their use, twice is expected."""
        self.use.note(_OTHER, 60, 5 * _MINUTE_MS)
        found = self.use.expected(_ONE)
        assert found is not None
        self.assertAlmostEqual(found, 20)

    def test_alone(self) -> None:
        """An organisation that is alone harms nobody."""
        self.use.note(_OTHER, 0, 5 * _MINUTE_MS)
        self.assertIsNone(self.use.expected(_ONE))


class SurgeTest(unittest.TestCase):
    """When an organisation is in a surge."""

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
        """Its ordinary use alone is no surge."""
        self._run(_OTHER, 1, 5 * _MINUTE_MS)
        self.assertFalse(self.shares.is_surging(_ONE, _SLOTS))
        for _ in range(10):
            self.shares.enqueue(_ONE, 1.0)
        self.assertTrue(self.shares.is_surging(_ONE, _SLOTS))
        self.assertFalse(self.shares.is_surging(_OTHER, _SLOTS))

    def test_small_use_is_no_surge(self) -> None:
        """Below the floor of the pool's slots nobody is held back."""
        for _ in range(10):
            self.shares.enqueue(_ONE, 1.0)
        self._run(_OTHER, 1, 5 * _MINUTE_MS)
        self.assertFalse(self.shares.is_surging(_ONE, 10 * _SLOTS))

    def test_held_back_use_does_not_shrink(self) -> None:
        """Lasting demand raises what an organisation may use."""
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
