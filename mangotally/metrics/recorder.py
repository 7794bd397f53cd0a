"""Recording of measurements of calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

from aiohttp import web

from mangotally import ids

if TYPE_CHECKING:
    from mangotally import errors
    from mangotally.util import clock as clock_lib


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """Measurements of an answered call.

    Attributes:
        organisation: Organisation of the caller; empty on routes without
            authentication.
        target: The target that answered, or None if it is not known.
        latency_ms: Time from the request to the end of the answer.
        first_token_ms: Time to first token, or None if there was none.
        generated_tokens: Length of the answer, in tokens.
    """

    organisation: ids.OrganisationId
    target: ids.TargetId | None
    latency_ms: float
    first_token_ms: float | None = None
    generated_tokens: int = 0


class Recorder(Protocol):
    """Receives measurements; its methods must not raise or block."""

    def record_call(self, record: CallRecord) -> None:
        """Records an answered call."""

    def count_refusal(self, reason: errors.Reason) -> None:
        """Counts a call that was refused or failed."""


APP_KEY = web.AppKey[Recorder]("recorder")


class NullRecorder:
    """Discards all measurements."""

    def record_call(self, record: CallRecord) -> None:
        """Does nothing."""

    def count_refusal(self, reason: errors.Reason) -> None:
        """Does nothing."""


class CallTimer:
    """Measures a call from its start and records it at its end."""

    def __init__(
        self,
        recorder: Recorder,
        organisation: ids.OrganisationId,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts the measurement."""
        self._recorder = recorder
        self._organisation = organisation
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._first_token_ms: float | None = None

    def record_token(self) -> None:
        """Records the time of the first token; has no effect after that."""
        if self._first_token_ms is None:
            self._first_token_ms = self._clock.now_ms() - self._start_ms

    def finish(
        self, target: ids.TargetId | None, generated_tokens: int = 0
    ) -> None:
        """Records the call as answered."""
        self._recorder.record_call(
            CallRecord(
                self._organisation,
                target,
                self._clock.now_ms() - self._start_ms,
                self._first_token_ms,
                generated_tokens,
            )
        )
