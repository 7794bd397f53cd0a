"""Tests of rate limiting at the homes of organisations, with faults."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from hypothesis import stateful
from hypothesis import strategies as st

from mangotally.policy import rate_decisions
from tests import stateful as stateful_settings
from tests.test_policy import fleet as fleet_lib

if TYPE_CHECKING:
    from mangotally import ids

MAX_HOSTS = 5
MAX_DELAY_MS = 2 * fleet_lib.TIMES.lease_ms
EPSILON = 1e-6
indexes = st.integers(0, MAX_HOSTS - 1)
organisations = st.sampled_from(fleet_lib.ORGANISATIONS)


class Oracle:
    """One ideal token bucket per organisation, in real time."""

    def __init__(self) -> None:
        self._levels = {
            name: (limit.burst, 0.0)
            for name, limit in fleet_lib.RATE_LIMITS.items()
        }

    def level(self, organisation: ids.OrganisationId, real_ms: float) -> float:
        """Returns the available tokens, by the fastest clock of a host."""
        limit = fleet_lib.RATE_LIMITS[organisation]
        level, updated_ms = self._levels[organisation]
        rate_per_s = limit.rate_per_s * fleet_lib.FAST_CLOCK_RATE
        gained = (real_ms - updated_ms) / 1000 * rate_per_s
        return min(limit.burst, level + gained)

    def admit(self, organisation: ids.OrganisationId, real_ms: float) -> None:
        level = self.level(organisation, real_ms) - 1
        assert level >= -EPSILON, f"{organisation} over its rate: {level}"
        self._levels[organisation] = (level, real_ms)


class RateLimitsMachine(stateful.RuleBasedStateMachine):
    """Calls while hosts join, pause, crash, leave and lose the log.

    Checks that no window exceeds rate and burst, that no two hosts can grant
    tokens of one organisation at a time, and that without faults no call is
    refused that an ideal token bucket admits.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleet_lib.Fleet()
        self.oracle = Oracle()
        self.faulty = False

    @stateful.initialize(hosts=st.integers(1, 3), eager=st.booleans())
    def start_fleet(self, hosts: int, eager: bool) -> None:
        self.fleet.eager = eager
        self.faulty = not eager
        for _ in range(hosts):
            self.fleet.start()
        self.fleet.advance(1000)

    def host(self, index: int) -> fleet_lib.Host | None:
        running = self.fleet.running()
        return running[index % len(running)] if running else None

    def ask(
        self, index: int, organisation: ids.OrganisationId
    ) -> rate_decisions.Decision | None:
        entry = self.host(index)
        if entry is None or entry.paused:
            return None
        decision = self.fleet.admit(entry, organisation)
        if isinstance(decision, rate_decisions.Admitted):
            self.oracle.admit(organisation, self.fleet.real_ms)
        if isinstance(decision, rate_decisions.OverRate) and not self.faulty:
            level = self.oracle.level(organisation, self.fleet.real_ms)
            burst = fleet_lib.RATE_LIMITS[organisation].burst
            slack = burst * (1 - 1 / fleet_lib.FAST_CLOCK_RATE**2)
            assert level < 1 + slack, f"refused at {level}"
        return decision

    @stateful.rule(index=indexes, organisation=organisations)
    def call(self, index: int, organisation: ids.OrganisationId) -> None:
        self.ask(index, organisation)

    @stateful.rule(
        index=indexes,
        organisation=organisations,
        count=st.sampled_from((2, 8, 45)),
        after_ms=st.sampled_from((0, 200, 400, 700)),
    )
    def burst(
        self,
        index: int,
        organisation: ids.OrganisationId,
        count: int,
        after_ms: int,
    ) -> None:
        """Sends many calls, optionally some time after a host got a batch."""
        self.ask(index, organisation)
        self.fleet.advance(after_ms)
        for _ in range(count):
            self.ask(index, organisation)

    @stateful.rule(index=indexes, organisation=organisations)
    def return_tokens(
        self, index: int, organisation: ids.OrganisationId
    ) -> None:
        host = self.host(index)
        if host and not host.paused:
            self.fleet.return_batch(host, organisation)

    @stateful.rule(index=indexes, organisation=organisations)
    def call_and_wait(
        self, index: int, organisation: ids.OrganisationId
    ) -> None:
        """Without faults a delayed call is admitted within `MAX_DELAY_MS`."""
        for _ in range(int(MAX_DELAY_MS / fleet_lib.TICK_MS)):
            decision = self.ask(index, organisation)
            if isinstance(
                decision, rate_decisions.Admitted | rate_decisions.OverRate
            ):
                return
            self.fleet.advance(fleet_lib.TICK_MS)
        assert self.faulty, f"delayed too long: {decision}"

    @stateful.rule(by_ms=st.sampled_from((50, 300, 1000, 3000, 5000, 8000)))
    def advance(self, by_ms: int) -> None:
        self.fleet.advance(by_ms)

    @stateful.rule()
    def join(self) -> None:
        if len(self.fleet.running()) < MAX_HOSTS:
            self.fleet.start()

    @stateful.rule(index=indexes)
    def leave(self, index: int) -> None:
        host = self.host(index)
        if host and not host.paused and len(self.fleet.running()) > 1:
            self.fleet.leave(host)

    def home(
        self, index: int, organisation: ids.OrganisationId
    ) -> fleet_lib.Host | None:
        """Returns the home of an organisation as seen by one host."""
        host = self.host(index)
        if host is None:
            return None
        name = host.state.home_of(f"organisation/{organisation}")
        return self.fleet.find(name)

    @stateful.rule(index=indexes, organisation=organisations)
    def pause_home(self, index: int, organisation: ids.OrganisationId) -> None:
        host = self.home(index, organisation)
        if host:
            self.faulty = host.paused = True

    @stateful.rule(index=indexes, organisation=organisations)
    def crash_home(self, index: int, organisation: ids.OrganisationId) -> None:
        host = self.home(index, organisation)
        if host:
            self.faulty = host.is_stopped = True

    @stateful.rule(index=indexes, organisation=organisations)
    def resume(self, index: int, organisation: ids.OrganisationId) -> None:
        """Resumes a host that decides a call before it reads the stream."""
        host = self.host(index)
        if host and host.paused:
            host.paused = False
            self.ask(index, organisation)

    @stateful.rule(index=indexes, again=st.booleans())
    def crash(self, index: int, again: bool) -> None:
        host = self.host(index)
        if host:
            self.faulty = host.is_stopped = True
            if again:
                self.fleet.start(host.name)

    @stateful.rule(index=indexes)
    def replace_paused(self, index: int) -> None:
        """Starts a second process with the host id of a paused one."""
        host = self.host(index)
        if host and host.paused and len(self.fleet.running()) < MAX_HOSTS:
            self.fleet.start(host.name)

    @stateful.rule(index=indexes, cut=st.booleans())
    def cut_from_log(self, index: int, cut: bool) -> None:
        host = self.host(index)
        if host:
            host.is_disconnected = cut
            self.faulty |= cut

    @stateful.rule(index=indexes, lose=st.booleans())
    def lose_answers(self, index: int, lose: bool) -> None:
        host = self.host(index)
        if host:
            host.loses_acknowledgements = lose
            self.faulty |= lose

    @stateful.rule(index=indexes, lag=st.sampled_from((0, 1, 3, 8, 15, 30)))
    def read_late(self, index: int, lag: int) -> None:
        host = self.host(index)
        if host:
            host.lag = lag
            self.faulty |= lag > 0

    @stateful.rule(index=indexes, land=st.booleans())
    def append_late(self, index: int, land: bool) -> None:
        host = self.host(index)
        if host and land:
            host.append_delayed_heartbeats()
        elif host and not host.paused:
            host.send_delayed_heartbeat()
            self.faulty = True

    @stateful.rule(down=st.booleans())
    def log_down(self, down: bool) -> None:
        self.fleet.log.down = down
        self.faulty |= down

    @stateful.rule(lose=st.booleans())
    def lose_handover(self, lose: bool) -> None:
        self.fleet.loses_handovers = lose
        self.faulty |= lose

    @stateful.rule(retained=st.integers(0, 40))
    def age_out(self, retained: int) -> None:
        log = self.fleet.log
        log.oldest = max(log.oldest, len(log.entries) - 200 - retained)

    @stateful.invariant()
    def at_most_one_host_grants(self) -> None:
        for organisation in fleet_lib.ORGANISATIONS:
            granting = [
                host.name
                for host in self.fleet.running()
                if host.limits.is_open(organisation, host.now())
            ]
            assert len(granting) <= 1, (
                f"{organisation} is granted by {granting}"
            )


