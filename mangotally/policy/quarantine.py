"""Requests that crash the targets that run them.

A request whose target crashes is a suspect. So are the others that ran
there, and which of them did it is found out by running suspects apart:
never two of them at one target. A suspect that gets a whole answer is
cleared; one that crashes a second target is refused on every host. Copies of
a request that has never been answered run at one target at a time.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import records

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CRASHES = 2
SAME_CRASH_MS = 3000
MAX_ANSWERED_DIGESTS = 20_000


@dataclasses.dataclass(frozen=True)
class Quarantined:
    """A request that is refused.

    Attributes:
        digest: Digest of the request.
        service: The service that it was sent to.
        targets: The targets that it crashed.
        until_wall_ms: When it is let in again, since the Unix epoch.
    """

    digest: str
    service: ids.ServiceId
    targets: tuple[ids.TargetId, ...]
    until_wall_ms: int


class Quarantine:
    """Crashes as of a prefix of the quarantine stream."""

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
        """Returns the crashes of a request that are not forgotten.

        Copies of a request that ran at one target when it crashed are one
        crash.
        """
        found = self._crashes.get(digest)
        if found is None:
            return []
        live = [r for r in found.values() if r.until_wall_ms > now_wall_ms]
        if not live:
            del self._crashes[digest]
        return _merge(live)

    def is_refused(self, digest: str, now_wall_ms: int) -> bool:
        """Returns whether a request is quarantined."""
        if digest not in self._crashes:
            return False
        return len(self.crashes(digest, now_wall_ms)) >= MAX_CRASHES

    def quarantined(self, now_wall_ms: int) -> list[Quarantined]:
        """Returns all requests that are refused, by digest."""
        found = []
        for digest in sorted(self._crashes):
            crashes = self.crashes(digest, now_wall_ms)
            if len(crashes) >= MAX_CRASHES:
                found.append(
                    Quarantined(
                        digest,
                        crashes[0].service,
                        tuple(sorted({item.target for item in crashes})),
                        max(item.until_wall_ms for item in crashes),
                    )
                )
        return found

    def suspect_count(self, now_wall_ms: int) -> int:
        """Returns how many requests have crashed a target once."""
        return sum(
            len(self.crashes(digest, now_wall_ms)) == 1
            for digest in list(self._crashes)
        )


def _merge(
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
    """The request may run at these targets only."""

    targets: frozenset[ids.TargetId]


@dataclasses.dataclass(frozen=True)
class MustWait:
    """The request waits until another one has ended."""


IsolationDecision = AnyTarget | OnlyTargets | MustWait


@dataclasses.dataclass
class _Placed:
    """A request that was let into the pool.

    Attributes:
        digest: Digest of the request.
        is_suspect: Whether it has crashed a target.
        targets: Where it may run, or None if that is anywhere.
    """

    digest: str
    is_suspect: bool
    targets: frozenset[ids.TargetId] | None


class SuspectIsolation:
    """Keeps suspects of one pool apart; kept by the pool's home.

    Copies of a request that was never answered share one target.
    """

    def __init__(self) -> None:
        self._placed: dict[ids.CallId, _Placed] = {}
        self._copies: dict[str, set[ids.CallId]] = {}
        self._proven: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def place(
        self,
        call: ids.CallId,
        digest: str,
        crashed: Iterable[ids.TargetId],
        live: Iterable[ids.TargetId],
    ) -> IsolationDecision:
        """Decides where a request may run, and remembers it.

        Args:
            call: The call.
            digest: Digest of the request.
            crashed: Targets that the request has crashed.
            live: Targets that take calls.
        """
        hit = frozenset(crashed)
        copies = self.copies(digest)
        if not hit and (digest in self._proven or not copies):
            self._note(call, _Placed(digest, False, None))
            return AnyTarget()
        if not copies:
            return self._place_suspect(call, digest, hit, live)
        shared = {self._placed[copy].targets for copy in copies}
        if len(shared) > 1 or None in shared:
            return MustWait()
        targets = shared.pop()
        assert targets is not None
        self._note(call, _Placed(digest, bool(hit), targets))
        return OnlyTargets(targets)

    def copies(self, digest: str) -> frozenset[ids.CallId]:
        """Returns the calls of a request that wait or run."""
        return frozenset(self._copies.get(digest, ()))

    def _place_suspect(
        self,
        call: ids.CallId,
        digest: str,
        hit: frozenset[ids.TargetId],
        live: Iterable[ids.TargetId],
    ) -> IsolationDecision:
        taken = {
            target
            for item in self._placed.values()
            if item.is_suspect
            for target in item.targets or ()
        }
        found = frozenset(live)
        free = sorted((found - hit or found) - taken)
        if not free:
            return MustWait()
        chosen = frozenset(free[:1])
        self._note(call, _Placed(digest, True, chosen))
        return OnlyTargets(chosen)

    def grant(self, call: ids.CallId, target: ids.TargetId) -> None:
        """A call was given a target."""
        placed = self._placed.get(call)
        if placed is not None:
            placed.targets = frozenset((target,))

    def end(self, call: ids.CallId, is_answered: bool) -> None:
        """A call ended or gave up.

        Args:
            call: The call.
            is_answered: Whether it got a whole answer.
        """
        placed = self._placed.pop(call, None)
        if placed is None:
            return
        copies = self._copies[placed.digest]
        copies.discard(call)
        if not copies:
            del self._copies[placed.digest]
        if is_answered:
            self._proven[placed.digest] = None
            while len(self._proven) > MAX_ANSWERED_DIGESTS:
                self._proven.popitem(last=False)

    def mark_suspect(self, digest: str) -> None:
        """A request has crashed a target; all its copies are suspects."""
        self._proven.pop(digest, None)
        for copy in self.copies(digest):
            self._placed[copy].is_suspect = True

    def _note(self, call: ids.CallId, placed: _Placed) -> None:
        self._placed[call] = placed
        self._copies.setdefault(placed.digest, set()).add(call)
