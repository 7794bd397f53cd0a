"""Tests of mangotally.policy.breaker."""

from __future__ import annotations

import unittest

from mangotally.policy import breaker, faults

K = faults.FaultKind


def _fault(kind: K, retry_after_ms: int | None = None) -> faults.Fault:
    return faults.Fault(kind, "", retry_after_ms)


class BreakerTest(unittest.TestCase):
    """State transitions of the breaker of one target."""

    def setUp(self) -> None:
        self.breaker = breaker.Breaker()

    def test_refused_connection_opens_at_once(self) -> None:
        """The breaker opens if nothing listens at the target's address."""
        self.breaker.fail(_fault(K.CONNECTION_REFUSED), "d", 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 0)

    def test_one_request_does_not_open(self) -> None:
        """Only faults of three distinct requests open the breaker."""
        for _ in range(20):
            self.breaker.fail(_fault(K.ERROR), "d", 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 8)
        for digest in ("e", "f"):
            self.breaker.fail(_fault(K.ERROR), digest, 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 0)

    def test_closes_after_probe_and_one_call(self) -> None:
        """The breaker closes after a good probe and one complete answer."""
        self.breaker.fail(_fault(K.CONNECTION_REFUSED), "d", 0, 0.5)
        self.assertFalse(self.breaker.begin_probe(1))
        self.assertTrue(self.breaker.begin_probe(breaker.MAX_OPEN_MS))
        self.assertFalse(self.breaker.begin_probe(breaker.MAX_OPEN_MS))
        self.breaker.end_probe(True, breaker.MAX_OPEN_MS, 0.5)
        self.assertEqual(self.breaker.slots(8), 1)
        self.breaker.succeed()
        self.assertEqual(self.breaker.slots(8), 8)

    def test_retry_after(self) -> None:
        """The breaker stays open for the time the target asked for."""
        self.breaker.fail(_fault(K.REFUSED, 3000), "d", 0, 0.0)
        self.assertFalse(self.breaker.begin_probe(2999))
        self.assertTrue(self.breaker.begin_probe(3300))

    def test_retry_after_is_bounded(self) -> None:
        """A target cannot keep the breaker open for an unlimited time."""
        self.breaker.fail(_fault(K.REFUSED, 10**9), "d", 0, 1.0)
        self.assertTrue(self.breaker.begin_probe(60_000))

    def test_discards_faults_of_a_quarantined_request(self) -> None:
        """The target is probed at once if a quarantined request opened it."""
        self.breaker.fail(_fault(K.CRASHED), "d", 0, 0.5)
        self.assertFalse(self.breaker.begin_probe(1))
        self.breaker.discard_faults("other", 1)
        self.assertFalse(self.breaker.begin_probe(1))
        self.breaker.discard_faults("d", 1)
        self.assertTrue(self.breaker.begin_probe(1))

    def test_missed_polls(self) -> None:
        """The breaker opens after consecutive control calls without answer."""
        for _ in range(breaker.FAULTS_TO_OPEN - 1):
            self.breaker.record_poll(False, 0, 0.5)
        self.breaker.record_poll(True, 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 8)
        for _ in range(breaker.FAULTS_TO_OPEN):
            self.breaker.record_poll(False, 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 0)
