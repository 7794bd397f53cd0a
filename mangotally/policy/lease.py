"""Lease of this host on the keys it is the home of (the keys it owns)."""

from __future__ import annotations

import math


class Lease:
    """Lease that is renewed by acknowledged heartbeats.

    The lease uses this host's monotonic clock. It runs from the time at which
    a heartbeat was sent, and is renewed only after that heartbeat was
    acknowledged and the members stream has been read up to it.
    """

    def __init__(self, length_ms: float) -> None:
        """Starts with an expired lease.

        Args:
            length_ms: Duration of the lease.
        """
        self._length_ms = length_ms
        self._expires_ms = -math.inf

    @property
    def expires_ms(self) -> float:
        """Expiry time on this host's monotonic clock."""
        return self._expires_ms

    def renew(self, sent_ms: float) -> None:
        """Extends the lease after an acknowledged heartbeat.

        Args:
            sent_ms: Time at which that heartbeat was sent.
        """
        self._expires_ms = max(self._expires_ms, sent_ms + self._length_ms)

    def lapse(self) -> None:
        """Ends the lease immediately."""
        self._expires_ms = -math.inf

    def is_valid(self, now_ms: float) -> bool:
        """Returns whether the lease is valid at a time."""
        return now_ms < self._expires_ms
