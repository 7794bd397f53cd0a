"""Simulated hosts, clocks and log in virtual time, for membership tests."""

from __future__ import annotations

import dataclasses

from mangotally import ids
from mangotally.policy import (
    membership,
    prefetched_tokens,
    rate_decisions,
    rate_limits,
    records,
)

TICK_MS = 100.0
TIMES = membership.LeaseTimes(heartbeat_ms=500.0, lease_ms=3000.0)
ORGANISATIONS = tuple(ids.OrganisationId(f"o{n}") for n in range(2))
RATE_LIMITS = {
    ORGANISATIONS[0]: rate_decisions.RateLimit(rate_per_s=0.2, burst=8.0),
    ORGANISATIONS[1]: rate_decisions.RateLimit(rate_per_s=20.0, burst=40.0),
}
# Rate of a fast host clock, relative to real time.
FAST_CLOCK_RATE = 1.004


@dataclasses.dataclass
class SentHeartbeat:
    """A heartbeat that was sent and not acknowledged yet."""

    record: membership.AnyHeartbeat
    sent_ms: float
    offset: int | None = None


class EagerPrefetchedTokens(prefetched_tokens.PrefetchedTokens):
    """Prefetched tokens that request a batch with every call."""

    def desired_tokens(self) -> int:
        return 8


class FakeLog:
    """The members stream; its oldest records may be removed."""

    def __init__(self) -> None:
        self.entries: list[object] = []
        self.oldest = 0
        self.down = False

    def append(self, record: object) -> int:
        self.entries.append(record)
        return len(self.entries) - 1


class Host:
    """One process with its state, its clock and its connection to the log."""

    def __init__(
        self,
        name: str,
        log: FakeLog,
        rate: float,
        real_ms: float,
        salt: int,
    ) -> None:
        self.name = ids.HostId(name)
        self.log = log
        self.rate = rate
        self.real_ms = real_ms
        self.paused = self.is_disconnected = self.is_stopped = False
        self.lag = 0
        self.loses_acknowledgements = False
        self.sent: list[SentHeartbeat] = []
        self.prefetched_tokens = {
            name: EagerPrefetchedTokens() for name in ORGANISATIONS
        }
        self.next_heartbeat_ms = 0.0
        local_host = membership.LocalHost(
            self.name, f"{name}:1", ids.FailureDomainId("p")
        )
        self.state = membership.MembershipState(local_host, TIMES, salt)
        self.limits = rate_limits.RateLimits(self.state)
        self._begin_read()

    def now(self) -> float:
        return self.real_ms * self.rate

    def can_append(self) -> bool:
        return not (
            self.is_disconnected
            or self.log.down
            or self.is_stopped
            or self.paused
        )

    def tick(self, real_ms: float) -> None:
        """Advances time and does what is due, unless the host is paused."""
        self.real_ms = real_ms
        if self.paused or self.is_stopped:
            return
        self.read()
        self._renew()
        if self.now() >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = self.now() + TIMES.heartbeat_ms
            self.send_heartbeat()
            for record in self.state.overdue_evictions(self.now()):
                if self.can_append():
                    self.log.append(record)

    def read(self) -> None:
        """Reads all records except the last `lag` ones."""
        if self.is_disconnected or self.log.down:
            return
        if self.state.next_offset < self.log.oldest:
            self.state.reset()
            self.sent.clear()
            self._begin_read()
        end = len(self.log.entries) - self.lag
        for offset in range(self.state.next_offset, end):
            record = self.log.entries[offset]
            self.state.apply(record, ids.Offset(offset), self.now())
        if self.lag == 0:
            self.state.mark_caught_up(self.now())

    def send_heartbeat(self) -> None:
        """Sends a heartbeat; its acknowledgement may be lost."""
        record = self.state.heartbeat(int(self.real_ms))
        if record is None:
            return
        item = SentHeartbeat(record, self.now())
        if not self.can_append():
            return
        item.offset = self.log.append(record)
        if not self.loses_acknowledgements:
            self.sent.append(item)

    def send_delayed_heartbeat(self) -> None:
        """Sends a heartbeat that reaches the log later."""
        record = self.state.heartbeat(int(self.real_ms))
        if record is not None:
            self.sent.append(SentHeartbeat(record, self.now()))

    def append_delayed_heartbeats(self) -> None:
        """Appends the delayed heartbeats to the log."""
        for item in self.sent:
            if item.offset is None and not self.log.down:
                item.offset = self.log.append(item.record)

    def _renew(self) -> None:
        for item in list(self.sent):
            if item.offset is not None:
                offset = ids.Offset(item.offset)
                if self.state.next_offset > offset:
                    self.sent.remove(item)
                    self.state.renew_lease(
                        item.record, item.sent_ms, offset, self.now()
                    )

    def _begin_read(self) -> None:
        self.state.ownership.complete = self.log.oldest == 0
        self.state.next_offset = ids.Offset(self.log.oldest)


