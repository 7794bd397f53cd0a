"""Tests of rate limits while no home responds."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, cast

from mangotally import ids
from mangotally.entry import homes, model, rate_home, rates
from mangotally.util import clock as clock_lib

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
