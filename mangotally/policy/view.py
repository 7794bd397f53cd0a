"""The membership view: a pure function of the end of the members stream."""

from __future__ import annotations

import dataclasses
import enum

from mangotally import ids
from mangotally.policy import records

WINDOW_OFFSETS = 4096


@dataclasses.dataclass(frozen=True)
class Member:
    """A host in the view.

    Attributes:
        host: Its id.
        incarnation: Its incarnation.
        address: Its address for other hosts, `ip:port`.
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

    `REMOVED` members have left or were evicted: their lease had expired when
    the record was written. `EXPIRED` members may still hold a lease.
    """

    JOINED = "joined"
    REMOVED = "removed"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True)
class MembershipChange:
    """One change of the set of members.

    Attributes:
        kind: Kind of the change.
        host: The host.
        incarnation: The incarnation that joined, was removed or expired.
        replaced: The previous incarnation of a joining host, or None.
        offset: Offset of the record that caused it.
    """

    kind: ChangeKind
    host: ids.HostId
    incarnation: int
    replaced: int | None
    offset: ids.Offset


class View:
    """The hosts of the fleet after a prefix of the members stream.

    A member expires when its last heartbeat is more than `window` offsets
    old, and removals are kept for the same number of offsets. A reader that
    starts `window` offsets before the end therefore knows all members.
    """

    def __init__(self, window: int = WINDOW_OFFSETS) -> None:
        """Creates an empty view.

        Args:
            window: Number of offsets after which a member expires.
        """
        self._window = window
        self._members: dict[ids.HostId, Member] = {}
        self._removed: dict[ids.HostId, tuple[int, ids.Offset]] = {}

    @property
    def members(self) -> dict[ids.HostId, Member]:
        """Members by host id."""
        return self._members

    def hosts(self) -> list[ids.HostId]:
        """Returns the ids of all members, sorted."""
        return sorted(self._members)

    def last_incarnation(self, host: ids.HostId) -> int:
        """Returns the highest known incarnation of a host, or -1."""
        known = self._members.get(host)
        removed = self._removed.get(host, (-1, 0))[0]
        return max(removed, known.incarnation if known else -1)

    def apply(
        self, record: object, offset: ids.Offset
    ) -> list[MembershipChange]:
        """Applies one record.

        Args:
            record: A record of the members stream; others are ignored.
            offset: Its offset.

        Returns:
            The changes to the set of members, in order.
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
        for host, (_, removed_offset) in list(self._removed.items()):
            if removed_offset >= oldest:
                break
            del self._removed[host]
        return changes

    def _apply_heartbeat(
        self, record: records.Heartbeat, offset: ids.Offset
    ) -> list[MembershipChange]:
        if record.incarnation <= self._removed.get(record.host, (-1, 0))[0]:
            return []
        known = self._members.get(record.host)
        if known is not None and record.incarnation < known.incarnation:
            return []
        same = known is not None and known.incarnation == record.incarnation
        # Reinserted to keep the members ordered by their last heartbeat.
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
        # Reinserted to keep the members ordered by their last heartbeat.
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
        self._removed.pop(host, None)
        self._removed[host] = (incarnation, offset)
        return [
            MembershipChange(
                ChangeKind.REMOVED, host, incarnation, None, offset
            )
        ]
