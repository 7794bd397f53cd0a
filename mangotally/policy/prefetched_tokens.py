"""Rate limit tokens that an entry host prefetches from an organisation's home.

The home of an organisation is the host that owns its key.
"""

from __future__ import annotations

import dataclasses
import math

from mangotally.policy import membership
from mangotally.util import clock

BATCH_LIFETIME_MS = 500
# Tokens are prefetched only from this rate of calls.
MIN_RATE_PER_S = 8.0
_RATE_AVERAGING_MS = 2000


@dataclasses.dataclass(frozen=True)
class Returned:
    """A batch that an entry host has stopped using.

    Attributes:
        number: Number of the batch.
        unused: Tokens that are returned to the home.
    """

    number: int
    unused: float


class PrefetchedTokens:
    """Prefetched tokens of one organisation at an entry host.

    The lifetime of a batch starts when the request for it is sent, so the
    batch expires here before it expires at the home.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._last_call_ms = -math.inf
        self._number: int | None = None
        self._remaining = 0.0
        self._expires_ms = -math.inf

    @property
    def number(self) -> int | None:
        """Number of the current batch, or None."""
        return self._number

    def take(self, now_ms: float) -> bool:
        """Records a call and takes a token; returns whether there was one."""
        self._record_call(now_ms)
        if self._number is None or now_ms >= self._expires_ms:
            return False
        if self._remaining < 1:
            return False
        self._remaining -= 1
        return True

    def desired_tokens(self) -> int:
        """Returns how many tokens to request in addition to the next call's."""
        if self._rate_per_s < MIN_RATE_PER_S:
            return 0
        return math.ceil(self._rate_per_s * BATCH_LIFETIME_MS / clock.MS_PER_S)

    def release(self) -> Returned | None:
        """Ends the current batch and returns what to report to its home."""
        if self._number is None:
            return None
        returned = Returned(self._number, self._remaining)
        self._number = None
        self._remaining = 0.0
        return returned

    def receive(self, number: int, count: float, sent_ms: float) -> None:
        """Sets the current batch.

        Args:
            number: Number of the batch.
            count: Number of tokens in it.
            sent_ms: Time at which the request for the batch was sent.
        """
        self._number = number
        self._remaining = count
        self._expires_ms = sent_ms + BATCH_LIFETIME_MS

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether there is no batch and there were no recent calls."""
        idle_ms = now_ms - self._last_call_ms
        return self._number is None and idle_ms > _RATE_AVERAGING_MS

    def _record_call(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._last_call_ms)
        decay = math.exp(-elapsed_ms / _RATE_AVERAGING_MS)
        increment = clock.MS_PER_S / _RATE_AVERAGING_MS
        self._rate_per_s = self._rate_per_s * decay + increment
        self._last_call_ms = max(self._last_call_ms, now_ms)


def home_lifetime_ms() -> float:
    """Returns the lifetime of a batch at its home, with a margin for drift."""
    return BATCH_LIFETIME_MS * (1 + membership.CLOCK_MARGIN)
