"""Counts the targets that a request has crashed, and refuses it after some.

Load pattern: a request crashes each target that begins to run it, and its
caller sends it again at any host. What others run at these targets is lost.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import NewType

from mangotally import ids

RequestDigest = NewType("RequestDigest", bytes)

# What runs beside such a request loses its connection too, and may do so twice
# before it is answered.
MAX_CRASHES = 3
# A request is refused until its crashes are this old.
KEEP_MS = 600_000.0
# Requests whose crashes are kept; those longest unheard of are forgotten.
MAX_REQUESTS = 1000
# Of requests from hosts of earlier versions.
NO_DIGEST = RequestDigest(b"")
_DIGEST_BYTES = 16


def digest(*parts: str | bytes) -> RequestDigest:
    """Returns what identifies a request that is sent again under a new id."""
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hashed.update(b"%d:" % len(data))
        hashed.update(data)
    return RequestDigest(hashed.digest())


@dataclasses.dataclass(frozen=True)
class Incarnation:
    """One run of a target's process.

    Attributes:
        target: The target.
        born_ms: Start time of the process, in Unix milliseconds.
    """

    target: ids.TargetId
    born_ms: int


@dataclasses.dataclass
class History:
    """What is known of a request that was running as a target crashed.

    Attributes:
        crashed_ms: When each target crashed.
        answered_ms: When a target last answered the request; it has not
            caused any crash before that. None if no target has.
    """

    crashed_ms: dict[Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    answered_ms: float | None = None

    def drop_until(self, at_ms: float) -> None:
        """Drops the crashes up to a time."""
        self.crashed_ms = {
            each: crashed_ms
            for each, crashed_ms in self.crashed_ms.items()
            if crashed_ms > at_ms
        }


class CrashHistories:
    """Histories of the requests that ran at targets as they crashed."""

    def __init__(self) -> None:
        """Starts without any crash."""
        self._histories: collections.OrderedDict[RequestDigest, History]
        self._histories = collections.OrderedDict()

    def find(self, request: RequestDigest) -> History | None:
        """Returns the history of a request, or None."""
        return self._histories.get(request)

    def record_crash(
        self, request: RequestDigest, crashed: Incarnation, at_ms: float
    ) -> None:
        """Records that a target crashed while it ran a request."""
        self.merge(request, History({crashed: at_ms}))

    def record_answer(self, request: RequestDigest, at_ms: float) -> bool:
        """Records an answer; returns whether that changes what is known."""
        found = self._histories.get(request)
        if found is None or not found.crashed_ms:
            return False
        self.merge(request, History(answered_ms=at_ms))
        return True

    def merge(self, request: RequestDigest, other: History) -> None:
        """Adds what another host knows of a request."""
        if not other.crashed_ms and other.answered_ms is None:
            return
        found = self._histories.setdefault(request, History())
        self._histories.move_to_end(request)
        for each, at_ms in other.crashed_ms.items():
            known_ms = found.crashed_ms.get(each, at_ms)
            found.crashed_ms[each] = min(at_ms, known_ms)
        answers_ms = [
            each
            for each in (found.answered_ms, other.answered_ms)
            if each is not None
        ]
        if answers_ms:
            found.answered_ms = max(answers_ms)
            found.drop_until(found.answered_ms)
        while len(self._histories) > MAX_REQUESTS:
            self._histories.popitem(last=False)

    def refused_until_ms(
        self, request: RequestDigest, now_ms: float
    ) -> float | None:
        """Returns until when a request is refused; None if it may run."""
        found = self._histories.get(request)
        if found is None:
            return None
        found.drop_until(now_ms - KEEP_MS)
        if len(found.crashed_ms) < MAX_CRASHES:
            return None
        latest_ms = sorted(found.crashed_ms.values(), reverse=True)
        return latest_ms[MAX_CRASHES - 1] + KEEP_MS
