"""The pool of one service: its targets, and the calls at and for them.

A pool is managed by its home, the host that owns the service's key (see
`mangotally.policy.rendezvous`). It combines the scheduler with the targets'
circuit breakers and with the isolation of requests that may crash targets.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import breaker, faults, pools, quarantine

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mangotally.homes import quarantine as live_quarantine
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 5000


@dataclasses.dataclass(frozen=True)
class ActiveCall:
    """A call that holds a slot at a target.

    Attributes:
        call: The call.
        target: The target.
        host: The host that runs the call, or None if it is unknown.
        granted_ms: When the slot was granted.
    """

    call: pools.PoolCall
    target: ids.TargetId
    host: ids.HostId | None
    granted_ms: float


class Pool:
    """A pool at its home.

    Attributes:
        targets: All targets of the service in the host list.
        active_calls: Calls that hold a slot.
        pending_releases: By program, the targets that have not yet confirmed
            that they released its prefix.
        pending_cancels: Calls whose cancellation the target has not yet
            confirmed.
        program_organisations: Organisations of the programs that hold
            prefixes.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        scheduler: pools.Scheduler,
        quarantine_state: live_quarantine.LiveQuarantine,
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        self.service = service
        self.targets: dict[ids.TargetId, pools.TargetInfo] = {}
        self.active_calls: dict[ids.CallId, ActiveCall] = {}
        self.pending_releases: dict[ids.ProgramId, set[ids.TargetId]] = {}
        self.pending_cancels: set[tuple[ids.TargetId, ids.CallId]] = set()
        self.program_organisations: dict[ids.ProgramId, ids.OrganisationId] = {}
        self._scheduler = scheduler
        self._quarantine = quarantine_state
        self._clock = clock
        self._random = random
        self._breakers: dict[ids.TargetId, breaker.Breaker] = {}
        self._isolation = quarantine.SuspectIsolation()
        self._waiting: dict[ids.CallId, asyncio.Future[pools.Action | None]]
        self._waiting = {}
        self._allowed_targets: dict[ids.CallId, frozenset[ids.TargetId]] = {}
        self._slot_freed = asyncio.Event()
        self._is_closed = False

    async def acquire(
        self, call: pools.PoolCall, host: ids.HostId | None
    ) -> errors.Outcome[messages.SlotGranted]:
        """Waits until a call is granted a slot.

        Args:
            call: The call.
            host: The host that runs it, or None if it is unknown.

        Returns:
            The target. Fails with `MOVED` when the pool is closed, because
            this host is no longer its home.
        """
        try:
            while not self._is_closed:
                action = await self._place(call)
                match action:
                    case pools.Dispatch():
                        self._grant(call, action.target, host)
                        return result.Success(
                            messages.SlotGranted(action.target, action.address)
                        )
                    case pools.Refuse():
                        self._isolation.remove(call.call, is_answered=False)
                        return errors.failed(
                            errors.Reason.UNAVAILABLE, action.detail
                        )
                    case errors.Failure():
                        return result.Failure(action)
        except asyncio.CancelledError:
            self._abandon(call.call)
            raise
        self._isolation.remove(call.call, is_answered=False)
        return errors.home_moved()

    def finish(self, message: messages.ReleaseSlot) -> None:
        """Handles the report of a call that ended or was abandoned."""
        report = message.report
        active = self.active_calls.pop(report.call, None)
        if active is None and report.call in self._waiting:
            self._abandon(report.call)
            return
        target = active.target if active else message.target
        self._isolation.remove(report.call, report.end is pools.CallEnd.DONE)
        if target is not None:
            self._record_outcome(message, target)
            if _may_still_run(message):
                self.pending_cancels.add((target, report.call))
        now_ms = self._clock.now_ms()
        if report.end is pools.CallEnd.CANCELLED:
            self._scheduler.cancel(report.call, now_ms)
        else:
            self._scheduler.finish(report, now_ms)
        self._notify_slot_freed()
        self.refresh_targets()

    def end_program(
        self,
        program: ids.ProgramId,
        organisation: ids.OrganisationId | None = None,
    ) -> None:
        """Cancels the calls of an ended program and releases its prefixes."""
        if organisation is not None:
            self.program_organisations[program] = organisation
        for active in self.active_calls.values():
            if active.call.program == program:
                self.pending_cancels.add((active.target, active.call.call))
        self._scheduler.end_program(program, self._clock.now_ms())
        self.advance()

    def add_release(self, target: ids.TargetId, program: ids.ProgramId) -> None:
        """Requests that a target releases the prefix of a program."""
        self.pending_releases.setdefault(program, set()).add(target)

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId
    ) -> None:
        """Records that a target has released a prefix or was removed."""
        remaining = self.pending_releases.get(program, set())
        remaining.discard(target)
        if not remaining:
            self.pending_releases.pop(program, None)
            self.program_organisations.pop(program, None)
        self._scheduler.confirm_release(target, program, self._clock.now_ms())

    def prune_organisations(self, programs: set[ids.ProgramId]) -> None:
        """Drops the organisations of programs that hold no prefix.

        Args:
            programs: Programs that may hold one.
        """
        programs = programs | self.pending_releases.keys()
        self.program_organisations = {
            program: organisation
            for program, organisation in self.program_organisations.items()
            if program in programs
        }

    def set_targets(self, infos: Sequence[pools.TargetInfo]) -> None:
        """Replaces the list of targets."""
        self.targets = {info.target: info for info in infos}
        for target in list(self._breakers):
            if target not in self.targets:
                del self._breakers[target]
        for program, holders in list(self.pending_releases.items()):
            for target in holders - self.targets.keys():
                self.confirm_release(target, program)
        self.pending_cancels = {
            item for item in self.pending_cancels if item[0] in self.targets
        }
        self.refresh_targets()

    def refresh_targets(self) -> None:
        """Updates the scheduler's targets and slots from the breakers."""
        infos = [self._apply_breaker(info) for info in self.targets.values()]
        self._scheduler.set_targets(infos, self._clock.now_ms())
        live = {i.target for i in infos if i.state is pools.TargetState.LIVE}
        for call, allowed in list(self._allowed_targets.items()):
            if not allowed & live:
                self._withdraw(call)
        self.advance()

    def advance(self) -> None:
        """Runs the scheduler and applies its actions."""
        for action in self._scheduler.advance(self._clock.now_ms()):
            match action:
                case pools.Release():
                    self.add_release(action.target, action.program)
                case pools.Dispatch() | pools.Refuse():
                    self._resolve(action.call, action)

    def breaker(self, target: ids.TargetId) -> breaker.Breaker:
        """Returns the circuit breaker of a target."""
        return self._breakers.setdefault(target, breaker.Breaker())

    def observe_load(
        self, target: ids.TargetId, report: pools.LoadReport
    ) -> None:
        """Passes a load report to the scheduler."""
        self._scheduler.observe_load(target, report, self._clock.now_ms())

    def observe_cache(
        self, target: ids.TargetId, events: Sequence[pools.CacheEvent]
    ) -> None:
        """Passes cache events to the scheduler."""
        self._scheduler.observe_cache(target, events, self._clock.now_ms())

    def close(self) -> None:
        """Fails all waiting calls, which then ask the new home."""
        self._is_closed = True
        for call in list(self._waiting):
            self._resolve(call, None)
        self._notify_slot_freed()

    def dump(self) -> dict[str, object]:
        """Returns the pool's state, for the state dump."""
        return {
            "targets": {
                info.target: f"{info.state.value}, breaker "
                f"{self.breaker(info.target).dump()}"
                for info in self.targets.values()
            },
            "waiting": len(self._waiting),
            "running": len(self.active_calls),
            "releases": len(self.pending_releases),
            "cancels": len(self.pending_cancels),
        }

    async def _place(
        self, call: pools.PoolCall
    ) -> pools.Action | errors.Failure | None:
        if not await self._quarantine.wait_until_logged(call.digest):
            return errors.Failure(
                errors.Reason.LOG_UNAVAILABLE,
                "The request crashed a target; this cannot be recorded now.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self._quarantine.is_refused(call.digest):
            return quarantine_failure()
        crashes = self._quarantine.crashes(call.digest)
        crashed = [record.target for record in crashes]
        placement = self._isolation.place(
            call.call, call.digest, crashed, self._live_targets()
        )
        match placement:
            case quarantine.MustWait():
                self._slot_freed.clear()
                await self._slot_freed.wait()
                return None
            case quarantine.OnlyTargets(targets):
                others = (t for t in self.targets if t not in targets)
                call = dataclasses.replace(call, excluded=tuple(others))
                self._allowed_targets[call.call] = targets
        return await self._submit(call)

    async def _submit(self, call: pools.PoolCall) -> pools.Action | None:
        future: asyncio.Future[pools.Action | None]
        future = asyncio.get_running_loop().create_future()
        self._waiting[call.call] = future
        self._scheduler.submit(call, self._clock.now_ms())
        self.advance()
        return await future

    def _live_targets(self) -> list[ids.TargetId]:
        return [
            info.target
            for info in self.targets.values()
            if self._apply_breaker(info).state is pools.TargetState.LIVE
        ]

    def _apply_breaker(self, info: pools.TargetInfo) -> pools.TargetInfo:
        if info.state is not pools.TargetState.LIVE:
            return info
        slots = self.breaker(info.target).slots(info.slots)
        if slots:
            return dataclasses.replace(info, slots=slots)
        return dataclasses.replace(
            info, slots=1, state=pools.TargetState.BLOCKED
        )

    def _grant(
        self,
        call: pools.PoolCall,
        target: ids.TargetId,
        host: ids.HostId | None,
    ) -> None:
        now_ms = self._clock.now_ms()
        self.active_calls[call.call] = ActiveCall(call, target, host, now_ms)
        self.program_organisations[call.program] = call.organisation
        self._isolation.record_target(call.call, target)
        self._notify_slot_freed()

    def _record_outcome(
        self, message: messages.ReleaseSlot, target: ids.TargetId
    ) -> None:
        digest = message.digest
        if message.report.end is pools.CallEnd.DONE:
            self.breaker(target).succeed()
            if self._quarantine.crashes(digest):
                self._quarantine.clear(digest)
        if message.fault is None:
            return
        self.breaker(target).fail(
            message.fault, digest, self._clock.now_ms(), self._random()
        )
        if message.fault.kind is faults.FaultKind.CRASHED:
            self.record_crash(digest, target, message.report.call)

    def record_crash(
        self, digest: str, target: ids.TargetId, call: ids.CallId
    ) -> None:
        """Records that a target crashed while it ran a request.

        Other copies of the request that are waiting are placed again, now
        as suspects. Once the request is quarantined, the breakers of the
        targets that it crashed discard these faults.
        """
        self._isolation.mark_suspect(digest)
        for copy in self._isolation.copies(digest):
            if copy in self._waiting:
                self._withdraw(copy)
        self._quarantine.record_crash(digest, self.service, target, call)
        if not self._quarantine.is_refused(digest):
            return
        for record in self._quarantine.crashes(digest):
            self.breaker(record.target).discard_faults(
                digest, self._clock.now_ms()
            )

    def _resolve(self, call: ids.CallId, action: pools.Action | None) -> None:
        self._allowed_targets.pop(call, None)
        future = self._waiting.pop(call, None)
        if future is not None and not future.done():
            future.set_result(action)

    def _withdraw(self, call: ids.CallId) -> None:
        """Removes a call from the queue so that it is placed again."""
        self._scheduler.cancel(call, self._clock.now_ms())
        self._isolation.remove(call, is_answered=False)
        self._resolve(call, None)

    def _abandon(self, call: ids.CallId) -> None:
        self._withdraw(call)
        self.active_calls.pop(call, None)
        self._notify_slot_freed()
        self.advance()

    def _notify_slot_freed(self) -> None:
        self._slot_freed.set()


def quarantine_failure(ran: errors.Ran = errors.Ran.NOT_RUN) -> errors.Failure:
    """Returns the failure for a quarantined request."""
    return errors.Failure(
        errors.Reason.QUARANTINED,
        "The request has crashed the targets that ran it and is not run again.",
        ran,
    )


def _may_still_run(message: messages.ReleaseSlot) -> bool:
    """Returns whether the target may still be running a call."""
    if message.report.end is pools.CallEnd.DONE:
        return False
    if message.fault is None:
        return True
    return message.fault.ran is not errors.Ran.NOT_RUN
