"""The configuration in force, and how old the proof of that is."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mangotally.entry import model
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Time between the check of a request and the latest moment at which its
# caller can have sent it, clocks being steady.
MARGIN_MS = 150


class ConfigurationCache:
    """The newest configuration that this host knows.

    A withdrawn key may not be served after a bound. What this host knows
    was true when it sent the read that proved it, and nothing is known of
    later changes; so keys are trusted until that is as old as the bound.
    """

    def __init__(self, clock: clock_lib.Clock, max_age_ms: float) -> None:
        """Makes a holder of no configuration.

        Args:
            clock: A clock that counts suspensions.
            max_age_ms: How long a withdrawn key may be served.
        """
        self._clock = clock
        self._max_age_ms = max_age_ms - MARGIN_MS
        self._proved_ms = -math.inf
        self._configuration: model.Configuration | None = None

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration, or None."""
        return self._configuration

    @property
    def age_ms(self) -> float:
        """Age of the proof that the configuration is the newest."""
        return self._clock.now_ms() - self._proved_ms

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be trusted."""
        return (
            self._configuration is not None and self.age_ms < self._max_age_ms
        )

    def put(self, configuration: model.Configuration) -> None:
        """Puts a configuration in force, unless a newer one is."""
        known = self._configuration
        if known is not None and known.version >= configuration.version:
            return
        self._configuration = configuration
        logger.info(
            "configuration",
            extra={
                "version": configuration.version,
                "before": known.version if known else 0,
                "organisations": len(configuration.organisations),
                "proof_age_ms": self.age_ms,
            },
        )

    def confirm_current(self, sent_ms: float) -> None:
        """Notes that the configuration was the newest at a time.

        Args:
            sent_ms: When the read was sent that found nothing newer.
        """
        self._proved_ms = max(self._proved_ms, sent_ms)
