"""Command line of the soak test.

python -m tests.soak --seeds 1-50 --seconds 20 --hosts 6
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import logging
import os
import signal
from pathlib import Path

from tests.soak import regressions, soak

# Upper estimate of the memory that one entry process uses.
HOST_BYTES = 120 * 2**20
# One seed in so many runs with many hosts, some of which are no homes.
MANY_HOSTS_EVERY = 4
MANY_HOSTS = 24


def main() -> int:
    """Runs the seeds given on the command line; returns the exit code."""
    arguments = _parse()
    logging.disable(logging.CRITICAL)
    options = soak.Options(
        seconds=arguments.seconds,
        hosts=arguments.hosts,
        callers=arguments.callers,
        logs=arguments.logs,
        keep=arguments.keep,
    )
    runs = [(seed, _size(seed, options)) for seed in _seeds(arguments.seeds)]
    most_hosts = max(size.hosts for _, size in runs)
    if not _has_memory(most_hosts):
        print(f"{most_hosts} hosts take over half of the memory")
        return 2
    if arguments.regressions:
        runs = [
            (each.seed, dataclasses.replace(each.options, logs=options.logs))
            for each in regressions.REGRESSIONS
        ]
    findings = 0
    for seed, size in runs:
        report = asyncio.run(_run(seed, size))
        print(report, flush=True)
        findings += len(report.findings)
    return 1 if findings else 0


async def _run(seed: int, size: soak.Options) -> soak.Report:
    """Runs a seed; SIGINT and SIGTERM cancel it, so its processes are ended."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await soak.run(seed, size)


def _size(seed: int, options: soak.Options) -> soak.Options:
    if seed % MANY_HOSTS_EVERY:
        return options
    hosts = max(MANY_HOSTS, options.hosts)
    return dataclasses.replace(options, hosts=hosts)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    defaults = soak.Options()
    add = parser.add_argument
    add("--seeds", default="1-10", help="7, or 1-50, or 3,8,20-30")
    add("--seconds", type=float, default=defaults.seconds)
    add("--hosts", type=int, default=defaults.hosts)
    add("--callers", type=int, default=defaults.callers)
    add("--logs", type=Path, help="folder for the logs of runs with findings")
    add("--keep", action="store_true", help="keep the logs of all runs")
    add("--regressions", action="store_true", help="run the seeds that failed")
    return parser.parse_args()


def _seeds(text: str) -> list[int]:
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def _has_memory(hosts: int) -> bool:
    total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return hosts * HOST_BYTES < total / 2


if __name__ == "__main__":
    raise SystemExit(main())
