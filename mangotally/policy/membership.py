"""What one host knows of the fleet, and when it may act for it."""

from __future__ import annotations

import dataclasses
import math
from typing import TypeAlias

from mangotally import ids
from mangotally.policy import lease, ownership, records, rendezvous, view
from mangotally.util import clock

CLOCK_MARGIN = 0.02
OUTAGE_LEASES = 12
INCARNATION_SALTS = 1_000_000
HEARTBEAT_SHARE = 0.2
HEARTBEAT_BYTES = 120
READ_BYTES_PER_S = 1500
FULL_HEARTBEAT_EVERY = 8

AnyHeartbeat: TypeAlias = records.Heartbeat | records.Alive


@dataclasses.dataclass(frozen=True)
class LeaseTimes:
    """Durations that all hosts share.

    Attributes:
        heartbeat_ms: Interval between heartbeats.
        lease_ms: Length of a lease on its holder's clock.
    """

    heartbeat_ms: float
    lease_ms: float

    @property
    def lease_expiry_ms(self) -> float:
        """Time after which a lease is over on every other clock."""
        return self.lease_ms * (1 + CLOCK_MARGIN)

    @property
    def max_read_gap_ms(self) -> float:
        """Longest time between reads of a stream that is followed."""
        return self.lease_ms / 2

    @property
    def outage_ms(self) -> float:
        """Time without a lease after which all claims begin anew."""
        return self.lease_ms * OUTAGE_LEASES


def heartbeat_pause_ms(
    times: LeaseTimes, hosts: int, appends_per_s: float
) -> float:
    """Returns the pause between heartbeats of one host.

    It grows with the fleet so that heartbeats stay within their share of
    the log's appends, and their reading within each host's budget; it ends
    at a third of the lease.

    Args:
        times: Durations that all hosts share.
        hosts: Hosts of the fleet.
        appends_per_s: Appends a second that the whole fleet may use.
    """
    appended_ms = hosts * clock.MS_PER_S / (appends_per_s * HEARTBEAT_SHARE)
    read_ms = hosts * HEARTBEAT_BYTES * clock.MS_PER_S / READ_BYTES_PER_S
    longest_ms = max(times.heartbeat_ms, times.lease_ms / 3)
    return min(max(times.heartbeat_ms, appended_ms, read_ms), longest_ms)


@dataclasses.dataclass(frozen=True)
class LocalHost:
    """This host as its heartbeats describe it.

    Attributes:
        host: Its id.
        address: Where other hosts reach it, `ip:port`.
        place: Its failure domain.
    """

    host: ids.HostId
    address: str
    place: ids.FailureDomainId


class MembershipState:
    """The view, this host's lease, and who has not been heard of."""

    def __init__(self, me: LocalHost, times: LeaseTimes, salt: int = 0) -> None:
        """Makes the state of a host that has read nothing.

        Args:
            me: This host.
            times: Durations that all hosts share.
            salt: A random number below `SALTS`, which keeps processes
                that start at once under the same id apart.
        """
        self.local_host = me
        self._salt = salt
        self._beats = 0
        self.times = times
        self.lease = lease.Lease(times.lease_ms)
        self.incarnation = -1
        self.generation = 0
        self.reset()

    def reset(self) -> None:
        """Forgets the stream, after records were missed."""
        self.view = view.View()
        self.ownership = ownership.OwnershipHistory(
            self.local_host.host, self.times.lease_expiry_ms
        )
        self.next_offset = ids.Offset(0)
        self.superseded = False
        self._homes = rendezvous.HomeMap()
        self._heard_ms: dict[ids.HostId, float] = {}
        self._read_ms = -math.inf
        self.lease.lapse()
        self.incarnation = -1
        self.generation += 1

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a rendezvous key, or None."""
        return self._homes.home(key)

    def is_member(self) -> bool:
        """Returns whether this incarnation is in the view."""
        member = self.view.members.get(self.local_host.host)
        return member is not None and member.incarnation == self.incarnation

    def holds_lease(self, now_ms: float) -> bool:
        """Returns whether this host holds a lease at this moment."""
        return self.is_member() and self.lease.is_valid(now_ms)

    def apply(self, record: object, offset: ids.Offset, now_ms: float) -> bool:
        """Takes a record of the members stream.

        Returns:
            Whether the set of members changed.
        """
        self.next_offset = ids.Offset(offset + 1)
        changes = self.view.apply(record, offset)
        if isinstance(record, records.Heartbeat | records.Alive):
            self._heard_ms[record.host] = now_ms
        for change in changes:
            self._follow(change, now_ms)
            self.generation += 1
        return bool(changes)

    def mark_caught_up(self, now_ms: float) -> None:
        """Notes that the stream has been read up to its end.

        After a pause of this host or of the log nobody counts as silent:
        their heartbeats may not have been readable.
        """
        if now_ms - self._read_ms > self.times.max_read_gap_ms:
            self._heard_ms = dict.fromkeys(self.view.members, now_ms)
        self._read_ms = now_ms

    def heartbeat(self, wall_ms: int) -> AnyHeartbeat | None:
        """Returns the heartbeat to send now, or None if there is none.

        Most are short; a full one comes often enough for hosts that begin
        to read at the end of the stream.
        """
        if self.superseded:
            return None
        self._beats += 1
        if self.is_member() and self._beats % FULL_HEARTBEAT_EVERY:
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

    def renew(
        self,
        sent: AnyHeartbeat,
        sent_ms: float,
        offset: ids.Offset,
        now_ms: float,
    ) -> bool:
        """Extends the lease by an acknowledged heartbeat.

        Args:
            sent: The heartbeat.
            sent_ms: When it was sent.
            offset: Its offset; the stream has to be read beyond it.
            now_ms: Current time.

        Returns:
            Whether the lease was extended.
        """
        if self.next_offset <= offset or not self.is_member():
            return False
        if sent.incarnation != self.incarnation:
            return False
        lapsed_ms = sent_ms - self.lease.expires_ms
        if self.times.outage_ms < lapsed_ms < math.inf:
            self.ownership.restart(offset, now_ms)
            self.generation += 1
        self.lease.renew(sent_ms)
        return True

    def overdue_evictions(self, now_ms: float) -> list[records.Evict]:
        """Returns evictions of the members that were silent too long."""
        if now_ms - self._read_ms > self.times.max_read_gap_ms:
            return []
        return [
            records.Evict(
                member.host, member.incarnation, member.heartbeat_offset
            )
            for member in self.view.members.values()
            if member.host != self.local_host.host
            and now_ms - self._heard_ms.get(member.host, now_ms)
            > self.times.lease_expiry_ms
        ]

    def _follow(self, change: view.MembershipChange, now_ms: float) -> None:
        self.ownership.record_change(change, now_ms)
        joined = change.kind is view.ChangeKind.JOINED
        if joined:
            self._homes.add(change.host)
        else:
            self._homes.remove(change.host)
            self._heard_ms.pop(change.host, None)
        if change.host != self.local_host.host:
            return
        if joined:
            self.superseded = change.incarnation > self.incarnation >= 0
        elif change.incarnation == self.incarnation:
            self.lease.lapse()
            self.incarnation = -1
