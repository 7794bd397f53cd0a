"""Runs calls of plain services: a slot, the call, perhaps another target."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import logging
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.policy import faults, pools, retries
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.homes import configuration, slots
    from mangotally.hosts import messages
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


@dataclasses.dataclass(frozen=True)
class _Limits:
    """How a call may run.

    Attributes:
        is_repeatable: Whether running it twice does no harm.
        share: Weight of the organisation's plan.
        due_ms: When its time is over.
    """

    is_repeatable: bool
    share: float
    due_ms: float


class ServiceRunner:
    """Sends calls to targets of their service, and retries if allowed."""

    def __init__(
        self,
        slots: slots.SlotClient,
        live: configuration.LiveConfiguration,
        client: service_client.ServiceClient,
        retry_share: float,
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        """Makes a runner.

        Args:
            slots: Gets targets from the pools' homes.
            live: The lists in force.
            client: Speaks to plain services.
            retry_share: Retries per call, as a share of the calls.
            clock: The host's clock.
            random: Returns numbers from 0 to 1.
        """
        self._slots = slots
        self._live = live
        self._client = client
        self._share = retry_share
        self._clock = clock
        self._random = random
        self._budgets: dict[str, retries.RetryBudget] = {}

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
        limits = self._limits(message)
        budget = self._budgets.setdefault(
            message.service, retries.RetryBudget(self._share)
        )
        budget.earn()
        call = self._call(message, limits)
        ran = errors.Ran.NOT_RUN
        number = 0
        while True:
            number += 1
            left_ms = limits.due_ms - self._clock.now_ms()
            call = dataclasses.replace(
                call, call=ids.new_call_id(), deadline_ms=left_ms
            )
            async with self._slots.slot(message.service, call, left_ms) as slot:
                if isinstance(slot.granted, result.Failure):
                    failure = slot.granted.failure()
                    return result.Failure(dataclasses.replace(failure, ran=ran))
                grant = slot.granted.unwrap()
                answer = await self._client.call(
                    grant.address,
                    message,
                    limits.is_repeatable,
                    max(1.0, limits.due_ms - self._clock.now_ms()),
                )
                if isinstance(answer, result.Success):
                    slot.done()
                    return result.Success(answer.unwrap())
                fault = answer.failure()
                slot.failed(fault)
            _log(message, grant.target, fault)
            if fault.ran is not errors.Ran.NOT_RUN:
                ran = fault.ran
            attempt = retries.Attempt(
                number,
                limits.is_repeatable or fault.ran is errors.Ran.NOT_RUN,
                limits.due_ms - self._clock.now_ms(),
            )
            again = retries.decide(fault, attempt, budget, self._random())
            if isinstance(again, retries.GiveUp):
                return _failed(fault, ran)
            call = dataclasses.replace(
                call, excluded=(*call.excluded, grant.target)
            )
            await asyncio.sleep(clock_lib.to_seconds(again.delay_ms))

    def _limits(self, message: messages.RunCall) -> _Limits:
        current = self._live.current.lists
        found = current.service(message.service) if current else None
        plan = (
            current.organisation_plan(message.organisation) if current else None
        )
        path = message.path.partition("?")[0]
        return _Limits(
            found is not None and found.may_repeat(message.method, path),
            plan.share if plan is not None else 1.0,
            self._clock.now_ms() + message.timeout_ms,
        )

    def _call(
        self, message: messages.RunCall, limits: _Limits
    ) -> pools.PoolCall:
        return pools.PoolCall(
            call=ids.new_call_id(),
            organisation=message.organisation,
            program=_PROGRAM,
            turn=1,
            prompt_tokens=0,
            max_tokens=1,
            attained_tokens=0,
            share=limits.share,
            deadline_ms=limits.due_ms,
            digest=digest_call(message),
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
    fault: faults.Fault, ran: errors.Ran
) -> errors.Outcome[messages.CallAnswer]:
    return errors.failed(
        errors.Reason.TARGET_FAILED,
        f"The target failed ({fault.detail}).",
        ran,
        fault.retry_after_ms,
    )
