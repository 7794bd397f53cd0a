"""Tests of mangotally.policy.breaker."""

from __future__ import annotations

import unittest

from mangotally.policy import breaker, faults

K = faults.FaultKind


def _fault(kind: K, retry_after_ms: int | None = None) -> faults.Fault:
    return faults.Fault(kind, "", retry_after_ms)


class BreakerTest(unittest.TestCase):
    """One target that fails and comes back."""

    def setUp(self) -> None:
        self.breaker = breaker.Breaker()

    def test_refused_connection_opens_at_once(self) -> None:
        """A target that does not listen gets no calls."""
        self.breaker.fail(_fault(K.CONNECTION_REFUSED), "d", 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 0)

    def test_one_request_does_not_open(self) -> None:
        """A request that fails again and again is not the target's fault."""
        for _ in range(20):
            self.breaker.fail(_fault(K.ERROR), "d", 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 8)
        for digest in ("e", "f"):
            self.breaker.fail(_fault(K.ERROR), digest, 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 0)

    def test_way_back(self) -> None:
        """One probe, one call, then all."""
        self.breaker.fail(_fault(K.CONNECTION_REFUSED), "d", 0, 0.5)
        self.assertFalse(self.breaker.begin_probe(1))
        self.assertTrue(self.breaker.begin_probe(breaker.MAX_OPEN_MS))
        self.assertFalse(self.breaker.begin_probe(breaker.MAX_OPEN_MS))
        self.breaker.end_probe(True, breaker.MAX_OPEN_MS, 0.5)
        self.assertEqual(self.breaker.slots(8), 1)
        self.breaker.succeed()
        self.assertEqual(self.breaker.slots(8), 8)

    def test_retry_after(self) -> None:
        """A target that asks to be left alone is left alone so long."""
        self.breaker.fail(_fault(K.REFUSED, 3000), "d", 0, 0.0)
        self.assertFalse(self.breaker.begin_probe(2999))
        self.assertTrue(self.breaker.begin_probe(3300))

    def test_retry_after_is_bounded(self) -> None:
        """A target cannot take itself out for ever."""
        self.breaker.fail(_fault(K.REFUSED, 10**9), "d", 0, 1.0)
        self.assertTrue(self.breaker.begin_probe(60_000))

    def test_forgiven_for_a_quarantined_request(self) -> None:
        """A target is probed at once when the request is to blame."""
        self.breaker.fail(_fault(K.CRASHED), "d", 0, 0.5)
        self.assertFalse(self.breaker.begin_probe(1))
        self.breaker.discard_faults("other", 1)
        self.assertFalse(self.breaker.begin_probe(1))
        self.breaker.discard_faults("d", 1)
        self.assertTrue(self.breaker.begin_probe(1))

    def test_polls(self) -> None:
        """A target that answers no control calls opens."""
        for _ in range(breaker.FAULTS_TO_OPEN - 1):
            self.breaker.record_poll(False, 0, 0.5)
        self.breaker.record_poll(True, 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 8)
        for _ in range(breaker.FAULTS_TO_OPEN):
            self.breaker.record_poll(False, 0, 0.5)
        self.assertEqual(self.breaker.slots(8), 0)
