"""Programs of a replay as they run: turns, sub-agents, budgets."""

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
        start_ms: When it started.
        deadline_ms: When its time is over.
        used_tokens: Tokens charged so far.
        used_calls: Calls charged so far.
        turns: Turns answered so far.
        end: How it ended, or None while it runs.
        end_ms: When it ended.
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
    """One program of a tree: the root or a sub-agent.

    Attributes:
        program: Its id.
        tree: Its tree.
        turns: Its turns.
        agents: Its sub-agents.
        parent: The strand that waits for it, or None.
        position: Turns answered so far.
        context_tokens: Length of its history.
        attained_tokens: Service that it has received.
        refusals: Refusals of the present call.
        waits_for: Sub-agents that run.
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
        """The present turn."""
        return self.turns[self.completed_turns % len(self.turns)]

    @property
    def is_finished(self) -> bool:
        """Whether no turn is left."""
        if self.parent is None and self.tree.row.loop:
            return False
        return self.completed_turns >= len(self.turns)

    @property
    def organisation(self) -> ids.OrganisationId:
        """Whose it is."""
        return ids.OrganisationId(self.tree.row.organisation)


def unloaded_latency_ms(
    row: trace.Program, speed: parameters.WorkerParameters
) -> float:
    """Returns a program's latency on an idle worker that keeps its prefix."""
    total_ms = _turns_ms(row.turns, speed)
    starts: dict[int, float] = {}
    for agent in row.agents:
        agent_ms = _turns_ms(agent.turns, speed)
        starts[agent.after_turn] = max(
            starts.get(agent.after_turn, 0.0), agent_ms
        )
    return total_ms + sum(starts.values())


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
