"""Plans faults from a seed, in overlapping series, and injects them."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
import signal
from collections.abc import Sequence

from mangotally.platform import standin_store
from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.soak import oracle as oracle_lib
from tests.soak import processes, proxy, targets, traffic, workload
from tests.soak import store as store_lib
from tests.soak.workload import RequestKind

MAX_DURATION_MS = 6000.0
MIN_DURATION_MS = 200.0
# All faults of a series begin within this time.
SERIES_MS = 1500.0
MAX_SERIES = 6
SERIES_GAP_MS = 2500.0
MAX_DELAY_MS = 300.0
MAX_DOWN_MS = 2000.0
DRAIN_MS = 2000.0
# A target that leaves goes on serving for longer than it may get requests.
LEAVING_MS = 5000.0
KILL_MANY_FRACTION = 0.5
RESET_GAP_MS = 150.0
# Probability that a key is withdrawn during an outage of the store.
KEY_WITHDRAWAL_PROBABILITY = 0.5


class FaultKind(enum.Enum):
    """The kinds of faults; the values are written to the log."""

    KILL = "kill"
    KILL_MANY = "kill-many"
    TERM = "term"
    PAUSE = "pause"
    HUP = "hup"
    DELAY = "delay"
    RESET = "reset"
    HOLD = "hold"
    HOLD_ONE_WAY = "hold-one-way"
    SILENCE = "silence"
    REFUSE = "refuse"
    STORE_REFUSE = "store-refuse"
    STORE_HANG = "store-hang"
    STORE_SLOW = "store-slow"
    STORE_LOSE = "store-lose"
    STORE_LATE = "store-late"
    STORE_REBALANCE = "store-rebalance"
    STORE_TRIM = "store-trim"
    TARGET_FAULTS = "target-faults"
    TARGET_DRAIN = "target-drain"
    TARGET_CRASH = "target-crash"
    TARGET_UNLIST = "target-unlist"
    TARGET_LEAVE = "target-leave"
    WITHDRAW_KEY = "withdraw-key"
    MOVE_ROUTE = "move-route"
    CHANGE_RATE = "change-rate"


_LINK_FAULTS = frozenset(
    {
        FaultKind.DELAY,
        FaultKind.RESET,
        FaultKind.HOLD,
        FaultKind.HOLD_ONE_WAY,
        FaultKind.SILENCE,
        FaultKind.REFUSE,
    }
)

# Kinds that need to hit a request at a critical moment have a higher weight,
# because they do so only by chance.
_WEIGHTS = {
    FaultKind.RESET: 2,
    FaultKind.STORE_HANG: 2,
    FaultKind.STORE_REFUSE: 2,
    FaultKind.TARGET_FAULTS: 4,
    FaultKind.WITHDRAW_KEY: 4,
}
# Kinds that are drawn apart, so that the other faults of a seed stay the same.
_SEPARATE_KINDS = frozenset({FaultKind.TARGET_LEAVE})
_KINDS = [
    each
    for each in FaultKind
    if each not in _SEPARATE_KINDS
    for _ in range(_WEIGHTS.get(each, 1))
]


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a plan.

    Attributes:
        at_ms: Start time, from the start of the plan.
        kind: Kind of the fault.
        duration_ms: Duration.
        seed: Seed for what the fault affects, and how strongly.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float
    seed: int


def make_plan(seed: int, duration_ms: float) -> list[Fault]:
    """Returns the faults of a run; all end within its duration."""
    rng = random.Random(seed)
    plan = []
    begin_ms = 0.0
    while begin_ms < duration_ms:
        for _ in range(rng.randrange(1, MAX_SERIES + 1)):
            at_ms = begin_ms + rng.uniform(0.0, SERIES_MS)
            remaining_ms = max(0.0, duration_ms - at_ms)
            drawn_ms = rng.uniform(MIN_DURATION_MS, MAX_DURATION_MS)
            kind = rng.choice(_KINDS)
            fault = Fault(
                at_ms, kind, min(drawn_ms, remaining_ms), rng.getrandbits(32)
            )
            if remaining_ms > MIN_DURATION_MS:
                plan.append(fault)
        begin_ms += rng.uniform(0.2, 1.8) * SERIES_GAP_MS
    if rng.random() < 1 / 3:
        # The last fault kills all hosts at once, so that all state in memory
        # is lost.
        plan.append(Fault(duration_ms, FaultKind.KILL_MANY, 0.0, seed))
    plan += _leaving_targets(seed, duration_ms)
    return sorted(plan, key=lambda each: each.at_ms)


def _leaving_targets(seed: int, duration_ms: float) -> list[Fault]:
    rng = random.Random(f"leaving {seed}")
    begins_ms = [rng.uniform(0.0, duration_ms) for _ in range(2)]
    return [
        Fault(
            begin_ms,
            FaultKind.TARGET_LEAVE,
            min(LEAVING_MS, duration_ms - begin_ms),
            rng.getrandbits(32),
        )
        for begin_ms in begins_ms
    ]


@dataclasses.dataclass
class Environment:
    """Everything that faults act on.

    Attributes:
        hosts: The entry hosts.
        store: The store.
        targets: The targets.
        links: All proxies.
        keys: The keys that callers use.
        oracle: Receives changes of keys and routes and planned stops.
        configuration: The current configuration.
    """

    hosts: Sequence[processes.HostProcess]
    store: store_lib.SoakStore
    targets: Sequence[targets.Target]
    links: Sequence[proxy.Link]
    keys: traffic.KeyPool
    oracle: oracle_lib.Oracle
    configuration: dict[str, object]


class FaultInjector:
    """Injects the faults of a plan.

    Attributes:
        log: One line for each fault, with the time at which it began.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.log: list[str] = []
        self._actions = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_MANY: self._kill_many,
            FaultKind.TERM: self._terminate,
            FaultKind.PAUSE: self._pause,
            FaultKind.HUP: self._reload,
            FaultKind.STORE_REBALANCE: self._rebalance,
            FaultKind.STORE_TRIM: self._trim,
            FaultKind.TARGET_FAULTS: self._set_target_faults,
            FaultKind.TARGET_DRAIN: self._drain_target,
            FaultKind.TARGET_CRASH: self._crash_target,
            FaultKind.TARGET_UNLIST: self._unlist_target,
            FaultKind.TARGET_LEAVE: self._leave_target,
            FaultKind.WITHDRAW_KEY: self._withdraw_key,
            FaultKind.MOVE_ROUTE: self._move_route,
            FaultKind.CHANGE_RATE: self._change_rate,
        }

    async def run(self, plan: Sequence[Fault]) -> None:
        """Injects all faults of a plan, then ends all that remain."""
        begin_ms = self._environment.oracle.clock.now_ms()
        async with asyncio.TaskGroup() as tasks:
            for fault in plan:
                now_ms = self._environment.oracle.clock.now_ms() - begin_ms
                wait_ms = max(0.0, fault.at_ms - now_ms)
                await asyncio.sleep(clock_lib.to_seconds(wait_ms))
                tasks.create_task(self._inject(fault))
        self._heal()

    async def stop_gracefully(self, host: processes.HostProcess) -> None:
        """Stops a host with SIGTERM while no other fault is active."""
        oracle = self._environment.oracle
        self._note("calm-stop", host.name)
        oracle.planned_stops[host.name] = oracle.clock.now_ms()
        host.send_signal(signal.SIGTERM)
        await host.wait_for_exit()

    async def _inject(self, fault: Fault) -> None:
        rng = random.Random(fault.seed)
        if fault.kind in _LINK_FAULTS:
            await self._inject_link_fault(fault, rng)
        elif fault.kind in self._actions:
            await self._actions[fault.kind](fault, rng)
        else:
            await self._inject_store_fault(fault, rng)

    def _note(self, kind: str, detail: str) -> None:
        now_ms = self._environment.oracle.clock.wall_ms()
        self.log.append(f"{now_ms} {kind} {detail}")

    def _note_fault(self, fault: Fault, where: str) -> None:
        self._note(fault.kind.value, f"{where} {fault.duration_ms:.0f} ms")

    def _heal(self) -> None:
        environment = self._environment
        for link in environment.links:
            link.heal()
        environment.store.heal()
        for target in environment.targets:
            target.faults = targets.Faults()
            environment.store.put(
                "keyed.servers", target.name, target.store_record()
            )
        for host in environment.hosts:
            host.send_signal(signal.SIGCONT)
            host.start()
        self._note("healed", "")

    async def _kill(self, fault: Fault, rng: random.Random) -> None:
        host = rng.choice(self._environment.hosts)
        await self._stop_and_restart(host, signal.SIGKILL, fault, rng)

    async def _kill_many(self, fault: Fault, rng: random.Random) -> None:
        kills_all = not fault.duration_ms
        fraction = 1.0 if kills_all else KILL_MANY_FRACTION
        chosen = [
            each for each in self._environment.hosts if rng.random() <= fraction
        ]
        await asyncio.gather(
            *(
                self._stop_and_restart(each, signal.SIGKILL, fault, rng)
                for each in chosen
            )
        )

    async def _terminate(self, fault: Fault, rng: random.Random) -> None:
        host = rng.choice(self._environment.hosts)
        await self._stop_and_restart(host, signal.SIGTERM, fault, rng)

    async def _stop_and_restart(
        self,
        host: processes.HostProcess,
        number: signal.Signals,
        fault: Fault,
        rng: random.Random,
    ) -> None:
        self._note_fault(fault, host.name)
        host.send_signal(number)
        await host.wait_for_exit()
        self._environment.oracle.excuse_leaving(host.name)
        down_ms = rng.uniform(0.0, min(MAX_DOWN_MS, fault.duration_ms))
        await asyncio.sleep(clock_lib.to_seconds(down_ms))
        host.start()

    async def _pause(self, fault: Fault, rng: random.Random) -> None:
        host = rng.choice(self._environment.hosts)
        self._note_fault(fault, host.name)
        host.send_signal(signal.SIGSTOP)
        await _wait_for_duration(fault)
        self._environment.oracle.excuse_leaving(host.name)
        host.send_signal(signal.SIGCONT)

    async def _reload(self, fault: Fault, rng: random.Random) -> None:
        host = rng.choice(self._environment.hosts)
        self._note_fault(fault, host.name)
        # SIGHUP ends a process that has not installed its handler yet.
        if host in self._ready_hosts():
            host.send_signal(signal.SIGHUP)

    def _ready_hosts(self) -> list[processes.HostProcess]:
        """Returns the hosts that have served since they were last started."""
        served_ms: dict[str, float] = {}
        for each in self._environment.oracle.attempts.values():
            if each.is_served:
                last_ms = served_ms.get(each.host, 0.0)
                served_ms[each.host] = max(last_ms, each.sent_ms)
        return [
            each
            for each in self._environment.hosts
            if served_ms.get(each.name, 0.0) > each.started_ms
        ]

    async def _inject_link_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        count = rng.choice((1, 1, 2, len(self._environment.links) // 3))
        links = rng.sample(list(self._environment.links), max(1, count))
        self._note_fault(fault, ",".join(each.name for each in links))
        fraction = rng.choice((0.3, 1.0))
        for link in links:
            _apply_link_fault(link, fault.kind, fraction, rng)
        if fault.kind is FaultKind.RESET:
            for _ in range(int(fault.duration_ms / RESET_GAP_MS)):
                await asyncio.sleep(clock_lib.to_seconds(RESET_GAP_MS))
                for link in links:
                    link.reset(fraction, rng)
        else:
            await _wait_for_duration(fault)
        for link in links:
            link.heal()

    async def _inject_store_fault(
        self, fault: Fault, rng: random.Random
    ) -> None:
        self._note_fault(fault, "")
        store = self._environment.store
        usual = standin_store.Faults()
        match fault.kind:
            case FaultKind.STORE_REFUSE:
                store.faults.refuse = True
                await self._wait_for_outage_end(fault, rng)
                store.faults.refuse = usual.refuse
            case FaultKind.STORE_HANG:
                store.faults.hang = True
                await self._wait_for_outage_end(fault, rng)
                store.faults.hang = usual.hang
            case FaultKind.STORE_SLOW:
                store.faults.delay_ms = rng.uniform(5.0, 2 * MAX_DELAY_MS)
                await _wait_for_duration(fault)
                store.faults.delay_ms = usual.delay_ms
            case FaultKind.STORE_LOSE:
                store.faults.lose_answers = rng.choice((0.1, 0.5))
                await _wait_for_duration(fault)
                store.faults.lose_answers = usual.lose_answers
            case FaultKind.STORE_LATE:
                store.late_append_fraction = rng.choice((0.1, 0.5))
                await _wait_for_duration(fault)
                store.late_append_fraction = 0.0

    async def _wait_for_outage_end(
        self, fault: Fault, rng: random.Random
    ) -> None:
        """Waits for the end of an outage of the store.

        Sometimes a key is withdrawn, which no host can see in an outage.
        """
        if rng.random() < KEY_WITHDRAWAL_PROBABILITY:
            await self._withdraw_key(fault, rng)
        await _wait_for_duration(fault)

    async def _rebalance(self, fault: Fault, rng: random.Random) -> None:
        for _ in range(rng.choice((1, 1, 3))):
            self._note_fault(fault, "")
            self._environment.store.rebalance()
            await asyncio.sleep(rng.uniform(0.0, 1.0))

    async def _trim(self, fault: Fault, rng: random.Random) -> None:
        topic = rng.choice(("keyed.op", "keyed.servers"))
        self._note_fault(fault, topic)
        self._environment.store.trim(topic)

    async def _set_target_faults(
        self, fault: Fault, rng: random.Random
    ) -> None:
        target = rng.choice(self._environment.targets)
        names = [each.name for each in dataclasses.fields(targets.Faults)]
        chosen = rng.sample(names, rng.choice((1, 2)))
        self._note_fault(fault, f"{target.name} {','.join(chosen)}")
        fraction = rng.choice((0.1, 0.5, 1.0))
        target.faults = targets.Faults(**dict.fromkeys(chosen, fraction))
        await _wait_for_duration(fault)
        target.faults = targets.Faults()

    async def _drain_target(self, fault: Fault, rng: random.Random) -> None:
        target = rng.choice(self._environment.targets)
        self._note_fault(fault, target.name)
        store, name = self._environment.store, target.name
        store.put("keyed.servers", name, target.store_record("draining"))
        await asyncio.sleep(clock_lib.to_seconds(DRAIN_MS))
        store.put("keyed.servers", name, None)
        self._restart_target(target, name, rng)

    async def _crash_target(self, fault: Fault, rng: random.Random) -> None:
        target = rng.choice(self._environment.targets)
        self._note_fault(fault, target.name)
        name = target.name
        target.link.refuses_connections = True
        target.link.reset(1.0, rng)
        await _wait_for_duration(fault)
        target.link.refuses_connections = False
        self._environment.store.put("keyed.servers", name, None)
        self._restart_target(target, name, rng)

    def _restart_target(
        self, target: targets.Target, former: str, rng: random.Random
    ) -> None:
        """Restarts a target under a new id, unless that was done already."""
        if target.name != former:
            return
        target.restart(rng.choice(workload.VERSIONS))
        self._environment.store.put(
            "keyed.servers", target.name, target.store_record()
        )

    async def _leave_target(self, fault: Fault, rng: random.Random) -> None:
        """Lets a target say in its answers alone that it leaves."""
        target = rng.choice(self._environment.targets)
        self._note_fault(fault, target.name)
        name = target.name
        target.is_leaving = True
        await _wait_for_duration(fault)
        self._environment.store.put("keyed.servers", name, None)
        self._restart_target(target, name, rng)

    async def _unlist_target(self, fault: Fault, rng: random.Random) -> None:
        target = rng.choice(self._environment.targets)
        self._note_fault(fault, target.name)
        name = target.name
        self._environment.store.put("keyed.servers", name, None)
        await _wait_for_duration(fault)
        if target.name == name:
            self._environment.store.put(
                "keyed.servers", name, target.store_record()
            )

    async def _withdraw_key(self, fault: Fault, rng: random.Random) -> None:
        keys, oracle = self._environment.keys, self._environment.oracle
        old = keys.rotating[-1]
        new = f"key-{rng.getrandbits(32):08x}"
        organisation = self._organisation("org-2")
        organisation["ApiKeys"] = [new]
        oracle.organisations[new] = "org-2"
        self._put_configuration()
        keys.rotating.append(new)
        oracle.withdrawn_ms[old] = oracle.clock.now_ms()
        self._note_fault(fault, f"{old}, now {new}")

    async def _move_route(self, fault: Fault, rng: random.Random) -> None:
        kind = rng.choice((RequestKind.LOOKUP, RequestKind.PAY))
        routes = self._environment.configuration["Routes"]
        assert isinstance(routes, list)
        (route,) = (r for r in routes if r["PathPrefix"] == kind.value)
        is_moved = route["Service"] == workload.SPARE_DESK
        route["Service"] = entry_fleet.DESK if is_moved else workload.SPARE_DESK
        self._environment.oracle.services[kind.value].add(route["Service"])
        self._note_fault(fault, f"{kind.name} to {route['Service']}")
        self._put_configuration()

    async def _change_rate(self, fault: Fault, rng: random.Random) -> None:
        found = self._organisation(workload.LIMITED_ORGANISATION)
        rate = workload.RATE_PER_S * rng.choice((0.25, 0.5, 1.0))
        found["RatePerS"] = rate
        self._note_fault(fault, f"{rate}/s")
        self._put_configuration()

    def _organisation(self, name: str) -> dict[str, object]:
        found = self._environment.configuration["Tenants"]
        assert isinstance(found, list)
        return next(each for each in found if each["Name"] == name)

    def _put_configuration(self) -> None:
        configuration = self._environment.configuration
        version = configuration["Version"]
        assert isinstance(version, int)
        configuration["Version"] = version + 3
        self._environment.store.put("keyed.op", "config", configuration)


def _apply_link_fault(
    link: proxy.Link, kind: FaultKind, fraction: float, rng: random.Random
) -> None:
    match kind:
        case FaultKind.DELAY:
            link.delay_ms = rng.uniform(1.0, MAX_DELAY_MS)
        case FaultKind.RESET:
            link.reset(fraction, rng)
        case FaultKind.HOLD:
            link.hold(*proxy.Direction)
        case FaultKind.HOLD_ONE_WAY:
            link.hold(rng.choice(list(proxy.Direction)))
        case FaultKind.SILENCE:
            link.black_hole(fraction, rng)
        case FaultKind.REFUSE:
            link.refuses_connections = True


async def _wait_for_duration(fault: Fault) -> None:
    await asyncio.sleep(clock_lib.to_seconds(fault.duration_ms))
