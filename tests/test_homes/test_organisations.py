"""Tests of mangotally.homes.organisations and mangotally.homes.admission.

The home of an organisation is the host that owns its key.
"""

from __future__ import annotations

import asyncio
import unittest

from returns import result

from mangotally import errors
from mangotally.util import clock as clock_lib
from tests.test_homes import fleet as fleet_lib


def admitted(outcomes: list[errors.Outcome[None]]) -> int:
    """Returns how many calls were admitted."""
    return sum(isinstance(item, result.Success) for item in outcomes)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """A change of the home preserves the bucket."""

    async def test_fleet_shares_one_bucket(self) -> None:
        """All hosts together admit no more than the burst."""
        async with fleet_lib.Fleet(3) as fleet:
            outcomes = []
            for host in fleet.hosts.values():
                outcomes += await fleet.admit(host, 3)
            self.assertEqual(admitted(outcomes), 6)
            self.assertIs(
                outcomes[-1].failure().reason, errors.Reason.OVER_RATE
            )

    async def test_leaving_home_bequeaths_its_bucket(self) -> None:
        """After a graceful leave the new home admits what remained."""
        async with fleet_lib.Fleet(3) as fleet:
            first = await fleet.admit(fleet.other(), 4)
            await fleet.leave(fleet.home())
            rest = await fleet.admit(fleet.other(), 3)
            self.assertEqual(admitted(first + rest[:2]), 6)
            self.assertIs(rest[2].failure().reason, errors.Reason.OVER_RATE)

    async def test_joining_home_receives_the_bucket(self) -> None:
        """When a join moves the key, the bucket moves without a delay."""
        async with fleet_lib.Fleet(1) as fleet:
            first = await fleet.admit(fleet.home(), 4)
            for number in range(1, 5):
                await fleet.start(f"h{number}")
            self.assertNotEqual(fleet.home().name, "h0")
            rest = await fleet.admit(fleet.other(), 3)
            self.assertEqual(admitted(first + rest[:2]), 6)
            self.assertIs(rest[2].failure().reason, errors.Reason.OVER_RATE)

    async def test_crash_of_the_home_delays_and_does_not_refuse(self) -> None:
        """Calls within the rate are delayed until the new home is exclusive."""
        async with fleet_lib.Fleet(3, rate_per_s=20, burst=20) as fleet:
            entry = fleet.other()
            self.assertEqual(admitted(await fleet.admit(entry, 2)), 2)
            await fleet.crash(fleet.home())
            self.assertEqual(admitted(await fleet.admit(entry, 3)), 3)

    async def test_home_cut_off_from_the_log_grants_nothing(self) -> None:
        """Its lease expires although callers still reach it."""
        async with fleet_lib.Fleet(2, rate_per_s=20, burst=20) as fleet:
            home, entry = fleet.home(), fleet.other()
            self.assertEqual(admitted(await fleet.admit(entry, 1)), 1)
            evicted = asyncio.Event()
            entry.members.on_change(evicted.set)
            fleet.log.disconnected_hosts.add(home.name)
            await evicted.wait()
            now_ms = clock_lib.SystemClock().now_ms()
            self.assertFalse(home.members.lease.is_valid(now_ms))
            self.assertEqual(admitted(await fleet.admit(entry, 1)), 1)

    async def test_cut_off_home_continues_through_a_relay(self) -> None:
        """Heartbeats and reads relayed by a peer renew its lease."""
        async with fleet_lib.Fleet(
            3, rate_per_s=20, burst=20, relayed=True
        ) as fleet:
            home = fleet.home()
            fleet.log.disconnected_hosts.add(home.name)
            lease = home.members.lease
            wanted_ms = lease.expires_ms + 1000
            async with fleet.log.changed:
                await fleet.log.changed.wait_for(
                    lambda: lease.expires_ms >= wanted_ms
                )
            self.assertIs(fleet.home(), home)
            self.assertGreater(fleet.sent["RelayAppend"], 0)
            self.assertGreater(fleet.sent["RelayRead"], 0)
            self.assertEqual(admitted(await fleet.admit(home, 1)), 1)


class BatchTest(unittest.IsolatedAsyncioTestCase):
    """Busy hosts prefetch tokens in batches."""

    async def test_busy_host_sends_few_requests(self) -> None:
        """Most calls use a prefetched token of the host that they reach."""
        async with fleet_lib.Fleet(2, rate_per_s=1000, burst=2000) as fleet:
            outcomes = await fleet.admit(fleet.other(), 400)
            self.assertEqual(admitted(outcomes), 400)
            self.assertLess(fleet.sent["TakeTokens"], 100)


if __name__ == "__main__":
    unittest.main()
