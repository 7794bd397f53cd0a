"""Tests of rate limits while the home of an organisation changes."""

from __future__ import annotations

import dataclasses
import itertools
import unittest
from typing import TYPE_CHECKING, cast

from mangotally import ids
from mangotally.entry import entry_pb2, homes, model, rate_home, rates
from mangotally.policy import admission
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import configuration_cache, peers

BOUNDS = rate_home.Bounds(window_ms=5000.0, overshoot=0.1, slack=20.0)
RATE_PER_S = 119.0
ORGANISATION = model.Organisation(
    ids.OrganisationId("o"), frozenset(), None, RATE_PER_S, RATE_PER_S
)
KEY = rates.home_key(ORGANISATION.id)
ALLOWED = BOUNDS.allowed(ORGANISATION) + BOUNDS.tolerance(ORGANISATION)
# Three times the limit.
CALL_GAP_MS = 1000.0 / (3 * RATE_PER_S)
HOT_MS = 8000.0
CHANGE_MS = 2500.0
# A home that is not told of the change learns it when it joins again.
STALE_MS = 900.0


class _Homes:
    """The homes as one host knows them."""

    max_homes = 1
    is_home = True

    def __init__(self, address: str) -> None:
        self.address = address
        self.generation = 0
        self.since_ms: float | None = None
        self.previous: str | None = None

    def owned_since_ms(self, _key: str) -> float | None:
        return self.since_ms

    def previous_home_of(self, _key: str) -> homes.HostAddress | None:
        if self.previous is None:
            return None
        return homes.HostAddress(
            ids.HostId(self.previous),
            self.previous,
            ids.FailureDomainId("z"),
        )


class _Links:
    """Calls between the hosts of a test.

    Attributes:
        lost: Hosts that don't answer.
        answer_ms: How long an answer takes.
        asked: Number of calls.
    """

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.hosts: dict[str, rate_home.RateHome] = {}
        self.lost: set[str] = set()
        self.answer_ms = 0.0
        self.asked = 0
        self._clock = clock

    async def hand_over(
        self,
        address: str,
        request: entry_pb2.HandOverRequest,
        timeout_ms: float,
    ) -> entry_pb2.HandOverReply | None:
        self.asked += 1
        self._clock.advance(min(self.answer_ms, timeout_ms))
        if address in self.lost or self.answer_ms > timeout_ms:
            return None
        return await self.hosts[address].hand_over(request)


@dataclasses.dataclass(frozen=True)
class _Cache:
    """A configuration that does not change."""

    configuration: model.Configuration


