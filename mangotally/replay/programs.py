"""Running programs of a replay: turns, sub-agents and budgets."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.replay import results, trace
from mangotally.settings import lists

if TYPE_CHECKING:
    from mangotally.replay import parameters

MS_PER_S = 1000.0


@dataclasses.dataclass
class ProgramTree:
    """A program and its sub-agents, which share a budget.

    Attributes:
        row: The program's line of the trace.
        plan: The plan of its organisation.
        start_ms: Start time.
        deadline_ms: Time at which it expires.
        used_tokens: Tokens charged to the budget so far.
        used_calls: Calls charged to the budget so far.
        turns: Turns completed so far, sub-agents included.
        end: How it ended, or None while it runs.
        end_ms: End time.
    """

    row: trace.Program
    plan: lists.Plan
    start_ms: float
    deadline_ms: float
    used_tokens: int = 0
    used_calls: int = 0
    turns: int = 0
    end: results.ProgramEnd | None = None
    end_ms: float = 0.0


@dataclasses.dataclass
class AgentRun:
    """The run of one agent of a program: the root agent or a sub-agent.

    Attributes:
        program: Its program id.
        tree: The program that it belongs to, which holds the budget.
        turns: Its turns.
        agents: Its sub-agents.
        parent: The agent that waits for it, or None for the root.
        completed_turns: Turns completed so far.
        context_tokens: Length of the conversation history.
        attained_tokens: Attained service so far, in tokens.
        refusals: Refusals of the current call.
        running_children: Number of sub-agents that are running.
    """

    program: ids.ProgramId
    tree: ProgramTree
    turns: tuple[trace.Turn, ...]
    agents: tuple[trace.Agent, ...] = ()
    parent: AgentRun | None = None
    completed_turns: int = 0
    context_tokens: int = 0
    attained_tokens: int = 0
    refusals: int = 0
    running_children: int = 0

    @property
    def current_turn(self) -> trace.Turn:
        """The current turn."""
        return self.turns[self.completed_turns % len(self.turns)]

    @property
    def is_finished(self) -> bool:
        """Whether all turns are completed."""
        if self.parent is None and self.tree.row.loop:
            return False
        return self.completed_turns >= len(self.turns)

    @property
    def organisation(self) -> ids.OrganisationId:
        """The organisation of the program."""
        return ids.OrganisationId(self.tree.row.organisation)


def unloaded_latency_ms(
    row: trace.Program, speed: parameters.WorkerParameters
) -> float:
    """Returns a program's latency on an idle worker that caches its prefix."""
    total_ms = _turns_ms(row.turns, speed)
    agents_ms: dict[int, float] = {}
    for agent in row.agents:
        agent_ms = _turns_ms(agent.turns, speed)
        agents_ms[agent.after_turn] = max(
            agents_ms.get(agent.after_turn, 0.0), agent_ms
        )
    return total_ms + sum(agents_ms.values())


def _turns_ms(
    turns: tuple[trace.Turn, ...], speed: parameters.WorkerParameters
) -> float:
    token_ms = speed.decode_ms + speed.decode_ms_per_call
    total_ms = 0.0
    for number, (added, answered, pause_ms) in enumerate(turns, start=1):
        total_ms += added * MS_PER_S / speed.prefill_tokens_per_s
        total_ms += answered * token_ms
        if number < len(turns):
            total_ms += pause_ms
    return total_ms
