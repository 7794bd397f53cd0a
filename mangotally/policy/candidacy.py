"""Whether a host should be one of the homes of keys."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Collection

# A home of so many times this host's capacity is stronger.
STRONGER_FACTOR = 1.5
# With fewer homes, one that fails looks like isolation.
MIN_HOMES = 3
# Capacity of all stronger homes, in hosts like this one. The two differ so
# that one home that comes and goes moves no other.
LEAVE_CAPACITY_FACTOR = 8.0
STAY_OUT_CAPACITY_FACTOR = 6.0
# A host waits so long before it joins first, divided by its capacity: strong
# hosts that start at the same time have their keys by then.
FIRST_JOIN_DELAY_MS = 500.0
MAX_FIRST_JOIN_DELAY_MS = 2000.0
NO_DELAY_CAPACITY = 1.0
# A reason to leave or to step in must last; each host's draw adds to that,
# so that hosts move one after the other.
LEAVE_HOLD_MS = 2000.0
LEAVE_JITTER_MS = 2000.0
JOIN_JITTER_MS = 500.0
# By then homes that have died are out of the group, if any host joins.
TRIAL_BACKOFF_MS = 1800.0
TRIAL_JITTER_MS = 700.0
MAX_TRIAL_BACKOFF_MS = 30_000.0
# New homes answer within this time.
TRIAL_DURATION_MS = 1500.0
TRIAL_PAUSE_MS = 100.0
ISOLATED_PAUSE_MS = 800.0


class Reason(enum.Enum):
    """Why a host is a home, or is not."""

    NEEDED = "needed"
    RESTARTED = "restarted"
    TRIAL = "trial"
    WAITING = "waiting"
    STRONGER_HOMES = "stronger-homes"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True)
class GroupView:
    """What a host sees.

    Attributes:
        owners: Capacity of each home of some keys.
        is_member: Whether this host is in the group.
        is_isolated: Whether no other host answers this one.
    """

    owners: Mapping[ids.HostId, float]
    is_member: bool
    is_isolated: bool


@dataclasses.dataclass(frozen=True)
class Decision:
    """What a host should do.

    Attributes:
        is_member: Whether it should be in the group.
        reason: Why.
        pause_ms: When to decide again at the latest.
    """

    is_member: bool
    reason: Reason
    pause_ms: float = math.inf


class Candidacy:
    """Decides whether one host should be a home.

    A host stays out while homes that are much stronger are enough. Hosts of
    equal capacity are all homes.
    """

    def __init__(
        self, host: ids.HostId, capacity: float, jitter: float
    ) -> None:
        """Makes a candidate that has seen nothing.

        Args:
            host: This host.
            capacity: Its capacity.
            draw: A random number from 0 to 1.
        """
        self._host = host
        self._capacity = capacity
        self._draw = jitter
        self._has_seen_owners = False
        # How long there must be a reason to join, and since when there is one
        # to do otherwise than now.
        self._join_hold_ms = _first_wait_ms(capacity)
        self._since_ms: float | None = None
        self._isolation = _Isolation(host, jitter)

    def decide(self, view: GroupView, now_ms: float) -> Decision:
        """Returns what the host should do now.

        Args:
            view: What it sees.
            now_ms: The time.
        """
        if view.is_isolated:
            return self._isolation.decide(view, now_ms)
        self._isolation.end()
        if view.is_member:
            return self._decide_member(view, now_ms)
        return self._decide_other(view, now_ms)

    def _decide_member(self, view: GroupView, now_ms: float) -> Decision:
        self._has_seen_owners = True
        if not self._suffice(view, LEAVE_CAPACITY_FACTOR):
            self._since_ms = None
            return Decision(True, Reason.NEEDED)
        hold_ms = LEAVE_HOLD_MS + LEAVE_JITTER_MS * self._draw
        if self._left_ms(hold_ms, now_ms) > 0:
            return Decision(True, Reason.NEEDED)
        return self._stay_out()

    def _decide_other(self, view: GroupView, now_ms: float) -> Decision:
        is_first = bool(view.owners) and not self._has_seen_owners
        self._has_seen_owners |= is_first
        if is_first and self._host in view.owners:
            # It has its keys, and moves none, if it joins in time.
            return self._join(Reason.RESTARTED)
        if self._suffice(view, STAY_OUT_CAPACITY_FACTOR):
            return self._stay_out()
        left_ms = self._left_ms(self._join_hold_ms, now_ms)
        if left_ms > 0:
            return Decision(False, Reason.WAITING, left_ms)
        return self._join(Reason.NEEDED)

    def _join(self, reason: Reason) -> Decision:
        self._since_ms = None
        self._join_hold_ms = 0.0
        return Decision(True, reason)

    def _stay_out(self) -> Decision:
        self._since_ms = None
        self._join_hold_ms = JOIN_JITTER_MS * self._draw
        return Decision(False, Reason.STRONGER_HOMES)

    def _left_ms(self, hold_ms: float, now_ms: float) -> float:
        """Returns how long a reason has to last yet."""
        if self._since_ms is None:
            self._since_ms = now_ms
        return self._since_ms + hold_ms - now_ms

    def _suffice(self, view: GroupView, enough: float) -> bool:
        stronger = [
            capacity
            for host, capacity in view.owners.items()
            if host != self._host
            and capacity >= STRONGER_FACTOR * self._capacity
        ]
        wanted = enough * self._capacity
        return len(stronger) >= MIN_HOMES and sum(stronger) >= wanted


def _first_wait_ms(capacity: float) -> float:
    if capacity >= NO_DELAY_CAPACITY:
        return 0.0
    return min(FIRST_JOIN_DELAY_MS / capacity, MAX_FIRST_JOIN_DELAY_MS)


class _Isolation:
    """Tells a host that is cut off from homes that are all gone.

    A host that reaches the store only must give up its keys. But if all homes
    have gone, those that are left must step in, and see the same: no home
    answers. The store tells: once a host joins, what has lapsed is out. So a
    host joins on trial, and leaves if the silent homes still hold keys.
    """

    def __init__(self, host: ids.HostId, draw: float) -> None:
        self._host = host
        self._spread_ms = TRIAL_JITTER_MS * draw
        self._after_ms = TRIAL_BACKOFF_MS
        self._since_ms: float | None = None
        self._tried_ms = 0.0
        self._silent: Collection[ids.HostId] | None = None

    def end(self) -> None:
        """Notes that another host answers."""
        self._since_ms = None
        self._silent = None
        self._after_ms = TRIAL_BACKOFF_MS

    def decide(self, view: GroupView, now_ms: float) -> Decision:
        """Returns what a host should do that no other answers."""
        if view.is_member:
            return self._decide_member(view, now_ms)
        if self._since_ms is None:
            self._since_ms = now_ms
        if now_ms - self._since_ms < self._after_ms + self._spread_ms:
            return Decision(False, Reason.ISOLATED, ISOLATED_PAUSE_MS)
        self._silent = view.owners.keys() - {self._host}
        self._tried_ms = now_ms
        return Decision(True, Reason.TRIAL, TRIAL_PAUSE_MS)

    def _decide_member(self, view: GroupView, now_ms: float) -> Decision:
        if self._silent is not None:
            has_new_homes = not self._silent & view.owners.keys()
            if has_new_homes and now_ms - self._tried_ms < TRIAL_DURATION_MS:
                return Decision(True, Reason.TRIAL)
            self._silent = None
            self._after_ms = min(2 * self._after_ms, MAX_TRIAL_BACKOFF_MS)
        self._since_ms = now_ms
        return Decision(False, Reason.ISOLATED, ISOLATED_PAUSE_MS)
