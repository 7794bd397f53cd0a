"""What is logged of a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mangotally.entry import attempts, requests


class Story:
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
    """

    def __init__(self, received: requests.Received) -> None:
        """Makes the story of a request that has just arrived."""
        self.received = received
        self.flow: attempts.Flow | None = None
        self.version = 0
        self.organisation = ""
        self.admitted_by = ""
        self.proof_age_ms = math.inf
        self.chain_turns = 0
        self.outcome = ""
