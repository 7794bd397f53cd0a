"""Programs at their home: order, history, budgets, and turns."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.log import partition as partition_log
from mangotally.policy import homes, programs, records

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from mangotally.homes import membership
    from mangotally.homes import turns as turn_runner
    from mangotally.hosts import router
    from mangotally.log import base
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)


@dataclasses.dataclass
class _Running:
    """A turn under way, which repeated requests may join."""

    digest: str
    events: list[errors.Outcome[Any]]
    changed: asyncio.Condition
    finished: bool = False

    async def put(self, event: errors.Outcome[Any], last: bool) -> None:
        async with self.changed:
            self.events.append(event)
            self.finished = last
            self.changed.notify_all()

    async def follow(self) -> AsyncIterator[errors.Outcome[Any]]:
        position = 0
        while True:
            async with self.changed:
                while not self.finished and len(self.events) <= position:
                    await self.changed.wait()
            while position < len(self.events):
                yield self.events[position]
                position += 1
            if self.finished:
                return


class ProgramHome:
    """The history partitions that this host is home of."""

    def __init__(
        self,
        partitions: int,
        log: base.Log,
        members: membership.Membership,
        turns: turn_runner.TurnRunner,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the home; `attach` puts it to work."""
        self._count = partitions
        self._log = log
        self._members = members
        self._turns = turns
        self._clock = clock
        self._partitions: dict[ids.PartitionId, partition_log.Partition] = {}
        self._loading: dict[ids.PartitionId, asyncio.Lock] = {}
        self._running: dict[programs.ProgramKey, dict[int, _Running]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        members.on_change(self._forget_moved)

    def attach(self, handlers: router.Router) -> None:
        """Adds this home's handlers."""
        handlers.add_unary(messages.OpenProgram, self.open)
        handlers.add_unary(messages.CloseProgram, self.close)
        handlers.add_unary(messages.DescribeProgram, self.describe)
        handlers.add_streaming(messages.RunTurn, self.run_turn)

    def home_of(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> ids.HostId | None:
        """Returns the home of a program."""
        partition = self._partition_of(organisation, program)
        return self._members.home_of(homes.partition_key(partition))

    async def open(
        self, message: messages.OpenProgram
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Opens a program."""
        opened = message.opened
        outcome = await self._load(opened.organisation, opened.program)
        if isinstance(outcome, result.Failure):
            return outcome
        partition = outcome.unwrap()
        if opened.parent is not None and not partition.ledger.find(
            opened.organisation, opened.parent
        ):
            return errors.failed(
                errors.Reason.NOT_FOUND, "There is no such parent program."
            )
        appended = await partition.append(opened)
        return appended.bind(
            lambda _: _describe(
                partition.ledger, opened.organisation, opened.program
            )
        )

    async def close(
        self, message: messages.CloseProgram
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Ends a program."""
        outcome = await self._load(message.organisation, message.program)
        if isinstance(outcome, result.Failure):
            return outcome
        partition = outcome.unwrap()
        found = partition.ledger.find(message.organisation, message.program)
        if found is None:
            return _describe(
                partition.ledger, message.organisation, message.program
            )
        appended = await partition.append(
            records.ProgramClosed(
                message.organisation,
                message.program,
                records.CloseReason.CALLER,
            )
        )
        await self._turns.end_program(found.opened.service, message.program)
        return appended.bind(
            lambda _: _describe(
                partition.ledger, message.organisation, message.program
            )
        )

    async def describe(
        self, message: messages.DescribeProgram
    ) -> errors.Outcome[messages.ProgramDescription]:
        """Returns a program's state."""
        outcome = await self._load(message.organisation, message.program)
        return outcome.bind(
            lambda partition: _describe(
                partition.ledger, message.organisation, message.program
            )
        )

    async def run_turn(
        self, message: messages.RunTurn
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Runs a turn, or joins or repeats it; yields its events."""
        if message.program is None:
            async for event in self._run_alone(message):
                yield event
            return
        outcome = await self._load(message.organisation, message.program)
        if isinstance(outcome, result.Failure):
            yield outcome
            return
        running = self._join(message, outcome.unwrap())
        async with contextlib.aclosing(running) as events:
            async for event in events:
                yield event

    def dump(self) -> dict[str, object]:
        """Returns the partitions' state, for the state dump."""
        return {
            "partitions": sorted(self._partitions),
            "programs": sum(
                len(item.ledger.programs) for item in self._partitions.values()
            ),
            "turns_running": sum(
                len(turns) for turns in self._running.values()
            ),
        }

    async def _join(
        self, message: messages.RunTurn, partition: partition_log.Partition
    ) -> AsyncGenerator[errors.Outcome[Any], None]:
        assert message.program is not None
        digest = programs.digest_messages(message.service, message.messages)
        key = (message.organisation, message.program)
        found = self._running.get(key, {}).get(message.turn)
        if found is not None:
            if found.digest != digest:
                yield errors.failed(
                    errors.Reason.CONFLICT,
                    f"Turn {message.turn} runs with another content.",
                )
                return
            async for event in found.follow():
                yield event
            return
        decision = partition.ledger.check_turn(
            message.organisation,
            message.program,
            message.turn,
            digest,
            self._clock.wall_ms(),
        )
        match decision:
            case result.Success(programs.Replay(done)):
                for event in _replay(done):
                    yield event
            case result.Success():
                running = self._start(message, partition, digest)
                async for event in running.follow():
                    yield event
            case _:
                yield decision

    def _start(
        self,
        message: messages.RunTurn,
        partition: partition_log.Partition,
        digest: str,
    ) -> _Running:
        assert message.program is not None
        running = _Running(digest, [], asyncio.Condition())
        key = (message.organisation, message.program)
        self._running.setdefault(key, {})[message.turn] = running
        task = asyncio.create_task(
            self._run_kept(message, message.program, partition, running)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return running

    async def _run_kept(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        partition: partition_log.Partition,
        running: _Running,
    ) -> None:
        key = (message.organisation, program)
        try:
            event = await self._run_and_keep(
                message, program, partition, running
            )
            await running.put(event, last=True)
        finally:
            self._running[key].pop(message.turn, None)
            if not self._running[key]:
                del self._running[key]

    async def _run_and_keep(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        partition: partition_log.Partition,
        running: _Running,
    ) -> errors.Outcome[Any]:
        found = partition.ledger.find(message.organisation, program)
        assert found is not None
        attempt = ids.new_attempt_id()
        prompt = found.messages() + list(message.messages)
        begun = await partition.append(
            records.TurnBegun(
                message.organisation,
                program,
                message.turn,
                attempt,
                running.digest,
                message.max_tokens,
            )
        )
        if isinstance(begun, result.Failure):
            return begun
        text: list[str] = []
        end: messages.TurnEnd | None = None
        events = self._turns.generate(
            message, program, prompt, found.used_tokens
        )
        async for event in events:
            match event:
                case result.Success(messages.TurnText(piece)):
                    text.append(piece)
                    await running.put(event, last=False)
                case result.Success(messages.TurnEnd()):
                    end = event.unwrap()
                case _:
                    return event
        if end is None:
            return errors.failed(
                errors.Reason.TARGET_FAILED,
                "The answer broke off.",
                errors.Ran.MAY_HAVE_RUN,
            )
        kept = await partition.append(
            records.TurnDone(
                message.organisation,
                program,
                message.turn,
                attempt,
                running.digest,
                message.messages,
                records.ChatMessage("assistant", "".join(text)),
                end.prompt_tokens - end.cached_tokens + end.generated_tokens,
            )
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
            case _:
                return errors.failed(
                    errors.Reason.LOG_UNAVAILABLE,
                    "The answer could not be kept; send the turn again.",
                    errors.Ran.MAY_HAVE_RUN,
                )

    async def _run_alone(
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

    def _partition_of(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> ids.PartitionId:
        root = ids.root_of(program)
        return homes.partition_of(organisation, root, self._count)

    async def _load(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> errors.Outcome[partition_log.Partition]:
        number = self._partition_of(organisation, program)
        if not self._members.is_home(homes.partition_key(number)):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        lock = self._loading.setdefault(number, asyncio.Lock())
        async with lock:
            found = self._partitions.get(number)
            if found is not None:
                return result.Success(found)
            partition = partition_log.Partition(
                self._log, records.history_stream(number)
            )
            loaded = await partition.load()
            if isinstance(loaded, result.Failure):
                return loaded
            self._partitions[number] = partition
            return result.Success(partition)

    def _forget_moved(self) -> None:
        for number in list(self._partitions):
            if not self._members.is_home(homes.partition_key(number)):
                del self._partitions[number]


def _describe(
    ledger: programs.Ledger,
    organisation: ids.OrganisationId,
    program: ids.ProgramId,
) -> errors.Outcome[messages.ProgramDescription]:
    found = ledger.find(organisation, program)
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
            used_tokens=found.used_tokens,
            used_calls=found.used_calls,
            budget=opened.budget,
            deadline_wall_ms=opened.deadline_wall_ms,
        )
    )


def _replay(done: records.TurnDone) -> list[errors.Outcome[Any]]:
    end = messages.TurnEnd(0, 0, 0, ids.TargetId(""), replayed=True)
    return [
        result.Success(messages.TurnText(done.answer.content)),
        result.Success(end),
    ]
