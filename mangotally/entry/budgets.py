"""Token budgets of programs: kept by their homes, taken from the log."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import json
import logging
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from mangotally.entry import entry_pb2, partitions
from mangotally.entry import log as log_lib
from mangotally.policy import spending
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mangotally import ids
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

logger = logging.getLogger(__name__)

TOPIC = log_lib.Topic("grants")
# A partition is tried so often before a turn is refused for now.
MAX_TRIES = 6
RETRY_MS = 60
MAX_PURSES = 20_000
MAX_RESERVATIONS = 50_000
# A home may need a call of the log, which may be slow.
HOME_TIMEOUT_MS = 300
# Least time for the log after a home did not answer.
ALONE_MS = 200
SETTLE_TIMEOUT_MS = 300
SETTLE_TRIES = 2
# Other hosts may have returned tokens since the log was read.
SPENT_AGE_MS = 300


class Verdict(NamedTuple):
    """Outcome of a reservation.

    Attributes:
        purse: Where the tokens are reserved, or None.
        is_spent: Whether the budget does not hold the turn; otherwise,
            without a purse, it could not be found out.
        granted: Tokens that all hosts have taken, for logs.
    """

    purse: spending.Purse | None
    is_spent: bool = False
    granted: int = 0


def program_key(
    organisation: ids.OrganisationId, program: str
) -> spending.ProgramKey:
    """Returns the key of an organisation's program."""
    return spending.ProgramKey(f"{organisation}/{program}")


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
            parts: A budget is taken in so many parts.
            clock: Time.
        """
        self._purses: dict[spending.ProgramKey, spending.Purse] = {}
        self._clock = clock
        self._partitions = [
            _Partition(log, number, host, parts, clock)
            for number in range(partition_count)
        ]

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
    ) -> Verdict:
        """Sets aside the most that a turn can spend.

        Args:
            program: The program.
            budget: Its budget.
            tokens: The most that the turn can spend.
            until_ms: When to give up if the log does not answer.
        """
        purse = self._purse(program)
        if purse.reserve(tokens, self._clock.now_ms()):
            return Verdict(purse)
        number = partitions.partition_of(program, len(self._partitions))
        wish = _Wish(program, budget, tokens, purse)
        return await self._partitions[number].take(wish, until_ms)

    async def give_back(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Returns tokens that were taken from the log.

        That is tried once: tokens that may have been returned already are
        rather lost than returned twice.
        """
        number = partitions.partition_of(program, len(self._partitions))
        await self._partitions[number].give_back(program, tokens)

    def _purse(self, program: spending.ProgramKey) -> spending.Purse:
        found = self._purses.get(program)
        if found is None:
            found = self._purses[program] = spending.Purse()
            found.used_ms = self._clock.now_ms()
            self._evict()
        return found

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


class Reservation:
    """Tokens set aside for one turn."""

    def __init__(self, settle: Callable[[int], None]) -> None:
        """Makes a reservation.

        Args:
            settle: Takes the tokens that were spent.
        """
        self._settle = settle

    def settle(self, spent: int) -> None:
        """Ends the turn; what was not spent is free again.

        Args:
            spent: Tokens of the events that the caller was sent.
        """
        self._settle(spent)


