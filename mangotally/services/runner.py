"""Execution of calls to plain services, with retries at other targets."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import logging
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.homes import pool as pool_lib
from mangotally.hosts import messages
from mangotally.policy import faults, pools, quarantine, retries
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.homes import configuration, slots
    from mangotally.homes import quarantine as live_quarantine
    from mangotally.services import client as service_client

logger = logging.getLogger(__name__)

# Calls to plain services belong to no program in their pool.
_NO_PROGRAM = ids.ProgramId("")


def digest_call(message: messages.RunCall) -> str:
    """Returns the digest that identifies equal calls."""
    digest = hashlib.sha256()
    for field in (
        message.service,
        message.method,
        message.path,
        message.body_base64,
    ):
        data = field.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


@dataclasses.dataclass
class _RunState:
    """State of a call during its attempts.

    Attributes:
        message: The call.
        call: The call in its pool; each attempt has a new id.
        is_repeatable: Whether the call may safely run more than once.
        deadline_ms: Deadline of the call.
        attempt: Number of the current attempt.
        crashes: Attempts during which a target crashed.
        ran: Whether an attempt has or may have run.
    """

    message: messages.RunCall
    call: pools.PoolCall
    is_repeatable: bool
    deadline_ms: float
    attempt: int = 0
    crashes: tuple[messages.CrashedCall, ...] = ()
    ran: errors.Ran = errors.Ran.NOT_RUN

    def record_failure(self, target: ids.TargetId, fault: faults.Fault) -> None:
        """Records a failed attempt; its target is excluded from later ones."""
        if fault.ran is not errors.Ran.NOT_RUN:
            self.ran = fault.ran
        if fault.kind is faults.FaultKind.CRASHED:
            crash = messages.CrashedCall(target, self.call.call)
            self.crashes = (*self.crashes, crash)
        self.call = dataclasses.replace(
            self.call, excluded=(*self.call.excluded, target)
        )


class ServiceRunner:
    """Sends calls to the targets of their service, with retries."""

    def __init__(
        self,
        slots: slots.SlotClient,
        live: configuration.LiveConfiguration,
        client: service_client.ServiceClient,
        quarantine: live_quarantine.LiveQuarantine,
        retry_share: float,
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        """Creates a runner.

        Args:
            slots: Acquires slots at targets from the homes of pools.
            live: The current configuration.
            client: Client for plain services.
            quarantine: Quarantined requests.
            retry_share: Maximum number of retries, as a fraction of calls.
            clock: The host's clock.
            random: Returns random numbers from 0 to 1.
        """
        self._slots = slots
        self._live = live
        self._client = client
        self._quarantine = quarantine
        self._budgets = retries.RetryBudgets(retry_share)
        self._clock = clock
        self._random = random

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call at a target of its service.

        A call that is not repeatable is retried at another target only if
        no byte of it was written to the previous one.

        Returns:
            The response. A failure's `ran` is `not-run` only if no byte of
            the call was written to any target.
        """
        run = self._start(message)
        budget = self._budgets.of(message.service)
        budget.earn()
        while True:
            run.attempt += 1
            if self._is_quarantined(run):
                return result.Failure(pool_lib.quarantine_failure(run.ran))
            outcome = await self._attempt(run)
            if not isinstance(outcome, faults.Fault):
                return outcome
            attempt = retries.Attempt(
                run.attempt,
                run.is_repeatable or outcome.ran is errors.Ran.NOT_RUN,
                run.deadline_ms - self._clock.now_ms(),
            )
            decision = retries.decide(outcome, attempt, budget, self._random())
            if isinstance(decision, retries.GiveUp):
                return _failed(outcome, run)
            await asyncio.sleep(clock_lib.to_seconds(decision.delay_ms))

    async def _attempt(
        self, run: _RunState
    ) -> errors.Outcome[messages.CallAnswer] | faults.Fault:
        remaining_ms = run.deadline_ms - self._clock.now_ms()
        run.call = dataclasses.replace(
            run.call, call=ids.new_call_id(), deadline_ms=remaining_ms
        )
        message = run.message
        async with self._slots.slot(
            message.service, run.call, remaining_ms, run.crashes
        ) as slot:
            if isinstance(slot.granted, result.Failure):
                failure = slot.granted.failure()
                return result.Failure(dataclasses.replace(failure, ran=run.ran))
            grant = slot.granted.unwrap()
            answer = await self._client.call(
                grant.address,
                message,
                run.is_repeatable,
                max(1.0, run.deadline_ms - self._clock.now_ms()),
            )
            if isinstance(answer, result.Success):
                slot.record_success()
                return result.Success(answer.unwrap())
            fault = await self._client.classify_fault(
                grant.address, answer.failure()
            )
            slot.record_fault(fault)
        run.record_failure(grant.target, fault)
        _log_fault(message, grant.target, fault)
        return fault

    def _is_quarantined(self, run: _RunState) -> bool:
        if len(run.crashes) >= quarantine.MAX_CRASHES:
            return True
        return self._quarantine.is_refused(run.call.digest)

    def _start(self, message: messages.RunCall) -> _RunState:
        current = self._live.current.lists
        service = current.service(message.service) if current else None
        plan = (
            current.organisation_plan(message.organisation) if current else None
        )
        path = message.path.partition("?")[0]
        call = pools.PoolCall(
            call=ids.new_call_id(),
            organisation=message.organisation,
            program=_NO_PROGRAM,
            turn=1,
            prompt_tokens=0,
            max_tokens=1,
            attained_tokens=0,
            share=plan.share if plan is not None else 1.0,
            deadline_ms=float(message.timeout_ms),
            digest=digest_call(message),
        )
        return _RunState(
            message,
            call,
            service is not None and service.is_idempotent(message.method, path),
            self._clock.now_ms() + message.timeout_ms,
        )


def _log_fault(
    message: messages.RunCall, target: ids.TargetId, fault: faults.Fault
) -> None:
    logger.warning(
        "target_failed",
        extra={
            "target": target,
            "fault": fault.kind.value,
            "organisation": message.organisation,
            "program": message.program,
        },
    )


def _failed(
    fault: faults.Fault, run: _RunState
) -> errors.Outcome[messages.CallAnswer]:
    return errors.failed(
        errors.Reason.TARGET_FAILED,
        f"The target failed ({fault.detail}).",
        run.ran,
        fault.retry_after_ms,
    )
