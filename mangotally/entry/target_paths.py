"""Checks the network paths from this host to the targets."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from mangotally.policy import path_checks
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.entry import directory as directory_lib

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 300.0
# The further targets of a check are tried if the first has not accepted the
# connection after this time.
NEXT_CONNECT_MS = 100.0
CHECK_TIMEOUT_MS = NEXT_CONNECT_MS + CONNECT_TIMEOUT_MS


class TargetPaths:
    """Checks whether this host reaches any target, after requests failed."""

    def __init__(
        self,
        directory: directory_lib.TargetDirectory,
        connect: Callable[[str], Awaitable[None]],
        clock: clock_lib.Clock,
    ) -> None:
        """Starts in the state "not cut off".

        Args:
            directory: Lists the targets.
            connect: Opens and closes a connection to an address; raises
                `OSError` if it can't.
            clock: Source of the current time.
        """
        self._directory = directory
        self._connect = connect
        self._clock = clock
        self._checks = path_checks.PathChecks()
        self._check: asyncio.Task[None] | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether the last check has reached no target."""
        return self._checks.is_cut_off

    def record_answer(self) -> None:
        """Records that bytes of an answer have been received."""
        self._checks.record_answer(self._clock.now_ms())

    def is_silent_since(self, sent_ms: float) -> bool:
        """Returns whether no target has been heard since a time."""
        return self._checks.is_silent_since(sent_ms)

    async def check(self) -> bool:
        """Checks the paths unless that was done a moment ago.

        Returns:
            Whether this host is cut off from the targets.
        """
        if self._check is None:
            if not self._checks.needs_check(self._clock.now_ms()):
                return self.is_cut_off
            self._check = asyncio.create_task(self._run_check())
        await asyncio.shield(self._check)
        return self.is_cut_off

    async def is_refused(self, address: str) -> bool:
        """Returns whether nothing listens at the address of a target."""
        try:
            async with asyncio.timeout(
                clock_lib.to_seconds(CONNECT_TIMEOUT_MS)
            ):
                await self._connect(address)
        except ConnectionRefusedError:
            return True
        except OSError as error:
            # Time-outs included: they don't tell whether the process runs.
            logger.info(
                "target_not_checked",
                extra={"address": address, "reason": repr(error)},
            )
        return False

    async def run(self) -> None:
        """Checks repeatedly while this host is cut off, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(path_checks.RECHECK_MS))
            if self.is_cut_off and self._check is None:
                self._check = asyncio.create_task(self._run_check())
                await asyncio.shield(self._check)

    async def _run_check(self) -> None:
        try:
            addresses = self._directory.sample_addresses(
                path_checks.CHECKED_TARGETS
            )
            is_reached = not addresses or await self._reaches_any(addresses)
            if self._checks.record_check(is_reached, self._clock.now_ms()):
                event = "targets_regained" if is_reached else "targets_lost"
                logger.warning(event, extra={"checked": addresses})
        finally:
            self._check = None

    async def _reaches_any(self, addresses: list[str]) -> bool:
        """Returns whether a connection to any of the addresses succeeds.

        The first address is tried alone for a moment: usually it answers.
        """
        async with contextlib.AsyncExitStack() as stack:
            pending: set[asyncio.Task[bool]] = set()
            for address in addresses:
                task = asyncio.create_task(self._reaches(address))
                stack.callback(task.cancel)
                pending.add(task)
                is_reached, pending = await _first_success(
                    pending, NEXT_CONNECT_MS if len(pending) == 1 else 0.0
                )
                if is_reached:
                    return True
            is_reached, _ = await _first_success(pending, CONNECT_TIMEOUT_MS)
            return is_reached

    async def _reaches(self, address: str) -> bool:
        try:
            async with asyncio.timeout(
                clock_lib.to_seconds(CONNECT_TIMEOUT_MS)
            ):
                await self._connect(address)
        except OSError:
            # Time-outs included: this is what a check looks for.
            return False
        return True


async def _first_success(
    tasks: set[asyncio.Task[bool]], wait_ms: float
) -> tuple[bool, set[asyncio.Task[bool]]]:
    """Waits until a task returns true, all have ended, or a time has passed.

    Returns:
        Whether a task returned true, and the tasks that have not ended.
    """
    end_s = asyncio.get_running_loop().time() + clock_lib.to_seconds(wait_ms)
    pending = tasks
    while pending:
        left_s = end_s - asyncio.get_running_loop().time()
        done, pending = await asyncio.wait(
            pending,
            timeout=max(0.0, left_s),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if any(each.result() for each in done):
            return True, pending
        if not done:
            break
    return False, pending


async def open_and_close(address: str) -> None:
    """Opens and closes a connection to an address.

    Raises:
        OSError: The connection can't be established.
    """
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.close()
