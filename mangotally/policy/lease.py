"""The lease of this host on the keys it is home of."""

from __future__ import annotations

import math


class Lease:
    """Valid from the sending of an acknowledged heartbeat.

    The lease runs on this host's monotonic clock. It counts from the moment
    at which a heartbeat was sent, and only once it was acknowledged and the
    members stream has been read up to it.
    """

    def __init__(self, length_ms: float) -> None:
        """Makes a lapsed lease.

        Args:
            length_ms: Length of the lease.
        """
        self._length_ms = length_ms
        self._expires_ms = -math.inf

    @property
    def expires_ms(self) -> float:
        """When the lease ends, on this host's monotonic clock."""
        return self._expires_ms

    def renew(self, sent_ms: float) -> None:
        """Extends the lease after an acknowledged heartbeat.

        Args:
            sent_ms: When that heartbeat was sent.
        """
        self._expires_ms = max(self._expires_ms, sent_ms + self._length_ms)

    def lapse(self) -> None:
        """Ends the lease at once."""
        self._expires_ms = -math.inf

    def is_valid(self, now_ms: float) -> bool:
        """Returns whether the holder may grant at this moment."""
        return now_ms < self._expires_ms
