"""Compares RPCs over one shared stream with one unary RPC per call."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc.aio
import uvloop
from returns import result

from benches import fleet as fleet_lib
from benches import report
from mangotally import errors, ids
from mangotally.commands import process
from mangotally.hosts import hosts_pb2, link, messages, router
from mangotally.standins import platform

CALLS = 5000
CALLERS = (1, 16, 64)
_METHOD = "/bench.Unary/Call"
_MESSAGE = messages.TakeTokens(ids.OrganisationId("org"), 1)
Call = Callable[[], Awaitable[Any]]


def main() -> None:
    """Prints calls per second and latencies of both variants."""
    ports = platform.free_ports(2)
    server = subprocess.Popen(
        [sys.executable, "-m", "benches.links", *map(str, ports)]
    )
    try:
        uvloop.run(_bench(ports, server.pid))
    finally:
        server.kill()
        server.wait()


async def _bench(ports: list[int], pid: int) -> None:
    async with link.Link(f"127.0.0.1:{ports[0]}") as stream_link:

        async def call_by_stream() -> None:
            outcome = await link.first_answer(
                stream_link.stream(_MESSAGE), 5000
            )
            outcome.unwrap()

        channel = grpc.aio.insecure_channel(f"127.0.0.1:{ports[1]}")
        unary = channel.unary_unary(
            _METHOD,
            request_serializer=hosts_pb2.Frame.SerializeToString,
            response_deserializer=hosts_pb2.Frame.FromString,
        )

        async def call_by_unary() -> None:
            name, body = messages.registry.encode(_MESSAGE)
            answer = await unary(hosts_pb2.Frame(type=name, body=body))
            link.decode_frame(answer).unwrap()

        await _wait_until_ready(call_by_stream)
        await _wait_until_ready(call_by_unary)
        for callers in CALLERS:
            for name, call in (
                ("stream", call_by_stream),
                ("unary", call_by_unary),
            ):
                await _measure(name, call, callers, pid)
        await channel.close()


async def _wait_until_ready(call: Call) -> None:
    for _ in range(200):
        with contextlib.suppress(grpc.aio.AioRpcError, Exception):
            await call()
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("the benchmark server did not start")


async def _measure(name: str, call: Call, callers: int, pid: int) -> None:
    remaining = iter(range(CALLS))
    times_ms: list[float] = []

    async def caller() -> None:
        for _ in remaining:
            started_s = time.monotonic()
            await call()
            times_ms.append((time.monotonic() - started_s) * 1000)

    before = fleet_lib.usage_of(pid)
    started_s = time.monotonic()
    await asyncio.gather(*(caller() for _ in range(callers)))
    elapsed_s = time.monotonic() - started_s
    used_ms = fleet_lib.usage_of(pid).cpu_ms - before.cpu_ms
    label = f"{name}, {callers} callers"
    report.print_figure(f"{label}: rate", CALLS / elapsed_s, "1/s")
    report.print_figure(f"{label}: p50", report.quantile(times_ms, 0.5), "ms")
    report.print_figure(f"{label}: p99", report.quantile(times_ms, 0.99), "ms")
    report.print_figure(
        f"{label}: server processor", used_ms / CALLS, "ms/call"
    )


@contextlib.asynccontextmanager
async def _serve(ports: list[int]) -> AsyncIterator[None]:
    handlers = router.Router()

    async def take(_message: Any) -> errors.Outcome[Any]:
        return result.Success(messages.Done())

    async def call(request: Any, _context: Any) -> Any:
        message = link.decode_frame(request).unwrap()
        async for answer in handlers.handle(message):
            name, body = messages.registry.encode(answer.unwrap())
            return hosts_pb2.Frame(type=name, body=body)
        return None

    handlers.add_unary(messages.TakeTokens, take)
    method = grpc.unary_unary_rpc_method_handler(
        call,
        request_deserializer=hosts_pb2.Frame.FromString,
        response_serializer=hosts_pb2.Frame.SerializeToString,
    )
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("bench.Unary", {"Call": method}),)
    )
    server.add_insecure_port(f"127.0.0.1:{ports[1]}")
    async with link.Server(handlers, f"127.0.0.1:{ports[0]}"):
        await server.start()
        yield
        await server.stop(None)


if __name__ == "__main__":
    process.run_until_stopped(
        lambda: _serve([int(text) for text in sys.argv[1:]])
    )
