"""Runs one turn of a program: reserves tokens and saves the answer."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import programs, records

if TYPE_CHECKING:
    from mangotally.homes import active_turns
    from mangotally.homes import turns as turn_runner
    from mangotally.log import partition as partition_log
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Longest time that a caller waits for the log to confirm a complete answer.
SAVE_TIMEOUT_MS = 30_000
# A turn starts over if another host's record took effect before its
# reservation.
MAX_RUNS = 3


class TurnRun:
    """Runs one turn of a program at the program's home.

    The reservation is appended to the log while the turn waits for a slot.
    No byte is sent to a target before the reservation has taken effect.
    """

    def __init__(
        self,
        request: programs.TurnRequest,
        message: messages.RunTurn,
        partition: partition_log.Partition,
        runner: turn_runner.TurnRunner,
        clock: clock_lib.Clock,
        active_turn: active_turns.ActiveTurn,
    ) -> None:
        self._request = request
        self._message = message
        self._partition = partition
        self._runner = runner
        self._clock = clock
        self._active_turn = active_turn
        self._text: list[str] = []
        self._reservations: list[records.TurnBegun] = []
        self._reservation_task: asyncio.Task[errors.Outcome[bool]] | None = None
        self._superseded = False
        self._was_permitted = False

    async def run(self) -> errors.Outcome[Any]:
        """Runs the turn and publishes the pieces of its answer.

        Returns:
            The last event of the turn: its end or a failure.
        """
        outcome: errors.Outcome[Any] = _superseded()
        for _ in range(MAX_RUNS):
            checked = self._decide()
            if isinstance(checked, result.Failure):
                return checked
            decision = checked.unwrap()
            if isinstance(decision, programs.Replay):
                return self._replay(decision.done)
            self._superseded = False
            outcome = await self._run_once(decision)
            if not self._superseded:
                break
        return await self._replay_if_done(outcome)

    async def _replay_if_done(
        self, outcome: errors.Outcome[Any]
    ) -> errors.Outcome[Any]:
        """Replaces a local failure by an answer that another home saved."""
        if isinstance(outcome, result.Success) or self._text:
            return outcome
        await self._partition.catch_up()
        match self._decide():
            case result.Success(programs.Replay(done)):
                return self._replay(done)
        return outcome

    def _decide(self) -> errors.Outcome[programs.StartTurn | programs.Replay]:
        return self._partition.ledger.check_turn(
            self._request, self._clock.wall_ms()
        )

    def _replay(self, done: records.TurnDone) -> errors.Outcome[Any]:
        for event in replay_events(done)[:-1]:
            self._active_turn.add_event(event)
        return replay_events(done)[-1]

    async def _run_once(
        self, decision: programs.StartTurn
    ) -> errors.Outcome[Any]:
        self._reservation_task = asyncio.create_task(self._reserve(decision))
        try:
            outcome = await self._generate(decision)
        finally:
            await self._drop_unused_reservation()
        if isinstance(outcome, result.Success):
            return await self._save_answer(outcome.unwrap())
        if outcome.failure().ran is errors.Ran.NOT_RUN:
            await self._drop_reservations()
        return outcome

    async def _reserve(
        self, decision: programs.StartTurn
    ) -> errors.Outcome[bool]:
        request = self._request
        record = records.TurnBegun(
            request.organisation,
            request.program,
            request.turn,
            ids.new_attempt_id(),
            request.digest,
            decision.prompt_tokens + decision.max_tokens,
        )
        self._reservations.append(record)
        return await self._partition.append(record)

    async def _permit(
        self, decision: programs.StartTurn
    ) -> errors.Outcome[None]:
        """Waits for the reservation to take effect.

        Called before an attempt sends its first byte. Each further attempt,
        after one that may have run, makes a reservation of its own.
        """
        task, self._reservation_task = self._reservation_task, None
        if task is not None:
            outcome = await task
        else:
            outcome = await self._reserve(decision)
        if outcome == result.Success(True):
            self._was_permitted = True
            return result.Success(None)
        if isinstance(outcome, result.Failure):
            return self._permit_refusal(outcome.failure())
        self._reservations.pop()
        self._superseded = not self._was_permitted
        return self._permit_refusal(_superseded().failure())

    def _permit_refusal(self, failure: errors.Failure) -> errors.Outcome[None]:
        """Returns a refused permit; an earlier attempt may have run."""
        ran = failure.ran
        if self._was_permitted:
            ran = errors.Ran.MAY_HAVE_RUN
        return result.Failure(dataclasses.replace(failure, ran=ran))

    async def _generate(
        self, decision: programs.StartTurn
    ) -> errors.Outcome[Any]:
        request = self._request
        ledger = self._partition.ledger
        found = ledger.find(request.organisation, request.program)
        assert found is not None
        left_ms = found.deadline_wall_ms - self._clock.wall_ms()
        message = dataclasses.replace(
            self._message,
            max_tokens=decision.max_tokens,
            timeout_ms=max(1, min(self._message.timeout_ms, left_ms)),
        )
        events = self._runner.generate(
            message,
            request.program,
            found.messages() + list(request.messages),
            found.account.tokens,
            lambda: self._permit(decision),
        )
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            async for event in events:
                match event:
                    case result.Success(messages.TurnText(piece)):
                        self._text.append(piece)
                        self._active_turn.add_event(event)
                    case _:
                        return event
        return errors.failed(
            errors.Reason.TARGET_FAILED,
            "The answer ended early.",
            errors.Ran.MAY_HAVE_RUN,
        )

    async def _drop_unused_reservation(self) -> None:
        """Drops the reservation if no attempt has used it."""
        if self._reservation_task is None:
            return
        self._reservation_task.cancel()
        self._reservation_task = None
        await self._drop_reservations()

    async def _drop_reservations(self) -> None:
        reservations, self._reservations = self._reservations, []
        for record in reservations:
            dropped = records.TurnDropped(
                record.organisation, record.program, record.turn, record.attempt
            )
            await self._partition.append(
                dropped, wait_ms=0, retry_after_timeout=True
            )

    async def _save_answer(self, end: messages.TurnEnd) -> errors.Outcome[Any]:
        request = self._request
        reservation = self._reservations[-1]
        used_tokens = (
            end.prompt_tokens - end.cached_tokens + end.generated_tokens
        )
        if used_tokens > reservation.reserved_tokens:
            logger.error(
                "usage_over_bound",
                extra={
                    "program": request.program,
                    "turn": request.turn,
                    "target": end.target,
                },
            )
        saved = await self._partition.append(
            records.TurnDone(
                request.organisation,
                request.program,
                request.turn,
                reservation.attempt,
                request.digest,
                request.messages,
                records.ChatMessage("assistant", "".join(self._text)),
                used_tokens,
                end.prompt_tokens + end.generated_tokens,
            ),
            SAVE_TIMEOUT_MS,
            retry_after_timeout=True,
        )
        match saved:
            case result.Success(True):
                return result.Success(end)
            case result.Success(_):
                return errors.failed(
                    errors.Reason.CONFLICT,
                    "Another host has run this turn; repeat the request.",
                    errors.Ran.RAN,
                )
        return errors.failed(
            errors.Reason.LOG_UNAVAILABLE,
            "The answer could not be saved; send the turn again.",
            errors.Ran.MAY_HAVE_RUN,
            saved.failure().retry_after_ms,
        )


def replay_events(done: records.TurnDone) -> list[errors.Outcome[Any]]:
    """Returns the events that replay a complete turn."""
    end = messages.TurnEnd(0, 0, 0, ids.TargetId(""), replayed=True)
    return [
        result.Success(messages.TurnText(done.answer.content)),
        result.Success(end),
    ]


def _superseded() -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.MOVED, "Another host has taken over the program."
    )
