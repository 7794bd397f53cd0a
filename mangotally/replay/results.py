"""Results of a replay, and the figures of its table."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MINUTE_MS = 60_000
WORST_MINUTE_PERCENT = 95.0


class ProgramEnd(enum.Enum):
    """How a program of a replay ended."""

    DONE = "done"
    REFUSED = "refused"
    BUDGET = "budget"
    DEADLINE = "deadline"
    UNFINISHED = "unfinished"


@dataclasses.dataclass(frozen=True)
class ProgramResult:
    """Result of one program of a replay, including its sub-agents.

    Attributes:
        program: Its id.
        organisation: The organisation that ran it.
        start_ms: Start time.
        end_ms: End time.
        unloaded_latency_ms: Its latency on an idle worker that caches its
            prefix.
        end: How it ended.
        turns: Number of completed turns.
        loop: Whether its turns repeat endlessly.
    """

    program: str
    organisation: str
    start_ms: float
    end_ms: float
    unloaded_latency_ms: float
    end: ProgramEnd
    turns: int
    loop: bool = False

    @property
    def latency_ms(self) -> float:
        """Time from start to end."""
        return self.end_ms - self.start_ms


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Result of the replay of one trace with one policy.

    Attributes:
        trace: Name of the trace.
        policy: Name of the policy.
        programs: The programs, ordered by start time.
        prompt_tokens: Prompt tokens per organisation.
        wasted_tokens: Prompt tokens per organisation that were computed
            again, because their prefix was not in the cache.
        refusals: Refused calls per organisation.
        wrongful_refusals: Calls per organisation that were refused within
            the rate.
        longest_held_ms: Longest time that a worker held memory for a
            program that had ended.
        held_tokens: Memory held for ended programs at the end of the
            replay, in tokens.
        retries: Calls that were submitted again after a worker was lost.
        decisions: Calls that were submitted to the scheduler.
        peak_utilisation: Maximum utilisation of all batch slots in any
            minute, as a fraction.
    """

    trace: str
    policy: str
    programs: tuple[ProgramResult, ...]
    prompt_tokens: dict[str, int]
    wasted_tokens: dict[str, int]
    refusals: dict[str, int]
    wrongful_refusals: dict[str, int]
    longest_held_ms: float
    held_tokens: int
    retries: int
    decisions: int
    peak_utilisation: float


@dataclasses.dataclass(frozen=True)
class Row:
    """Figures of one organisation, or of all, with one policy."""

    organisation: str
    programs: int
    not_done: int
    p50_ms: float
    p99_ms: float
    worst_minute_ms: float
    wasted_tokens: int
    refusals: int
    wrongful_refusals: int


ALL = "all"


def percentile(values: Sequence[float], percent: float) -> float:
    """Returns a percentile by the nearest-rank method; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(len(ordered) * percent / 100.0)
    return ordered[max(0, rank - 1)]


def worst_minute_ms(programs: Sequence[ProgramResult]) -> float:
    """Returns the highest 95th percentile of latency of any minute.

    Programs are grouped by the minute in which they start.
    """
    minutes: dict[int, list[float]] = collections.defaultdict(list)
    for program in programs:
        minutes[int(program.start_ms // MINUTE_MS)].append(program.latency_ms)
    return max(
        (
            percentile(latencies, WORST_MINUTE_PERCENT)
            for latencies in minutes.values()
        ),
        default=0.0,
    )


def rows(run: RunResult) -> list[Row]:
    """Returns the figures of each organisation, then the total.

    Programs whose turns repeat endlessly have no latency and are left out.
    """
    by_organisation: dict[str, list[ProgramResult]] = {
        name: [] for name in sorted(run.prompt_tokens)
    }
    for program in run.programs:
        by_organisation[program.organisation].append(program)
    found = [
        _row(run, name, [name], programs)
        for name, programs in by_organisation.items()
    ]
    found.append(_row(run, ALL, list(by_organisation), run.programs))
    return found


def _row(
    run: RunResult,
    name: str,
    organisations: list[str],
    programs: Sequence[ProgramResult],
) -> Row:
    programs = [program for program in programs if not program.loop]
    latencies = [program.latency_ms for program in programs]
    done = sum(program.end is ProgramEnd.DONE for program in programs)
    return Row(
        organisation=name,
        programs=len(programs),
        not_done=len(programs) - done,
        p50_ms=percentile(latencies, 50.0),
        p99_ms=percentile(latencies, 99.0),
        worst_minute_ms=worst_minute_ms(programs),
        wasted_tokens=sum(run.wasted_tokens[o] for o in organisations),
        refusals=sum(run.refusals[o] for o in organisations),
        wrongful_refusals=sum(run.wrongful_refusals[o] for o in organisations),
    )
