"""Home of programs: order of turns, histories, budgets and deadlines.

The home of a program is the host that owns its key; it loads the program's
history from the log and runs its turns.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.homes import active_turns, attempts
from mangotally.hosts import messages
from mangotally.policy import budget, programs, records

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from mangotally.homes import partitions as partitions_lib
    from mangotally.homes import turns as turn_runner
    from mangotally.hosts import router
    from mangotally.log import partition as partition_log
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# A new home repeats the release requests of programs that ended within this
# time, because the previous home may not have sent them.
RECENTLY_ENDED_MS = 600_000
_ENDED = errors.Failure(
    errors.Reason.CANCELLED, "The program has ended.", errors.Ran.MAY_HAVE_RUN
)
_DEADLINE_PASSED = errors.Failure(
    errors.Reason.DEADLINE,
    "The program's deadline has passed.",
    errors.Ran.MAY_HAVE_RUN,
)


class ProgramHome:
    """The programs whose home is this host."""

    def __init__(
        self,
        partitions: partitions_lib.Partitions,
        turns: turn_runner.TurnRunner,
        clock: clock_lib.Clock,
    ) -> None:
        self._partitions = partitions
        self._turns = turns
        self._clock = clock
        self._active_turns = active_turns.ActiveTurns()
        partitions.on_load(self._repeat_releases)

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handlers."""
        handlers.add_unary(messages.OpenProgram, self.open)
        handlers.add_unary(messages.CloseProgram, self.close)
        handlers.add_unary(messages.DescribeProgram, self.describe)
        handlers.add_unary(messages.ChargeCall, self.charge)
        handlers.add_streaming(messages.RunTurn, self.run_turn)

    def key_of(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> str:
        """Returns the rendezvous key of a program."""
        return self._partitions.key_of(organisation, ids.root_of(program))

    async def open(
        self, message: messages.OpenProgram
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Opens a program; opening it again has no further effect."""
        opened = message.opened
        outcome = await self._load(opened.organisation, opened.program)
        if isinstance(outcome, result.Failure):
            return outcome
        partition = outcome.unwrap()
        if opened.parent is not None:
            allowed = await self._check_open(
                partition, opened.organisation, opened.parent
            )
            if isinstance(allowed, result.Failure):
                return allowed
        appended = await partition.append(opened)
        if isinstance(appended, result.Failure):
            return appended
        if opened.parent is not None and not appended.unwrap():
            allowed = await self._check_open(
                partition, opened.organisation, opened.parent
            )
            if isinstance(allowed, result.Failure):
                return allowed
        return _describe(partition, opened.organisation, opened.program)

    async def close(
        self, message: messages.CloseProgram
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Ends a program and its sub-agents at the caller's request."""
        organisation, program = message.organisation, message.program
        outcome = await self._load(organisation, program)
        if isinstance(outcome, result.Failure):
            return outcome
        partition = outcome.unwrap()
        described = await self.describe(
            messages.DescribeProgram(organisation, program)
        )
        if isinstance(described, result.Failure):
            return described
        ended = await self.end(
            partition, organisation, program, records.CloseReason.CALLER
        )
        return ended.bind(lambda _: _describe(partition, organisation, program))

    async def describe(
        self, message: messages.DescribeProgram
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Returns the state of a program."""
        outcome = await self._load(message.organisation, message.program)
        if isinstance(outcome, result.Failure):
            return outcome
        partition = outcome.unwrap()
        if not partition.ledger.find(message.organisation, message.program):
            read = await partition.catch_up()
            if isinstance(read, result.Failure):
                return result.Failure(read.failure())
        return _describe(partition, message.organisation, message.program)

    async def charge(
        self, message: messages.ChargeCall
    ) -> errors.Outcome[messages.Done]:
        """Charges a service call to a program, at most once per charge."""
        organisation, program = message.organisation, message.program
        outcome = await self._load(organisation, program)
        if isinstance(outcome, result.Failure):
            return outcome
        partition = outcome.unwrap()
        allowed = await self._check_open(partition, organisation, program)
        if isinstance(allowed, result.Failure):
            return allowed
        appended = await partition.append(
            records.CallCharged(organisation, program, message.charge)
        )
        if isinstance(appended, result.Failure):
            return appended
        found = partition.ledger.find(organisation, program)
        if found is not None and message.charge in found.charges:
            return result.Success(messages.Done())
        if found is None or found.closed is not None:
            still_open = partition.ledger.check_open(
                organisation, program, self._clock.wall_ms()
            )
            return still_open.map(lambda _: messages.Done())
        fits = budget.check(partition.ledger.account_chain(found), 0)
        return fits.map(lambda _: messages.Done())

    async def end(
        self,
        partition: partition_log.Partition,
        organisation: ids.OrganisationId,
        program: ids.ProgramId,
        reason: records.CloseReason,
    ) -> errors.Outcome[bool]:
        """Ends a program and its sub-agents.

        Their turns are cancelled and their prefixes released. If the reason
        is the deadline, the turns are cancelled even if the log is
        unavailable.
        """
        if reason is records.CloseReason.DEADLINE:
            for item in partition.ledger.tree(organisation, program):
                self._cancel(item, _DEADLINE_PASSED)
        appended = await partition.append(
            records.ProgramClosed(
                organisation, program, reason, self._clock.wall_ms()
            )
        )
        if isinstance(appended, result.Failure):
            return appended
        for item in partition.ledger.tree(organisation, program):
            self._cancel(item, _ENDED)
            await self._turns.end_program(
                item.opened.service, item.opened.program
            )
        return appended

    async def run_turn(
        self, message: messages.RunTurn
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Runs a turn, joins it if it is running, or replays it.

        Yields:
            The events of the turn.
        """
        if message.program is None:
            async for event in self._run_without_program(message):
                yield event
            return
        outcome = await self._load(message.organisation, message.program)
        if isinstance(outcome, result.Failure):
            yield outcome
            return
        request = programs.TurnRequest(
            message.organisation,
            message.program,
            message.turn,
            message.messages,
            message.max_tokens,
            programs.digest_messages(
                message.service, message.messages, message.options
            ),
            message.options,
        )
        events = self._join(message, request, outcome.unwrap())
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    def has_active_turn(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> bool:
        """Returns whether a turn of a program is running on this host."""
        return self._active_turns.has_program((organisation, program))

    async def wait_idle(self) -> None:
        """Waits until all running turns have ended and are recorded."""
        await self._active_turns.wait_idle()

    def dump(self) -> dict[str, object]:
        """Returns the state of the partitions for the state dump."""
        loaded = self._partitions.loaded()
        return {
            "partitions": len(loaded),
            "programs": sum(len(item.ledger.programs) for item in loaded),
            "calls": sum(len(item.ledger.calls.calls) for item in loaded),
            "unwritten_bytes": sum(item.pending_bytes for item in loaded),
            "turns_running": len(self._active_turns),
        }

    async def _join(
        self,
        message: messages.RunTurn,
        request: programs.TurnRequest,
        partition: partition_log.Partition,
    ) -> AsyncGenerator[errors.Outcome[Any], None]:
        found = self._active_turns.find(request)
        if found is None:
            decision = await self._decide(partition, request)
            match decision:
                case result.Success(programs.Replay(done)):
                    for event in attempts.replay_events(done):
                        yield event
                    return
                case result.Failure(_):
                    yield decision
                    return
            found = self._active_turns.find(request)
        active = found or self._start(message, request, partition)
        if active.digest != request.digest:
            yield errors.failed(
                errors.Reason.CONFLICT,
                f"Turn {request.turn} is running with different content.",
            )
            return
        async for event in active.events():
            yield event

    async def _decide(
        self, partition: partition_log.Partition, request: programs.TurnRequest
    ) -> errors.Outcome[programs.StartTurn | programs.Replay]:
        """Returns whether to start or replay a turn, or why it is refused.

        Before a turn is refused, the stream is read to its end, as another
        host may have appended records that allow it.
        """
        decision = partition.ledger.check_turn(request, self._clock.wall_ms())
        if isinstance(decision, result.Success):
            return decision
        read = await partition.catch_up()
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        return partition.ledger.check_turn(request, self._clock.wall_ms())

    async def _check_open(
        self,
        partition: partition_log.Partition,
        organisation: ids.OrganisationId,
        program: ids.ProgramId,
    ) -> errors.Outcome[Any]:
        if partition.ledger.find(organisation, program) is None:
            read = await partition.catch_up()
            if isinstance(read, result.Failure):
                return result.Failure(read.failure())
        return partition.ledger.check_open(
            organisation, program, self._clock.wall_ms()
        )

    def _start(
        self,
        message: messages.RunTurn,
        request: programs.TurnRequest,
        partition: partition_log.Partition,
    ) -> active_turns.ActiveTurn:
        active = self._active_turns.add(request)
        run = attempts.TurnRun(
            request, message, partition, self._turns, self._clock, active
        )
        self._active_turns.start(request, active, run.run())
        return active

    def _cancel(
        self, program: programs.Program, failure: errors.Failure
    ) -> None:
        opened = program.opened
        self._active_turns.cancel(
            (opened.organisation, opened.program), failure
        )

    def _repeat_releases(self, partition: partition_log.Partition) -> None:
        """Releases prefixes that an earlier home may not have released."""
        now_ms = self._clock.wall_ms()
        ended = [
            item.opened
            for item in partition.ledger.programs.values()
            if item.closed and now_ms - item.closed_wall_ms < RECENTLY_ENDED_MS
        ]
        if ended:
            self._active_turns.spawn(self._release_all(ended))

    async def _release_all(self, ended: list[records.ProgramOpened]) -> None:
        for opened in ended:
            await self._turns.end_program(opened.service, opened.program)

    async def _run_without_program(
        self, message: messages.RunTurn
    ) -> AsyncIterator[errors.Outcome[Any]]:
        program = ids.new_program_id()
        events = self._turns.generate(
            message, program, list(message.messages), 0
        )
        try:
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    yield event
        finally:
            await asyncio.shield(
                self._turns.end_program(message.service, program)
            )

    async def _load(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> errors.Outcome[Any]:
        return await self._partitions.partition_for(
            organisation, ids.root_of(program)
        )


def _describe(
    partition: partition_log.Partition,
    organisation: ids.OrganisationId,
    program: ids.ProgramId,
) -> errors.Outcome[messages.ProgramDescription]:
    found = partition.ledger.find(organisation, program)
    if found is None:
        return errors.failed(
            errors.Reason.NOT_FOUND, "There is no such program."
        )
    opened = found.opened
    return result.Success(
        messages.ProgramDescription(
            program=program,
            parent=opened.parent,
            service=opened.service,
            turns=len(found.turns),
            closed=found.closed,
            used_tokens=found.account.tokens,
            used_calls=found.account.calls,
            budget=opened.budget,
            deadline_wall_ms=found.deadline_wall_ms,
        )
    )
