"""The membership state of one host: its view of the fleet and its lease."""

from __future__ import annotations

import dataclasses
import math
from typing import TypeAlias

from mangotally import ids
from mangotally.policy import lease, ownership, records, rendezvous, view
from mangotally.util import clock

# Tolerated difference of clock rates, as a fraction of the lease.
CLOCK_MARGIN = 0.02
# Time without a lease after which all ownership claims restart, as a multiple
# of the lease.
OUTAGE_LEASES = 12
# Incarnations are wall-clock milliseconds times this, plus a random salt.
INCARNATION_SALTS = 1_000_000
# Fraction of the fleet's log appends that heartbeats may use.
HEARTBEAT_SHARE = 0.2
# Size of a heartbeat, and each host's budget for reading heartbeats.
HEARTBEAT_BYTES = 120
READ_BYTES_PER_S = 1500
FULL_HEARTBEAT_EVERY = 8

AnyHeartbeat: TypeAlias = records.Heartbeat | records.Alive


@dataclasses.dataclass(frozen=True)
class LeaseTimes:
    """Durations that are equal on all hosts.

    Attributes:
        heartbeat_ms: Interval between heartbeats.
        lease_ms: Duration of a lease on its holder's clock.
    """

    heartbeat_ms: float
    lease_ms: float

    @property
    def lease_expiry_ms(self) -> float:
        """Time after which a lease has expired by every other host's clock."""
        return self.lease_ms * (1 + CLOCK_MARGIN)

    @property
    def max_read_gap_ms(self) -> float:
        """Longest interval between reads of a stream that is up to date."""
        return self.lease_ms / 2

    @property
    def outage_ms(self) -> float:
        """Time without a lease after which all ownership claims restart."""
        return self.lease_ms * OUTAGE_LEASES


def heartbeat_interval_ms(
    times: LeaseTimes, hosts: int, appends_per_s: float
) -> float:
    """Returns the interval between heartbeats of one host.

    It grows with the fleet so that heartbeats stay within their share of
    the log's appends, and reading them stays within each host's read budget.
    It is capped at a third of the lease, or at `heartbeat_ms` if longer.

    Args:
        times: Durations that are equal on all hosts.
        hosts: Number of hosts in the fleet.
        appends_per_s: Appends per second that the whole fleet may use.
    """
    appended_ms = hosts * clock.MS_PER_S / (appends_per_s * HEARTBEAT_SHARE)
    read_ms = hosts * HEARTBEAT_BYTES * clock.MS_PER_S / READ_BYTES_PER_S
    longest_ms = max(times.heartbeat_ms, times.lease_ms / 3)
    return min(max(times.heartbeat_ms, appended_ms, read_ms), longest_ms)


@dataclasses.dataclass(frozen=True)
class LocalHost:
    """The local host as described by its heartbeats.

    Attributes:
        host: Its id.
        address: Its address for other hosts, `ip:port`.
        place: Its failure domain.
    """

    host: ids.HostId
    address: str
    place: ids.FailureDomainId


