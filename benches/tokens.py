"""Processor time of a host for each token that it passes on."""

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
    """Prints processor time for each token, at home and at the entry."""
    with fleet_lib.BenchFleet(hosts=2) as fleet:
        uvloop.run(_bench(fleet))


async def _bench(fleet: fleet_lib.BenchFleet) -> None:
    async with aiohttp.ClientSession(
        headers={"Authorization": f"Bearer {fleet.key()}"}
    ) as session:
        alone = [await _run(session, fleet, words, []) for words in WORDS]
        _print("entry and home in one host", alone, 0)
        programs = await _programs_at(session, fleet, "h2")
        split = [await _run(session, fleet, words, programs) for words in WORDS]
        _print("entry host", split, 0)
        _print("home host", split, 1)


def _print(what: str, costs: list[list[float]], index: int) -> None:
    rise_ms = (costs[1][index] - costs[0][index]) / (WORDS[1] - WORDS[0])
    report.line(f"{what}: for each token", rise_ms * 1000, "us")
    tokens_per_s = TARGET_TOKENS_PER_S / TARGET_HOSTS
    share = rise_ms / 1000 * tokens_per_s
    report.line(f"{what}: at the target's tokens a host", share, "cores")


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
    left = iter(range(ANSWERS))

    async def caller(number: int) -> None:
        for _ in left:
            headers = {}
            if programs:
                program = programs[number]
                found = await _next_turn(session, fleet, program)
                headers = {
                    "Mangotally-Program": program,
                    "Mangotally-Turn": str(found),
                }
            async with session.post(
                f"{fleet.url('h1')}/v1/chat/completions",
                json=body,
                headers=headers,
            ) as response:
                text = await response.text()
                if not text.endswith("data: [DONE]\n\n"):
                    raise RuntimeError(f"{response.status}: {text[-300:]}")

    before = [fleet.cost(name).cpu_ms for name in ("h1", "h2")]
    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    after = [fleet.cost(name).cpu_ms for name in ("h1", "h2")]
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
    found: list[str] = []
    for _ in range(MAX_PROGRAMS):
        before = fleet.dump(host)["programs"]["programs"]
        async with session.post(
            f"{fleet.url('h1')}/v1/programs", json={"service": standins.MODEL}
        ) as response:
            program = str((await response.json())["program_id"])
        if fleet.dump(host)["programs"]["programs"] > before:
            found.append(program)
        if len(found) == CALLERS:
            return found
    raise RuntimeError("too few programs with that home")


if __name__ == "__main__":
    main()
