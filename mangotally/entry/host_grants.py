"""Grants of program token budgets, recorded in the log by this host.

A grant takes tokens out of a program's budget for one host to spend. Each
program has a home: the host that owns the key of the program and takes grants
of its budget.
"""

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

# A fixed name, since log lines contain the name of their logger.
logger = logging.getLogger("mangotally.entry.allowances")

# Number of attempts to record a grant before a turn is refused temporarily.
MAX_TRIES = 6
RETRY_MS = 60
# A budget is reported as spent only from data that is at most this old:
# other hosts may have returned tokens since the log was read.
SPENT_MAX_AGE_MS = 300
RETURN_TRIES = 2
# Within this time after a grant, the host that obtained it has returned the
# tokens its turns did not spend, or has noticed that it is no longer home.
RETURN_GRACE_MS = 1500


class ReserveResult(NamedTuple):
    """Outcome of a reservation.

    Attributes:
        balance: Balance that the tokens are reserved in, or None if the
            reservation failed.
        tokens: Number of reserved tokens; may be less than requested while
            the log is unavailable.
        is_spent: Whether the remaining budget is too small for the turn. If
            this is false and there is no balance, the state of the budget
            could not be determined.
        granted: Tokens granted to all hosts, for logs.
    """

    balance: spending.TokenBalance | None
    tokens: int = 0
    is_spent: bool = False
    granted: int = 0


def _never() -> float | None:
    """Returns None: this host may not make provisional grants."""
    return None