class MembershipState:
    """The fleet's view, the local host's lease and overdue members."""

    def __init__(
        self, local_host: LocalHost, times: LeaseTimes, salt: int = 0
    ) -> None:
        """Creates the state of a host that has read no records.

        Args:
            local_host: The local host.
            times: Durations that are equal on all hosts.
            salt: A random number below `INCARNATION_SALTS` that distinguishes
                processes that start at the same time with the same host id.
        """
        self.local_host = local_host
        self._salt = salt
        self._heartbeat_count = 0
        self.times = times
        self.lease = lease.Lease(times.lease_ms)
        self.incarnation = -1
        self.generation = 0
        self.reset()

    def reset(self) -> None:
        """Discards all state of the stream, after records were missed."""
        self.view = view.View()
        self.ownership = ownership.OwnershipHistory(
            self.local_host.host, self.times.lease_expiry_ms
        )
        self.next_offset = ids.Offset(0)
        self.superseded = False
        self._homes = rendezvous.HomeMap()
        self._last_heartbeat_ms: dict[ids.HostId, float] = {}
        self._caught_up_ms = -math.inf
        self.lease.lapse()
        self.incarnation = -1
        self.generation += 1

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a key (the host that owns it), or None."""
        return self._homes.home(key)

    def is_member(self) -> bool:
        """Returns whether the current incarnation is in the view."""
        member = self.view.members.get(self.local_host.host)
        return member is not None and member.incarnation == self.incarnation

    def holds_lease(self, now_ms: float) -> bool:
        """Returns whether the local host holds a valid lease."""
        return self.is_member() and self.lease.is_valid(now_ms)

    def apply(self, record: object, offset: ids.Offset, now_ms: float) -> bool:
        """Applies a record of the members stream.

        Returns:
            Whether the set of members changed.
        """
        self.next_offset = ids.Offset(offset + 1)
        changes = self.view.apply(record, offset)
        if isinstance(record, records.Heartbeat | records.Alive):
            self._last_heartbeat_ms[record.host] = now_ms
        for change in changes:
            self._apply_change(change, now_ms)
            self.generation += 1
        return bool(changes)

    def mark_caught_up(self, now_ms: float) -> None:
        """Records that the stream has been read up to its end.

        After a pause of the local host or of the log, the heartbeat timeout
        of every member restarts: their heartbeats may not have been readable.
        """
        if now_ms - self._caught_up_ms > self.times.max_read_gap_ms:
            self._last_heartbeat_ms = dict.fromkeys(self.view.members, now_ms)
        self._caught_up_ms = now_ms

    def heartbeat(self, wall_ms: int) -> AnyHeartbeat | None:
        """Returns the heartbeat to send now, or None if superseded.

        Most heartbeats are short. One in `FULL_HEARTBEAT_EVERY` is full, for
        hosts that start to read near the end of the stream.
        """
        if self.superseded:
            return None
        self._heartbeat_count += 1
        if self.is_member() and self._heartbeat_count % FULL_HEARTBEAT_EVERY:
            return records.Alive(self.local_host.host, self.incarnation)
        if self.incarnation < 0:
            last = self.view.last_incarnation(self.local_host.host)
            self.incarnation = self._salt + max(
                wall_ms * INCARNATION_SALTS, last + 1
            )
            self.ownership.add_incarnation(self.incarnation)
        return records.Heartbeat(
            self.local_host.host,
            self.incarnation,
            self.local_host.address,
            self.local_host.place,
        )

    def renew_lease(
        self,
        sent: AnyHeartbeat,
        sent_ms: float,
        offset: ids.Offset,
        now_ms: float,
    ) -> bool:
        """Renews the lease after a heartbeat was acknowledged.

        Args:
            sent: The heartbeat.
            sent_ms: When it was sent.
            offset: Its offset; the stream must have been read past it.
            now_ms: Current time.

        Returns:
            Whether the lease was renewed.
        """
        if self.next_offset <= offset or not self.is_member():
            return False
        if sent.incarnation != self.incarnation:
            return False
        without_lease_ms = sent_ms - self.lease.expires_ms
        if self.times.outage_ms < without_lease_ms < math.inf:
            self.ownership.restart(offset, now_ms)
            self.generation += 1
        self.lease.renew(sent_ms)
        return True

    def overdue_evictions(self, now_ms: float) -> list[records.Evict]:
        """Returns evictions of members whose heartbeats are overdue."""
        if now_ms - self._caught_up_ms > self.times.max_read_gap_ms:
            return []
        return [
            records.Evict(
                member.host, member.incarnation, member.heartbeat_offset
            )
            for member in self.view.members.values()
            if member.host != self.local_host.host
            and now_ms - self._last_heartbeat_ms.get(member.host, now_ms)
            > self.times.lease_expiry_ms
        ]

    def _apply_change(
        self, change: view.MembershipChange, now_ms: float
    ) -> None:
        self.ownership.record_change(change, now_ms)
        joined = change.kind is view.ChangeKind.JOINED
        if joined:
            self._homes.add(change.host)
        else:
            self._homes.remove(change.host)
            self._last_heartbeat_ms.pop(change.host, None)
        if change.host != self.local_host.host:
            return
        if joined:
            self.superseded = change.incarnation > self.incarnation >= 0
        elif change.incarnation == self.incarnation:
            self.lease.lapse()
            self.incarnation = -1
