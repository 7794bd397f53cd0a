"""The operators' two lists: organisations' plans, and what plans may use."""

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
    """An immutable model that refuses unknown fields."""

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
    """Rates, budgets and services of a plan.

    Attributes:
        name: The plan's name.
        rate_per_s: Calls per second over the whole fleet.
        burst: Calls allowed at once above the rate.
        share: Fair-share weight relative to other plans when targets are
            contended.
        services: The services that the plan may call.
        program_tokens: Token budget of one tree of programs.
        program_calls: Call budget of one tree of programs.
        program_wall_ms: Maximum wall time of one tree of programs.
        program_latency_ms: Guaranteed latency of a program in the worst
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
    """What runs the calls of a service."""

    MODEL = "model"
    PLAIN = "plain"


class RepeatableCall(_Strict):
    """Calls of a plain service that are idempotent, by method and path."""

    method: str
    path_prefix: str = "/"


class EngineRole(enum.Enum):
    """The phases of a request that an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class EngineSettings(_Strict):
    """What the engines of a service should have loaded.

    Attributes:
        model: Name of the model, or empty for any model.
        version: Version of the model, or empty for any version.
        adapters: Names of adapters.
        role: The phases of a request that they run.
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
        worker_calls: Maximum number of concurrent calls at one target.
        engine: What model engines should have loaded, or None to leave
            them unchanged.
    """

    id: Name
    kind: ServiceKind
    repeatable: tuple[RepeatableCall, ...] = ()
    worker_calls: int = pydantic.Field(default=16, ge=1)
    engine: EngineSettings | None = None

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call of a plain service is idempotent.

        A path that a target may resolve to another one, because of dot
        segments, empty segments or encoded delimiters, counts as not
        idempotent.

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
    """Lookup tables and a digest of the lists.

    Attributes:
        organisations: Organisations by id.
        plans: Plans by name.
        services: Services by id.
        digest_sum: Sum of the organisations' digests modulo 2**256. It does
            not depend on their order, and a change is added to it without
            hashing the other organisations again.
    """

    organisations: dict[str, Organisation]
    plans: dict[str, Plan]
    services: dict[str, Service]
    digest_sum: int


class Lists(_Strict):
    """Both lists, checked for consistency with each other."""

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
        """Lookup tables, built on first use."""
        organisations = {item.id: item for item in self.plans.organisations}
        return _Index(
            organisations,
            {plan.name: plan for plan in self.uses.plans},
            {item.id: item for item in self.uses.services},
            sum(_organisation_digest(item) for item in organisations.values())
            % _MODULUS,
        )

    def organisation_plan(
        self, organisation: ids.OrganisationId
    ) -> Plan | None:
        """Returns the plan of an organisation, or None if unknown."""
        found = self.index.organisations.get(organisation)
        return None if found is None else self.index.plans[found.plan]

    def plan_name(self, organisation: str) -> str | None:
        """Returns the name of an organisation's plan, or None if unknown."""
        found = self.index.organisations.get(organisation)
        return None if found is None else found.plan

    def service(self, service: str) -> Service | None:
        """Returns a service by its name, or None if unknown."""
        return self.index.services.get(service)

    def digest(self) -> str:
        """Returns a digest that does not depend on the organisations' order."""
        found = hashlib.sha256(self.uses.model_dump_json().encode())
        found.update(f"{self.index.digest_sum:064x}".encode())
        return found.hexdigest()

    def with_changes(
        self,
        changed: tuple[Organisation, ...],
        removed: tuple[ids.OrganisationId, ...],
    ) -> Lists | None:
        """Returns a copy of the lists with some organisations changed.

        Args:
            changed: Organisations that are new or have another plan.
            removed: Organisations that are removed.

        Returns:
            The lists, or None if they would be invalid.
        """
        index = self.index
        if any(item.plan not in index.plans for item in changed):
            return None
        organisations = dict(index.organisations)
        total = index.digest_sum
        for name in removed:
            before = organisations.pop(name, None)
            total -= 0 if before is None else _organisation_digest(before)
        for item in changed:
            before = organisations.get(item.id)
            total -= 0 if before is None else _organisation_digest(before)
            organisations[item.id] = item
            total += _organisation_digest(item)
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


def _organisation_digest(organisation: Organisation) -> int:
    text = f"{organisation.id} {organisation.plan}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def find_problems(plans: PlanList, uses: UseList) -> list[str]:
    """Returns the inconsistencies in and between both lists, as texts."""
    plan_names = [plan.name for plan in uses.plans]
    service_names = [service.id for service in uses.services]
    known_plans = frozenset(plan_names)
    known_services = frozenset(service_names)
    problems = [
        *_find_duplicates("plan", plan_names),
        *_find_duplicates("service", service_names),
        *_find_duplicates(
            "organisation", [item.id for item in plans.organisations]
        ),
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


def _find_duplicates(what: str, names: list[str]) -> list[str]:
    counts = collections.Counter(names)
    return [
        f"duplicate {what} {name!r}"
        for name in sorted(counts)
        if counts[name] > 1
    ]
