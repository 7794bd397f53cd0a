"""Token budgets of programs, kept by the programs' homes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from mangotally.entry import entry_pb2
from mangotally.policy import spending
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import host_grants, peers

MAX_RESERVATIONS = 50_000
# Far more than the calls that can be under way.
MAX_SETTLED_EARLY = 10_000
# A home may need a call of the log, which may be slow.
HOME_TIMEOUT_MS = 300
# How long a home lets a turn of another host wait for turns under way: its
# answer must come before that host takes it for silent.
HOME_WAIT_MS = 150
# Least time for the log after a home did not answer.
DIRECT_RESERVE_MS = 200
SETTLE_TIMEOUT_MS = 300
# Together longer than a busy home is silent.
SETTLE_TRIES = 5
SETTLE_RETRY_MS = 300
# A stream that waits for tokens asks again after this time.
EXTEND_RETRY_MS = 250
# With `spending.UNUSED_PERIODS`: tokens are back within a second of a turn's
# end, which is when other hosts are owed them.
RETURN_MS = 225


def program_key(
    organisation: ids.OrganisationId, program: str
) -> spending.ProgramKey:
    """Returns the key of an organisation's program."""
    return spending.ProgramKey(f"{organisation}/{program}")


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


class Reservation:
    """Tokens set aside for one turn.

    Attributes:
        tokens: How many; the turn must not spend more.
    """

    def __init__(self, tokens: int, settle: Callable[[int], None]) -> None:
        """Makes a reservation.

        Args:
            tokens: How many tokens are set aside.
            settle: Takes the tokens that were spent.
        """
        self.tokens = tokens
        self._settle = settle

    def settle(self, spent: int) -> None:
        """Ends the turn; what was not spent is free again.

        Args:
            spent: Tokens of the events that the caller was sent.
        """
        self._settle(spent)


