"""Tokens of programs' budgets that this host has taken from the log."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from mangotally.entry import grant_log, token_balances
from mangotally.policy import rendezvous, spending
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.entry import log as log_lib

logger = logging.getLogger(__name__)

# A partition is tried so often before a turn is refused for now.
MAX_TRIES = 6
RETRY_MS = 60
# Other hosts may have returned tokens since the log was read.
SPENT_AGE_MS = 300
RETURN_TRIES = 2
# A host that took tokens has returned what its turns left, or has noticed
# that it is home no longer, this long after.
RETURNED_MS = 1500


class ReserveResult(NamedTuple):
    """Outcome of a reservation.

    Attributes:
        purse: Where the tokens are reserved, or None.
        tokens: How many are reserved; fewer than asked for while the log
            is away.
        is_spent: Whether the budget does not hold the turn; otherwise,
            without a purse, it could not be found out.
        granted: Tokens that all hosts have taken, for logs.
    """

    balance: spending.TokenBalance | None
    tokens: int = 0
    is_spent: bool = False
    granted: int = 0


def _never() -> float | None:
    """Tells that this host may not lend."""
    return None


class HostGrants:
    """Allowances of this host, taken through the log."""

    def __init__(
        self,
        log: log_lib.Log,
        host: ids.HostId,
        partition_count: int,
        parts: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes an owner of no allowances.

        Args:
            log: Where grants are recorded.
            host: Names its grants; differs for each owner and start.
            partition_count: Partitions of the topic.
            parts: One of so many parts of what is left of a budget is
                taken.
            clock: Time.
        """
        self._parts = parts
        self._purses = token_balances.TokenBalances(clock)
        self._outage = grant_log.LogHealth(clock)
        self._partitions = [
            _Partition(
                grant_log.GrantLog(
                    log, number, host, self._outage, self._fill, clock
                ),
                parts,
                self._outage,
                clock,
            )
            for number in range(partition_count)
        ]

    @property
    def provisional_grants(self) -> int:
        """Programs that were lent tokens which are not recorded yet."""
        return sum(each.records.provisional_grants for each in self._partitions)

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
        sole_home_since_ms: Callable[[], float | None] = _never,
        home_since_ms: float | None = -math.inf,
    ) -> ReserveResult:
        """Sets aside the most that a turn can spend.

        Args:
            program: The program.
            budget: Its budget.
            tokens: The most that the turn can spend.
            until_ms: When to give up if the log does not answer.
            lends_since_ms: Tells since when no other host may lend tokens
                of this program, or None.
            home_since_ms: Since when this host is home of the program;
                None if it stands in for the home.
        """
        purse = self._purses.find(program)
        purse.min_free_tokens = spending.min_free_tokens(budget, self._parts)
        wish = _Wish(
            program, budget, tokens, purse, sole_home_since_ms, home_since_ms
        )
        return await self._partition(program).take(wish, until_ms)

    async def return_tokens(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Returns tokens that were taken from the log.

        What can't be recorded now is recorded with what is not used.
        """
        partition = self._partition(program)
        partition.records.add_return(program, tokens)
        await partition.record_returns()

    async def return_unused(
        self, holds: Callable[[spending.ProgramKey], bool]
    ) -> None:
        """Returns tokens that no turn has needed since the last call.

        They go back in one append for each partition, however many programs
        they belong to.

        Args:
            holds: Tells whether this host may go on holding tokens of a
                program; otherwise all that no turn has reserved go back.
        """
        is_waiting = any(
            each.records.has_unrecorded for each in self._partitions
        )
        if not is_waiting and not self._purses.in_use():
            return
        # While the log is away programs need what is held here.
        if self._outage.has_failed and not await self._partitions[0].probe():
            return
        self._collect_unused(holds)
        for partition in self._partitions:
            if partition.records.has_unrecorded:
                await partition.record_returns()

    def _collect_unused(
        self, holds: Callable[[spending.ProgramKey], bool]
    ) -> None:
        for program, purse in self._purses.in_use():
            partition = self._partition(program)
            if not partition.records.accepts_return(program):
                continue
            unused = purse.withdraw_unused()
            if not holds(program):
                unused += purse.withdraw(purse.free)
            partition.records.add_return(program, unused)

    def _fill(self, grant: spending.Grant) -> None:
        self._purses.find(grant.program).add(grant.tokens)

    def _partition(self, program: spending.ProgramKey) -> _Partition:
        number = rendezvous.partition_of_key(program, len(self._partitions))
        return self._partitions[number]


@dataclasses.dataclass(frozen=True)
class _Wish:
    """Tokens asked for a turn.

    Attributes:
        program: Its program.
        budget: The program's budget.
        tokens: The most that the turn can spend.
        purse: Where the program's tokens are held here.
        lends_since_ms: Since when only this host may lend, or None.
        home_since_ms: Since when this host is home, or None.
    """

    program: spending.ProgramKey
    budget: int
    tokens: int
    purse: spending.TokenBalance
    lends_since_ms: Callable[[], float | None]
    home_since_ms: float | None


class _Partition:
    """Decides on the turns of the programs of one partition."""

    def __init__(
        self,
        records: grant_log.GrantLog,
        parts: int,
        outage: grant_log.LogHealth,
        clock: clock_lib.Clock,
    ) -> None:
        self.records = records
        self._parts = parts
        self._outage = outage
        self._clock = clock
        self._lock = asyncio.Lock()

    async def probe(self) -> bool:
        """Returns whether the log answers, if it is time to ask."""
        async with self._lock:
            return self._outage.is_probe_due and await self.records.read()

    async def take(self, wish: _Wish, until_ms: float) -> ReserveResult:
        """Takes a grant for a turn, if the budget holds it."""
        verdict: ReserveResult | None = None
        for _ in range(MAX_TRIES):
            verdict = self._decide(wish)
            if verdict is None:
                verdict = await self._try_in_turn(wish, until_ms)
            if verdict is not None and not (
                verdict.is_spent and self._may_change(wish, until_ms)
            ):
                break
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
        if verdict is None or (verdict.is_spent and self._others_hold(wish)):
            return ReserveResult(None)
        return verdict

    def _decide(self, wish: _Wish) -> ReserveResult | None:
        """Returns the verdict if the log need not be asked for it."""
        if wish.purse.reserve(wish.tokens, self._clock.now_ms()):
            return ReserveResult(wish.purse, wish.tokens)
        if self._outage.is_unavailable:
            return self._lend(wish)
        return self._spent(wish) if self._is_spent(wish) else None

    async def _try_in_turn(
        self, wish: _Wish, until_ms: float
    ) -> ReserveResult | None:
        """Asks the log, one turn after the other."""
        async with self._lock:
            verdict = self._decide(wish)
            if verdict is not None:
                return verdict
            if self._clock.now_ms() >= until_ms:
                return ReserveResult(None)
            return await self._try(wish)

    def _may_change(self, wish: _Wish, until_ms: float) -> bool:
        """Returns whether turns under way may leave enough of their most."""
        is_shared = not wish.purse.is_idle or self._others_hold(wish)
        return is_shared and self._clock.now_ms() < until_ms

    def _others_hold(self, wish: _Wish) -> bool:
        """Returns whether other hosts may hold tokens that no turn needs."""
        since_ms = self.records.ledger.last_other_grant_ms(wish.program)
        if since_ms == -math.inf:
            return False
        if wish.home_since_ms is None and self._may_be_ahead(wish):
            return True
        if wish.home_since_ms is not None:
            since_ms = max(since_ms, wish.home_since_ms)
        return self._clock.now_ms() - since_ms < RETURNED_MS

    def _may_be_ahead(self, wish: _Wish) -> bool:
        """Returns whether what the home keeps ahead would be enough."""
        ahead = spending.min_free_tokens(
            wish.budget, spending.HOME_GRANT_DIVISOR
        )
        return (
            self.records.granted(wish.program) - ahead + wish.tokens
            <= wish.budget
        )

    def _lend(self, wish: _Wish) -> ReserveResult:
        """Begins a turn on what is held, or on a loan without a record.

        A program is lent the most of one turn, once.
        """
        is_lent = self.records.has_provisional_grant(wish.program)
        if not is_lent and self._may_lend(wish):
            is_lent = True
            self.records.add_provisional_grant(wish.program, wish.tokens)
            wish.purse.add(wish.tokens)
            logger.info(
                "tokens_lent",
                extra={
                    "program": wish.program,
                    "tokens": wish.tokens,
                    "budget": wish.budget,
                    "read_age_ms": self._clock.now_ms() - self.records.read_ms,
                },
            )
        if not is_lent and wish.lends_since_ms() is None:
            return ReserveResult(None)
        part = wish.purse.reserve_part(wish.tokens, self._clock.now_ms())
        return ReserveResult(wish.purse, part) if part else ReserveResult(None)

    def _may_lend(self, wish: _Wish) -> bool:
        """Returns whether one unrecorded turn still keeps the bound."""
        since_ms = wish.lends_since_ms()
        if since_ms is None or self.records.read_ms < since_ms:
            return False
        if self.records.ledger.has_record(wish.program):
            return False
        return wish.tokens <= wish.budget

    async def record_returns(self) -> None:
        """Appends what waits to be recorded, if the log answers."""
        async with self._lock:
            for _ in range(RETURN_TRIES):
                if (
                    not self.records.has_unrecorded
                    or self._outage.is_unavailable
                ):
                    return
                if not await self.records.read_if_stale():
                    return
                # With nothing to record, it makes void what may still be
                # carried out.
                if self.records.has_unrecorded and await self.records.append():
                    return

    def _is_spent(self, wish: _Wish) -> bool:
        """Returns whether what was read a moment ago leaves nothing."""
        if self._next_grant(wish):
            return False
        if self._clock.now_ms() - self.records.read_ms > SPENT_AGE_MS:
            self.records.is_read = False
            return False
        return True

    async def _try(self, wish: _Wish) -> ReserveResult | None:
        """Returns the verdict, or None if the log has to be asked again."""
        if not await self.records.read_if_stale():
            return None
        now_ms = self._clock.now_ms()
        if wish.purse.reserve(wish.tokens, now_ms):
            return ReserveResult(wish.purse, wish.tokens)
        tokens = self._next_grant(wish)
        if not tokens:
            return self._spent(wish)
        if not await self.records.append(spending.Grant(wish.program, tokens)):
            return None
        if wish.purse.reserve(wish.tokens, self._clock.now_ms()):
            return ReserveResult(wish.purse, wish.tokens)
        return None

    def _next_grant(self, wish: _Wish) -> int:
        """Returns how many tokens to take, 0 if the budget is spent."""
        return spending.next_grant(
            self.records.granted(wish.program),
            wish.budget,
            wish.tokens - wish.purse.free,
            wish.tokens,
            self._parts,
        )

    def _spent(self, wish: _Wish) -> ReserveResult:
        granted = self.records.granted(wish.program)
        return ReserveResult(None, is_spent=True, granted=granted)
