"""Home of pools: grants slots, polls targets, releases and cancels.

The home of a pool is the host that owns the service's key; it schedules all
calls to the service's targets.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Self

from returns import result

from mangotally import errors, ids
from mangotally.engines import client as engine_client
from mangotally.homes import pool as pool_lib
from mangotally.hosts import messages
from mangotally.policy import breaker, load_reports, pools, rendezvous
from mangotally.roster import base as roster_base
from mangotally.settings import lists as list_settings
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from mangotally.homes import configuration, membership
    from mangotally.homes import quarantine as live_quarantine
    from mangotally.hosts import router
    from mangotally.services import client as service_client
    from mangotally.settings import host as host_settings

logger = logging.getLogger(__name__)

# Control calls of one pool to its targets at a time.
MAX_CONCURRENT_CONTROL_CALLS = 64
MAX_RELEASES_PER_REQUEST = 1000


class PoolHome:
    """The pools whose home is this host."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        members: membership.Membership,
        live: configuration.LiveConfiguration,
        quarantine: live_quarantine.LiveQuarantine,
        roster: roster_base.Roster,
        engine: engine_client.EngineClient,
        services: service_client.ServiceClient,
        make_scheduler: Callable[[], pools.Scheduler],
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        """Entering the home reads the host list and starts polling.

        Args:
            settings: The settings of this host.
            members: The membership of this host.
            live: The configuration in force.
            quarantine: The quarantine in force.
            roster: The host list.
            engine: Client of model engines.
            services: Client of other services.
            make_scheduler: Makes the scheduler of a new pool.
            clock: The host's clock.
            random: Returns numbers from 0 to 1.
        """
        self._settings = settings
        self._members = members
        self._live = live
        self._quarantine = quarantine
        self._roster = roster
        self._engine = engine
        self._services = services
        self._make_scheduler = make_scheduler
        self._clock = clock
        self._random = random
        self._entries: tuple[roster_base.RosterEntry, ...] = ()
        self._pools: dict[ids.ServiceId, pool_lib.Pool] = {}
        self._last_events: dict[ids.TargetId, int] = {}
        self._background = background.BackgroundTasks(
            self._poll_roster, self._poll_targets
        )
        members.on_change(self._close_moved)

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handlers."""
        handlers.add_unary(messages.AcquireSlot, self.acquire)
        handlers.add_unary(messages.ReleaseSlot, self.release)
        handlers.add_unary(messages.EndProgram, self.end_program)

    async def __aenter__(self) -> Self:
        """Reads the host list once and starts polling."""
        await self._read_roster()
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops polling."""
        await self._background.stop()

    async def acquire(
        self, message: messages.AcquireSlot
    ) -> errors.Outcome[messages.SlotGranted]:
        """Waits for a slot for a call.

        The `deadline_ms` of the message's call is the time that is left.
        """
        if not self.is_home(message.service):
            return errors.home_moved()
        pool = self.pool(message.service)
        for crash in message.crashes:
            pool.record_crash(message.call.digest, crash.target, crash.call)
        deadline_ms = self._clock.now_ms() + message.call.deadline_ms
        call = dataclasses.replace(message.call, deadline_ms=deadline_ms)
        return await pool.acquire(call, message.host)

    async def release(
        self, message: messages.ReleaseSlot
    ) -> errors.Outcome[messages.Done]:
        """Handles the report of a call that ended."""
        if not self.is_home(message.service):
            return errors.home_moved()
        self.pool(message.service).finish(message)
        return result.Success(messages.Done())

    async def end_program(
        self, message: messages.EndProgram
    ) -> errors.Outcome[messages.Done]:
        """Cancels the calls of an ended program and releases its prefixes."""
        if not self.is_home(message.service):
            return errors.home_moved()
        pool = self.pool(message.service)
        pool.end_program(message.program, message.organisation)
        return result.Success(messages.Done())

    def is_home(self, service: ids.ServiceId) -> bool:
        """Returns whether this host is the home of a service's pool."""
        return self._members.is_home(rendezvous.pool_key(service))

    def is_model(self, service: ids.ServiceId) -> bool:
        """Returns whether the targets of a service are model engines."""
        lists = self._live.current.lists
        found = lists.service(service) if lists else None
        kind = found.kind if found is not None else None
        return kind is list_settings.ServiceKind.MODEL

    def model_pools(self) -> list[pool_lib.Pool]:
        """Returns the pools of model engines whose home is this host.

        Creates those that have not been called yet, so that prefixes and
        calls that their targets still hold from an earlier home are released.
        """
        lists = self._live.current.lists
        services = lists.uses.services if lists else ()
        return [
            self.pool(ids.ServiceId(item.id))
            for item in services
            if item.kind is list_settings.ServiceKind.MODEL
            and self.is_home(ids.ServiceId(item.id))
        ]

    def live_targets(
        self, service: ids.ServiceId
    ) -> list[roster_base.RosterEntry]:
        """Returns the entries of a service's live targets in the host list."""
        return [
            entry
            for entry in self._entries_of(service)
            if entry.state is roster_base.EntryState.LIVE
        ]

    def pool(self, service: ids.ServiceId) -> pool_lib.Pool:
        """Returns the pool of a service, creating it on first use."""
        found = self._pools.get(service)
        if found is None:
            found = pool_lib.Pool(
                service,
                self._make_scheduler(),
                self._quarantine,
                self._clock,
                self._random,
            )
            self._pools[service] = found
            found.set_targets(self._target_infos(service))
        return found

    def dump(self) -> dict[str, object]:
        """Returns the pools' state, for the state dump."""
        return {
            service: pool.dump()
            for service, pool in sorted(self._pools.items())
        }

    def _close_moved(self) -> None:
        for service in list(self._pools):
            if not self.is_home(service):
                self._pools.pop(service).close()

    def _entries_of(
        self, service: ids.ServiceId
    ) -> Iterable[roster_base.RosterEntry]:
        return (
            entry
            for entry in self._entries
            if entry.kind is roster_base.EntryKind.TARGET
            and entry.service == service
        )

    def _target_infos(self, service: ids.ServiceId) -> list[pools.TargetInfo]:
        lists = self._live.current.lists
        found = lists.service(service) if lists else None
        slots = found.worker_calls if found else 1
        return [
            pools.TargetInfo(
                ids.TargetId(entry.id),
                entry.address,
                entry.place,
                pools.TargetState(entry.state.value),
                slots,
            )
            for entry in self._entries_of(service)
        ]

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
                    pool.set_targets(self._target_infos(service))
            case _:
                logger.warning("roster_unavailable")

    async def _poll_targets(self) -> None:
        while True:
            await asyncio.sleep(
                clock_lib.to_seconds(self._settings.load_poll_ms)
            )
            for service, pool in list(self._pools.items()):
                if self.is_home(service):
                    await self._poll_pool(pool)

    async def _poll_pool(self, pool: pool_lib.Pool) -> None:
        limit = asyncio.Semaphore(MAX_CONCURRENT_CONTROL_CALLS)

        async def limited(work: Awaitable[None]) -> None:
            async with limit:
                await work

        polls = [self._poll_target(pool, i) for i in pool.targets.values()]
        releases = [
            self._release_prefixes(pool, target, programs)
            for target, programs in _releases_by_target(pool).items()
        ]
        cancels = [
            self._cancel_call(pool, target, call)
            for target, call in pool.pending_cancels
        ]
        work = (*polls, *releases, *cancels)
        await asyncio.gather(*(limited(item) for item in work))
        pool.refresh_targets()

    async def _poll_target(
        self, pool: pool_lib.Pool, info: pools.TargetInfo
    ) -> None:
        circuit = pool.breaker(info.target)
        is_probe = circuit.begin_probe(self._clock.now_ms())
        if not is_probe and circuit.state is breaker.BreakerState.OPEN:
            return
        is_ok = await self._read_load(pool, info)
        now_ms = self._clock.now_ms()
        if is_probe:
            circuit.end_probe(is_ok, now_ms, self._random())
        else:
            circuit.record_poll(is_ok, now_ms, self._random())

    async def _read_load(
        self, pool: pool_lib.Pool, info: pools.TargetInfo
    ) -> bool:
        if not self.is_model(pool.service):
            return await self._services.probe(info.address) is None
        match await self._engine.fetch_load(info.address):
            case result.Success(report):
                granted_ms = (
                    item.granted_ms
                    for item in pool.active_calls.values()
                    if item.target == info.target
                )
                now_ms = self._clock.now_ms()
                pool.observe_load(
                    info.target,
                    load_reports.correct(report, granted_ms, now_ms),
                )
                await self._read_events(pool, info)
                return True
        return False

    async def _read_events(
        self, pool: pool_lib.Pool, info: pools.TargetInfo
    ) -> None:
        after = self._last_events.get(info.target, 0)
        match await self._engine.fetch_cache_events(info.address, after):
            case result.Success(events) if events:
                self._last_events[info.target] = events[-1].sequence
                pool.observe_cache(info.target, events)

    async def _release_prefixes(
        self,
        pool: pool_lib.Pool,
        target: ids.TargetId,
        programs: list[ids.ProgramId],
    ) -> None:
        info = pool.targets.get(target)
        names = []
        for program in programs:
            organisation = pool.program_organisations.get(program)
            if info is None or organisation is None:
                pool.confirm_release(target, program)
            else:
                names.append(engine_client.PrefixKey(organisation, program))
        if info is None or not names:
            return
        outcome = await self._engine.release_prefixes(info.address, names)
        if isinstance(outcome, result.Success):
            for name in names:
                pool.confirm_release(target, name.program)

    async def _cancel_call(
        self, pool: pool_lib.Pool, target: ids.TargetId, call: ids.CallId
    ) -> None:
        info = pool.targets.get(target)
        if info is None or not self.is_model(pool.service):
            pool.pending_cancels.discard((target, call))
            return
        outcome = await self._engine.cancel(info.address, call)
        if isinstance(outcome, result.Success):
            pool.pending_cancels.discard((target, call))


def _releases_by_target(
    pool: pool_lib.Pool,
) -> dict[ids.TargetId, list[ids.ProgramId]]:
    """Returns at most `MAX_RELEASES_PER_REQUEST` prefixes per target."""
    found: dict[ids.TargetId, list[ids.ProgramId]] = {}
    for program, targets in pool.pending_releases.items():
        for target in targets:
            programs = found.setdefault(target, [])
            if len(programs) < MAX_RELEASES_PER_REQUEST:
                programs.append(program)
    return found
