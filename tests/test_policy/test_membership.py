"""Tests of leases, incarnations and evictions."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import membership, records, view
from tests.test_policy import fleet as fleet_lib

LEASE_MS = fleet_lib.TIMES.lease_ms
PLACE = ids.FailureDomainId("p")


def make_state(name: str = "a") -> membership.MembershipState:
    """Returns the state of a host that has read an empty stream to its end."""
    local_host = membership.LocalHost(ids.HostId(name), f"{name}:1", PLACE)
    state = membership.MembershipState(local_host, fleet_lib.TIMES)
    state.ownership.complete = True
    return state


def heartbeat(name: str, incarnation: int = 1) -> records.Heartbeat:
    """Returns a heartbeat of another host."""
    return records.Heartbeat(ids.HostId(name), incarnation, "x:1", PLACE)


class LeaseTest(unittest.TestCase):
    """When a host holds a lease."""

    def setUp(self) -> None:
        self.state = make_state()
        found = self.state.heartbeat(wall_ms=1)
        assert found is not None
        self.own_heartbeat = found

    def renew(self, sent_ms: float, offset: int, now_ms: float) -> bool:
        return self.state.renew_lease(
            self.own_heartbeat, sent_ms, ids.Offset(offset), now_ms
        )

    def test_lease_starts_when_the_heartbeat_is_sent(self) -> None:
        """A late acknowledgement does not extend the lease."""
        self.state.apply(self.own_heartbeat, ids.Offset(0), 2000)
        self.assertTrue(self.renew(0, 0, 2000))
        self.assertTrue(self.state.holds_lease(LEASE_MS - 1))
        self.assertFalse(self.state.holds_lease(LEASE_MS))

    def test_lease_requires_reading_the_stream(self) -> None:
        """An acknowledgement alone gives no lease.

        Until the stream is read past the heartbeat, members that joined
        before it may be unknown.
        """
        self.state.apply(self.own_heartbeat, ids.Offset(0), 0)
        self.assertFalse(self.renew(0, 1, 10))
        self.assertFalse(self.state.holds_lease(10))

    def test_evicted_host_joins_again(self) -> None:
        """An eviction ends the lease; the next incarnation is higher."""
        self.state.apply(self.own_heartbeat, ids.Offset(0), 0)
        self.renew(0, 0, 0)
        evict = records.Evict(
            self.state.local_host.host,
            self.own_heartbeat.incarnation,
            ids.Offset(0),
        )
        self.state.apply(evict, ids.Offset(1), 10)
        self.assertFalse(self.state.holds_lease(10))
        again = self.state.heartbeat(wall_ms=0)
        assert again is not None
        self.assertGreater(again.incarnation, self.own_heartbeat.incarnation)
        self.assertFalse(self.renew(5, 1, 20))

    def test_process_is_superseded_by_its_successor(self) -> None:
        """A process whose host id was taken over sends no more heartbeats."""
        self.state.apply(self.own_heartbeat, ids.Offset(0), 0)
        self.renew(0, 0, 0)
        newer = heartbeat("a", self.own_heartbeat.incarnation + 5)
        self.state.apply(newer, ids.Offset(1), 10)
        self.assertFalse(self.state.holds_lease(10))
        self.assertIsNone(self.state.heartbeat(wall_ms=99))

    def test_claims_restart_after_a_long_outage(self) -> None:
        """After a long time without a lease, claims wait for a full lease."""
        self.state.apply(self.own_heartbeat, ids.Offset(0), 0)
        self.renew(0, 0, 0)
        late_ms = fleet_lib.TIMES.outage_ms + 2 * LEASE_MS
        self.state.apply(self.own_heartbeat, ids.Offset(1), late_ms)
        self.renew(late_ms, 1, late_ms)
        claim = self.state.ownership.claim("organisation/x")
        assert claim is not None
        self.assertGreaterEqual(claim.exclusive_from_ms, late_ms + LEASE_MS)


class EvictionTest(unittest.TestCase):
    """Which members are evicted, and when an eviction is ignored."""

    def setUp(self) -> None:
        self.state = make_state()
        self.state.apply(heartbeat("b"), ids.Offset(0), 0)
        self.state.mark_caught_up(0)

    def read_until(self, end_ms: int) -> None:
        for now_ms in range(0, end_ms, 500):
            self.state.mark_caught_up(now_ms)

    def test_host_without_heartbeats_is_overdue(self) -> None:
        """A host is evicted after its lease has expired, and not before."""
        self.read_until(3000)
        self.assertEqual(self.state.overdue_evictions(2900), [])
        self.read_until(4500)
        found = self.state.overdue_evictions(4400)
        self.assertEqual([item.host for item in found], ["b"])

    def test_own_pause_evicts_nobody(self) -> None:
        """A pause of the host or of the log restarts heartbeat timeouts."""
        self.assertEqual(self.state.overdue_evictions(60_000), [])
        self.state.mark_caught_up(60_000)
        self.assertEqual(self.state.overdue_evictions(60_100), [])

    def test_eviction_is_ignored_after_a_heartbeat(self) -> None:
        """An eviction that refers to an older heartbeat has no effect."""
        self.state.apply(heartbeat("b"), ids.Offset(1), 10)
        evict = records.Evict(ids.HostId("b"), 1, ids.Offset(0))
        self.assertFalse(self.state.apply(evict, ids.Offset(2), 20))

    def test_stale_heartbeat_does_not_rejoin(self) -> None:
        """A delayed heartbeat of an evicted incarnation is ignored."""
        evict = records.Evict(ids.HostId("b"), 1, ids.Offset(0))
        self.assertTrue(self.state.apply(evict, ids.Offset(1), 10))
        self.assertFalse(self.state.apply(heartbeat("b"), ids.Offset(2), 20))


class WindowTest(unittest.TestCase):
    """The view is a function of the end of the stream."""

    def test_reader_of_the_end_knows_the_same_members(self) -> None:
        """A member expires at the same record for all readers."""
        names = ["a"] + ["b", "c"] * 8
        full, end = view.View(window=10), view.View(window=10)
        for offset, name in enumerate(names):
            full.apply(heartbeat(name), ids.Offset(offset))
            if offset >= len(names) - 11:
                end.apply(heartbeat(name), ids.Offset(offset))
        self.assertEqual(full.hosts(), ["b", "c"])
        self.assertEqual(end.hosts(), full.hosts())


if __name__ == "__main__":
    unittest.main()
