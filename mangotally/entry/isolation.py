"""Whether other hosts can reach this one."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from mangotally.entry import entry_pb2
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

logger = logging.getLogger(__name__)

PROBE_MS = 400
PROBE_TIMEOUT_MS = 300
# Hosts asked in each round, and rounds without any answer.
PROBED_HOSTS = 2
FAILED_ROUNDS = 2
# With fewer others, one that fails looks like isolation.
MIN_OTHERS = 3


class IsolationDetector:
    """Asks some other hosts from time to time.

    A home that no host reaches, though it reaches the store, would hold its
    keys for as long as that lasts; it has to give them up.
    """

    def __init__(self, homes: homes_lib.Homes, links: peers.PeerClient) -> None:
        """Makes an asker that takes this host to be reachable.

        Args:
            homes: Knows the other hosts.
            links: Links to them.
        """
        self._homes = homes
        self._links = links
        self._failed = 0

    @property
    def is_isolated(self) -> bool:
        """Whether no other host answers."""
        return self._failed >= FAILED_ROUNDS

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(PROBE_MS))
            others = self._homes.others()
            if len(others) < MIN_OTHERS:
                self._note(True)
                continue
            asked = random.sample(others, PROBED_HOSTS)
            replies = await asyncio.gather(
                *(
                    self._links.report(
                        each.address,
                        entry_pb2.PlaceReport(),
                        PROBE_TIMEOUT_MS,
                    )
                    for each in asked
                )
            )
            self._note(any(reply is not None for reply in replies))

    def _note(self, is_reached: bool) -> None:
        was_isolated = self.is_isolated
        self._failed = 0 if is_reached else self._failed + 1
        if self.is_isolated != was_isolated:
            logger.warning(
                "isolation_changed", extra={"isolated": self.is_isolated}
            )
