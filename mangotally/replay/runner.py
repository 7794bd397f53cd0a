"""Replays a trace against fake workers under a virtual clock."""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import random
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import bucket, pools
from mangotally.replay import admission, programs, results, trace, worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.replay import parameters

DRAIN_FACTOR = 3.0
MINUTE_MS = 60_000.0


@dataclasses.dataclass
class _Call:
    """A call of a strand on its way.

    Attributes:
        pool_call: What the scheduler knows of it.
        strand: The program that waits for it.
        target: Where it runs, or None while it waits.
    """

    pool_call: pools.PoolCall
    strand: programs.AgentRun
    target: ids.TargetId | None = None


class Replay:
    """One trace under one scheduler."""

    def __init__(
        self,
        source: trace.Trace,
        found: parameters.Parameters,
        policy: str,
        scheduler: pools.Scheduler,
    ) -> None:
        """Makes a replay; `run` runs it once."""
        self._trace = source
        self._header = source.header
        self._parameters = found
        self._policy = policy
        self._scheduler = scheduler
        self._now_ms = 0.0
        self._order = 0
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._random = random.Random(found.seed)
        self._calls: dict[ids.CallId, _Call] = {}
        self._call_count = 0
        self._open = len(source.programs)
        self._trees: list[programs.ProgramTree] = []
        self._wake_ms: float | None = None
        self._plans = {plan.name: plan for plan in self._header.plans}
        self._workers = {
            ids.TargetId(item.id): worker.Worker(
                ids.TargetId(item.id),
                ids.FailureDomainId(item.place),
                found.worker,
            )
            for item in self._header.workers
        }
        self._worker_due: dict[ids.TargetId, float] = {}
        self._buckets: dict[str, bucket.TokenBucket] = {}
        self._oracles: dict[str, admission.RateOracle] = {}
        self._wasted: collections.Counter[str] = collections.Counter()
        self._prompts: collections.Counter[str] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._wrongful: collections.Counter[str] = collections.Counter()
        self._gone: dict[ids.ProgramId, float] = {}
        self._longest_held_ms = 0.0
        self._retries = 0
        self._busy_ms: dict[int, float] = collections.defaultdict(float)

    def run(self) -> results.RunResult:
        """Runs the replay to its end."""
        for name, plan_name in self._header.organisations.items():
            plan = self._plans[plan_name]
            self._buckets[name] = bucket.TokenBucket(
                plan.rate_per_s, plan.burst, plan.burst, 0.0
            )
            self._oracles[name] = admission.RateOracle(
                plan.rate_per_s, plan.burst
            )
        self._set_targets()
        for row in self._trace.programs:
            self._at(row.at_ms, functools.partial(self._start, row))
        for event in self._trace.events:
            self._at(event.at_ms, functools.partial(self._happen, event))
        self._at(0.0, self._report_loads)
        limit_ms = self._header.duration_ms * DRAIN_FACTOR
        while self._agenda and self._open:
            at_ms, _, action = heapq.heappop(self._agenda)
            if at_ms > limit_ms:
                break
            self._now_ms = at_ms
            action()
        self._drain_releases()
        return self._result()

    def _drain_releases(self) -> None:
        """Runs on until the last releases had time to be confirmed."""
        limit_ms = self._now_ms + MINUTE_MS
        while self._agenda and self._agenda[0][0] <= limit_ms:
            self._now_ms, _, action = heapq.heappop(self._agenda)
            action()

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._agenda, (at_ms, self._order, action))

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._at(self._now_ms + delay_ms, action)

    # Programs.

    def _start(self, row: trace.Program) -> None:
        plan = self._plans[self._header.organisations[row.organisation]]
        wall_ms = row.deadline_ms or plan.program_wall_ms
        tree = programs.ProgramTree(
            row, plan, self._now_ms, self._now_ms + wall_ms
        )
        self._trees.append(tree)
        self._next_turn(
            programs.AgentRun(
                ids.ProgramId(row.id), tree, row.turns, row.agents
            )
        )

    def _next_turn(self, strand: programs.AgentRun) -> None:
        tree = strand.tree
        if tree.end is not None:
            self._end_strand(strand)
        elif self._now_ms >= tree.deadline_ms:
            self._fail(strand, results.ProgramEnd.DEADLINE)
        elif (
            tree.used_calls >= tree.plan.program_calls
            or tree.used_tokens >= tree.plan.program_tokens
        ):
            self._fail(strand, results.ProgramEnd.BUDGET)
        else:
            self._admit(strand)

    def _admit(self, strand: programs.AgentRun) -> None:
        name = strand.organisation
        wait_ms = self._buckets[name].take(1, self._now_ms)
        if wait_ms > 0.0:
            if self._oracles[name].is_within_rate(self._now_ms):
                self._wrongful[name] += 1
            self._refuse(strand, wait_ms)
            return
        self._oracles[name].admit(self._now_ms)
        strand.refusals = 0
        strand.tree.used_calls += 1
        self._submit(strand, ())

    def _refuse(self, strand: programs.AgentRun, wait_ms: float) -> None:
        callers = self._parameters.callers
        self._refusals[strand.organisation] += 1
        strand.refusals += 1
        if strand.refusals > callers.refusals:
            self._fail(strand, results.ProgramEnd.REFUSED)
            return
        wait_ms = max(wait_ms, callers.retry_ms)
        wait_ms *= 1.0 + self._random.random()
        self._after(wait_ms, lambda: self._next_turn(strand))

    def _submit(
        self, strand: programs.AgentRun, excluded: tuple[ids.TargetId, ...]
    ) -> None:
        self._call_count += 1
        added, answered, _ = strand.current_turn
        call = pools.PoolCall(
            call=ids.CallId(f"c{self._call_count}"),
            organisation=strand.organisation,
            program=strand.program,
            turn=strand.completed_turns + 1,
            prompt_tokens=strand.context_tokens + added,
            max_tokens=answered * 2,
            attained_tokens=strand.attained_tokens,
            share=strand.tree.plan.share,
            deadline_ms=strand.tree.deadline_ms,
            digest="",
            excluded=excluded,
        )
        self._calls[call.call] = _Call(call, strand)
        self._scheduler.submit(call, self._now_ms)
        self._advance()

    def _answer(self, job: worker.Job) -> None:
        item = self._calls.pop(job.call)
        strand = item.strand
        name = strand.organisation
        self._wasted[name] += max(0, strand.context_tokens - job.cached_tokens)
        self._prompts[name] += job.prompt_tokens
        self._scheduler.finish(
            pools.CallReport(
                job.call,
                pools.CallEnd.DONE,
                job.cached_tokens,
                job.answer_tokens,
                job.first_token_ms - job.submitted_ms,
            ),
            self._now_ms,
        )
        used = job.tokens - job.cached_tokens
        strand.attained_tokens += used
        strand.context_tokens = job.tokens
        strand.tree.used_tokens += used
        strand.tree.turns += 1
        pause_ms = strand.current_turn[2]
        strand.completed_turns += 1
        if strand.is_finished:
            self._finish_strand(strand)
            return
        self._spawn(strand)
        if not strand.running_children:
            self._after(pause_ms, lambda: self._next_turn(strand))

    def _spawn(self, strand: programs.AgentRun) -> None:
        for number, agent in enumerate(strand.agents, start=1):
            if agent.after_turn != strand.completed_turns:
                continue
            strand.running_children += 1
            child = programs.AgentRun(
                ids.ProgramId(f"{strand.program}.{number}"),
                strand.tree,
                agent.turns,
                parent=strand,
            )
            self._after(0.0, functools.partial(self._next_turn, child))

    def _finish_strand(self, strand: programs.AgentRun) -> None:
        if strand.parent is None:
            self._end_tree(strand.tree, results.ProgramEnd.DONE)
        self._end_strand(strand)

    def _fail(self, strand: programs.AgentRun, end: results.ProgramEnd) -> None:
        if strand.tree.end is None:
            self._end_tree(strand.tree, end)
        self._end_strand(strand)

    def _end_tree(
        self, tree: programs.ProgramTree, end: results.ProgramEnd
    ) -> None:
        tree.end = end
        tree.end_ms = self._now_ms
        self._open -= 1

    def _end_strand(self, strand: programs.AgentRun) -> None:
        self._gone[strand.program] = self._now_ms
        self._scheduler.end_program(strand.program, self._now_ms)
        self._check_held(strand.program)
        self._advance()
        parent = strand.parent
        if parent is not None:
            parent.running_children -= 1
            if not parent.running_children:
                self._next_turn(parent)

    # Workers.

    def _advance(self) -> None:
        for action in self._scheduler.advance(self._now_ms):
            match action:
                case pools.Dispatch():
                    self._dispatch(action)
                case pools.Release():
                    self._after(
                        self._parameters.reports.release_ms,
                        functools.partial(self._release, action),
                    )
                case pools.Refuse():
                    strand = self._calls.pop(action.call).strand
                    if self._now_ms < strand.tree.deadline_ms:
                        self._wrongful[strand.organisation] += 1
                    self._refuse(strand, 0.0)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        wake_ms = self._scheduler.next_wake_ms(self._now_ms)
        if wake_ms is None:
            return
        wake_ms = max(wake_ms, self._now_ms)
        if self._wake_ms is None or wake_ms < self._wake_ms:
            self._wake_ms = wake_ms
            self._at(wake_ms, lambda: self._wake(wake_ms))

    def _wake(self, wake_ms: float) -> None:
        if self._wake_ms == wake_ms:
            self._wake_ms = None
            self._advance()

    def _dispatch(self, action: pools.Dispatch) -> None:
        item = self._calls[action.call]
        item.target = action.target
        found = self._workers[action.target]
        if not found.is_alive:
            self._after(
                self._parameters.reports.connect_fail_ms,
                lambda: self._fail_call(action.call),
            )
            return
        self._settle(found)
        found.submit(
            worker.Job(
                action.call,
                item.strand.program,
                item.pool_call.prompt_tokens,
                item.strand.current_turn[1],
                self._now_ms,
            ),
            self._now_ms,
        )
        self._plan_worker(found)

    def _settle(self, found: worker.Worker) -> None:
        """Moves a worker on to the present; its answers follow at once."""
        for job in found.advance(self._now_ms):
            self._after(0.0, functools.partial(self._answer, job))
        self._publish(found)

    def _plan_worker(self, found: worker.Worker) -> None:
        due_ms = found.next_event_ms()
        if due_ms is None:
            self._worker_due.pop(found.target, None)
            return
        if self._worker_due.get(found.target) == due_ms:
            return
        self._worker_due[found.target] = due_ms
        self._at(due_ms, lambda: self._worker_event(found, due_ms))

    def _worker_event(self, found: worker.Worker, due_ms: float) -> None:
        if self._worker_due.get(found.target) != due_ms:
            return
        del self._worker_due[found.target]
        self._settle(found)
        self._plan_worker(found)

    def _publish(self, found: worker.Worker) -> None:
        reports = self._parameters.reports
        for event in found.events:
            if self._random.random() < reports.cache_loss:
                continue
            spread_ms = self._random.random() * reports.cache_delay_spread_ms
            self._after(
                reports.cache_delay_ms + spread_ms,
                functools.partial(self._observe_cache, found, event),
            )
        found.events.clear()

    def _report_loads(self) -> None:
        reports = self._parameters.reports
        for found in self._workers.values():
            if not found.is_alive:
                continue
            report = dataclasses.replace(
                found.load(), age_ms=reports.load_lag_ms
            )
            inside = report.running / self._parameters.worker.batch_calls
            minute = int(self._now_ms // MINUTE_MS)
            self._busy_ms[minute] += inside * reports.load_period_ms
            self._after(
                reports.load_lag_ms,
                functools.partial(self._observe_load, found, report),
            )
        if self._open:
            self._after(reports.load_period_ms, self._report_loads)

    def _observe_load(
        self, found: worker.Worker, report: pools.LoadReport
    ) -> None:
        self._scheduler.observe_load(found.target, report, self._now_ms)
        self._advance()

    def _observe_cache(
        self, found: worker.Worker, event: pools.CacheEvent
    ) -> None:
        self._scheduler.observe_cache(found.target, [event], self._now_ms)

    def _release(self, action: pools.Release) -> None:
        found = self._workers[action.target]
        if not found.is_alive:
            return
        self._settle(found)
        if found.release(action.program):
            self._check_held(action.program)
            if self._random.random() >= self._parameters.reports.release_loss:
                self._scheduler.confirm_release(
                    action.target, action.program, self._now_ms
                )
                self._advance()

    def _check_held(self, program: ids.ProgramId) -> None:
        ended_ms = self._gone.get(program)
        if ended_ms is None or self._held(program):
            return
        del self._gone[program]
        held_ms = self._now_ms - ended_ms
        self._longest_held_ms = max(self._longest_held_ms, held_ms)

    def _held(self, program: ids.ProgramId) -> int:
        return sum(item.held_tokens(program) for item in self._workers.values())

    # Events of the trace.

    def _happen(self, event: trace.Event) -> None:
        match event:
            case trace.WorkerEvent():
                target = ids.TargetId(event.worker)
                self._change([self._workers[target]], event.change)
            case trace.PlaceEvent():
                found = [
                    item
                    for item in self._workers.values()
                    if item.failure_domain == event.place
                ]
                self._change(found, event.change)
            case trace.PlanEvent():
                self._change_plan(event)

    def _change(self, found: list[worker.Worker], change: trace.Change) -> None:
        for item in found:
            self._settle(item)
            if change is trace.Change.BACK:
                item.restart(self._now_ms)
                continue
            for job in item.fail():
                self._after(
                    self._parameters.reports.connect_fail_ms,
                    functools.partial(self._fail_call, job.call),
                )
        self._after(self._parameters.reports.roster_lag_ms, self._set_targets)

    def _fail_call(self, call: ids.CallId) -> None:
        item = self._calls.pop(call)
        self._scheduler.finish(
            pools.CallReport(call, pools.CallEnd.FAILED), self._now_ms
        )
        assert item.target is not None
        self._retries += 1
        excluded = (*item.pool_call.excluded, item.target)
        self._submit(item.strand, excluded)

    def _change_plan(self, event: trace.PlanEvent) -> None:
        plan = event.plan
        self._plans[plan.name] = plan
        for name, plan_name in self._header.organisations.items():
            if plan_name == plan.name:
                self._buckets[name].reconfigure(
                    plan.rate_per_s, plan.burst, self._now_ms
                )
                self._oracles[name].reconfigure(
                    plan.rate_per_s, plan.burst, self._now_ms
                )

    def _set_targets(self) -> None:
        self._scheduler.set_targets(
            [
                pools.TargetInfo(
                    item.target,
                    f"worker:{item.target}",
                    item.failure_domain,
                    pools.TargetState.LIVE,
                    self._header.worker_calls,
                )
                for item in self._workers.values()
                if item.is_alive
            ],
            self._now_ms,
        )
        self._advance()

    def _result(self) -> results.RunResult:
        names = sorted(self._header.organisations)
        capacity_ms = len(self._workers) * MINUTE_MS
        return results.RunResult(
            trace=self._header.name,
            policy=self._policy,
            programs=tuple(self._program_result(t) for t in self._trees),
            prompt_tokens={name: self._prompts[name] for name in names},
            wasted_tokens={name: self._wasted[name] for name in names},
            refusals={name: self._refusals[name] for name in names},
            wrongful_refusals={name: self._wrongful[name] for name in names},
            longest_held_ms=self._longest_held_ms,
            held_tokens=sum(self._held(name) for name in self._gone),
            retries=self._retries,
            decisions=self._call_count,
            peak_utilisation=max(self._busy_ms.values(), default=0.0)
            / capacity_ms,
        )

    def _program_result(
        self, tree: programs.ProgramTree
    ) -> results.ProgramResult:
        ended = tree.end is not None
        return results.ProgramResult(
            program=tree.row.id,
            organisation=tree.row.organisation,
            start_ms=tree.start_ms,
            end_ms=tree.end_ms if ended else self._now_ms,
            unloaded_latency_ms=programs.unloaded_latency_ms(
                tree.row, self._parameters.worker
            ),
            end=tree.end or results.ProgramEnd.UNFINISHED,
            turns=tree.turns,
            loop=tree.row.loop,
        )
