"""Pools of targets at their home: queues, load reports, releases."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Self

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import homes, pools
from mangotally.roster import base as roster_base
from mangotally.settings import lists as list_settings
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.engines import client as engine_client
    from mangotally.homes import configuration, membership
    from mangotally.hosts import router
    from mangotally.settings import host as host_settings

logger = logging.getLogger(__name__)

RELEASE_RETRY_MS = 1000


class Pool:
    """One service's targets and the calls that wait for them."""

    def __init__(
        self, scheduler: pools.Scheduler, clock: clock_lib.Clock
    ) -> None:
        self.scheduler = scheduler
        self.targets: dict[ids.TargetId, pools.TargetInfo] = {}
        self.releases: set[tuple[ids.TargetId, ids.ProgramId]] = set()
        self._clock = clock
        self._waiting: dict[ids.CallId, asyncio.Future[pools.Action]] = {}

    def advance(self) -> None:
        """Carries out what the scheduler wants done now."""
        for action in self.scheduler.advance(self._clock.now_ms()):
            match action:
                case pools.Release():
                    self.releases.add((action.target, action.program))
                case pools.Dispatch() | pools.Refuse():
                    future = self._waiting.pop(action.call, None)
                    if future is not None and not future.done():
                        future.set_result(action)

    async def acquire(self, call: pools.PoolCall) -> pools.Action:
        """Waits for a target for a call."""
        future: asyncio.Future[pools.Action]
        future = asyncio.get_running_loop().create_future()
        self._waiting[call.call] = future
        self.scheduler.submit(call, self._clock.now_ms())
        self.advance()
        try:
            return await future
        except asyncio.CancelledError:
            self._waiting.pop(call.call, None)
            self.scheduler.cancel(call.call, self._clock.now_ms())
            self.advance()
            raise

    def finish(self, report: pools.CallReport) -> None:
        """Takes the report of a call that ended or was given up."""
        now_ms = self._clock.now_ms()
        future = self._waiting.pop(report.call, None)
        if future is not None:
            future.cancel()
        if report.end is pools.CallEnd.CANCELLED:
            self.scheduler.cancel(report.call, now_ms)
        else:
            self.scheduler.finish(report, now_ms)
        self.advance()


