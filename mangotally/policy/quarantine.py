"""Quarantine of requests that crash the targets that run them.

When a target crashes, all requests that ran there become suspects. To find
out which of them caused the crash, suspects are isolated: no two of them run
at the same target. A suspect that gets a complete answer is cleared; one that
crashes a second target is refused on every host. Copies of a request that has
never been answered all run at one target at a time.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import records

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of crashes from which a request is quarantined.
MAX_CRASHES = 2
# Crashes of copies at one target within this time count as one.
SAME_CRASH_MS = 3000
# Number of answered requests whose digests are remembered.
MAX_ANSWERED_DIGESTS = 20_000


@dataclasses.dataclass(frozen=True)
class QuarantinedRequest:
    """A quarantined request.

    Attributes:
        digest: Digest of the request.
        service: The service that it was sent to.
        targets: The targets that it crashed.
        until_wall_ms: When the quarantine ends, since the Unix epoch.
    """

    digest: str
    service: ids.ServiceId
    targets: tuple[ids.TargetId, ...]
    until_wall_ms: int


class Quarantine:
    """Crashes of requests after a prefix of the quarantine stream."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[ids.CallId, records.RequestCrashed]] = {}

    def apply(self, record: object) -> bool:
        """Applies one record; returns whether it took effect."""
        match record:
            case records.RequestCrashed():
                found = self._crashes.setdefault(record.digest, {})
                is_new = record.call not in found
                found[record.call] = record
                return is_new
            case records.RequestCleared() | records.QuarantineLifted():
                return self._crashes.pop(record.digest, None) is not None
            case _:
                return False

    def crashes(
        self, digest: str, now_wall_ms: int
    ) -> list[records.RequestCrashed]:
        """Returns the crashes of a request that have not expired.

        If several copies of a request ran at a target when it crashed, they
        count as one crash.
        """
        found = self._crashes.get(digest)
        if found is None:
            return []
        valid = [r for r in found.values() if r.until_wall_ms > now_wall_ms]
        if not valid:
            del self._crashes[digest]
        return _merge_copies(valid)

    def is_refused(self, digest: str, now_wall_ms: int) -> bool:
        """Returns whether a request is quarantined."""
        if digest not in self._crashes:
            return False
        return len(self.crashes(digest, now_wall_ms)) >= MAX_CRASHES

    def quarantined(self, now_wall_ms: int) -> list[QuarantinedRequest]:
        """Returns all quarantined requests, sorted by digest."""
        found = []
        for digest in sorted(self._crashes):
            crashes = self.crashes(digest, now_wall_ms)
            if len(crashes) >= MAX_CRASHES:
                found.append(
                    QuarantinedRequest(
                        digest,
                        crashes[0].service,
                        tuple(sorted({item.target for item in crashes})),
                        max(item.until_wall_ms for item in crashes),
                    )
                )
        return found

    def suspect_count(self, now_wall_ms: int) -> int:
        """Returns the number of requests with exactly one crash."""
        return sum(
            len(self.crashes(digest, now_wall_ms)) == 1
            for digest in list(self._crashes)
        )


def _merge_copies(
    found: list[records.RequestCrashed],
) -> list[records.RequestCrashed]:
    merged: list[records.RequestCrashed] = []
    for record in sorted(found, key=lambda r: (r.wall_ms, r.call)):
        if not any(
            record.target == other.target
            and record.wall_ms - other.wall_ms < SAME_CRASH_MS
            for other in merged
        ):
            merged.append(record)
    return merged


@dataclasses.dataclass(frozen=True)
class AnyTarget:
    """The request may run at any target."""


@dataclasses.dataclass(frozen=True)
class OnlyTargets:
    """The request may run only at these targets."""

    targets: frozenset[ids.TargetId]


@dataclasses.dataclass(frozen=True)
class MustWait:
    """The request has to wait until another request has ended."""


IsolationDecision = AnyTarget | OnlyTargets | MustWait


@dataclasses.dataclass
class _AdmittedCall:
    """A request that was admitted to the pool.

    Attributes:
        digest: Digest of the request.
        is_suspect: Whether it is suspected of having crashed a target.
        targets: The targets where it may run, or None for any.
    """

    digest: str
    is_suspect: bool
    targets: frozenset[ids.TargetId] | None


class SuspectIsolation:
    """Isolates the suspects of one pool.

    The state is held by the pool's home, the host that owns the pool. Copies
    of a request that was never answered share one target.
    """

    def __init__(self) -> None:
        self._admitted: dict[ids.CallId, _AdmittedCall] = {}
        self._copies: dict[str, set[ids.CallId]] = {}
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def place(
        self,
        call: ids.CallId,
        digest: str,
        crashed: Iterable[ids.TargetId],
        live: Iterable[ids.TargetId],
    ) -> IsolationDecision:
        """Decides where a request may run, and records the decision.

        Args:
            call: The call.
            digest: Digest of the request.
            crashed: Targets that the request has crashed.
            live: Targets that accept calls.
        """
        crashed_targets = frozenset(crashed)
        copies = self.copies(digest)
        if not crashed_targets and (digest in self._answered or not copies):
            self._admit(call, _AdmittedCall(digest, False, None))
            return AnyTarget()
        if not copies:
            return self._place_suspect(call, digest, crashed_targets, live)
        shared = {self._admitted[copy].targets for copy in copies}
        if len(shared) > 1 or None in shared:
            return MustWait()
        targets = shared.pop()
        assert targets is not None
        self._admit(call, _AdmittedCall(digest, bool(crashed_targets), targets))
        return OnlyTargets(targets)

    def copies(self, digest: str) -> frozenset[ids.CallId]:
        """Returns the waiting and running calls of a request."""
        return frozenset(self._copies.get(digest, ()))

    def _place_suspect(
        self,
        call: ids.CallId,
        digest: str,
        crashed_targets: frozenset[ids.TargetId],
        live: Iterable[ids.TargetId],
    ) -> IsolationDecision:
        occupied = {
            target
            for item in self._admitted.values()
            if item.is_suspect
            for target in item.targets or ()
        }
        live_targets = frozenset(live)
        free = sorted(
            (live_targets - crashed_targets or live_targets) - occupied
        )
        if not free:
            return MustWait()
        chosen = frozenset(free[:1])
        self._admit(call, _AdmittedCall(digest, True, chosen))
        return OnlyTargets(chosen)

    def record_target(self, call: ids.CallId, target: ids.TargetId) -> None:
        """Records the target that a call was dispatched to."""
        admitted = self._admitted.get(call)
        if admitted is not None:
            admitted.targets = frozenset((target,))

    def remove(self, call: ids.CallId, is_answered: bool) -> None:
        """Removes a call that has ended or was withdrawn.

        Args:
            call: The call.
            is_answered: Whether it got a complete answer.
        """
        admitted = self._admitted.pop(call, None)
        if admitted is None:
            return
        copies = self._copies[admitted.digest]
        copies.discard(call)
        if not copies:
            del self._copies[admitted.digest]
        if is_answered:
            self._answered[admitted.digest] = None
            while len(self._answered) > MAX_ANSWERED_DIGESTS:
                self._answered.popitem(last=False)

    def mark_suspect(self, digest: str) -> None:
        """Marks all copies of a request suspect after a target's crash."""
        self._answered.pop(digest, None)
        for copy in self.copies(digest):
            self._admitted[copy].is_suspect = True

    def _admit(self, call: ids.CallId, admitted: _AdmittedCall) -> None:
        self._admitted[call] = admitted
        self._copies.setdefault(admitted.digest, set()).add(call)