class TurnReservation:
    """Tokens of one turn, of which more are asked for if they run short."""

    def __init__(
        self,
        first: Reservation,
        most: int,
        reserve: Callable[[int], Awaitable[Reservation | Denial]],
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the tokens of a turn.

        Args:
            first: What was set aside before the turn began.
            most: The most that the turn can spend.
            reserve: Sets more tokens aside.
            clock: Time.
        """
        self._reservations = [first]
        self._most = most
        self._reserve = reserve
        self._clock = clock

    @property
    def tokens(self) -> int:
        """Tokens set aside."""
        return sum(each.tokens for each in self._reservations)

    @property
    def is_fully_reserved(self) -> bool:
        """Whether the turn can't run short."""
        return self.tokens >= self._most

    async def extend(self, until_ms: float) -> bool:
        """Sets more tokens aside; returns whether that was possible."""
        while self._clock.now_ms() < until_ms:
            found = await self._reserve(self._most - self.tokens)
            if isinstance(found, Reservation):
                self._reservations.append(found)
                return True
            if found.is_spent:
                return False
            await asyncio.sleep(clock_lib.to_seconds(EXTEND_RETRY_MS))
        return False

    def settle(self, spent: int) -> None:
        """Ends the turn; what was not spent is free again."""
        *before, last = self._reservations
        for each in before:
            part = min(spent, each.tokens)
            each.settle(part)
            spent -= part
        # More than was set aside, if the turn generated more than declared.
        last.settle(spent)


class BudgetHome:
    """Reservations for the programs that this host is home of."""

    def __init__(
        self,
        homes: homes_lib.Homes,
        owned: host_grants.HostGrants,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a home without reservations.

        Args:
            homes: Knows the homes.
            owned: Allowances of this host as a home.
            clock: Time.
        """
        self._homes = homes
        self._allowances = owned
        self._clock = clock
        self._reserved: collections.OrderedDict[
            str, tuple[spending.TokenBalance, int]
        ] = collections.OrderedDict()
        self._settled_early: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    async def reserve(
        self, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        """Sets aside the most that a turn can spend."""
        program = spending.ProgramKey(request.program)
        key = program_home_key(program)
        home_since_ms = self._homes.owned_since_ms(key)
        if home_since_ms is None:
            return entry_pb2.ReserveReply()

        def lends_since_ms() -> float | None:
            return self._homes.owned_since_ms(key) if request.lend else None

        verdict = await self._allowances.reserve(
            program,
            request.budget,
            request.tokens,
            self._clock.now_ms() + request.wait_ms,
            lends_since_ms,
            home_since_ms,
        )
        reply = entry_pb2.ReserveReply(granted=verdict.granted)
        if verdict.balance is None:
            reply.outcome = reply.SPENT if verdict.is_spent else reply.UNKNOWN
            return reply
        if self._settled_early.pop(request.ticket, False):
            verdict.balance.settle(verdict.tokens, 0)
            reply.outcome = reply.UNKNOWN
            return reply
        reply.outcome = reply.RESERVED
        reply.tokens = verdict.tokens
        self._reserved[request.ticket] = (verdict.balance, verdict.tokens)
        if len(self._reserved) > MAX_RESERVATIONS:
            self._reserved.popitem(last=False)
        return reply

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Ends a turn, also one that asks for its tokens at this moment."""
        found = self._reserved.pop(request.ticket, None)
        if found is not None:
            purse, tokens = found
            purse.settle(tokens, request.spent)
        elif not request.spent:
            # The caller waits no longer, and runs nothing on the tokens.
            self._settled_early[request.ticket] = True
            if len(self._settled_early) > MAX_SETTLED_EARLY:
                self._settled_early.popitem(last=False)
        return entry_pb2.SettleReply()

    async def return_unused(self) -> None:
        """Returns what programs don't use, and all if they moved away."""
        await self._allowances.return_unused(self._is_home)

    def _is_home(self, program: spending.ProgramKey) -> bool:
        key = program_home_key(program)
        return self._homes.owned_since_ms(key) is not None


@dataclasses.dataclass(frozen=True)
class _Granter:
    """The host that sets a turn's tokens aside.

    It hears of the turn's end, whichever host is home by then.

    Attributes:
        reserve: Asks it; returns None if it does not answer.
        settle: Tells it; returns None if it does not answer.
    """

    reserve: Callable[
        [entry_pb2.ReserveRequest], Awaitable[entry_pb2.ReserveReply | None]
    ]
    settle: Callable[
        [entry_pb2.SettleRequest], Awaitable[entry_pb2.SettleReply | None]
    ]


class BudgetClient:
    """Reserves tokens of programs for turns at this host."""

    def __init__(
        self,
        host: ids.HostId,
        home: BudgetHome,
        own: host_grants.HostGrants,
        homes: homes_lib.Homes,
        links: peers.PeerClient,
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
        self._tasks = background.Detached()

    async def run(self) -> None:
        """Returns tokens that are not used, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(RETURN_MS))
            await self.return_unused()

    async def return_unused(self) -> None:
        """Returns tokens that are not used."""
        await self._home.return_unused()
        await self._own.return_unused(_holds_nothing)

    async def wait_idle(self) -> None:
        """Waits until all homes have heard of the ends of their turns."""
        await self._tasks.wait_idle()

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
        lend: bool,
    ) -> Reservation | Denial:
        """Sets aside the most that a turn can spend.

        Args:
            program: The program.
            budget: Its budget.
            tokens: The most that the turn can spend.
            until_ms: When to give up if neither home nor log answers.
            lend: Whether the turn can end while the log is away, so that
                the home may lend it tokens.
        """
        request = entry_pb2.ReserveRequest(
            program=program,
            budget=budget,
            tokens=tokens,
            ticket=f"{self._host}/{next(self._tickets)}",
            wait_ms=max(0.0, until_ms - self._clock.now_ms()),
            lend=lend,
        )
        granter = self._granter(program)
        reply = await self._ask(granter, request) if granter else None
        if granter is None or reply is None or reply.outcome == reply.NOT_HOME:
            return await self._reserve_alone(program, budget, tokens, until_ms)
        if reply.outcome != reply.RESERVED:
            return Denial(reply.outcome == reply.SPENT, reply.granted)
        ticket = request.ticket
        return Reservation(
            reply.tokens, lambda spent: self._settle(granter, ticket, spent)
        )

    async def _reserve_alone(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
    ) -> Reservation | Denial:
        now_ms = self._clock.now_ms()
        until_ms = max(until_ms, now_ms + DIRECT_RESERVE_MS)
        verdict = await self._own.reserve(
            program, budget, tokens, until_ms, home_since_ms=None
        )
        purse = verdict.balance
        if purse is None:
            return Denial(verdict.is_spent, verdict.granted)

        def settle(spent: int) -> None:
            purse.settle(verdict.tokens, spent)
            # Other hosts may need what is left.
            unused = purse.withdraw(verdict.tokens - spent)
            if unused:
                self._tasks.start(self._own.return_tokens(program, unused))

        return Reservation(verdict.tokens, settle)

    def _granter(self, program: spending.ProgramKey) -> _Granter | None:
        """Returns the home of a program, if it is worth asking."""
        key = program_home_key(program)
        if self._homes.owned_since_ms(key) is not None:
            return _Granter(self._home.reserve, self._home.settle)
        address = self._links.home_address(self._homes, key)
        if address is None:
            return None
        return _Granter(
            lambda request: self._links.reserve(
                address, _for_other_host(request), HOME_TIMEOUT_MS
            ),
            lambda request: self._links.settle(
                address, request, SETTLE_TIMEOUT_MS
            ),
        )

    async def _ask(
        self, granter: _Granter, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply | None:
        reply = None
        try:
            reply = await granter.reserve(request)
        finally:
            if reply is None:
                # The home may have set tokens aside all the same.
                self._settle(granter, request.ticket, 0)
        return reply

    def _settle(self, granter: _Granter, ticket: str, spent: int) -> None:
        request = entry_pb2.SettleRequest(ticket=ticket, spent=spent)
        self._tasks.start(self._send_settle(granter, request))

    async def _send_settle(
        self, granter: _Granter, request: entry_pb2.SettleRequest
    ) -> None:
        for _ in range(SETTLE_TRIES):
            if await granter.settle(request) is not None:
                return
            await asyncio.sleep(clock_lib.to_seconds(SETTLE_RETRY_MS))


def _holds_nothing(_program: spending.ProgramKey) -> bool:
    """Tells that this host is no home."""
    return False


def _for_other_host(
    request: entry_pb2.ReserveRequest,
) -> entry_pb2.ReserveRequest:
    """Returns a request whose answer comes in time."""
    found = entry_pb2.ReserveRequest()
    found.CopyFrom(request)
    found.wait_ms = min(request.wait_ms, HOME_WAIT_MS)
    return found
