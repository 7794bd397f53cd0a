"""Runs turns on model engines: acquires a slot, streams the answer."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.engines import client as engine_client
from mangotally.homes import pool as pool_lib
from mangotally.hosts import messages
from mangotally.policy import (
    faults,
    pools,
    programs,
    quarantine,
    records,
    retries,
)
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from mangotally.homes import quarantine as live_quarantine
    from mangotally.homes import slots as slot_client

logger = logging.getLogger(__name__)

CHARS_PER_TOKEN = 4
MAX_RESUMES = 8


def estimate_tokens(prompt: list[records.ChatMessage]) -> int:
    """Returns the estimated length of messages in tokens."""
    return sum(1 + len(item.content) // CHARS_PER_TOKEN for item in prompt)


@dataclasses.dataclass
class _Turn:
    """A turn and the state of its attempts.

    Attributes:
        message: The request.
        call: The call of the current attempt; each attempt has its own id.
        prompt: The complete conversation.
        deadline_ms: When the turn times out.
        permit: Called before the first byte is sent to a target, or None.
        is_permitted: Whether the last permit also covers the next attempt.
        attempt: Number of the current attempt, from 1.
        crashes: Attempts during which the target crashed.
        has_sent_text: Whether a part of the answer was sent to the caller.
    """

    message: messages.RunTurn
    call: pools.PoolCall
    prompt: tuple[records.ChatMessage, ...]
    deadline_ms: float
    permit: Callable[[], Awaitable[errors.Outcome[Any]]] | None = None
    is_permitted: bool = False
    attempt: int = 0
    crashes: tuple[messages.CrashedCall, ...] = ()
    has_sent_text: bool = False

    def ran(self) -> errors.Ran:
        """Returns whether an earlier attempt may have run."""
        if self.attempt > 1:
            return errors.Ran.MAY_HAVE_RUN
        return errors.Ran.NOT_RUN


class TurnRunner:
    """Runs turns on targets; keeps no histories."""

    def __init__(
        self,
        slots: slot_client.SlotClient,
        engine: engine_client.EngineClient,
        quarantine: live_quarantine.LiveQuarantine,
        retry_share: float,
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        """Creates a runner.

        Args:
            slots: Acquires slots from the homes of pools.
            engine: Client of the engines.
            quarantine: The quarantine in force.
            retry_share: Retries allowed, as a fraction of the turns.
            clock: The host's clock.
            random: Returns numbers from 0 to 1.
        """
        self._slots = slots
        self._engine = engine
        self._quarantine = quarantine
        self._budgets = retries.RetryBudgets(retry_share)
        self._clock = clock
        self._random = random

    async def generate(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        prompt: list[records.ChatMessage],
        attained_tokens: int,
        permit: Callable[[], Awaitable[errors.Outcome[Any]]] | None = None,
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Runs a turn on a target of its pool.

        If the target fails, the turn is retried at another target, as long
        as no part of the answer has been yielded, the service's retry
        budget is not exhausted and the turn has not timed out. After the
        first part, the answer is resumed at the same target.

        Args:
            message: The turn.
            program: The program that the prompt belongs to.
            prompt: The complete conversation.
            attained_tokens: Tokens of service that the program has received.
            permit: Called when a slot is acquired and before any byte is
                sent to the target, and again after each attempt that may
                have run; its failure ends the turn.

        Yields:
            `TurnText` events and then a `TurnEnd`, or a failure.
        """
        call = pools.PoolCall(
            call=ids.new_call_id(),
            organisation=message.organisation,
            program=program,
            turn=message.turn,
            prompt_tokens=estimate_tokens(prompt),
            max_tokens=message.max_tokens,
            attained_tokens=attained_tokens,
            share=message.share,
            deadline_ms=float(message.timeout_ms),
            digest=programs.digest_messages(
                message.service, prompt, message.options
            ),
        )
        deadline_ms = self._clock.now_ms() + message.timeout_ms
        turn = _Turn(message, call, tuple(prompt), deadline_ms, permit)
        budget = self._budgets.of(message.service)
        budget.earn()
        while True:
            turn.attempt += 1
            if self._is_quarantined(turn):
                yield result.Failure(pool_lib.quarantine_failure(turn.ran()))
                return
            attempt = self._attempt(turn)
            fault: faults.Fault | None = None
            async with contextlib.aclosing(attempt) as events:
                async for event in events:
                    if isinstance(event, faults.Fault):
                        fault = event
                    else:
                        yield event
            if fault is None:
                return
            decision = self._decide_retry(turn, fault, budget)
            if isinstance(decision, retries.GiveUp):
                yield result.Failure(_target_failure(turn, fault))
                return
            await asyncio.sleep(clock_lib.to_seconds(decision.delay_ms))

    async def end_program(
        self,
        service: ids.ServiceId,
        program: ids.ProgramId,
        organisation: ids.OrganisationId | None = None,
    ) -> None:
        """Cancels the calls of an ended program and releases its prefixes."""
        self._slots.end_program(service, program, organisation)

    def _is_quarantined(self, turn: _Turn) -> bool:
        if len(turn.crashes) >= quarantine.MAX_CRASHES:
            return True
        return self._quarantine.is_refused(turn.call.digest)

    def _decide_retry(
        self,
        turn: _Turn,
        fault: faults.Fault,
        budget: retries.RetryBudget,
    ) -> retries.Retry | retries.GiveUp:
        attempt = retries.Attempt(
            number=turn.attempt,
            is_repeatable=not turn.has_sent_text,
            remaining_ms=turn.deadline_ms - self._clock.now_ms(),
        )
        return retries.decide(fault, attempt, budget, self._random())

    async def _attempt(
        self, turn: _Turn
    ) -> AsyncGenerator[errors.Outcome[Any] | faults.Fault, None]:
        remaining_ms = turn.deadline_ms - self._clock.now_ms()
        turn.call = dataclasses.replace(
            turn.call, call=ids.new_call_id(), deadline_ms=remaining_ms
        )
        service = turn.message.service
        async with self._slots.slot(
            service, turn.call, remaining_ms, turn.crashes
        ) as slot:
            if isinstance(slot.granted, result.Failure):
                yield _slot_failure(turn, slot.granted.failure())
                return
            if turn.permit is not None and not turn.is_permitted:
                allowed = await turn.permit()
                if isinstance(allowed, result.Failure):
                    yield allowed
                    return
                turn.is_permitted = True
            grant = slot.granted.unwrap()
            events = self._stream(turn, grant)
            async with contextlib.aclosing(events):
                async for event in events:
                    match event:
                        case result.Success(engine_client.ChatText(text)):
                            slot.record_text(self._clock.now_ms())
                            turn.has_sent_text = True
                            yield result.Success(messages.TurnText(text))
                        case result.Success(engine_client.ChatEnd() as end):
                            slot.record_success(
                                end.cached_tokens, end.generated_tokens
                            )
                            yield _turn_end(end, grant.target)
                        case _:
                            fault = event.failure()
                            slot.record_fault(fault)
                            self._record_fault(turn, grant.target, fault)
                            yield fault

    async def _stream(
        self, turn: _Turn, grant: messages.SlotGranted
    ) -> AsyncGenerator[engine_client.ChatEvent, None]:
        """Yields an answer; resumes it at its target if the stream breaks."""
        request = engine_client.ChatRequest(
            turn.call.call,
            turn.call.organisation,
            turn.call.program,
            turn.message.service,
            turn.prompt,
            turn.message.max_tokens,
            turn.deadline_ms - self._clock.now_ms(),
            turn.call.prompt_tokens,
            turn.message.options,
        )
        events = self._engine.chat(grant.address, request)
        original_fault: faults.Fault | None = None
        last_number = 0
        for _ in range(MAX_RESUMES + 1):
            fault: faults.Fault | None = None
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    match event:
                        case result.Success(engine_client.ChatText() as text):
                            last_number = text.number
                            original_fault = None
                            yield event
                        case result.Success(_):
                            yield event
                            return
                        case _:
                            fault = event.failure()
            if fault is None:
                fault = faults.Fault(faults.FaultKind.BROKEN, "no end")
            if original_fault is not None:
                yield result.Failure(faults.after_resume(original_fault, fault))
                return
            if not fault.is_resumable:
                yield result.Failure(fault)
                return
            original_fault = fault
            request = dataclasses.replace(
                request, timeout_ms=turn.deadline_ms - self._clock.now_ms()
            )
            events = self._engine.resume(grant.address, request, last_number)
        assert original_fault is not None
        yield result.Failure(original_fault)

    def _record_fault(
        self, turn: _Turn, target: ids.TargetId, fault: faults.Fault
    ) -> None:
        if fault.kind is faults.FaultKind.CRASHED:
            crash = messages.CrashedCall(target, turn.call.call)
            turn.crashes = (*turn.crashes, crash)
        if fault.ran is not errors.Ran.NOT_RUN:
            turn.is_permitted = False
        excluded = turn.call.excluded
        if target not in excluded:
            turn.call = dataclasses.replace(
                turn.call, excluded=(*excluded, target)
            )
        logger.warning(
            "target_failed",
            extra={
                "target": target,
                "fault": fault.kind.value,
                "organisation": turn.call.organisation,
                "program": turn.call.program,
                "turn": turn.call.turn,
                "attempt": turn.attempt,
            },
        )


