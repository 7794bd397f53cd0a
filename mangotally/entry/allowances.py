"""Tokens of programs' budgets that this host has taken from the log."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from mangotally.entry import log as log_lib
from mangotally.policy import homes, spending
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids

logger = logging.getLogger(__name__)

TOPIC = log_lib.Topic("grants")
# A partition is tried so often before a turn is refused for now.
MAX_TRIES = 6
RETRY_MS = 60
MAX_PURSES = 20_000
# Other hosts may have returned tokens since the log was read.
SPENT_AGE_MS = 300
# So many failed calls in a row, and the log counts as away.
AWAY_FAILURES = 2
# Time without calls while it does; then one call asks again.
AWAY_MS = 500
# Turns ask a log that has failed; without them it is asked after this time.
PROBE_MS = 2000
RETURN_TRIES = 2
# A host that took tokens has returned what its turns left, or has noticed
# that it is home no longer, this long after.
RETURNED_MS = 1500
# Keeps an append far below the most that the store takes in one call.
MAX_RETURNS = 500


class Verdict(NamedTuple):
    """Outcome of a reservation.

    Attributes:
        purse: Where the tokens are reserved, or None.
        tokens: How many are reserved; fewer than asked for while the log
            is away.
        is_spent: Whether the budget does not hold the turn; otherwise,
            without a purse, it could not be found out.
        granted: Tokens that all hosts have taken, for logs.
    """

    purse: spending.Purse | None
    tokens: int = 0
    is_spent: bool = False
    granted: int = 0


def _never() -> float | None:
    """Tells that this host may not lend."""
    return None


class Allowances:
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
        self._purses = _Purses(clock)
        self._outage = _Outage(clock)
        self._partitions = [
            _Partition(
                log, number, host, parts, self._outage, self._purses, clock
            )
            for number in range(partition_count)
        ]

    @property
    def open_loans(self) -> int:
        """Programs that were lent tokens which are not recorded yet."""
        return sum(each.open_loans for each in self._partitions)

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
        lends_since_ms: Callable[[], float | None] = _never,
        home_since_ms: float | None = -math.inf,
    ) -> Verdict:
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
        purse.kept = spending.kept_tokens(budget, self._parts)
        wish = _Wish(
            program, budget, tokens, purse, lends_since_ms, home_since_ms
        )
        return await self._partition(program).take(wish, until_ms)

    async def give_back(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Returns tokens that were taken from the log.

        What can't be recorded now is recorded with what is not used.
        """
        partition = self._partition(program)
        partition.add_return(program, tokens)
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
        is_waiting = any(each.has_unrecorded for each in self._partitions)
        if not is_waiting and not self._purses.in_use():
            return
        # While the log is away programs need what is held here.
        if self._outage.has_failed and not await self._partitions[0].probe():
            return
        self._collect_unused(holds)
        for partition in self._partitions:
            if partition.has_unrecorded:
                await partition.record_returns()

    def _collect_unused(
        self, holds: Callable[[spending.ProgramKey], bool]
    ) -> None:
        for program, purse in self._purses.in_use():
            partition = self._partition(program)
            if not partition.takes_return(program):
                continue
            unused = purse.take_unused()
            if not holds(program):
                unused += purse.take_out(purse.free)
            partition.add_return(program, unused)

    def _partition(self, program: spending.ProgramKey) -> _Partition:
        number = homes.partition_of_key(program, len(self._partitions))
        return self._partitions[number]


