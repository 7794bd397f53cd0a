"""A short soak with fixed seeds: faults in real processes."""

from __future__ import annotations

import asyncio
import collections
import logging
import pathlib
import re
import tempfile
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


class CalmRunTest(unittest.TestCase):
    """A run without faults goes through the homes, as in production."""

    HOSTS = 5
    # Most of them: hosts that stop at the end of a run hand over their keys.
    MIN_HOME_FRACTION = 0.5

    def test_each_host_gets_its_slots_from_homes(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        options = soak.Options(hosts=self.HOSTS, callers=10)
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            asyncio.run(self._run(options, folder))
            for number in range(self.HOSTS):
                log = (folder / f"h{number}.log").read_text()
                found = re.findall(r" placed_by=(home|alone)", log)
                # The homes of the services are assigned during the first half.
                sources = collections.Counter(found[len(found) // 2 :])
                self.assertGreaterEqual(
                    sources["home"],
                    self.MIN_HOME_FRACTION * sources.total(),
                    f"h{number}: {sources}",
                )
                self.assertGreater(sources.total(), 0)

    async def _run(self, options: soak.Options, folder: pathlib.Path) -> None:
        async with soak.SoakRun(1, options, folder) as found:
            await found.run_plan([])


if __name__ == "__main__":
    unittest.main()
