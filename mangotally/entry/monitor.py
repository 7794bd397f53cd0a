"""Metrics and access log of requests."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

from mangotally.entry import answers, outcomes, sending
from mangotally.metrics import histograms

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mangotally.entry import access_log, resumptions
    from mangotally.util import clock as clock_lib

logger = logging.getLogger("mangotally.requests")


class Monitor:
    """Counts and logs the outcome of each request.

    Attributes:
        gauges: Values of gauges by name, without the common prefix.
        forwarded: Number of requests sent through other hosts, by outcome.
        refused_bodies: Number of bodies that were not received, by reason.
        store_calls: Number of calls to the store, by path and topic.
        target_changes: Number of changes of which targets get requests, by
            kind.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._outcomes: collections.Counter[tuple[str, str]]
        self._outcomes = collections.Counter()
        self._resumptions: collections.Counter[str] = collections.Counter()
        self._latency: dict[str, histograms.LatencyHistogram] = {}
        self.gauges: dict[str, float] = {}
        self.forwarded: Mapping[str, int] = {}
        self.refused_bodies: Mapping[str, int] = {}
        self.store_calls: Mapping[str, int] = {}
        self.target_changes: Mapping[str, int] = {}

    def record(
        self, entry: access_log.AccessLogEntry, answer: outcomes.Result | None
    ) -> None:
        """Counts and logs one request."""
        total_ms = self._clock.now_ms() - entry.received.arrived_ms
        outcome = _outcome(entry, answer)
        route = entry.state.route.id if entry.state else ""
        self._outcomes[route, outcome] += 1
        if isinstance(answer, sending.Whole | outcomes.StreamEnded):
            histogram = self._latency.setdefault(
                route, histograms.LatencyHistogram()
            )
            histogram.record(total_ms)
        level = logging.INFO
        if isinstance(answer, answers.Refusal | outcomes.StreamBroken):
            level = logging.WARNING
        logger.log(level, "request", extra=_fields(entry, answer, total_ms))
        if entry.resumption is not None:
            self._record_resumption(entry, entry.resumption, outcome)

    def render(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        # Imported on first use to save memory.
        from mangotally.entry import exposition

        return exposition.render(self)

    @property
    def outcomes(self) -> dict[tuple[str, str], int]:
        """Number of requests by route and outcome."""
        return dict(self._outcomes)

    @property
    def resumption_outcomes(self) -> dict[str, int]:
        """Number of requests that continued a stream, by outcome."""
        return dict(self._resumptions)

    @property
    def latency(self) -> dict[str, histograms.LatencyHistogram]:
        """Latencies of answered requests by route."""
        return self._latency

    def _record_resumption(
        self,
        entry: access_log.AccessLogEntry,
        found: resumptions.Resumption,
        outcome: str,
    ) -> None:
        self._resumptions[outcome] += 1
        logger.info(
            "stream_resumption",
            extra={
                "request": entry.received.id,
                "resumes": found.resumes,
                "version": found.version,
                "source": found.source,
                "age_ms": found.age_ms,
                "outcome": outcome,
            },
        )


def _outcome(
    entry: access_log.AccessLogEntry, answer: outcomes.Result | None
) -> str:
    match answer:
        case sending.Whole():
            return f"status-{answer.status}"
        case outcomes.StreamEnded():
            return "streamed"
        case outcomes.StreamBroken():
            return "stream-broken"
        case answers.Refusal():
            return answer.cause.value
        case None:
            return entry.outcome or "error"


def _fields(
    entry: access_log.AccessLogEntry,
    answer: outcomes.Result | None,
    total_ms: float,
) -> dict[str, object]:
    received, state = entry.received, entry.state
    fields: dict[str, object] = {
        "request": received.id,
        "outcome": _outcome(entry, answer),
        "total_ms": round(total_ms, 1),
        "version": entry.version,
        "proof_age_ms": entry.proof_age_ms,
    }
    if received.program:
        fields["program"] = received.program
    if state is not None:
        fields["route"] = state.route.id
        fields["admitted_by"] = entry.admitted_by
        fields["attempts"] = state.attempts
        fields["waited_ms"] = round(state.queued_ms, 1)
        fields["place_ms"] = round(state.slot_wait_ms, 1)
        if state.first_event_ms is not None:
            fields["first_event_ms"] = round(state.first_event_ms, 1)
        fields["placed_by"] = state.source
        fields["events"] = state.sent_events
        if state.target is not None:
            fields["target"] = state.target
    if entry.organisation:
        fields["organisation"] = entry.organisation
    for name, elapsed_ms in entry.step_ms.items():
        fields[f"{name}_ms"] = elapsed_ms
    if entry.chain_turns:
        fields["chain_turns"] = entry.chain_turns
    if isinstance(answer, answers.Refusal):
        fields["detail"] = answer.detail
        fields["retry_after_ms"] = answer.retry_after_ms
    if isinstance(answer, outcomes.StreamBroken):
        fields["detail"] = answer.reason
    return fields