class HostGrants:
    """Grants that this host obtains through the log."""

    def __init__(
        self,
        log: log_lib.Log,
        host: ids.HostId,
        partition_count: int,
        divisor: int,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without any grants.

        Args:
            log: Log that grants are recorded in.
            host: Identifies the grants of this instance; must be unique
                for each instance and process start.
            partition_count: Number of partitions of the topic.
            divisor: A grant takes 1/divisor of the remaining budget, or
                more if the turn needs more.
            clock: Clock for ages and deadlines.
        """
        self._divisor = divisor
        self._balances = token_balances.TokenBalances(clock)
        self._log_health = grant_log.LogHealth(clock)
        self._partitions = [
            _Partition(
                grant_log.GrantLog(
                    log, number, host, self._log_health, self._add_grant, clock
                ),
                divisor,
                self._log_health,
                clock,
            )
            for number in range(partition_count)
        ]

    @property
    def provisional_grants(self) -> int:
        """Number of programs with a provisional, unrecorded grant."""
        return sum(each.grants.provisional_grants for each in self._partitions)

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
        sole_home_since_ms: Callable[[], float | None] = _never,
        home_since_ms: float | None = -math.inf,
    ) -> ReserveResult:
        """Reserves the maximum number of tokens that a turn can spend.

        Args:
            program: Program of the turn.
            budget: Token budget of the program.
            tokens: Maximum number of tokens that the turn can spend.
            until_ms: Deadline if the log does not respond.
            sole_home_since_ms: Returns the time since which no other host may
                make provisional grants for this program, or None if this
                host may not make them.
            home_since_ms: Time since which this host is the home of the
                program, or None if it acts in place of the home.
        """
        balance = self._balances.get_or_create(program)
        balance.min_free_tokens = spending.min_free_tokens(
            budget, self._divisor
        )
        request = _Request(
            program, budget, tokens, balance, sole_home_since_ms, home_since_ms
        )
        return await self._partition(program).reserve(request, until_ms)

    async def return_tokens(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Returns granted tokens to the budget.

        A return that cannot be recorded now is recorded by a later call of
        `return_unused`.
        """
        partition = self._partition(program)
        partition.grants.add_return(program, tokens)
        await partition.record_returns()

    async def return_unused(
        self, holds: Callable[[spending.ProgramKey], bool]
    ) -> None:
        """Returns tokens that no turn has needed recently.

        Makes at most one append per partition, independent of the number of
        programs.

        Args:
            holds: Whether this host may keep unreserved tokens of a
                program; otherwise all of them are returned.
        """
        has_unrecorded = any(
            each.grants.has_unrecorded for each in self._partitions
        )
        if not has_unrecorded and not self._balances.non_empty():
            return
        # While the log is unavailable, programs run on the tokens held here.
        if (
            self._log_health.has_failed
            and not await self._partitions[0].probe()
        ):
            return
        self._collect_unused(holds)
        for partition in self._partitions:
            if partition.grants.has_unrecorded:
                await partition.record_returns()

    def _collect_unused(
        self, holds: Callable[[spending.ProgramKey], bool]
    ) -> None:
        for program, balance in self._balances.non_empty():
            partition = self._partition(program)
            if not partition.grants.accepts_return(program):
                continue
            unused = balance.withdraw_unused()
            if not holds(program):
                unused += balance.withdraw(balance.free)
            partition.grants.add_return(program, unused)

    def _add_grant(self, grant: spending.Grant) -> None:
        self._balances.get_or_create(grant.program).add(grant.tokens)

    def _partition(self, program: spending.ProgramKey) -> _Partition:
        number = rendezvous.partition_of_key(program, len(self._partitions))
        return self._partitions[number]


@dataclasses.dataclass(frozen=True)
class _Request:
    """Request to reserve tokens for a turn.

    Attributes:
        program: Program of the turn.
        budget: Token budget of the program.
        tokens: Maximum number of tokens that the turn can spend.
        balance: Tokens of the program that this host holds.
        sole_home_since_ms: Returns the time since which only this host may
            make provisional grants, or None.
        home_since_ms: Time since which this host is the home of the program, or
            None.
    """

    program: spending.ProgramKey
    budget: int
    tokens: int
    balance: spending.TokenBalance
    sole_home_since_ms: Callable[[], float | None]
    home_since_ms: float | None


class _Partition:
    """Reserves tokens for the programs of one partition."""

    def __init__(
        self,
        grants: grant_log.GrantLog,
        divisor: int,
        log_health: grant_log.LogHealth,
        clock: clock_lib.Clock,
    ) -> None:
        self.grants = grants
        self._divisor = divisor
        self._log_health = log_health
        self._clock = clock
        self._lock = asyncio.Lock()

    async def probe(self) -> bool:
        """Probes the log if a probe is due; returns whether it responded."""
        async with self._lock:
            return self._log_health.is_probe_due and await self.grants.read()

    async def reserve(
        self, request: _Request, until_ms: float
    ) -> ReserveResult:
        """Reserves tokens for a turn, obtaining a grant if necessary."""
        result: ReserveResult | None = None
        for _ in range(MAX_TRIES):
            result = self._decide_locally(request)
            if result is None:
                result = await self._try_exclusively(request, until_ms)
            if result is not None and not (
                result.is_spent and self._may_free_up(request, until_ms)
            ):
                break
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
        if result is None or (
            result.is_spent and self._others_may_return(request)
        ):
            return ReserveResult(None)
        return result

    def _decide_locally(self, request: _Request) -> ReserveResult | None:
        """Returns the result if it can be decided without the log."""
        if request.balance.reserve(request.tokens, self._clock.now_ms()):
            return ReserveResult(request.balance, request.tokens)
        if self._log_health.is_unavailable:
            return self._reserve_offline(request)
        return self._spent_result(request) if self._is_spent(request) else None

    async def _try_exclusively(
        self, request: _Request, until_ms: float
    ) -> ReserveResult | None:
        """Consults the log; requests of one partition are serialised."""
        async with self._lock:
            result = self._decide_locally(request)
            if result is not None:
                return result
            if self._clock.now_ms() >= until_ms:
                return ReserveResult(None)
            return await self._try(request)

    def _may_free_up(self, request: _Request, until_ms: float) -> bool:
        """Returns whether running turns may yet release enough tokens."""
        is_shared = not request.balance.is_idle or self._others_may_return(
            request
        )
        return is_shared and self._clock.now_ms() < until_ms

    def _others_may_return(self, request: _Request) -> bool:
        """Returns whether other hosts may hold tokens they do not need."""
        since_ms = self.grants.ledger.last_other_grant_ms(request.program)
        if since_ms == -math.inf:
            return False
        if request.home_since_ms is None and self._fits_with_prefetched(
            request
        ):
            return True
        if request.home_since_ms is not None:
            since_ms = max(since_ms, request.home_since_ms)
        return self._clock.now_ms() - since_ms < RETURN_GRACE_MS

    def _fits_with_prefetched(self, request: _Request) -> bool:
        """Returns whether the turn fits if the home returns its free tokens."""
        prefetched = spending.min_free_tokens(
            request.budget, spending.HOME_GRANT_DIVISOR
        )
        return (
            self.grants.granted(request.program) - prefetched + request.tokens
            <= request.budget
        )

    def _reserve_offline(self, request: _Request) -> ReserveResult:
        """Reserves held tokens, or makes a provisional grant.

        A program gets at most one provisional grant, for one turn.
        """
        has_grant = self.grants.has_provisional_grant(request.program)
        if not has_grant and self._may_grant_provisionally(request):
            has_grant = True
            self.grants.add_provisional_grant(request.program, request.tokens)
            request.balance.add(request.tokens)
            logger.info(
                "tokens_lent",
                extra={
                    "program": request.program,
                    "tokens": request.tokens,
                    "budget": request.budget,
                    "read_age_ms": self._clock.now_ms()
                    - self.grants.confirmed_ms,
                },
            )
        if not has_grant and request.sole_home_since_ms() is None:
            return ReserveResult(None)
        available = request.balance.reserve_partial(
            request.tokens, self._clock.now_ms()
        )
        return (
            ReserveResult(request.balance, available)
            if available
            else ReserveResult(None)
        )

    def _may_grant_provisionally(self, request: _Request) -> bool:
        """Returns whether a provisional grant keeps within the overspend bound.

        The budget may be exceeded by at most one turn. So this host must be
        the only one that may make provisional grants, have read the log since
        it became so, and have found no record of the program.
        """
        since_ms = request.sole_home_since_ms()
        if since_ms is None or self.grants.confirmed_ms < since_ms:
            return False
        if self.grants.ledger.has_record(request.program):
            return False
        return request.tokens <= request.budget

    async def record_returns(self) -> None:
        """Appends all unrecorded grants and returns, if the log responds."""
        async with self._lock:
            for _ in range(RETURN_TRIES):
                if (
                    not self.grants.has_unrecorded
                    or self._log_health.is_unavailable
                ):
                    return
                if not await self.grants.ensure_current():
                    return
                # If nothing is left to record, this appends an empty entry,
                # so that appends of unknown outcome can no longer succeed.
                if self.grants.has_unrecorded and await self.grants.append():
                    return

    def _is_spent(self, request: _Request) -> bool:
        """Returns whether recently read records leave too small a budget."""
        if self._next_grant(request):
            return False
        if self._clock.now_ms() - self.grants.confirmed_ms > SPENT_MAX_AGE_MS:
            self.grants.is_current = False
            return False
        return True

    async def _try(self, request: _Request) -> ReserveResult | None:
        """Returns the result, or None if the log must be consulted again."""
        if not await self.grants.ensure_current():
            return None
        now_ms = self._clock.now_ms()
        if request.balance.reserve(request.tokens, now_ms):
            return ReserveResult(request.balance, request.tokens)
        tokens = self._next_grant(request)
        if not tokens:
            return self._spent_result(request)
        if not await self.grants.append(
            spending.Grant(request.program, tokens)
        ):
            return None
        if request.balance.reserve(request.tokens, self._clock.now_ms()):
            return ReserveResult(request.balance, request.tokens)
        return None

    def _next_grant(self, request: _Request) -> int:
        """Returns the size of the next grant, 0 if the budget is spent."""
        return spending.next_grant(
            self.grants.granted(request.program),
            request.budget,
            request.tokens - request.balance.free,
            request.tokens,
            self._divisor,
        )

    def _spent_result(self, request: _Request) -> ReserveResult:
        granted = self.grants.granted(request.program)
        return ReserveResult(None, is_spent=True, granted=granted)
