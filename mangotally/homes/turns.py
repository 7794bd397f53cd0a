"""Turns on model engines: a slot from the pool, then the engine's answer."""

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
    """A turn and what has become of it so far.

    Attributes:
        message: The turn.
        call: Its call; each attempt has an id of its own.
        prompt: The whole conversation.
        due_ms: When its time is over.
        permit: Called before a byte goes to a target, or None.
        permitted: Whether the last permit still covers the next attempt.
        attempt: Number of the attempt under way.
        crashes: Its attempts under which a target crashed.
        sent_text: Whether a piece of the answer has reached the caller.
    """

    message: messages.RunTurn
    call: pools.PoolCall
    prompt: tuple[records.ChatMessage, ...]
    due_ms: float
    permit: Callable[[], Awaitable[errors.Outcome[Any]]] | None = None
    permitted: bool = False
    attempt: int = 0
    crashes: tuple[messages.CrashedCall, ...] = ()
    sent_text: bool = False

    def ran(self) -> errors.Ran:
        """Returns whether an earlier attempt may have run."""
        if self.attempt > 1:
            return errors.Ran.MAY_HAVE_RUN
        return errors.Ran.NOT_RUN


class TurnRunner:
    """Runs turns on targets; knows nothing of their history."""

    def __init__(
        self,
        slots: slot_client.SlotClient,
        engine: engine_client.EngineClient,
        quarantine: live_quarantine.LiveQuarantine,
        retry_share: float,
        clock: clock_lib.Clock,
        random: Callable[[], float],
    ) -> None:
        """Makes a runner.

        Args:
            slots: Gets targets from the pools' homes.
            engine: Speaks to engines.
            quarantine: Requests that are refused.
            retry_share: Retries per turn, as a share of the turns.
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

        A target that fails is left for another one as long as no piece of
        the answer has been yielded, the service's retry budget lasts and
        the turn's time is not over. Later faults are met by resuming the
        same answer at the same target.

        Args:
            message: The turn.
            program: The program that the prompt belongs to.
            prompt: The whole conversation.
            attained_tokens: Service that the program has received so far.
            permit: Called once there is a slot and before any byte goes
                to a target, and again after an attempt that may have run;
                a failure ends the turn there.

        Yields:
            `TurnText` pieces and a `TurnEnd`, or a failure at the end.
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
        due_ms = self._clock.now_ms() + message.timeout_ms
        turn = _Turn(message, call, tuple(prompt), due_ms, permit)
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
            again = self._decide(turn, fault, budget)
            if isinstance(again, retries.GiveUp):
                yield result.Failure(_failure_of(turn, fault))
                return
            await asyncio.sleep(clock_lib.to_seconds(again.delay_ms))

    async def end_program(
        self,
        service: ids.ServiceId,
        program: ids.ProgramId,
        organisation: ids.OrganisationId | None = None,
    ) -> None:
        """Has a gone program's calls cancelled and its prefixes released."""
        self._slots.end_program(service, program, organisation)

    def _is_quarantined(self, turn: _Turn) -> bool:
        if len(turn.crashes) >= quarantine.MAX_CRASHES:
            return True
        return self._quarantine.is_refused(turn.call.digest)

    def _decide(
        self,
        turn: _Turn,
        fault: faults.Fault,
        budget: retries.RetryBudget,
    ) -> retries.Retry | retries.GiveUp:
        attempt = retries.Attempt(
            number=turn.attempt,
            is_repeatable=not turn.sent_text,
            remaining_ms=turn.due_ms - self._clock.now_ms(),
        )
        return retries.decide(fault, attempt, budget, self._random())

    async def _attempt(
        self, turn: _Turn
    ) -> AsyncGenerator[errors.Outcome[Any] | faults.Fault, None]:
        left_ms = turn.due_ms - self._clock.now_ms()
        turn.call = dataclasses.replace(
            turn.call, call=ids.new_call_id(), deadline_ms=left_ms
        )
        service = turn.message.service
        async with self._slots.slot(
            service, turn.call, left_ms, turn.crashes
        ) as slot:
            if isinstance(slot.granted, result.Failure):
                yield _refusal_of(turn, slot.granted.failure())
                return
            if turn.permit is not None and not turn.permitted:
                allowed = await turn.permit()
                if isinstance(allowed, result.Failure):
                    yield allowed
                    return
                turn.permitted = True
            grant = slot.granted.unwrap()
            events = self._stream(turn, grant)
            async with contextlib.aclosing(events):
                async for event in events:
                    match event:
                        case result.Success(engine_client.ChatText(text)):
                            slot.record_text(self._clock.now_ms())
                            turn.sent_text = True
                            yield result.Success(messages.TurnText(text))
                        case result.Success(engine_client.ChatEnd() as end):
                            slot.record_success(
                                end.cached_tokens, end.generated_tokens
                            )
                            yield _end_of(end, grant.target)
                        case _:
                            fault = event.failure()
                            slot.record_fault(fault)
                            self._note(turn, grant.target, fault)
                            yield fault

    async def _stream(
        self, turn: _Turn, grant: messages.SlotGranted
    ) -> AsyncGenerator[engine_client.ChatEvent, None]:
        """Yields an answer, resumed at the same target when it breaks off."""
        request = engine_client.ChatRequest(
            turn.call.call,
            turn.call.organisation,
            turn.call.program,
            turn.message.service,
            turn.prompt,
            turn.message.max_tokens,
            turn.due_ms - self._clock.now_ms(),
            turn.call.prompt_tokens,
            turn.message.options,
        )
        events = self._engine.chat(grant.address, request)
        first: faults.Fault | None = None
        last = 0
        for _ in range(MAX_RESUMES + 1):
            fault: faults.Fault | None = None
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    match event:
                        case result.Success(engine_client.ChatText() as text):
                            last = text.number
                            first = None
                            yield event
                        case result.Success(_):
                            yield event
                            return
                        case _:
                            fault = event.failure()
            if fault is None:
                fault = faults.Fault(faults.FaultKind.BROKEN, "no end")
            if first is not None:
                yield result.Failure(faults.after_resume(first, fault))
                return
            if not fault.is_resumable:
                yield result.Failure(fault)
                return
            first = fault
            request = dataclasses.replace(
                request, timeout_ms=turn.due_ms - self._clock.now_ms()
            )
            events = self._engine.resume(grant.address, request, last)
        assert first is not None
        yield result.Failure(first)

    def _note(
        self, turn: _Turn, target: ids.TargetId, fault: faults.Fault
    ) -> None:
        if fault.kind is faults.FaultKind.CRASHED:
            crash = messages.CrashedCall(target, turn.call.call)
            turn.crashes = (*turn.crashes, crash)
        if fault.ran is not errors.Ran.NOT_RUN:
            turn.permitted = False
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


def _end_of(
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


def _refusal_of(turn: _Turn, failure: errors.Failure) -> errors.Outcome[Any]:
    """Returns why no target was found, after earlier attempts or none."""
    return result.Failure(dataclasses.replace(failure, ran=turn.ran()))


def _failure_of(turn: _Turn, fault: faults.Fault) -> errors.Failure:
    ran = fault.ran if turn.attempt == 1 else turn.ran()
    if fault.kind is faults.FaultKind.DEADLINE:
        return errors.Failure(
            errors.Reason.DEADLINE, "The turn's time is over.", ran
        )
    if turn.sent_text:
        return errors.Failure(
            errors.Reason.TARGET_FAILED,
            f"The answer broke off ({fault.detail}) and could not be "
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