def _turn_end(
    end: engine_client.ChatEnd, target: ids.TargetId
) -> errors.Outcome[messages.TurnEnd]:
    return result.Success(
        messages.TurnEnd(
            end.prompt_tokens,
            end.cached_tokens,
            end.generated_tokens,
            target,
            replayed=False,
        )
    )


def _slot_failure(turn: _Turn, failure: errors.Failure) -> errors.Outcome[Any]:
    """Returns the failure to acquire a slot.

    It says whether an earlier attempt may have run.
    """
    return result.Failure(dataclasses.replace(failure, ran=turn.ran()))


def _target_failure(turn: _Turn, fault: faults.Fault) -> errors.Failure:
    ran = fault.ran if turn.attempt == 1 else turn.ran()
    if fault.kind is faults.FaultKind.DEADLINE:
        return errors.Failure(
            errors.Reason.DEADLINE, "The turn's deadline has passed.", ran
        )
    if turn.has_sent_text:
        return errors.Failure(
            errors.Reason.TARGET_FAILED,
            f"The answer was interrupted ({fault.detail}) and could not be "
            "resumed; send the turn again.",
            ran,
            retry_after_ms=fault.retry_after_ms or 1000,
        )
    return errors.Failure(
        errors.Reason.TARGET_FAILED,
        f"The target failed ({fault.detail}).",
        ran,
        retry_after_ms=fault.retry_after_ms or 1000,
    )
