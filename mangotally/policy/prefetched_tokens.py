"""Tokens that an entry host holds for the calls that reach it."""

from __future__ import annotations

import dataclasses
import math

from mangotally.policy import membership
from mangotally.util import clock

BATCH_LIFETIME_MS = 500
MIN_RATE_PER_S = 8.0
_MEMORY_MS = 2000


@dataclasses.dataclass(frozen=True)
class Returned:
    """A batch that is no longer used.

    Attributes:
        number: Its number.
        unused: Tokens that go back.
    """

    number: int
    unused: float


class PrefetchedTokens:
    """One organisation's tokens at an entry host.

    A batch counts from the sending of the question that it answers, so it
    is void here before it is void at its home.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._seen_ms = -math.inf
        self._number: int | None = None
        self._left = 0.0
        self._expires_ms = -math.inf

    @property
    def number(self) -> int | None:
        """Number of the batch in use, or None."""
        return self._number

    def take(self, now_ms: float) -> bool:
        """Counts a call; returns whether a token was here for it."""
        self._count(now_ms)
        if self._number is None or now_ms >= self._expires_ms:
            return False
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def desired_tokens(self) -> int:
        """Returns how many tokens to ask for beside the next call's."""
        if self._rate_per_s < MIN_RATE_PER_S:
            return 0
        return math.ceil(self._rate_per_s * BATCH_LIFETIME_MS / clock.MS_PER_S)

    def release(self) -> Returned | None:
        """Ends the batch, for its home to be told; it is used no more."""
        if self._number is None:
            return None
        returned = Returned(self._number, self._left)
        self._number = None
        self._left = 0.0
        return returned

    def receive(self, number: int, count: float, sent_ms: float) -> None:
        """Takes a batch.

        Args:
            number: Its number.
            count: Its tokens.
            sent_ms: When the question was sent that it answers.
        """
        self._number = number
        self._left = count
        self._expires_ms = sent_ms + BATCH_LIFETIME_MS

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether nothing is worth keeping here."""
        silent_ms = now_ms - self._seen_ms
        return self._number is None and silent_ms > _MEMORY_MS

    def _count(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._seen_ms)
        kept = math.exp(-elapsed_ms / _MEMORY_MS)
        gained = clock.MS_PER_S / _MEMORY_MS
        self._rate_per_s = self._rate_per_s * kept + gained
        self._seen_ms = max(self._seen_ms, now_ms)


def home_lifetime_ms() -> float:
    """Returns how long a home counts a batch as held elsewhere."""
    return BATCH_LIFETIME_MS * (1 + membership.CLOCK_MARGIN)
