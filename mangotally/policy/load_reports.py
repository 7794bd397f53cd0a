"""Corrects load reports of targets by the calls known to the scheduler."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mangotally.policy import pools

MAX_AGE_MS = 60_000.0


def correct(
    report: pools.LoadReport, granted_ms: Iterable[float], now_ms: float
) -> pools.LoadReport:
    """Returns a report that accounts for at least the scheduler's own calls.

    If the report has fewer calls than were granted before it was made, the
    missing ones count as waiting. Values outside their valid range are
    clamped.

    Args:
        report: Report of the target.
        granted_ms: Grant time of each active call at the target.
        now_ms: Time at which the report arrived.
    """
    age_ms = min(MAX_AGE_MS, max(0.0, report.age_ms))
    created_ms = now_ms - age_ms
    own_calls = sum(
        1 for call_granted_ms in granted_ms if call_granted_ms <= created_ms
    )
    running = max(0, report.running)
    waiting = max(0, report.waiting)
    capacity = max(0, report.cache_capacity_tokens)
    return dataclasses.replace(
        report,
        running=running,
        waiting=max(waiting, own_calls - running),
        cached_tokens=min(capacity, max(0, report.cached_tokens)),
        cache_capacity_tokens=capacity,
        age_ms=age_ms,
    )
