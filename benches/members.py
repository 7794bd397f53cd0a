"""Traffic of membership and throughput of admission over TCP."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
from typing import Any, Self

import aiohttp
import uvloop

from benches import report
from mangotally import ids
from mangotally.homes import admission, membership, organisations
from mangotally.hosts import link, messages, peers, router
from mangotally.log import http as http_log
from mangotally.policy import prefetched_tokens
from mangotally.settings import host as host_settings
from mangotally.settings import lists
from mangotally.standins import log as log_standin
from mangotally.standins import platform
from mangotally.util import clock as clock_lib

ORGANISATION = ids.OrganisationId("o")
CONTROL_BYTES_PER_S = 3000.0
FLEETS = (4, 12, 24)
MEASURE_S = 5.0
CALLERS = 16
CALLS_PER_CALLER = 400


class CountingRelay:
    """Forwards TCP connections to the log and counts the bytes."""

    def __init__(self, url: str) -> None:
        self._port = int(url.rsplit(":", 1)[1])
        self._tasks: set[asyncio.Task[None]] = set()
        self.bytes = 0

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1")
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        log_reader, log_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        for source, sink in ((reader, log_writer), (log_reader, writer)):
            self._tasks.add(asyncio.create_task(self._copy(source, sink)))

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await source.read(65536):
                self.bytes += len(data)
                sink.write(data)


class FixedConfiguration:
    """A fixed configuration: one organisation with a very high rate."""

    def __init__(self) -> None:
        self.current = self
        plan = lists.Plan(name="p", rate_per_s=1e6, burst=1e6, services=())
        organisation = lists.Organisation(id=ORGANISATION, plan="p")
        self.lists = lists.Lists(
            plans=lists.PlanList(organisations=(organisation,)),
            uses=lists.UseList(plans=(plan,), services=()),
        )


class Host:
    """Membership and admission of one host."""

    def __init__(self, number: int, url: str) -> None:
        ports = platform.free_ports(2)
        self.settings = host_settings.HostSettings(
            host_id=f"host-{number}",
            port=ports[0],
            rpc_port=ports[1],
            place="porto",
            log=host_settings.LogSettings(url=url),
            roster_url=url,
            weights_url=url,
        )
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        stack, clock = self._stack, clock_lib.SystemClock()
        settings = self.settings
        session = await stack.enter_async_context(aiohttp.ClientSession())
        log = http_log.HttpLog(session, settings.log.url)
        handlers = router.Router()
        await stack.enter_async_context(
            link.Server(handlers, settings.rpc_address)
        )
        self.members = membership.Membership(settings, log, clock)
        self.peers = await stack.enter_async_context(
            peers.PeerClient(self.members, handlers)
        )
        fixed_configuration: Any = FixedConfiguration()
        home = organisations.OrganisationHome(
            self.members,
            fixed_configuration,
            self.peers,
            clock,
            settings.lease_ms,
        )
        home.attach(handlers)
        self.admission = admission.AdmissionClient(
            self.members, self.peers, clock, settings.lease_ms
        )
        await stack.enter_async_context(self.members)
        await stack.enter_async_context(home)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._stack.aclose()


def main() -> None:
    """Prints the figures."""
    uvloop.run(_run())


async def _run() -> None:
    points = []
    for hosts in FLEETS:
        points.append((float(hosts), await _members_bytes_per_s(hosts)))
        report.print_figure(
            f"members stream, {hosts} hosts",
            points[-1][1],
            "B/s",
            CONTROL_BYTES_PER_S,
        )
    _, slope = report.fit_line(points)
    report.print_figure("members stream, for each further host", slope, "B/s")
    for uses_batches in (False, True):
        await _admission(uses_batches)


async def _members_bytes_per_s(hosts: int) -> float:
    async with contextlib.AsyncExitStack() as stack:
        log = await stack.enter_async_context(log_standin.LogStandIn())
        relay = await stack.enter_async_context(CountingRelay(log.url))
        for number in range(hosts):
            url = relay.url if number == 0 else log.url
            await stack.enter_async_context(Host(number, url))
        before = relay.bytes
        await asyncio.sleep(MEASURE_S)
        return (relay.bytes - before) / MEASURE_S


async def _admission(uses_batches: bool) -> None:
    min_rate_per_s = prefetched_tokens.MIN_RATE_PER_S
    if not uses_batches:
        prefetched_tokens.MIN_RATE_PER_S = float("inf")
    async with contextlib.AsyncExitStack() as stack:
        log = await stack.enter_async_context(log_standin.LogStandIn())
        hosts = [
            await stack.enter_async_context(Host(number, log.url))
            for number in range(2)
        ]
        for item in hosts:
            await _wait_for_members(item, len(hosts))
        key = f"organisation/{ORGANISATION}"
        entry = next(h for h in hosts if not h.members.is_home(key))
        requests = _count_requests(entry.peers)
        started_s = time.perf_counter()
        await asyncio.gather(*(_call(entry) for _ in range(CALLERS)))
        elapsed_s = time.perf_counter() - started_s
    prefetched_tokens.MIN_RATE_PER_S = min_rate_per_s
    name = "with batches" if uses_batches else "without batches"
    calls = CALLERS * CALLS_PER_CALLER
    report.print_figure(
        f"admitted at one host, {name}", calls / elapsed_s, "/s"
    )
    report.print_figure(f"questions per call, {name}", requests[0] / calls, "")


async def _wait_for_members(host: Host, count: int) -> None:
    changed = asyncio.Event()
    host.members.on_change(changed.set)
    while len(host.members.view.members) < count:
        await changed.wait()
        changed.clear()


async def _call(entry: Host) -> None:
    for _ in range(CALLS_PER_CALLER):
        await entry.admission.admit(ORGANISATION)
        await asyncio.sleep(0)


def _count_requests(host_peers: peers.PeerClient) -> collections.Counter[int]:
    requests: collections.Counter[int] = collections.Counter()
    original_call = host_peers.call

    async def call(host: Any, message: Any, timeout_ms: float = 5000) -> Any:
        if isinstance(message, messages.TakeTokens | messages.ReturnTokens):
            requests[0] += 1
        return await original_call(host, message, timeout_ms)

    host_peers.call = call  # type: ignore[method-assign]
    return requests
