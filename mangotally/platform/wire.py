"""Decoders of the platform's records into the types of the entry path."""

from __future__ import annotations

import json
from typing import Annotated, Any

import pydantic
from returns import result

from mangotally import ids
from mangotally.entry import model
from mangotally.util import clock as clock_lib

Count = Annotated[int, pydantic.Field(ge=0)]
Amount = Annotated[float, pydantic.Field(ge=0)]
MAX_BODY_BYTES = 4_194_304

_KINDS = {
    "idempotent": model.RouteKind.IDEMPOTENT,
    "non_idempotent": model.RouteKind.UNSAFE,
    "streaming": model.RouteKind.STREAMING,
}
_STATES = {
    "ready": model.TargetState.READY,
    "draining": model.TargetState.DRAINING,
}


class _Record(pydantic.BaseModel):
    """A JSON object of the platform; the fields have the platform's names."""

    model_config = pydantic.ConfigDict(extra="ignore")


class _Backend(_Record):
    Service: str
    Weight: Amount


class _Route(_Record):
    Name: str
    Host: str
    PathPrefix: str
    RouteKind: str
    TimeoutMs: Amount
    TargetLatencyMs: Amount
    Priority: int = 0
    Service: str | None = None
    Backends: list[_Backend] = []
    MaxAttempts: Count = 1
    Retained: bool = False
    RetentionS: Amount = 0.0
    Public: bool = False
    Resumable: bool = False


class _Engine(_Record):
    Slots: Count
    KvCapacity: Count
    TokensPerEvent: Count


class _Service(_Record):
    Name: str
    Engine: _Engine | None = None


class _Limits(_Record):
    MaxBodyBytes: Count = MAX_BODY_BYTES


class _Tenant(_Record):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None
    RatePerS: Amount | None = None
    Burst: Amount | None = None


class _Configuration(_Record):
    Version: Count
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = _Limits()
    Tenants: list[_Tenant] = []


class _Server(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    Service: str
    Address: str
    Zone: str
    Slots: Count
    State: str
    # Start time of the process, not of the record, in Unix milliseconds; some
    # old entries lack it.
    born: int = 0


def decode_configuration(
    data: bytes,
) -> result.Result[model.Configuration, str]:
    """Decodes the configuration in a record's value, or returns the error."""
    try:
        found = _Configuration.model_validate_json(data)
        routes = [_route(each) for each in found.Routes]
    except (pydantic.ValidationError, KeyError) as error:
        return result.Failure(_error_text(error))
    return result.Success(
        model.Configuration(
            found.Version,
            routes,
            {
                ids.ServiceId(each.Name): _service(each)
                for each in found.Services
            },
            [_organisation(each) for each in found.Tenants],
            found.Limits.MaxBodyBytes,
        )
    )


def decode_target(key: str, data: bytes) -> result.Result[model.Target, str]:
    """Decodes the target in a record's value, or returns the error.

    Args:
        key: Key of the record: the id of the target.
        data: Value of the record.
    """
    try:
        found = _Server.model_validate(_parse(data))
        state = _STATES[found.State]
        address = _check_address(found.Address)
    except (pydantic.ValidationError, KeyError, ValueError) as error:
        return result.Failure(_error_text(error))
    return result.Success(
        model.Target(
            ids.TargetId(key),
            found.born,
            ids.ServiceId(found.Service),
            address,
            ids.FailureDomainId(found.Zone),
            max(1, found.Slots),
            state,
        )
    )


def _parse(data: bytes) -> Any:
    try:
        parsed = json.loads(data)
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    if not isinstance(parsed, dict):
        raise ValueError("the value is not a JSON object")
    return parsed


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"the address {address!r} has no port")
    return address


def _route(found: _Route) -> model.Route:
    backends = tuple(
        model.Backend(ids.ServiceId(each.Service), each.Weight)
        for each in found.Backends
    )
    if not backends and found.Service is not None:
        backends = (model.Backend(ids.ServiceId(found.Service), 1.0),)
    return model.Route(
        id=model.RouteId(found.Name),
        host=found.Host,
        path_prefix=found.PathPrefix,
        kind=_KINDS[found.RouteKind],
        timeout_ms=found.TimeoutMs,
        objective_ms=found.TargetLatencyMs,
        priority=found.Priority,
        backends=backends,
        max_attempts=max(1, found.MaxAttempts),
        is_public=found.Public,
        is_retained=found.Retained,
        retention_ms=found.RetentionS * clock_lib.MS_PER_S,
        is_resumable=found.Resumable,
    )


def _service(found: _Service) -> model.Service:
    engine = found.Engine
    return model.Service(
        ids.ServiceId(found.Name),
        model.Engine(engine.Slots, engine.KvCapacity, engine.TokensPerEvent)
        if engine
        else None,
    )


def _organisation(found: _Tenant) -> model.Organisation:
    return model.Organisation(
        ids.OrganisationId(found.Name),
        frozenset(found.ApiKeys),
        found.Priority,
        found.RatePerS or 0.0,
        found.Burst or 0.0,
    )


def _error_text(error: Exception) -> str:
    if isinstance(error, pydantic.ValidationError):
        first = error.errors(include_input=False, include_url=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        return f"{location}: {first['msg']}"
    return f"{type(error).__name__}: {error}"
