"""Decides whether a host is cut off from the targets of all services.

Load pattern: some hosts lose their network paths to all targets for seconds,
while callers and the other hosts still reach them. Each of their requests
fails, and every target seems to fail. One failed target says nothing of the
path; several targets that refuse or don't answer at the same moment do.
"""

from __future__ import annotations

# Targets that a check tries to connect to. All of them failing at once for
# reasons of their own is unlikely.
CHECKED_TARGETS = 3
# A check that found a path is trusted for this time.
MAX_AGE_MS = 300.0
# Interval of checks while the host is cut off.
RECHECK_MS = 500.0
# A request without an answer for this time is a reason to check the path,
# unless another target has been heard meanwhile.
SILENCE_MS = 500.0


class PathChecks:
    """State of the paths from this host to the targets."""

    def __init__(self) -> None:
        self.is_cut_off = False
        self._checked_ms: float | None = None
        self._heard_ms: float | None = None

    def record_check(self, is_any_reached: bool, now_ms: float) -> bool:
        """Records a check.

        Args:
            is_any_reached: Whether any of the targets could be connected to.
            now_ms: When it ended.

        Returns:
            Whether this changed `is_cut_off`.
        """
        was_cut_off = self.is_cut_off
        self.is_cut_off = not is_any_reached
        self._checked_ms = now_ms
        return self.is_cut_off != was_cut_off

    def record_answer(self, now_ms: float) -> None:
        """Records that bytes of an answer have been received."""
        self._heard_ms = now_ms

    def needs_check(self, now_ms: float) -> bool:
        """Returns whether a failed request is a reason for a check now."""
        if self.is_cut_off:
            return False
        return (
            self._checked_ms is None or now_ms - self._checked_ms >= MAX_AGE_MS
        )

    def is_silent_since(self, sent_ms: float) -> bool:
        """Returns whether no target has been heard since a time."""
        return self._heard_ms is None or self._heard_ms < sent_ms
