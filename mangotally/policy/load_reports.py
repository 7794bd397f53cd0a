"""Load reports of targets, corrected by what the system knows itself."""

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
    """Returns a report that cannot claim less than the system's own calls.

    Args:
        report: The target's report.
        granted_ms: When each call that is under way there was granted.
        now_ms: When the report arrived.
    """
    age_ms = min(MAX_AGE_MS, max(0.0, report.age_ms))
    made_ms = now_ms - age_ms
    own = sum(1 for time_ms in granted_ms if time_ms <= made_ms)
    running = max(0, report.running)
    waiting = max(0, report.waiting)
    capacity = max(0, report.cache_capacity_tokens)
    return dataclasses.replace(
        report,
        running=running,
        waiting=max(waiting, own - running),
        cached_tokens=min(capacity, max(0, report.cached_tokens)),
        cache_capacity_tokens=capacity,
        age_ms=age_ms,
    )
