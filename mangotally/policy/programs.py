"""The state of programs: turns, budgets and request digests."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.policy import budget, records

if TYPE_CHECKING:
    from collections.abc import Sequence

_CHARGE_CHARS = 16


def digest_messages(
    service: ids.ServiceId,
    messages: Sequence[records.ChatMessage],
    options: str = "",
) -> str:
    """Returns the digest by which a repeated turn is recognised."""
    digest = hashlib.sha256(service.encode())
    parts = [options]
    for message in messages:
        parts += (message.role, message.content, message.extra)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def charge_id(key: str) -> str:
    """Returns the id of the charge of a service call."""
    return hashlib.sha256(key.encode()).hexdigest()[:_CHARGE_CHARS]


@dataclasses.dataclass
class Program:
    """A program after a prefix of its partition's history.

    Attributes:
        opened: The record that opened it.
        account: Its budget and usage.
        deadline_wall_ms: The earliest deadline of the program and its
            ancestors, since the Unix epoch.
        anchored_wall_ms: When the oldest record that this state depends on
            was written, since the Unix epoch.
        turns: Its completed turns, in order.
        closed: Why it ended, or None.
        closed_wall_ms: When it ended, since the Unix epoch.
        attempts: Budget reservations of unfinished attempts.
        seen: Attempts of the next turn that were started or abandoned.
        charges: Ids of the charges of its service calls.
        children: Programs of its sub-agents.
    """

    opened: records.ProgramOpened
    account: budget.BudgetAccount
    deadline_wall_ms: int
    anchored_wall_ms: int
    turns: list[records.TurnDone] = dataclasses.field(default_factory=list)
    closed: records.CloseReason | None = None
    closed_wall_ms: int = 0
    attempts: dict[ids.AttemptId, records.TurnBegun] = dataclasses.field(
        default_factory=dict
    )
    seen: set[ids.AttemptId] = dataclasses.field(default_factory=set)
    charges: set[str] = dataclasses.field(default_factory=set)
    children: list[ids.ProgramId] = dataclasses.field(default_factory=list)

    @property
    def next_turn(self) -> int:
        """Number of the next turn, from 1."""
        return len(self.turns) + 1

    def messages(self) -> list[records.ChatMessage]:
        """Returns the complete conversation."""
        found: list[records.ChatMessage] = []
        for turn in self.turns:
            found += turn.request
            found.append(turn.answer)
        return found

    def prompt_bound_tokens(
        self, messages: Sequence[records.ChatMessage]
    ) -> int:
        """Returns an upper bound on the length of the next turn's prompt."""
        measured_tokens = 0
        unmeasured = list(messages)
        for turn in reversed(self.turns):
            if turn.length_tokens:
                measured_tokens = turn.length_tokens
                break
            unmeasured += [*turn.request, turn.answer]
        return budget.prompt_bound_tokens(measured_tokens, unmeasured)


@dataclasses.dataclass(frozen=True)
class StartTurn:
    """The turn is the next one and may run.

    Attributes:
        prompt_tokens: Upper bound on the length of its prompt.
        max_tokens: Maximum length of the answer that the budget allows.
    """

    prompt_tokens: int
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class Replay:
    """The turn is complete; its stored answer is returned."""

    done: records.TurnDone


@dataclasses.dataclass(frozen=True)
class TurnRequest:
    """A turn requested by a caller.

    Attributes:
        organisation: The caller's organisation.
        program: The program.
        turn: Number of the turn, from 1.
        messages: The new messages.
        max_tokens: Maximum length of the answer.
        digest: Digest of the request.
        options: Engine options as a JSON object, or empty.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    turn: int
    messages: tuple[records.ChatMessage, ...]
    max_tokens: int
    digest: str
    options: str = ""


ProgramKey = tuple[ids.OrganisationId, ids.ProgramId]


def restore(state: records.ProgramState) -> Program:
    """Returns the program that a snapshot describes."""
    limits = state.opened.budget
    account = budget.BudgetAccount(
        limits.tokens,
        limits.calls,
        state.tokens,
        state.calls,
        state.reserved_tokens,
        state.reserved_calls,
    )
    return Program(
        state.opened,
        account,
        state.opened.deadline_wall_ms,
        anchored_wall_ms=0,
        turns=list(state.turns),
        closed=state.closed,
        closed_wall_ms=state.closed_wall_ms,
        attempts={item.attempt: item for item in state.attempts},
        seen=set(state.seen),
        charges=set(state.charges),
    )


def program_not_found() -> errors.Outcome[Any]:
    """Returns the refusal of a request for an unknown program."""
    return errors.failed(errors.Reason.NOT_FOUND, "There is no such program.")


def replay_or_conflict(
    done: records.TurnDone, digest: str
) -> errors.Outcome[StartTurn | Replay]:
    """Returns a turn's stored answer, or a conflict if the digests differ."""
    if done.digest == digest:
        return result.Success(Replay(done))
    return errors.failed(
        errors.Reason.CONFLICT,
        f"Turn {done.turn} was already completed with different content.",
    )
