"""Frees what targets hold for calls and programs that no longer exist.

The home of a pool asks the engines what they hold, and all hosts in the view
which of their calls hold slots; hosts outside the view claim their calls
unasked. Calls that no host claims are cancelled. For programs that hold a
prefix but have no call, the homes of the programs are asked; if a program has
ended or never existed, its prefixes are released. A missing answer is never
taken to mean that a call or program has ended.
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

# Programs per question to a home.
MAX_BATCH = 256
# A program that was found open is not asked for again within this time.
RECHECK_MS = 60_000
# Programs that are looked up before other tasks get to run.
PROGRAMS_PER_YIELD = 16

HeldCall = tuple[ids.TargetId, ids.CallId]
ClaimHolder = tuple[ids.ServiceId, ids.HostId]


class Sweep:
    """Reconciles the pools of model engines whose home is this host."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.PeerClient,
        home: pool_home.PoolHome,
        programs: program_home.ProgramHome,
        engine: engine_client.EngineClient,
        clock: clock_lib.Clock,
        sweep_ms: float,
        grace_ms: float,
    ) -> None:
        """Entering the sweep starts it.

        Args:
            members: The membership of this host.
            peers: Client of the other hosts.
            home: The home of the pools of this host.
            programs: The home of the programs of this host.
            engine: Client of model engines.
            clock: The host's clock.
            sweep_ms: Interval between sweeps.
            grace_ms: Time for which a call must be unclaimed before it is
                cancelled, and for which a claim is valid.
        """
        self._sweep_ms = sweep_ms
        self._members = members
        self._peers = peers
        self._home = home
        self._programs = programs
        self._engine = engine
        self._clock = clock
        self._unclaimed_held: resource_claims.UnclaimedTracker[HeldCall] = (
            resource_claims.UnclaimedTracker(grace_ms)
        )
        self._unclaimed_active: resource_claims.UnclaimedTracker[ids.CallId] = (
            resource_claims.UnclaimedTracker(grace_ms)
        )
        self._claims: resource_claims.ClaimTable[
            ClaimHolder, messages.RunningCall
        ] = resource_claims.ClaimTable(grace_ms)
        self._rechecks: dict[
            ids.ServiceId, resource_claims.RecheckSchedule[messages.ProgramName]
        ] = {}
        self._background = background.BackgroundTasks(self._run)

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handlers."""
        handlers.add_unary(messages.FindGonePrograms, self.find_gone)
        handlers.add_unary(messages.ClaimCalls, self.claim)

    async def __aenter__(self) -> Self:
        """Starts sweeping."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops sweeping."""
        await self._background.stop()

    async def find_gone(
        self, message: messages.FindGonePrograms
    ) -> errors.Outcome[messages.GonePrograms]:
        """Returns the programs that have ended or never existed."""
        ended = []
        for number, name in enumerate(message.programs):
            if number % PROGRAMS_PER_YIELD == 0:
                await asyncio.sleep(0)
            if await self._has_ended(name):
                ended.append(name)
        return result.Success(messages.GonePrograms(tuple(ended)))

    async def claim(
        self, message: messages.ClaimCalls
    ) -> errors.Outcome[messages.Done]:
        """Records the calls of a host that is outside the view."""
        self._claims.put(
            (message.service, message.host),
            message.calls,
            self._clock.now_ms(),
        )
        return result.Success(messages.Done())

    async def sweep(self, pool: pool_lib.Pool) -> None:
        """Reconciles one pool."""
        claimed = await self._claimed_calls(pool.service)
        if claimed is None:
            return
        now_ms = self._clock.now_ms()
        self._end_unclaimed(pool, claimed, now_ms)
        held = await self._holdings(pool)
        calls = [(target, call) for target, item in held for call in item.calls]
        unclaimed = self._unclaimed_held.observe(
            calls,
            lambda item: item[1] in claimed or item[1] in pool.active_calls,
            now_ms,
        )
        for target, call in unclaimed:
            logger.warning(
                "call_unclaimed", extra={"target": target, "call": call}
            )
        pool.pending_cancels.update(unclaimed)
        await self._release_ended(pool, held, claimed)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(self._sweep_ms))
            for pool in self._home.model_pools():
                await self.sweep(pool)

    async def _claimed_calls(
        self, service: ids.ServiceId
    ) -> dict[ids.CallId, messages.RunningCall] | None:
        """Returns the calls of all hosts, or None if a host did not answer."""
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

    def _end_unclaimed(
        self,
        pool: pool_lib.Pool,
        claimed: dict[ids.CallId, messages.RunningCall],
        now_ms: float,
    ) -> None:
        """Ends active calls that their host does not claim."""
        for call in self._unclaimed_active.observe(
            list(pool.active_calls), lambda item: item in claimed, now_ms
        ):
            active = pool.active_calls[call]
            logger.warning(
                "call_lost", extra={"target": active.target, "call": call}
            )
            pool.finish(
                messages.ReleaseSlot(
                    pool.service,
                    pools.CallReport(call, pools.CallEnd.CANCELLED),
                    active.target,
                    active.call.digest,
                )
            )

    async def _holdings(
        self, pool: pool_lib.Pool
    ) -> list[tuple[ids.TargetId, engine_client.EngineInventory]]:
        infos = list(pool.targets.values())
        answers = await asyncio.gather(
            *(self._engine.fetch_inventory(info.address) for info in infos)
        )
        return [
            (info.target, answer.unwrap())
            for info, answer in zip(infos, answers, strict=True)
            if isinstance(answer, result.Success)
        ]

    async def _release_ended(
        self,
        pool: pool_lib.Pool,
        held: list[tuple[ids.TargetId, engine_client.EngineInventory]],
        claimed: dict[ids.CallId, messages.RunningCall],
    ) -> None:
        in_use = {item.program for item in claimed.values()}
        in_use.update(item.call.program for item in pool.active_calls.values())
        names = {
            messages.ProgramName(prefix.organisation, prefix.program)
            for _, item in held
            for prefix in item.prefixes
            if prefix.program not in in_use
        }
        pool.prune_organisations(in_use | {name.program for name in names})
        ended = await self._find_ended(pool.service, names)
        for target, item in held:
            for prefix in item.prefixes:
                name = messages.ProgramName(prefix.organisation, prefix.program)
                if name in ended:
                    pool.program_organisations[prefix.program] = (
                        prefix.organisation
                    )
                    pool.add_release(target, prefix.program)

    async def _find_ended(
        self, service: ids.ServiceId, names: set[messages.ProgramName]
    ) -> set[messages.ProgramName]:
        """Returns the ended programs; skips those recently found open."""
        rechecks = self._rechecks.setdefault(
            service, resource_claims.RecheckSchedule(RECHECK_MS)
        )
        now_ms = self._clock.now_ms()
        ended: set[messages.ProgramName] = set()
        for asked, answer in await self._ask_homes(rechecks.due(names, now_ms)):
            ended |= answer
            for name in asked - answer:
                rechecks.confirm(name, now_ms)
        return ended

    async def _ask_homes(
        self, names: Iterable[messages.ProgramName]
    ) -> list[tuple[set[messages.ProgramName], set[messages.ProgramName]]]:
        """Asks the homes of programs which of them have ended.

        Returns:
            For each batch that was answered, the programs that were asked
            for and the ones that have ended.
        """
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

    async def _has_ended(self, name: messages.ProgramName) -> bool:
        described = await self._programs.describe(
            messages.DescribeProgram(name.organisation, name.program)
        )
        if isinstance(described, result.Success):
            found = described.unwrap()
            is_past_deadline = self._clock.wall_ms() >= found.deadline_wall_ms
            return found.closed is not None or is_past_deadline
        return described.failure().reason is errors.Reason.NOT_FOUND
