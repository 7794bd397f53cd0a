"""Acquires slots at targets from the home of a pool, and releases them.

The home of a pool may move to another host at any time; requests and reports
are therefore retried, for a limited time, until they reach the current home.
"""

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

# Longest time for which an acquisition is retried while the home changes.
HOME_CHANGE_TIMEOUT_MS = 10_000
RETRY_MS = 100
MAX_REPORT_ATTEMPTS = 50
_RETRIED_REASONS = frozenset({errors.Reason.MOVED, errors.Reason.UNAVAILABLE})


class Slot:
    """A slot at a target, or the failure to get one.

    Attributes:
        granted: The target, or the failure.
        report: How the call ended; `CANCELLED` until its end is recorded.
        fault: The fault that ended the call, or None.
    """

    def __init__(
        self,
        call: pools.PoolCall,
        granted: errors.Outcome[messages.SlotGranted],
        granted_ms: float,
    ) -> None:
        self.granted = granted
        self.report = pools.CallReport(call.call, pools.CallEnd.CANCELLED)
        self.fault: faults.Fault | None = None
        self._granted_ms = granted_ms
        self._first_token_ms: float | None = None

    def record_text(self, now_ms: float) -> None:
        """Records the time at which a part of the answer arrived.

        Only the first part counts.
        """
        if self._first_token_ms is None:
            self._first_token_ms = now_ms - self._granted_ms

    def record_success(
        self, cached_tokens: int = 0, generated_tokens: int = 0
    ) -> None:
        """Records that the call ended with a complete answer."""
        self.report = dataclasses.replace(
            self.report,
            end=pools.CallEnd.DONE,
            cached_tokens=cached_tokens,
            generated_tokens=generated_tokens,
            first_token_ms=self._first_token_ms,
        )

    def record_fault(self, fault: faults.Fault) -> None:
        """Records that the call ended with a fault."""
        self.fault = fault
        self.report = dataclasses.replace(
            self.report, end=fault.end, first_token_ms=self._first_token_ms
        )


class SlotClient:
    """Acquires slots from the homes of pools, also while homes change."""

    def __init__(
        self,
        directory: peers_lib.Directory,
        peers: peers_lib.PeerClient,
        clock: clock_lib.Clock,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._active_calls: dict[ids.CallId, messages.RunningCall] = {}
        self._reports = background.DetachedTasks()

    async def __aenter__(self) -> Self:
        """Returns the client."""
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Waits until all pending reports are delivered or abandoned."""
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Waits until all pending reports are delivered or abandoned."""
        await self._reports.wait_idle()

    @contextlib.asynccontextmanager
    async def slot(
        self,
        service: ids.ServiceId,
        call: pools.PoolCall,
        timeout_ms: float,
        crashes: tuple[messages.CrashedCall, ...] = (),
    ) -> AsyncIterator[Slot]:
        """Holds a slot at a target for a call; releases it at the end.

        Args:
            service: The service.
            call: The call; its `deadline_ms` is the time left.
            timeout_ms: Longest time to wait.
            crashes: Earlier attempts during which a target crashed.
        """
        message = messages.AcquireSlot(
            service, call, self._directory.host, crashes
        )
        target: ids.TargetId | None = None
        slot: Slot | None = None
        try:
            granted = await self._acquire(message, timeout_ms)
            slot = Slot(call, granted, self._clock.now_ms())
            if isinstance(granted, result.Success):
                target = granted.unwrap().target
                self._active_calls[call.call] = messages.RunningCall(
                    service, call.call, call.program, target
                )
            yield slot
        finally:
            self._active_calls.pop(call.call, None)
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
        """Reports the end of a program to the home of a pool.

        The report is sent at most `MAX_REPORT_ATTEMPTS` times.
        """
        message = messages.EndProgram(service, program, organisation)
        self._reports.start(self._deliver(service, message))

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handler."""
        handlers.add_unary(messages.DescribeCalls, self.describe)

    async def describe(
        self, message: messages.DescribeCalls
    ) -> errors.Outcome[messages.CallsDescribed]:
        """Returns the calls of this host that hold slots in a pool."""
        return result.Success(
            messages.CallsDescribed(self.active_calls(message.service))
        )

    def active_services(self) -> set[ids.ServiceId]:
        """Returns the services in whose pools calls of this host hold slots."""
        return {call.service for call in self._active_calls.values()}

    def active_calls(
        self, service: ids.ServiceId
    ) -> tuple[messages.RunningCall, ...]:
        """Returns the calls of this host that hold slots in a pool."""
        return tuple(
            call
            for call in self._active_calls.values()
            if call.service == service
        )

    async def _acquire(
        self, message: messages.AcquireSlot, timeout_ms: float
    ) -> errors.Outcome[messages.SlotGranted]:
        start_ms = self._clock.now_ms()
        retry_for_ms = min(timeout_ms, HOME_CHANGE_TIMEOUT_MS)
        key = rendezvous.pool_key(message.service)
        while True:
            elapsed_ms = self._clock.now_ms() - start_ms
            home = self._directory.home_of(key)
            granted = await self._peers.call(
                home, message, max(1.0, timeout_ms - elapsed_ms)
            )
            if isinstance(granted, result.Success):
                return granted
            failure = granted.failure()
            if (
                failure.reason not in _RETRIED_REASONS
                or elapsed_ms >= retry_for_ms
            ):
                return result.Failure(
                    dataclasses.replace(failure, ran=errors.Ran.NOT_RUN)
                )
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _deliver(self, service: ids.ServiceId, message: Any) -> None:
        for _ in range(MAX_REPORT_ATTEMPTS):
            home = self._directory.home_of(rendezvous.pool_key(service))
            if home is None:
                break
            outcome = await self._peers.call(home, message)
            if isinstance(outcome, result.Success):
                return
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))
        logger.warning("report_lost", extra={"service": service})
