"""Home of the weight store: enforces its rate limit across the fleet.

All hosts fetch weights through one host, the home of the key `HOME_KEY`.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors
from mangotally.hosts import messages

if TYPE_CHECKING:
    from mangotally.homes import membership
    from mangotally.hosts import router
    from mangotally.util import clock as clock_lib
    from mangotally.weights import client

logger = logging.getLogger(__name__)

HOME_KEY = "weights"
MS_PER_S = 1000


class WeightHome:
    """Fetches weights within the rate limit of the store.

    A new home waits one interval before its first fetch, because it does
    not know when the previous home made its last one.
    """

    def __init__(
        self,
        members: membership.Membership,
        store: client.WeightStore,
        rate_per_s: float,
        clock: clock_lib.Clock,
    ) -> None:
        """Creates the home; `attach` puts it into service.

        Args:
            members: The membership of this host.
            store: The weight store.
            rate_per_s: Fetches per second that the store allows.
            clock: The host's clock.
        """
        self._members = members
        self._store = store
        self._interval_ms = MS_PER_S / rate_per_s
        self._clock = clock
        self._next_fetch_ms = clock.now_ms() + self._interval_ms
        members.on_change(self._on_membership_change)

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handler."""
        handlers.add_unary(messages.FetchWeights, self.fetch)

    async def fetch(
        self, message: messages.FetchWeights
    ) -> errors.Outcome[messages.Done]:
        """Fetches weights; fails with a retry time if the rate is exceeded."""
        now_ms = self._clock.now_ms()
        is_home = self._members.is_home(HOME_KEY)
        if not is_home or not self._members.lease.is_valid(now_ms):
            return errors.home_moved()
        if now_ms < self._next_fetch_ms:
            return errors.failed(
                errors.Reason.OVER_RATE,
                "The rate limit of the weight store is reached.",
                retry_after_ms=int(self._next_fetch_ms - now_ms) + 1,
            )
        self._next_fetch_ms = now_ms + self._interval_ms
        outcome = await self._store.fetch(message.name)
        if isinstance(outcome, result.Failure):
            pause_ms = outcome.failure().retry_after_ms or 0
            retry_ms = self._clock.now_ms() + pause_ms
            self._next_fetch_ms = max(self._next_fetch_ms, retry_ms)
            logger.warning(
                "weights_unavailable", extra={"weights": message.name}
            )
        return outcome.map(lambda _: messages.Done())

    def _on_membership_change(self) -> None:
        if not self._members.is_home(HOME_KEY):
            self._next_fetch_ms = self._clock.now_ms() + self._interval_ms
