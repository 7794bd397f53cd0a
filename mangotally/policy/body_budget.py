"""Divides a host's memory for request bodies between its callers.

Load pattern: many callers send large bodies at once, and most stop just short
of the end or go on a few bytes at a time, while ordinary callers send small
bodies.
"""

from __future__ import annotations

import dataclasses

# Bodies up to this size may use all of the memory, larger ones this fraction.
# So an ordinary request does not depend on how many large ones are under way.
SMALL_BODY_BYTES = 32 * 1024
LARGE_FRACTION = 0.75
# A body that has not grown by this many bytes within this time makes room for
# others when memory is short.
MIN_PROGRESS_BYTES = 4 * 1024
STALL_MS = 500.0


@dataclasses.dataclass(eq=False)
class Loan:
    """Memory lent to one body.

    Attributes:
        size_bytes: Bytes lent.
        progress_ms: When the body last made progress.
        progress_bytes: Its size at that time.
        is_complete: Whether all of it has been received.
    """

    size_bytes: int
    progress_ms: float
    progress_bytes: int = 0
    is_complete: bool = False


class BodyBudget:
    """Memory for the bodies of all requests under way."""

    def __init__(self, total_bytes: int) -> None:
        """Starts with nothing lent.

        Args:
            total_bytes: Memory that may be lent.
        """
        self._total_bytes = total_bytes
        self._loans: dict[Loan, None] = {}
        self.lent_bytes = 0

    def open(self, now_ms: float) -> Loan:
        """Returns a loan without any memory."""
        loan = Loan(0, now_ms)
        self._loans[loan] = None
        return loan

    def extend(self, loan: Loan, size_bytes: int, now_ms: float) -> bool:
        """Lends more memory to a body.

        Args:
            loan: The loan of the body.
            size_bytes: Bytes to add.
            now_ms: Current time.

        Returns:
            Whether there was enough.
        """
        size_after = loan.size_bytes + size_bytes
        limit_bytes = self._total_bytes
        if size_after > SMALL_BODY_BYTES:
            limit_bytes = int(limit_bytes * LARGE_FRACTION)
        if self.lent_bytes + size_bytes > limit_bytes:
            return False
        self.lent_bytes += size_bytes
        loan.size_bytes = size_after
        if size_after - loan.progress_bytes >= MIN_PROGRESS_BYTES:
            loan.progress_ms = now_ms
            loan.progress_bytes = size_after
        return True

    def close(self, loan: Loan) -> None:
        """Takes the memory of a body back."""
        if loan in self._loans:
            del self._loans[loan]
            self.lent_bytes -= loan.size_bytes

    def most_stalled(self, now_ms: float) -> Loan | None:
        """Returns the loan that has stood still longest, or None.

        Only bodies that hold memory and are not complete count.
        """
        stalled = [
            each
            for each in self._loans
            if each.size_bytes
            and not each.is_complete
            and now_ms - each.progress_ms >= STALL_MS
        ]
        return min(stalled, key=lambda each: each.progress_ms, default=None)
