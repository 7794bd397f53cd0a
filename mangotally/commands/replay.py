"""Replays traces under one or all policies."""

from __future__ import annotations

import dataclasses
import pathlib
import sys
import time
from typing import TYPE_CHECKING

from returns import result

from mangotally.policy import baselines, scheduler
from mangotally.replay import (
    outcomes,
    parameters,
    plot,
    report,
    results,
    runner,
    trace,
)
from mangotally.settings import loader

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mangotally.policy import pools

FAIR = "fair"
POLICIES: dict[str, Callable[[], pools.Scheduler]] = {
    FAIR: scheduler.FairScheduler,
    "round-robin": baselines.RoundRobinScheduler,
    "least-loaded": baselines.LeastLoadedScheduler,
    "prefix-affinity": baselines.PrefixAffinityScheduler,
    "first-come": baselines.FirstComeScheduler,
}
BUNDLED_TRACES = pathlib.Path(trace.__file__).with_name("traces")
TRACE_SUFFIX = ".jsonl"


@dataclasses.dataclass(frozen=True)
class TraceSource:
    """A trace file and its expected outcomes, if any."""

    path: pathlib.Path
    trace: trace.Trace
    expected_outcomes: outcomes.Outcomes | None


@dataclasses.dataclass(frozen=True)
class ReplayRequest:
    """The arguments of a replay.

    Attributes:
        traces: Trace files or names of bundled traces; if empty, all bundled
            traces are replayed.
        policies: Names of the policies.
        parameters: File with parameters, or None for the defaults.
        plot: File to which a plot is written, or None.
    """

    traces: tuple[str, ...]
    policies: tuple[str, ...]
    parameters: pathlib.Path | None = None
    plot: pathlib.Path | None = None


def run(request: ReplayRequest) -> result.Result[bool, str]:
    """Replays traces and prints their tables.

    Returns:
        Whether the first policy met all expected outcomes, or an error text
        if nothing could be replayed.
    """
    unknown = [name for name in request.policies if name not in POLICIES]
    if unknown:
        return result.Failure(
            f"unknown policy {unknown[0]!r}; there are {', '.join(POLICIES)}"
        )
    loaded_parameters = load_parameters(request.parameters)
    if isinstance(loaded_parameters, result.Failure):
        return loaded_parameters
    sources = []
    for name in request.traces or bundled_traces():
        loaded = load(name)
        if isinstance(loaded, result.Failure):
            return loaded
        sources.append(loaded.unwrap())
    return _run_all(request, sources, loaded_parameters.unwrap())


def bundled_traces() -> tuple[str, ...]:
    """Returns the names of the bundled traces."""
    return tuple(
        sorted(path.stem for path in BUNDLED_TRACES.glob(f"*{TRACE_SUFFIX}"))
    )


def load(name: str) -> result.Result[TraceSource, str]:
    """Reads a trace file, or a bundled trace by its name."""
    path = pathlib.Path(name)
    if not path.exists() and name in bundled_traces():
        path = BUNDLED_TRACES / f"{name}{TRACE_SUFFIX}"
    loaded_trace = trace.load(path)
    if isinstance(loaded_trace, result.Failure):
        return loaded_trace
    stated = outcomes.load(path)
    return stated.map(
        lambda item: TraceSource(path, loaded_trace.unwrap(), item)
    )


def load_parameters(
    path: pathlib.Path | None,
) -> result.Result[parameters.Parameters, str]:
    """Reads a parameters file; returns the defaults if there is none."""
    if path is None:
        return result.Success(parameters.Parameters())
    return loader.load(parameters.Parameters, path)


def replay(
    source: TraceSource, policy: str, run_parameters: parameters.Parameters
) -> result.Result[report.CheckedRun, str]:
    """Replays a trace under a policy and checks its expected outcomes."""
    run = _replay_one(source.trace, policy, run_parameters)
    header = source.trace.header
    if source.expected_outcomes is None:
        return result.Success(report.CheckedRun(header, run, None))
    baseline = None
    if source.expected_outcomes.unchanged_from is not None:
        name = f"{source.expected_outcomes.unchanged_from}{TRACE_SUFFIX}"
        other = trace.load(source.path.with_name(name))
        if isinstance(other, result.Failure):
            return other
        baseline = _replay_one(other.unwrap(), policy, run_parameters)
    problems = outcomes.check(source.expected_outcomes, header, run, baseline)
    return result.Success(report.CheckedRun(header, run, tuple(problems)))


def _replay_one(
    source: trace.Trace, policy: str, run_parameters: parameters.Parameters
) -> results.RunResult:
    scheduler_instance = POLICIES[policy]()
    return runner.Replay(
        source, run_parameters, policy, scheduler_instance
    ).run()


def _run_all(
    request: ReplayRequest,
    sources: Sequence[TraceSource],
    run_parameters: parameters.Parameters,
) -> result.Result[bool, str]:
    outcomes_met = True
    tables = []
    started_s = time.monotonic()
    for source in sources:
        items = []
        for policy in request.policies:
            item = replay(source, policy, run_parameters)
            if isinstance(item, result.Failure):
                return item
            items.append(item.unwrap())
        outcomes_met = outcomes_met and not items[0].problems
        tables.append(items)
        _print_tables(items)
    if len(sources) > 1:
        print(report.totals(tables))
    elapsed_s = time.monotonic() - started_s
    print(f"{len(sources)} traces in {elapsed_s:.1f} s", file=sys.stderr)
    if request.plot is not None:
        written = plot.write(tables, request.plot)
        if isinstance(written, result.Failure):
            return written
    return result.Success(outcomes_met)


def _print_tables(items: Sequence[report.CheckedRun]) -> None:
    if len(items) > 1:
        print(report.comparison(items))
    else:
        print(report.detail(items[0]))
    print(flush=True)
