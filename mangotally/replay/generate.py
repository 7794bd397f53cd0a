"""Generates the shipped traces from fixed seeds."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import sys
from typing import TYPE_CHECKING

from mangotally.replay import trace
from mangotally.settings import lists
from mangotally.standins import deployments

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DURATION_MS = 600_000
WORKER_CALLS = 24
PEAK_MS = 420_000
PEAK_WIDTH_MS = 120_000
PEAK_FACTOR = 0.6


@dataclasses.dataclass(frozen=True)
class Workload:
    """The load on a deployment.

    Attributes:
        deployment: The deployment under load.
        plans: Plans with rates that suit the capacity of its model service.
        program_rates_per_s: Arrival rate of the programs of one
            organisation, by plan.
    """

    deployment: deployments.Deployment
    plans: tuple[lists.Plan, ...]
    program_rates_per_s: dict[str, float]


def _plan(
    name: str,
    service: str,
    rate_per_s: float,
    share: float,
    latency_ms: int,
) -> lists.Plan:
    return lists.Plan(
        name=name,
        rate_per_s=rate_per_s,
        burst=rate_per_s * 8,
        share=share,
        services=(service,),
        program_calls=120,
        program_latency_ms=latency_ms,
    )


def tornos_norte() -> Workload:
    """Returns the load of a booking desk: many short conversations."""
    return Workload(
        deployments.tornos_norte(),
        (
            _plan("grande", "assistente", 3.0, 4.0, 180_000),
            _plan("oficina", "assistente", 1.5, 2.0, 180_000),
            _plan("atelier", "assistente", 1.0, 1.0, 180_000),
        ),
        {"grande": 0.36, "oficina": 0.13, "atelier": 0.06},
    )


def lakeshore() -> Workload:
    """Returns a commissioning company's load: fewer, longer conversations."""
    return Workload(
        deployments.lakeshore(),
        (
            _plan("fleet", "agent-llm", 3.0, 3.0, 240_000),
            _plan("crew", "agent-llm", 1.2, 1.0, 240_000),
        ),
        {"fleet": 0.19, "crew": 0.068},
    )


