"""Chooses the target of a request by what it would cost there.

Load pattern: targets differ in speed, from each other and from one moment to
the next.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mangotally import ids
    from mangotally.policy import dispatch, target_view

# Relative slowdown of a request by the other requests of a full batch.
BATCH_SLOWDOWN = 0.25
# Reductions of the cost of a target, as fractions of the time of a run at an
# average target without load: if the target last ran a request of the session
# and so has its prefix cached, if the host has an idle connection to it, and if
# it is in the failure domain of the host. With many hosts, each has few
# requests: unless it returns to the same targets, its connections expire
# unused. A target half as slow again as the others is left nevertheless.
CACHED_PREFIX_BONUS = 0.2
OPEN_CONNECTION_BONUS = 0.5
SAME_DOMAIN_BONUS = 0.04


def choose(
    request: dispatch.QueuedRequest,
    targets: Iterable[tuple[ids.TargetId, target_view.TargetView]],
    session_target: ids.TargetId | None,
    now_ms: float,
) -> ids.TargetId | None:
    """Returns the cheapest target with a free slot, or None.

    Args:
        request: The request.
        targets: The targets of its service.
        session_target: The target that last ran a request of its session.
        now_ms: Current time.
    """
    best: ids.TargetId | None = None
    best_cost = float("inf")
    for name, view in targets:
        if not request.allows(name, view.version):
            continue
        if view.free_slots(now_ms) <= 0:
            continue
        cost = _cost(request, view, now_ms)
        cost -= CACHED_PREFIX_BONUS * (name == session_target)
        cost -= OPEN_CONNECTION_BONUS * (name in request.connected)
        if cost < best_cost:
            best, best_cost = name, cost
    return best


def _cost(
    request: dispatch.QueuedRequest,
    view: target_view.TargetView,
    now_ms: float,
) -> float:
    """Returns the time at a target, relative to an average one without load."""
    load = len(view.in_flight) / view.slots
    cost = view.time_factor(now_ms) * (1.0 + BATCH_SLOWDOWN * load)
    if view.failure_domain == request.failure_domain:
        cost -= SAME_DOMAIN_BONUS
    return cost
