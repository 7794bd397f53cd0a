"""Throughput of one host, and the latency that it adds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import uvloop

from benches import fleet as fleet_lib
from benches import report, standins

CALLS = 3000
WARM_UP_CALLS = 300
CALLERS = 16
ADDED_P99_LIMIT_MS = 3.0
_BODY = {
    "model": standins.MODEL,
    "messages": [{"role": "user", "content": "x" * 500}],
    "max_tokens": 8,
    "stream": True,
}
Send = Callable[[], Awaitable[None]]


def main() -> None:
    """Prints rates and latencies, direct and through one host."""
    with fleet_lib.BenchFleet(hosts=1) as fleet:
        uvloop.run(_bench(fleet))


async def _bench(fleet: fleet_lib.BenchFleet) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        send_direct = _sender(session, fleet.ready["engines"][0], "")
        send_through_host = _sender(session, fleet.url("h1"), fleet.key())
        send_turn = await _program_sender(session, fleet)
        await _closed_loop(send_direct, WARM_UP_CALLS)
        await _closed_loop(send_through_host, WARM_UP_CALLS)
        max_per_s = await _closed_loop(send_through_host, CALLS)
        max_turns_per_s = await _closed_loop(send_turn, CALLS)
        before = fleet.usage("h1")
        half_per_s = max_per_s / 2
        direct_ms = await _open_loop(send_direct, CALLS, half_per_s)
        through_ms = await _open_loop(send_through_host, CALLS, half_per_s)
        used_ms = fleet.usage("h1").cpu_ms - before.cpu_ms
        programs_ms = await _open_loop(send_turn, CALLS, max_turns_per_s / 2)
    report.print_figure("calls without program, top", max_per_s, "1/s")
    report.print_figure("turns of programs, top", max_turns_per_s, "1/s")
    report.print_figure("host processor time per call", used_ms / CALLS, "ms")
    for name, times_ms in (
        ("direct", direct_ms),
        ("through host", through_ms),
        ("through host, turns", programs_ms),
    ):
        for share in (0.5, 0.99):
            label = f"{name} p{share * 100:.0f} at half load"
            report.print_figure(label, report.quantile(times_ms, share), "ms")
    for share in (0.5, 0.99):
        added_ms = report.quantile(through_ms, share) - report.quantile(
            direct_ms, share
        )
        limit = ADDED_P99_LIMIT_MS if share > 0.9 else None
        report.print_figure(f"added p{share * 100:.0f}", added_ms, "ms", limit)


def _sender(session: aiohttp.ClientSession, url: str, key: str) -> Send:
    async def send() -> None:
        async with session.post(
            f"{url}/v1/chat/completions",
            json=_BODY,
            headers={"Authorization": f"Bearer {key}"} if key else {},
        ) as response:
            text = await response.text()
            if not text.endswith("data: [DONE]\n\n"):
                raise RuntimeError(f"{response.status}: {text[-300:]}")

    return send


async def _program_sender(
    session: aiohttp.ClientSession, fleet: fleet_lib.BenchFleet
) -> Send:
    headers = {"Authorization": f"Bearer {fleet.key()}"}
    url = fleet.url("h1")

    async def send() -> None:
        async with session.post(
            f"{url}/v1/programs",
            json={"service": standins.MODEL},
            headers=headers,
        ) as response:
            response.raise_for_status()
            program = (await response.json())["program_id"]
        turn = {"Mangotally-Program": program, "Mangotally-Turn": "1"}
        async with session.post(
            f"{url}/v1/chat/completions", json=_BODY, headers=headers | turn
        ) as response:
            text = await response.text()
            if not text.endswith("data: [DONE]\n\n"):
                raise RuntimeError(f"{response.status}: {text[-300:]}")

    return send


async def _closed_loop(send: Send, calls: int) -> float:
    remaining = iter(range(calls))

    async def caller() -> None:
        for _ in remaining:
            await send()

    started_s = time.monotonic()
    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return calls / (time.monotonic() - started_s)


async def _open_loop(send: Send, calls: int, rate_per_s: float) -> list[float]:
    times_ms: list[float] = []

    async def timed(start_s: float) -> None:
        await asyncio.sleep(max(0.0, start_s - time.monotonic()))
        await send()
        times_ms.append((time.monotonic() - start_s) * 1000)

    begin_s = time.monotonic() + 0.05
    await asyncio.gather(
        *(timed(begin_s + number / rate_per_s) for number in range(calls))
    )
    return times_ms


if __name__ == "__main__":
    main()
