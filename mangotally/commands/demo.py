"""Replays part of both deployments' traces over HTTP on the loopback."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import sys
import time
from typing import Any

import aiohttp

from mangotally.commands import local
from mangotally.commands import replay as replay_command
from mangotally.replay import admission, results, trace

HOSTS = 3
SPEEDUP = 8.0
START_MS = 300_000
WINDOW_MS = 120_000
SAMPLING_INTERVAL = 3
TIME_LIMIT_S = 26.0
MAX_ATTEMPTS = 20
MAX_RETRY_DELAY_S = 2.0
CHARS_PER_TOKEN = 4
MAX_PROMPT_TOKENS = 300
MAX_ANSWER_TOKENS = 24
DEPOSIT_INTERVAL = 3
PROGRESS_INTERVAL = 10
MS_PER_S = 1000.0
DEPLOYMENTS = ("tornos-norte", "lakeshore")
WORD = "vane"
HEADER = (
    f"{'organisation':<20}{'programs':>9}{'p50 ms':>9}{'p99 ms':>9}"
    f"{'worst min ms':>13}{'wasted tokens':>14}{'refused':>8}"
    f"{'wrongful':>9}{'lost':>6}"
)


@dataclasses.dataclass
class _Tally:
    """The results of an organisation's programs."""

    oracle: admission.RateOracle
    programs: list[results.ProgramResult] = dataclasses.field(
        default_factory=list
    )
    wasted_tokens: int = 0
    refusals: int = 0
    wrongful_refusals: int = 0
    lost: int = 0


class _RefusedError(Exception):
    """A call was refused on every attempt; its program is lost."""


async def run() -> bool:
    """Runs both deployments and prints their tables.

    Returns:
        Whether no program was lost and no refusal was wrongful.
    """
    is_successful = True
    for deployment in DEPLOYMENTS:
        async with local.LocalFleet(deployment, HOSTS) as fleet:
            demo = Demo(deployment, fleet)
            await demo.run()
        demo.print_table()
        is_successful = is_successful and demo.is_successful
    return is_successful


