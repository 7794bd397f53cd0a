"""Runs calls of plain services: a slot, the call, perhaps another target."""

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

_PROGRAM = ids.ProgramId("")


def digest_call(message: messages.RunCall) -> str:
    """Returns the digest by which a repeated call is recognised."""
    digest = hashlib.sha256()
    for part in (
        message.service,
        message.method,
        message.path,
        message.body_base64,
    ):
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


@dataclasses.dataclass
class _Run:
    """A call and what has become of it so far.

    Attributes:
        message: The call.
        call: The call as its pool sees it; each attempt has its own id.
        is_repeatable: Whether running it twice does no harm.
        due_ms: When its time is over.
        attempt: Number of the attempt under way.
        crashes: Its attempts under which a target crashed.
        ran: Whether an attempt may have run.
    """

    message: messages.RunCall
    call: pools.PoolCall
    is_repeatable: bool
    due_ms: float
    attempt: int = 0
    crashes: tuple[messages.CrashedCall, ...] = ()
    ran: errors.Ran = errors.Ran.NOT_RUN

    def note(self, target: ids.TargetId, fault: faults.Fault) -> None:
        """Takes in a failed attempt."""
        if fault.ran is not errors.Ran.NOT_RUN:
            self.ran = fault.ran
        if fault.kind is faults.FaultKind.CRASHED:
            crash = messages.CrashedCall(target, self.call.call)
            self.crashes = (*self.crashes, crash)
        self.call = dataclasses.replace(
            self.call, excluded=(*self.call.excluded, target)
        )


class ServiceRunner:
    """Sends calls to targets of their service, and retries if allowed."""

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
        """Makes a runner.

        Args:
            slots: Gets targets from the pools' homes.
            live: The lists in force.
            client: Speaks to plain services.
            quarantine: Requests that are refused.
            retry_share: Retries per call, as a share of the calls.
            clock: The host's clock.
            random: Returns numbers from 0 to 1.
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

        A call that may not be repeated goes to another target only if no
        byte of it was written to the first.

        Returns:
            The answer. A failure says `not-run` only if no byte of the
            call was written to any target.
        """
        run = self._start(message)
        budget = self._budgets.of(message.service)
        budget.earn()
        while True:
            run.attempt += 1
            if self._is_quarantined(run):
                return result.Failure(pool_lib.quarantine_failure(run.ran))
            answer = await self._attempt(run)
            if not isinstance(answer, faults.Fault):
                return answer
            attempt = retries.Attempt(
                run.attempt,
                run.is_repeatable or answer.ran is errors.Ran.NOT_RUN,
                run.due_ms - self._clock.now_ms(),
            )
            again = retries.decide(answer, attempt, budget, self._random())
            if isinstance(again, retries.GiveUp):
                return _failed(answer, run)
            await asyncio.sleep(clock_lib.to_seconds(again.delay_ms))

    async def _attempt(
        self, run: _Run
    ) -> errors.Outcome[messages.CallAnswer] | faults.Fault:
        left_ms = run.due_ms - self._clock.now_ms()
        run.call = dataclasses.replace(
            run.call, call=ids.new_call_id(), deadline_ms=left_ms
        )
        message = run.message
        async with self._slots.slot(
            message.service, run.call, left_ms, run.crashes
        ) as slot:
            if isinstance(slot.granted, result.Failure):
                failure = slot.granted.failure()
                return result.Failure(dataclasses.replace(failure, ran=run.ran))
            grant = slot.granted.unwrap()
            answer = await self._client.call(
                grant.address,
                message,
                run.is_repeatable,
                max(1.0, run.due_ms - self._clock.now_ms()),
            )
            if isinstance(answer, result.Success):
                slot.record_success()
                return result.Success(answer.unwrap())
            fault = await self._client.examine(grant.address, answer.failure())
            slot.record_fault(fault)
        run.note(grant.target, fault)
        _log(message, grant.target, fault)
        return fault

    def _is_quarantined(self, run: _Run) -> bool:
        if len(run.crashes) >= quarantine.MAX_CRASHES:
            return True
        return self._quarantine.is_refused(run.call.digest)

    def _start(self, message: messages.RunCall) -> _Run:
        current = self._live.current.lists
        found = current.service(message.service) if current else None
        plan = (
            current.organisation_plan(message.organisation) if current else None
        )
        path = message.path.partition("?")[0]
        call = pools.PoolCall(
            call=ids.new_call_id(),
            organisation=message.organisation,
            program=_PROGRAM,
            turn=1,
            prompt_tokens=0,
            max_tokens=1,
            attained_tokens=0,
            share=plan.share if plan is not None else 1.0,
            deadline_ms=float(message.timeout_ms),
            digest=digest_call(message),
        )
        return _Run(
            message,
            call,
            found is not None and found.may_repeat(message.method, path),
            self._clock.now_ms() + message.timeout_ms,
        )


def _log(
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
    fault: faults.Fault, run: _Run
) -> errors.Outcome[messages.CallAnswer]:
    return errors.failed(
        errors.Reason.TARGET_FAILED,
        f"The target failed ({fault.detail}).",
        run.ran,
        fault.retry_after_ms,
    )