class _Purses:
    """Tokens that this host holds, by program."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._purses: dict[spending.ProgramKey, spending.Purse] = {}
        self._in_use: set[spending.ProgramKey] = set()

    def find(self, program: spending.ProgramKey) -> spending.Purse:
        """Returns the purse of a program, a new one if there is none."""
        self._in_use.add(program)
        found = self._purses.get(program)
        if found is None:
            found = self._purses[program] = spending.Purse()
            found.used_ms = self._clock.now_ms()
            self._evict()
        return found

    def in_use(self) -> list[tuple[spending.ProgramKey, spending.Purse]]:
        """Returns the purses that may hold tokens."""
        self._in_use = {
            program
            for program in self._in_use
            if program in self._purses and not self._purses[program].is_empty
        }
        return [(program, self._purses[program]) for program in self._in_use]

    def _evict(self) -> None:
        now_ms = self._clock.now_ms()
        if len(self._purses) < MAX_PURSES:
            return
        self._purses = {
            program: purse
            for program, purse in self._purses.items()
            if not purse.is_idle
            or now_ms - purse.used_ms < spending.PURSE_MEMORY_MS
        }


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
    purse: spending.Purse
    lends_since_ms: Callable[[], float | None]
    home_since_ms: float | None


@dataclasses.dataclass(frozen=True)
class _Pending:
    """A grant whose append was sent and has not been found yet.

    Attributes:
        grant: The grant.
        at: The append is carried out only if the partition ends here.
    """

    grant: spending.Grant
    at: log_lib.Offset


@dataclasses.dataclass(frozen=True)
class _Entry:
    """A grant or a return that is to be recorded once.

    Attributes:
        grant: The tokens.
        name: Names the record, so that it is known again when it is read.
        record: The record.
    """

    grant: spending.Grant
    name: str
    record: bytes


class _Outage:
    """What all partitions have seen of the log."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._asked_ms = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    @property
    def is_away(self) -> bool:
        """Whether the log failed a moment ago."""
        if self._failures < AWAY_FAILURES:
            return False
        return self._clock.now_ms() - self._asked_ms < AWAY_MS

    @property
    def is_due(self) -> bool:
        """Whether nobody has asked the log for long after a failure."""
        return self._clock.now_ms() - self._asked_ms >= PROBE_MS

    def note(self, is_reached: bool) -> None:
        """Takes the outcome of a call."""
        self._failures = 0 if is_reached else self._failures + 1
        self._asked_ms = self._clock.now_ms()


