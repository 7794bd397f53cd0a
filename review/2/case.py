"""A machine gets SIGTERM; its requesters go on using kept connections."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import kit

SERVICE = "field-app"
HOSTS = 3
WORKERS = 6
# Deposits and certificates take up to 1.5 s.
WORK_S = 1.0
# Kept connections to the machine. Each is used once more after SIGTERM, when
# it has been idle for less than four fifths of IdleTimeoutMs (12 s).
CONNECTIONS = 200
PER_S = 25.0
GRACE_S = kit.BOUNDS["GraceS"]
# A request may be cut if its worker is still at work on it in the last sixth of
# GraceS, but only if it was sent no later than this after SIGTERM.
EXCUSED_S = 3.0


class Case:
    """What has happened."""

    def __init__(self, fleet: kit.Fleet) -> None:
        self.fleet = fleet
        self.run_s: dict[str, float] = {}
        self.sent_s: dict[str, float] = {}
        self.lost: list[str] = []
        self.term_s = 0.0
        self.answered = 0
        self.refused = 0

    async def serve(
        self, worker: kit.Worker, request: kit.Received, reply: kit.Reply
    ) -> None:
        """Answers a lookup at once, and a booking after its work."""
        self.run_s[request.id] = kit.now_s()
        self.fleet.record(f"run {request.id} at {worker.id}")
        if request.method == "POST":
            await asyncio.sleep(WORK_S)
        reply.whole(200, b"booked", Server_Stamp=f"{worker.id}.1")

    async def use(
        self, number: int, connection: kit.Connection, after_s: float
    ) -> None:
        """Uses a kept connection at a time after SIGTERM."""
        name = f"b{number}"
        await asyncio.sleep(max(0.0, self.term_s + after_s - kit.now_s()))
        headers = kit.request_headers(name, 6001)
        self.sent_s[name] = kit.now_s()
        answer = await connection.send("POST", "/book/7b", headers, b"book")
        passed_s = kit.now_s() - self.term_s
        if answer.is_complete:
            self.answered += 1
            return
        if name not in self.run_s:
            # Closed before it was read: the request crossed the close.
            self.refused += 1
            return
        self.fleet.record(
            f"lost {name}: sent {after_s:.3f} s and cut {passed_s:.3f} s "
            f"after SIGTERM, {answer.error}"
        )
        if after_s > EXCUSED_S or passed_s < GRACE_S * 5 / 6:
            self.lost.append(name)


async def end(fleet: kit.Fleet, host: kit.Host, state: Case) -> None:
    """Ends the process after GraceS, as the platform does."""
    await asyncio.sleep(GRACE_S)
    assert host.process is not None
    code = host.process.poll()
    fleet.record(f"{host.name} after GraceS: exit code {code}; SIGKILL if None")
    host.kill()


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
            kit.route("book", "/book/", "non_idempotent", SERVICE, 6000),
        ]
        await fleet.start(kit.configuration(routes, [SERVICE]), ["z1"])
        host = fleet.hosts[0]
        connections = []
        for number in range(CONNECTIONS):
            connection = kit.Connection(host.callers)
            headers = kit.request_headers(f"a{number}", 3000)
            connections.append(connection)
            first = connection.send("GET", "/lookup/2f", headers)
            connections[number].first = asyncio.create_task(first)
            await asyncio.sleep(0.006)
        for connection in connections:
            answer = await connection.first
            if answer.status != 200:
                raise RuntimeError(f"first use: {answer.status}")
        await asyncio.sleep(0.5)
        state.term_s = kit.now_s()
        if kit.HAS_TROUBLE:
            host.signal(signal.SIGTERM)
            fleet.record(f"SIGTERM to {host.name}")
            ending = asyncio.create_task(end(fleet, host, state))
        await asyncio.gather(
            *(
                state.use(number, connection, number / PER_S)
                for number, connection in enumerate(connections)
            )
        )
        if kit.HAS_TROUBLE:
            await ending
        fleet.record(
            f"{state.answered} answered, {state.refused} closed unread, "
            f"{len(state.lost)} passed on to a worker and cut"
        )
        return not state.lost


kit.main(str(pathlib.Path(__file__).parent), case)
