"""Tests of mangotally.policy.memory and mangotally.policy.load."""

from __future__ import annotations

import unittest

from mangotally.policy import load_reports, pools, resource_claims


class UnclaimedTest(unittest.TestCase):
    """What nobody claims is given up after the grace."""

    def test_grace(self) -> None:
        """A thing must be unclaimed throughout the grace."""
        unclaimed: resource_claims.UnclaimedTracker[str] = (
            resource_claims.UnclaimedTracker(100)
        )
        for now_ms, claimed, gone in (
            (0, "", []),
            (99, "", []),
            (100, "", ["a"]),
            (150, "a", []),
            (200, "", []),
            (300, "", ["a"]),
        ):
            with self.subTest(now_ms):
                found = unclaimed.observe(["a"], claimed.__contains__, now_ms)
                self.assertEqual(found, gone)


class ClaimsTest(unittest.TestCase):
    """Claims hold while they are repeated."""

    def test_validity(self) -> None:
        """A claim replaces the holder's last one, and ends by itself."""
        claims: resource_claims.ClaimTable[str, int] = (
            resource_claims.ClaimTable(100)
        )
        claims.put("h1", (1, 2), 0)
        claims.put("h2", (3,), 50)
        self.assertEqual(claims.valid(99), [1, 2, 3])
        claims.put("h1", (2,), 99)
        self.assertEqual(sorted(claims.valid(120)), [2, 3])
        self.assertEqual(claims.valid(150), [2])
        self.assertEqual(claims.valid(199), [])


class CorrectTest(unittest.TestCase):
    """Load reports that cannot be true."""

    def test_own_calls_count(self) -> None:
        """A report older than a call need not know of it."""
        report = pools.LoadReport(0, 0, 50, 100, 40)
        found = load_reports.correct(report, [0, 50, 70], now_ms=100)
        self.assertEqual((found.running, found.waiting), (0, 2))

    def test_nonsense(self) -> None:
        """Negative and oversize figures are bounded."""
        report = pools.LoadReport(-5, -1, 500, 100, -7)
        found = load_reports.correct(report, [], now_ms=100)
        self.assertEqual(found, pools.LoadReport(0, 0, 100, 100, 0))


class RechecksTest(unittest.TestCase):
    """When programs are asked for again."""

    def test_answers_hold_for_the_interval(self) -> None:
        """A live program is asked for at once, and then rarely."""
        rechecks: resource_claims.RecheckSchedule[str] = (
            resource_claims.RecheckSchedule(60_000)
        )
        self.assertEqual(rechecks.due(("a", "b"), 0), ["a", "b"])
        rechecks.confirm("a", 0)
        self.assertEqual(rechecks.due(("a", "b"), 100), ["b"])
        self.assertEqual(rechecks.due(("a",), 59_999), [])
        self.assertEqual(rechecks.due(("a",), 60_000), ["a"])
        rechecks.confirm("a", 60_000)
        self.assertEqual(rechecks.due((), 60_001), [])
        self.assertEqual(rechecks.due(("a",), 60_002), ["a"])
