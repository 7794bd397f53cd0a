"""Data for the access log entry of a request."""

from __future__ import annotations

import collections
import contextlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mangotally.entry import request_state, requests, resumptions
    from mangotally.util import clock as clock_lib


class AccessLogEntry:
    """Data collected for the access log entry of a request.

    Attributes:
        received: The received request.
        state: Processing state of the request, or None until its route is known
            and its body has been read.
        version: Version of the configuration.
        proof_age_ms: Time since that version was confirmed as current.
        organisation: Organisation of the key, once it is known.
        admitted_by: Which rate limiter admitted the request, see
            `rates.Admitted.source`.
        chain_turns: Number of preceding turns that were read.
        resumption: What is known of the stream that it continues, or None.
        outcome: Outcome to log if there is no response.
        step_ms: Total time of each processing step, by name.
    """

    def __init__(
        self, received: requests.CallerRequest, clock: clock_lib.Clock
    ) -> None:
        """Starts the entry of a request that has just arrived."""
        self.received = received
        self._clock = clock
        self.state: request_state.RequestState | None = None
        self.version = 0
        self.organisation = ""
        self.admitted_by = ""
        self.proof_age_ms = math.inf
        self.chain_turns = 0
        self.resumption: resumptions.Resumption | None = None
        self.outcome = ""
        self.step_ms: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def measure_step(self, name: str) -> Iterator[None]:
        """Measures the time of the `with` block and adds it to a step."""
        start_ms = self._clock.now_ms()
        try:
            yield
        finally:
            self.step_ms[name] += round(self._clock.now_ms() - start_ms)
