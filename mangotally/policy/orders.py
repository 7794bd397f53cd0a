"""Orders to model engines: what an engine is to load, and in which role."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mangotally.settings import lists

ORDER_TIMEOUT_MS = 30_000.0


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine has loaded.

    Attributes:
        model: Name of the model, or empty if it does not matter.
        version: Version of the model, or empty if it does not matter.
        adapters: Names of adapters.
        role: What it works on: prefill, decode or both.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
        state: What it has loaded.
        fencing: Fencing number of the last order that it obeyed.
    """

    state: EngineState
    fencing: int


@dataclasses.dataclass(frozen=True)
class Order:
    """Bring one engine into the wanted state.

    Attributes:
        target: The engine.
        wanted: The wanted state.
        weights: What has to be fetched from the weight store for it.
    """

    target: ids.TargetId
    desired: EngineState
    weights: tuple[str, ...]


def desired_state(service: lists.Service) -> EngineState | None:
    """Returns the state that a service's engines are to have, if any."""
    found = service.engine
    if found is None:
        return None
    return EngineState(
        found.model, found.version, tuple(found.adapters), found.role.value
    )


def next_order(
    wanted: EngineState,
    seen: Mapping[ids.TargetId, EngineReport],
    ordered_ms: Mapping[ids.TargetId, float],
    now_ms: float,
) -> Order | None:
    """Returns the next order for a pool, or None if none is due.

    Engines are brought over one at a time, so that a change never takes
    more than one of them out of service. One that does not get there in
    time makes room for the others and is ordered again after them.

    Args:
        wanted: The wanted state.
        seen: What the engines say that could be asked.
        ordered_ms: When each engine was last given an order.
        now_ms: Current time.
    """
    due = [target for target in seen if not matches(wanted, seen[target].state)]
    if any(
        now_ms - ordered_ms.get(target, -math.inf) < ORDER_TIMEOUT_MS
        for target in due
    ):
        return None
    if not due:
        return None
    target = min(due, key=lambda item: (ordered_ms.get(item, -math.inf), item))
    return Order(target, wanted, _weights(wanted, seen[target].state))


def matches(wanted: EngineState, state: EngineState) -> bool:
    """Returns whether an engine is as wanted."""
    return (
        (not wanted.model or wanted.model == state.model)
        and (not wanted.version or wanted.version == state.version)
        and set(wanted.adapters) == set(state.adapters)
        and wanted.role == state.role
    )


def _weights(wanted: EngineState, state: EngineState) -> tuple[str, ...]:
    names = [
        f"adapter/{name}"
        for name in wanted.adapters
        if name not in state.adapters
    ]
    if (wanted.model, wanted.version) != (state.model, state.version) and (
        wanted.model or wanted.version
    ):
        names.insert(0, f"model/{wanted.model}/{wanted.version}")
    return tuple(names)
