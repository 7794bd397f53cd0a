"""Tests of the weight store client and of its rate limit."""

from __future__ import annotations

import unittest
from typing import Any, cast

from returns import result

from mangotally import errors
from mangotally.engines import channels as channels_lib
from mangotally.homes import weights as weight_home
from mangotally.hosts import messages
from mangotally.policy import lease
from mangotally.standins import weights
from mangotally.util import clock as clock_lib
from mangotally.weights import http


class _Members:
    """Membership in which a test decides whether this host is the home.

    The home is the host that owns the key.
    """

    def __init__(self) -> None:
        self.lease = lease.Lease(100_000)
        self.lease.renew(0)
        self.is_home_here = True
        self.change: Any = None

    def is_home(self, key: str) -> bool:
        return self.is_home_here

    def on_change(self, listener: Any) -> None:
        self.change = listener


class WeightsTest(unittest.IsolatedAsyncioTestCase):
    """A store with a rate limit of two fetches per second."""

    async def asyncSetUp(self) -> None:
        self.store = weights.WeightsStandIn()
        await self.enterAsyncContext(self.store)
        channels = channels_lib.Channels()
        await self.enterAsyncContext(channels)
        self.client = http.HttpWeightStore(channels, self.store.url)
        self.clock = clock_lib.ManualClock()
        self.members = _Members()
        self.home = weight_home.WeightHome(
            cast("Any", self.members), self.client, 2.0, self.clock
        )

    async def _fetch(self) -> errors.Reason | None:
        outcome = await self.home.fetch(messages.FetchWeights("model/m/v1"))
        if isinstance(outcome, result.Success):
            return None
        return outcome.failure().reason

    async def test_adapter(self) -> None:
        """The client returns the size, or a failure with `retry_after_ms`."""
        first = await self.client.fetch("model/m/v1")
        self.assertEqual(first, result.Success(weights.FETCH_BYTES))
        second = await self.client.fetch("model/m/v1")
        self.assertEqual(second.failure().retry_after_ms, 1000)
        self.store.faults.down = True
        third = await self.client.fetch("model/m/v1")
        self.assertIs(third.failure().reason, errors.Reason.UNAVAILABLE)

    async def test_rate(self) -> None:
        """Fetches stay within the rate limit, also after a change of home."""
        self.assertIs(await self._fetch(), errors.Reason.OVER_RATE)
        self.clock.advance(500)
        self.assertIsNone(await self._fetch())
        self.assertIs(await self._fetch(), errors.Reason.OVER_RATE)
        self.members.is_home_here = False
        self.members.change()
        self.assertIs(await self._fetch(), errors.Reason.MOVED)
        self.clock.advance(400)
        self.members.is_home_here = True
        self.assertIs(await self._fetch(), errors.Reason.OVER_RATE)
        self.assertEqual(self.store.fetched, ["model/m/v1"])

    async def test_without_lease(self) -> None:
        """A home fetches nothing after its lease has expired."""
        self.clock.advance(500)
        self.members.lease.lapse()
        self.assertIs(await self._fetch(), errors.Reason.MOVED)
        self.assertEqual(self.store.fetched, [])
