"""Tests of the test runner's list of known failures."""

from __future__ import annotations

import io
import unittest

from tests import __main__ as runner


class _Failing(unittest.TestCase):
    def fails(self) -> None:
        self.fail()

    def breaks(self) -> None:
        raise RuntimeError


class KnownRedTest(unittest.TestCase):
    """Listed tests may fail in either way, others may not."""

    def _run(self, *listed: str) -> runner.Results:
        class _Results(runner.Results):
            known_red = frozenset(f"{__name__}._Failing.{n}" for n in listed)

        suite = unittest.TestSuite([_Failing("fails"), _Failing("breaks")])
        found = unittest.TextTestRunner(
            stream=io.StringIO(), resultclass=_Results
        ).run(suite)
        assert isinstance(found, runner.Results)
        return found

    def test_listed(self) -> None:
        found = self._run("fails", "breaks")
        self.assertEqual(len(found.known_failures), 2)
        self.assertEqual((found.failures, found.errors), ([], []))

    def test_not_listed(self) -> None:
        found = self._run()
        self.assertEqual((len(found.failures), len(found.errors)), (1, 1))
        self.assertEqual(found.known_failures, [])
