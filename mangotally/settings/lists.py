"""The operators' two lists: plans of organisations, and uses of plans."""

from __future__ import annotations

import collections
import dataclasses
import enum
import functools
import hashlib
import re
from typing import TYPE_CHECKING, Annotated, Literal

import pydantic

if TYPE_CHECKING:
    from mangotally import ids

_AMBIGUOUS_PATH = re.compile(
    r"//|\\|%2f|%5c|%00|(^|/)(\.|%2e){1,2}(;[^/]*)?(/|$)", re.IGNORECASE
)
MAX_NAME_LENGTH = 64
MAX_PROBLEMS = 20
_MODULUS = 1 << 256
MAX_ORGANISATIONS = 100_000
MAX_PLANS = 1000
MAX_SERVICES = 1000
Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=MAX_NAME_LENGTH
    ),
]


class _Strict(pydantic.BaseModel):
    """A model that refuses unknown fields and does not change."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class Organisation(_Strict):
    """An organisation and its plan."""

    id: Name
    plan: Name


class PlanList(_Strict):
    """The first list: which organisation has which plan."""

    organisations: tuple[Organisation, ...] = pydantic.Field(
        max_length=MAX_ORGANISATIONS
    )


class Plan(_Strict):
    """What a plan may use.

    Attributes:
        name: The plan's name.
        rate_per_s: Calls a second over the whole fleet.
        burst: Calls above the rate at once.
        share: Weight against other plans when targets are contended.
        services: The services that the plan may call.
        program_tokens: Tokens that one tree of programs may use.
        program_calls: Calls that one tree of programs may make.
        program_wall_ms: Wall time of one tree of programs.
        program_latency_ms: Promise for a program's latency in the worst
            minute.
    """

    name: Name
    rate_per_s: float = pydantic.Field(gt=0, allow_inf_nan=False)
    burst: float = pydantic.Field(ge=1, allow_inf_nan=False)
    share: float = pydantic.Field(default=1.0, gt=0, allow_inf_nan=False)
    services: tuple[Name, ...]
    program_tokens: int = pydantic.Field(default=2_000_000, ge=1)
    program_calls: int = pydantic.Field(default=500, ge=1)
    program_wall_ms: int = pydantic.Field(default=3_600_000, ge=1)
    program_latency_ms: int = pydantic.Field(default=600_000, ge=1)


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class RepeatableCall(_Strict):
    """Calls of a plain service that may be repeated."""

    method: str
    path_prefix: str = "/"


class EngineRole(enum.Enum):
    """What an engine works on."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class EngineSettings(_Strict):
    """What the engines of a service are to have loaded.

    Attributes:
        model: Name of the model, or empty if it does not matter.
        version: Version of the model, or empty if it does not matter.
        adapters: Names of adapters.
        role: What they work on.
    """

    model: Name | Literal[""] = ""
    version: Name | Literal[""] = ""
    adapters: tuple[Name, ...] = ()
    role: EngineRole = EngineRole.BOTH


