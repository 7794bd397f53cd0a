"""Hosts, clocks and a log in virtual time, for tests of membership."""

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
TERMS = {
    ORGANISATIONS[0]: rate_decisions.RateLimit(rate_per_s=0.2, burst=8.0),
    ORGANISATIONS[1]: rate_decisions.RateLimit(rate_per_s=20.0, burst=40.0),
}
FAST = 1.004


@dataclasses.dataclass
class Sent:
    """A heartbeat under way."""

    record: membership.AnyHeartbeat
    sent_ms: float
    offset: int | None = None


class EagerAllowance(prefetched_tokens.PrefetchedTokens):
    """Asks for a batch with every call."""

    def wanted(self) -> int:
        return 8


class FakeLog:
    """The members stream; records may age out."""

    def __init__(self) -> None:
        self.entries: list[object] = []
        self.oldest = 0
        self.down = False

    def append(self, record: object) -> int:
        self.entries.append(record)
        return len(self.entries) - 1


class Host:
    """One process: its state, its clock and its connection to the log."""

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
        self.paused = self.cut = self.gone = False
        self.lag = 0
        self.lose_answer = False
        self.sent: list[Sent] = []
        self.allowances = {name: EagerAllowance() for name in ORGANISATIONS}
        self.beat_ms = 0.0
        me = membership.LocalHost(
            self.name, f"{name}:1", ids.FailureDomainId("p")
        )
        self.state = membership.MembershipState(me, TIMES, salt)
        self.limits = rate_limits.RateLimits(self.state)
        self._begin_read()

    def now(self) -> float:
        return self.real_ms * self.rate

    def can_append(self) -> bool:
        return not (self.cut or self.log.down or self.gone or self.paused)

    def tick(self, real_ms: float) -> None:
        """Does what is due; a paused host only ages."""
        self.real_ms = real_ms
        if self.paused or self.gone:
            return
        self.read()
        self._renew()
        if self.now() >= self.beat_ms:
            self.beat_ms = self.now() + TIMES.heartbeat_ms
            self.beat()
            for record in self.state.overdue_evictions(self.now()):
                if self.can_append():
                    self.log.append(record)

    def read(self) -> None:
        """Reads all records but the last few that lag hides."""
        if self.cut or self.log.down:
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

    def beat(self) -> None:
        """Sends a heartbeat; its answer may be lost."""
        record = self.state.heartbeat(int(self.real_ms))
        if record is None:
            return
        item = Sent(record, self.now())
        if not self.can_append():
            return
        item.offset = self.log.append(record)
        if not self.lose_answer:
            self.sent.append(item)

    def send_late(self) -> None:
        """Sends a heartbeat that the log takes later."""
        record = self.state.heartbeat(int(self.real_ms))
        if record is not None:
            self.sent.append(Sent(record, self.now()))

    def land(self) -> None:
        """Has the log take the heartbeats that are under way."""
        for item in self.sent:
            if item.offset is None and not self.log.down:
                item.offset = self.log.append(item.record)

    def _renew(self) -> None:
        for item in list(self.sent):
            if item.offset is not None:
                offset = ids.Offset(item.offset)
                if self.state.next_offset > offset:
                    self.sent.remove(item)
                    self.state.renew(
                        item.record, item.sent_ms, offset, self.now()
                    )

    def _begin_read(self) -> None:
        self.state.ownership.complete = self.log.oldest == 0
        self.state.next_offset = ids.Offset(self.log.oldest)


class Fleet:
    """Some hosts over one log."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.real_ms = 1000.0
        self.hosts: list[Host] = []
        self.made = 0
        self.lose_handover = False
        self.eager = True

    def start(self, name: str | None = None) -> Host:
        """Starts a process; it joins with its first heartbeat."""
        self.made += 1
        rate = (1.0, FAST, 1 / FAST)[self.made % 3]
        name = name or f"h{self.made}"
        host = Host(name, self.log, rate, self.real_ms, self.made)
        self.hosts.append(host)
        host.tick(self.real_ms)
        host.tick(self.real_ms)
        if self.eager:
            self.ask_all()
        return host

    def running(self) -> list[Host]:
        return [host for host in self.hosts if not host.gone]

    def advance(self, by_ms: float) -> None:
        """Moves real time on, in ticks."""
        end_ms = self.real_ms + by_ms
        while self.real_ms < end_ms:
            self.real_ms = min(self.real_ms + TICK_MS, end_ms)
            for host in self.running():
                host.tick(self.real_ms)
            if self.eager:
                self.ask_all()

    def leave(self, host: Host) -> None:
        """Stops a host in order: buckets first, then the leave."""
        self.ask_all()
        for bequest in host.limits.bequests(TERMS, host.now()):
            heir = self.find(bequest.heir)
            if heir is not None:
                heir.limits.receive_bequest(bequest, heir.now())
        host.state.lease.lapse()
        if host.can_append():
            self.log.append(records.Leave(host.name, host.state.incarnation))
        host.gone = True

    def ask_all(self) -> None:
        """Has hosts ask for the buckets of keys that have moved to them."""
        for host in self.running():
            if host.paused:
                continue
            for organisation, question in host.limits.pending_handovers(
                TERMS, host.now()
            ):
                self._hand_over(host, organisation, question)

    def find(self, name: ids.HostId | None) -> Host | None:
        """Returns the process that answers under a name."""
        for host in reversed(self.hosts):
            if host.name == name and not (host.gone or host.paused):
                return host
        return None

    def take(
        self, entry: Host, organisation: ids.OrganisationId
    ) -> rate_decisions.Decision:
        """Admits a call at a host as its I/O would."""
        allowed = entry.allowances[organisation]
        if allowed.take(entry.now()):
            return rate_decisions.Admitted()
        home = self.find(entry.state.home_of(f"organisation/{organisation}"))
        if home is None:
            return rate_decisions.Refusal.NOT_HOME
        self.give_back(entry, organisation)
        decision = home.limits.take(
            organisation, TERMS[organisation], 1, home.now()
        )
        if isinstance(decision, rate_decisions.AskPrevious):
            self._hand_over(home, organisation, decision)
            decision = home.limits.take(
                organisation, TERMS[organisation], 1, home.now()
            )
        if isinstance(decision, rate_decisions.Admitted):
            batch = home.limits.issue_batch(
                organisation, TERMS[organisation], allowed.wanted(), home.now()
            )
            if batch and not self.lose_handover:
                allowed.receive(batch.number, batch.count, entry.now())
        return decision

    def give_back(self, entry: Host, organisation: ids.OrganisationId) -> None:
        """Returns a host's batch to the home that the host knows."""
        home = self.find(entry.state.home_of(f"organisation/{organisation}"))
        returned = entry.allowances[organisation].release()
        if home and returned and not self.lose_handover:
            home.limits.settle(organisation, returned, home.now())

    def _hand_over(
        self,
        home: Host,
        organisation: ids.OrganisationId,
        question: rate_decisions.AskPrevious,
    ) -> None:
        previous = self.find(question.host)
        if previous is None:
            return
        previous.read()
        state = previous.limits.hand_over(
            organisation, question.offset, TERMS[organisation], previous.now()
        )
        if state is None or self.lose_handover:
            return
        home.limits.accept(
            organisation,
            question.offset,
            state,
            TERMS[organisation],
            home.now(),
        )
