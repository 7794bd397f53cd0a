"""Which hosts are homes, by their capacity."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import candidacy

STRONG = 2.15
WEAK = 0.361


def _owners(strong: int, weak: int = 0) -> dict[ids.HostId, float]:
    found = {ids.HostId(f"s{number}"): STRONG for number in range(strong)}
    found |= {ids.HostId(f"w{number}"): WEAK for number in range(weak)}
    return found


class _CandidateCase(unittest.TestCase):
    """A host that takes part, or not."""

    def setUp(self) -> None:
        self.now_ms = 0.0
        self.is_member = False
        self.is_isolated = False
        self.weak = self._candidate("w0", WEAK)

    def _candidate(self, name: str, capacity: float) -> candidacy.Candidacy:
        return candidacy.Candidacy(ids.HostId(name), capacity, jitter=0.5)

    def _decide(
        self, found: candidacy.Candidacy, owners: dict[ids.HostId, float]
    ) -> candidacy.Reason:
        view = candidacy.GroupView(owners, self.is_member, self.is_isolated)
        decision = found.decide(view, self.now_ms)
        self.is_member = decision.is_member
        return decision.reason


class CandidacyTest(_CandidateCase):
    """Weak hosts are homes only while strong ones are too few."""

    def test_a_strong_host_is_the_first_at_once(self) -> None:
        self._decide(self._candidate("s0", STRONG), {})
        self.assertTrue(self.is_member)

    def test_a_weak_host_waits_for_stronger_ones(self) -> None:
        self._decide(self.weak, {})
        self.assertFalse(self.is_member)
        self.now_ms = candidacy.MAX_FIRST_JOIN_DELAY_MS
        self._decide(self.weak, _owners(strong=3))
        self.assertFalse(self.is_member)

    def test_a_weak_host_waits_for_the_keys_to_be_dealt(self) -> None:
        # The first home holds all keys until it joins again.
        self._decide(self.weak, _owners(strong=1))
        self.assertFalse(self.is_member)
        self.now_ms = 1000.0
        self._decide(self.weak, _owners(strong=16))
        self.assertFalse(self.is_member)

    def test_a_weak_host_is_the_first_if_no_other_comes(self) -> None:
        self._decide(self.weak, {})
        self.now_ms = candidacy.FIRST_JOIN_DELAY_MS / WEAK
        self._decide(self.weak, {})
        self.assertTrue(self.is_member)

    def test_hosts_of_equal_capacity_are_all_homes(self) -> None:
        for capacity in (STRONG, WEAK):
            self.is_member, self.now_ms = False, 0.0
            found = self._candidate("new", capacity)
            owners = dict.fromkeys(_owners(24), capacity)
            self._decide(found, owners)
            for time_ms in range(2000, 60_000, 500):
                self.now_ms = time_ms
                self._decide(found, owners)
                self.assertTrue(self.is_member)

    def test_a_host_that_restarts_keeps_its_keys(self) -> None:
        reason = self._decide(self.weak, _owners(strong=16, weak=1))
        self.assertTrue(self.is_member)
        self.assertIs(reason, candidacy.Reason.RESTARTED)

    def test_a_host_that_left_is_not_drawn_in_by_an_old_list(self) -> None:
        owners = _owners(strong=16, weak=1)
        self._decide(self.weak, owners)
        self._decide(self.weak, owners)
        self.now_ms = candidacy.LEAVE_HOLD_MS + candidacy.LEAVE_JITTER_MS
        self._decide(self.weak, owners)
        self.assertFalse(self.is_member)
        self._decide(self.weak, owners)
        self.assertFalse(self.is_member)

    def test_a_short_reason_to_leave_moves_nothing(self) -> None:
        self.is_member = True
        self._decide(self.weak, _owners(strong=16, weak=1))
        self.now_ms = candidacy.LEAVE_HOLD_MS
        self._decide(self.weak, _owners(strong=1, weak=1))
        self.now_ms += candidacy.LEAVE_HOLD_MS
        self._decide(self.weak, _owners(strong=16, weak=1))
        self.assertTrue(self.is_member)

    def test_weak_hosts_step_in_for_the_last_strong_ones(self) -> None:
        self._decide(self.weak, _owners(strong=16))
        self._decide(self.weak, _owners(strong=2))
        self.assertFalse(self.is_member)
        self.now_ms = candidacy.JOIN_JITTER_MS
        self._decide(self.weak, _owners(strong=2))
        self.assertTrue(self.is_member)

    def test_few_hosts_that_are_little_stronger_are_not_enough(self) -> None:
        owners = dict.fromkeys(_owners(3), candidacy.STRONGER_FACTOR * WEAK)
        self._decide(self.weak, owners)
        self.now_ms = candidacy.MAX_FIRST_JOIN_DELAY_MS
        self._decide(self.weak, owners)
        self.assertTrue(self.is_member)

    def test_one_home_that_comes_and_goes_moves_no_other(self) -> None:
        just_enough = candidacy.LEAVE_CAPACITY_FACTOR * WEAK / 4
        four = dict.fromkeys(_owners(4), just_enough)
        three = dict.fromkeys(_owners(3), just_enough)
        self._decide(self.weak, four)
        for time_ms in range(0, 60_000, 5000):
            self.now_ms = time_ms
            self._decide(self.weak, three)
            self.assertFalse(self.is_member)
            self._decide(self.weak, four)
            self.assertFalse(self.is_member)


class IsolatedTest(_CandidateCase):
    """A host that no other answers is cut off, or all homes are gone."""

    def setUp(self) -> None:
        super().setUp()
        self.found = self._candidate("w0", WEAK)
        self._decide(self.found, _owners(strong=16))
        self.is_isolated = True

    def _wait_for_trial(self, owners: dict[ids.HostId, float]) -> float:
        """Returns how long the host stays out."""
        begin_ms = self.now_ms
        while not self.is_member:
            self._decide(self.found, owners)
            self.now_ms += 100.0
            self.assertLess(self.now_ms, 1_000_000.0)
        return self.now_ms - begin_ms

    def test_a_member_leaves_at_once(self) -> None:
        self.is_member = True
        self._decide(self.found, _owners(strong=16, weak=1))
        self.assertFalse(self.is_member)

    def test_steps_in_when_the_silent_homes_are_gone(self) -> None:
        self._wait_for_trial(_owners(strong=16))
        self._decide(self.found, _owners(strong=0, weak=5))
        self.assertTrue(self.is_member)
        self.is_isolated = False
        self._decide(self.found, _owners(strong=0, weak=5))
        self.assertTrue(self.is_member)

    def test_leaves_while_the_silent_homes_hold_keys(self) -> None:
        self._wait_for_trial(_owners(strong=16))
        self._decide(self.found, _owners(strong=16, weak=1))
        self.assertFalse(self.is_member)

    def test_leaves_if_the_new_homes_are_silent_too(self) -> None:
        self._wait_for_trial(_owners(strong=16))
        for _ in range(20):
            self._decide(self.found, _owners(strong=0, weak=5))
            self.now_ms += 100.0
        self.assertFalse(self.is_member)

    def test_trials_become_rare(self) -> None:
        waits = []
        for _ in range(8):
            waits.append(self._wait_for_trial(_owners(strong=16)))
            self._decide(self.found, _owners(strong=16, weak=1))
        self.assertEqual(waits, sorted(waits))
        self.assertGreaterEqual(waits[-1], candidacy.MAX_TRIAL_BACKOFF_MS)
