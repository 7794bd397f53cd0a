"""Latency histograms and their buckets in the Prometheus text format."""

from __future__ import annotations

import bisect
import math

from hdrh import histogram

MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
_WORD_BYTES = 4
# Upper bounds of the exposed buckets, in ms.
BOUNDS_MS = (
    5, 10, 25, 50, 100, 250, 500, 760, 1000, 2500, 5000, 10_000, 30_000,
    60_000, 300_000,
)  # fmt: skip


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies in ms."""
    return histogram.HdrHistogram(
        1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS, word_size=_WORD_BYTES
    )


def clamp_latency(value_ms: float) -> int:
    """Rounds a latency up and limits it to the range of a histogram."""
    return min(MAX_LATENCY_MS, max(1, math.ceil(value_ms)))


def cumulative_buckets(
    latencies: histogram.HdrHistogram,
) -> tuple[list[tuple[str, float]], float]:
    """Returns cumulative counts by upper bound, and the sum in ms."""
    counts = [0] * (len(BOUNDS_MS) + 1)
    total_ms = 0.0
    for step in latencies.get_recorded_iterator():
        count = step.count_added_in_this_iter_step
        counts[bisect.bisect_left(BOUNDS_MS, step.value_iterated_to)] += count
        total_ms += count * step.value_iterated_to
    buckets: list[tuple[str, float]] = []
    cumulative = 0
    for bound_ms, count in zip(BOUNDS_MS, counts, strict=False):
        cumulative += count
        buckets.append((str(bound_ms), cumulative))
    buckets.append(("+Inf", cumulative + counts[-1]))
    return buckets, total_ms


class LatencyHistogram:
    """A histogram of latencies in ms."""

    def __init__(self) -> None:
        self._histogram = new_histogram()

    def record(self, value_ms: float) -> None:
        """Records a latency."""
        self._histogram.record_value(clamp_latency(value_ms))

    def buckets(self) -> tuple[list[tuple[str, float]], float]:
        """Returns cumulative counts by upper bound, and the sum in ms."""
        return cumulative_buckets(self._histogram)
