"""Configuration and targets, as the entry path uses them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, NewType

from mangotally import ids

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

RouteId = NewType("RouteId", str)
RequestId = NewType("RequestId", str)
TurnId = NewType("TurnId", str)
SessionId = NewType("SessionId", str)


class RouteKind(enum.Enum):
    """What may be repeated.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        UNSAFE: A request runs at most once.
        STREAMING: The answer is a series of events; runs at most once
            unless the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Backend:
    """A service behind a route.

    Attributes:
        service: The service.
        weight: Its part of the route's requests, relative to the others.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests with a host name and a path go, and how.

    Attributes:
        id: Its name.
        host: Value of the Host header.
        path_prefix: Begins the path; ends with a slash.
        kind: What may be repeated.
        timeout_ms: Longest time that a request is kept.
        objective_ms: Latency that earns the full worth.
        priority: Rank of its requests; 0 is the highest.
        backends: Services, at least one.
        max_attempts: Targets that one request may be sent to.
        is_public: Whether requests carry no key.
        is_retained: Whether turns continue from turns that are kept.
        retention_ms: How long a turn is kept.
        is_resumable: Whether another target may go on with a stream.
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
        """Whether a request may run a second time from its start."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Engine:
    """What all targets of a model service have in common.

    Attributes:
        slots: Requests that a target runs at once.
        kv_tokens: Tokens that its memory holds.
        tokens_per_event: Tokens counted for each event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int


@dataclasses.dataclass(frozen=True)
class Service:
    """A service.

    Attributes:
        id: Its name.
        engine: Set for model services.
    """

    id: ids.ServiceId
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """An organisation and its limits over all hosts.

    Attributes:
        id: Its name.
        keys: Keys that speak for it.
        priority: Rank before the route's, or None.
        rate_per_s: Requests a second, or 0 for no limit.
        burst: Requests above the rate at once.
    """

    id: ids.OrganisationId
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class Configuration:
    """A version of the configuration, with look-ups."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[ids.ServiceId, Service],
        organisations: Iterable[Organisation],
        max_body_bytes: int,
    ) -> None:
        """Makes the look-ups.

        Args:
            version: Grows with each change.
            routes: All routes.
            services: All services by id.
            organisations: All organisations; none if no keys are needed.
            max_body_bytes: Largest body of a request.
        """
        self.version = version
        self.services = services
        self.organisations = {each.id: each for each in organisations}
        self.max_body_bytes = max_body_bytes
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        for found in self._routes.values():
            found.sort(key=lambda route: -len(route.path_prefix))
        self._organisation_by_key = {
            key: each
            for each in self.organisations.values()
            for key in each.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def organisation_of(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key, or None."""
        return self._organisation_by_key.get(key)


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class Target:
    """One start of a target.

    Attributes:
        id: Its id; a target may start again under the same one.
        born_ms: Start, in Unix milliseconds.
        service: What it serves.
        address: IP address and port.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        state: Whether it takes new requests.
    """

    id: ids.TargetId
    born_ms: int
    service: ids.ServiceId
    address: str
    failure_domain: ids.FailureDomainId
    slots: int
    state: TargetState
