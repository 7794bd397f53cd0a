"""Replays a trace on simulated workers with a virtual clock."""

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
    """A call of an agent that is queued or running.

    Attributes:
        pool_call: The call as it was submitted to the scheduler.
        agent_run: The run of the agent that waits for it.
        target: The target that it was dispatched to, or None while it is
            queued.
    """

    pool_call: pools.PoolCall
    agent_run: programs.AgentRun
    target: ids.TargetId | None = None


class Replay:
    """A discrete-event simulation of one trace with one scheduler."""

    def __init__(
        self,
        source: trace.Trace,
        settings: parameters.Parameters,
        policy: str,
        scheduler: pools.Scheduler,
    ) -> None:
        """Creates a replay, which can be run once.

        Args:
            source: The trace.
            settings: Parameters of the workers and callers.
            policy: Name of the scheduling policy, for the result.
            scheduler: A new scheduler of this policy.
        """
        self._trace = source
        self._header = source.header
        self._parameters = settings
        self._policy = policy
        self._scheduler = scheduler
        self._now_ms = 0.0
        self._sequence = 0
        self._event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._random = random.Random(settings.seed)
        self._calls: dict[ids.CallId, _Call] = {}
        self._call_count = 0
        self._open_programs = len(source.programs)
        self._trees: list[programs.ProgramTree] = []
        self._wake_ms: float | None = None
        self._plans = {plan.name: plan for plan in self._header.plans}
        self._workers = {
            ids.TargetId(item.id): worker.Worker(
                ids.TargetId(item.id),
                ids.FailureDomainId(item.place),
                settings.worker,
            )
            for item in self._header.workers
        }
        self._worker_due_ms: dict[ids.TargetId, float] = {}
        self._buckets: dict[str, bucket.TokenBucket] = {}
        self._oracles: dict[str, admission.RateOracle] = {}
        self._wasted_tokens: collections.Counter[str] = collections.Counter()
        self._prompt_tokens: collections.Counter[str] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._wrongful_refusals: collections.Counter[str] = (
            collections.Counter()
        )
        self._ended: dict[ids.ProgramId, float] = {}
        self._longest_held_ms = 0.0
        self._retries = 0
        self._busy_ms: dict[int, float] = collections.defaultdict(float)

    def run(self) -> results.RunResult:
        """Runs the replay until all programs have ended or time is up."""
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
            self._schedule_at(row.at_ms, functools.partial(self._start, row))
        for event in self._trace.events:
            self._schedule_at(
                event.at_ms, functools.partial(self._apply_event, event)
            )
        self._schedule_at(0.0, self._report_loads)
        limit_ms = self._header.duration_ms * DRAIN_FACTOR
        while self._event_queue and self._open_programs:
            at_ms, _, action = heapq.heappop(self._event_queue)
            if at_ms > limit_ms:
                break
            self._now_ms = at_ms
            action()
        self._drain_releases()
        return self._result()

    def _drain_releases(self) -> None:
        """Runs for one more minute, so that the last releases are confirmed."""
        limit_ms = self._now_ms + MINUTE_MS
        while self._event_queue and self._event_queue[0][0] <= limit_ms:
            self._now_ms, _, action = heapq.heappop(self._event_queue)
            action()

    def _schedule_at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._event_queue, (at_ms, self._sequence, action))

    def _schedule_after(
        self, delay_ms: float, action: Callable[[], None]
    ) -> None:
        self._schedule_at(self._now_ms + delay_ms, action)

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

    def _next_turn(self, agent_run: programs.AgentRun) -> None:
        tree = agent_run.tree
        if tree.end is not None:
            self._end_agent(agent_run)
        elif self._now_ms >= tree.deadline_ms:
            self._fail(agent_run, results.ProgramEnd.DEADLINE)
        elif (
            tree.used_calls >= tree.plan.program_calls
            or tree.used_tokens >= tree.plan.program_tokens
        ):
            self._fail(agent_run, results.ProgramEnd.BUDGET)
        else:
            self._admit(agent_run)

    def _admit(self, agent_run: programs.AgentRun) -> None:
        name = agent_run.organisation
        wait_ms = self._buckets[name].take(1, self._now_ms)
        if wait_ms > 0.0:
            if self._oracles[name].is_within_rate(self._now_ms):
                self._wrongful_refusals[name] += 1
            self._refuse(agent_run, wait_ms)
            return
        self._oracles[name].admit(self._now_ms)
        agent_run.refusals = 0
        agent_run.tree.used_calls += 1
        self._submit(agent_run, ())

    def _refuse(self, agent_run: programs.AgentRun, wait_ms: float) -> None:
        callers = self._parameters.callers
        self._refusals[agent_run.organisation] += 1
        agent_run.refusals += 1
        if agent_run.refusals > callers.refusals:
            self._fail(agent_run, results.ProgramEnd.REFUSED)
            return
        wait_ms = max(wait_ms, callers.retry_ms)
        wait_ms *= 1.0 + self._random.random()
        self._schedule_after(wait_ms, lambda: self._next_turn(agent_run))

    def _submit(
        self, agent_run: programs.AgentRun, excluded: tuple[ids.TargetId, ...]
    ) -> None:
        self._call_count += 1
        added, answered, _ = agent_run.current_turn
        call = pools.PoolCall(
            call=ids.CallId(f"c{self._call_count}"),
            organisation=agent_run.organisation,
            program=agent_run.program,
            turn=agent_run.completed_turns + 1,
            prompt_tokens=agent_run.context_tokens + added,
            max_tokens=answered * 2,
            attained_tokens=agent_run.attained_tokens,
            share=agent_run.tree.plan.share,
            deadline_ms=agent_run.tree.deadline_ms,
            digest="",
            excluded=excluded,
        )
        self._calls[call.call] = _Call(call, agent_run)
        self._scheduler.submit(call, self._now_ms)
        self._advance()

    def _answer(self, job: worker.Job) -> None:
        item = self._calls.pop(job.call)
        agent_run = item.agent_run
        name = agent_run.organisation
        self._wasted_tokens[name] += max(
            0, agent_run.context_tokens - job.cached_tokens
        )
        self._prompt_tokens[name] += job.prompt_tokens
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
        agent_run.attained_tokens += used
        agent_run.context_tokens = job.tokens
        agent_run.tree.used_tokens += used
        agent_run.tree.turns += 1
        pause_ms = agent_run.current_turn[2]
        agent_run.completed_turns += 1
        if agent_run.is_finished:
            self._complete_agent(agent_run)
            return
        self._spawn(agent_run)
        if not agent_run.running_children:
            self._schedule_after(pause_ms, lambda: self._next_turn(agent_run))

    def _spawn(self, agent_run: programs.AgentRun) -> None:
        for number, agent in enumerate(agent_run.agents, start=1):
            if agent.after_turn != agent_run.completed_turns:
                continue
            agent_run.running_children += 1
            child = programs.AgentRun(
                ids.ProgramId(f"{agent_run.program}.{number}"),
                agent_run.tree,
                agent.turns,
                parent=agent_run,
            )
            self._schedule_after(0.0, functools.partial(self._next_turn, child))

    def _complete_agent(self, agent_run: programs.AgentRun) -> None:
        if agent_run.parent is None:
            self._end_tree(agent_run.tree, results.ProgramEnd.DONE)
        self._end_agent(agent_run)

    def _fail(
        self, agent_run: programs.AgentRun, end: results.ProgramEnd
    ) -> None:
        if agent_run.tree.end is None:
            self._end_tree(agent_run.tree, end)
        self._end_agent(agent_run)

    def _end_tree(
        self, tree: programs.ProgramTree, end: results.ProgramEnd
    ) -> None:
        tree.end = end
        tree.end_ms = self._now_ms
        self._open_programs -= 1

    def _end_agent(self, agent_run: programs.AgentRun) -> None:
        self._ended[agent_run.program] = self._now_ms
        self._scheduler.end_program(agent_run.program, self._now_ms)
        self._check_held(agent_run.program)
        self._advance()
        parent = agent_run.parent
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
                    self._schedule_after(
                        self._parameters.reports.release_ms,
                        functools.partial(self._release, action),
                    )
                case pools.Refuse():
                    agent_run = self._calls.pop(action.call).agent_run
                    if self._now_ms < agent_run.tree.deadline_ms:
                        self._wrongful_refusals[agent_run.organisation] += 1
                    self._refuse(agent_run, 0.0)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        wake_ms = self._scheduler.next_wake_ms(self._now_ms)
        if wake_ms is None:
            return
        wake_ms = max(wake_ms, self._now_ms)
        if self._wake_ms is None or wake_ms < self._wake_ms:
            self._wake_ms = wake_ms
            self._schedule_at(wake_ms, lambda: self._wake(wake_ms))

    def _wake(self, wake_ms: float) -> None:
        if self._wake_ms == wake_ms:
            self._wake_ms = None
            self._advance()

    def _dispatch(self, action: pools.Dispatch) -> None:
        item = self._calls[action.call]
        item.target = action.target
        simulated = self._workers[action.target]
        if not simulated.is_alive:
            self._schedule_after(
                self._parameters.reports.connect_fail_ms,
                lambda: self._fail_call(action.call),
            )
            return
        self._advance_worker(simulated)
        simulated.submit(
            worker.Job(
                action.call,
                item.agent_run.program,
                item.pool_call.prompt_tokens,
                item.agent_run.current_turn[1],
                self._now_ms,
            ),
            self._now_ms,
        )
        self._schedule_worker(simulated)

    def _advance_worker(self, simulated: worker.Worker) -> None:
        """Advances a worker to the current time and schedules its answers."""
        for job in simulated.advance(self._now_ms):
            self._schedule_after(0.0, functools.partial(self._answer, job))
        self._send_cache_events(simulated)

    def _schedule_worker(self, simulated: worker.Worker) -> None:
        due_ms = simulated.next_event_ms()
        if due_ms is None:
            self._worker_due_ms.pop(simulated.target, None)
            return
        if self._worker_due_ms.get(simulated.target) == due_ms:
            return
        self._worker_due_ms[simulated.target] = due_ms
        self._schedule_at(due_ms, lambda: self._run_worker(simulated, due_ms))

    def _run_worker(self, simulated: worker.Worker, due_ms: float) -> None:
        if self._worker_due_ms.get(simulated.target) != due_ms:
            return
        del self._worker_due_ms[simulated.target]
        self._advance_worker(simulated)
        self._schedule_worker(simulated)

    def _send_cache_events(self, simulated: worker.Worker) -> None:
        reports = self._parameters.reports
        for event in simulated.events:
            if self._random.random() < reports.cache_loss:
                continue
            spread_ms = self._random.random() * reports.cache_delay_spread_ms
            self._schedule_after(
                reports.cache_delay_ms + spread_ms,
                functools.partial(self._observe_cache, simulated, event),
            )
        simulated.events.clear()

    def _report_loads(self) -> None:
        reports = self._parameters.reports
        for simulated in self._workers.values():
            if not simulated.is_alive:
                continue
            report = dataclasses.replace(
                simulated.load(), age_ms=reports.load_lag_ms
            )
            utilisation = report.running / self._parameters.worker.batch_calls
            minute = int(self._now_ms // MINUTE_MS)
            self._busy_ms[minute] += utilisation * reports.load_period_ms
            self._schedule_after(
                reports.load_lag_ms,
                functools.partial(self._observe_load, simulated, report),
            )
        if self._open_programs:
            self._schedule_after(reports.load_period_ms, self._report_loads)

    def _observe_load(
        self, simulated: worker.Worker, report: pools.LoadReport
    ) -> None:
        self._scheduler.observe_load(simulated.target, report, self._now_ms)
        self._advance()

    def _observe_cache(
        self, simulated: worker.Worker, event: pools.CacheEvent
    ) -> None:
        self._scheduler.observe_cache(simulated.target, [event], self._now_ms)

    def _release(self, action: pools.Release) -> None:
        simulated = self._workers[action.target]
        if not simulated.is_alive:
            return
        self._advance_worker(simulated)
        if simulated.release(action.program):
            self._check_held(action.program)
            if self._random.random() >= self._parameters.reports.release_loss:
                self._scheduler.confirm_release(
                    action.target, action.program, self._now_ms
                )
                self._advance()

    def _check_held(self, program: ids.ProgramId) -> None:
        ended_ms = self._ended.get(program)
        if ended_ms is None or self._held_tokens(program):
            return
        del self._ended[program]
        held_ms = self._now_ms - ended_ms
        self._longest_held_ms = max(self._longest_held_ms, held_ms)

    def _held_tokens(self, program: ids.ProgramId) -> int:
        return sum(item.held_tokens(program) for item in self._workers.values())

    # Events of the trace.

    def _apply_event(self, event: trace.Event) -> None:
        match event:
            case trace.WorkerEvent():
                target = ids.TargetId(event.worker)
                self._change_workers([self._workers[target]], event.change)
            case trace.PlaceEvent():
                workers = [
                    item
                    for item in self._workers.values()
                    if item.failure_domain == event.place
                ]
                self._change_workers(workers, event.change)
            case trace.PlanEvent():
                self._change_plan(event)

    def _change_workers(
        self, workers: list[worker.Worker], change: trace.Change
    ) -> None:
        for item in workers:
            self._advance_worker(item)
            if change is trace.Change.BACK:
                item.restart(self._now_ms)
                continue
            for job in item.fail():
                self._schedule_after(
                    self._parameters.reports.connect_fail_ms,
                    functools.partial(self._fail_call, job.call),
                )
        self._schedule_after(
            self._parameters.reports.roster_lag_ms, self._set_targets
        )

    def _fail_call(self, call: ids.CallId) -> None:
        item = self._calls.pop(call)
        self._scheduler.finish(
            pools.CallReport(call, pools.CallEnd.FAILED), self._now_ms
        )
        assert item.target is not None
        self._retries += 1
        excluded = (*item.pool_call.excluded, item.target)
        self._submit(item.agent_run, excluded)

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
            prompt_tokens={name: self._prompt_tokens[name] for name in names},
            wasted_tokens={name: self._wasted_tokens[name] for name in names},
            refusals={name: self._refusals[name] for name in names},
            wrongful_refusals={
                name: self._wrongful_refusals[name] for name in names
            },
            longest_held_ms=self._longest_held_ms,
            held_tokens=sum(self._held_tokens(name) for name in self._ended),
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
