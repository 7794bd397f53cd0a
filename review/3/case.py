"""A request that crashes its workers comes again, at any machine."""

from __future__ import annotations

import asyncio
import pathlib

import kit

SERVICE = "field-app"
PATH = "/lookup/7a"
POISON = b'{"mast": "crash"}'
HARMLESS = b'{"mast": "usual"}'
WORK_S = 0.15
RESTART_S = 1.5
TIME_LIMIT_MS = 1500
HOSTS = 3
WORKERS = 4
COMINGS = 8
COMING_GAP_S = 1.2
# More than this many are too many, by the rule.
ALLOWED = 3


class Case:
    """What has happened."""

    def __init__(self, fleet: kit.Fleet) -> None:
        self.fleet = fleet
        self.crashes_s: list[float] = []
        # When the poison reached a worker, and the id that it bore.
        self.arrivals: list[tuple[float, str]] = []
        self.restarts: set[asyncio.Task[None]] = set()
        self.lost: list[str] = []

    async def serve(
        self, worker: kit.Worker, request: kit.Received, reply: kit.Reply
    ) -> None:
        """Runs a request; the poison crashes the worker."""
        record = self.fleet.record
        if request.body in (POISON, HARMLESS):
            record(f"run {request.id} at {worker.id}: {request.body!r}")
            self.arrivals.append((kit.now_s(), request.id))
        if request.body == POISON:
            self.crashes_s.append(kit.now_s())
            record(f"crash of {worker.id}, {worker.running} running there")
            task = asyncio.create_task(self.restart(worker))
            self.restarts.add(task)
            await asyncio.sleep(60)
        await asyncio.sleep(WORK_S)
        reply.whole(200, b"answer", Server_Stamp=f"{worker.id}.1")

    async def restart(self, worker: kit.Worker) -> None:
        """Crashes a worker, which is back after some seconds."""
        ended = worker.id
        worker.crash()
        await asyncio.sleep(RESTART_S)
        worker.expire(ended)
        await worker.start()
        self.fleet.record(f"{worker.id} serves in place of {ended}")

    async def come(self, number: int, body: bytes) -> None:
        """Sends the request once, at one of the machines."""
        name = f"x{number}"
        host = self.fleet.hosts[number % HOSTS]
        headers = kit.request_headers(name, TIME_LIMIT_MS)
        self.fleet.record(f"sent {name} to {host.name}: {body!r}")
        answer = await kit.send(host.callers, "POST", PATH, headers, body)
        self.fleet.record(f"answer {name}: {answer.status} {answer.error}")

    async def others(self) -> None:
        """Sends bookings of others all the while; they may run only once."""
        number = 0
        tasks = set()
        while True:
            number += 1
            tasks.add(asyncio.create_task(self.book(f"b{number}", number)))
            await asyncio.sleep(0.04)

    async def book(self, name: str, number: int) -> None:
        """Sends one booking of another requester."""
        host = self.fleet.hosts[number % HOSTS]
        headers = kit.request_headers(name, 3000)
        answer = await kit.send(
            host.callers, "POST", "/book/7b", headers, b"book"
        )
        if answer.status in (0, 502):
            self.lost.append(name)
            self.fleet.record(f"booking {name} lost: {answer.status}")


async def case(folder: pathlib.Path) -> bool:
    """Runs the case; returns whether the rule held."""
    async with kit.Fleet(folder, HOSTS) as fleet:
        state = Case(fleet)
        fleet.workers = [
            kit.Worker(f"w{n}", SERVICE, "z1", fleet.store, state.serve)
            for n in range(WORKERS)
        ]
        routes = [
            kit.route("lookup", "/lookup/", "idempotent", SERVICE, 1500),
            kit.route("book", "/book/", "non_idempotent", SERVICE, 3000),
        ]
        await fleet.start(kit.configuration(routes, [SERVICE]), ["z1"])
        others = asyncio.create_task(state.others())
        await asyncio.sleep(1.0)
        body = POISON if kit.HAS_TROUBLE else HARMLESS
        number = 0
        while number < 6 and len(state.crashes_s) < 3:
            await state.come(number, body)
            number += 1
            await asyncio.sleep(COMING_GAP_S)
        if kit.HAS_TROUBLE and len(state.crashes_s) < 3:
            raise RuntimeError("three workers have not crashed")
        await asyncio.sleep(kit.STABLE_S + 0.5)
        since_s = kit.now_s()
        lost_before = len(state.lost)
        fleet.record("the third crash is longer ago than StableMs")
        for _ in range(COMINGS):
            await state.come(number, body)
            number += 1
            await asyncio.sleep(COMING_GAP_S)
        others.cancel()
        await asyncio.sleep(1.0)
        late = [name for at_s, name in state.arrivals if at_s > since_s]
        retries = len(late) - len(set(late))
        crashed = sum(at_s > since_s for at_s in state.crashes_s)
        fleet.record(
            f"after StableMs: {len(late)} arrivals at workers, in "
            f"{len(set(late))} comings, so {retries} more by the machines' "
            f"own retries; {crashed} crashes; "
            f"{len(state.lost) - lost_before} bookings of others lost"
        )
        if not state.crashes_s:
            return True
        return len(late) <= ALLOWED


kit.main(str(pathlib.Path(__file__).parent), case)
