"""Slots at targets: asked of the pool's home, and given back to it."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import faults, pools, rendezvous
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.hosts import peers as peers_lib
    from mangotally.hosts import router

logger = logging.getLogger(__name__)

HOLD_MS = 10_000
RETRY_MS = 100
REPORT_TRIES = 50
_MOVING = frozenset({errors.Reason.MOVED, errors.Reason.UNAVAILABLE})


class Slot:
    """A granted place at a target, or why there is none.

    Attributes:
        granted: The target, or a refusal.
    """

    def __init__(
        self,
        call: pools.PoolCall,
        granted: errors.Outcome[messages.SlotGranted],
        granted_ms: float,
    ) -> None:
        """Makes a slot whose call has not ended yet."""
        self.granted = granted
        self.report = pools.CallReport(call.call, pools.CallEnd.CANCELLED)
        self.fault: faults.Fault | None = None
        self._granted_ms = granted_ms
        self._first_token_ms: float | None = None

    def note_text(self, now_ms: float) -> None:
        """Takes the time of the first piece of the answer."""
        if self._first_token_ms is None:
            self._first_token_ms = now_ms - self._granted_ms

    def done(self, cached_tokens: int = 0, generated_tokens: int = 0) -> None:
        """The call ended with a whole answer."""
        self.report = dataclasses.replace(
            self.report,
            end=pools.CallEnd.DONE,
            cached_tokens=cached_tokens,
            generated_tokens=generated_tokens,
            first_token_ms=self._first_token_ms,
        )

    def failed(self, fault: faults.Fault) -> None:
        """The call ended with a fault."""
        self.fault = fault
        self.report = dataclasses.replace(
            self.report, end=fault.end, first_token_ms=self._first_token_ms
        )


class SlotClient:
    """Asks pools' homes for slots, through changes of home."""

    def __init__(
        self,
        directory: peers_lib.Directory,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a client; leaving it delivers the last reports."""
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._running: dict[ids.CallId, messages.RunningCall] = {}
        self._reports = background.DetachedTasks()

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Waits until the reports under way are delivered or given up."""
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Waits until the reports under way are delivered or given up."""
        await self._reports.wait_idle()

    @contextlib.asynccontextmanager
    async def slot(
        self,
        service: ids.ServiceId,
        call: pools.PoolCall,
        left_ms: float,
        crashes: tuple[messages.CrashedCall, ...] = (),
    ) -> AsyncIterator[Slot]:
        """Holds a place at a target for a call.

        Args:
            service: The service.
            call: The call; its `deadline_ms` is the time left.
            left_ms: Longest time to wait.
            crashes: Earlier attempts under which a target crashed.
        """
        message = messages.AcquireSlot(
            service, call, self._directory.host, crashes
        )
        target: ids.TargetId | None = None
        slot: Slot | None = None
        try:
            granted = await self._acquire(message, left_ms)
            slot = Slot(call, granted, self._clock.now_ms())
            if isinstance(granted, result.Success):
                target = granted.unwrap().target
                self._running[call.call] = messages.RunningCall(
                    service, call.call, call.program, target
                )
            yield slot
        finally:
            self._running.pop(call.call, None)
            report = (
                slot.report
                if slot is not None
                else pools.CallReport(call.call, pools.CallEnd.CANCELLED)
            )
            fault = slot.fault if slot is not None else None
            ended = messages.ReleaseSlot(
                service, report, target, call.digest, fault
            )
            self._reports.start(self._deliver(service, ended))

    def end_program(
        self,
        service: ids.ServiceId,
        program: ids.ProgramId,
        organisation: ids.OrganisationId | None = None,
    ) -> None:
        """Tells a pool's home that a program is gone, until it knows."""
        message = messages.EndProgram(service, program, organisation)
        self._reports.start(self._deliver(service, message))

    def attach(self, handlers: router.Router) -> None:
        """Adds this host's handler."""
        handlers.add_unary(messages.DescribeCalls, self.describe)

    async def describe(
        self, message: messages.DescribeCalls
    ) -> errors.Outcome[messages.CallsDescribed]:
        """Returns the calls that this host has under way in a pool."""
        return result.Success(
            messages.CallsDescribed(self.running(message.service))
        )

    def services(self) -> set[ids.ServiceId]:
        """Returns the services with calls under way."""
        return {call.service for call in self._running.values()}

    def running(
        self, service: ids.ServiceId
    ) -> tuple[messages.RunningCall, ...]:
        """Returns the calls that this host has under way in a pool."""
        return tuple(
            call for call in self._running.values() if call.service == service
        )

    async def _acquire(
        self, message: messages.AcquireSlot, left_ms: float
    ) -> errors.Outcome[messages.SlotGranted]:
        start_ms = self._clock.now_ms()
        hold_ms = min(left_ms, HOLD_MS)
        key = rendezvous.pool_key(message.service)
        while True:
            spent_ms = self._clock.now_ms() - start_ms
            home = self._directory.home_of(key)
            granted = await self._peers.call(
                home, message, max(1.0, left_ms - spent_ms)
            )
            if isinstance(granted, result.Success):
                return granted
            failure = granted.failure()
            if failure.reason not in _MOVING or spent_ms >= hold_ms:
                return result.Failure(
                    dataclasses.replace(failure, ran=errors.Ran.NOT_RUN)
                )
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _deliver(self, service: ids.ServiceId, message: Any) -> None:
        for _ in range(REPORT_TRIES):
            home = self._directory.home_of(rendezvous.pool_key(service))
            if home is None:
                break
            outcome = await self._peers.call(home, message)
            if isinstance(outcome, result.Success):
                return
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
        logger.warning("report_lost", extra={"service": service})
