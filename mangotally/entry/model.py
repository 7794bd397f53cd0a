"""Data model of the configuration and the targets on the entry path."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, NewType

from mangotally import ids
from mangotally.policy import target_closures

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

RouteId = NewType("RouteId", str)
RequestId = NewType("RequestId", str)
TurnId = NewType("TurnId", str)
SessionId = NewType("SessionId", str)


class RouteKind(enum.Enum):
    """Retry semantics of the requests of a route.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        UNSAFE: A request runs at most once.
        STREAMING: The response is an event stream. A request runs at most
            once unless the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Backend:
    """A service behind a route.

    Attributes:
        service: ID of the service.
        weight: Share of the route's requests, relative to other backends.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Rule that maps a host name and path prefix to services.

    Attributes:
        id: Name of the route.
        host: Name of the host in requests, in lower case.
        path_prefix: Prefix of the path; ends with a slash.
        kind: Retry semantics.
        timeout_ms: Maximum time to answer a request.
        objective_ms: Latency objective: up to this latency, a request has its
            full value.
        priority: Priority of the requests; 0 is the highest.
        backends: Services behind the route, at least one.
        max_attempts: Maximum number of targets to send a request to.
        is_public: Whether requests need no key.
        is_retained: Whether turns are stored, so that later turns can
            continue from them.
        retention_ms: How long a turn is stored.
        is_resumable: Whether another target may resume an interrupted stream.
    """

    id: RouteId
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    objective_ms: float
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    is_public: bool = False
    is_retained: bool = False
    retention_ms: float = 0.0
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be retried from the start."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Engine:
    """Properties common to all targets of a model service.

    Attributes:
        slots: Number of requests that a target runs concurrently.
        kv_tokens: Capacity of the KV cache of a target, in tokens.
        tokens_per_event: Tokens counted for each event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that targets provide.

    Attributes:
        id: Name of the service.
        engine: Engine properties; only set for model services.
        cold_start: How its targets bear load after a start; None if they bear
            all of it at once.
    """

    id: ids.ServiceId
    engine: Engine | None = None
    cold_start: target_closures.ColdStart | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """An organisation and its limits, which apply across all hosts.

    Attributes:
        id: Name of the organisation.
        keys: API keys of the organisation.
        priority: Priority that takes precedence over that of the route, or
            None.
        rate_per_s: Requests per second, or 0 for no limit.
        burst: Requests allowed at once in excess of the rate.
    """

    id: ids.OrganisationId
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration:
    """A version of the configuration, with lookup tables."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[ids.ServiceId, Service],
        organisations: Iterable[Organisation],
        max_body_bytes: int,
    ) -> None:
        """Builds the lookup tables.

        Args:
            version: Version number, which increases with each change.
            routes: All routes.
            services: All services by ID.
            organisations: All organisations; empty if no keys are needed.
            max_body_bytes: Maximum size of a request body.
        """
        self.version = version
        self.services = services
        self.organisations = {each.id: each for each in organisations}
        self.max_body_bytes = max_body_bytes
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        for of_host in self._routes.values():
            of_host.sort(key=lambda route: -len(route.path_prefix))
        self._organisation_by_key = {
            key: each
            for each in self.organisations.values()
            for key in each.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest matching prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def organisation_of(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key, or None."""
        return self._organisation_by_key.get(key)


class TargetState(enum.Enum):
    """State that a target reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Target:
    """One incarnation of a target.

    Attributes:
        id: ID of the target, which it keeps when it restarts.
        born_ms: Start time of this incarnation, in Unix milliseconds.
        service: Service that it provides.
        address: IP address and port.
        failure_domain: Failure domain that it runs in.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new requests.
        version: Version of its software. A stream can be continued only by a
            target of the version that began it.
        cold_ms: How much longer it is cold after its start. A change of it is
            not a change of the target.
    """

    id: ids.TargetId
    born_ms: int
    service: ids.ServiceId
    address: str
    failure_domain: ids.FailureDomainId
    slots: int
    state: TargetState
    version: ids.SoftwareVersion
    cold_ms: float = dataclasses.field(default=0.0, compare=False)
