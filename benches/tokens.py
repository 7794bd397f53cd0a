"""CPU time of a host per token that it forwards."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import uvloop

from benches import fleet as fleet_lib
from benches import report, standins

WORDS = (10, 200)
ANSWERS = 100
CALLERS = 8
TARGET_TOKENS_PER_S = 14_000_000
TARGET_HOSTS = 920
MAX_PROGRAMS = 50


def main() -> None:
    """Prints the CPU time per token at the home host and the entry host."""
    with fleet_lib.BenchFleet(hosts=2) as fleet:
        uvloop.run(_bench(fleet))


async def _bench(fleet: fleet_lib.BenchFleet) -> None:
    async with aiohttp.ClientSession(
        headers={"Authorization": f"Bearer {fleet.key()}"}
    ) as session:
        same_host = [await _run(session, fleet, words, []) for words in WORDS]
        _print("entry and home in one host", same_host, 0)
        programs = await _programs_at(session, fleet, "h2")
        separate_hosts = [
            await _run(session, fleet, words, programs) for words in WORDS
        ]
        _print("entry host", separate_hosts, 0)
        _print("home host", separate_hosts, 1)


def _print(what: str, costs: list[list[float]], index: int) -> None:
    token_ms = (costs[1][index] - costs[0][index]) / (WORDS[1] - WORDS[0])
    report.print_figure(f"{what}: for each token", token_ms * 1000, "us")
    tokens_per_s = TARGET_TOKENS_PER_S / TARGET_HOSTS
    share = token_ms / 1000 * tokens_per_s
    report.print_figure(
        f"{what}: at the target's tokens a host", share, "cores"
    )


async def _run(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.BenchFleet,
    words: int,
    programs: list[str],
) -> list[float]:
    body: dict[str, Any] = {
        "model": standins.MODEL,
        "messages": [{"role": "user", "content": "word " * words}],
        "max_tokens": words + 10,
        "stream": True,
    }
    remaining = iter(range(ANSWERS))

    async def caller(number: int) -> None:
        for _ in remaining:
            headers = {}
            if programs:
                program = programs[number]
                next_turn = await _next_turn(session, fleet, program)
                headers = {
                    "Mangotally-Program": program,
                    "Mangotally-Turn": str(next_turn),
                }
            async with session.post(
                f"{fleet.url('h1')}/v1/chat/completions",
                json=body,
                headers=headers,
            ) as response:
                text = await response.text()
                if not text.endswith("data: [DONE]\n\n"):
                    raise RuntimeError(f"{response.status}: {text[-300:]}")

    before = [fleet.usage(name).cpu_ms for name in ("h1", "h2")]
    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    after = [fleet.usage(name).cpu_ms for name in ("h1", "h2")]
    return [
        (end - start) / ANSWERS
        for start, end in zip(before, after, strict=True)
    ]


async def _next_turn(
    session: aiohttp.ClientSession, fleet: fleet_lib.BenchFleet, program: str
) -> int:
    url = f"{fleet.url('h1')}/v1/programs/{program}"
    async with session.get(url) as response:
        return int((await response.json())["turns"]) + 1


async def _programs_at(
    session: aiohttp.ClientSession, fleet: fleet_lib.BenchFleet, host: str
) -> list[str]:
    next_turn: list[str] = []
    for _ in range(MAX_PROGRAMS):
        before = fleet.dump(host)["programs"]["programs"]
        async with session.post(
            f"{fleet.url('h1')}/v1/programs", json={"service": standins.MODEL}
        ) as response:
            program = str((await response.json())["program_id"])
        if fleet.dump(host)["programs"]["programs"] > before:
            next_turn.append(program)
        if len(next_turn) == CALLERS:
            return next_turn
    raise RuntimeError("too few programs with that home")


if __name__ == "__main__":
    main()
