"""The fleet's view: a pure function of a prefix of the members stream."""

from __future__ import annotations

import dataclasses

from mangotally import ids
from mangotally.policy import records


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
    place: ids.PlaceId
    joined_offset: ids.Offset
    heartbeat_offset: ids.Offset


class View:
    """The hosts of the fleet as of a prefix of the members stream."""

    def __init__(self) -> None:
        self._members: dict[ids.HostId, Member] = {}
        self._gone: dict[ids.HostId, int] = {}

    @property
    def members(self) -> dict[ids.HostId, Member]:
        """Members by host id."""
        return self._members

    def hosts(self) -> list[ids.HostId]:
        """Returns the ids of all members in a fixed order."""
        return sorted(self._members)

    def apply(self, record: object, offset: ids.Offset) -> bool:
        """Applies one record.

        Args:
            record: A record of the members stream; others are ignored.
            offset: Its offset.

        Returns:
            Whether the set of members or an address changed.
        """
        match record:
            case records.Heartbeat():
                return self._apply_heartbeat(record, offset)
            case records.Leave():
                return self._remove(record.host, record.incarnation)
            case records.Evict():
                return self._apply_evict(record)
            case _:
                return False

    def _apply_heartbeat(
        self, record: records.Heartbeat, offset: ids.Offset
    ) -> bool:
        if record.incarnation <= self._gone.get(record.host, -1):
            return False
        known = self._members.get(record.host)
        if known is not None and record.incarnation < known.incarnation:
            return False
        same = known is not None and known.incarnation == record.incarnation
        self._members[record.host] = Member(
            host=record.host,
            incarnation=record.incarnation,
            address=record.address,
            place=record.place,
            joined_offset=known.joined_offset if known and same else offset,
            heartbeat_offset=offset,
        )
        return not same

    def _apply_evict(self, record: records.Evict) -> bool:
        known = self._members.get(record.host)
        if known is None or known.heartbeat_offset > record.heartbeat_offset:
            return False
        return self._remove(record.host, record.incarnation)

    def _remove(self, host: ids.HostId, incarnation: int) -> bool:
        known = self._members.get(host)
        if known is None or known.incarnation != incarnation:
            return False
        del self._members[host]
        self._gone[host] = incarnation
        return True
