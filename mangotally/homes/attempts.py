"""One run of a turn: its reservation, its answer, its record."""

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

KEEP_WAIT_MS = 30_000
MAX_DECISIONS = 3


class TurnRun:
    """Runs one turn of a program at its home.

    The reservation goes to the log while the turn waits for a slot. No byte
    is sent to a target before the reservation has taken effect in the log.
    """

    def __init__(
        self,
        wanted: programs.TurnRequest,
        message: messages.RunTurn,
        partition: partition_log.Partition,
        runner: turn_runner.TurnRunner,
        clock: clock_lib.Clock,
        running: active_turns.ActiveTurn,
    ) -> None:
        """Makes a run that has not begun."""
        self._wanted = wanted
        self._message = message
        self._partition = partition
        self._runner = runner
        self._clock = clock
        self._running = running
        self._text: list[str] = []
        self._begun: list[records.TurnBegun] = []
        self._reserving: asyncio.Task[errors.Outcome[bool]] | None = None
        self._superseded = False
        self._permitted = False

    async def run(self) -> errors.Outcome[Any]:
        """Runs the turn; pieces go to its followers.

        Returns:
            The turn's last event: its end, or why it failed.
        """
        outcome: errors.Outcome[Any] = _superseded()
        for _ in range(MAX_DECISIONS):
            decision = self._decide()
            if isinstance(decision, result.Failure):
                return decision
            verdict = decision.unwrap()
            if isinstance(verdict, programs.Replay):
                return self._replay(verdict.done)
            self._superseded = False
            outcome = await self._run_once(verdict)
            if not self._superseded:
                break
        return await self._replay_if_done(outcome)

    async def _replay_if_done(
        self, outcome: errors.Outcome[Any]
    ) -> errors.Outcome[Any]:
        """Returns another home's answer in place of a failure here."""
        if isinstance(outcome, result.Success) or self._text:
            return outcome
        await self._partition.catch_up()
        match self._decide():
            case result.Success(programs.Replay(done)):
                return self._replay(done)
        return outcome

    def _decide(self) -> errors.Outcome[programs.StartTurn | programs.Replay]:
        return self._partition.ledger.check_turn(
            self._wanted, self._clock.wall_ms()
        )

    def _replay(self, done: records.TurnDone) -> errors.Outcome[Any]:
        for event in replay(done)[:-1]:
            self._running.add_event(event)
        return replay(done)[-1]

    async def _run_once(
        self, verdict: programs.StartTurn
    ) -> errors.Outcome[Any]:
        self._reserving = asyncio.create_task(self._reserve(verdict))
        try:
            outcome = await self._generate(verdict)
        finally:
            await self._give_back_unused()
        if isinstance(outcome, result.Success):
            return await self._keep(outcome.unwrap())
        if outcome.failure().ran is errors.Ran.NOT_RUN:
            await self._give_back()
        return outcome

    async def _reserve(
        self, verdict: programs.StartTurn
    ) -> errors.Outcome[bool]:
        wanted = self._wanted
        record = records.TurnBegun(
            wanted.organisation,
            wanted.program,
            wanted.turn,
            ids.new_attempt_id(),
            wanted.digest,
            verdict.prompt_tokens + verdict.max_tokens,
        )
        self._begun.append(record)
        return await self._partition.append(record)

    async def _permit(
        self, verdict: programs.StartTurn
    ) -> errors.Outcome[None]:
        reserving, self._reserving = self._reserving, None
        if reserving is not None:
            outcome = await reserving
        else:
            outcome = await self._reserve(verdict)
        if outcome == result.Success(True):
            self._permitted = True
            return result.Success(None)
        if isinstance(outcome, result.Failure):
            return self._refused(outcome.failure())
        self._begun.pop()
        self._superseded = not self._permitted
        return self._refused(_superseded().failure())

    def _refused(self, failure: errors.Failure) -> errors.Outcome[None]:
        """Returns why there is no permit; an earlier one may have run."""
        ran = failure.ran
        if self._permitted:
            ran = errors.Ran.MAY_HAVE_RUN
        return result.Failure(dataclasses.replace(failure, ran=ran))

    async def _generate(
        self, verdict: programs.StartTurn
    ) -> errors.Outcome[Any]:
        wanted = self._wanted
        ledger = self._partition.ledger
        found = ledger.find(wanted.organisation, wanted.program)
        assert found is not None
        left_ms = found.deadline_wall_ms - self._clock.wall_ms()
        message = dataclasses.replace(
            self._message,
            max_tokens=verdict.max_tokens,
            timeout_ms=max(1, min(self._message.timeout_ms, left_ms)),
        )
        events = self._runner.generate(
            message,
            wanted.program,
            found.messages() + list(wanted.messages),
            found.account.tokens,
            lambda: self._permit(verdict),
        )
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            async for event in events:
                match event:
                    case result.Success(messages.TurnText(piece)):
                        self._text.append(piece)
                        self._running.add_event(event)
                    case _:
                        return event
        return errors.failed(
            errors.Reason.TARGET_FAILED,
            "The answer broke off.",
            errors.Ran.MAY_HAVE_RUN,
        )

    async def _give_back_unused(self) -> None:
        """Gives a reservation back that no attempt has used."""
        if self._reserving is None:
            return
        self._reserving.cancel()
        self._reserving = None
        await self._give_back()

    async def _give_back(self) -> None:
        begun, self._begun = self._begun, []
        for record in begun:
            dropped = records.TurnDropped(
                record.organisation, record.program, record.turn, record.attempt
            )
            await self._partition.append(
                dropped, wait_ms=0, retry_after_timeout=True
            )

    async def _keep(self, end: messages.TurnEnd) -> errors.Outcome[Any]:
        wanted = self._wanted
        begun = self._begun[-1]
        used_tokens = (
            end.prompt_tokens - end.cached_tokens + end.generated_tokens
        )
        if used_tokens > begun.reserved_tokens:
            logger.error(
                "usage_over_bound",
                extra={
                    "program": wanted.program,
                    "turn": wanted.turn,
                    "target": end.target,
                },
            )
        kept = await self._partition.append(
            records.TurnDone(
                wanted.organisation,
                wanted.program,
                wanted.turn,
                begun.attempt,
                wanted.digest,
                wanted.messages,
                records.ChatMessage("assistant", "".join(self._text)),
                used_tokens,
                end.prompt_tokens + end.generated_tokens,
            ),
            KEEP_WAIT_MS,
            retry_after_timeout=True,
        )
        match kept:
            case result.Success(True):
                return result.Success(end)
            case result.Success(_):
                return errors.failed(
                    errors.Reason.CONFLICT,
                    "Another host has run this turn; ask for it again.",
                    errors.Ran.RAN,
                )
        return errors.failed(
            errors.Reason.LOG_UNAVAILABLE,
            "The answer could not be kept; send the turn again.",
            errors.Ran.MAY_HAVE_RUN,
            kept.failure().retry_after_ms,
        )


def replay(done: records.TurnDone) -> list[errors.Outcome[Any]]:
    """Returns the events of a turn that is done."""
    end = messages.TurnEnd(0, 0, 0, ids.TargetId(""), replayed=True)
    return [
        result.Success(messages.TurnText(done.answer.content)),
        result.Success(end),
    ]


def _superseded() -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.MOVED, "Another host acts for the program."
    )
