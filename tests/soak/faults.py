"""A seeded plan of faults in overlapping series, and how each is caused."""

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
from tests.soak import processes, proxy, shapes, targets, traffic
from tests.soak import store as store_lib
from tests.soak.shapes import RequestKind

MAX_DURATION_MS = 6000.0
MIN_DURATION_MS = 200.0
# Faults of a series begin within this time of its first.
SERIES_MS = 1500.0
MAX_SERIES = 6
SERIES_GAP_MS = 2500.0
MAX_DELAY_MS = 300.0
MAX_DOWN_MS = 2000.0
DRAIN_MS = 2000.0
KILL_MANY_FRACTION = 0.5
RESET_GAP_MS = 150.0
# Outages in which a key is withdrawn.
KEY_WITHDRAWAL_PROBABILITY = 0.5


class FaultKind(enum.Enum):
    """What goes wrong."""

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

# Kinds that meet a request at a bad moment by chance only come more often.
_WEIGHTS = {
    FaultKind.RESET: 2,
    FaultKind.STORE_HANG: 2,
    FaultKind.STORE_REFUSE: 2,
    FaultKind.TARGET_FAULTS: 4,
    FaultKind.WITHDRAW_KEY: 4,
}
_KINDS = [each for each in FaultKind for _ in range(_WEIGHTS.get(each, 1))]


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a plan.

    Attributes:
        at_ms: When it begins, from the start of the plan.
        kind: What goes wrong.
        duration_ms: How long it lasts.
        seed: Chooses where, and how much.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float
    seed: int


def make_plan(seed: int, duration_ms: float) -> list[Fault]:
    """Returns the faults of a run; all end within its length."""
    chance = random.Random(seed)
    plan = []
    begin_ms = 0.0
    while begin_ms < duration_ms:
        for _ in range(chance.randrange(1, MAX_SERIES + 1)):
            at_ms = begin_ms + chance.uniform(0.0, SERIES_MS)
            left_ms = max(0.0, duration_ms - at_ms)
            usual_ms = chance.uniform(MIN_DURATION_MS, MAX_DURATION_MS)
            kind = chance.choice(_KINDS)
            fault = Fault(
                at_ms, kind, min(usual_ms, left_ms), chance.getrandbits(32)
            )
            if left_ms > MIN_DURATION_MS:
                plan.append(fault)
        begin_ms += chance.uniform(0.2, 1.8) * SERIES_GAP_MS
    if chance.random() < 1 / 3:
        # The last fault: all hosts lose their memory at once.
        plan.append(Fault(duration_ms, FaultKind.KILL_MANY, 0.0, seed))
    return sorted(plan, key=lambda each: each.at_ms)


@dataclasses.dataclass
class Environment:
    """What faults act on.

    Attributes:
        hosts: The entry hosts.
        store: The store.
        targets: The targets.
        links: All proxies.
        keys: The keys that callers use.
        oracle: Is told what operators do.
        configuration: The newest configuration.
    """

    hosts: Sequence[processes.HostProcess]
    store: store_lib.SoakStore
    targets: Sequence[targets.Target]
    links: Sequence[proxy.Link]
    keys: traffic.KeyPool
    oracle: oracle_lib.Oracle
    configuration: dict[str, object]


