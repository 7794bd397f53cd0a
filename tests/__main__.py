"""Runs all tests and prints a summary of the results."""

from __future__ import annotations

import os
import pathlib
import sys
import unittest

os.environ["UV_USE_IO_URING"] = "0"

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_ENTRY_PREFIX = "test: "


class Results(unittest.TextTestResult):
    """Counts passed tests and tolerates failures listed in KNOWN-RED.txt."""

    known_red: frozenset[str] = frozenset()

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.passed = 0
        self.known_failures: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Counts a passed test."""
        self.passed += 1
        super().addSuccess(test)

    def addFailure(self, test: unittest.TestCase, err: object) -> None:  # noqa: N802
        """Counts a failure, or records it as known if it is listed."""
        if test.id() in self.known_red:
            self.known_failures.append(test.id())
            return
        super().addFailure(test, err)  # type: ignore[arg-type]

    def addError(self, test: unittest.TestCase, err: object) -> None:  # noqa: N802
        """Counts an error, or records it as known if it is listed."""
        if test.id() in self.known_red:
            self.known_failures.append(test.id())
            return
        super().addError(test, err)  # type: ignore[arg-type]


def main() -> int:
    """Runs the tests; returns the exit code."""
    Results.known_red = _read_known_red()
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    )
    runner = unittest.TextTestRunner(
        stream=sys.stdout, resultclass=Results, verbosity=1
    )
    found = runner.run(suite)
    assert isinstance(found, Results)
    failed = len(found.failures) + len(found.errors)
    for name in found.known_failures:
        print(f"known red: {name}")
    print(
        f"{found.passed} passed, {failed} failed, "
        f"{len(found.skipped) + len(found.known_failures)} skipped"
    )
    return 1 if failed or not found.passed else 0


def _read_known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_ENTRY_PREFIX)
    )


if __name__ == "__main__":
    raise SystemExit(main())
