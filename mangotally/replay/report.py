"""Text tables of replay results."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from mangotally.replay import results, trace

if TYPE_CHECKING:
    from collections.abc import Sequence


MS_PER_S = 1000.0
SUMMARY = (
    f"{'policy':<18}{'p50 s':>9}{'p99 s':>9}{'worst min s':>12}"
    f"{'worst served':>22}{'its worst min s':>16}{'wasted tokens':>15}"
    f"{'refused':>9}{'wrongful':>9}"
)
DETAIL = (
    f"{'organisation':<22}{'programs':>9}{'not done':>9}{'p50 s':>9}"
    f"{'p99 s':>9}{'worst min s':>12}{'wasted tokens':>15}"
    f"{'refused':>9}{'wrongful':>9}"
)
TOTALS = (
    f"{'means over traces':<16}{'':<17}{'p50 s':>9}{'p99 s':>9}"
    f"{'worst served s':>16}{'wasted tokens':>15}"
)


@dataclasses.dataclass(frozen=True)
class CheckedRun:
    """A replay and the check of its outcomes.

    Attributes:
        header: Header of the trace.
        run: Result of the replay.
        problems: Differences from the expected outcomes, or None if they
            were not checked.
    """

    header: trace.Header
    run: results.RunResult
    problems: tuple[str, ...] | None


def worst_served(
    header: trace.Header, rows: Sequence[results.Row]
) -> results.Row:
    """Returns the row with the highest worst minute relative to its plan.

    Organisations that exceed their rate are left out.
    """
    found = [
        row
        for row in rows
        if row.organisation not in (results.ALL, header.offender)
    ]
    return max(
        found,
        key=lambda row: (
            row.worst_minute_ms
            / header.plan_of(row.organisation).program_latency_ms
        ),
    )


def detail(item: CheckedRun) -> str:
    """Returns the table of one replay, one line per organisation."""
    lines = [f"{item.run.trace} under {item.run.policy}", DETAIL]
    lines += [
        f"{row.organisation:<22}{row.programs:>9}{row.not_done:>9}"
        f"{_seconds(row.p50_ms):>9}{_seconds(row.p99_ms):>9}"
        f"{_seconds(row.worst_minute_ms):>12}{row.wasted_tokens:>15}"
        f"{row.refusals:>9}{row.wrongful_refusals:>9}"
        for row in results.rows(item.run)
    ]
    return "\n".join(lines + _describe_outcomes(item))


def comparison(items: Sequence[CheckedRun]) -> str:
    """Returns the table of one trace, one line per policy."""
    lines = [items[0].run.trace, SUMMARY]
    for item in items:
        rows = results.rows(item.run)
        total = rows[-1]
        worst = worst_served(item.header, rows)
        lines.append(
            f"{item.run.policy:<18}{_seconds(total.p50_ms):>9}"
            f"{_seconds(total.p99_ms):>9}{_seconds(total.worst_minute_ms):>12}"
            f"{worst.organisation:>22}{_seconds(worst.worst_minute_ms):>16}"
            f"{total.wasted_tokens:>15}{total.refusals:>9}"
            f"{total.wrongful_refusals:>9}"
        )
    lines += ["", _matrix(items)]
    for item in items:
        lines += _describe_outcomes(item)
    return "\n".join(lines)


def totals(traces: Sequence[Sequence[CheckedRun]]) -> str:
    """Returns the means over all traces of each deployment and policy.

    Organisations that exceed their rate and programs whose turns repeat
    endlessly are left out.
    """
    groups: dict[tuple[str, str], list[CheckedRun]] = {}
    for items in traces:
        for item in items:
            key = (item.header.deployment, item.run.policy)
            groups.setdefault(key, []).append(item)
    lines = [TOTALS]
    for (deployment, policy), group in groups.items():
        found = [_latencies_within_rate(item) for item in group]
        count = len(group)
        p50_ms = sum(results.percentile(x, 50.0) for x in found) / count
        p99_ms = sum(results.percentile(x, 99.0) for x in found) / count
        worst_ms = sum(
            worst_served(item.header, results.rows(item.run)).worst_minute_ms
            for item in group
        )
        wasted = sum(sum(item.run.wasted_tokens.values()) for item in group)
        lines.append(
            f"{deployment:<16}{policy:<18}{_seconds(p50_ms):>9}{_seconds(p99_ms):>9}"
            f"{_seconds(worst_ms / count):>16}{wasted:>15}"
        )
    return "\n".join(lines)


def _latencies_within_rate(item: CheckedRun) -> list[float]:
    return [
        program.latency_ms
        for program in item.run.programs
        if program.organisation != item.header.offender and not program.loop
    ]


def _matrix(items: Sequence[CheckedRun]) -> str:
    tables = [results.rows(item.run) for item in items]
    names = "".join(f"{item.run.policy:>18}" for item in items)
    lines = [f"{'worst minute in s':<22}{names}"]
    for row_group in zip(*tables, strict=True):
        cells = "".join(
            f"{_seconds(row.worst_minute_ms):>18}" for row in row_group
        )
        lines.append(f"{row_group[0].organisation:<22}{cells}")
    return "\n".join(lines)


def _describe_outcomes(item: CheckedRun) -> list[str]:
    if item.problems is None:
        return []
    name = f"{item.run.policy}: outcomes"
    if not item.problems:
        return [f"{name} as stated"]
    return [f"{name} not as stated:"] + [f"  {x}" for x in item.problems]


def _seconds(time_ms: float) -> str:
    return f"{time_ms / MS_PER_S:.1f}"
