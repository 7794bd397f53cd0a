"""Determines from when on the home of a key is its only lease holder.

The home of a key is the host that owns it.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING, TypeAlias

from mangotally import ids
from mangotally.policy import rendezvous, view

if TYPE_CHECKING:
    from collections.abc import Iterable

HISTORY_MS = 600_000
MAX_HISTORY = 256

HostIncarnation: TypeAlias = tuple[ids.HostId, int]


@dataclasses.dataclass(frozen=True)
class OwnershipClaim:
    """This host's claim on a key whose home it is.

    Attributes:
        offset: Offset of the record that made this host the home of the key.
        exclusive_from_ms: Time from which no previous home can hold a lease.
        previous: The previous home, if it may still hold a lease.
        removed: The previous home, if it was removed from the view.
    """

    offset: ids.Offset
    exclusive_from_ms: float
    previous: HostIncarnation | None = None
    removed: HostIncarnation | None = None


@dataclasses.dataclass(frozen=True)
class _HistoryEntry:
    """A change of the view, and the time at which this host read it."""

    change: view.MembershipChange
    read_ms: float


class OwnershipHistory:
    """Recent changes of the view that moved keys to this host.

    Until a previous home reads the record that moved the key away from it, it
    can renew its lease only by heartbeats that precede this record. Its lease
    therefore expires at most `lease_expiry_ms` after any host has read the
    record.

    Attributes:
        complete: Whether the history begins at the start of the stream.
    """

    def __init__(self, host: ids.HostId, lease_expiry_ms: float) -> None:
        """Starts with an empty history.

        Args:
            host: This host.
            lease_expiry_ms: Duration of a lease plus the margin for clock
                drift.
        """
        self._host = host
        self._lease_expiry_ms = lease_expiry_ms
        self._members: dict[ids.HostId, int] = {}
        self._history: collections.deque[_HistoryEntry] = collections.deque()
        self._base_offset = ids.Offset(-1)
        self._base_exclusive_from_ms = -math.inf
        self._incarnations: set[int] = set()
        self.complete = False

    def add_incarnation(self, incarnation: int) -> None:
        """Adds an incarnation under which this process has joined."""
        self._incarnations.add(incarnation)

    def record_change(
        self, change: view.MembershipChange, now_ms: float
    ) -> None:
        """Adds a change of the view to the history."""
        if change.kind is view.ChangeKind.JOINED:
            self._members[change.host] = change.incarnation
        else:
            self._members.pop(change.host, None)
        self._history.append(_HistoryEntry(change, now_ms))
        self._prune(now_ms)

    def restart(self, offset: ids.Offset, now_ms: float) -> None:
        """Drops the history; claims become exclusive after one lease time."""
        self._history.clear()
        self._base_offset = offset
        self._base_exclusive_from_ms = now_ms + self._lease_expiry_ms
        self.complete = False

    def claim(
        self, key: str, before: ids.Offset | None = None
    ) -> OwnershipClaim | None:
        """Returns this host's claim on a key, or None if it has none.

        Args:
            key: Rendezvous key.
            before: Use only records before this offset, or None for all.
        """
        members = dict(self._members)
        history = list(self._history)
        while before is not None and history:
            if history[-1].change.offset < before:
                break
            _revert(history.pop().change, members)
        order = _ranked_hosts(key, members, history)
        holder = _first_member(order, members)
        if holder is None or not self._is_local(holder):
            return None
        return self._build_claim(holder, order, members, history)

    def _is_local(self, holder: HostIncarnation) -> bool:
        return holder[0] == self._host and holder[1] in self._incarnations

    def _build_claim(
        self,
        own_incarnation: HostIncarnation,
        order: list[ids.HostId],
        members: dict[ids.HostId, int],
        history: list[_HistoryEntry],
    ) -> OwnershipClaim:
        claim: OwnershipClaim | None = None
        exclusive_from_ms = self._base_exclusive_from_ms
        next_holder: HostIncarnation | None = own_incarnation
        for entry in reversed(history):
            _revert(entry.change, members)
            holder = _first_member(order, members)
            if holder == next_holder:
                continue
            exclusive_from_ms = max(
                exclusive_from_ms,
                self._exclusive_after(entry, holder, own_incarnation),
            )
            claim = claim or _claim_after(entry, holder)
            next_holder = holder
        claim = claim or OwnershipClaim(self._base_offset, exclusive_from_ms)
        return dataclasses.replace(claim, exclusive_from_ms=exclusive_from_ms)

    def _exclusive_after(
        self,
        entry: _HistoryEntry,
        holder: HostIncarnation | None,
        own_incarnation: HostIncarnation,
    ) -> float:
        if holder == own_incarnation:
            return -math.inf
        if holder is None and self.complete:
            return -math.inf
        if _was_removed(entry.change, holder):
            return entry.read_ms
        return entry.read_ms + self._lease_expiry_ms

    def _prune(self, now_ms: float) -> None:
        while self._history:
            oldest = self._history[0]
            recent = now_ms - oldest.read_ms < HISTORY_MS
            if recent and len(self._history) <= MAX_HISTORY:
                return
            self._history.popleft()
            self._base_offset = oldest.change.offset
            self._base_exclusive_from_ms = (
                oldest.read_ms + self._lease_expiry_ms
            )
            self.complete = False


def _claim_after(
    entry: _HistoryEntry, holder: HostIncarnation | None
) -> OwnershipClaim:
    removed = _was_removed(entry.change, holder)
    return OwnershipClaim(
        entry.change.offset,
        entry.read_ms,
        previous=None if removed else holder,
        removed=holder if removed else None,
    )


def _was_removed(
    change: view.MembershipChange, holder: HostIncarnation | None
) -> bool:
    return (
        change.kind is view.ChangeKind.REMOVED
        and (change.host, change.incarnation) == holder
    )


def _revert(
    change: view.MembershipChange, members: dict[ids.HostId, int]
) -> None:
    if change.kind is not view.ChangeKind.JOINED:
        members[change.host] = change.incarnation
    elif change.replaced is None:
        members.pop(change.host, None)
    else:
        members[change.host] = change.replaced


def _ranked_hosts(
    key: str, members: Iterable[ids.HostId], history: list[_HistoryEntry]
) -> list[ids.HostId]:
    hosts = set(members) | {entry.change.host for entry in history}
    return rendezvous.ranked(key, hosts)


def _first_member(
    order: list[ids.HostId], members: dict[ids.HostId, int]
) -> HostIncarnation | None:
    for host in order:
        if host in members:
            return host, members[host]
    return None
