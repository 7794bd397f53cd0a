"""Tests of the decisions for hosts that lose their paths to targets."""

from __future__ import annotations

import random
import unittest

from mangotally.policy import path_checks, relay_choice


class PathChecksTest(unittest.TestCase):
    """A check decides; its result is trusted for a moment only."""

    def setUp(self) -> None:
        self.checks = path_checks.PathChecks()

    def test_a_failure_is_a_reason_for_a_check(self) -> None:
        self.assertTrue(self.checks.needs_check(0.0))

    def test_failures_within_a_moment_share_a_check(self) -> None:
        self.checks.record_check(is_any_reached=True, now_ms=0.0)
        self.assertFalse(self.checks.needs_check(path_checks.MAX_AGE_MS - 1))
        self.assertTrue(self.checks.needs_check(path_checks.MAX_AGE_MS))

    def test_changes_are_reported_once(self) -> None:
        self.assertFalse(self.checks.record_check(True, 0.0))
        self.assertTrue(self.checks.record_check(False, 1.0))
        self.assertTrue(self.checks.is_cut_off)
        self.assertFalse(self.checks.record_check(False, 2.0))
        self.assertTrue(self.checks.record_check(True, 3.0))
        self.assertFalse(self.checks.is_cut_off)

    def test_failures_while_cut_off_cause_no_checks(self) -> None:
        self.checks.record_check(is_any_reached=False, now_ms=0.0)
        self.assertFalse(self.checks.needs_check(10_000.0))

    def test_an_answer_ends_the_silence(self) -> None:
        self.assertTrue(self.checks.is_silent_since(10.0))
        self.checks.record_answer(20.0)
        self.assertFalse(self.checks.is_silent_since(10.0))
        self.assertTrue(self.checks.is_silent_since(21.0))


class RelayChoiceTest(unittest.TestCase):
    """Load: most hosts lose their paths at the same moment."""

    def test_able_hosts_come_first_and_unable_ones_last(self) -> None:
        choice = relay_choice.RelayChoice()
        choice.record("a", is_able=False, now_ms=0.0)
        choice.record("c", is_able=True, now_ms=0.0)
        self.assertEqual(choice.order(["a", "b", "c"], 1.0), ["c", "b", "a"])

    def test_what_a_host_said_is_forgotten(self) -> None:
        choice = relay_choice.RelayChoice()
        choice.record("a", is_able=False, now_ms=0.0)
        now_ms = relay_choice.MEMORY_MS
        self.assertEqual(choice.order(["a", "b"], now_ms), ["a", "b"])

    def test_the_able_hosts_among_many_are_found_soon(self) -> None:
        rng = random.Random(1)
        addresses = [str(number) for number in range(24)]
        able = frozenset(addresses[:10])
        choice = relay_choice.RelayChoice()
        asked_per_request = []
        for now_ms in range(0, 2000, 100):
            rng.shuffle(addresses)
            asked = 0
            for address in choice.order(addresses, float(now_ms)):
                asked += 1
                choice.record(address, address in able, float(now_ms))
                if address in able:
                    break
            asked_per_request.append(asked)
        self.assertLess(asked_per_request[0], len(addresses))
        self.assertEqual(set(asked_per_request[1:]), {1})
