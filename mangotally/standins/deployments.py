"""Sample deployments for the stand-ins, after the two existing ones."""

from __future__ import annotations

import dataclasses

from mangotally.settings import lists


@dataclasses.dataclass(frozen=True)
class WorkerGroup:
    """A service and the number of its workers."""

    service: str
    workers: int
    kind: lists.ServiceKind


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment: failure domains, services and organisations.

    Attributes:
        name: Its name.
        places: Its failure domains.
        groups: Its services.
        plans: Its list of organisations and their plans.
        uses: Its list of plans and services.
    """

    name: str
    places: tuple[str, ...]
    groups: tuple[WorkerGroup, ...]
    plans: lists.PlanList
    uses: lists.UseList


def tornos_norte() -> Deployment:
    """Returns the deployment of a booking desk."""
    groups = (
        WorkerGroup("assistente", 5, lists.ServiceKind.MODEL),
        WorkerGroup("balcao", 6, lists.ServiceKind.PLAIN),
    )
    plan_names = {
        "oficinas-porto": "grande",
        "oficinas-braga": "grande",
        "metal-guimaraes": "grande",
        "torneiros-ave": "oficina",
        "aprendizes-minho": "oficina",
        "escola-braga": "atelier",
        "escola-fafe": "atelier",
        "atelier-viana": "atelier",
    }
    plans = (
        _plan("grande", 20.0, 40.0, 4.0, groups),
        _plan("oficina", 8.0, 16.0, 2.0, groups),
        _plan("atelier", 3.0, 8.0, 1.0, groups),
    )
    return _deployment(
        "tornos-norte",
        ("porto", "braga", "guimaraes"),
        groups,
        plan_names,
        plans,
    )


def lakeshore() -> Deployment:
    """Returns the deployment of a commissioning company."""
    groups = (
        WorkerGroup("agent-llm", 5, lists.ServiceKind.MODEL),
        WorkerGroup("field-app", 9, lists.ServiceKind.PLAIN),
    )
    plan_names = {
        "harbour-erie": "fleet",
        "harbour-huron": "fleet",
        "harbour-michigan": "fleet",
        "coop-sandusky": "crew",
        "coop-alpena": "crew",
        "coop-ludington": "crew",
        "masts-goderich": "crew",
        "vanes-holland": "crew",
    }
    plans = (
        _plan("fleet", 20.0, 40.0, 3.0, groups),
        _plan("crew", 6.0, 12.0, 1.0, groups),
    )
    return _deployment(
        "lakeshore",
        ("erie-shore", "huron-shore", "michigan-shore"),
        groups,
        plan_names,
        plans,
    )


DEPLOYMENTS = {"tornos-norte": tornos_norte, "lakeshore": lakeshore}


def _plan(
    name: str,
    rate_per_s: float,
    burst: float,
    share: float,
    groups: tuple[WorkerGroup, ...],
) -> lists.Plan:
    return lists.Plan(
        name=name,
        rate_per_s=rate_per_s,
        burst=burst,
        share=share,
        services=tuple(group.service for group in groups),
    )


def _deployment(
    name: str,
    places: tuple[str, ...],
    groups: tuple[WorkerGroup, ...],
    plan_names: dict[str, str],
    plans: tuple[lists.Plan, ...],
) -> Deployment:
    services = tuple(
        lists.Service(
            id=group.service,
            kind=group.kind,
            repeatable=_repeatable(group.kind),
        )
        for group in groups
    )
    organisations = tuple(
        lists.Organisation(id=organisation, plan=plan)
        for organisation, plan in plan_names.items()
    )
    return Deployment(
        name,
        places,
        groups,
        lists.PlanList(organisations=organisations),
        lists.UseList(plans=plans, services=services),
    )


def _repeatable(kind: lists.ServiceKind) -> tuple[lists.RepeatableCall, ...]:
    if kind is lists.ServiceKind.MODEL:
        return ()
    return (lists.RepeatableCall(method="GET", path_prefix="/"),)