class RateHomeTest(unittest.IsolatedAsyncioTestCase):
    """One home at a time admits the calls of an organisation."""

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock(1000.0)
        self.links = _Links(self.clock)
        self.homes: dict[str, _Homes] = {}
        self.generation = 0
        # When the admitted calls ran.
        self.runs_ms: list[float] = []
        for address in ("h0", "h1", "h2"):
            self._add_host(address)

    def _add_host(self, address: str) -> None:
        configuration = model.Configuration(1, (), {}, [ORGANISATION], 100_000)
        self.homes[address] = _Homes(address)
        self.links.hosts[address] = rate_home.RateHome(
            address,
            cast("homes.Homes", self.homes[address]),
            cast("peers.PeerClient", self.links),
            cast(
                "configuration_cache.ConfigurationCache", _Cache(configuration)
            ),
            BOUNDS,
            self.clock,
        )

    def _assign(self, address: str, previous: str | None) -> None:
        """Makes a host the home; the previous one does not know it yet."""
        self.generation += 1
        home = self.homes[address]
        home.generation = self.generation
        home.since_ms = self.clock.now_ms()
        home.previous = previous

    def _revoke(self, address: str) -> None:
        """Tells a host that it is the home no longer."""
        self.homes[address].generation = self.generation
        self.homes[address].since_ms = None

    async def _take(self, address: str) -> entry_pb2.TakeReply:
        request = entry_pb2.TakeRequest(organisation=ORGANISATION.id)
        reply = await self.links.hosts[address].take(KEY, request)
        if reply.outcome == reply.ADMITTED:
            self.runs_ms.append(self.clock.now_ms() + reply.wait_ms)
        return reply

    async def _send_for(self, duration_ms: float, *addresses: str) -> None:
        """Sends three times the limit to some homes in turn."""
        end_ms = self.clock.now_ms() + duration_ms
        number = 0
        while self.clock.now_ms() < end_ms:
            await self._take(addresses[number % len(addresses)])
            number += 1
            self.clock.advance(CALL_GAP_MS)

    def _most_in_window(self) -> int:
        runs_ms = sorted(self.runs_ms)
        return max(
            sum(begin <= each <= begin + BOUNDS.window_ms for each in runs_ms)
            for begin in runs_ms
        )

    async def _play(self) -> int:
        """Changes the home while too many calls come.

        Returns:
            The most calls that ran in a window.
        """
        self._assign("h0", None)
        self.clock.advance(BOUNDS.window_ms)
        await self._take("h0")
        self.clock.advance(BOUNDS.window_ms)
        await self._send_for(CHANGE_MS, "h0")
        self._assign("h1", "h0")
        await self._send_for(STALE_MS, "h0", "h1")
        self._revoke("h0")
        await self._send_for(HOT_MS, "h1")
        return self._most_in_window()

    # Both homes admitted, and the new one did not know of the calls that the
    # old one had delayed (review/4).
    async def test_two_homes_do_not_admit_at_the_same_time(self) -> None:
        self.assertLessEqual(await self._play(), ALLOWED)

    async def test_a_home_that_can_not_be_asked_has_delayed_calls(self) -> None:
        self._assign("h0", None)
        self.clock.advance(BOUNDS.window_ms)
        await self._take("h0")
        self.clock.advance(BOUNDS.window_ms)
        await self._send_for(CHANGE_MS, "h0")
        self.links.lost.add("h0")
        self._assign("h1", "h0")
        await self._send_for(HOT_MS, "h1")
        self.assertLessEqual(self._most_in_window(), ALLOWED)

    async def test_the_bucket_follows_several_changes(self) -> None:
        await self._play()
        for number in range(6):
            before, after = f"h{(number + 1) % 3}", f"h{(number + 2) % 3}"
            self._assign(after, before)
            await self._send_for(1200.0, before, after)
            self._revoke(before)
        self.assertLessEqual(self._most_in_window(), ALLOWED)

    async def test_the_new_home_goes_on_with_the_tokens_of_the_old(
        self,
    ) -> None:
        self._assign("h0", None)
        await self._take("h0")
        self.clock.advance(2 * BOUNDS.window_ms)
        self._assign("h1", "h0")
        for _ in range(int(RATE_PER_S)):
            reply = await self._take("h1")
            self.assertEqual(reply.outcome, reply.ADMITTED)
            self.assertEqual(reply.wait_ms, 0.0)

    async def test_the_old_home_names_the_new_one(self) -> None:
        self._assign("h0", None)
        await self._take("h0")
        self._assign("h1", "h0")
        await self._take("h1")
        reply = await self._take("h0")
        self.assertEqual(reply.outcome, reply.NOT_HOME)
        self.assertEqual(reply.moved_to, "h1")

    async def test_a_bucket_that_has_moved_on_is_followed(self) -> None:
        self._assign("h0", None)
        await self._take("h0")
        self.clock.advance(2 * BOUNDS.window_ms)
        self._assign("h1", "h0")
        await self._take("h1")
        # This host has not seen that the second one was home.
        self._assign("h2", "h0")
        reply = await self._take("h2")
        self.assertEqual(reply.wait_ms, 0.0)
        reply = await self._take("h1")
        self.assertEqual(reply.outcome, reply.NOT_HOME)

    async def test_a_bucket_is_found_behind_a_home_without_calls(self) -> None:
        self._assign("h0", None)
        await self._take("h0")
        self.clock.advance(2 * BOUNDS.window_ms)
        self._assign("h1", "h0")
        self._assign("h2", "h1")
        reply = await self._take("h2")
        self.assertEqual(reply.wait_ms, 0.0)
        reply = await self._take("h0")
        self.assertEqual(reply.outcome, reply.NOT_HOME)

    async def test_a_bucket_is_found_after_many_changes(self) -> None:
        self._assign("h0", None)
        await self._take("h0")
        self.clock.advance(2 * BOUNDS.window_ms)
        names = [f"h{number}" for number in range(8)]
        for before, after in itertools.pairwise(names):
            self._add_host(after)
            self._assign(after, before)
            await self._take(after)
        self._add_host("late")
        self._assign("late", "h0")
        reply = await self._take("late")
        self.assertEqual(reply.wait_ms, 0.0)

    # Each home was given its own time-out.
    async def test_slow_homes_do_not_outlast_the_call(self) -> None:
        self._assign("h0", None)
        await self._take("h0")
        names = [f"h{number}" for number in range(8)]
        for before, after in itertools.pairwise(names):
            self._add_host(after)
            self._assign(after, before)
            await self._take(after)
        self._add_host("late")
        self._assign("late", "h0")
        self.links.answer_ms = 0.7 * rate_home.HAND_OVER_TIMEOUT_MS
        self.links.asked = 0
        begin_ms = self.clock.now_ms()
        reply = await self._take("late")
        self.assertGreater(self.links.asked, 1)
        self.assertLess(
            self.clock.now_ms() - begin_ms, float(rates.HOME_TIMEOUT_MS)
        )
        # Where the bucket is was not found out: calls may still be delayed.
        self.assertGreater(reply.wait_ms, 0.0)

    async def test_a_home_takes_its_bucket_back(self) -> None:
        self._assign("h0", None)
        await self._take("h0")
        self._assign("h1", "h0")
        await self._take("h1")
        # It never learned of the change in between.
        self.generation += 1
        self.homes["h0"].generation = self.generation
        reply = await self._take("h0")
        self.assertEqual(reply.outcome, reply.ADMITTED)
        reply = await self._take("h1")
        self.assertEqual(reply.outcome, reply.NOT_HOME)

    async def test_a_home_of_before_gets_nothing(self) -> None:
        self._assign("h1", None)
        self._assign("h0", None)
        await self._take("h0")
        self.homes["h1"].previous = "h0"
        await self._take("h1")
        reply = await self._take("h0")
        self.assertEqual(reply.outcome, reply.ADMITTED)

    async def test_no_room_is_left_at_low_rates(self) -> None:
        limit = admission.Limit(100.0, BOUNDS.window_ms, 20.0)
        self.assertEqual(limit.further_delayed_calls, 0.0)


if __name__ == "__main__":
    unittest.main()
