"""Tests of mangotally.policy.resource_claims and policy.load_reports."""

from __future__ import annotations

import unittest

from mangotally.policy import load_reports, pools, resource_claims


class UnclaimedTest(unittest.TestCase):
    """Unclaimed resources are reported after the grace period."""

    def test_grace(self) -> None:
        """A resource must be unclaimed throughout the grace period."""
        unclaimed: resource_claims.UnclaimedTracker[str] = (
            resource_claims.UnclaimedTracker(100)
        )
        for now_ms, claimed, expected in (
            (0, "", []),
            (99, "", []),
            (100, "", ["a"]),
            (150, "a", []),
            (200, "", []),
            (300, "", ["a"]),
        ):
            with self.subTest(now_ms):
                reported = unclaimed.observe(
                    ["a"], claimed.__contains__, now_ms
                )
                self.assertEqual(reported, expected)


class ClaimsTest(unittest.TestCase):
    """Claims are valid while they are renewed."""

    def test_validity(self) -> None:
        """A claim replaces the previous one of its holder, and expires."""
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
    """Correction of load reports."""

    def test_own_calls_count(self) -> None:
        """Calls granted before the report was made are added to it."""
        report = pools.LoadReport(0, 0, 50, 100, 40)
        corrected = load_reports.correct(report, [0, 50, 70], now_ms=100)
        self.assertEqual((corrected.running, corrected.waiting), (0, 2))

    def test_invalid_values(self) -> None:
        """Negative and too large values are clamped."""
        report = pools.LoadReport(-5, -1, 500, 100, -7)
        corrected = load_reports.correct(report, [], now_ms=100)
        self.assertEqual(corrected, pools.LoadReport(0, 0, 100, 100, 0))


class RechecksTest(unittest.TestCase):
    """When a resource is due to be checked again."""

    def test_confirmation_is_valid_for_the_interval(self) -> None:
        """A new resource is due at once, a confirmed one after the interval."""
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
