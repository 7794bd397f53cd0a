"""Tests of rate limits while no home responds, or a home moves."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, cast

from mangotally import ids
from mangotally.entry import entry_pb2, homes, model, rate_home, rates
from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.entry_fleet import LOOKUP

if TYPE_CHECKING:
    from mangotally.entry import configuration_cache, peers

HOSTS = 114
PARTITIONS = 24
BOUNDS = rate_home.Bounds(window_ms=5000.0, overshoot=0.1, slack=20.0)
# Its rate is high enough that the local limit of each of the 24 homes (the
# hosts that own a partition) is a few calls.
ORGANISATION = model.Organisation(
    ids.OrganisationId("o"), frozenset(), None, 2000.0, 2000.0
)


def _host(number: int) -> homes.HostAddress:
    return homes.HostAddress(
        ids.HostId(f"h{number}"), f"10.0.0.{number}:1", ids.FailureDomainId("z")
    )


class _Homes:
    """View of one host if each partition has a different home."""

    max_homes = PARTITIONS

    def __init__(self, number: int) -> None:
        self._number = number

    @property
    def is_home(self) -> bool:
        return self._number < PARTITIONS

    def home_of(self, _key: str) -> homes.HostAddress | None:
        return None

    def owned_since_ms(self, _key: str) -> float | None:
        return None

    def others(self) -> list[homes.HostAddress]:
        return [
            _host(each) for each in range(PARTITIONS) if each != self._number
        ]


class _Links:
    """Connections without any reachable home."""

    def home_address(self, _homes: object, _key: str) -> str | None:
        return None


def _rates(number: int, clock: clock_lib.Clock) -> rates.Rates:
    home_view = cast("homes.Homes", _Homes(number))
    local = rate_home.RateHome(
        "10.0.0.1:1",
        home_view,
        cast("peers.PeerClient", None),
        cast("configuration_cache.ConfigurationCache", None),
        BOUNDS,
        clock,
    )
    links = cast("peers.PeerClient", _Links())
    return rates.Rates(local, home_view, links, BOUNDS, clock)


class LocalLimitTest(unittest.IsolatedAsyncioTestCase):
    """Hosts know the number of partitions, but not the number of hosts."""

    async def _admitted(self, host: rates.Rates) -> int:
        """Returns the number of calls that a host admits before refusing."""
        count = 0
        while isinstance(
            await host.admit(ORGANISATION, "", "call", 1000.0), rates.Admitted
        ):
            count += 1
        return count

    async def test_more_hosts_than_partitions_stay_within_limit(self) -> None:
        clock = clock_lib.ManualClock()
        admitted = [
            await self._admitted(_rates(number, clock))
            for number in range(HOSTS)
        ]
        self.assertGreater(admitted[0], 0)
        self.assertLessEqual(
            sum(admitted),
            BOUNDS.tolerance(ORGANISATION) * rates.LOCAL_TOLERANCE,
        )


class _MovedHome:
    """A home that has moved from one host to another.

    Attributes:
        address: Address of the host that asks.
        asked: Addresses that were asked, in order.
    """

    OLD = "10.0.0.1:1"
    NEW = "10.0.0.2:1"

    def __init__(self, address: str, known: str) -> None:
        self.address = address
        self.asked: list[str] = []
        self._known = known

    def home_address(self, _homes: object, _key: str) -> str | None:
        return self._known

    def is_available(self, _address: str) -> bool:
        return True

    async def take_tokens(
        self, address: str, _request: entry_pb2.TakeRequest, _timeout_ms: float
    ) -> entry_pb2.TakeReply:
        self.asked.append(address)
        if address == self.NEW:
            return entry_pb2.TakeReply(outcome=entry_pb2.TakeReply.ADMITTED)
        return entry_pb2.TakeReply(moved_to=self.NEW)

    async def take(
        self, _key: str, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        """Answers for the host that asks."""
        return await self.take_tokens(self.address, request, 0.0)


class MovedHomeTest(unittest.IsolatedAsyncioTestCase):
    """A call follows a home that has moved."""

    async def _admit(self, address: str, known: str) -> list[str]:
        """Returns the hosts that were asked.

        Args:
            address: The host of the call.
            known: The host that it takes for the home.
        """
        moved = _MovedHome(address, known)
        host = rates.Rates(
            cast("rate_home.RateHome", moved),
            cast("homes.Homes", _Homes(0)),
            cast("peers.PeerClient", moved),
            BOUNDS,
            clock_lib.ManualClock(),
        )
        admitted = await host.admit(ORGANISATION, "", "call", 1000.0)
        assert isinstance(admitted, rates.Admitted), admitted
        self.assertEqual(admitted.source, "home")
        return moved.asked

    async def test_another_host(self) -> None:
        asked = await self._admit("10.0.0.9:1", _MovedHome.OLD)
        self.assertEqual(asked, [_MovedHome.OLD, _MovedHome.NEW])

    async def test_this_host_is_the_new_home(self) -> None:
        asked = await self._admit(_MovedHome.NEW, _MovedHome.OLD)
        self.assertEqual(asked, [_MovedHome.OLD, _MovedHome.NEW])

    async def test_the_known_home_has_not_moved(self) -> None:
        asked = await self._admit("10.0.0.9:1", _MovedHome.NEW)
        self.assertEqual(asked, [_MovedHome.NEW])


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """A bucket moves between hosts as one of them stops."""

    async def test_the_next_home_takes_the_bucket_over(self) -> None:
        async with entry_fleet.EntryFleet() as fleet:
            configuration = entry_fleet.configuration(2)
            for organisation in configuration["Tenants"]:
                organisation |= {"RatePerS": 50.0, "Burst": 50.0}
            fleet.store.put("keyed.op", "config", configuration)
            await asyncio.sleep(1.0)
            key = rates.home_key(ids.OrganisationId(entry_fleet.ORGANISATION))
            stopped = next(
                number
                for number, host in enumerate(fleet.hosts)
                if host._member.owned_since_ms(key) is not None
            )
            for _ in range(3):
                status, _, _ = await fleet.call(LOOKUP, host=stopped)
                self.assertEqual(status, 200)
            stopping = asyncio.create_task(fleet.stop_host(stopped))
            other = fleet.hosts[1 - stopped]
            await entry_fleet.wait_for(
                lambda: other._member.owned_since_ms(key) is not None
            )
            with self.assertLogs("mangotally.entry.rate_home") as logs:
                await fleet.call(LOOKUP, host=1 - stopped)
            await stopping
        outcomes = [
            getattr(record, "outcome", "")
            for record in logs.records
            if record.msg == "rate_taken_over"
            and getattr(record, "key", "") == key
        ]
        self.assertEqual(outcomes, ["given"])
