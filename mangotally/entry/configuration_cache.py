"""The active configuration, and when it was last confirmed as current."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mangotally.entry import model
    from mangotally.util import clock as clock_lib

# A fixed name, since log lines contain the name of their logger.
logger = logging.getLogger("mangotally.entry.knowledge")

# Safety margin, subtracted from the trust period of keys: the time between
# the check of a request and the latest moment at which its caller can have
# sent it, provided that clocks run steadily.
MARGIN_MS = 150


class ConfigurationCache:
    """The newest configuration known to this host.

    A revoked key must not be accepted for longer than a fixed bound. The
    configuration is known to have been current when the read that confirmed
    it was sent; later changes are unknown. So keys are accepted only while
    that confirmation is younger than the bound.
    """

    def __init__(self, clock: clock_lib.Clock, max_age_ms: float) -> None:
        """Starts without a configuration.

        Args:
            clock: Clock that also advances while the machine is suspended.
            max_age_ms: Longest time that a revoked key may be accepted.
        """
        self._clock = clock
        self._max_age_ms = max_age_ms - MARGIN_MS
        self._confirmed_ms = -math.inf
        self._configuration: model.Configuration | None = None

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration, or None."""
        return self._configuration

    @property
    def age_ms(self) -> float:
        """Time since the configuration was last confirmed as current."""
        return self._clock.now_ms() - self._confirmed_ms

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be accepted."""
        return (
            self._configuration is not None and self.age_ms < self._max_age_ms
        )

    def put(self, configuration: model.Configuration) -> None:
        """Activates a configuration if its version is newer."""
        active = self._configuration
        if active is not None and active.version >= configuration.version:
            return
        self._configuration = configuration
        logger.info(
            "configuration",
            extra={
                "version": configuration.version,
                "before": active.version if active else 0,
                "organisations": len(configuration.organisations),
                "proof_age_ms": self.age_ms,
            },
        )

    def confirm_current(self, sent_ms: float) -> None:
        """Records that the configuration was current at a point in time.

        Args:
            sent_ms: When the read that found nothing newer was sent.
        """
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)
