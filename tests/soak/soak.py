"""One run of the soak test.

Starts the hosts, injects faults under load, checks that the system recovers
and stops some hosts gracefully once no faults are active.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import shutil
import tempfile
from pathlib import Path
from typing import Self

from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.soak import (
    faults,
    oracle,
    processes,
    proxy,
    targets,
    traffic,
    workload,
)
from tests.soak import store as store_lib
from tests.soak.workload import RequestKind

START_TIMEOUT_MS = 60_000
RECOVERY_TIMEOUT_MS = 12_000
# Hosts are stopped gracefully no sooner than this after the last fault.
CALM_AFTER_MS = 3000
POLL_MS = 250.0
RECOVERY_WINDOW_MS = 2000.0
MIN_REQUESTS = 10
MIN_SERVED_FRACTION = 0.9
MAX_PROBED_TURNS = 30
MAX_PROBED_PROGRAMS = 20
MAX_CONCURRENT_PROBES = 6
PROBE_PAUSE_MS = 500.0
MAX_BUDGET_PROBES = 5
DESK_TARGETS = 3
SPARE_DESK_TARGETS = 2
MODEL_TARGETS = 4
# The numbers of targets above are multiplied by
# hosts // (HOSTS_PER_TARGET * MODEL_TARGETS), at least by 1.
HOSTS_PER_TARGET = 3
_BUDGET_SPENT = 402


@dataclasses.dataclass(frozen=True)
class Options:
    """Size of a run.

    Attributes:
        seconds: How long faults are injected.
        hosts: Number of entry hosts.
        callers: Number of callers, each of which sends one request or
            program at a time.
        logs: Folder for the logs of runs with findings; None for the
            default folder for temporary files.
        keep: Whether to keep the logs of runs without findings.
    """

    seconds: float = 20.0
    hosts: int = 6
    callers: int = 10
    logs: Path | None = None
    keep: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of a run.

    Attributes:
        seed: The seed of the run.
        requests: Number of requests sent.
        served: Number of requests with a complete, successful response.
        resumptions: Number of requests that continue a broken stream.
        resumed: Number of those whose answer brought further events.
        faults: Number of faults injected.
        findings: Violated invariants.
        folder: Folder of the logs, or None if they were deleted.
    """

    seed: int
    requests: int
    served: int
    resumptions: int
    resumed: int
    faults: int
    findings: list[str]
    folder: Path | None

    def __str__(self) -> str:
        """Returns a summary line, followed by a line for each finding."""
        line = (
            f"seed {self.seed}: {self.requests} requests, "
            f"{self.served} served, {self.resumed} of {self.resumptions} "
            f"streams resumed, {self.faults} faults, "
            f"{len(self.findings)} findings"
        )
        if self.folder is not None:
            line += f", logs in {self.folder}"
        return "\n  ".join([line, *self.findings])


async def run(seed: int, options: Options) -> Report:
    """Runs one seed.

    Args:
        seed: Determines the plan of faults and seeds all random choices.
        options: Size of the run.

    Returns:
        The report; logs are kept if there are findings.
    """
    if options.logs is not None:
        options.logs.mkdir(parents=True, exist_ok=True)
    name = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.logs)
    folder = Path(name)
    plan = faults.make_plan(seed, options.seconds * clock_lib.MS_PER_S)
    async with SoakRun(seed, options, folder) as found:
        await found.run_plan(plan)
    checker = found.oracle
    checker.write(folder / "requests.jsonl")
    lines = [*found.injector.log, *checker.findings]
    (folder / "faults.txt").write_text("\n".join(lines) + "\n")
    is_kept = bool(checker.findings) or options.keep
    if not is_kept:
        shutil.rmtree(folder)
    attempts = checker.attempts.values()
    resumptions = [each for each in attempts if each.resumes is not None]
    return Report(
        seed,
        len(attempts),
        sum(each.is_served for each in attempts),
        len(resumptions),
        sum(each.events > 0 for each in resumptions),
        len(plan),
        checker.findings,
        folder if is_kept else None,
    )


