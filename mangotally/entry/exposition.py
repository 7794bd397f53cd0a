"""Metrics of an entry host in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import metrics_core, registry

from mangotally.metrics import exposition

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mangotally.entry import monitor as monitor_lib


def render(monitor: monitor_lib.Monitor) -> bytes:
    """Returns all metrics of a monitor as text."""
    return exposition.render_collector(_Collector(monitor))


class _Collector(registry.Collector):
    """Adapts a monitor to the exposition library."""

    def __init__(self, monitor: monitor_lib.Monitor) -> None:
        self._monitor = monitor

    def collect(self) -> Iterator[metrics_core.Metric]:
        monitor = self._monitor
        outcomes = metrics_core.CounterMetricFamily(
            "mangotally_requests",
            "Requests by route and outcome.",
            labels=["route", "outcome"],
        )
        for (route, outcome), count in sorted(monitor.outcomes.items()):
            outcomes.add_metric([route, outcome], count)
        yield outcomes
        latency = metrics_core.HistogramMetricFamily(
            "mangotally_request_latency_ms",
            "Latency of answered requests by route, in ms.",
            labels=["route"],
        )
        for route, histogram in sorted(monitor.latency.items()):
            latency.add_metric([route], *histogram.buckets())
        yield latency
        resumptions = metrics_core.CounterMetricFamily(
            "mangotally_stream_resumptions",
            "Requests that continue an interrupted stream, by outcome.",
            labels=["outcome"],
        )
        for outcome, count in sorted(monitor.resumption_outcomes.items()):
            resumptions.add_metric([outcome], count)
        yield resumptions
        forwarded = metrics_core.CounterMetricFamily(
            "mangotally_forwarded_requests",
            "Requests sent to targets through other hosts, by outcome.",
            labels=["outcome"],
        )
        for outcome, count in sorted(monitor.forwarded.items()):
            forwarded.add_metric([outcome], count)
        yield forwarded
        refused = metrics_core.CounterMetricFamily(
            "mangotally_refused_bodies",
            "Bodies that were not received, by reason.",
            labels=["reason"],
        )
        for reason, count in sorted(monitor.refused_bodies.items()):
            refused.add_metric([reason], count)
        yield refused
        changes = metrics_core.CounterMetricFamily(
            "mangotally_target_changes",
            "Changes of which targets get requests, by kind.",
            labels=["kind"],
        )
        for kind, count in sorted(monitor.target_changes.items()):
            changes.add_metric([kind], count)
        yield changes
        for name, value in sorted(monitor.gauges.items()):
            yield metrics_core.GaugeMetricFamily(
                f"mangotally_{name}", name.replace("_", " "), value
            )
