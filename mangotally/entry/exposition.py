"""Metrics of an entry host in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import metrics_core, registry

from mangotally.metrics import exposition

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

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
        yield _counter(
            "mangotally_stream_resumptions",
            "Requests that continue an interrupted stream, by outcome.",
            "outcome",
            monitor.resumption_outcomes,
        )
        yield _counter(
            "mangotally_forwarded_requests",
            "Requests sent to targets through other hosts, by outcome.",
            "outcome",
            monitor.forwarded,
        )
        yield _counter(
            "mangotally_refused_bodies",
            "Bodies that were not received, by reason.",
            "reason",
            monitor.refused_bodies,
        )
        yield _counter(
            "mangotally_target_changes",
            "Changes of which targets get requests, by kind.",
            "kind",
            monitor.target_changes,
        )
        yield _counter(
            "mangotally_store_calls",
            "Calls to the store, by path and topic.",
            "call",
            monitor.store_calls,
        )
        for name, value in sorted(monitor.gauges.items()):
            yield metrics_core.GaugeMetricFamily(
                f"mangotally_{name}", name.replace("_", " "), value
            )


def _counter(
    name: str, text: str, label: str, counts: Mapping[str, int]
) -> metrics_core.CounterMetricFamily:
    """Returns a counter with one label."""
    family = metrics_core.CounterMetricFamily(name, text, labels=[label])
    for value, count in sorted(counts.items()):
        family.add_metric([value], count)
    return family
