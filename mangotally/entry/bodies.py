"""Receives the bodies of callers' requests within the memory of the host."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
from typing import TYPE_CHECKING

from mangotally.entry import answers
from mangotally.policy import body_budget
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from aiohttp import web

    from mangotally.settings import entry as settings_lib

logger = logging.getLogger(__name__)

# Memory that a host needs without any bodies.
BASE_MEMORY_MB = 80.0
BYTES_PER_MB = 1024 * 1024
# A body is held in pieces as it arrives, then in one piece, and once more
# while it is sent to its target.
COPIES = 3
# A body of the usual maximum fits, also as a large one.
MIN_BUDGET_BYTES = 8 * BYTES_PER_MB
# A body must grow within this time, also while there is memory for it.
IDLE_TIMEOUT_MS = 15_000.0
# How long a body waits for memory before it looks for others to end.
WAIT_MS = 50.0
# When a caller should return whose body had to make room.
RETRY_MS = 1000.0


def budget_bytes(resources: settings_lib.Resources) -> int:
    """Returns how many bytes of bodies a host may hold."""
    spare_mb = resources.memory_mb - BASE_MEMORY_MB
    spare_bytes = int(spare_mb * BYTES_PER_MB / COPIES)
    return max(MIN_BUDGET_BYTES, spare_bytes)


class _Reception:
    """A body that is being received."""

    def __init__(self, loan: body_budget.Loan, scope: asyncio.Timeout) -> None:
        self.loan = loan
        self.scope = scope


class Bodies:
    """Receives bodies; when memory is short, ends those that stand still.

    Attributes:
        refused: Number of bodies that were not received, by reason.
    """

    def __init__(self, total_bytes: int, clock: clock_lib.Clock) -> None:
        """Starts without bodies.

        Args:
            total_bytes: Memory for all bodies under way.
            clock: Source of the current time.
        """
        self._budget = body_budget.BodyBudget(total_bytes)
        self._clock = clock
        self._receptions: dict[body_budget.Loan, _Reception] = {}
        self._released = asyncio.Event()
        self.refused: collections.Counter[str] = collections.Counter()

    @property
    def lent_bytes(self) -> int:
        """Bytes of all bodies that are held now."""
        return self._budget.lent_bytes

    @contextlib.asynccontextmanager
    async def receive(
        self, request: web.BaseRequest, max_bytes: int
    ) -> AsyncGenerator[bytes | answers.Refusal, None]:
        """Receives a body, and holds its memory while the context lasts.

        Args:
            request: The request; nothing of its body is read if it announces
                more than the maximum.
            max_bytes: Maximum size of the body.

        Yields:
            The body, or the refusal of the request, which has not run.
        """
        if (request.content_length or 0) > max_bytes:
            yield self._refuse(answers.Cause.TOO_LARGE, "announced")
            return
        loan = self._budget.open(self._clock.now_ms())
        try:
            yield await self._read(request, loan, max_bytes)
        finally:
            self._budget.close(loan)
            self._released.set()

    async def _read(
        self,
        request: web.BaseRequest,
        loan: body_budget.Loan,
        max_bytes: int,
    ) -> bytes | answers.Refusal:
        try:
            async with asyncio.timeout(_idle_timeout_s()) as scope:
                self._receptions[loan] = _Reception(loan, scope)
                chunks = await self._read_chunks(request, loan, max_bytes)
        except TimeoutError:
            return self._refuse(answers.Cause.BODY_STALLED, "stalled")
        finally:
            self._receptions.pop(loan, None)
        if chunks is None:
            return self._refuse(answers.Cause.TOO_LARGE, "received")
        loan.is_complete = True
        return b"".join(chunks)

    async def _read_chunks(
        self,
        request: web.BaseRequest,
        loan: body_budget.Loan,
        max_bytes: int,
    ) -> list[bytes] | None:
        """Returns the chunks of a body; None if they exceed the maximum."""
        chunks: list[bytes] = []
        while chunk := await request.content.readany():
            if loan.size_bytes + len(chunk) > max_bytes:
                return None
            await self._extend(loan, len(chunk))
            chunks.append(chunk)
        return chunks

    async def _extend(self, loan: body_budget.Loan, size_bytes: int) -> None:
        """Waits for memory; nothing more of the body is read meanwhile."""
        before_ms = loan.progress_ms
        while not self._budget.extend(loan, size_bytes, self._clock.now_ms()):
            self._end_most_stalled(loan)
            self._released.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock_lib.to_seconds(WAIT_MS)):
                    await self._released.wait()
            # The caller is not late while this host does not read.
            loan.progress_ms = self._clock.now_ms()
        if loan.progress_ms != before_ms:
            loop = asyncio.get_running_loop()
            scope = self._receptions[loan].scope
            scope.reschedule(loop.time() + _idle_timeout_s())

    def _end_most_stalled(self, waiting: body_budget.Loan) -> None:
        """Ends the reception that has stood still longest, if there is any."""
        loan = self._budget.most_stalled(self._clock.now_ms())
        if loan is None or loan is waiting or loan not in self._receptions:
            return
        scope = self._receptions.pop(loan).scope
        scope.reschedule(asyncio.get_running_loop().time())
        self._budget.close(loan)
        logger.warning(
            "body_ended_for_memory",
            extra={"bytes": loan.size_bytes, "lent": self._budget.lent_bytes},
        )

    def _refuse(self, cause: answers.Cause, reason: str) -> answers.Refusal:
        self.refused[reason] += 1
        retry_after_ms = (
            RETRY_MS if cause is answers.Cause.BODY_STALLED else None
        )
        return answers.Refusal(cause, reason, retry_after_ms)


def _idle_timeout_s() -> float:
    return clock_lib.to_seconds(IDLE_TIMEOUT_MS)