class PoolHome:
    """The pools that this host is home of."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        members: membership.Membership,
        live: configuration.LiveConfiguration,
        roster: roster_base.Roster,
        engine: engine_client.EngineClient,
        make_scheduler: Callable[[], pools.Scheduler],
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the home; entering it starts its polls."""
        self._settings = settings
        self._members = members
        self._live = live
        self._roster = roster
        self._engine = engine
        self._make_scheduler = make_scheduler
        self._clock = clock
        self._entries: tuple[roster_base.RosterEntry, ...] = ()
        self._pools: dict[ids.ServiceId, Pool] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def attach(self, handlers: router.Router) -> None:
        """Adds this home's handlers."""
        handlers.add_unary(messages.AcquireSlot, self.acquire)
        handlers.add_unary(messages.ReleaseSlot, self.release)
        handlers.add_unary(messages.EndProgram, self.end_program)

    async def __aenter__(self) -> Self:
        """Reads the host list once and starts the polls."""
        await self._read_roster()
        self._tasks = [
            asyncio.create_task(self._poll_roster()),
            asyncio.create_task(self._poll_targets()),
        ]
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the polls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def acquire(
        self, message: messages.AcquireSlot
    ) -> errors.Outcome[messages.SlotGranted]:
        """Answers when there is a target for the call."""
        if not self._members.is_home(homes.pool_key(message.service)):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        due_ms = self._clock.now_ms() + message.call.deadline_ms
        call = dataclasses.replace(message.call, deadline_ms=due_ms)
        action = await self._pool(message.service).acquire(call)
        match action:
            case pools.Dispatch():
                return result.Success(
                    messages.SlotGranted(action.target, action.address)
                )
            case pools.Refuse():
                return errors.failed(errors.Reason.UNAVAILABLE, action.detail)
            case _:
                raise errors.InvariantError("a release is no answer")

    async def release(
        self, message: messages.ReleaseSlot
    ) -> errors.Outcome[messages.Done]:
        """Takes the report of a call that ended."""
        if not self._members.is_home(homes.pool_key(message.service)):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        pool = self._pool(message.service)
        pool.finish(message.report)
        return result.Success(messages.Done())

    async def end_program(
        self, message: messages.EndProgram
    ) -> errors.Outcome[messages.Done]:
        """Has a gone program's prefixes released."""
        if not self._members.is_home(homes.pool_key(message.service)):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        pool = self._pool(message.service)
        pool.scheduler.end_program(message.program, self._clock.now_ms())
        pool.advance()
        return result.Success(messages.Done())

    def targets_of(
        self, service: ids.ServiceId
    ) -> list[roster_base.RosterEntry]:
        """Returns the live targets of a service, as the list has them."""
        return [
            entry
            for entry in self._entries
            if entry.kind is roster_base.EntryKind.TARGET
            and entry.service == service
            and entry.state is roster_base.EntryState.LIVE
        ]

    def dump(self) -> dict[str, object]:
        """Returns the pools' state, for the state dump."""
        return {
            service: {
                "targets": {
                    info.target: info.state.value
                    for info in pool.targets.values()
                },
                "releases": len(pool.releases),
            }
            for service, pool in sorted(self._pools.items())
        }

    def _pool(self, service: ids.ServiceId) -> Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = Pool(self._make_scheduler(), self._clock)
            self._pools[service] = pool
            self._refresh(service, pool)
        return pool

    async def _poll_roster(self) -> None:
        while True:
            await asyncio.sleep(
                clock_lib.to_seconds(self._settings.roster_poll_ms)
            )
            await self._read_roster()

    async def _read_roster(self) -> None:
        match await self._roster.list():
            case result.Success(entries):
                self._entries = entries
                for service, pool in self._pools.items():
                    self._refresh(service, pool)
            case _:
                logger.warning("roster_unavailable")

    def _refresh(self, service: ids.ServiceId, pool: Pool) -> None:
        lists = self._live.current.lists
        found = lists.service(service) if lists else None
        slots = found.worker_calls if found else 1
        infos = [
            pools.TargetInfo(
                ids.TargetId(entry.id),
                entry.address,
                entry.place,
                pools.TargetState(entry.state.value),
                slots,
            )
            for entry in self._entries
            if entry.kind is roster_base.EntryKind.TARGET
            and entry.service == service
        ]
        pool.targets = {info.target: info for info in infos}
        pool.scheduler.set_targets(infos, self._clock.now_ms())
        pool.advance()

    async def _poll_targets(self) -> None:
        while True:
            await asyncio.sleep(
                clock_lib.to_seconds(self._settings.load_poll_ms)
            )
            for service, pool in list(self._pools.items()):
                if not self._members.is_home(homes.pool_key(service)):
                    continue
                if self._is_model(service):
                    await self._poll_pool(pool)

    def _is_model(self, service: ids.ServiceId) -> bool:
        lists = self._live.current.lists
        found = lists.service(service) if lists else None
        return (
            found is not None and found.kind is list_settings.ServiceKind.MODEL
        )

    async def _poll_pool(self, pool: Pool) -> None:
        await asyncio.gather(
            *(self._poll_target(pool, info) for info in pool.targets.values())
        )
        for target, program in list(pool.releases):
            await self._release_prefix(pool, target, program)
        pool.advance()

    async def _poll_target(self, pool: Pool, info: pools.TargetInfo) -> None:
        match await self._engine.load(info.address):
            case result.Success(report):
                pool.scheduler.observe_load(
                    info.target, report, self._clock.now_ms()
                )

    async def _release_prefix(
        self, pool: Pool, target: ids.TargetId, program: ids.ProgramId
    ) -> None:
        info = pool.targets.get(target)
        if info is None:
            pool.releases.discard((target, program))
            return
        outcome = await self._engine.release(info.address, program)
        if isinstance(outcome, result.Success):
            pool.releases.discard((target, program))
            pool.scheduler.confirm_release(
                target, program, self._clock.now_ms()
            )
