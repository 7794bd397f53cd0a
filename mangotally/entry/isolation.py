"""Detection of isolation from the other hosts."""

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
# Number of hosts probed in each round, and of consecutive rounds without any
# response after which this host counts as isolated.
PROBED_HOSTS = 2
FAILED_ROUNDS = 2
# With fewer other hosts, the failure of one could look like isolation.
MIN_OTHERS = 3


class IsolationDetector:
    """Probes a random sample of the other hosts periodically.

    A home (a host that owns keys) that is cut off from all other hosts but
    still reaches the store would keep its keys for as long as the fault lasts.
    It must give them up instead.
    """

    def __init__(self, homes: homes_lib.Homes, links: peers.PeerClient) -> None:
        """Starts in the state "not isolated".

        Args:
            homes: Source of the list of other hosts.
            links: Connections to the other hosts.
        """
        self._homes = homes
        self._peers = links
        self._failed_rounds = 0

    @property
    def is_isolated(self) -> bool:
        """Whether no probed host has responded in the last rounds."""
        return self._failed_rounds >= FAILED_ROUNDS

    async def run(self) -> None:
        """Probes other hosts until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(PROBE_MS))
            others = self._homes.others()
            if len(others) < MIN_OTHERS:
                self._record_round(True)
                continue
            probed = random.sample(others, PROBED_HOSTS)
            replies = await asyncio.gather(
                *(
                    self._peers.report(
                        each.address,
                        entry_pb2.PlaceReport(),
                        PROBE_TIMEOUT_MS,
                    )
                    for each in probed
                )
            )
            self._record_round(any(reply is not None for reply in replies))

    def _record_round(self, is_reached: bool) -> None:
        was_isolated = self.is_isolated
        self._failed_rounds = 0 if is_reached else self._failed_rounds + 1
        if self.is_isolated != was_isolated:
            logger.warning(
                "isolation_changed", extra={"isolated": self.is_isolated}
            )