class SoakRun:
    """Starts and stops the processes, servers and tasks of a run."""

    def __init__(self, seed: int, options: Options, folder: Path) -> None:
        """Creates the store and the targets; entering starts everything.

        Args:
            seed: Seed of all random choices.
            options: Size of the run.
            folder: Folder for the settings and logs of the hosts.
        """
        self._options = options
        self._folder = folder
        self._rng = random.Random(seed)
        self._clock = clock_lib.BootClock()
        self.oracle = oracle.Oracle(self._clock)
        self._store = store_lib.SoakStore(seed)
        self._targets = [
            targets.Target(number, service, self.oracle, seed + number)
            for number, service in enumerate(_services(options.hosts))
        ]
        self._links: list[proxy.Link] = []
        self._hosts: list[processes.HostProcess] = []
        self._keys = traffic.KeyPool(self._rng)
        self._callers: list[traffic.Caller] = []
        self._balancer: traffic.Balancer
        self.injector: faults.FaultInjector
        self._tasks: list[asyncio.Task[None]] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._stack.aclose()

    async def run_plan(self, plan: list[faults.Fault]) -> None:
        """Injects the faults of a plan under load, then checks the recovery."""
        await self._wait_until_ready()
        for caller in self._callers:
            self._start_task(caller.run())
        self._start_task(self._callers[0].run_over_limit())
        self._start_task(self._callers[1].run_over_limit())
        await self.injector.run(plan)
        faults_ended_ms = self._clock.now_ms()
        await self._wait_until_recovered(faults_ended_ms)
        await self._probe_turns(faults_ended_ms + RECOVERY_TIMEOUT_MS)
        await self._probe_programs()
        await self._stop_gracefully(faults_ended_ms)
        await self._stop_tasks()
        self.oracle.check_rates()
        self._check_unexpected_exits()

    async def _start(self) -> None:
        enter = self._stack.enter_async_context
        await enter(self._store)
        self._stack.callback(self._kill_hosts)
        for target in self._targets:
            await enter(target)
            target.link = await self._enter_link(
                f"target-{target.name}", target.url.removeprefix("http://")
            )
        configuration = workload.configuration()
        self._register_configuration(configuration)
        self._store.put("keyed.op", "config", configuration)
        for target in self._targets:
            self._store.put("keyed.servers", target.name, target.store_record())
        await self._start_hosts()
        self._balancer = traffic.Balancer(self._hosts, self._rng)
        for _ in range(max(2, self._options.callers)):
            caller = traffic.Caller(
                self.oracle, self._balancer, self._keys, self._rng
            )
            self._callers.append(await enter(caller))
        self.injector = faults.FaultInjector(
            faults.Environment(
                self._hosts,
                self._store,
                self._targets,
                self._links,
                self._keys,
                self.oracle,
                configuration,
            )
        )
        self._stack.push_async_callback(self._stop_tasks)
        self._start_task(self._balancer.run())

    async def _start_hosts(self) -> None:
        store = self._store.url.removeprefix("http://")
        for number in range(self._options.hosts):
            link = await self._enter_link(
                f"store-h{number}", store, processes.host_ip(number)
            )
            host = processes.HostProcess(number, link.address, self._folder)
            self._hosts.append(host)
            link = await self._enter_link(
                f"hosts-{host.name}", host.hosts_address
            )
            self._store.aliases[host.hosts_address] = link.address
            host.start()

    async def _enter_link(
        self, name: str, server: str, source: str = "127.0.0.1"
    ) -> proxy.Link:
        host, _, port = server.partition(":")
        link = proxy.Link(name, (host, int(port)), source)
        self._links.append(link)
        return await self._stack.enter_async_context(link)

    def _register_configuration(self, configuration: dict[str, object]) -> None:
        organisations, routes = (
            configuration["Tenants"],
            configuration["Routes"],
        )
        assert isinstance(organisations, list)
        assert isinstance(routes, list)
        for each in organisations:
            for key in each["ApiKeys"]:
                self.oracle.organisations[key] = each["Name"]
        self.oracle.permanent_keys = {entry_fleet.KEY, workload.LIMITED_KEY}
        for route in routes:
            self.oracle.services[route["PathPrefix"]] = {route["Service"]}

    def _kill_hosts(self) -> None:
        for host in self._hosts:
            host.kill()

    def _start_task(self, work: object) -> None:
        assert asyncio.iscoroutine(work)
        self._tasks.append(asyncio.create_task(work))

    async def _stop_tasks(self) -> None:
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    async def _wait_until_ready(self) -> None:
        for _ in range(int(START_TIMEOUT_MS / POLL_MS)):
            if len(self._balancer.ready) == len(self._hosts):
                return
            await _sleep(POLL_MS)
        raise TimeoutError(f"the hosts are not ready: {self._folder}")

    async def _wait_until_recovered(self, faults_ended_ms: float) -> None:
        while not self._has_recovered(faults_ended_ms):
            if (
                self._clock.now_ms()
                > faults_ended_ms + RECOVERY_TIMEOUT_MS + RECOVERY_WINDOW_MS
            ):
                seen = [
                    (each.host, each.kind.name, each.status, each.error)
                    for each in self._recent_attempts()
                    if not each.is_served
                ]
                self.oracle.add_finding("RECOVER", None, f"{seen[-20:]}")
                return
            await _sleep(POLL_MS)

    def _has_recovered(self, faults_ended_ms: float) -> bool:
        if self._clock.now_ms() < faults_ended_ms + RECOVERY_WINDOW_MS:
            return False
        found = self._recent_attempts()
        served = sum(each.is_served for each in found)
        return len(
            found
        ) >= MIN_REQUESTS and served >= MIN_SERVED_FRACTION * len(found)

    def _recent_attempts(self) -> list[oracle.Attempt]:
        """Returns the requests of the last window that should be served."""
        since_ms = self._clock.now_ms() - RECOVERY_WINDOW_MS
        return [
            each
            for each in self.oracle.attempts.values()
            if each.sent_ms > since_ms
            and each.ended_ms is not None
            and each.key == entry_fleet.KEY
            and each.status != _BUDGET_SPENT
            and not each.is_foreign
            and not each.is_abandoned
        ]

    async def _probe_turns(self, until_ms: float) -> None:
        """Checks that turns completed before the faults ended are retained.

        Each chosen turn must be found when a new turn continues from it.
        """
        served = [
            each
            for each in self.oracle.attempts.values()
            if each.kind is RequestKind.TURN
            and each.is_served
            and each.key == entry_fleet.KEY
        ]
        chosen = self._rng.sample(served, min(MAX_PROBED_TURNS, len(served)))
        limit = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        await asyncio.gather(
            *(self._probe_turn(each, until_ms, limit) for each in chosen)
        )

    async def _probe_turn(
        self,
        parent: oracle.Attempt,
        until_ms: float,
        limit: asyncio.Semaphore,
    ) -> None:
        caller = self._rng.choice(self._callers)
        # A new program: only the retained turn is checked, not the budget
        # of the turn's own program.
        program = caller.make_program(max(traffic.BUDGET_TURNS))
        async with limit:
            while True:
                attempt = caller.make_attempt(
                    RequestKind.TURN, entry_fleet.KEY, program, parent
                )
                await caller.send(attempt)
                if attempt.is_served:
                    return
                if self._clock.now_ms() > until_ms:
                    break
                await _sleep(PROBE_PAUSE_MS)
        detail = f"{attempt.status} {attempt.error}"
        self.oracle.add_finding("LOST", attempt, f"kept {parent.id}: {detail}")

    async def _probe_programs(self) -> None:
        """Sends further turns of programs that were refused by mistake.

        These are programs with a 402 response though their budget was not
        spent. A refusal may be temporary, so a finding is added only if
        all tries are refused.
        """
        found = [
            each
            for each in self.oracle.programs
            if each.wrong_refusals and each.attempts[0].key == entry_fleet.KEY
        ]
        chosen = self._rng.sample(found, min(MAX_PROBED_PROGRAMS, len(found)))
        await asyncio.gather(*(self._probe_program(each) for each in chosen))

    async def _probe_program(self, program: oracle.Program) -> None:
        caller = self._rng.choice(self._callers)
        served = [each for each in program.attempts if each.is_served]
        is_turn = served and served[-1].kind is RequestKind.TURN
        for _ in range(MAX_BUDGET_PROBES):
            attempt = caller.make_attempt(
                program.attempts[0].kind,
                entry_fleet.KEY,
                program,
                served[-1] if is_turn else None,
            )
            await caller.send(attempt)
            spent = self.oracle.max_spent_tokens(program, attempt)
            has_budget = spent + workload.MAX_TOKENS <= program.budget
            if attempt.status != _BUDGET_SPENT or not has_budget:
                return
            await _sleep(PROBE_PAUSE_MS)
        self.oracle.add_finding(
            "LOST-402" if is_turn else "SPENT",
            attempt,
            f"{program.id}: at most {spent} of {program.budget} spent",
        )

    async def _stop_gracefully(self, faults_ended_ms: float) -> None:
        wait_ms = faults_ended_ms + CALM_AFTER_MS - self._clock.now_ms()
        await _sleep(max(0.0, wait_ms))
        count = max(1, len(self._hosts) // 3)
        chosen = self._rng.sample(self._hosts, count)
        await asyncio.gather(
            *(self.injector.stop_gracefully(each) for each in chosen)
        )

    def _check_unexpected_exits(self) -> None:
        for host in self._hosts:
            # Reading is_running records an exit that was not noticed before.
            if host.should_run and not host.is_running:
                self.oracle.add_finding("ENDED", None, f"{host.name} is gone")
            if host.unexpected_exit_codes:
                self.oracle.add_finding(
                    "ENDED", None, f"{host.name} {host.unexpected_exit_codes}"
                )


def _services(hosts: int) -> list[str]:
    factor = max(1, hosts // (HOSTS_PER_TARGET * MODEL_TARGETS))
    return (
        [entry_fleet.DESK] * DESK_TARGETS * factor
        + [workload.SPARE_DESK] * SPARE_DESK_TARGETS * factor
        + [entry_fleet.MODEL] * MODEL_TARGETS * factor
    )


async def _sleep(time_ms: float) -> None:
    await asyncio.sleep(clock_lib.to_seconds(time_ms))
