"""Finds what targets hold for programs and calls that are gone.

The pool's home asks its engines what they hold and all hosts which calls
they have under way; hosts outside the view claim theirs unasked. What nobody
has under way is cancelled. Programs with
a prefix but no call are asked of their own homes; those that have ended,
or never were, have their prefixes released. Nothing is taken for gone on
the word of a host that did not answer.
"""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING, Self

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import pools, resource_claims
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mangotally.engines import client as engine_client
    from mangotally.homes import membership
    from mangotally.homes import pool as pool_lib
    from mangotally.homes import pools as pool_home
    from mangotally.homes import programs as program_home
    from mangotally.hosts import peers as peers_lib
    from mangotally.hosts import router

logger = logging.getLogger(__name__)

MAX_BATCH = 256
RECHECK_MS = 60_000
PROGRAMS_PER_STEP = 16

Held = tuple[ids.TargetId, ids.CallId]
Holder = tuple[ids.ServiceId, ids.HostId]


class Sweep:
    """Reconciles the pools of model engines that are at home here."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.Peers,
        home: pool_home.PoolHome,
        programs: program_home.ProgramHome,
        engine: engine_client.EngineClient,
        clock: clock_lib.Clock,
        sweep_ms: float,
        grace_ms: float,
    ) -> None:
        """Makes a sweep; entering it starts it."""
        self._sweep_ms = sweep_ms
        self._members = members
        self._peers = peers
        self._home = home
        self._programs = programs
        self._engine = engine
        self._clock = clock
        self._calls: resource_claims.UnclaimedTracker[Held] = (
            resource_claims.UnclaimedTracker(grace_ms)
        )
        self._granted: resource_claims.UnclaimedTracker[ids.CallId] = (
            resource_claims.UnclaimedTracker(grace_ms)
        )
        self._claims: resource_claims.ClaimTable[
            Holder, messages.RunningCall
        ] = resource_claims.ClaimTable(grace_ms)
        self._rechecks: dict[
            ids.ServiceId, resource_claims.RecheckSchedule[messages.ProgramName]
        ] = {}
        self._background = background.BackgroundTasks(self._run)

    def attach(self, handlers: router.Router) -> None:
        """Adds this host's handlers."""
        handlers.add_unary(messages.FindGonePrograms, self.find_gone)
        handlers.add_unary(messages.ClaimCalls, self.claim)

    async def __aenter__(self) -> Self:
        """Starts to sweep."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to sweep."""
        await self._background.stop()

    async def find_gone(
        self, message: messages.FindGonePrograms
    ) -> errors.Outcome[messages.GonePrograms]:
        """Returns those programs that have ended or never were."""
        gone = []
        for number, name in enumerate(message.programs):
            if number % PROGRAMS_PER_STEP == 0:
                await asyncio.sleep(0)
            if await self._is_gone(name):
                gone.append(name)
        return result.Success(messages.GonePrograms(tuple(gone)))

    async def claim(
        self, message: messages.ClaimCalls
    ) -> errors.Outcome[messages.Done]:
        """Takes the calls of a host that is not asked for them."""
        self._claims.put(
            (message.service, message.host),
            message.calls,
            self._clock.now_ms(),
        )
        return result.Success(messages.Done())

    async def sweep(self, pool: pool_lib.Pool) -> None:
        """Sweeps over one pool."""
        running = await self._running(pool.service)
        if running is None:
            return
        now_ms = self._clock.now_ms()
        self._end_lost(pool, running, now_ms)
        held = await self._holdings(pool)
        calls = [(target, call) for target, item in held for call in item.calls]
        lost = self._calls.observe(
            calls,
            lambda item: item[1] in running or item[1] in pool.granted,
            now_ms,
        )
        for target, call in lost:
            logger.warning(
                "call_unclaimed", extra={"target": target, "call": call}
            )
        pool.cancels.update(lost)
        await self._release_gone(pool, held, running)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(self._sweep_ms))
            for pool in self._home.model_pools():
                await self.sweep(pool)

    async def _running(
        self, service: ids.ServiceId
    ) -> dict[ids.CallId, messages.RunningCall] | None:
        """Returns all hosts' calls, or None if a host did not answer."""
        message = messages.DescribeCalls(service)
        answers = await asyncio.gather(
            *(
                self._peers.call(host, message)
                for host in self._members.view.hosts()
            )
        )
        claimed = self._claims.valid(self._clock.now_ms())
        found = {item.call: item for item in claimed}
        for answer in answers:
            if not isinstance(answer, result.Success):
                return None
            found.update((item.call, item) for item in answer.unwrap().calls)
        return found

    def _end_lost(
        self,
        pool: pool_lib.Pool,
        running: dict[ids.CallId, messages.RunningCall],
        now_ms: float,
    ) -> None:
        """Ends granted calls whose host is gone or knows nothing of them."""
        for call in self._granted.observe(
            list(pool.granted), lambda item: item in running, now_ms
        ):
            granted = pool.granted[call]
            logger.warning(
                "call_lost", extra={"target": granted.target, "call": call}
            )
            pool.finish(
                messages.ReleaseSlot(
                    pool.service,
                    pools.CallReport(call, pools.CallEnd.CANCELLED),
                    granted.target,
                    granted.call.digest,
                )
            )

    async def _holdings(
        self, pool: pool_lib.Pool
    ) -> list[tuple[ids.TargetId, engine_client.Holdings]]:
        infos = list(pool.targets.values())
        answers = await asyncio.gather(
            *(self._engine.holdings(info.address) for info in infos)
        )
        return [
            (info.target, answer.unwrap())
            for info, answer in zip(infos, answers, strict=True)
            if isinstance(answer, result.Success)
        ]

    async def _release_gone(
        self,
        pool: pool_lib.Pool,
        held: list[tuple[ids.TargetId, engine_client.Holdings]],
        running: dict[ids.CallId, messages.RunningCall],
    ) -> None:
        busy = {item.program for item in running.values()}
        busy.update(item.call.program for item in pool.granted.values())
        names = {
            messages.ProgramName(prefix.organisation, prefix.program)
            for _, item in held
            for prefix in item.prefixes
            if prefix.program not in busy
        }
        pool.forget_organisations(busy | {name.program for name in names})
        gone = await self._find_gone(pool.service, names)
        for target, item in held:
            for prefix in item.prefixes:
                name = messages.ProgramName(prefix.organisation, prefix.program)
                if name in gone:
                    pool.organisations[prefix.program] = prefix.organisation
                    pool.add_release(target, prefix.program)

    async def _find_gone(
        self, service: ids.ServiceId, names: set[messages.ProgramName]
    ) -> set[messages.ProgramName]:
        """Asks for the programs that were not found live of late."""
        rechecks = self._rechecks.setdefault(
            service, resource_claims.RecheckSchedule(RECHECK_MS)
        )
        now_ms = self._clock.now_ms()
        gone: set[messages.ProgramName] = set()
        for asked, answer in await self._ask(rechecks.due(names, now_ms)):
            gone |= answer
            for name in asked - answer:
                rechecks.confirm(name, now_ms)
        return gone

    async def _ask(
        self, names: Iterable[messages.ProgramName]
    ) -> list[tuple[set[messages.ProgramName], set[messages.ProgramName]]]:
        """Returns for each home that answered what it was asked and said."""
        by_home = collections.defaultdict(list)
        for name in names:
            key = self._programs.key_of(name.organisation, name.program)
            by_home[self._members.home_of(key)].append(name)
        batches = [
            (home, tuple(found[start : start + MAX_BATCH]))
            for home, found in by_home.items()
            for start in range(0, len(found), MAX_BATCH)
        ]
        answers = await asyncio.gather(
            *(
                self._peers.call(home, messages.FindGonePrograms(batch))
                for home, batch in batches
            )
        )
        return [
            (set(batch), set(answer.unwrap().programs))
            for (_, batch), answer in zip(batches, answers, strict=True)
            if isinstance(answer, result.Success)
        ]

    async def _is_gone(self, name: messages.ProgramName) -> bool:
        described = await self._programs.describe(
            messages.DescribeProgram(name.organisation, name.program)
        )
        if isinstance(described, result.Success):
            found = described.unwrap()
            is_over = self._clock.wall_ms() >= found.deadline_wall_ms
            return found.closed is not None or is_over
        return described.failure().reason is errors.Reason.NOT_FOUND