class Fleet:
    """Several hosts that share one log.

    Attributes:
        log: The members stream.
        real_ms: Real time; the clocks of the hosts run at different rates.
        hosts: All processes, in order of their start.
        started_hosts: Number of processes started.
        loses_handovers: Whether handed-over buckets and batches are lost.
        eager: Whether hosts request the buckets of moved keys in each tick,
            rather than with the next call.
    """

    def __init__(self) -> None:
        self.log = FakeLog()
        self.real_ms = 1000.0
        self.hosts: list[Host] = []
        self.started_hosts = 0
        self.loses_handovers = False
        self.eager = True

    def start(self, name: str | None = None) -> Host:
        """Starts a process, which joins with its first heartbeat."""
        self.started_hosts += 1
        rate = (1.0, FAST_CLOCK_RATE, 1 / FAST_CLOCK_RATE)[
            self.started_hosts % 3
        ]
        name = name or f"h{self.started_hosts}"
        host = Host(name, self.log, rate, self.real_ms, self.started_hosts)
        self.hosts.append(host)
        host.tick(self.real_ms)
        host.tick(self.real_ms)
        if self.eager:
            self.hand_over_all()
        return host

    def running(self) -> list[Host]:
        return [host for host in self.hosts if not host.is_stopped]

    def advance(self, by_ms: float) -> None:
        """Advances real time in ticks."""
        end_ms = self.real_ms + by_ms
        while self.real_ms < end_ms:
            self.real_ms = min(self.real_ms + TICK_MS, end_ms)
            for host in self.running():
                host.tick(self.real_ms)
            if self.eager:
                self.hand_over_all()

    def leave(self, host: Host) -> None:
        """Stops a host gracefully: hands over its buckets, then leaves."""
        self.hand_over_all()
        for bequest in host.limits.bequests(RATE_LIMITS, host.now()):
            heir = self.find(bequest.heir)
            if heir is not None:
                heir.limits.receive_bequest(bequest, heir.now())
        host.state.lease.lapse()
        if host.can_append():
            self.log.append(records.Leave(host.name, host.state.incarnation))
        host.is_stopped = True

    def hand_over_all(self) -> None:
        """Makes hosts request the buckets of keys that have moved to them."""
        for host in self.running():
            if host.paused:
                continue
            for organisation, request in host.limits.pending_handovers(
                RATE_LIMITS, host.now()
            ):
                self._hand_over(host, organisation, request)

    def find(self, name: ids.HostId | None) -> Host | None:
        """Returns the newest running process with a host id, or None."""
        for host in reversed(self.hosts):
            if host.name == name and not (host.is_stopped or host.paused):
                return host
        return None

    def admit(
        self, entry: Host, organisation: ids.OrganisationId
    ) -> rate_decisions.Decision:
        """Admits a call at a host, as the host's I/O code would.

        The host uses its prefetched tokens first, and then asks the home (the
        host that owns the organisation's key).
        """
        prefetched = entry.prefetched_tokens[organisation]
        if prefetched.take(entry.now()):
            return rate_decisions.Admitted()
        home = self.find(entry.state.home_of(f"organisation/{organisation}"))
        if home is None:
            return rate_decisions.Refusal.NOT_HOME
        self.return_batch(entry, organisation)
        decision = home.limits.take(
            organisation, RATE_LIMITS[organisation], 1, home.now()
        )
        if isinstance(decision, rate_decisions.AskPrevious):
            self._hand_over(home, organisation, decision)
            decision = home.limits.take(
                organisation, RATE_LIMITS[organisation], 1, home.now()
            )
        if isinstance(decision, rate_decisions.Admitted):
            batch = home.limits.issue_batch(
                organisation,
                RATE_LIMITS[organisation],
                prefetched.desired_tokens(),
                home.now(),
            )
            if batch and not self.loses_handovers:
                prefetched.receive(batch.number, batch.count, entry.now())
        return decision

    def return_batch(
        self, entry: Host, organisation: ids.OrganisationId
    ) -> None:
        """Returns a host's batch to the home that the host's view names."""
        home = self.find(entry.state.home_of(f"organisation/{organisation}"))
        returned = entry.prefetched_tokens[organisation].release()
        if home and returned and not self.loses_handovers:
            home.limits.settle(organisation, returned, home.now())

    def _hand_over(
        self,
        home: Host,
        organisation: ids.OrganisationId,
        request: rate_decisions.AskPrevious,
    ) -> None:
        previous = self.find(request.host)
        if previous is None:
            return
        previous.read()
        state = previous.limits.hand_over(
            organisation,
            request.offset,
            RATE_LIMITS[organisation],
            previous.now(),
        )
        if state is None or self.loses_handovers:
            return
        home.limits.accept(
            organisation,
            request.offset,
            state,
            RATE_LIMITS[organisation],
            home.now(),
        )
