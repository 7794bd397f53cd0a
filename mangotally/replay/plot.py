"""Plots replays with matplotlib, which is an optional dependency."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns import result

from mangotally.replay import results

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Sequence

    from mangotally.replay import report

MS_PER_S = 1000.0
ROW_INCHES = 2.5
WIDTH_INCHES = 9.0


def write(
    traces: Sequence[Sequence[report.CheckedRun]], path: pathlib.Path
) -> result.Result[None, str]:
    """Plots the worst minutes of the organisations, one chart per trace.

    Args:
        traces: The replays of each trace, one per policy.
        path: Image file; its suffix selects the format.
    """
    try:
        from matplotlib import figure as figure_lib
    except ImportError:
        return result.Failure(
            "matplotlib is not installed; install mangotally[plots]"
        )
    figure = figure_lib.Figure(
        figsize=(WIDTH_INCHES, ROW_INCHES * len(traces)),
        layout="constrained",
    )
    charts = figure.subplots(len(traces), squeeze=False)[:, 0]
    for chart, items in zip(charts, traces, strict=True):
        _draw(chart, items)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        return result.Failure(f"{path}: {error}")
    return result.Success(None)


def _draw(chart: Any, items: Sequence[report.CheckedRun]) -> None:
    width = 0.8 / len(items)
    for number, item in enumerate(items):
        rows = results.rows(item.run)
        positions = [index + number * width for index in range(len(rows))]
        heights = [row.worst_minute_ms / MS_PER_S for row in rows]
        chart.bar(positions, heights, width, label=item.run.policy)
    names = [row.organisation for row in results.rows(items[0].run)]
    chart.set_xticks(range(len(names)), names, fontsize=6)
    chart.set_ylabel("worst minute, s")
    chart.set_title(items[0].run.trace, fontsize=8, loc="left")
    chart.legend(
        fontsize=6,
        ncols=len(items),
        loc="lower right",
        bbox_to_anchor=(1.0, 1.0),
    )
