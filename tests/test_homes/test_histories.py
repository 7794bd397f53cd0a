"""Stateful test of histories, budgets and at-most-once calls under faults."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING, Any

from hypothesis import stateful
from hypothesis import strategies as st
from returns import result

from mangotally import errors, ids
from mangotally.homes import calls, partitions, programs, sweeper
from mangotally.hosts import messages
from mangotally.policy import records
from mangotally.settings import host as host_settings
from tests import history_fakes as fakes
from tests import stateful as stateful_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

SERVICE = ids.ServiceId("s")
HOSTS = ("h1", "h2", "h3")
ORGANISATIONS = (ids.OrganisationId("a"), ids.OrganisationId("b"))
PROGRAMS = tuple(ids.ProgramId(name) for name in ("p", "p.1", "p.2"))
PARENTS = {PROGRAMS[1]: PROGRAMS[0], PROGRAMS[2]: PROGRAMS[1]}
KEYS = ("k1", "k2")
TOKENS, CALLS = 900, 24
LEASE_MS = 5000
RETENTION_MS = 60_000
WALL_MS = 36_000_000
STREAM = "history-0"

ProgramKey = tuple[ids.OrganisationId, ids.ProgramId]


@dataclasses.dataclass(frozen=True)
class EngineRun:
    """A run of a turn on an engine."""

    host: str
    program: ProgramKey
    turn: int
    prompt: tuple[str, ...]
    tokens: int


class Gate:
    """Suspends the input and output of a host while it is closed."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_open(self) -> bool:
        """Whether the host is running."""
        return self._open.is_set()

    def set_open(self, is_open: bool) -> None:
        """Suspends or resumes the host."""
        if is_open:
            self._open.set()
        else:
            self._open.clear()

    async def wait(self) -> None:
        """Waits until the host is running."""
        await self._open.wait()


class GatedLog:
    """The log as seen by one host."""

    def __init__(self, log: fakes.FakeLog, gate: Gate) -> None:
        self._log = log
        self._gate = gate

    async def append(self, stream: str, data: bytes) -> Any:
        """Appends; the host may be suspended before and after it."""
        await self._gate.wait()
        outcome = await self._log.append(stream, data)
        await self._gate.wait()
        return outcome

    async def read(self, stream: str, offset: Any, wait_ms: int = 0) -> Any:
        """Reads; the host may be suspended before and after it."""
        await self._gate.wait()
        outcome = await self._log.read(stream, offset, wait_ms)
        await self._gate.wait()
        return outcome