class BudgetHome:
    """Reservations for the programs that this host is home of."""

    def __init__(
        self,
        homes: homes_lib.Homes,
        allowances: Allowances,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a home without reservations.

        Args:
            homes: Knows the homes.
            allowances: Allowances of this host as a home.
            clock: Time.
        """
        self._homes = homes
        self._allowances = allowances
        self._clock = clock
        self._reserved: collections.OrderedDict[
            str, tuple[spending.Purse, int]
        ] = collections.OrderedDict()

    async def reserve(
        self, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        """Sets aside the most that a turn can spend."""
        program = spending.ProgramKey(request.program)
        if self._homes.owned_since_ms(program_home_key(program)) is None:
            return entry_pb2.ReserveReply()
        verdict = await self._allowances.reserve(
            program,
            request.budget,
            request.tokens,
            self._clock.now_ms() + request.wait_ms,
        )
        reply = entry_pb2.ReserveReply(granted=verdict.granted)
        if verdict.purse is None:
            reply.outcome = reply.SPENT if verdict.is_spent else reply.UNKNOWN
            return reply
        reply.outcome = reply.RESERVED
        self._reserved[request.ticket] = (verdict.purse, request.tokens)
        if len(self._reserved) > MAX_RESERVATIONS:
            self._reserved.popitem(last=False)
        return reply

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Ends a turn."""
        found = self._reserved.pop(request.ticket, None)
        if found is not None:
            purse, tokens = found
            purse.settle(tokens, request.spent)
        return entry_pb2.SettleReply()


class Budgets:
    """Reserves tokens of programs for turns at this host."""

    def __init__(
        self,
        host: ids.HostId,
        home: BudgetHome,
        own: Allowances,
        homes: homes_lib.Homes,
        links: peers.Peers,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the reserver.

        Args:
            host: This host and start.
            home: Reservations that this host keeps as a home.
            own: Allowances for turns whose home does not answer.
            homes: Knows the homes.
            links: Links to the other hosts.
            clock: Time.
        """
        self._host = host
        self._home = home
        self._own = own
        self._homes = homes
        self._links = links
        self._clock = clock
        self._tickets = itertools.count()
        self._tasks: set[asyncio.Task[object]] = set()

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
    ) -> Reservation | Denial:
        """Sets aside the most that a turn can spend.

        Args:
            program: The program.
            budget: Its budget.
            tokens: The most that the turn can spend.
            until_ms: When to give up if neither home nor log answers.
        """
        request = entry_pb2.ReserveRequest(
            program=program,
            budget=budget,
            tokens=tokens,
            ticket=f"{self._host}/{next(self._tickets)}",
            wait_ms=max(0.0, until_ms - self._clock.now_ms()),
        )
        reply = await self._ask(program, request)
        if reply is None or reply.outcome == reply.NOT_HOME:
            return await self._reserve_alone(program, budget, tokens, until_ms)
        if reply.outcome != reply.RESERVED:
            return Denial(reply.outcome == reply.SPENT, reply.granted)
        ticket = request.ticket
        return Reservation(lambda spent: self._settle(program, ticket, spent))

    async def _reserve_alone(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
    ) -> Reservation | Denial:
        now_ms = self._clock.now_ms()
        until_ms = max(until_ms, now_ms + ALONE_MS)
        verdict = await self._own.reserve(program, budget, tokens, until_ms)
        purse = verdict.purse
        if purse is None:
            return Denial(verdict.is_spent, verdict.granted)

        def settle(spent: int) -> None:
            purse.settle(tokens, spent)
            # Other hosts may need what is left.
            unused = purse.take_out(tokens - spent)
            if unused:
                self._start(self._own.give_back(program, unused))

        return Reservation(settle)

    async def _ask(
        self,
        program: spending.ProgramKey,
        request: entry_pb2.ReserveRequest,
    ) -> entry_pb2.ReserveReply | None:
        key = program_home_key(program)
        if self._homes.owned_since_ms(key) is not None:
            return await self._home.reserve(request)
        home = self._homes.home_of(key)
        if home is None or not self._links.is_heard(home.address):
            return None
        reply = await self._links.reserve(
            home.address, request, HOME_TIMEOUT_MS
        )
        if reply is None:
            # The home may have set tokens aside all the same.
            self._settle(program, request.ticket, 0)
        return reply

    def _settle(
        self, program: spending.ProgramKey, ticket: str, spent: int
    ) -> None:
        request = entry_pb2.SettleRequest(ticket=ticket, spent=spent)
        self._start(self._send_settle(program, request))

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_settle(
        self,
        program: spending.ProgramKey,
        request: entry_pb2.SettleRequest,
    ) -> None:
        key = program_home_key(program)
        home = self._homes.home_of(key)
        if home is None or self._homes.is_own(home):
            await self._home.settle(request)
            return
        for _ in range(SETTLE_TRIES):
            reply = await self._links.settle(
                home.address, request, SETTLE_TIMEOUT_MS
            )
            if reply is not None:
                return


@dataclasses.dataclass(frozen=True)
class Denial:
    """No tokens are set aside.

    Attributes:
        is_spent: Whether the budget does not hold the turn; otherwise it
            could not be found out.
        granted: Tokens that all hosts have taken, for logs.
    """

    is_spent: bool
    granted: int


def program_home_key(program: spending.ProgramKey) -> str:
    """Returns the key whose home reserves a program's tokens."""
    return str(program)


@dataclasses.dataclass(frozen=True)
class _Wish:
    program: spending.ProgramKey
    budget: int
    tokens: int
    purse: spending.Purse


class _Partition:
    """One partition of the grants: what is read, and what is asked for.

    All grants asked for while a call of the log is under way go into the
    next one.
    """

    def __init__(
        self,
        log: log_lib.Log,
        number: int,
        host: ids.HostId,
        parts: int,
        clock: clock_lib.Clock,
    ) -> None:
        self._parts = parts
        self._is_read = False
        self._read_ms = -math.inf
        self._log = log
        self._number = number
        self._host = host
        self._clock = clock
        self._ledger = spending.Ledger()
        self._next = log_lib.Offset(0)
        self._sequence = 0
        self._lock = asyncio.Lock()
        self._pending: dict[str, tuple[spending.Grant, spending.Purse]] = {}

    async def take(self, wish: _Wish, until_ms: float) -> Verdict:
        """Takes a grant for a turn, if the budget holds it."""
        for _ in range(MAX_TRIES):
            if self._is_spent(wish):
                granted = self._ledger.granted(wish.program)
                return Verdict(None, is_spent=True, granted=granted)
            async with self._lock:
                now_ms = self._clock.now_ms()
                if wish.purse.reserve(wish.tokens, now_ms):
                    return Verdict(wish.purse)
                if now_ms >= until_ms:
                    return Verdict(None)
                verdict = await self._try(wish)
            if verdict is not None:
                return verdict
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
        return Verdict(None)

    async def give_back(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Records that tokens were not needed."""
        record = self._grant_record(spending.Grant(program, -tokens))[1]
        await self._log.append(TOPIC, self._number, [record])
        self._is_read = False

    def _is_spent(self, wish: _Wish) -> bool:
        """Returns whether what was read a moment ago leaves nothing."""
        granted = self._ledger.granted(wish.program)
        if wish.purse.free >= wish.tokens or granted < wish.budget:
            return False
        if self._clock.now_ms() - self._read_ms > SPENT_AGE_MS:
            self._is_read = False
            return False
        return True

    async def _try(self, wish: _Wish) -> Verdict | None:
        """Returns the verdict, or None if the log has to be asked again."""
        if not self._is_read:
            if not await self._read():
                return None
            self._is_read = True
        now_ms = self._clock.now_ms()
        if wish.purse.reserve(wish.tokens, now_ms):
            return Verdict(wish.purse)
        granted = self._ledger.granted(wish.program)
        needed = wish.tokens - wish.purse.free
        tokens = spending.next_grant(granted, wish.budget, needed, self._parts)
        if not tokens:
            return Verdict(None, is_spent=True, granted=granted)
        if not await self._record(wish, tokens):
            return None
        if wish.purse.reserve(wish.tokens, self._clock.now_ms()):
            return Verdict(wish.purse)
        return None

    async def _record(self, wish: _Wish, tokens: int) -> bool:
        grant = spending.Grant(wish.program, tokens)
        name, record = self._grant_record(grant)
        self._pending[name] = (grant, wish.purse)
        appended = await self._log.append(
            TOPIC, self._number, [record], self._next
        )
        if isinstance(appended, log_lib.Appended):
            self._next = appended.end
            self._apply(name, grant)
            return True
        # Another host has written, or this call may still be carried out.
        self._is_read = False
        return False

    def _grant_record(self, grant: spending.Grant) -> tuple[str, bytes]:
        self._sequence += 1
        name = f"{self._host}:{self._number}:{self._sequence}"
        record = json.dumps([grant.program, grant.tokens, name])
        return name, record.encode()

    async def _read(self) -> bool:
        """Reads the partition to its end; returns whether it could."""
        while True:
            sent_ms = self._clock.now_ms()
            batch = await self._log.read(TOPIC, self._number, self._next)
            match batch:
                case log_lib.Unavailable():
                    return False
                case log_lib.Trimmed():
                    self._next = batch.first
                    continue
            for record in batch.records:
                self._take_record(record)
            self._next = batch.next
            if batch.next >= batch.end:
                self._read_ms = sent_ms
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
        self._ledger.add(grant, self._clock.now_ms())
        own = self._pending.pop(name, None)
        if own is not None:
            # Recorded by a call whose answer was lost, or just now.
            own[1].fill(own[0].tokens)
