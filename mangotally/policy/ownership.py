"""When the home of a key may act as its only holder."""

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
    """What this host knows of a key that it is home of.

    Attributes:
        offset: The record that made this host the key's home.
        free_ms: From when on no earlier home can hold a lease.
        previous: The earlier home, if it may still hold a lease.
        removed: The earlier home, if it was removed from the view.
    """

    offset: ids.Offset
    exclusive_from_ms: float
    previous: HostIncarnation | None = None
    removed: HostIncarnation | None = None


@dataclasses.dataclass(frozen=True)
class _Noted:
    """A change of the view and when this host read it."""

    change: view.MembershipChange
    read_ms: float


class OwnershipHistory:
    """The recent changes of the view, as far as they moved keys to here.

    A host that was home under a shorter prefix of the stream holds a lease
    from a heartbeat within that prefix. That lease ends at most `wait_ms`
    after any host has read the record that moved the key.
    """

    def __init__(self, host: ids.HostId, wait_ms: float) -> None:
        """Makes an empty history.

        Args:
            host: This host.
            wait_ms: Length of a lease plus the margin for clock rates.
        """
        self._host = host
        self._wait_ms = wait_ms
        self._members: dict[ids.HostId, int] = {}
        self._history: collections.deque[_Noted] = collections.deque()
        self._base_offset = ids.Offset(-1)
        self._base_free_ms = -math.inf
        self._incarnations: set[int] = set()
        self.complete = False

    def add_incarnation(self, incarnation: int) -> None:
        """Notes an incarnation that this process has joined under."""
        self._incarnations.add(incarnation)

    def record_change(
        self, change: view.MembershipChange, now_ms: float
    ) -> None:
        """Takes a change of the view."""
        if change.kind is view.ChangeKind.JOINED:
            self._members[change.host] = change.incarnation
        else:
            self._members.pop(change.host, None)
        self._history.append(_Noted(change, now_ms))
        self._forget(now_ms)

    def restart(self, offset: ids.Offset, now_ms: float) -> None:
        """Forgets all claims; they begin anew after the longest lease."""
        self._history.clear()
        self._base_offset = offset
        self._base_free_ms = now_ms + self._wait_ms
        self.complete = False

    def claim(
        self, key: str, before: ids.Offset | None = None
    ) -> OwnershipClaim | None:
        """Returns this host's claim on a key, or None if it has none.

        Args:
            key: Rendezvous key.
            before: Judge by the records before this offset only.
        """
        members = dict(self._members)
        older = list(self._history)
        while before is not None and older:
            if older[-1].change.offset < before:
                break
            _undo(older.pop().change, members)
        order = _order(key, members, older)
        holder = _first(order, members)
        if holder is None or not self._is_own(holder):
            return None
        return self._walk(holder, order, members, older)

    def _is_own(self, holder: HostIncarnation) -> bool:
        return holder[0] == self._host and holder[1] in self._incarnations

    def _walk(
        self,
        me: HostIncarnation,
        order: list[ids.HostId],
        members: dict[ids.HostId, int],
        older: list[_Noted],
    ) -> OwnershipClaim:
        claim: OwnershipClaim | None = None
        free_ms = self._base_free_ms
        after: HostIncarnation | None = me
        for noted in reversed(older):
            _undo(noted.change, members)
            holder = _first(order, members)
            if holder == after:
                continue
            free_ms = max(free_ms, self._free_after(noted, holder, me))
            claim = claim or _begin(noted, holder)
            after = holder
        claim = claim or OwnershipClaim(self._base_offset, free_ms)
        return dataclasses.replace(claim, exclusive_from_ms=free_ms)

    def _free_after(
        self, noted: _Noted, holder: HostIncarnation | None, me: HostIncarnation
    ) -> float:
        if holder == me:
            return -math.inf
        if holder is None and self.complete:
            return -math.inf
        if _was_removed(noted.change, holder):
            return noted.read_ms
        return noted.read_ms + self._wait_ms

    def _forget(self, now_ms: float) -> None:
        while self._history:
            oldest = self._history[0]
            recent = now_ms - oldest.read_ms < HISTORY_MS
            if recent and len(self._history) <= MAX_HISTORY:
                return
            self._history.popleft()
            self._base_offset = oldest.change.offset
            self._base_free_ms = oldest.read_ms + self._wait_ms
            self.complete = False


def _begin(noted: _Noted, holder: HostIncarnation | None) -> OwnershipClaim:
    removed = _was_removed(noted.change, holder)
    return OwnershipClaim(
        noted.change.offset,
        noted.read_ms,
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


def _undo(
    change: view.MembershipChange, members: dict[ids.HostId, int]
) -> None:
    if change.kind is not view.ChangeKind.JOINED:
        members[change.host] = change.incarnation
    elif change.replaced is None:
        members.pop(change.host, None)
    else:
        members[change.host] = change.replaced


def _order(
    key: str, members: Iterable[ids.HostId], older: list[_Noted]
) -> list[ids.HostId]:
    hosts = set(members) | {noted.change.host for noted in older}
    return rendezvous.ranked(key, hosts)


def _first(
    order: list[ids.HostId], members: dict[ids.HostId, int]
) -> HostIncarnation | None:
    for host in order:
        if host in members:
            return host, members[host]
    return None
