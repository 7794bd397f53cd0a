"""Tests of the demo, which sends a trace over HTTP."""

from __future__ import annotations

import contextlib
import io
import unittest
from unittest import mock

from mangotally.commands import demo, local


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """The demo with a few programs of a deployment."""

    async def test_programs_end_and_are_counted(self) -> None:
        """Model and plain calls are answered; the table counts the programs."""
        output = io.StringIO()
        with contextlib.redirect_stderr(io.StringIO()):
            async with local.LocalFleet("tornos-norte", 2) as fleet:
                made = demo.Demo("tornos-norte", fleet)
                made._rows = made._rows[:3]
                await made.run()
                plain = fleet.platform.services.values()
                runs = sum(item.run_counts.total() for item in plain)
        with contextlib.redirect_stdout(output):
            made.print_table()
        self.assertTrue(made.is_successful)
        self.assertEqual(runs, 4)
        lines = output.getvalue().splitlines()[2:]
        counts = [int(line.split()[1]) for line in lines if line]
        self.assertEqual(sum(counts), 3)

    async def test_lost_program_is_not_good(self) -> None:
        """A program that cannot run counts as lost."""
        with contextlib.redirect_stderr(io.StringIO()):
            async with local.LocalFleet("tornos-norte", 1) as fleet:
                made = demo.Demo("tornos-norte", fleet)
                made._rows = made._rows[:1]
                made._service = "no-such-service"
                with mock.patch.object(demo, "MAX_ATTEMPTS", 1):
                    await made.run()
        self.assertFalse(made.is_successful)
