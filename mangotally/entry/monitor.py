"""Counts and logs what becomes of requests."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

from mangotally.entry import answers, attempts, sending
from mangotally.metrics import series

if TYPE_CHECKING:
    from mangotally.entry import access_log as story_lib
    from mangotally.util import clock as clock_lib

logger = logging.getLogger("mangotally.requests")


class Monitor:
    """Takes the story of each request."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Makes a monitor that has counted nothing."""
        self._clock = clock
        self._outcomes: collections.Counter[tuple[str, str]]
        self._outcomes = collections.Counter()
        self._latency: dict[str, series.Histogram] = {}
        self.gauges: dict[str, float] = {}

    def record(
        self, story: story_lib.AccessLogEntry, answer: attempts.Result | None
    ) -> None:
        """Counts and logs one request."""
        total_ms = self._clock.now_ms() - story.received.arrived_ms
        outcome = _outcome(story, answer)
        route = story.flow.route.id if story.flow else ""
        self._outcomes[route, outcome] += 1
        if isinstance(answer, sending.Whole | attempts.StreamEnded):
            found = self._latency.setdefault(route, series.Histogram())
            found.record(total_ms)
        level = logging.INFO
        if isinstance(answer, answers.Refusal | attempts.StreamBroken):
            level = logging.WARNING
        logger.log(level, "request", extra=_fields(story, answer, total_ms))

    def render(self) -> bytes:
        """Returns all metrics as text."""
        # Imported by the first question, since it takes memory.
        from mangotally.entry import exposition

        return exposition.render(self)

    @property
    def outcomes(self) -> dict[tuple[str, str], int]:
        """Requests by route and outcome."""
        return dict(self._outcomes)

    @property
    def latency(self) -> dict[str, series.Histogram]:
        """Latency of answered requests by route."""
        return self._latency


def _outcome(
    story: story_lib.AccessLogEntry, answer: attempts.Result | None
) -> str:
    match answer:
        case sending.Whole():
            return f"status-{answer.status}"
        case attempts.StreamEnded():
            return "streamed"
        case attempts.StreamBroken():
            return "stream-broken"
        case answers.Refusal():
            return answer.cause.value
        case None:
            return story.outcome or "error"


def _fields(
    story: story_lib.AccessLogEntry,
    answer: attempts.Result | None,
    total_ms: float,
) -> dict[str, object]:
    received, flow = story.received, story.flow
    fields: dict[str, object] = {
        "request": received.id,
        "outcome": _outcome(story, answer),
        "total_ms": round(total_ms, 1),
        "version": story.version,
        "proof_age_ms": story.proof_age_ms,
    }
    if received.program:
        fields["program"] = received.program
    if flow is not None:
        fields["route"] = flow.route.id
        fields["admitted_by"] = story.admitted_by
        fields["attempts"] = flow.attempts
        fields["waited_ms"] = round(flow.queued_ms, 1)
        fields["place_ms"] = round(flow.slot_wait_ms, 1)
        if flow.first_event_ms is not None:
            fields["first_event_ms"] = round(flow.first_event_ms, 1)
        fields["placed_by"] = flow.source
        fields["events"] = flow.passed_events
        if flow.target is not None:
            fields["target"] = flow.target
    if story.organisation:
        fields["organisation"] = story.organisation
    for name, spent_ms in story.step_ms.items():
        fields[f"{name}_ms"] = spent_ms
    if story.chain_turns:
        fields["chain_turns"] = story.chain_turns
    if isinstance(answer, answers.Refusal):
        fields["detail"] = answer.detail
        fields["retry_after_ms"] = answer.retry_after_ms
    if isinstance(answer, attempts.StreamBroken):
        fields["detail"] = answer.reason
    return fields