RateLimitsTest = RateLimitsMachine.TestCase
RateLimitsTest.settings = stateful_settings.CI_SETTINGS

MACHINES = [RateLimitsMachine]


class DelayedCallsTest(unittest.TestCase):
    """Calls that are delayed until a new home may grant tokens."""

    def test_calls_at_the_rate_are_held_beyond_the_burst(self) -> None:
        """Calls at the rate are not refused while an old lease expires."""
        fleet = fleet_lib.Fleet()
        fleet.eager = False
        old = fleet.start()
        fleet.advance(1000)
        while fleet.start().state.home_of("organisation/o1") == old.name:
            fleet.advance(1000)
        old.paused = True
        home = fleet.hosts[-1]
        limit = fleet_lib.RATE_LIMITS[fleet_lib.ORGANISATIONS[1]]
        arrived = limit.burst + 3 * limit.rate_per_s
        decision: rate_decisions.Decision | None = None
        for ahead in (arrived, arrived, 100 * limit.burst):
            decision = home.limits.take(
                fleet_lib.ORGANISATIONS[1], limit, 1, home.now(), ahead
            )
            if ahead == arrived:
                waits = rate_decisions.Held | rate_decisions.AskPrevious
                self.assertIsInstance(decision, waits)
        self.assertIsInstance(decision, rate_decisions.OverRate)


class LeaveTest(unittest.TestCase):
    """Hosts that shut down in order, shortly after one another."""

    def test_bucket_passes_through_two_leaving_hosts(self) -> None:
        """A host that leaves hands over buckets that it has just received."""
        for order in ((0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)):
            fleet = fleet_lib.Fleet()
            for _ in range(3):
                fleet.start()
            fleet.advance(1000)
            hosts = list(fleet.hosts)
            for index in order:
                fleet.leave(hosts[index])
            fleet.advance(fleet_lib.TICK_MS)
            (left,) = fleet.running()
            for organisation in fleet_lib.ORGANISATIONS:
                self.assertEqual(
                    fleet.admit(left, organisation),
                    rate_decisions.Admitted(),
                    order,
                )


if __name__ == "__main__":
    unittest.main()