class Demo:
    """Replays part of the trace of one deployment."""

    def __init__(self, deployment: str, fleet: local.LocalFleet) -> None:
        """Selects the programs to replay on a fleet that is already serving."""
        self._name = deployment
        self._fleet = fleet
        source = replay_command.load(f"{deployment}-ordinary").unwrap()
        self._service = source.trace.header.service
        deployment_settings = fleet.platform.deployment
        self._plain_service = deployment_settings.groups[1].service
        end_ms = START_MS + WINDOW_MS
        self._rows = [
            row
            for row in source.trace.programs
            if START_MS <= row.at_ms < end_ms
        ][::SAMPLING_INTERVAL]
        plans = {plan.name: plan for plan in deployment_settings.uses.plans}
        self._tallies = {
            item.id: _Tally(
                admission.RateOracle(
                    plans[item.plan].rate_per_s, plans[item.plan].burst - 1
                )
            )
            for item in deployment_settings.plans.organisations
        }
        self._ended_programs = 0

    @property
    def is_successful(self) -> bool:
        """Whether no program was lost and no refusal was wrongful."""
        return not any(
            tally.lost or tally.wrongful_refusals
            for tally in self._tallies.values()
        )

    async def run(self) -> None:
        """Runs all programs; those that exceed the time limit count as lost."""
        async with aiohttp.ClientSession() as session:
            tasks = [
                asyncio.create_task(self._run_program(session, number, row))
                for number, row in enumerate(self._rows)
            ]
            _, late = await asyncio.wait(tasks, timeout=TIME_LIMIT_S)
            for task in late:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task, row in zip(tasks, self._rows, strict=True):
            if task.cancelled() or task.exception() is not None:
                self._tallies[row.organisation].lost += 1

    def print_table(self) -> None:
        """Prints a table row for each organisation."""
        print(f"{self._name}, {SPEEDUP:.0f} times as fast as recorded")
        print(HEADER)
        for name, tally in self._tallies.items():
            latencies = [item.latency_ms for item in tally.programs]
            print(
                f"{name:<20}{len(latencies):>9}"
                f"{results.percentile(latencies, 50.0):>9.0f}"
                f"{results.percentile(latencies, 99.0):>9.0f}"
                f"{results.worst_minute_ms(tally.programs):>13.0f}"
                f"{tally.wasted_tokens:>14}{tally.refusals:>8}"
                f"{tally.wrongful_refusals:>9}{tally.lost:>6}"
            )
        print(flush=True)

    async def _run_program(
        self,
        session: aiohttp.ClientSession,
        number: int,
        row: trace.Program,
    ) -> None:
        await asyncio.sleep((row.at_ms - START_MS) / SPEEDUP / MS_PER_S)
        caller = _Caller(self, session, row.organisation, number)
        started_s = time.monotonic()
        body = {"service": self._service}
        opened = await caller.call("POST", "/v1/programs", body)
        program = str(opened["program_id"])
        await caller.call("GET", f"/services/{self._plain_service}/slots", None)
        context = 0
        for turn, (prompt_tokens, answer_tokens, pause_ms) in enumerate(
            row.turns, start=1
        ):
            usage = await self._run_turn(
                caller, program, turn, prompt_tokens, answer_tokens
            )
            cached = usage["prompt_tokens_details"]["cached_tokens"]
            tally = self._tallies[row.organisation]
            tally.wasted_tokens += max(0, context - cached)
            context = usage["prompt_tokens"] + usage["completion_tokens"]
            if turn < len(row.turns):
                await asyncio.sleep(pause_ms / SPEEDUP / MS_PER_S)
        if number % DEPOSIT_INTERVAL == 0:
            await caller.call(
                "POST",
                f"/services/{self._plain_service}/deposits",
                {"slot": number},
                {"Idempotency-Key": f"deposit-{number}"},
            )
        latency_ms = (time.monotonic() - started_s) * MS_PER_S
        await caller.call("DELETE", f"/v1/programs/{program}", None)
        self._record_program(row, latency_ms)

    async def _run_turn(
        self,
        caller: _Caller,
        program: str,
        turn: int,
        prompt_tokens: int,
        answer_tokens: int,
    ) -> dict[str, Any]:
        tokens = min(prompt_tokens, MAX_PROMPT_TOKENS)
        words = tokens * CHARS_PER_TOKEN // (len(WORD) + 1)
        body = {
            "model": self._service,
            "messages": [
                {"role": "user", "content": " ".join([WORD] * max(1, words))}
            ],
            "max_tokens": min(answer_tokens, MAX_ANSWER_TOKENS),
        }
        headers = {"Mangotally-Program": program, "Mangotally-Turn": str(turn)}
        answer = await caller.call(
            "POST", "/v1/chat/completions", body, headers
        )
        usage: dict[str, Any] = answer["usage"]
        return usage

    def _record_program(self, row: trace.Program, latency_ms: float) -> None:
        self._tallies[row.organisation].programs.append(
            results.ProgramResult(
                program=row.id,
                organisation=row.organisation,
                start_ms=row.at_ms,
                end_ms=row.at_ms + latency_ms,
                unloaded_latency_ms=0.0,
                end=results.ProgramEnd.DONE,
                turns=len(row.turns),
            )
        )
        self._ended_programs += 1
        if (
            self._ended_programs % PROGRESS_INTERVAL == 0
            or self._ended_programs == len(self._rows)
        ):
            done = f"{self._ended_programs}/{len(self._rows)} programs"
            print(f"{self._name}: {done}", file=sys.stderr, flush=True)


class _Caller:
    """A program's caller, which rotates over the hosts and retries refusals."""

    def __init__(
        self,
        demo: Demo,
        session: aiohttp.ClientSession,
        organisation: str,
        number: int,
    ) -> None:
        platform = demo._fleet.platform
        keys = {str(name): key for name, (_, key) in platform.keys.items()}
        self._headers = {"Authorization": f"Bearer {keys[organisation]}"}
        self._entries = collections.deque(demo._fleet.entry_urls())
        self._entries.rotate(number)
        self._session = session
        self._tally = demo._tallies[organisation]

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Returns the response body; waits and retries if refused."""
        for _ in range(MAX_ATTEMPTS):
            self._entries.rotate(1)
            async with self._session.request(
                method,
                self._entries[0] + path,
                json=body,
                headers=self._headers | (headers or {}),
            ) as response:
                text = await response.text()
                if response.ok:
                    self._tally.oracle.admit(_now_ms())
                    if "json" not in response.content_type:
                        return {}
                    answer: dict[str, Any] = await response.json()
                    return answer
                self._count_refusal(response.status)
                wait_s = float(response.headers.get("Retry-After", "1"))
            await asyncio.sleep(min(wait_s, MAX_RETRY_DELAY_S))
        raise _RefusedError(f"{method} {path}: {text}")

    def _count_refusal(self, status: int) -> None:
        self._tally.refusals += 1
        is_over_rate = not self._tally.oracle.is_within_rate(_now_ms())
        if status != 429 or not is_over_rate:
            self._tally.wrongful_refusals += 1


def _now_ms() -> float:
    return time.monotonic() * MS_PER_S
