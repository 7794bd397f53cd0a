"""Token budgets of programs, enforced by the homes of the programs.

The home of a program is the host that owns the key of the program.
"""

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
# Far more than the number of calls that can be in flight.
MAX_SETTLED_EARLY = 10_000
# Allows for a call from the home to the log, which may be slow.
HOME_TIMEOUT_MS = 300
# Longest time that a home lets a turn of another host wait for running
# turns to release tokens. The reply must arrive before that host's call times
# out and the home counts as unresponsive.
HOME_WAIT_MS = 150
# Minimum time to reserve directly from the log after the home has not
# responded.
DIRECT_RESERVE_MS = 200
SETTLE_TIMEOUT_MS = 300
# The tries together take longer than a busy home stays unresponsive.
SETTLE_TRIES = 5
SETTLE_RETRY_MS = 300
# Interval at which a stream that is out of tokens retries.
EXTEND_RETRY_MS = 250
# Unspent tokens are returned after `spending.RETURN_AFTER_PERIODS` periods of
# this length, so within one second of the end of a turn; from then on other
# hosts rely on them.
RETURN_MS = 225


def program_key(
    organisation: ids.OrganisationId, program: str
) -> spending.ProgramKey:
    """Returns the key of an organisation's program."""
    return spending.ProgramKey(f"{organisation}/{program}")


@dataclasses.dataclass(frozen=True)
class Denial:
    """No tokens were reserved.

    Attributes:
        is_spent: Whether the remaining budget is too small for the turn;
            otherwise the state of the budget could not be determined.
        granted: Tokens granted to all hosts, for logs.
    """

    is_spent: bool
    granted: int


def program_home_key(program: spending.ProgramKey) -> str:
    """Returns the key whose home reserves the tokens of a program."""
    return str(program)


class Reservation:
    """Tokens reserved for one turn.

    Attributes:
        tokens: Number of tokens; the turn must not spend more.
    """

    def __init__(self, tokens: int, settle: Callable[[int], None]) -> None:
        """Initialises the reservation.

        Args:
            tokens: Number of reserved tokens.
            settle: Called with the number of spent tokens at the end.
        """
        self.tokens = tokens
        self._settle = settle

    def settle(self, spent: int) -> None:
        """Ends the reservation and releases the tokens not spent.

        Args:
            spent: Tokens of the events that were sent to the caller.
        """
        self._settle(spent)