class FaultInjector:
    """Causes the faults of a plan.

    Attributes:
        log: When each fault began, in words.
    """

    def __init__(self, world: Environment) -> None:
        """Makes an injector that has caused nothing."""
        self._world = world
        self.log: list[str] = []
        self._actions = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_MANY: self._kill_many,
            FaultKind.TERM: self._stop,
            FaultKind.PAUSE: self._pause,
            FaultKind.HUP: self._reload,
            FaultKind.STORE_REBALANCE: self._rebalance,
            FaultKind.STORE_TRIM: self._trim,
            FaultKind.TARGET_FAULTS: self._spoil_target,
            FaultKind.TARGET_DRAIN: self._drain_target,
            FaultKind.TARGET_CRASH: self._crash_target,
            FaultKind.TARGET_UNLIST: self._unlist_target,
            FaultKind.WITHDRAW_KEY: self._withdraw_key,
            FaultKind.MOVE_ROUTE: self._move_route,
            FaultKind.CHANGE_RATE: self._change_rate,
        }

    async def run(self, plan: Sequence[Fault]) -> None:
        """Causes all faults, and heals all of them."""
        begin_ms = self._world.oracle.clock.now_ms()
        async with asyncio.TaskGroup() as tasks:
            for fault in plan:
                now_ms = self._world.oracle.clock.now_ms() - begin_ms
                wait_ms = max(0.0, fault.at_ms - now_ms)
                await asyncio.sleep(clock_lib.to_seconds(wait_ms))
                tasks.create_task(self._cause(fault))
        self._heal()

    async def stop_gracefully(self, host: processes.HostProcess) -> None:
        """Stops a host while nothing else goes wrong."""
        oracle = self._world.oracle
        self._note("calm-stop", host.name)
        oracle.planned_stops[host.name] = oracle.clock.now_ms()
        host.send_signal(signal.SIGTERM)
        await host.wait_for_exit()

    async def _cause(self, fault: Fault) -> None:
        chance = random.Random(fault.seed)
        if fault.kind in _LINK_FAULTS:
            await self._harm_link(fault, chance)
        elif fault.kind in self._actions:
            await self._actions[fault.kind](fault, chance)
        else:
            await self._harm_store(fault, chance)

    def _note(self, kind: str, detail: str) -> None:
        now_ms = self._world.oracle.clock.wall_ms()
        self.log.append(f"{now_ms} {kind} {detail}")

    def _note_fault(self, fault: Fault, where: str) -> None:
        self._note(fault.kind.value, f"{where} {fault.duration_ms:.0f} ms")

    def _heal(self) -> None:
        world = self._world
        for link in world.links:
            link.heal()
        world.store.heal()
        for target in world.targets:
            target.faults = targets.Faults()
            world.store.put("keyed.servers", target.name, target.store_record())
        for host in world.hosts:
            host.send_signal(signal.SIGCONT)
            host.start()
        self._note("healed", "")

    async def _kill(self, fault: Fault, chance: random.Random) -> None:
        host = chance.choice(self._world.hosts)
        await self._end(host, signal.SIGKILL, fault, chance)

    async def _kill_many(self, fault: Fault, chance: random.Random) -> None:
        is_last = not fault.duration_ms
        share = 1.0 if is_last else KILL_MANY_FRACTION
        chosen = [
            each for each in self._world.hosts if chance.random() <= share
        ]
        await asyncio.gather(
            *(self._end(each, signal.SIGKILL, fault, chance) for each in chosen)
        )

    async def _stop(self, fault: Fault, chance: random.Random) -> None:
        host = chance.choice(self._world.hosts)
        await self._end(host, signal.SIGTERM, fault, chance)

    async def _end(
        self,
        host: processes.HostProcess,
        number: signal.Signals,
        fault: Fault,
        chance: random.Random,
    ) -> None:
        self._note_fault(fault, host.name)
        host.send_signal(number)
        await host.wait_for_exit()
        down_ms = chance.uniform(0.0, min(MAX_DOWN_MS, fault.duration_ms))
        await asyncio.sleep(clock_lib.to_seconds(down_ms))
        host.start()

    async def _pause(self, fault: Fault, chance: random.Random) -> None:
        host = chance.choice(self._world.hosts)
        self._note_fault(fault, host.name)
        host.send_signal(signal.SIGSTOP)
        await _last(fault)
        host.send_signal(signal.SIGCONT)

    async def _reload(self, fault: Fault, chance: random.Random) -> None:
        host = chance.choice(self._world.hosts)
        self._note_fault(fault, host.name)
        # A process that is still starting would be ended by it.
        if host in self._ready_hosts():
            host.send_signal(signal.SIGHUP)

    def _ready_hosts(self) -> list[processes.HostProcess]:
        served = {
            each.host
            for each in self._world.oracle.attempts.values()
            if each.is_served
        }
        return [
            each
            for each in self._world.hosts
            if each.name in served and each.starts == 1
        ]

    async def _harm_link(self, fault: Fault, chance: random.Random) -> None:
        count = chance.choice((1, 1, 2, len(self._world.links) // 3))
        links = chance.sample(list(self._world.links), max(1, count))
        self._note_fault(fault, ",".join(each.name for each in links))
        share = chance.choice((0.3, 1.0))
        for link in links:
            _harm(link, fault.kind, share, chance)
        if fault.kind is FaultKind.RESET:
            for _ in range(int(fault.duration_ms / RESET_GAP_MS)):
                await asyncio.sleep(clock_lib.to_seconds(RESET_GAP_MS))
                for link in links:
                    link.reset(share, chance)
        else:
            await _last(fault)
        for link in links:
            link.heal()

    async def _harm_store(self, fault: Fault, chance: random.Random) -> None:
        self._note_fault(fault, "")
        store = self._world.store
        usual = standin_store.Faults()
        match fault.kind:
            case FaultKind.STORE_REFUSE:
                store.faults.refuse = True
                await self._last_unseen(fault, chance)
                store.faults.refuse = usual.refuse
            case FaultKind.STORE_HANG:
                store.faults.hang = True
                await self._last_unseen(fault, chance)
                store.faults.hang = usual.hang
            case FaultKind.STORE_SLOW:
                store.faults.delay_ms = chance.uniform(5.0, 2 * MAX_DELAY_MS)
                await _last(fault)
                store.faults.delay_ms = usual.delay_ms
            case FaultKind.STORE_LOSE:
                store.faults.lose_answers = chance.choice((0.1, 0.5))
                await _last(fault)
                store.faults.lose_answers = usual.lose_answers
            case FaultKind.STORE_LATE:
                store.late_append_fraction = chance.choice((0.1, 0.5))
                await _last(fault)
                store.late_append_fraction = 0.0

    async def _last_unseen(self, fault: Fault, chance: random.Random) -> None:
        """Lets an outage last; at times a key goes that no host can see."""
        if chance.random() < KEY_WITHDRAWAL_PROBABILITY:
            await self._withdraw_key(fault, chance)
        await _last(fault)

    async def _rebalance(self, fault: Fault, chance: random.Random) -> None:
        for _ in range(chance.choice((1, 1, 3))):
            self._note_fault(fault, "")
            self._world.store.rebalance()
            await asyncio.sleep(chance.uniform(0.0, 1.0))

    async def _trim(self, fault: Fault, chance: random.Random) -> None:
        topic = chance.choice(("keyed.op", "keyed.servers"))
        self._note_fault(fault, topic)
        self._world.store.trim(topic)

    async def _spoil_target(self, fault: Fault, chance: random.Random) -> None:
        target = chance.choice(self._world.targets)
        names = [each.name for each in dataclasses.fields(targets.Faults)]
        chosen = chance.sample(names, chance.choice((1, 2)))
        self._note_fault(fault, f"{target.name} {','.join(chosen)}")
        share = chance.choice((0.1, 0.5, 1.0))
        target.faults = targets.Faults(**dict.fromkeys(chosen, share))
        await _last(fault)
        target.faults = targets.Faults()

    async def _drain_target(self, fault: Fault, chance: random.Random) -> None:
        target = chance.choice(self._world.targets)
        self._note_fault(fault, target.name)
        store, name = self._world.store, target.name
        store.put("keyed.servers", name, target.store_record("draining"))
        await asyncio.sleep(clock_lib.to_seconds(DRAIN_MS))
        store.put("keyed.servers", name, None)
        self._renew(target, name)

    async def _crash_target(self, fault: Fault, chance: random.Random) -> None:
        target = chance.choice(self._world.targets)
        self._note_fault(fault, target.name)
        name = target.name
        target.link.refuses_connections = True
        target.link.reset(1.0, chance)
        await _last(fault)
        target.link.refuses_connections = False
        self._world.store.put("keyed.servers", name, None)
        self._renew(target, name)

    def _renew(self, target: targets.Target, former: str) -> None:
        """Starts a target again under a new id, unless that is done."""
        if target.name != former:
            return
        target.restart()
        self._world.store.put(
            "keyed.servers", target.name, target.store_record()
        )

    async def _unlist_target(self, fault: Fault, chance: random.Random) -> None:
        target = chance.choice(self._world.targets)
        self._note_fault(fault, target.name)
        name = target.name
        self._world.store.put("keyed.servers", name, None)
        await _last(fault)
        if target.name == name:
            self._world.store.put("keyed.servers", name, target.store_record())

    async def _withdraw_key(self, fault: Fault, chance: random.Random) -> None:
        keys, oracle = self._world.keys, self._world.oracle
        old = keys.rotating[-1]
        new = f"key-{chance.getrandbits(32):08x}"
        organisation = self._organisation("org-2")
        organisation["ApiKeys"] = [new]
        oracle.organisations[new] = "org-2"
        self._put_configuration()
        keys.rotating.append(new)
        oracle.withdrawn_ms[old] = oracle.clock.now_ms()
        self._note_fault(fault, f"{old}, now {new}")

    async def _move_route(self, fault: Fault, chance: random.Random) -> None:
        kind = chance.choice((RequestKind.LOOKUP, RequestKind.PAY))
        routes = self._world.configuration["Routes"]
        assert isinstance(routes, list)
        (route,) = (r for r in routes if r["PathPrefix"] == kind.value)
        is_moved = route["Service"] == shapes.SPARE_DESK
        route["Service"] = entry_fleet.DESK if is_moved else shapes.SPARE_DESK
        self._world.oracle.services[kind.value].add(route["Service"])
        self._note_fault(fault, f"{kind.name} to {route['Service']}")
        self._put_configuration()

    async def _change_rate(self, fault: Fault, chance: random.Random) -> None:
        found = self._organisation(shapes.LIMITED_ORGANISATION)
        rate = shapes.RATE_PER_S * chance.choice((0.25, 0.5, 1.0))
        found["RatePerS"] = rate
        self._note_fault(fault, f"{rate}/s")
        self._put_configuration()

    def _organisation(self, name: str) -> dict[str, object]:
        found = self._world.configuration["Tenants"]
        assert isinstance(found, list)
        return next(each for each in found if each["Name"] == name)

    def _put_configuration(self) -> None:
        configuration = self._world.configuration
        version = configuration["Version"]
        assert isinstance(version, int)
        configuration["Version"] = version + 3
        self._world.store.put("keyed.op", "config", configuration)


def _harm(
    link: proxy.Link, kind: FaultKind, share: float, chance: random.Random
) -> None:
    match kind:
        case FaultKind.DELAY:
            link.delay_ms = chance.uniform(1.0, MAX_DELAY_MS)
        case FaultKind.RESET:
            link.reset(share, chance)
        case FaultKind.HOLD:
            link.hold(*proxy.Direction)
        case FaultKind.HOLD_ONE_WAY:
            link.hold(chance.choice(list(proxy.Direction)))
        case FaultKind.SILENCE:
            link.black_hole(share, chance)
        case FaultKind.REFUSE:
            link.refuses_connections = True


async def _last(fault: Fault) -> None:
    await asyncio.sleep(clock_lib.to_seconds(fault.duration_ms))
