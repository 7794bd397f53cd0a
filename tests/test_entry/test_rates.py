"""Rates while no home answers."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, cast

from mangotally import ids
from mangotally.entry import homes, model, rates
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import configuration_cache, peers

HOSTS = 114
PARTITIONS = 24
BOUNDS = rates.Bounds(window_ms=5000.0, overshoot=0.1, slack=20.0)
# Its part for each of 24 hosts is a few calls.
ORGANISATION = model.Organisation(
    ids.OrganisationId("o"), frozenset(), None, 2000.0, 2000.0
)


def _host(number: int) -> homes.HostAddress:
    return homes.HostAddress(
        ids.HostId(f"h{number}"), f"10.0.0.{number}:1", ids.FailureDomainId("z")
    )


class _Homes:
    """What a host knows when each partition has another owner."""

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
    """Links that reach no home."""

    def home_address(self, _homes: object, _key: str) -> str | None:
        return None


def _rates(number: int, clock: clock_lib.Clock) -> rates.Rates:
    known = cast("homes.Homes", _Homes(number))
    home = rates.RateHome(
        known,
        cast("configuration_cache.ConfigurationCache", None),
        BOUNDS,
        clock,
    )
    links = cast("peers.PeerClient", _Links())
    return rates.Rates(home, known, links, BOUNDS, clock)


class AloneTest(unittest.IsolatedAsyncioTestCase):
    """Nobody knows the number of hosts, only that of partitions."""

    async def _admitted(self, host: rates.Rates) -> int:
        """Returns what a host admits until it refuses."""
        count = 0
        while isinstance(
            await host.admit(ORGANISATION, "", "call"), rates.Admitted
        ):
            count += 1
        return count

    async def test_more_hosts_than_partitions_admit_no_more(self) -> None:
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
