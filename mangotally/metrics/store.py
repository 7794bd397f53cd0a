"""Metrics by organisation and target, in bounded memory."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

from mangotally.metrics import histograms as histograms_lib

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mangotally import errors
    from mangotally.metrics import recorder

# Default limit of the number of organisations and of targets with their own
# series.
MAX_SERIES = 128
OTHER = "other"


@dataclasses.dataclass
class Series:
    """Measurements of one organisation or target.

    Attributes:
        latency: Latency of calls in ms.
        first_token: Time to the first token in ms.
        generated_tokens: Number of generated tokens.
    """

    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=histograms_lib.new_histogram
    )
    first_token: histogram.HdrHistogram = dataclasses.field(
        default_factory=histograms_lib.new_histogram
    )
    generated_tokens: int = 0

    def add(self, other: Series) -> None:
        """Merges the measurements of another series into this one."""
        self.latency.add(other.latency)
        self.first_token.add(other.first_token)
        self.generated_tokens += other.generated_tokens


class SeriesSet:
    """Series by name.

    Beyond the maximum number of series, the least recently used ones are
    merged into a series called `other`.
    """

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        self._max_series = max_series
        self._series: collections.OrderedDict[str, Series]
        self._series = collections.OrderedDict()
        self._other: Series | None = None

    def record(self, name: str, record: recorder.CallRecord) -> None:
        """Records a call under a name."""
        series = self._series.get(name)
        if series is None:
            series = self._series[name] = Series()
            self._evict()
        self._series.move_to_end(name)
        series.latency.record_value(
            histograms_lib.clamp_latency(record.latency_ms)
        )
        series.generated_tokens += record.generated_tokens
        if record.first_token_ms is not None:
            series.first_token.record_value(
                histograms_lib.clamp_latency(record.first_token_ms)
            )

    def items(self) -> Iterator[tuple[str, Series]]:
        """Yields the names and series, sorted by name; `other` is last."""
        yield from sorted(self._series.items())
        if self._other is not None:
            yield OTHER, self._other

    def _evict(self) -> None:
        while len(self._series) > self._max_series:
            _, series = self._series.popitem(last=False)
            if self._other is None:
                self._other = Series()
            self._other.add(series)


class MetricsStore:
    """Stores the metrics of this host."""

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        """Creates an empty store.

        Args:
            max_series: Maximum number of organisations, and of targets, with
                their own series.
        """
        self.organisations = SeriesSet(max_series)
        self.targets = SeriesSet(max_series)
        self.refusals: collections.Counter[errors.Reason] = (
            collections.Counter()
        )

    def record_call(self, record: recorder.CallRecord) -> None:
        """Records an answered call."""
        if record.organisation:
            self.organisations.record(record.organisation, record)
        if record.target:
            self.targets.record(record.target, record)

    def count_refusal(self, reason: errors.Reason) -> None:
        """Counts a call that was refused or failed."""
        self.refusals[reason] += 1

    def dump(self) -> dict[str, object]:
        """Returns a summary for the state dump."""
        return {
            "organisations": _summaries(self.organisations),
            "targets": _summaries(self.targets),
            "refusals": {
                reason.value: count
                for reason, count in sorted(
                    self.refusals.items(), key=lambda item: item[0].value
                )
            },
        }


def _summaries(series_set: SeriesSet) -> dict[str, object]:
    return {
        name: {
            "calls": series.latency.total_count,
            "latency_ms": _percentiles(series.latency),
            "first_token_ms": _percentiles(series.first_token),
            "generated_tokens": series.generated_tokens,
        }
        for name, series in series_set.items()
    }


def _percentiles(latencies: histogram.HdrHistogram) -> dict[str, int] | None:
    if not latencies.total_count:
        return None
    return {
        "p50": latencies.get_value_at_percentile(50),
        "p99": latencies.get_value_at_percentile(99),
        "max": latencies.get_max_value(),
    }
