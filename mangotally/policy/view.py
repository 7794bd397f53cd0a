"""The fleet's view: a pure function of the end of the members stream."""

from __future__ import annotations

import dataclasses
import enum

from mangotally import ids
from mangotally.policy import records

WINDOW_OFFSETS = 4096


@dataclasses.dataclass(frozen=True)
class Member:
    """A host of the view.

    Attributes:
        host: Its id.
        incarnation: Its incarnation.
        address: Where other hosts reach it, `ip:port`.
        place: Its failure domain.
        joined_offset: Offset of the first heartbeat of the incarnation.
        heartbeat_offset: Offset of the last heartbeat.
    """

    host: ids.HostId
    incarnation: int
    address: str
    place: ids.FailureDomainId
    joined_offset: ids.Offset
    heartbeat_offset: ids.Offset


class ChangeKind(enum.Enum):
    """How the set of members changed.

    `REMOVED` members have left or were evicted: their lease was over when
    the record was written. `EXPIRED` members may still hold a lease.
    """

    JOINED = "joined"
    REMOVED = "removed"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True)
class MembershipChange:
    """One change of the set of members.

    Attributes:
        kind: What happened.
        host: The host.
        incarnation: Its incarnation that joined or went.
        replaced: The incarnation that a joining host had before, or None.
        offset: Offset of the record that caused it.
    """

    kind: ChangeKind
    host: ids.HostId
    incarnation: int
    replaced: int | None
    offset: ids.Offset


class View:
    """The hosts of the fleet as of a prefix of the members stream.

    A member expires when its last heartbeat is `window` offsets old, and
    removals are forgotten as fast. A reader that begins `window` offsets
    before the end therefore knows all members.
    """

    def __init__(self, window: int = WINDOW_OFFSETS) -> None:
        """Makes an empty view.

        Args:
            window: Offsets after which a member expires.
        """
        self._window = window
        self._members: dict[ids.HostId, Member] = {}
        self._gone: dict[ids.HostId, tuple[int, ids.Offset]] = {}

    @property
    def members(self) -> dict[ids.HostId, Member]:
        """Members by host id."""
        return self._members

    def hosts(self) -> list[ids.HostId]:
        """Returns the ids of all members in a fixed order."""
        return sorted(self._members)

    def last_incarnation(self, host: ids.HostId) -> int:
        """Returns the newest known incarnation of a host, or -1."""
        known = self._members.get(host)
        gone = self._gone.get(host, (-1, 0))[0]
        return max(gone, known.incarnation if known else -1)

    def apply(
        self, record: object, offset: ids.Offset
    ) -> list[MembershipChange]:
        """Applies one record.

        Args:
            record: A record of the members stream; others are ignored.
            offset: Its offset.

        Returns:
            The changes of the set of members, in order.
        """
        changes = self._expire(offset)
        match record:
            case records.Heartbeat():
                changes += self._apply_heartbeat(record, offset)
            case records.Alive():
                self._apply_alive(record, offset)
            case records.Leave():
                changes += self._remove(record.host, record.incarnation, offset)
            case records.Evict():
                changes += self._apply_evict(record, offset)
        return changes

    def _expire(self, offset: ids.Offset) -> list[MembershipChange]:
        oldest = offset - self._window
        changes = []
        for member in list(self._members.values()):
            if member.heartbeat_offset >= oldest:
                break
            del self._members[member.host]
            changes.append(
                MembershipChange(
                    ChangeKind.EXPIRED,
                    member.host,
                    member.incarnation,
                    None,
                    offset,
                )
            )
        for host, (_, gone_offset) in list(self._gone.items()):
            if gone_offset >= oldest:
                break
            del self._gone[host]
        return changes

    def _apply_heartbeat(
        self, record: records.Heartbeat, offset: ids.Offset
    ) -> list[MembershipChange]:
        if record.incarnation <= self._gone.get(record.host, (-1, 0))[0]:
            return []
        known = self._members.get(record.host)
        if known is not None and record.incarnation < known.incarnation:
            return []
        same = known is not None and known.incarnation == record.incarnation
        # Reinserted, so that members stay in order of their heartbeats.
        self._members.pop(record.host, None)
        self._members[record.host] = Member(
            host=record.host,
            incarnation=record.incarnation,
            address=record.address,
            place=record.place,
            joined_offset=known.joined_offset if known and same else offset,
            heartbeat_offset=offset,
        )
        if same:
            return []
        return [
            MembershipChange(
                ChangeKind.JOINED,
                record.host,
                record.incarnation,
                known.incarnation if known else None,
                offset,
            )
        ]

    def _apply_alive(self, record: records.Alive, offset: ids.Offset) -> None:
        known = self._members.get(record.host)
        if known is None or known.incarnation != record.incarnation:
            return
        # Reinserted, so that members stay in order of their heartbeats.
        del self._members[record.host]
        self._members[record.host] = dataclasses.replace(
            known, heartbeat_offset=offset
        )

    def _apply_evict(
        self, record: records.Evict, offset: ids.Offset
    ) -> list[MembershipChange]:
        known = self._members.get(record.host)
        if known is None or known.heartbeat_offset > record.heartbeat_offset:
            return []
        return self._remove(record.host, record.incarnation, offset)

    def _remove(
        self, host: ids.HostId, incarnation: int, offset: ids.Offset
    ) -> list[MembershipChange]:
        known = self._members.get(host)
        if known is None or known.incarnation != incarnation:
            return []
        del self._members[host]
        self._gone.pop(host, None)
        self._gone[host] = (incarnation, offset)
        return [
            MembershipChange(
                ChangeKind.REMOVED, host, incarnation, None, offset
            )
        ]
