"""A short run of both deployments, with a table per organisation."""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from typing import Any

import aiohttp

from mangotally.commands import local

HOSTS = 3
PROGRAMS = 2
TURNS = 3
MS_PER_S = 1000


async def run() -> None:
    """Runs both deployments and prints their tables."""
    for deployment in ("tornos-norte", "lakeshore"):
        async with local.LocalFleet(deployment, HOSTS) as fleet:
            rows = await _run_all(fleet)
        _print_table(deployment, rows)


async def _run_all(fleet: local.LocalFleet) -> dict[str, list[float]]:
    service = fleet.platform.deployment.groups[0].service
    rows: dict[str, list[float]] = {}
    async with aiohttp.ClientSession() as session:
        for organisation, (_, key) in fleet.platform.keys.items():
            headers = {"Authorization": f"Bearer {key}"}
            jobs = [
                _run_program(session, fleet.entries(), headers, service)
                for _ in range(PROGRAMS)
            ]
            rows[organisation] = await asyncio.gather(*jobs)
            print(".", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    return rows


async def _run_program(
    session: aiohttp.ClientSession,
    entries: list[str],
    headers: dict[str, str],
    service: str,
) -> float:
    started_s = time.monotonic()
    async with session.post(
        f"{entries[0]}/v1/programs", json={"service": service}, headers=headers
    ) as response:
        response.raise_for_status()
        program = (await response.json())["program_id"]
    for turn in range(1, TURNS + 1):
        body: dict[str, Any] = {
            "model": service,
            "messages": [{"role": "user", "content": f"question {turn}"}],
        }
        turn_headers = headers | {
            "Mangotally-Program": program,
            "Mangotally-Turn": str(turn),
        }
        async with session.post(
            f"{entries[turn % len(entries)]}/v1/chat/completions",
            json=body,
            headers=turn_headers,
        ) as response:
            response.raise_for_status()
            await response.json()
    return (time.monotonic() - started_s) * MS_PER_S


def _print_table(deployment: str, rows: dict[str, list[float]]) -> None:
    print(f"{deployment}\n{'organisation':<20}{'programs':>10}{'p50 ms':>10}")
    for organisation, latencies_ms in rows.items():
        middle_ms = statistics.median(latencies_ms)
        print(f"{organisation:<20}{len(latencies_ms):>10}{middle_ms:>10.1f}")
