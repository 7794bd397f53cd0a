"""Programs of one history partition: order, history and budgets."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from mangotally import errors, ids
from mangotally.policy import records

if TYPE_CHECKING:
    from collections.abc import Sequence


def digest_messages(
    service: ids.ServiceId, messages: Sequence[records.ChatMessage]
) -> str:
    """Returns the digest by which a repeated turn is recognised."""
    digest = hashlib.sha256(service.encode())
    for message in messages:
        for part in (message.role, message.content):
            data = part.encode()
            digest.update(len(data).to_bytes(8, "big"))
            digest.update(data)
    return digest.hexdigest()


@dataclasses.dataclass
class Program:
    """A program as of a prefix of its partition's history.

    Attributes:
        opened: The record that opened it.
        turns: Its turns that are done, in order.
        closed: Why it ended, or None.
        used_tokens: Tokens charged to it and reserved by it.
        used_calls: Calls charged to it.
        begun: Reservations of turns that are not done, by attempt.
    """

    opened: records.ProgramOpened
    turns: list[records.TurnDone] = dataclasses.field(default_factory=list)
    closed: records.CloseReason | None = None
    used_tokens: int = 0
    used_calls: int = 0
    begun: dict[ids.AttemptId, records.TurnBegun] = dataclasses.field(
        default_factory=dict
    )

    def messages(self) -> list[records.ChatMessage]:
        """Returns the whole conversation."""
        found: list[records.ChatMessage] = []
        for turn in self.turns:
            found += turn.request
            found.append(turn.answer)
        return found


@dataclasses.dataclass(frozen=True)
class Run:
    """The turn is next and may run."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The turn is done; the kept answer is the answer."""

    done: records.TurnDone


ProgramKey = tuple[ids.OrganisationId, ids.ProgramId]
CallKey = tuple[ids.OrganisationId, str]


class Ledger:
    """Programs and calls of a partition, from its history records."""

    def __init__(self) -> None:
        self.programs: dict[ProgramKey, Program] = {}
        self.intents: dict[CallKey, records.CallIntent] = {}
        self.results: dict[CallKey, records.CallResult] = {}

    def apply(self, record: object) -> bool:
        """Applies one record; returns whether it took effect."""
        match record:
            case records.ProgramOpened():
                return self._open(record)
            case records.TurnBegun():
                return self._begin(record)
            case records.TurnDone():
                return self._finish(record)
            case records.ProgramClosed():
                return self._close(record)
            case records.CallIntent():
                return self._intend(record)
            case records.CallResult():
                return self._keep_result(record)
            case _:
                return False

    def find(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> Program | None:
        """Returns an organisation's program, or None."""
        return self.programs.get((organisation, program))

    def check_turn(
        self,
        organisation: ids.OrganisationId,
        program: ids.ProgramId,
        turn: int,
        digest: str,
        now_wall_ms: int,
    ) -> errors.Outcome[Run | Replay]:
        """Decides what becomes of a turn.

        Args:
            organisation: The caller's organisation.
            program: The program.
            turn: Number of the turn, from 1.
            digest: Digest of the request.
            now_wall_ms: Time since the Unix epoch.

        Returns:
            `Run`, `Replay`, or why the turn is refused.
        """
        found = self.find(organisation, program)
        if found is None:
            return errors.failed(
                errors.Reason.NOT_FOUND, "There is no such program."
            )
        if turn <= len(found.turns):
            return _check_repeat(found.turns[turn - 1], digest)
        if turn > len(found.turns) + 1:
            return errors.failed(
                errors.Reason.TURN_GAP,
                f"The next turn is {len(found.turns) + 1}, not {turn}.",
            )
        return self._check_limits(found, now_wall_ms)

    def _check_limits(
        self, program: Program, now_wall_ms: int
    ) -> errors.Outcome[Run | Replay]:
        if program.closed is not None:
            return errors.failed(
                errors.Reason.CONFLICT, "The program has ended."
            )
        if now_wall_ms >= program.opened.deadline_wall_ms:
            return errors.failed(
                errors.Reason.DEADLINE, "The program's time is over."
            )
        budget = program.opened.budget
        if program.used_calls >= budget.calls:
            return errors.failed(
                errors.Reason.OVER_BUDGET, "The program has no calls left."
            )
        if program.used_tokens >= budget.tokens:
            return errors.failed(
                errors.Reason.OVER_BUDGET, "The program has no tokens left."
            )
        return errors.result.Success(Run())

    def _open(self, record: records.ProgramOpened) -> bool:
        key = (record.organisation, record.program)
        if key in self.programs:
            return False
        self.programs[key] = Program(record)
        return True

    def _begin(self, record: records.TurnBegun) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or record.turn != len(program.turns) + 1:
            return False
        if record.attempt in program.begun:
            return False
        program.begun[record.attempt] = record
        program.used_calls += 1
        program.used_tokens += record.reserved_tokens
        return True

    def _finish(self, record: records.TurnDone) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or record.turn != len(program.turns) + 1:
            return False
        program.turns.append(record)
        begun = program.begun.pop(record.attempt, None)
        if begun is not None:
            program.used_tokens -= begun.reserved_tokens
        program.used_tokens += record.used_tokens
        return True

    def _close(self, record: records.ProgramClosed) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or program.closed is not None:
            return False
        program.closed = record.reason
        return True

    def _intend(self, record: records.CallIntent) -> bool:
        key = (record.organisation, record.key)
        if key in self.intents:
            return False
        self.intents[key] = record
        return True

    def _keep_result(self, record: records.CallResult) -> bool:
        key = (record.organisation, record.key)
        intent = self.intents.get(key)
        if intent is None or intent.attempt != record.attempt:
            return False
        if key in self.results:
            return False
        self.results[key] = record
        return True


def _check_repeat(
    done: records.TurnDone, digest: str
) -> errors.Outcome[Run | Replay]:
    if done.digest == digest:
        return errors.result.Success(Replay(done))
    return errors.failed(
        errors.Reason.CONFLICT,
        f"Turn {done.turn} is done with another content.",
        errors.Ran.NOT_RUN,
    )
