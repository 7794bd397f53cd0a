"""What is recorded of calls, by one call of a `Recorder` each."""

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
    """An answered call.

    Attributes:
        organisation: Its organisation, empty on open routes.
        target: The target that answered, or None if it is not known.
        latency_ms: Time from the request to the end of the answer.
        first_token_ms: Time to the first token, or None without tokens.
        generated_tokens: Tokens of the answer.
    """

    organisation: ids.OrganisationId
    target: ids.TargetId | None
    latency_ms: float
    first_token_ms: float | None = None
    generated_tokens: int = 0


class Recorder(Protocol):
    """Takes measurements; must not fail and must not wait."""

    def record_call(self, record: CallRecord) -> None:
        """Records an answered call."""

    def count_refusal(self, reason: errors.Reason) -> None:
        """Counts a call that was refused or failed."""


APP_KEY = web.AppKey[Recorder]("recorder")


class NullRecorder:
    """Takes measurements and keeps none."""

    def record_call(self, record: CallRecord) -> None:
        """Does nothing."""

    def count_refusal(self, reason: errors.Reason) -> None:
        """Does nothing."""


class CallTimer:
    """Measures one call of an organisation from its start."""

    def __init__(
        self,
        recorder: Recorder,
        organisation: ids.OrganisationId,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts to measure."""
        self._recorder = recorder
        self._organisation = organisation
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._first_token_ms: float | None = None

    def record_token(self) -> None:
        """Notes that text has arrived; the first time counts."""
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
