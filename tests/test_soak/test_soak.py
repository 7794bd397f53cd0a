"""A short soak with fixed seeds: faults in real processes."""

from __future__ import annotations

import asyncio
import logging
import unittest

from tests.soak import soak

SEEDS = (11, 12)
OPTIONS = soak.Options(seconds=8, hosts=3, callers=6)
# Findings for programs that are refused though their budget suffices for
# another turn.
BUDGET_RULES = frozenset({"LOST-402", "SPENT"})


class SoakTest(unittest.TestCase):
    """Invariants hold while hosts, links, store and targets fail."""

    reports: list[soak.Report]

    @classmethod
    def setUpClass(cls) -> None:
        # The libraries of the stand-ins log injected faults as errors.
        logging.disable(logging.CRITICAL)
        try:
            cls.reports = [
                asyncio.run(soak.run(seed, OPTIONS)) for seed in SEEDS
            ]
        finally:
            logging.disable(logging.NOTSET)

    def test_invariants(self) -> None:
        self.assertEqual(self._findings(is_budget=False), [])

    def test_budgets_are_not_refused(self) -> None:
        self.assertEqual(self._findings(is_budget=True), [])

    def test_requests_are_served(self) -> None:
        for report in self.reports:
            self.assertGreater(report.faults, 0)
            self.assertGreater(report.served, 0)

    def _findings(self, is_budget: bool) -> list[str]:
        return [
            f"{report}"
            for report in self.reports
            if any(
                (each.split()[0] in BUDGET_RULES) == is_budget
                for each in report.findings
            )
        ]


if __name__ == "__main__":
    unittest.main()
