"""One tenant sends many times its usual while the home of its key changes.

HOW=deal (default): the store deals all partitions anew. HOW=stop: the machine
that is the home gets SIGTERM, as in a restart of all machines in turn.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal

import kit

from mangotally import ids
from mangotally.entry import rates
from mangotally.policy import rendezvous

SERVICE = "field-app"
RATE_PER_S = 119
BURST = 119
HOSTS = 4
WORKERS = 8
WORK_S = 0.02
# Seven and a half times the limit is what the site file names as the most; this
# is far less.
SENT_PER_S = 360
# Its requests are calls of tools of programs that are under way.
PROGRAMS = 40
# The tenant sends little before, as it usually does.
USUAL_PER_S = 20
USUAL_S = 5.0
HOT_S = 6.0
CHANGE_AFTER_S = 2.0
HOW = os.environ.get("HOW", "deal")
# The platform sends no new connections after two misses of a readiness check.
IN_ROTATION_S = 2.0
WINDOW_S = kit.BOUNDS["QuotaWindowS"]
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (
    1 + kit.BOUNDS["QuotaOvershoot"]
) + kit.BOUNDS["QuotaSlack"]


class Case:
    """What has happened."""

    def __init__(self, fleet: kit.Fleet) -> None:
        self.fleet = fleet
        self.sent_s: dict[str, float] = {}
        self.run_s: list[tuple[float, float]] = []
        self.statuses: dict[int, int] = {}
        self.stopped: kit.Host | None = None
        self.stopped_s = 0.0

    def home(self) -> kit.Host:
        """Returns the machine that is the home of the tenant's key."""
        key = rates.home_key(ids.OrganisationId(kit.TENANT))
        number = rendezvous.partition_of_key(key, kit.PARTITIONS)
        name = self.fleet.store.group_owners()[number]
        return next(each for each in self.fleet.hosts if each.name == name)

    def change_home(self) -> None:
        """Stops the home, or lets the store deal all partitions anew."""
        before = self.home().name
        if HOW == "deal":
            self.fleet.store.deal_anew()
            self.fleet.record(f"the home was {before}, is {self.home().name}")
            return
        self.stopped, self.stopped_s = self.home(), kit.now_s()
        self.stopped.signal(signal.SIGTERM)
        self.fleet.record(f"SIGTERM to the home, {before}")

    def choose_host(self, number: int) -> kit.Host:
        """Returns the machine that gets a new connection."""
        hosts = list(self.fleet.hosts)
        if kit.now_s() > self.stopped_s + IN_ROTATION_S and self.stopped:
            hosts.remove(self.stopped)
        return hosts[number % len(hosts)]

    async def serve(
        self, worker: kit.Worker, request: kit.Received, reply: kit.Reply
    ) -> None:
        """Runs a lookup."""
        at_s = kit.now_s()
        self.run_s.append((self.sent_s[request.id], at_s))
        self.fleet.record(f"run {request.id} at {worker.id}")
        await asyncio.sleep(WORK_S)
        reply.whole(200, b"answer", Server_Stamp=f"{worker.id}.1")

    async def look_up(self, number: int) -> None:
        """Sends one lookup of the tenant."""
        name = f"r{number}"
        host = self.choose_host(number)
        program = number % PROGRAMS
        headers = kit.request_headers(
            name,
            1500,
            Program_Id=f"p{program}",
            Session_Id=f"l{program}",
            Program_Deadline_Ms="5200",
        )

        def note() -> None:
            self.sent_s[name] = kit.now_s()

        answer = await kit.send(
            host.callers, "GET", "/lookup/2f", headers, on_sent=note
        )
        count = self.statuses.get(answer.status, 0)
        self.statuses[answer.status] = count + 1
        self.fleet.record(f"answer {name}: {answer.status}")

    def most_in_window(self) -> tuple[int, float]:
        """Returns the most requests sent and run in a window, and its start."""
        most, start = 0, 0.0
        for begin_s in sorted(sent_s for sent_s, _ in self.run_s):
            end_s = begin_s + WINDOW_S
            count = sum(
                sent_s >= begin_s and ran_s <= end_s
                for sent_s, ran_s in self.run_s
            )
            if count > most:
                most, start = count, begin_s
        return most, start


async def case(folder: pathlib.Path) -> bool:
    """Runs the case; returns whether the rule held."""
    async with kit.Fleet(folder, HOSTS) as fleet:
        state = Case(fleet)
        fleet.workers = [
            kit.Worker(f"w{n}", SERVICE, "z1", fleet.store, state.serve)
            for n in range(WORKERS)
        ]
        routes = [kit.route("lookup", "/lookup/", "idempotent", SERVICE, 1500)]
        tenants = [
            {
                "Name": kit.TENANT,
                "ApiKeys": [kit.KEY],
                "RatePerS": RATE_PER_S,
                "Burst": BURST,
            }
        ]
        await fleet.start(kit.configuration(routes, [SERVICE], tenants), ["z1"])
        fleet.record(f"homes: {fleet.store.group_owners()}")
        tasks = set()
        number = 0
        for _ in range(int(USUAL_S * USUAL_PER_S)):
            tasks.add(asyncio.create_task(state.look_up(number)))
            number += 1
            await asyncio.sleep(1 / USUAL_PER_S)
        fleet.record("the tenant sends many times its usual")
        begin_s = kit.now_s()
        usual = number
        is_changed = not kit.HAS_TROUBLE
        while (passed_s := kit.now_s() - begin_s) < HOT_S:
            if passed_s >= CHANGE_AFTER_S and not is_changed:
                is_changed = True
                state.change_home()
            while number < usual + passed_s * SENT_PER_S:
                tasks.add(asyncio.create_task(state.look_up(number)))
                number += 1
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
        most, start_s = state.most_in_window()
        fleet.record(
            f"{number} sent, answers by status {state.statuses}; most run in "
            f"{WINDOW_S} s: {most} from {start_s:.3f}, allowed {ALLOWED:.1f}"
        )
        return most <= ALLOWED


kit.main(str(pathlib.Path(__file__).parent), case)
