"""Expected outcomes of a trace, and the check of a replay against them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pydantic
from returns import result

from mangotally.replay import results
from mangotally.settings import lists, loader

if TYPE_CHECKING:
    import pathlib

    from mangotally.replay import trace

SUFFIX = ".outcomes.yaml"


class Outcomes(pydantic.BaseModel):
    """The expected outcomes of a replay.

    Attributes:
        plans_hold: Whether the worst minute of every organisation within
            its rate must meet the latency that its plan promises.
        wrongful_refusals: Maximum number of calls that are refused although
            they are within the rate.
        not_done: Maximum number of programs that do not run to completion,
            of organisations within their rate.
        held_ms: Maximum time that memory is held for a removed program.
        held_tokens: Maximum memory held for removed programs at the end of
            the replay, in tokens.
        loops_end: How programs whose turns repeat endlessly must end, or
            None if it is not checked.
        unchanged_from: Name of an undisturbed trace that is the baseline of
            the worst minutes, or None.
        worst_minute_change: Maximum relative increase of the worst minute
            over this baseline, for organisations within their rate.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    plans_hold: bool = True
    wrongful_refusals: int = 0
    not_done: int = 0
    held_ms: float = 10_000
    held_tokens: int = 0
    loops_end: results.ProgramEnd | None = None
    unchanged_from: lists.Name | None = None
    worst_minute_change: float = 0.1


def outcomes_path(path: pathlib.Path) -> pathlib.Path:
    """Returns the path of the file with the outcomes of a trace file."""
    return path.with_name(path.stem + SUFFIX)


def load(path: pathlib.Path) -> result.Result[Outcomes | None, str]:
    """Reads the outcomes next to a trace file, None if there are none."""
    file = outcomes_path(path)
    if not file.exists():
        return result.Success(None)
    return loader.load(Outcomes, file)


def check(
    stated: Outcomes,
    header: trace.Header,
    run: results.RunResult,
    undisturbed: results.RunResult | None = None,
) -> list[str]:
    """Compares a replay with its expected outcomes; returns the differences.

    Args:
        stated: The expected outcomes.
        header: Header of the trace.
        run: Result of the replay.
        undisturbed: Result of the same policy on the trace
            `unchanged_from`, or None.
    """
    rows = [
        row
        for row in results.rows(run)
        if row.organisation not in (results.ALL, header.offender)
    ]
    problems = []
    if stated.plans_hold:
        problems += _check_plans(header, rows)
    problems += _check_counts(stated, rows)
    if run.longest_held_ms > stated.held_ms:
        problems.append(
            f"memory held {run.longest_held_ms:.0f} ms for a gone program"
        )
    if run.held_tokens > stated.held_tokens:
        problems.append(f"{run.held_tokens} tokens held at the end")
    if stated.loops_end is not None:
        problems += [
            f"loop {program.program} ended by {program.end.value}"
            for program in run.programs
            if program.loop and program.end is not stated.loops_end
        ]
    if undisturbed is not None:
        problems += _check_change(stated, rows, undisturbed)
    return problems


def _check_plans(header: trace.Header, rows: list[results.Row]) -> list[str]:
    problems = []
    for row in rows:
        promised_ms = header.plan_of(row.organisation).program_latency_ms
        if row.worst_minute_ms > promised_ms:
            problems.append(
                f"{row.organisation}: worst minute "
                f"{row.worst_minute_ms:.0f} ms, promised {promised_ms} ms"
            )
    return problems


def _check_counts(stated: Outcomes, rows: list[results.Row]) -> list[str]:
    wrongful = sum(row.wrongful_refusals for row in rows)
    not_done = sum(row.not_done for row in rows)
    problems = []
    if wrongful > stated.wrongful_refusals:
        problems.append(f"{wrongful} wrongful refusals")
    if not_done > stated.not_done:
        problems.append(f"{not_done} programs not done")
    return problems


def _check_change(
    stated: Outcomes, rows: list[results.Row], undisturbed: results.RunResult
) -> list[str]:
    baseline = {row.organisation: row for row in results.rows(undisturbed)}
    problems = []
    for row in rows:
        limit_ms = baseline[row.organisation].worst_minute_ms * (
            1.0 + stated.worst_minute_change
        )
        if row.worst_minute_ms > limit_ms:
            problems.append(
                f"{row.organisation}: worst minute "
                f"{row.worst_minute_ms:.0f} ms, undisturbed limit "
                f"{limit_ms:.0f} ms"
            )
    return problems