class _Partition:
    """One partition of the grants: what is read, and what is asked for.

    All records are appended only if the partition ends where it was read
    to. An append whose answer was lost is void once the partition ends
    elsewhere and the record is not there; so it may be sent again, and counts
    once.
    """

    def __init__(
        self,
        log: log_lib.Log,
        number: int,
        host: ids.HostId,
        parts: int,
        outage: _Outage,
        purses: _Purses,
        clock: clock_lib.Clock,
    ) -> None:
        self._parts = parts
        self._outage = outage
        self._purses = purses
        self._loans: dict[spending.ProgramKey, _Entry] = {}
        self._returns: dict[str, _Entry] = {}
        self._is_read = False
        self._read_ms = -math.inf
        self._log = log
        self._number = number
        self._host = host
        self._clock = clock
        self._ledger = spending.Ledger()
        self._cursor = log_lib.Cursor(log, TOPIC, number)
        self._sequence = 0
        self._lock = asyncio.Lock()
        self._pending: dict[str, _Pending] = {}

    @property
    def open_loans(self) -> int:
        """Loans that are not recorded yet."""
        return len(self._loans)

    @property
    def has_unrecorded(self) -> bool:
        """Whether something waits to be recorded or found out."""
        return bool(self._returns or self._loans or self._pending)

    def takes_return(self, program: spending.ProgramKey) -> bool:
        """Returns whether tokens of a program may be returned now.

        What was lent is needed until the log knows of it.
        """
        return program not in self._loans and len(self._returns) < MAX_RETURNS

    async def probe(self) -> bool:
        """Returns whether the log answers, if it is time to ask."""
        async with self._lock:
            return self._outage.is_due and await self._read()

    async def take(self, wish: _Wish, until_ms: float) -> Verdict:
        """Takes a grant for a turn, if the budget holds it."""
        verdict: Verdict | None = None
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
            return Verdict(None)
        return verdict

    def _decide(self, wish: _Wish) -> Verdict | None:
        """Returns the verdict if the log need not be asked for it."""
        if wish.purse.reserve(wish.tokens, self._clock.now_ms()):
            return Verdict(wish.purse, wish.tokens)
        if self._outage.is_away:
            return self._lend(wish)
        return self._spent(wish) if self._is_spent(wish) else None

    async def _try_in_turn(
        self, wish: _Wish, until_ms: float
    ) -> Verdict | None:
        """Asks the log, one turn after the other."""
        async with self._lock:
            verdict = self._decide(wish)
            if verdict is not None:
                return verdict
            if self._clock.now_ms() >= until_ms:
                return Verdict(None)
            return await self._try(wish)

    def _may_change(self, wish: _Wish, until_ms: float) -> bool:
        """Returns whether turns under way may leave enough of their most."""
        is_shared = not wish.purse.is_idle or self._others_hold(wish)
        return is_shared and self._clock.now_ms() < until_ms

    def _others_hold(self, wish: _Wish) -> bool:
        """Returns whether other hosts may hold tokens that no turn needs."""
        since_ms = self._ledger.others_ms(wish.program)
        if since_ms == -math.inf:
            return False
        if wish.home_since_ms is None and self._may_be_ahead(wish):
            return True
        if wish.home_since_ms is not None:
            since_ms = max(since_ms, wish.home_since_ms)
        return self._clock.now_ms() - since_ms < RETURNED_MS

    def _may_be_ahead(self, wish: _Wish) -> bool:
        """Returns whether what the home keeps ahead would be enough."""
        ahead = spending.kept_tokens(wish.budget, spending.HOME_PARTS)
        return self._granted(wish.program) - ahead + wish.tokens <= wish.budget

    def _lend(self, wish: _Wish) -> Verdict:
        """Begins a turn on what is held, or on a loan without a record.

        A program is lent the most of one turn, once.
        """
        if wish.program not in self._loans and self._may_lend(wish):
            grant = spending.Grant(wish.program, wish.tokens)
            self._loans[wish.program] = self._entry(grant)
            wish.purse.fill(wish.tokens)
            logger.info(
                "tokens_lent",
                extra={
                    "program": wish.program,
                    "tokens": wish.tokens,
                    "budget": wish.budget,
                    "read_age_ms": self._clock.now_ms() - self._read_ms,
                },
            )
        is_lent = wish.program in self._loans
        if not is_lent and wish.lends_since_ms() is None:
            return Verdict(None)
        part = wish.purse.reserve_part(wish.tokens, self._clock.now_ms())
        return Verdict(wish.purse, part) if part else Verdict(None)

    def _may_lend(self, wish: _Wish) -> bool:
        """Returns whether one unrecorded turn still keeps the bound."""
        since_ms = wish.lends_since_ms()
        if since_ms is None or self._read_ms < since_ms:
            return False
        if self._ledger.has_seen(wish.program):
            return False
        return wish.tokens <= wish.budget

    def add_return(self, program: spending.ProgramKey, tokens: int) -> None:
        """Returns tokens with the next append.

        Args:
            program: Their program.
            tokens: How many; the purse holds them no longer.
        """
        if tokens:
            entry = self._entry(spending.Grant(program, -tokens))
            self._returns[entry.name] = entry

    async def record_returns(self) -> None:
        """Appends what waits to be recorded, if the log answers."""
        async with self._lock:
            for _ in range(RETURN_TRIES):
                if not self.has_unrecorded or self._outage.is_away:
                    return
                if not await self._read_if_stale():
                    return
                # With nothing to record, it makes void what may still be
                # carried out.
                if self.has_unrecorded and await self._append([]):
                    return

    def _is_spent(self, wish: _Wish) -> bool:
        """Returns whether what was read a moment ago leaves nothing."""
        if self._next_grant(wish):
            return False
        if self._clock.now_ms() - self._read_ms > SPENT_AGE_MS:
            self._is_read = False
            return False
        return True

    async def _try(self, wish: _Wish) -> Verdict | None:
        """Returns the verdict, or None if the log has to be asked again."""
        if not await self._read_if_stale():
            return None
        now_ms = self._clock.now_ms()
        if wish.purse.reserve(wish.tokens, now_ms):
            return Verdict(wish.purse, wish.tokens)
        tokens = self._next_grant(wish)
        if not tokens:
            return self._spent(wish)
        if not await self._record(wish, tokens):
            return None
        if wish.purse.reserve(wish.tokens, self._clock.now_ms()):
            return Verdict(wish.purse, wish.tokens)
        return None

    def _next_grant(self, wish: _Wish) -> int:
        """Returns how many tokens to take, 0 if the budget is spent."""
        return spending.next_grant(
            self._granted(wish.program),
            wish.budget,
            wish.tokens - wish.purse.free,
            wish.tokens,
            self._parts,
        )

    def _granted(self, program: spending.ProgramKey) -> int:
        """Returns what will be granted once all that waits is recorded."""
        waiting = sum(
            each.grant.tokens
            for each in (*self._loans.values(), *self._returns.values())
            if each.grant.program == program
        )
        return self._ledger.granted(program) + waiting

    def _spent(self, wish: _Wish) -> Verdict:
        granted = self._granted(wish.program)
        return Verdict(None, is_spent=True, granted=granted)

    async def _record(self, wish: _Wish, tokens: int) -> bool:
        entry = self._entry(spending.Grant(wish.program, tokens))
        return await self._append([entry])

    async def _append(self, grants: list[_Entry]) -> bool:
        """Records grants, and before them all that waits to be recorded."""
        at = self._cursor.next
        waiting = [*self._loans.values(), *self._returns.values()]
        entries = [*waiting, *grants] or [self._none()]
        self._pending |= {
            each.name: _Pending(each.grant, at) for each in grants
        }
        # Until there is an answer, the call may or may not be carried out.
        self._is_read = False
        records = [each.record for each in entries]
        appended = await self._log.append(TOPIC, self._number, records, at)
        self._outage.note(not isinstance(appended, log_lib.Unavailable))
        if not isinstance(appended, log_lib.Appended):
            return False
        self._cursor.next = appended.end
        for each in entries:
            self._apply(each.name, each.grant)
        self._drop_void()
        self._is_read = True
        return True

    def _none(self) -> _Entry:
        """Returns an entry of no tokens for a program that waits."""
        pending = next(iter(self._pending.values()))
        return self._entry(spending.Grant(pending.grant.program, 0))

    def _entry(self, grant: spending.Grant) -> _Entry:
        self._sequence += 1
        name = f"{self._host}:{self._number}:{self._sequence}"
        record = json.dumps([grant.program, grant.tokens, name])
        return _Entry(grant, name, record.encode())

    async def _read_if_stale(self) -> bool:
        """Reads what others may have written; returns whether it could."""
        if not self._is_read:
            self._is_read = await self._read()
        return self._is_read

    async def _read(self) -> bool:
        """Reads the partition to its end; returns whether it could."""
        sent_ms = self._clock.now_ms()
        failure = await self._cursor.read(self._take_record)
        self._outage.note(failure is None)
        if failure is not None:
            return False
        self._read_ms = sent_ms
        self._drop_void()
        self._ledger.forget(self._clock.now_ms())
        return True

    def _take_record(self, record: bytes) -> None:
        try:
            program, tokens, name = json.loads(record)
        except ValueError:
            logger.error("grant_unreadable", extra={"part": self._number})
            return
        self._apply(name, spending.Grant(program, tokens))

    def _apply(self, name: str, grant: spending.Grant) -> None:
        is_own = name.startswith(f"{self._host}:")
        self._ledger.add(grant, self._clock.now_ms(), is_own)
        loan = self._loans.get(grant.program)
        if loan is not None and loan.name == name:
            del self._loans[grant.program]
        self._returns.pop(name, None)
        if self._pending.pop(name, None) is not None:
            # Recorded by a call whose answer was lost, or just now.
            self._purses.find(grant.program).fill(grant.tokens)

    def _drop_void(self) -> None:
        """Forgets grants that can't be recorded any more."""
        end = self._cursor.next
        self._pending = {
            name: each for name, each in self._pending.items() if each.at >= end
        }
