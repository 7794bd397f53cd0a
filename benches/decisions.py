"""Time per scheduling decision, and memory of the scheduler."""

from __future__ import annotations

import gc
import math
import random
import time
import tracemalloc

from benches import report
from mangotally import ids
from mangotally.policy import fairness, pools, scheduler

TARGET_US = 50.0
WORKERS = (10, 100, 1_000, 10_000)
MANY_WORKERS = 10_000
PROGRAMS = (10_000, 100_000, 890_000)
CALLS = 20_000
QUEUED = 20_000
SLOTS = 16
FILL = 0.7
ORGANISATIONS = 200
MEMORY_SIZES = (2_000, 4_000, 8_000)
US_PER_S = 1e6
INTERVAL_MS = 1.0
ANSWER_TOKENS = 200
FAR_MS = 1e12


class Bench:
    """A pool in a steady state: each submitted call replaces an ended one."""

    def __init__(self, workers: int, programs: int) -> None:
        self.scheduler = scheduler.FairScheduler()
        self.scheduler.set_targets(
            [_target(number) for number in range(workers)], 0.0
        )
        self._random = random.Random(1)
        self._programs = programs
        self._count = 0
        self._now_ms = 0.0
        self._active: list[ids.CallId] = []

    def fill(self, calls: int) -> None:
        """Submits calls without ending any."""
        for _ in range(calls):
            self._submit(self._make_call())

    def _cycle(self, call: pools.PoolCall) -> None:
        """Ends a random active call, if there is one, and submits another."""
        if self._active:
            index = self._random.randrange(len(self._active))
            self._active[index], last = self._active[-1], self._active[index]
            self._active.pop()
            self.scheduler.finish(
                pools.CallReport(last, pools.CallEnd.DONE, 0, ANSWER_TOKENS),
                self._now_ms,
            )
        self._submit(call)

    def time_us(self, calls: int) -> float:
        """Returns the mean time of a cycle in microseconds."""
        calls_to_submit = [self._make_call() for _ in range(calls)]
        started_s = time.perf_counter()
        for call in calls_to_submit:
            self._cycle(call)
        return (time.perf_counter() - started_s) / calls * US_PER_S

    def visit(self, programs: int) -> None:
        """Runs one call of each program, one after another."""
        for number in range(programs):
            self._submit(self._make_call(number))
            self._finish_all()

    def _finish_all(self) -> None:
        for call in self._active:
            self.scheduler.finish(
                pools.CallReport(call, pools.CallEnd.DONE, 0, ANSWER_TOKENS),
                self._now_ms,
            )
        self._active.clear()

    def _submit(self, call: pools.PoolCall) -> None:
        self._now_ms += INTERVAL_MS
        self.scheduler.submit(call, self._now_ms)
        for action in self.scheduler.advance(self._now_ms):
            if isinstance(action, pools.Dispatch):
                self._active.append(action.call)

    def _make_call(self, number: int | None = None) -> pools.PoolCall:
        self._count += 1
        if number is None:
            number = self._random.randrange(self._programs)
        return pools.PoolCall(
            call=ids.CallId(f"c{self._count}"),
            organisation=ids.OrganisationId(f"o{number % ORGANISATIONS}"),
            program=ids.ProgramId(f"p{number}"),
            turn=1,
            prompt_tokens=4000,
            max_tokens=500,
            attained_tokens=number % 5000,
            share=1.0,
            deadline_ms=FAR_MS,
            digest="",
        )


def main() -> None:
    """Prints time per decision and memory per object."""
    gc.disable()
    points = []
    for workers in WORKERS:
        bench = Bench(workers, 10 * workers)
        bench.fill(int(workers * SLOTS * FILL))
        used_us = bench.time_us(CALLS)
        points.append((math.log2(workers), used_us))
        report.print_figure(
            f"decision, {workers} workers", used_us, "us", TARGET_US
        )
    intercept_us, slope_us = report.fit_line(points)
    report.print_figure("decision, at one worker", intercept_us, "us")
    report.print_figure(
        "decision, more per doubling of workers", slope_us, "us"
    )
    bench = Bench(32, 320)
    bench.fill(32 * SLOTS + QUEUED)
    used_us = bench.time_us(CALLS)
    what = f"decision, 32 workers, {QUEUED} calls queued"
    report.print_figure(what, used_us, "us", TARGET_US)
    for programs in PROGRAMS:
        bench = Bench(MANY_WORKERS, programs)
        bench.visit(programs)
        bench.fill(int(MANY_WORKERS * SLOTS * FILL))
        used_us = bench.time_us(CALLS)
        what = f"decision, {MANY_WORKERS} workers, {programs} programs"
        report.print_figure(what, used_us, "us", TARGET_US)
        del bench
        gc.collect()
    gc.enable()
    _print_memory()


def _print_memory() -> None:
    points = [(float(n), _allocated_bytes(10, n, 0)) for n in MEMORY_SIZES]
    report.print_figure(
        "program that pauses", report.fit_line(points)[1], "bytes"
    )
    points = [(float(n), _allocated_bytes(10, 10, n)) for n in MEMORY_SIZES]
    report.print_figure("call that waits", report.fit_line(points)[1], "bytes")
    points = [(float(n), _allocated_bytes(n, 10, 0)) for n in MEMORY_SIZES]
    report.print_figure("target", report.fit_line(points)[1], "bytes")
    points = [(float(n), _organisation_bytes(n)) for n in MEMORY_SIZES]
    report.print_figure(
        "organisation with calls", report.fit_line(points)[1], "bytes"
    )


def _allocated_bytes(workers: int, programs: int, queued: int) -> float:
    gc.collect()
    tracemalloc.start()
    bench = Bench(workers, programs)
    bench.visit(programs)
    bench.fill(queued)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del bench
    return float(used)


def _organisation_bytes(count: int) -> float:
    gc.collect()
    tracemalloc.start()
    shares = fairness.Shares()
    for number in range(count):
        shares.enqueue(ids.OrganisationId(f"o{number}"), 1.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del shares
    return float(used)


def _target(number: int) -> pools.TargetInfo:
    name = ids.TargetId(f"t{number}")
    return pools.TargetInfo(
        name, name, ids.FailureDomainId("place"), pools.TargetState.LIVE, SLOTS
    )


if __name__ == "__main__":
    main()