class TurnReservation:
    """Reservations of one turn, extended if the tokens run short."""

    def __init__(
        self,
        first: Reservation,
        max_tokens: int,
        reserve: Callable[[int], Awaitable[Reservation | Denial]],
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the reservations of a turn with the first one.

        Args:
            first: Reservation made before the turn began.
            max_tokens: Maximum number of tokens that the turn can spend.
            reserve: Reserves more tokens.
            clock: Clock for deadlines.
        """
        self._reservations = [first]
        self._max_tokens = max_tokens
        self._reserve = reserve
        self._clock = clock

    @property
    def tokens(self) -> int:
        """Number of reserved tokens."""
        return sum(each.tokens for each in self._reservations)

    @property
    def is_fully_reserved(self) -> bool:
        """Whether the reservations cover the maximum of the turn."""
        return self.tokens >= self._max_tokens

    async def extend(self, until_ms: float) -> bool:
        """Reserves the missing tokens; returns whether that succeeded.

        Args:
            until_ms: Time until which failed attempts are repeated, unless the
                budget is spent.
        """
        while self._clock.now_ms() < until_ms:
            found = await self._reserve(self._max_tokens - self.tokens)
            if isinstance(found, Reservation):
                self._reservations.append(found)
                return True
            if found.is_spent:
                return False
            await asyncio.sleep(clock_lib.to_seconds(EXTEND_RETRY_MS))
        return False

    def settle(self, spent: int) -> None:
        """Ends the turn and releases the tokens not spent."""
        *earlier, last = self._reservations
        for each in earlier:
            share = min(spent, each.tokens)
            each.settle(share)
            spent -= share
        # More than was reserved, if the turn generated more than declared.
        last.settle(spent)


class BudgetHome:
    """Reservations for the programs that this host is the home of."""

    def __init__(
        self,
        homes: homes_lib.Homes,
        owned: host_grants.HostGrants,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without reservations.

        Args:
            homes: Homes of keys.
            owned: Grants of this host as a home.
            clock: Clock for deadlines.
        """
        self._homes = homes
        self._grants = owned
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
        """Reserves the maximum number of tokens that a turn can spend."""
        program = spending.ProgramKey(request.program)
        key = program_home_key(program)
        home_since_ms = self._homes.owned_since_ms(key)
        if home_since_ms is None:
            return entry_pb2.ReserveReply()

        def sole_home_since_ms() -> float | None:
            return self._homes.owned_since_ms(key) if request.lend else None

        result = await self._grants.reserve(
            program,
            request.budget,
            request.tokens,
            self._clock.now_ms() + request.wait_ms,
            sole_home_since_ms,
            home_since_ms,
        )
        reply = entry_pb2.ReserveReply(granted=result.granted)
        if result.balance is None:
            reply.outcome = reply.SPENT if result.is_spent else reply.UNKNOWN
            return reply
        if self._settled_early.pop(request.ticket, False):
            result.balance.settle(result.tokens, 0)
            reply.outcome = reply.UNKNOWN
            return reply
        reply.outcome = reply.RESERVED
        reply.tokens = result.tokens
        self._reserved[request.ticket] = (result.balance, result.tokens)
        if len(self._reserved) > MAX_RESERVATIONS:
            self._reserved.popitem(last=False)
        return reply

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Ends a reservation, including one that is still being made."""
        found = self._reserved.pop(request.ticket, None)
        if found is not None:
            balance, tokens = found
            balance.settle(tokens, request.spent)
        elif not request.spent:
            # The caller no longer waits for the reservation and does not use
            # it, so `reserve` releases it as soon as it is made.
            self._settled_early[request.ticket] = True
            if len(self._settled_early) > MAX_SETTLED_EARLY:
                self._settled_early.popitem(last=False)
        return entry_pb2.SettleReply()

    async def return_unused(self) -> None:
        """Returns unused tokens to the budgets.

        Of a program that this host is no longer the home of, all free tokens
        are returned.
        """
        await self._grants.return_unused(self._is_home)

    def _is_home(self, program: spending.ProgramKey) -> bool:
        key = program_home_key(program)
        return self._homes.owned_since_ms(key) is not None


@dataclasses.dataclass(frozen=True)
class _Granter:
    """The host that reserves tokens for a turn.

    The same host must be told when the turn ends, even if another host is the
    home of the program by then.

    Attributes:
        reserve: Requests a reservation; returns None without a response.
        settle: Ends a reservation; returns None without a response.
    """

    reserve: Callable[
        [entry_pb2.ReserveRequest], Awaitable[entry_pb2.ReserveReply | None]
    ]
    settle: Callable[
        [entry_pb2.SettleRequest], Awaitable[entry_pb2.SettleReply | None]
    ]


class BudgetClient:
    """Reserves program tokens for the turns that this host handles."""

    def __init__(
        self,
        host: ids.HostId,
        local: BudgetHome,
        direct: host_grants.HostGrants,
        homes: homes_lib.Homes,
        links: peers.PeerClient,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the client.

        Args:
            host: Identifies this host and process start.
            local: Reservations that this host keeps as a home.
            direct: Grants for turns whose home does not respond.
            homes: Homes of keys.
            links: Connections to the other hosts.
            clock: Clock for deadlines.
        """
        self._host = host
        self._local = local
        self._direct = direct
        self._homes = homes
        self._peers = links
        self._clock = clock
        self._tickets = itertools.count()
        self._tasks = background.DetachedTasks()

    async def run(self) -> None:
        """Returns unused tokens periodically, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(RETURN_MS))
            await self.return_unused()

    async def return_unused(self) -> None:
        """Returns unused tokens to the budgets of their programs."""
        await self._local.return_unused()
        await self._direct.return_unused(_holds_nothing)

    async def wait_idle(self) -> None:
        """Waits until all settlements have been delivered or given up."""
        await self._tasks.wait_idle()

    async def reserve(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
        may_be_provisional: bool,
    ) -> Reservation | Denial:
        """Reserves the maximum number of tokens that a turn can spend.

        Args:
            program: Program of the turn.
            budget: Token budget of the program.
            tokens: Maximum number of tokens that the turn can spend.
            until_ms: Deadline if neither the home nor the log responds.
            may_be_provisional: Whether the home may make a provisional grant.
                Only allowed for turns that can end while the log is
                unavailable.
        """
        request = entry_pb2.ReserveRequest(
            program=program,
            budget=budget,
            tokens=tokens,
            ticket=f"{self._host}/{next(self._tickets)}",
            wait_ms=max(0.0, until_ms - self._clock.now_ms()),
            lend=may_be_provisional,
        )
        granter = self._granter(program)
        reply = await self._ask(granter, request) if granter else None
        if granter is None or reply is None or reply.outcome == reply.NOT_HOME:
            return await self._reserve_directly(
                program, budget, tokens, until_ms
            )
        if reply.outcome != reply.RESERVED:
            return Denial(reply.outcome == reply.SPENT, reply.granted)
        ticket = request.ticket
        return Reservation(
            reply.tokens, lambda spent: self._settle(granter, ticket, spent)
        )

    async def _reserve_directly(
        self,
        program: spending.ProgramKey,
        budget: int,
        tokens: int,
        until_ms: float,
    ) -> Reservation | Denial:
        """Reserves tokens from the log, without the home."""
        now_ms = self._clock.now_ms()
        until_ms = max(until_ms, now_ms + DIRECT_RESERVE_MS)
        result = await self._direct.reserve(
            program, budget, tokens, until_ms, home_since_ms=None
        )
        balance = result.balance
        if balance is None:
            return Denial(result.is_spent, result.granted)

        def settle(spent: int) -> None:
            balance.settle(result.tokens, spent)
            # Other hosts may need the rest.
            unused = balance.withdraw(result.tokens - spent)
            if unused:
                self._tasks.start(self._direct.return_tokens(program, unused))

        return Reservation(result.tokens, settle)

    def _granter(self, program: spending.ProgramKey) -> _Granter | None:
        """Returns the home of a program, or None if it can't be called now."""
        key = program_home_key(program)
        if self._homes.owned_since_ms(key) is not None:
            return _Granter(self._local.reserve, self._local.settle)
        address = self._peers.home_address(self._homes, key)
        if address is None:
            return None
        return _Granter(
            lambda request: self._peers.reserve(
                address, _with_shorter_wait(request), HOME_TIMEOUT_MS
            ),
            lambda request: self._peers.settle(
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
                # The home may have reserved tokens nevertheless.
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
    """Returns False: grants made without the home keep no free tokens."""
    return False


def _with_shorter_wait(
    request: entry_pb2.ReserveRequest,
) -> entry_pb2.ReserveRequest:
    """Returns a request that the home answers before the call times out."""
    shortened = entry_pb2.ReserveRequest()
    shortened.CopyFrom(request)
    shortened.wait_ms = min(request.wait_ms, HOME_WAIT_MS)
    return shortened
