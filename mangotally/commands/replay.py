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
SHIPPED = pathlib.Path(trace.__file__).with_name("traces")
SUFFIX = ".jsonl"


@dataclasses.dataclass(frozen=True)
class Source:
    """A trace file and the outcomes stated beside it."""

    path: pathlib.Path
    trace: trace.Trace
    stated: outcomes.Outcomes | None


@dataclasses.dataclass(frozen=True)
class Request:
    """What to replay.

    Attributes:
        traces: Trace files, or names of shipped traces; none for all.
        policies: Names of policies.
        parameters: File with parameters, or None.
        plot: Where to write a plot, or None.
    """

    traces: tuple[str, ...]
    policies: tuple[str, ...]
    parameters: pathlib.Path | None = None
    plot: pathlib.Path | None = None


def run(request: Request) -> result.Result[bool, str]:
    """Replays traces and prints their tables.

    Returns:
        Whether all outcomes of the first policy came out as stated, or
        why nothing could be replayed.
    """
    unknown = [name for name in request.policies if name not in POLICIES]
    if unknown:
        return result.Failure(
            f"unknown policy {unknown[0]!r}; there are {', '.join(POLICIES)}"
        )
    found = load_parameters(request.parameters)
    if isinstance(found, result.Failure):
        return found
    sources = []
    for name in request.traces or shipped():
        loaded = load(name)
        if isinstance(loaded, result.Failure):
            return loaded
        sources.append(loaded.unwrap())
    return _run_all(request, sources, found.unwrap())


def shipped() -> tuple[str, ...]:
    """Returns the names of the shipped traces."""
    return tuple(sorted(path.stem for path in SHIPPED.glob(f"*{SUFFIX}")))


def load(name: str) -> result.Result[Source, str]:
    """Reads a trace file, or a shipped trace by its name."""
    path = pathlib.Path(name)
    if not path.exists() and name in shipped():
        path = SHIPPED / f"{name}{SUFFIX}"
    found = trace.load(path)
    if isinstance(found, result.Failure):
        return found
    stated = outcomes.load(path)
    return stated.map(lambda item: Source(path, found.unwrap(), item))


def load_parameters(
    path: pathlib.Path | None,
) -> result.Result[parameters.Parameters, str]:
    """Reads a parameters file; the defaults without one."""
    if path is None:
        return result.Success(parameters.Parameters())
    return loader.load(parameters.Parameters, path)


def replay(
    source: Source, policy: str, found: parameters.Parameters
) -> result.Result[report.CheckedRun, str]:
    """Replays a trace under a policy and checks its outcomes."""
    run = _replay_one(source.trace, policy, found)
    header = source.trace.header
    if source.stated is None:
        return result.Success(report.CheckedRun(header, run, None))
    undisturbed = None
    if source.stated.unchanged_from is not None:
        name = f"{source.stated.unchanged_from}{SUFFIX}"
        other = trace.load(source.path.with_name(name))
        if isinstance(other, result.Failure):
            return other
        undisturbed = _replay_one(other.unwrap(), policy, found)
    problems = outcomes.check(source.stated, header, run, undisturbed)
    return result.Success(report.CheckedRun(header, run, tuple(problems)))


def _replay_one(
    source: trace.Trace, policy: str, found: parameters.Parameters
) -> results.RunResult:
    made = POLICIES[policy]()
    return runner.Replay(source, found, policy, made).run()


def _run_all(
    request: Request,
    sources: Sequence[Source],
    found: parameters.Parameters,
) -> result.Result[bool, str]:
    kept = True
    tables = []
    started_s = time.monotonic()
    for source in sources:
        items = []
        for policy in request.policies:
            item = replay(source, policy, found)
            if isinstance(item, result.Failure):
                return item
            items.append(item.unwrap())
        kept = kept and not items[0].problems
        tables.append(items)
        _print_tables(items)
    if len(sources) > 1:
        print(report.totals(tables))
    took_s = time.monotonic() - started_s
    print(f"{len(sources)} traces in {took_s:.1f} s", file=sys.stderr)
    if request.plot is not None:
        written = plot.write(tables, request.plot)
        if isinstance(written, result.Failure):
            return written
    return result.Success(kept)


def _print_tables(items: Sequence[report.CheckedRun]) -> None:
    if len(items) > 1:
        print(report.comparison(items))
    else:
        print(report.detail(items[0]))
    print(flush=True)