class Service(_Strict):
    """A service that plans may use.

    Attributes:
        id: The service's name.
        kind: Model engines or a plain service.
        repeatable: Calls of a plain service that are idempotent; all
            others run at most once.
        worker_calls: Calls that one target runs at once.
        engine: What model engines are to have loaded, or None to leave
            them as they are.
    """

    id: Name
    kind: ServiceKind
    repeatable: tuple[RepeatableCall, ...] = ()
    worker_calls: int = pydantic.Field(default=16, ge=1)
    engine: EngineSettings | None = None

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call of a plain service is idempotent.

        A path that a target may read as another one, by dot segments,
        empty segments or encoded delimiters, is taken for non-idempotent.

        Args:
            method: The HTTP method.
            path: Path and query as sent to the target.
        """
        path = path.partition("?")[0]
        if _AMBIGUOUS_PATH.search(path):
            return False
        return any(
            call.method == method and path.startswith(call.path_prefix)
            for call in self.repeatable
        )


class UseList(_Strict):
    """The second list: what each plan may use."""

    plans: tuple[Plan, ...] = pydantic.Field(max_length=MAX_PLANS)
    services: tuple[Service, ...] = pydantic.Field(max_length=MAX_SERVICES)


@dataclasses.dataclass(frozen=True)
class _Index:
    """What is looked up in lists.

    Attributes:
        organisations: Organisations by id.
        plans: Plans by name.
        services: Services by id.
        digest_sum: Sum of the organisations' digests, which the order of
            the list leaves alone and a change corrects in place.
    """

    organisations: dict[str, Organisation]
    plans: dict[str, Plan]
    services: dict[str, Service]
    digest_sum: int


class Lists(_Strict):
    """Both lists, checked against each other."""

    plans: PlanList
    uses: UseList

    @pydantic.model_validator(mode="after")
    def _check(self) -> Lists:
        problems = find_problems(self.plans, self.uses)
        if problems:
            raise ValueError("; ".join(problems[:MAX_PROBLEMS]))
        return self

    @functools.cached_property
    def index(self) -> _Index:
        """Lookups, made on first use."""
        organisations = {item.id: item for item in self.plans.organisations}
        return _Index(
            organisations,
            {plan.name: plan for plan in self.uses.plans},
            {item.id: item for item in self.uses.services},
            sum(_number(item) for item in organisations.values()) % _MODULUS,
        )

    def organisation_plan(
        self, organisation: ids.OrganisationId
    ) -> Plan | None:
        """Returns the plan of an organisation, or None if unknown."""
        found = self.index.organisations.get(organisation)
        return None if found is None else self.index.plans[found.plan]

    def plan_name(self, organisation: str) -> str | None:
        """Returns the name of an organisation's plan, or None."""
        found = self.index.organisations.get(organisation)
        return None if found is None else found.plan

    def service(self, service: str) -> Service | None:
        """Returns a service by its name, or None if unknown."""
        return self.index.services.get(service)

    def digest(self) -> str:
        """Returns a digest that the order of organisations leaves alone."""
        found = hashlib.sha256(self.uses.model_dump_json().encode())
        found.update(f"{self.index.digest_sum:064x}".encode())
        return found.hexdigest()

    def with_changes(
        self,
        changed: tuple[Organisation, ...],
        removed: tuple[ids.OrganisationId, ...],
    ) -> Lists | None:
        """Returns lists with some organisations changed.

        Args:
            changed: Organisations that are new or have another plan.
            removed: Organisations that are taken off.

        Returns:
            The lists, or None if they would not be right.
        """
        index = self.index
        if any(item.plan not in index.plans for item in changed):
            return None
        organisations = dict(index.organisations)
        total = index.digest_sum
        for name in removed:
            before = organisations.pop(name, None)
            total -= 0 if before is None else _number(before)
        for item in changed:
            before = organisations.get(item.id)
            total -= 0 if before is None else _number(before)
            organisations[item.id] = item
            total += _number(item)
        if len(organisations) > MAX_ORGANISATIONS:
            return None
        found = Lists.model_construct(
            plans=PlanList.model_construct(
                organisations=tuple(organisations.values())
            ),
            uses=self.uses,
        )
        found.__dict__["index"] = dataclasses.replace(
            index, organisations=organisations, digest_sum=total % _MODULUS
        )
        return found


def _number(organisation: Organisation) -> int:
    text = f"{organisation.id} {organisation.plan}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def find_problems(plans: PlanList, uses: UseList) -> list[str]:
    """Returns what is wrong between both lists, one sentence each."""
    plan_names = [plan.name for plan in uses.plans]
    service_names = [service.id for service in uses.services]
    known_plans = frozenset(plan_names)
    known_services = frozenset(service_names)
    problems = [
        *_duplicates("plan", plan_names),
        *_duplicates("service", service_names),
        *_duplicates("organisation", [item.id for item in plans.organisations]),
    ]
    problems += [
        f"organisation {item.id!r} has the unknown plan {item.plan!r}"
        for item in plans.organisations
        if item.plan not in known_plans
    ]
    problems += [
        f"plan {plan.name!r} uses the unknown service {name!r}"
        for plan in uses.plans
        for name in plan.services
        if name not in known_services
    ]
    return problems


def _duplicates(what: str, names: list[str]) -> list[str]:
    counts = collections.Counter(names)
    return [
        f"{what} {name!r} stands twice"
        for name in sorted(counts)
        if counts[name] > 1
    ]
