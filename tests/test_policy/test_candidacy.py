"""Tests of mangotally.policy.candidacy: which hosts join as homes."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import candidacy

STRONG = 2.15
WEAK = 0.361


def _owners(strong: int, weak: int = 0) -> dict[ids.HostId, float]:
    owners = {ids.HostId(f"s{number}"): STRONG for number in range(strong)}
    owners |= {ids.HostId(f"w{number}"): WEAK for number in range(weak)}
    return owners


class _CandidateCase(unittest.TestCase):
    """Base class: one host that decides repeatedly whether to be a member."""

    def setUp(self) -> None:
        self.now_ms = 0.0
        self.is_member = False
        self.is_isolated = False
        self.weak = self._candidate("w0", WEAK)

    def _candidate(self, name: str, capacity: float) -> candidacy.Candidacy:
        return candidacy.Candidacy(ids.HostId(name), capacity, jitter=0.5)

    def _decide(
        self, candidate: candidacy.Candidacy, owners: dict[ids.HostId, float]
    ) -> candidacy.Reason:
        view = candidacy.GroupView(owners, self.is_member, self.is_isolated)
        decision = candidate.decide(view, self.now_ms)
        self.is_member = decision.is_member
        return decision.reason


class CandidacyTest(_CandidateCase):
    """Weak hosts are homes only while there are too few strong ones."""

    def test_a_strong_host_joins_an_empty_group_at_once(self) -> None:
        self._decide(self._candidate("s0", STRONG), {})
        self.assertTrue(self.is_member)

    def test_a_weak_host_waits_for_stronger_ones(self) -> None:
        self._decide(self.weak, {})
        self.assertFalse(self.is_member)
        self.now_ms = candidacy.MAX_FIRST_JOIN_DELAY_MS
        self._decide(self.weak, _owners(strong=3))
        self.assertFalse(self.is_member)

    def test_a_weak_host_waits_until_keys_are_assigned(self) -> None:
        # The first home owns all keys until the other hosts have joined.
        self._decide(self.weak, _owners(strong=1))
        self.assertFalse(self.is_member)
        self.now_ms = 1000.0
        self._decide(self.weak, _owners(strong=16))
        self.assertFalse(self.is_member)

    def test_a_weak_host_joins_if_no_other_host_does(self) -> None:
        self._decide(self.weak, {})
        self.now_ms = candidacy.FIRST_JOIN_DELAY_MS / WEAK
        self._decide(self.weak, {})
        self.assertTrue(self.is_member)

    def test_hosts_of_equal_capacity_are_all_homes(self) -> None:
        for capacity in (STRONG, WEAK):
            self.is_member, self.now_ms = False, 0.0
            candidate = self._candidate("new", capacity)
            owners = dict.fromkeys(_owners(24), capacity)
            self._decide(candidate, owners)
            for time_ms in range(2000, 60_000, 500):
                self.now_ms = time_ms
                self._decide(candidate, owners)
                self.assertTrue(self.is_member)

    def test_a_host_that_restarts_keeps_its_keys(self) -> None:
        reason = self._decide(self.weak, _owners(strong=16, weak=1))
        self.assertTrue(self.is_member)
        self.assertIs(reason, candidacy.Reason.RESTARTED)

    def test_a_host_that_left_does_not_rejoin_by_a_stale_list(self) -> None:
        owners = _owners(strong=16, weak=1)
        self._decide(self.weak, owners)
        self._decide(self.weak, owners)
        self.now_ms = candidacy.LEAVE_HOLD_MS + candidacy.LEAVE_JITTER_MS
        self._decide(self.weak, owners)
        self.assertFalse(self.is_member)
        self._decide(self.weak, owners)
        self.assertFalse(self.is_member)

    def test_a_brief_reason_to_leave_is_ignored(self) -> None:
        self.is_member = True
        self._decide(self.weak, _owners(strong=16, weak=1))
        self.now_ms = candidacy.LEAVE_HOLD_MS
        self._decide(self.weak, _owners(strong=1, weak=1))
        self.now_ms += candidacy.LEAVE_HOLD_MS
        self._decide(self.weak, _owners(strong=16, weak=1))
        self.assertTrue(self.is_member)

    def test_weak_hosts_join_if_too_few_strong_ones_remain(self) -> None:
        self._decide(self.weak, _owners(strong=16))
        self._decide(self.weak, _owners(strong=2))
        self.assertFalse(self.is_member)
        self.now_ms = candidacy.JOIN_JITTER_MS
        self._decide(self.weak, _owners(strong=2))
        self.assertTrue(self.is_member)

    def test_few_slightly_stronger_hosts_are_not_enough(self) -> None:
        owners = dict.fromkeys(_owners(3), candidacy.STRONGER_FACTOR * WEAK)
        self._decide(self.weak, owners)
        self.now_ms = candidacy.MAX_FIRST_JOIN_DELAY_MS
        self._decide(self.weak, owners)
        self.assertTrue(self.is_member)

    def test_a_flapping_home_does_not_make_others_join(self) -> None:
        owner_capacity = candidacy.LEAVE_CAPACITY_FACTOR * WEAK / 4
        four = dict.fromkeys(_owners(4), owner_capacity)
        three = dict.fromkeys(_owners(3), owner_capacity)
        self._decide(self.weak, four)
        for time_ms in range(0, 60_000, 5000):
            self.now_ms = time_ms
            self._decide(self.weak, three)
            self.assertFalse(self.is_member)
            self._decide(self.weak, four)
            self.assertFalse(self.is_member)


class AllHostsLostTest(unittest.TestCase):
    """Simulates hosts that start again together; their keys have expired.

    A host starts after a time that is inverse to its capacity.
    """

    START_MS = 1000.0
    STEP_MS = 50.0

    def _simulate(
        self, capacities: list[float], end_ms: float
    ) -> tuple[float, dict[ids.HostId, float]]:
        """Returns when the first host owned keys, and who does at the end."""
        hosts = {
            ids.HostId(f"h{number}"): capacity
            for number, capacity in enumerate(capacities)
        }
        candidates = {
            host: candidacy.Candidacy(host, capacity, jitter=0.5)
            for host, capacity in hosts.items()
        }
        owners: dict[ids.HostId, float] = {}
        first_ms, now_ms = -1.0, 0.0
        while now_ms < end_ms:
            known = dict(owners)
            for host, candidate in candidates.items():
                if now_ms < self.START_MS / hosts[host]:
                    continue
                view = candidacy.GroupView(known, host in known, False)
                if candidate.decide(view, now_ms).is_member:
                    owners[host] = hosts[host]
                else:
                    owners.pop(host, None)
            if owners and first_ms < 0:
                first_ms = now_ms
            now_ms += self.STEP_MS
        return first_ms, owners

    def test_equal_weak_hosts_do_not_wait_for_stronger_ones(self) -> None:
        started_ms = self.START_MS / 0.12
        first_ms, owners = self._simulate([0.12] * 20, started_ms + 2000.0)
        self.assertLessEqual(first_ms, started_ms + 300.0)
        self.assertEqual(len(owners), 20)

    def test_weak_hosts_leave_the_keys_to_strong_ones(self) -> None:
        first_ms, owners = self._simulate([STRONG] * 16 + [WEAK] * 60, 10_000.0)
        self.assertLessEqual(first_ms, self.START_MS / STRONG + 100.0)
        self.assertEqual(set(owners.values()), {STRONG})


class IsolatedTest(_CandidateCase):
    """A host that no other responds to is isolated, or all homes failed."""

    def setUp(self) -> None:
        super().setUp()
        self.candidate = self._candidate("w0", WEAK)
        self._decide(self.candidate, _owners(strong=16))
        self.is_isolated = True

    def _wait_for_trial(self, owners: dict[ids.HostId, float]) -> float:
        """Returns how long the host stays out."""
        start_ms = self.now_ms
        while not self.is_member:
            self._decide(self.candidate, owners)
            self.now_ms += 100.0
            self.assertLess(self.now_ms, 1_000_000.0)
        return self.now_ms - start_ms

    def test_a_member_leaves_at_once(self) -> None:
        self.is_member = True
        self._decide(self.candidate, _owners(strong=16, weak=1))
        self.assertFalse(self.is_member)

    def test_joins_when_the_unresponsive_homes_are_removed(self) -> None:
        self._wait_for_trial(_owners(strong=16))
        self._decide(self.candidate, _owners(strong=0, weak=5))
        self.assertTrue(self.is_member)
        self.is_isolated = False
        self._decide(self.candidate, _owners(strong=0, weak=5))
        self.assertTrue(self.is_member)

    def test_leaves_while_the_unresponsive_homes_own_keys(self) -> None:
        self._wait_for_trial(_owners(strong=16))
        self._decide(self.candidate, _owners(strong=16, weak=1))
        self.assertFalse(self.is_member)

    def test_leaves_if_the_new_homes_do_not_respond_either(self) -> None:
        self._wait_for_trial(_owners(strong=16))
        for _ in range(20):
            self._decide(self.candidate, _owners(strong=0, weak=5))
            self.now_ms += 100.0
        self.assertFalse(self.is_member)

    def test_trials_back_off(self) -> None:
        waits = []
        for _ in range(8):
            waits.append(self._wait_for_trial(_owners(strong=16)))
            self._decide(self.candidate, _owners(strong=16, weak=1))
        self.assertEqual(waits, sorted(waits))
        self.assertGreaterEqual(waits[-1], candidacy.MAX_TRIAL_BACKOFF_MS)