class Generator:
    """Generates the programs of one trace at random."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self._workload = workload
        self._random = random.Random(seed)
        self._plans = {
            item.id: item.plan
            for item in workload.deployment.plans.organisations
        }
        self._count = 0

    def header(self, kind: str, offender: str | None = None) -> trace.Header:
        """Returns the header of a trace."""
        deployment = self._workload.deployment
        group = deployment.groups[0]
        return trace.Header(
            version=trace.VERSION,
            name=f"{deployment.name}-{kind}",
            deployment=deployment.name,
            service=group.service,
            duration_ms=DURATION_MS,
            workers=tuple(
                trace.Worker(
                    id=f"{group.service}-{number + 1}",
                    place=deployment.places[number % len(deployment.places)],
                )
                for number in range(group.workers)
            ),
            worker_calls=WORKER_CALLS,
            organisations=self._plans,
            plans=self._workload.plans,
            offender=offender,
        )

    def organisations(self, plan: str) -> list[str]:
        """Returns the organisations that have a plan."""
        return [name for name, found in self._plans.items() if found == plan]

    def ordinary_programs(self, factor: float = 1.0) -> list[trace.Program]:
        """Returns programs of an ordinary load with one peak."""
        found = []
        for organisation, plan in self._plans.items():
            rate_per_s = self._workload.program_rates_per_s[plan] * factor
            for at_ms in self._arrivals(rate_per_s, 0, DURATION_MS, True):
                found.append(self._conversation(organisation, at_ms))
        return found

    def overload_programs(
        self, organisation: str, calls_per_s: float, start: int, end: int
    ) -> list[trace.Program]:
        """Returns programs that call at a given mean rate."""
        turns = 8
        found = []
        for at_ms in self._arrivals(calls_per_s / turns, start, end, False):
            rows = tuple(self._turn(n, 400, 300) for n in range(turns))
            found.append(self._program(organisation, at_ms, rows))
        return found

    def small_program(self, organisation: str, at_ms: int) -> trace.Program:
        """Returns a program of one or two short turns."""
        count = self._random.randint(1, 2)
        rows = tuple(self._turn(n, 300, 150) for n in range(count))
        return self._program(organisation, at_ms, rows)

    def huge_program(self, organisation: str, at_ms: int) -> trace.Program:
        """Returns a program with a long history."""
        rows = [(self._random.randint(20_000, 40_000), 400, 1500)]
        rows += [self._turn(1, 3000, 400) for _ in range(8)]
        return self._program(organisation, at_ms, tuple(rows))

    def endless_program(self, organisation: str, at_ms: int) -> trace.Program:
        """Returns a program whose turns repeat endlessly."""
        rows = ((1200, 150, 200), (250, 120, 200))
        found = self._program(organisation, at_ms, rows)
        return found.model_copy(update={"loop": True})

    def arrival_times(self, rate_per_s: float) -> Iterator[int]:
        """Yields the arrival times of a Poisson process."""
        yield from self._arrivals(rate_per_s, 0, DURATION_MS, False)

    def choose(self, names: list[str]) -> str:
        """Returns one of the names at random."""
        return self._random.choice(names)

    def choose_organisation(self) -> str:
        """Returns a random organisation, weighted by the rates of the plans."""
        rates = {plan.name: plan.rate_per_s for plan in self._workload.plans}
        names = list(self._plans)
        weights = [rates[self._plans[name]] for name in names]
        return self._random.choices(names, weights)[0]

    def _arrivals(
        self, rate_per_s: float, start: int, end: int, peak: bool
    ) -> Iterator[int]:
        at_ms = float(start)
        top = 1.0 + PEAK_FACTOR if peak else 1.0
        while True:
            at_ms += self._random.expovariate(rate_per_s * top) * 1000
            if at_ms >= end:
                return
            level = 1.0
            if peak and abs(at_ms - PEAK_MS) < PEAK_WIDTH_MS / 2:
                level = top
            if self._random.random() < level / top:
                yield int(at_ms)

    def _conversation(self, organisation: str, at_ms: int) -> trace.Program:
        long = self._workload.deployment.name == "lakeshore"
        count = (
            self._random.randint(3, 9)
            if long
            else self._random.choice([2, 2, 3, 3, 4, 5, 8])
        )
        added, answered = (900, 300) if long else (800, 310)
        rows = tuple(self._turn(n, added, answered) for n in range(count))
        agents: tuple[trace.Agent, ...] = ()
        if count > 3 and self._random.random() < 0.2:
            agents = tuple(
                trace.Agent(
                    after_turn=2,
                    turns=tuple(self._turn(n, 500, 150) for n in range(2)),
                )
                for _ in range(self._random.randint(1, 3))
            )
        return self._program(organisation, at_ms, rows, agents)

    def _turn(self, number: int, added: int, answered: int) -> trace.Turn:
        first = 1500 if number == 0 else 0
        pause_ms = min(20_000, int(self._random.expovariate(1 / 3000)) + 300)
        return (
            first + self._spread(added),
            self._spread(answered),
            pause_ms,
        )

    def _spread(self, mean: int) -> int:
        return max(8, int(mean * self._random.lognormvariate(-0.125, 0.5)))

    def _program(
        self,
        organisation: str,
        at_ms: int,
        turns: tuple[trace.Turn, ...],
        agents: tuple[trace.Agent, ...] = (),
    ) -> trace.Program:
        self._count += 1
        return trace.Program(
            id=f"p{self._count}",
            at_ms=at_ms,
            organisation=organisation,
            turns=turns,
            agents=agents,
        )


def _ordinary(workload: Workload, seed: int) -> trace.Trace:
    generator = Generator(workload, seed)
    programs = generator.ordinary_programs()
    return _trace(generator.header("ordinary"), programs)


def _six_times(workload: Workload, seed: int) -> trace.Trace:
    generator = Generator(workload, seed)
    plan = workload.plans[0]
    offender = generator.organisations(plan.name)[0]
    programs = generator.ordinary_programs()
    programs += generator.overload_programs(
        offender, plan.rate_per_s * 6, 370_000, 470_000
    )
    return _trace(generator.header("six-times", offender), programs)


def _worker_lost(workload: Workload, seed: int) -> trace.Trace:
    generator = Generator(workload, seed)
    header = generator.header("worker-lost")
    worker = header.workers[1].id
    events = (
        trace.WorkerEvent(
            at_ms=200_000, worker=worker, change=trace.Change.LOST
        ),
        trace.WorkerEvent(
            at_ms=380_000, worker=worker, change=trace.Change.BACK
        ),
    )
    return _trace(header, generator.ordinary_programs(0.85), events)


def _place_lost(workload: Workload, seed: int) -> trace.Trace:
    generator = Generator(workload, seed)
    place = workload.deployment.places[0]
    events = (
        trace.PlaceEvent(at_ms=150_000, place=place, change=trace.Change.LOST),
        trace.PlaceEvent(at_ms=330_000, place=place, change=trace.Change.BACK),
    )
    return _trace(
        generator.header("place-lost"),
        generator.ordinary_programs(0.65),
        events,
    )


def _small_and_huge(workload: Workload, seed: int) -> trace.Trace:
    generator = Generator(workload, seed)
    large = generator.organisations(workload.plans[0].name)
    programs = [
        generator.small_program(generator.choose_organisation(), at)
        for at in generator.arrival_times(2.6)
    ]
    programs += [
        generator.huge_program(generator.choose(large), at)
        for at in generator.arrival_times(0.1)
    ]
    return _trace(generator.header("small-and-huge"), programs)


def _loop(workload: Workload, seed: int) -> trace.Trace:
    generator = Generator(workload, seed)
    small = generator.organisations(workload.plans[-1].name)[-1]
    programs = generator.ordinary_programs(0.8)
    programs += [
        generator.endless_program(small, 60_000 + n * 1000) for n in range(2)
    ]
    return _trace(generator.header("loop"), programs)


def _trace(
    header: trace.Header,
    programs: list[trace.Program],
    events: tuple[trace.Event, ...] = (),
) -> trace.Trace:
    return trace.Trace(
        header=header,
        programs=tuple(sorted(programs, key=lambda row: row.at_ms)),
        events=events,
    )


WORKLOADS: tuple[tuple[Callable[[], Workload], int], ...] = (
    (tornos_norte, 11),
    (lakeshore, 23),
)
KINDS: tuple[Callable[[Workload, int], trace.Trace], ...] = (
    _ordinary,
    _six_times,
    _worker_lost,
    _place_lost,
    _small_and_huge,
    _loop,
)


def generate_all() -> Iterator[trace.Trace]:
    """Yields all traces that are shipped."""
    for make_workload, seed in WORKLOADS:
        for make in KINDS:
            yield make(make_workload(), seed)


def main() -> None:
    """Writes the shipped traces to the directory that argv names."""
    directory = pathlib.Path(sys.argv[1])
    for item in generate_all():
        path = directory / f"{item.header.name}.jsonl"
        path.write_bytes(trace.dump(item))


if __name__ == "__main__":
    main()
