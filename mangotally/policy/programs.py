"""Programs: their turns, budgets and digests."""

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
    """Returns the id under which a service call is charged."""
    return hashlib.sha256(key.encode()).hexdigest()[:_CHARGE_CHARS]


@dataclasses.dataclass
class Program:
    """A program as of a prefix of its partition's history.

    Attributes:
        opened: The record that opened it.
        account: Its budget and what is used of it.
        deadline_wall_ms: When its time or an ancestor's is over.
        anchored_wall_ms: When the oldest record that it rests on was
            written, since the Unix epoch.
        turns: Its turns that are done, in order.
        closed: Why it ended, or None.
        closed_wall_ms: When it ended, since the Unix epoch.
        attempts: Reservations of attempts that have not ended.
        seen: Attempts of the next turn that have begun or were dropped.
        charges: Ids of the service calls charged to it.
        children: Its sub-agents' programs.
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
        """Number of the turn that may run next."""
        return len(self.turns) + 1

    def messages(self) -> list[records.ChatMessage]:
        """Returns the whole conversation."""
        found: list[records.ChatMessage] = []
        for turn in self.turns:
            found += turn.request
            found.append(turn.answer)
        return found

    def prompt_bound_tokens(
        self, messages: Sequence[records.ChatMessage]
    ) -> int:
        """Returns a bound on the length of the next turn's prompt."""
        counted = 0
        uncounted = list(messages)
        for turn in reversed(self.turns):
            if turn.length_tokens:
                counted = turn.length_tokens
                break
            uncounted += [*turn.request, turn.answer]
        return budget.prompt_bound_tokens(counted, uncounted)


@dataclasses.dataclass(frozen=True)
class StartTurn:
    """The turn is next and may run.

    Attributes:
        prompt_tokens: Bound on the length of its prompt.
        max_tokens: Longest answer that the budget allows.
    """

    prompt_tokens: int
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class Replay:
    """The turn is done; the kept answer is the answer."""

    done: records.TurnDone


@dataclasses.dataclass(frozen=True)
class TurnRequest:
    """A turn that a caller wants.

    Attributes:
        organisation: The caller's organisation.
        program: The program.
        turn: Number of the turn, from 1.
        messages: The new messages.
        max_tokens: Longest answer.
        digest: Digest of the request.
        options: Fields for the engine as a JSON object, or empty.
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
    """Returns a program as a snapshot holds it."""
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
    """Returns the refusal for a program that there is not."""
    return errors.failed(errors.Reason.NOT_FOUND, "There is no such program.")


def replay_or_conflict(
    done: records.TurnDone, digest: str
) -> errors.Outcome[StartTurn | Replay]:
    """Returns a turn's kept answer, or a conflict if it is another turn."""
    if done.digest == digest:
        return result.Success(Replay(done))
    return errors.failed(
        errors.Reason.CONFLICT,
        f"Turn {done.turn} is done with another content.",
    )
