"""Decides whether a host should be one of the homes of keys.

The home of a key is the host that owns it. Hosts with much less capacity than
the others stay out of the group of homes while the others are sufficient.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Collection

# A home counts as stronger from this multiple of a host's own capacity.
STRONGER_FACTOR = 1.5
# With fewer homes, the failure of one cannot be told from isolation.
MIN_HOMES = 3
# Total capacity of the stronger homes, as a multiple of the host's own, from
# which the host leaves or stays out. The two values differ so that one home
# that repeatedly joins and leaves does not make others do so.
LEAVE_CAPACITY_FACTOR = 8.0
STAY_OUT_CAPACITY_FACTOR = 6.0
# Delay before the first join of a host, divided by its capacity: by then,
# strong hosts that start at the same time have their keys.
FIRST_JOIN_DELAY_MS = 500.0
MAX_FIRST_JOIN_DELAY_MS = 2000.0
# Longest of these delays while no host owns keys: until one does, requests that
# need a home are refused. Stronger hosts start sooner than this one anyway.
MAX_EMPTY_GROUP_DELAY_MS = 250.0
NO_DELAY_CAPACITY = 1.0
# A reason to leave or to join must persist for a time. Each host adds a random
# jitter to it, so that hosts leave or join one after another.
LEAVE_HOLD_MS = 2000.0
LEAVE_JITTER_MS = 2000.0
JOIN_JITTER_MS = 500.0
# After this time, homes that have crashed are removed from the group as soon as
# any host joins.
TRIAL_BACKOFF_MS = 1800.0
TRIAL_JITTER_MS = 700.0
MAX_TRIAL_BACKOFF_MS = 30_000.0
# New homes respond within this time.
TRIAL_DURATION_MS = 1500.0
TRIAL_PAUSE_MS = 100.0
ISOLATED_PAUSE_MS = 800.0


class Reason(enum.Enum):
    """Why a host is a home or not.

    Attributes:
        NEEDED: It is a home; the stronger homes have too little capacity.
        RESTARTED: It rejoins in time to keep the keys that it still owns.
        TRIAL: It is isolated and joins for a trial.
        WAITING: It will join if the reason to do so persists.
        STRONGER_HOMES: It stays out; the stronger homes are sufficient.
        ISOLATED: It stays out; no other host responds to it.
    """

    NEEDED = "needed"
    RESTARTED = "restarted"
    TRIAL = "trial"
    WAITING = "waiting"
    STRONGER_HOMES = "stronger-homes"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True)
class GroupView:
    """State of the group as seen by one host.

    Attributes:
        owners: Capacity of each host that currently owns keys.
        is_member: Whether this host is in the group.
        is_isolated: Whether no other host responds to this one.
    """

    owners: Mapping[ids.HostId, float]
    is_member: bool
    is_isolated: bool


@dataclasses.dataclass(frozen=True)
class Decision:
    """Whether a host should be in the group.

    Attributes:
        is_member: Whether the host should be in the group.
        reason: Reason of the decision.
        pause_ms: Time after which to decide again at the latest.
    """

    is_member: bool
    reason: Reason
    pause_ms: float = math.inf


class Candidacy:
    """Decides whether one host should be a home.

    A host stays out while much stronger homes have sufficient capacity. Hosts
    of equal capacity are all homes.
    """

    def __init__(
        self, host: ids.HostId, capacity: float, jitter: float
    ) -> None:
        """Starts without knowledge of the group.

        Args:
            host: This host.
            capacity: Capacity of this host.
            jitter: Random number from 0 to 1; scales all jitter times.
        """
        self._host = host
        self._capacity = capacity
        self._jitter = jitter
        self._has_seen_owners = False
        # Time for which a reason to join must persist, and the time since when
        # there has been a reason to change the current state.
        self._join_hold_ms = _first_join_delay_ms(capacity)
        self._reason_since_ms: float | None = None
        self._isolation = _Isolation(host, jitter)

    def decide(self, view: GroupView, now_ms: float) -> Decision:
        """Returns whether the host should be in the group now.

        Args:
            view: State of the group.
            now_ms: Current time.
        """
        if view.is_isolated:
            return self._isolation.decide(view, now_ms)
        self._isolation.end()
        if view.is_member:
            return self._decide_member(view, now_ms)
        return self._decide_non_member(view, now_ms)

    def _decide_member(self, view: GroupView, now_ms: float) -> Decision:
        self._has_seen_owners = True
        if not self._has_enough_stronger_homes(view, LEAVE_CAPACITY_FACTOR):
            self._reason_since_ms = None
            return Decision(True, Reason.NEEDED)
        hold_ms = LEAVE_HOLD_MS + LEAVE_JITTER_MS * self._jitter
        if self._remaining_hold_ms(hold_ms, now_ms) > 0:
            return Decision(True, Reason.NEEDED)
        return self._stay_out()

    def _decide_non_member(self, view: GroupView, now_ms: float) -> Decision:
        is_first_view = bool(view.owners) and not self._has_seen_owners
        self._has_seen_owners |= is_first_view
        if is_first_view and self._host in view.owners:
            # The host still owns its keys; none move if it rejoins in time.
            return self._join(Reason.RESTARTED)
        if self._has_enough_stronger_homes(view, STAY_OUT_CAPACITY_FACTOR):
            return self._stay_out()
        hold_ms = self._join_hold_ms
        if not view.owners:
            hold_ms = min(hold_ms, MAX_EMPTY_GROUP_DELAY_MS)
        remaining_ms = self._remaining_hold_ms(hold_ms, now_ms)
        if remaining_ms > 0:
            return Decision(False, Reason.WAITING, remaining_ms)
        return self._join(Reason.NEEDED)

    def _join(self, reason: Reason) -> Decision:
        self._reason_since_ms = None
        self._join_hold_ms = 0.0
        return Decision(True, reason)

    def _stay_out(self) -> Decision:
        self._reason_since_ms = None
        self._join_hold_ms = JOIN_JITTER_MS * self._jitter
        return Decision(False, Reason.STRONGER_HOMES)

    def _remaining_hold_ms(self, hold_ms: float, now_ms: float) -> float:
        """Returns the remaining time for which a reason must persist."""
        if self._reason_since_ms is None:
            self._reason_since_ms = now_ms
        return self._reason_since_ms + hold_ms - now_ms

    def _has_enough_stronger_homes(
        self, view: GroupView, capacity_factor: float
    ) -> bool:
        stronger = [
            capacity
            for host, capacity in view.owners.items()
            if host != self._host
            and capacity >= STRONGER_FACTOR * self._capacity
        ]
        required = capacity_factor * self._capacity
        return len(stronger) >= MIN_HOMES and sum(stronger) >= required


def _first_join_delay_ms(capacity: float) -> float:
    if capacity >= NO_DELAY_CAPACITY:
        return 0.0
    return min(FIRST_JOIN_DELAY_MS / capacity, MAX_FIRST_JOIN_DELAY_MS)


class _Isolation:
    """Distinguishes isolation of a host from the failure of all homes.

    A host that reaches only the store must give up its keys. If all homes
    have failed, however, the remaining hosts must join, and they observe the
    same: no home responds. The store tells the two cases apart, because it
    removes expired members as soon as a host joins. A host therefore joins
    for a trial, and leaves again if the unresponsive homes still own keys.
    Unsuccessful trials are repeated with exponential backoff.
    """

    def __init__(self, host: ids.HostId, jitter: float) -> None:
        self._host = host
        self._jitter_ms = TRIAL_JITTER_MS * jitter
        self._trial_backoff_ms = TRIAL_BACKOFF_MS
        self._isolated_since_ms: float | None = None
        self._trial_start_ms = 0.0
        self._unresponsive: Collection[ids.HostId] | None = None

    def end(self) -> None:
        """Records that another host responds."""
        self._isolated_since_ms = None
        self._unresponsive = None
        self._trial_backoff_ms = TRIAL_BACKOFF_MS

    def decide(self, view: GroupView, now_ms: float) -> Decision:
        """Returns whether a host that no other responds to should join."""
        if view.is_member:
            return self._decide_member(view, now_ms)
        if self._isolated_since_ms is None:
            self._isolated_since_ms = now_ms
        if (
            now_ms - self._isolated_since_ms
            < self._trial_backoff_ms + self._jitter_ms
        ):
            return Decision(False, Reason.ISOLATED, ISOLATED_PAUSE_MS)
        self._unresponsive = view.owners.keys() - {self._host}
        self._trial_start_ms = now_ms
        return Decision(True, Reason.TRIAL, TRIAL_PAUSE_MS)

    def _decide_member(self, view: GroupView, now_ms: float) -> Decision:
        if self._unresponsive is not None:
            has_new_homes = not self._unresponsive & view.owners.keys()
            if (
                has_new_homes
                and now_ms - self._trial_start_ms < TRIAL_DURATION_MS
            ):
                return Decision(True, Reason.TRIAL)
            self._unresponsive = None
            self._trial_backoff_ms = min(
                2 * self._trial_backoff_ms, MAX_TRIAL_BACKOFF_MS
            )
        self._isolated_since_ms = now_ms
        return Decision(False, Reason.ISOLATED, ISOLATED_PAUSE_MS)
