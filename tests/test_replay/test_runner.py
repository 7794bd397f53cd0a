"""Tests of replays against their expected outcomes."""

from __future__ import annotations

import unittest

from mangotally.commands import replay
from mangotally.replay import parameters, report, results


def run(name: str, policy: str = replay.FAIR) -> report.CheckedRun:
    """Replays a shipped trace."""
    source = replay.load(name).unwrap()
    return replay.replay(source, policy, parameters.Parameters()).unwrap()


class OutcomesTest(unittest.TestCase):
    """One trace of each kind has its expected outcomes."""

    def check(self, name: str) -> None:
        """Replays a trace and checks its expected outcomes."""
        self.assertEqual(run(name).problems, ())

    def test_ordinary(self) -> None:
        """An ordinary load."""
        self.check("tornos-norte-ordinary")

    def test_six_times(self) -> None:
        """One organisation at six times its rate."""
        self.check("tornos-norte-six-times")

    def test_six_times_of_a_latency_plan(self) -> None:
        """One organisation at six times its rate, in the other deployment."""
        self.check("lakeshore-six-times")

    def test_worker_lost(self) -> None:
        """A worker is lost and becomes available again."""
        self.check("tornos-norte-worker-lost")

    def test_place_lost(self) -> None:
        """A failure domain is lost and becomes available again."""
        self.check("lakeshore-place-lost")

    def test_small_and_huge(self) -> None:
        """Many small programs together with a few huge ones."""
        self.check("lakeshore-small-and-huge")

    def test_loop(self) -> None:
        """Programs whose turns repeat endlessly."""
        self.check("tornos-norte-loop")


class RunnerTest(unittest.TestCase):
    """Properties of the replay."""

    def test_same_seed_same_result(self) -> None:
        """Replays with the same seed are identical."""
        name = "lakeshore-place-lost"
        self.assertEqual(run(name).run, run(name).run)

    def test_every_program_ends_once(self) -> None:
        """The loss of a failure domain loses no program under any policy."""
        source = replay.load("tornos-norte-place-lost").unwrap()
        wanted = {row.id for row in source.trace.programs}
        for policy in replay.POLICIES:
            found = run("tornos-norte-place-lost", policy).run
            ended = [program.program for program in found.programs]
            self.assertEqual(set(ended), wanted, policy)
            self.assertEqual(len(ended), len(wanted), policy)
            self.assertTrue(
                all(
                    program.end is results.ProgramEnd.DONE
                    and program.turns >= 1
                    for program in found.programs
                ),
                policy,
            )
            self.assertGreater(found.retries, 0, policy)
