"""One service's targets, the calls that wait for them and those there."""

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
    """A call under way at a target.

    Attributes:
        call: The call.
        target: The target.
        host: The host that runs the call, or None if it is not known.
        granted_ms: When the slot was granted.
    """

    call: pools.PoolCall
    target: ids.TargetId
    host: ids.HostId | None
    granted_ms: float


class Pool:
    """A pool at its home.

    Attributes:
        targets: All targets of the service that the host list names.
        granted: Calls under way.
        releases: Targets that are to drop a program's prefix.
        cancels: Calls that targets are to end.
        organisations: Who owns the programs that hold prefixes.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        scheduler: pools.Scheduler,
        live: live_quarantine.LiveQuarantine,
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        """Makes a pool without targets."""
        self.service = service
        self.targets: dict[ids.TargetId, pools.TargetInfo] = {}
        self.active_calls: dict[ids.CallId, ActiveCall] = {}
        self.pending_releases: dict[ids.ProgramId, set[ids.TargetId]] = {}
        self.pending_cancels: set[tuple[ids.TargetId, ids.CallId]] = set()
        self.program_organisations: dict[ids.ProgramId, ids.OrganisationId] = {}
        self._scheduler = scheduler
        self._quarantine = live
        self._clock = clock
        self._random = random
        self._breakers: dict[ids.TargetId, breaker.Breaker] = {}
        self._isolation = quarantine.SuspectIsolation()
        self._waiting: dict[ids.CallId, asyncio.Future[pools.Action | None]]
        self._waiting = {}
        self._bound: dict[ids.CallId, frozenset[ids.TargetId]] = {}
        self._freed = asyncio.Event()
        self._is_closed = False

    async def acquire(
        self, call: pools.PoolCall, host: ids.HostId | None
    ) -> errors.Outcome[messages.SlotGranted]:
        """Waits for a target for a call."""
        try:
            while not self._is_closed:
                action = await self._try(call)
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
            self._give_up(call.call)
            raise
        self._isolation.remove(call.call, is_answered=False)
        return errors.failed(errors.Reason.MOVED, "The home has moved.")

    def finish(self, message: messages.ReleaseSlot) -> None:
        """Takes the report of a call that ended or was given up."""
        report = message.report
        granted = self.active_calls.pop(report.call, None)
        if granted is None and report.call in self._waiting:
            self._give_up(report.call)
            return
        target = granted.target if granted else message.target
        self._isolation.remove(report.call, report.end is pools.CallEnd.DONE)
        if target is not None:
            self._judge(message, target)
            if _may_run_on(message):
                self.pending_cancels.add((target, report.call))
        now_ms = self._clock.now_ms()
        if report.end is pools.CallEnd.CANCELLED:
            self._scheduler.cancel(report.call, now_ms)
        else:
            self._scheduler.finish(report, now_ms)
        self._free()
        self.refresh_targets()

    def end_program(
        self,
        program: ids.ProgramId,
        organisation: ids.OrganisationId | None = None,
    ) -> None:
        """Has a gone program's calls ended and its prefixes released."""
        if organisation is not None:
            self.program_organisations[program] = organisation
        for granted in self.active_calls.values():
            if granted.call.program == program:
                self.pending_cancels.add((granted.target, granted.call.call))
        self._scheduler.end_program(program, self._clock.now_ms())
        self.advance()

    def add_release(self, target: ids.TargetId, program: ids.ProgramId) -> None:
        """A target is to drop a prefix."""
        self.pending_releases.setdefault(program, set()).add(target)

    def confirm_release(
        self, target: ids.TargetId, program: ids.ProgramId
    ) -> None:
        """A target has dropped a prefix, or is gone."""
        left = self.pending_releases.get(program, set())
        left.discard(target)
        if not left:
            self.pending_releases.pop(program, None)
            self.program_organisations.pop(program, None)
        self._scheduler.confirm_release(target, program, self._clock.now_ms())

    def prune_organisations(self, programs: set[ids.ProgramId]) -> None:
        """Forgets who owns programs that hold nothing any more."""
        programs = programs | self.pending_releases.keys()
        self.program_organisations = {
            program: organisation
            for program, organisation in self.program_organisations.items()
            if program in programs
        }

    def set_targets(self, infos: Sequence[pools.TargetInfo]) -> None:
        """Replaces the targets."""
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
        """Tells the scheduler which targets may run how much."""
        infos = [self._limited(info) for info in self.targets.values()]
        self._scheduler.set_targets(infos, self._clock.now_ms())
        live = {i.target for i in infos if i.state is pools.TargetState.LIVE}
        for call, allowed in list(self._bound.items()):
            if not allowed & live:
                self._withdraw(call)
        self.advance()

    def advance(self) -> None:
        """Carries out what the scheduler wants done now."""
        for action in self._scheduler.advance(self._clock.now_ms()):
            match action:
                case pools.Release():
                    self.add_release(action.target, action.program)
                case pools.Dispatch() | pools.Refuse():
                    self._answer(action.call, action)

    def breaker(self, target: ids.TargetId) -> breaker.Breaker:
        """Returns the breaker of a target."""
        return self._breakers.setdefault(target, breaker.Breaker())

    def observe_load(
        self, target: ids.TargetId, report: pools.LoadReport
    ) -> None:
        """Takes in a load report."""
        self._scheduler.observe_load(target, report, self._clock.now_ms())

    def observe_cache(
        self, target: ids.TargetId, events: Sequence[pools.CacheEvent]
    ) -> None:
        """Takes in cache events."""
        self._scheduler.observe_cache(target, events, self._clock.now_ms())

    def close(self) -> None:
        """Sends all that wait to the new home."""
        self._is_closed = True
        for call in list(self._waiting):
            self._answer(call, None)
        self._free()

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

    async def _try(
        self, call: pools.PoolCall
    ) -> pools.Action | errors.Failure | None:
        if not await self._quarantine.wait_until_logged(call.digest):
            return errors.Failure(
                errors.Reason.LOG_UNAVAILABLE,
                "The request has crashed a target, which cannot be kept now.",
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self._quarantine.is_refused(call.digest):
            return quarantine_failure()
        crashes = self._quarantine.crashes(call.digest)
        hit = [record.target for record in crashes]
        placement = self._isolation.place(
            call.call, call.digest, hit, self._live()
        )
        match placement:
            case quarantine.MustWait():
                self._freed.clear()
                await self._freed.wait()
                return None
            case quarantine.OnlyTargets(targets):
                others = (t for t in self.targets if t not in targets)
                call = dataclasses.replace(call, excluded=tuple(others))
                self._bound[call.call] = targets
        return await self._wait(call)

    async def _wait(self, call: pools.PoolCall) -> pools.Action | None:
        future: asyncio.Future[pools.Action | None]
        future = asyncio.get_running_loop().create_future()
        self._waiting[call.call] = future
        self._scheduler.submit(call, self._clock.now_ms())
        self.advance()
        return await future

    def _live(self) -> list[ids.TargetId]:
        return [
            info.target
            for info in self.targets.values()
            if self._limited(info).state is pools.TargetState.LIVE
        ]

    def _limited(self, info: pools.TargetInfo) -> pools.TargetInfo:
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
        self._free()

    def _judge(
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
        """Notes that a target crashed under a request."""
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

    def _answer(self, call: ids.CallId, action: pools.Action | None) -> None:
        self._bound.pop(call, None)
        future = self._waiting.pop(call, None)
        if future is not None and not future.done():
            future.set_result(action)

    def _withdraw(self, call: ids.CallId) -> None:
        """Takes a call out of the queue, to be placed again."""
        self._scheduler.cancel(call, self._clock.now_ms())
        self._isolation.remove(call, is_answered=False)
        self._answer(call, None)

    def _give_up(self, call: ids.CallId) -> None:
        self._withdraw(call)
        self.active_calls.pop(call, None)
        self._free()
        self.advance()

    def _free(self) -> None:
        self._freed.set()


def quarantine_failure(ran: errors.Ran = errors.Ran.NOT_RUN) -> errors.Failure:
    """Returns the answer to a request that is quarantined."""
    return errors.Failure(
        errors.Reason.QUARANTINED,
        "The request has crashed the targets that ran it and is not run again.",
        ran,
    )


def _may_run_on(message: messages.ReleaseSlot) -> bool:
    """Returns whether the target may still be at work on a call."""
    if message.report.end is pools.CallEnd.DONE:
        return False
    if message.fault is None:
        return True
    return message.fault.ran is not errors.Ran.NOT_RUN