class Targets:
    """All engines and services as seen by one host."""

    def __init__(
        self,
        host: str,
        gate: Gate,
        runs: list[EngineRun],
        services: collections.Counter[tuple[str, str]],
    ) -> None:
        self._host = host
        self._gate = gate
        self._runs = runs
        self._services = services
        self.fault = errors.Ran.RAN

    async def generate(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        prompt: list[records.ChatMessage],
        _attained_tokens: int,
        permit: Callable[[], Awaitable[errors.Outcome[Any]]],
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Answers with the number of the run."""
        await self._step()
        fault = self.fault
        if fault is errors.Ran.NOT_RUN:
            yield errors.failed(errors.Reason.TARGET_FAILED, "unreachable")
            return
        allowed = await permit()
        if isinstance(allowed, result.Failure):
            yield allowed
            return
        await self._gate.wait()
        length = sum(8 + len(item.content) for item in prompt)
        generated = min(message.max_tokens, 12)
        self._runs.append(
            EngineRun(
                self._host,
                (message.organisation, program),
                message.turn,
                tuple(item.content for item in prompt),
                length + generated,
            )
        )
        number = len(self._runs) - 1
        await self._step()
        if fault is errors.Ran.MAY_HAVE_RUN:
            yield errors.failed(
                errors.Reason.TARGET_FAILED, "interrupted", fault
            )
            return
        yield result.Success(messages.TurnText(f"run {number}"))
        await self._step()
        yield result.Success(
            messages.TurnEnd(
                length, 0, generated, ids.TargetId("t"), replayed=False
            )
        )

    async def end_program(self, *_args: Any) -> None:
        """Does nothing."""

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a service call."""
        fault = self.fault
        if fault is errors.Ran.NOT_RUN:
            return errors.failed(errors.Reason.TARGET_FAILED, "unreachable")
        self._services[(message.organisation, message.key)] += 1
        await self._step()
        if fault is errors.Ran.MAY_HAVE_RUN:
            return errors.failed(
                errors.Reason.TARGET_FAILED, "interrupted", fault
            )
        body = f"{message.organisation} {message.body_base64}"
        return result.Success(
            messages.CallAnswer(200, "text/plain", body, replayed=False)
        )

    async def _step(self) -> None:
        await asyncio.sleep(0.005)
        await self._gate.wait()


class Host:
    """A host that considers itself the home of all keys."""

    def __init__(self, machine: HistoryMachine, name: str) -> None:
        clock = fakes.LoopClock(machine.loop)
        self.gate = Gate()
        self.targets = Targets(name, self.gate, machine.runs, machine.services)
        host = ids.HostId(name)
        self.members = fakes.FakeMembers(host, [host], clock)
        self.members.lease.lapse()
        log: Any = GatedLog(machine.log, self.gate)
        members: Any = self.members
        runner: Any = self.targets
        peers: Any = self
        self.partitions = partitions.Partitions(1, log, members, clock)
        self.programs = programs.ProgramHome(self.partitions, runner, clock)
        self.calls = calls.CallHome(
            self.partitions, peers, runner, clock, LEASE_MS
        )
        settings = host_settings.HostSettings(
            host_id=name,
            port=1024,
            place="porto",
            log=host_settings.LogSettings(url="", retention_ms=RETENTION_MS),
            roster_url="",
            weights_url="",
            lease_ms=LEASE_MS,
        )
        self.sweeper = sweeper.Sweeper(
            settings, self.partitions, self.programs, clock
        )

    async def call_home(self, _key: str, message: Any) -> Any:
        """Charges a call at the programs' home on this host."""
        return await self.programs.charge(message)

    async def sweep(self) -> None:
        """Sweeps the only partition."""
        outcome = await self.partitions.partition_for(
            ORGANISATIONS[0], PROGRAMS[0]
        )
        if isinstance(outcome, result.Success):
            await self.sweeper.sweep(outcome.unwrap())

    async def turn(self, message: messages.RunTurn) -> errors.Outcome[str]:
        """Runs a turn; returns its text."""
        text = ""
        last: errors.Outcome[Any] = result.Success(None)
        async for event in self.programs.run_turn(message):
            last = event
            if isinstance(event.value_or(None), messages.TurnText):
                text += event.unwrap().text
        return last.map(lambda _: text)


class HistoryMachine(stateful.RuleBasedStateMachine):
    """Three hosts that all act as home; only one holds a lease."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = fakes.VirtualLoop()
        self.log = fakes.FakeLog()
        self.runs: list[EngineRun] = []
        self.services: collections.Counter[tuple[str, str]]
        self.services = collections.Counter()
        self.acknowledged: dict[ProgramKey, list[str]] = {}
        self.requested_programs: set[ProgramKey] = set()
        self.answers: dict[tuple[str, str], str] = {}
        self.started = 0
        self.hosts = {name: Host(self, name) for name in HOSTS}
        self.tasks: list[asyncio.Task[None]] = []
        self.overlap = False
        self.holder = "h1"

    @stateful.initialize(overlap=st.booleans())
    def open_all(self, overlap: bool) -> None:
        """Opens the programs of one organisation before any fault.

        Leases must never overlap. If they do nevertheless, calls still run
        at most once; only failures that are reported while the log is down
        may wrongly say that a call has not run.
        """
        self.overlap = overlap
        self._grant_leases()
        for program in PROGRAMS:
            self.open("h1", ORGANISATIONS[0], program)
            self._advance(100)

    @stateful.rule(
        host=st.sampled_from(HOSTS),
        program=st.sampled_from(PROGRAMS),
        turns=st.integers(1, 3),
    )
    def converse(self, host: str, program: Any, turns: int) -> None:
        """Sends turns one after another, with time to complete each."""
        for _ in range(turns):
            self.turn(host, ORGANISATIONS[0], program, 0)
            self._advance(150)

    @stateful.rule()
    def end_faults(self) -> None:
        """Ends all faults."""
        self.log.is_unavailable = False
        self.log.lost_acknowledgements = 0
        for host in self.hosts.values():
            host.gate.set_open(True)
            host.targets.fault = errors.Ran.RAN
        self._advance(200)

    @stateful.rule(
        host=st.sampled_from(HOSTS),
        organisation=st.sampled_from(ORGANISATIONS),
        program=st.sampled_from(PROGRAMS),
    )
    def open(self, host: str, organisation: Any, program: Any) -> None:
        """Opens a program that may be open already."""
        record = records.ProgramOpened(
            organisation,
            program,
            PARENTS.get(program),
            SERVICE,
            records.Budget(TOKENS, CALLS, WALL_MS),
            WALL_MS,
        )
        self._start(self._open(self.hosts[host], record))

    @stateful.rule(
        host=st.sampled_from(HOSTS),
        organisation=st.sampled_from(ORGANISATIONS),
        program=st.sampled_from(PROGRAMS),
        ahead=st.sampled_from((0, 0, 0, 1, -1)),
    )
    def turn(
        self, host: str, organisation: Any, program: Any, ahead: int
    ) -> None:
        """Sends the next turn, repeats the last one, or skips one."""
        key = (organisation, program)
        number = len(self.acknowledged.get(key, [])) + 1 + ahead
        if number > 0:
            self._start(self._turn(host, key, number))

    @stateful.rule(
        host=st.sampled_from(HOSTS),
        organisation=st.sampled_from(ORGANISATIONS),
        key=st.sampled_from(KEYS),
        program=st.sampled_from((None, PROGRAMS[0])),
    )
    def call(
        self, host: str, organisation: Any, key: str, program: Any
    ) -> None:
        """Sends a call with an idempotency key."""
        self._start(self._call(host, organisation, key, program))

    @stateful.rule(
        organisation=st.sampled_from(ORGANISATIONS),
        programs=st.tuples(*(st.sampled_from(PROGRAMS) for _ in HOSTS)),
        gap_ms=st.sampled_from((0, 1, 3, 8)),
    )
    def turn_everywhere(
        self, organisation: Any, programs: Any, gap_ms: int
    ) -> None:
        """Sends a turn through each host, of the same or different programs."""
        for host, program in zip(HOSTS, programs, strict=True):
            self.turn(host, organisation, program, 0)
            self._advance(gap_ms)
        self._advance(20)

    @stateful.rule(
        hosts=st.permutations(HOSTS), program=st.sampled_from(PROGRAMS)
    )
    def pause_past_retention(self, hosts: list[str], program: Any) -> None:
        """Suspends a host until the records it has read have expired."""
        self.end_faults()
        self.hosts[hosts[0]].gate.set_open(False)
        self.converse(hosts[1], program, 1)
        self.age(70)
        self.converse(hosts[1], program, 1)
        self.hosts[hosts[0]].gate.set_open(True)
        self.converse(hosts[0], program, 1)

    @stateful.rule(
        organisation=st.sampled_from(ORGANISATIONS),
        key=st.sampled_from(KEYS),
        gap_ms=st.sampled_from((0, 1, 3, 8)),
    )
    def call_everywhere(self, organisation: Any, key: str, gap_ms: int) -> None:
        """Sends a call through all hosts in short succession."""
        for host in HOSTS:
            self.call(host, organisation, key, None)
            self._advance(gap_ms)

    @stateful.rule(
        hosts=st.permutations(HOSTS),
        organisation=st.sampled_from(ORGANISATIONS),
        key=st.sampled_from(KEYS),
    )
    def call_in_outage(
        self, hosts: list[str], organisation: Any, key: str
    ) -> None:
        """Sends a call during an outage of the log, and then to other hosts."""
        self.log.is_unavailable = True
        self.call(hosts[0], organisation, key, None)
        self._advance(LEASE_MS)
        self.log.is_unavailable = False
        self.call(hosts[1], organisation, key, None)
        self._advance(LEASE_MS)
        self.log.is_unavailable = True
        self.call(hosts[2], organisation, key, None)
        self._advance(LEASE_MS)
        self.log.is_unavailable = False

    @stateful.rule(time_ms=st.sampled_from((1, 2, 3, 5, 8, 20, 100, 2000)))
    def advance(self, time_ms: int) -> None:
        """Advances the time."""
        self._advance(time_ms)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def suspend_or_resume(self, host: str) -> None:
        """Suspends a host at any point, or resumes it."""
        gate = self.hosts[host].gate
        gate.set_open(not gate.is_open)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def replace(self, host: str) -> None:
        """A host crashes and is replaced by a new one of the same name."""
        old = self.hosts[host]
        old.gate.set_open(False)
        self.hosts[host] = Host(self, host)
        if self.overlap or host == self.holder:
            self._move_lease(host)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def move(self, host: str) -> None:
        """Moves the lease to another host after it has expired."""
        self._move_lease(host)

    @stateful.rule(lost=st.integers(1, 3))
    def lose_answers(self, lost: int) -> None:
        """Lets appends take effect while their acknowledgements are lost."""
        self.log.lost_acknowledgements = lost

    @stateful.rule()
    def log_fails_or_returns(self) -> None:
        """Starts or ends an outage of the log."""
        self.log.is_unavailable = not self.log.is_unavailable

    @stateful.rule(
        host=st.sampled_from(HOSTS), fault=st.sampled_from(errors.Ran)
    )
    def targets_fail_or_return(self, host: str, fault: errors.Ran) -> None:
        """Sets whether targets refuse, interrupt, or answer a host's calls."""
        self.hosts[host].targets.fault = fault

    @stateful.rule(time_s=st.integers(1, 40))
    def age(self, time_s: int) -> None:
        """Advances the time with sweeps; old records expire."""
        self.log.is_unavailable = False
        for _ in range(time_s):
            self._advance(1000)
            sweeps = [
                item.sweep()
                for item in self.hosts.values()
                if item.gate.is_open
            ]
            if sweeps:
                self._wait(_gather(sweeps))
                self.log.expire(STREAM, self.loop.time() - RETENTION_MS / 1000)

    @stateful.invariant()
    def budgets_hold(self) -> None:
        """No tree of programs spends more than its budget."""
        for organisation in ORGANISATIONS:
            for root in PROGRAMS:
                below = [
                    run
                    for run in self.runs
                    if run.program[0] == organisation
                    and run.program[1] in _tree(root)
                ]
                assert sum(run.tokens for run in below) <= TOKENS
                assert len(below) <= CALLS

    @stateful.invariant()
    def calls_run_once(self) -> None:
        """No idempotency key runs more than once at a target."""
        assert all(count <= 1 for count in self.services.values())

    @stateful.invariant()
    def prompts_are_exact(self) -> None:
        """Each run got the acknowledged turns of its own program."""
        for run in self.runs:
            answers = self.acknowledged.get(run.program, [])
            prompt: list[str] = []
            for number, answer in enumerate(answers[: run.turn - 1], 1):
                prompt += [_text(run.program, number), answer]
            prompt.append(_text(run.program, run.turn))
            assert run.prompt == tuple(prompt), (run, prompt)

    def teardown(self) -> None:
        """After all faults a new host replays all acknowledged answers."""
        self.end_faults()
        self._advance(40_000)
        self.budgets_hold()
        self.calls_run_once()
        self.prompts_are_exact()
        self.hosts["h4"] = Host(self, "h4")
        self._move_lease("h4")
        for key, answers in self.acknowledged.items():
            for number in range(1, len(answers) + 1):
                self._wait(self._turn("h4", key, number))
        for called in list(self.answers):
            self._wait(self._call("h4", *called, None))
        for task in self.tasks:
            if task.done():
                task.result()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def _advance(self, time_ms: int) -> None:
        self._wait(asyncio.sleep(time_ms / 1000))
        for task in self.tasks:
            if task.done():
                task.result()
        self.tasks = [task for task in self.tasks if not task.done()]

    def _start(self, work: Any) -> None:
        self.tasks.append(self.loop.create_task(work))
        self._advance(0)

    def _wait(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    def _move_lease(self, host: str) -> None:
        for item in self.hosts.values():
            item.members.lease.lapse()
        self._advance(LEASE_MS)
        self.holder = host
        self._grant_leases()

    def _grant_leases(self) -> None:
        for name, item in self.hosts.items():
            if self.overlap or name == self.holder:
                item.members.lease.renew(1e12)

    async def _open(self, host: Host, record: records.ProgramOpened) -> None:
        self.requested_programs.add((record.organisation, record.program))
        await host.programs.open(messages.OpenProgram(record))

    async def _turn(self, host: str, key: ProgramKey, number: int) -> None:
        text = _text(key, number)
        message = messages.RunTurn(
            key[0],
            ids.KeyId("k"),
            key[1],
            number,
            SERVICE,
            (records.ChatMessage("user", text),),
            20,
            1.0,
            WALL_MS,
        )
        before = len(self.runs)
        outcome = await self.hosts[host].turn(message)
        answers = self.acknowledged.setdefault(key, [])
        if isinstance(outcome, result.Success):
            assert key in self.requested_programs
            if number <= len(answers):
                assert outcome.unwrap() == answers[number - 1]
            else:
                assert number == len(answers) + 1
                answers.append(outcome.unwrap())
            return
        if number <= len(answers):
            reason = outcome.failure().reason
            assert reason in _INDEFINITE, (reason, key, number)
        if outcome.failure().ran is errors.Ran.NOT_RUN:
            assert not [
                run
                for run in self.runs[before:]
                if (run.host, run.program, run.turn) == (host, key, number)
            ]

    async def _call(
        self, host: str, organisation: Any, key: str, program: Any
    ) -> None:
        message = messages.RunCall(
            organisation,
            key,
            program,
            SERVICE,
            "POST",
            "/",
            (),
            key,
            1000,
        )
        outcome = await self.hosts[host].calls.run(message)
        called = (organisation, key)
        match outcome:
            case result.Success(answer):
                assert answer.body_base64 == f"{organisation} {key}"
                assert self.services[called] == 1
                self.answers[called] = answer.body_base64
            case result.Failure(failure):
                is_reliable = (
                    failure.reason is not _LOG_DOWN or not self.overlap
                )
                if failure.ran is errors.Ran.NOT_RUN and is_reliable:
                    assert self.services[called] == 0, failure
                if failure.ran is errors.Ran.RAN:
                    assert self.services[called] == 1


_LOG_DOWN = errors.Reason.LOG_UNAVAILABLE
_INDEFINITE = (_LOG_DOWN, errors.Reason.CONFLICT)


async def _gather(sweeps: list[Any]) -> None:
    await asyncio.gather(*sweeps)


def _text(key: ProgramKey, number: int) -> str:
    return f"{key[0]} {key[1]} {number}"


def _tree(root: ids.ProgramId) -> list[ids.ProgramId]:
    below = [root]
    for child, parent in PARENTS.items():
        if parent in below:
            below.append(child)
    return below


HistoryTest = HistoryMachine.TestCase
HistoryTest.settings = stateful_settings.CI_SETTINGS

MACHINES = (HistoryMachine,)
