"""A turn waits for tokens that it lacks."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any, cast

from mangotally import ids
from mangotally.entry import budgets, entry_pb2, host_grants
from mangotally.entry import homes as homes_lib
from mangotally.policy import spending
from mangotally.util import clock as clock_lib
from tests.test_entry import fake_log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PROGRAM = spending.ProgramKey("org/p")

UNKNOWN = budgets.Denial(is_spent=False, granted=0)
SPENT = budgets.Denial(is_spent=True, granted=0)


class TurnTokensTest(unittest.IsolatedAsyncioTestCase):
    """A turn of at most 100 tokens that began on 60 of them."""

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.spent: list[int] = []
        self.answers: list[budgets.Reservation | budgets.Denial] = []
        self.asked: list[int] = []
        self.turn = budgets.TurnReservation(
            budgets.Reservation(60, self.spent.append),
            100,
            self._reserve,
            self.clock,
        )

    async def _reserve(
        self, tokens: int
    ) -> budgets.Reservation | budgets.Denial:
        self.asked.append(tokens)
        self.clock.advance(100.0)
        return self.answers.pop(0)

    async def test_asks_until_the_log_is_back(self) -> None:
        more = budgets.Reservation(40, self.spent.append)
        self.answers = [UNKNOWN, more]
        self.assertTrue(await self.turn.extend(1000.0))
        self.assertEqual(self.asked, [40, 40])
        self.assertTrue(self.turn.is_fully_reserved)

    async def test_gives_up_at_its_deadline(self) -> None:
        self.answers = [UNKNOWN] * 9
        self.assertFalse(await self.turn.extend(200.0))
        self.assertEqual(len(self.asked), 2)

    async def test_ends_if_the_budget_is_spent(self) -> None:
        self.answers = [SPENT]
        self.assertFalse(await self.turn.extend(1000.0))

    async def test_what_it_spent_beyond_its_most_counts(self) -> None:
        self.turn.settle(130)
        self.assertEqual(self.spent, [130])

    async def test_settles_each_part(self) -> None:
        self.answers = [budgets.Reservation(40, self.spent.append)]
        await self.turn.extend(1000.0)
        self.turn.settle(70)
        self.assertEqual(self.spent, [60, 10])


# A call between hosts, and one of the log.
CALL_MS = 50.0


class _Homes:
    """One host is home of everything.

    Attributes:
        home: Its address.
    """

    max_homes = 1

    def __init__(self, own: str, home: str) -> None:
        self.home = home
        self._own = own

    def home_of(self, _key: str) -> homes_lib.HostAddress | None:
        return homes_lib.HostAddress(
            ids.HostId(self.home), self.home, ids.FailureDomainId("z")
        )

    def is_self(self, host: homes_lib.HostAddress) -> bool:
        return host.address == self._own

    def owned_since_ms(self, _key: str) -> float | None:
        return -1e9 if self.home == self._own else None

    def others(self) -> list[homes_lib.HostAddress]:
        return []

    @property
    def is_home(self) -> bool:
        return self.home == self._own

    def refresh(self) -> None:
        pass


class _Links:
    """Calls homes in this process.

    Attributes:
        homes: The homes, by address.
        before_reserve: Runs before a home gets a reserve call.
        lost_settles: So many settle calls get no answer.
        is_answer_lost: Whether answers of reserve calls are lost.
        patience_ms: How long the last reserve call was waited for.
        wait_ms: How long the last reserve call let the home wait.
    """

    def __init__(self) -> None:
        self.homes: dict[str, budgets.BudgetHome] = {}
        self.before_reserve: Callable[[], Awaitable[None]] | None = None
        self.lost_settles = 0
        self.is_answer_lost = False
        self.patience_ms = 0.0
        self.wait_ms = 0.0

    def home_address(self, homes: _Homes, _key: str) -> str | None:
        return homes.home

    async def reserve(
        self,
        address: str,
        request: entry_pb2.ReserveRequest,
        timeout_ms: float,
    ) -> entry_pb2.ReserveReply | None:
        self.patience_ms = timeout_ms
        self.wait_ms = request.wait_ms
        if self.before_reserve is not None:
            await self.before_reserve()
        reply = await self.homes[address].reserve(request)
        return None if self.is_answer_lost else reply

    async def settle(
        self, address: str, request: entry_pb2.SettleRequest, _timeout_ms: float
    ) -> entry_pb2.SettleReply | None:
        if self.lost_settles:
            self.lost_settles -= 1
            return None
        return await self.homes[address].settle(request)


class ReservationTest(unittest.IsolatedAsyncioTestCase):
    """Tokens of a program whose home is another host; its budget is 500."""

    def setUp(self) -> None:
        self.log = fake_log.FakeLog()
        self.clock = clock_lib.ManualClock()
        self.links = _Links()
        self.at_home: dict[str, host_grants.HostGrants] = {}
        for address in ("a", "b"):
            own = self.at_home[address] = self._allowances(address)
            self.links.homes[address] = budgets.BudgetHome(
                _Homes(address, address), own, self.clock
            )
        self.seen = _Homes("c", "a")
        at_c = self._allowances("c")
        self.budgets = budgets.BudgetClient(
            ids.HostId("c"),
            budgets.BudgetHome(self.seen, at_c, self.clock),
            self._allowances("c/alone"),
            self.seen,
            cast("Any", self.links),
            self.clock,
        )

    def _allowances(self, name: str) -> host_grants.HostGrants:
        return host_grants.HostGrants(
            self.log,
            ids.HostId(name),
            1,
            spending.HOME_GRANT_DIVISOR,
            self.clock,
        )

    async def _reserve(
        self, tokens: int = 280
    ) -> budgets.Reservation | budgets.Denial:
        until_ms = self.clock.now_ms() + 1
        return await self.budgets.reserve(
            PROGRAM, 500, tokens, until_ms, lend=False
        )

    async def _assert_all_free(self, address: str) -> None:
        """Checks that a home holds no tokens for a turn."""
        for _ in range(50):
            await asyncio.sleep(0.001)
        verdict = await self.at_home[address].reserve(
            PROGRAM, 500, 500, self.clock.now_ms() + 1
        )
        self.assertIsNotNone(verdict.balance, "tokens leaked")

    async def test_a_home_that_waits_for_turns_is_not_given_up(self) -> None:
        wait_ms = 250.0
        until_ms = self.clock.now_ms() + wait_ms
        await self.budgets.reserve(PROGRAM, 500, 100, until_ms, lend=False)
        home_ms = self.links.wait_ms + host_grants.RETRY_MS
        self.assertGreater(self.links.patience_ms, home_ms + CALL_MS)

    async def test_the_host_that_reserved_hears_of_a_turns_end(self) -> None:
        found = await self._reserve()
        assert isinstance(found, budgets.Reservation)
        self.seen.home = "b"
        found.settle(0)
        await self._assert_all_free("a")

    async def test_a_turn_that_this_host_granted_ends_here(self) -> None:
        self.seen.home = "c"
        found = await self._reserve()
        assert isinstance(found, budgets.Reservation)
        self.seen.home = "a"
        found.settle(0)
        for _ in range(5):
            await self.budgets.return_unused()
            await asyncio.sleep(0)
        await self._assert_all_free("a")

    async def test_a_turns_end_is_told_again_if_the_home_is_silent(
        self,
    ) -> None:
        self.addCleanup(
            setattr, budgets, "SETTLE_RETRY_MS", budgets.SETTLE_RETRY_MS
        )
        budgets.SETTLE_RETRY_MS = 1
        found = await self._reserve()
        assert isinstance(found, budgets.Reservation)
        self.links.lost_settles = 3
        found.settle(0)
        await self._assert_all_free("a")

    async def test_a_home_that_answered_too_late_holds_nothing(self) -> None:
        self.links.is_answer_lost = True
        await self._reserve(600)
        await self._reserve()
        await self._assert_all_free("a")

    async def test_a_home_answers_before_it_is_taken_for_silent(self) -> None:
        # torno-reservas scale-1: programs that had spent their budget made
        # their homes look silent, and the next turn was sent past them.
        until_ms = self.clock.now_ms() + 2000
        await self.budgets.reserve(PROGRAM, 500, 280, until_ms, lend=False)
        self.assertLess(
            self.links.wait_ms + host_grants.RETRY_MS, budgets.HOME_TIMEOUT_MS
        )

    async def test_a_settlement_before_its_reservation_frees_it(self) -> None:
        home = self.links.homes["a"]
        await home.settle(entry_pb2.SettleRequest(ticket="t", spent=0))
        reply = await home.reserve(
            entry_pb2.ReserveRequest(
                program=PROGRAM, budget=500, tokens=280, ticket="t", wait_ms=1
            )
        )
        self.assertNotEqual(reply.outcome, reply.RESERVED)
        await self._assert_all_free("a")

    async def test_a_caller_that_leaves_costs_no_tokens(self) -> None:
        for steps in range(8):
            with self.subTest(steps=steps):
                await self._cancel_caller(steps)

    async def _cancel_caller(self, steps: int) -> None:
        self.setUp()
        reached = asyncio.Event()

        async def answer_late() -> None:
            request = entry_pb2.ReserveRequest(
                program=PROGRAM,
                budget=500,
                tokens=280,
                ticket="c/0",
                wait_ms=1,
            )
            await self.links.homes["a"].reserve(request)
            reached.set()
            await asyncio.sleep(60)

        self.links.before_reserve = answer_late
        task = asyncio.ensure_future(self._reserve())
        for _ in range(steps):
            await asyncio.sleep(0)
        if steps == 7:
            await reached.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self._assert_all_free("a")

    async def test_a_cancelled_handler_holds_nothing(self) -> None:
        for steps in range(9):
            with self.subTest(steps=steps):
                await self._cancel_handler(steps)

    async def _cancel_handler(self, steps: int) -> None:
        self.setUp()
        home = self.links.homes["a"]
        task = asyncio.ensure_future(
            home.reserve(
                entry_pb2.ReserveRequest(
                    program=PROGRAM,
                    budget=500,
                    tokens=280,
                    ticket="t",
                    wait_ms=1,
                )
            )
        )
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await home.settle(entry_pb2.SettleRequest(ticket="t", spent=0))
        await self._assert_all_free("a")
