"""What is logged of a request."""

from __future__ import annotations

import collections
import contextlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mangotally.entry import attempts, requests
    from mangotally.util import clock as clock_lib


class AccessLogEntry:
    """What is logged of a request.

    Attributes:
        received: The request.
        flow: Its way, once there is a route.
        version: Version of the configuration.
        proof_age_ms: Age of the proof that it is the newest.
        organisation: Its organisation, once its key was found.
        admitted_by: Who admitted it within its organisation's rate.
        chain_turns: Turns before it.
        outcome: Set if there is no answer.
        step_ms: Time that each step took, by the name of the step.
    """

    def __init__(
        self, received: requests.CallerRequest, clock: clock_lib.Clock
    ) -> None:
        """Makes the story of a request that has just arrived."""
        self.received = received
        self._clock = clock
        self.flow: attempts.RequestState | None = None
        self.version = 0
        self.organisation = ""
        self.admitted_by = ""
        self.proof_age_ms = math.inf
        self.chain_turns = 0
        self.outcome = ""
        self.step_ms: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def measure_step(self, name: str) -> Iterator[None]:
        """Adds the time until the block ends to a step."""
        begin_ms = self._clock.now_ms()
        try:
            yield
        finally:
            self.step_ms[name] += round(self._clock.now_ms() - begin_ms)
