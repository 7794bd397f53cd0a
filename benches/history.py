"""Memory of programs, and latency of group commit at several loads."""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from typing import Any

from returns import result

from benches import report
from mangotally import errors, ids
from mangotally.log import append_limiter, base, partition
from mangotally.policy import ledger as ledger_lib
from mangotally.policy import records
from mangotally.util import clock as clock_lib

PROGRAMS = 2000
CHARS_PER_TOKEN = 4
TURNS = (0, 10, 50)
TOKENS_PER_TURN = 1000
LOG_MS = 5.0
RUN_S = 4.0
LOADS_PER_S = (5, 50, 500, 2000)
HOST_APPENDS_PER_S = 10.0
_ORGANISATION = ids.OrganisationId("escola-braga")
_SERVICE = ids.ServiceId("assistente")
_BUDGET = records.Budget(2_000_000, 500, 3_600_000)


def main() -> None:
    """Prints bytes per program, append latencies and replay time."""
    for turns in TURNS:
        _measure_memory(turns)
    for load_per_s in LOADS_PER_S:
        asyncio.run(_measure_appends(load_per_s))
    _measure_replay()


class _Log:
    """An in-memory log in which each append takes `LOG_MS`."""

    def __init__(self) -> None:
        self.appends = 0
        self.bytes = 0

    async def append(
        self, _stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        await asyncio.sleep(clock_lib.to_seconds(LOG_MS))
        self.appends += 1
        self.bytes += len(data)
        return result.Success(ids.Offset(self.appends - 1))

    async def read(
        self, _stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        raise AssertionError(f"no other host writes ({offset}, {wait_ms})")


def _opened(number: int) -> records.ProgramOpened:
    return records.ProgramOpened(
        _ORGANISATION,
        ids.ProgramId(f"p{number:024x}"),
        None,
        _SERVICE,
        _BUDGET,
        3_600_000,
    )


def _turn(number: int, turn: int) -> list[Any]:
    program = ids.ProgramId(f"p{number:024x}")
    attempt = ids.new_attempt_id()
    text = "x" * (TOKENS_PER_TURN * CHARS_PER_TOKEN // 2)
    key = f"{number}/{turn}/"
    return [
        records.TurnBegun(
            _ORGANISATION, program, turn, attempt, "0" * 64, 5000
        ),
        records.TurnDone(
            _ORGANISATION,
            program,
            turn,
            attempt,
            "0" * 64,
            (records.ChatMessage("user", key + text),),
            records.ChatMessage("assistant", key + text),
            TOKENS_PER_TURN,
            turn * TOKENS_PER_TURN,
        ),
    ]


def _history(turns: int, count: int) -> list[bytes]:
    batches = []
    for number in range(count):
        history: list[Any] = [_opened(number)]
        for turn in range(1, turns + 1):
            history += _turn(number, turn)
        batches.append(records.registry.encode_batch(history))
    return batches


def _measure_memory(turns: int) -> None:
    count = PROGRAMS // (1 + turns)
    batches = _history(turns, count)
    ledger = ledger_lib.Ledger()
    tracemalloc.start()
    for offset, data in enumerate(batches):
        for outcome in records.registry.decode_batch(data):
            ledger.apply(outcome.unwrap(), ids.Offset(offset))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    tokens = turns * TOKENS_PER_TURN
    name = f"program of {turns} turns, {tokens} tokens"
    report.print_figure(name, used_bytes / count, "bytes")


def _measure_replay() -> None:
    batches = _history(10, 200)
    ledger = ledger_lib.Ledger()
    started_s = time.perf_counter()
    for offset, data in enumerate(batches):
        for outcome in records.registry.decode_batch(data):
            ledger.apply(outcome.unwrap(), ids.Offset(offset))
    elapsed_ms = (time.perf_counter() - started_s) * clock_lib.MS_PER_S
    size = sum(len(data) for data in batches)
    report.print_figure(
        "replay of 1 MB of history", elapsed_ms * 1e6 / size, "ms"
    )


async def _measure_appends(load_per_s: float) -> None:
    log = _Log()
    clock = clock_lib.SystemClock()
    limiter = append_limiter.AppendRateLimiter(
        HOST_APPENDS_PER_S, lambda: 1, clock
    )
    stream = partition.Partition(log, "history-0", clock, limiter)
    random_source = random.Random(1)
    waits_ms: list[float] = []

    async def append_one(number: int) -> None:
        started_ms = clock.now_ms()
        await stream.append(_opened(number), wait_ms=60_000)
        waits_ms.append(clock.now_ms() - started_ms)

    tasks: list[asyncio.Task[None]] = []
    end_ms = clock.now_ms() + RUN_S * clock_lib.MS_PER_S
    while clock.now_ms() < end_ms:
        tasks.append(asyncio.create_task(append_one(len(tasks))))
        await asyncio.sleep(random_source.expovariate(load_per_s))
    await asyncio.gather(*tasks)
    waits_ms.sort()
    name = f"{load_per_s} records/s, {HOST_APPENDS_PER_S:.0f} appends/s"
    report.print_figure(f"{name}: wait p50", waits_ms[len(waits_ms) // 2], "ms")
    report.print_figure(
        f"{name}: wait p99", waits_ms[len(waits_ms) * 99 // 100], "ms"
    )
    report.print_figure(
        f"{name}: records per append", len(tasks) / log.appends, ""
    )


if __name__ == "__main__":
    main()
