"""Tests of mangotally.entry.known_crashes."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.entry import entry_pb2, known_crashes, model
from mangotally.policy import crash_histories
from mangotally.util import clock as clock_lib

REQUEST = crash_histories.digest("org", "POST", "/a", "", b"crash")
# Clocks of two hosts start at different times.
OFFSET_MS = 50_000.0


def _target(number: int) -> model.Target:
    return model.Target(
        ids.TargetId(f"t{number}"),
        number,
        ids.ServiceId("s"),
        "1.2.3.4:5",
        ids.FailureDomainId("z"),
        4,
        model.TargetState.READY,
        ids.SoftwareVersion("v1"),
    )


class KnownCrashesTest(unittest.TestCase):
    """What one host has learned is known to another after one message."""

    def setUp(self) -> None:
        self.clocks = (
            clock_lib.ManualClock(1000.0),
            clock_lib.ManualClock(1000.0 + OFFSET_MS),
        )
        self.hosts = [known_crashes.KnownCrashes(c) for c in self.clocks]

    def _advance(self, duration_ms: float) -> None:
        for clock in self.clocks:
            clock.advance(duration_ms)

    def _tell(self) -> None:
        """Sends what the first host knows to the second one."""
        data = self.hosts[0].message(REQUEST).SerializeToString()
        self.hosts[1].merge(entry_pb2.CrashHistory.FromString(data))

    def _crash(self, host: int, *numbers: int) -> None:
        for number in numbers:
            self.hosts[host].record_crash(REQUEST, _target(number))

    def test_crashes_of_two_hosts_add_up(self) -> None:
        self._crash(0, 1, 2)
        self._crash(1, 2, 3)
        self.assertIsNone(self.hosts[1].refused_for_ms(REQUEST))
        self._tell()
        self.assertEqual(
            self.hosts[1].refused_for_ms(REQUEST), crash_histories.KEEP_MS
        )

    def test_the_age_of_a_crash_is_kept(self) -> None:
        self._crash(0, 1, 2, 3)
        self._advance(60_000.0)
        self._tell()
        self.assertEqual(
            self.hosts[1].refused_for_ms(REQUEST),
            crash_histories.KEEP_MS - 60_000.0,
        )

    def test_an_answer_clears_the_crashes_that_another_host_knows(self) -> None:
        self._crash(0, 1, 2, 3)
        self._tell()
        self._advance(10.0)
        self.assertTrue(self.hosts[0].record_answer(REQUEST))
        self._tell()
        self.assertIsNone(self.hosts[1].refused_for_ms(REQUEST))

    def test_nothing_known_changes_nothing(self) -> None:
        self._crash(1, 1, 2, 3)
        self._tell()
        self.hosts[1].merge(entry_pb2.CrashHistory())
        self.assertIsNotNone(self.hosts[1].refused_for_ms(REQUEST))
        self.assertIsNone(
            self.hosts[1].refused_for_ms(crash_histories.NO_DIGEST)
        )


if __name__ == "__main__":
    unittest.main()
