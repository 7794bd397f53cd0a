"""The operators' two lists: plans of organisations, and uses of plans."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Annotated

import pydantic

if TYPE_CHECKING:
    from mangotally import ids

MAX_NAME_LENGTH = 64
Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=MAX_NAME_LENGTH
    ),
]


class _Strict(pydantic.BaseModel):
    """A model that refuses unknown fields and does not change."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Organisation(_Strict):
    """An organisation and its plan."""

    id: Name
    plan: Name


class PlanList(_Strict):
    """The first list: which organisation has which plan."""

    organisations: tuple[Organisation, ...]


class Objective(enum.Enum):
    """What a plan weighs more when both cannot be had."""

    FAIRNESS = "fairness"
    LATENCY = "latency"


class Plan(_Strict):
    """What a plan may use.

    Attributes:
        name: The plan's name.
        rate_per_s: Calls a second over the whole fleet.
        burst: Calls above the rate at once.
        share: Weight against other plans when targets are contended.
        concurrency: Calls under way at once over the whole fleet.
        services: The services that the plan may call.
        program_tokens: Tokens that one tree of programs may use.
        program_calls: Calls that one tree of programs may make.
        program_wall_ms: Wall time of one tree of programs.
        program_latency_ms: Promise for a program's latency in the worst
            minute.
        objective: What the scheduler weighs more.
    """

    name: Name
    rate_per_s: float = pydantic.Field(gt=0)
    burst: float = pydantic.Field(ge=1)
    share: float = pydantic.Field(default=1.0, gt=0)
    concurrency: int = pydantic.Field(default=64, ge=1)
    services: tuple[Name, ...]
    program_tokens: int = pydantic.Field(default=2_000_000, ge=1)
    program_calls: int = pydantic.Field(default=500, ge=1)
    program_wall_ms: int = pydantic.Field(default=3_600_000, ge=1)
    program_latency_ms: int = pydantic.Field(default=600_000, ge=1)
    objective: Objective = Objective.FAIRNESS


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class RepeatableCall(_Strict):
    """Calls of a plain service that may be repeated."""

    method: str
    path_prefix: str = "/"


class Service(_Strict):
    """A service that plans may use.

    Attributes:
        id: The service's name.
        kind: Model engines or a plain service.
        repeatable: Calls of a plain service that are idempotent; all
            others run at most once.
        worker_calls: Calls that one target runs at once.
        honours_fencing: Whether the targets refuse old fencing numbers.
    """

    id: Name
    kind: ServiceKind
    repeatable: tuple[RepeatableCall, ...] = ()
    worker_calls: int = pydantic.Field(default=16, ge=1)
    honours_fencing: bool = True

    def may_repeat(self, method: str, path: str) -> bool:
        """Returns whether a call of a plain service is idempotent."""
        return any(
            call.method == method and path.startswith(call.path_prefix)
            for call in self.repeatable
        )


class UseList(_Strict):
    """The second list: what each plan may use."""

    plans: tuple[Plan, ...]
    services: tuple[Service, ...]


class Lists(_Strict):
    """Both lists, checked against each other."""

    plans: PlanList
    uses: UseList

    @pydantic.model_validator(mode="after")
    def _check(self) -> Lists:
        problems = list(_find_problems(self.plans, self.uses))
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def organisation_plan(
        self, organisation: ids.OrganisationId
    ) -> Plan | None:
        """Returns the plan of an organisation, or None if unknown."""
        for item in self.plans.organisations:
            if item.id == organisation:
                return next(p for p in self.uses.plans if p.name == item.plan)
        return None

    def service(self, service: str) -> Service | None:
        """Returns a service by its name, or None if unknown."""
        for item in self.uses.services:
            if item.id == service:
                return item
        return None


def _find_problems(plans: PlanList, uses: UseList) -> list[str]:
    plan_names = [plan.name for plan in uses.plans]
    service_names = [service.id for service in uses.services]
    problems = []
    problems += _duplicates("plan", plan_names)
    problems += _duplicates("service", service_names)
    problems += _duplicates(
        "organisation", [item.id for item in plans.organisations]
    )
    problems += [
        f"organisation {item.id!r} has the unknown plan {item.plan!r}"
        for item in plans.organisations
        if item.plan not in plan_names
    ]
    problems += [
        f"plan {plan.name!r} uses the unknown service {name!r}"
        for plan in uses.plans
        for name in plan.services
        if name not in service_names
    ]
    return problems


def _duplicates(what: str, names: list[str]) -> list[str]:
    return [
        f"{what} {name!r} stands twice"
        for name in sorted(set(names))
        if names.count(name) > 1
    ]
