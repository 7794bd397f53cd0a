"""Orders to model engines: the model, adapters and role of each engine."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mangotally.settings import lists

# Time for an engine to execute an order before other engines are ordered.
ORDER_TIMEOUT_MS = 30_000.0


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine has loaded, or is to load.

    Attributes:
        model: Name of the model, or empty for any.
        version: Version of the model, or empty for any.
        adapters: Names of the loaded adapters.
        role: Phases that it runs: prefill, decode or both.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """The status that an engine reports.

    Attributes:
        state: What it has loaded.
        fencing: Fencing number of the last order that it executed.
    """

    state: EngineState
    fencing: int


@dataclasses.dataclass(frozen=True)
class Order:
    """An order that brings one engine into the desired state.

    Attributes:
        target: The engine.
        desired: The desired state.
        weights: Names of the weights to fetch from the weight store.
    """

    target: ids.TargetId
    desired: EngineState
    weights: tuple[str, ...]


def desired_state(service: lists.Service) -> EngineState | None:
    """Returns the desired state of a service's engines, or None."""
    engine = service.engine
    if engine is None:
        return None
    return EngineState(
        engine.model, engine.version, tuple(engine.adapters), engine.role.value
    )


def next_order(
    desired: EngineState,
    reports: Mapping[ids.TargetId, EngineReport],
    ordered_ms: Mapping[ids.TargetId, float],
    now_ms: float,
) -> Order | None:
    """Returns the next order for a pool, or None if none is due.

    Engines are changed one at a time, so that a change never takes more than
    one of them out of service. If an engine does not reach the desired state
    in time, the others are ordered first and it is ordered again after them.

    Args:
        desired: The desired state.
        reports: Status of each engine that could be reached.
        ordered_ms: When each engine was last given an order.
        now_ms: Current time.
    """
    due = [
        target
        for target in reports
        if not matches(desired, reports[target].state)
    ]
    if any(
        now_ms - ordered_ms.get(target, -math.inf) < ORDER_TIMEOUT_MS
        for target in due
    ):
        return None
    if not due:
        return None
    target = min(due, key=lambda item: (ordered_ms.get(item, -math.inf), item))
    return Order(target, desired, _weights(desired, reports[target].state))


def matches(desired: EngineState, state: EngineState) -> bool:
    """Returns whether an engine is in the desired state."""
    return (
        (not desired.model or desired.model == state.model)
        and (not desired.version or desired.version == state.version)
        and set(desired.adapters) == set(state.adapters)
        and desired.role == state.role
    )


def _weights(desired: EngineState, state: EngineState) -> tuple[str, ...]:
    names = [
        f"adapter/{name}"
        for name in desired.adapters
        if name not in state.adapters
    ]
    if (desired.model, desired.version) != (state.model, state.version) and (
        desired.model or desired.version
    ):
        names.insert(0, f"model/{desired.model}/{desired.version}")
    return tuple(names)
