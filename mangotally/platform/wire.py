"""Decoders of the platform's records into the types of the entry path."""

from __future__ import annotations

import ipaddress
import json
import logging
from typing import Any

from returns import result

from mangotally import ids
from mangotally.entry import model
from mangotally.platform import fields
from mangotally.policy import target_closures
from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 4_194_304
# More than any target runs at once; far larger numbers break arithmetic.
MAX_SLOTS = 1_000_000
# Larger rates limit nothing, and larger times never end.
MAX_COLD_RATE_PER_S = 1_000_000.0
MAX_COLD_MS = 600_000.0
_PORT_DIGITS = 5
_MAX_PORT = 65_535

_KINDS = {
    "idempotent": model.RouteKind.IDEMPOTENT,
    "non_idempotent": model.RouteKind.UNSAFE,
    "streaming": model.RouteKind.STREAMING,
}
_STATES = {
    "ready": model.TargetState.READY,
    "draining": model.TargetState.DRAINING,
}


def decode_configuration(
    data: bytes,
) -> result.Result[model.Configuration, str]:
    """Decodes the configuration in a record's value, or returns the error."""
    try:
        found = fields.Fields(_parse(data))
        return result.Success(
            model.Configuration(
                found.count("Version"),
                [_route(each) for each in found.rows("Routes")],
                {
                    ids.ServiceId(each.text("Name")): _service(each)
                    for each in found.rows("Services")
                },
                [_organisation(each) for each in found.rows("Tenants")],
                _max_body_bytes(found),
            )
        )
    except (KeyError, ValueError) as error:
        return result.Failure(_error_text(error))


def decode_target(key: str, data: bytes) -> result.Result[model.Target, str]:
    """Decodes the target in a record's value, or returns the error.

    Args:
        key: Key of the record: the id of the target.
        data: Value of the record.
    """
    try:
        found = fields.Fields(_parse(data))
        return result.Success(
            model.Target(
                ids.TargetId(key),
                # Start time of the process, not of the record, in Unix
                # milliseconds; some old entries lack it.
                found.time_ms("born") if found.has("born") else 0,
                ids.ServiceId(found.text("Service")),
                _check_address(found.text("Address")),
                ids.FailureDomainId(found.text("Zone")),
                max(1, found.bounded_count("Slots", MAX_SLOTS)),
                _STATES[found.text("State")],
                ids.SoftwareVersion(found.text("Version")),
                _cold_ms(found),
            )
        )
    except (KeyError, ValueError) as error:
        return result.Failure(_error_text(error))


def is_evacuation(data: bytes) -> bool:
    """Returns whether a record's value orders an evacuation."""
    try:
        fields.Fields(_parse(data))
    except ValueError:
        return False
    return True


def _parse(data: bytes) -> Any:
    try:
        parsed = json.loads(data)
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    return parsed


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS):
        raise ValueError(f"the address {address[:80]!r} has no port")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"the port of {address!r} is out of range")
    return address


def _route(found: fields.Fields) -> model.Route:
    backends = tuple(
        model.Backend(
            ids.ServiceId(each.text("Service")), each.amount("Weight")
        )
        for each in found.rows("Backends")
    )
    if not backends and found.has("Service"):
        service = ids.ServiceId(found.text("Service"))
        backends = (model.Backend(service, 1.0),)
    retention_s = found.amount("RetentionS") if found.has("RetentionS") else 0.0
    max_attempts = found.count("MaxAttempts") if found.has("MaxAttempts") else 1
    return model.Route(
        id=model.RouteId(found.text("Name")),
        host=found.text("Host").lower(),
        path_prefix=found.text("PathPrefix"),
        kind=_KINDS[found.text("RouteKind")],
        timeout_ms=found.amount("TimeoutMs"),
        objective_ms=found.amount("TargetLatencyMs"),
        priority=found.integer("Priority") if found.has("Priority") else 0,
        backends=backends,
        max_attempts=max(1, max_attempts),
        is_public=found.flag("Public"),
        is_retained=found.flag("Retained"),
        retention_ms=retention_s * clock_lib.MS_PER_S,
        is_resumable=found.flag("Resumable"),
    )


def _service(found: fields.Fields) -> model.Service:
    return model.Service(
        ids.ServiceId(found.text("Name")),
        _engine(found.row("Engine")) if found.has("Engine") else None,
        _cold_start(found),
    )


def _cold_start(
    found: fields.Fields,
) -> target_closures.ColdStart | None:
    """Returns how the targets of a service start, or None.

    Bad values don't make the rest of the configuration unreadable.
    """
    if not (found.has("ColdStartS") and found.has("ColdRateS")):
        return None
    try:
        duration_ms = found.amount("ColdStartS") * clock_lib.MS_PER_S
        rate_per_s = found.amount("ColdRateS")
    except fields.FieldError as error:
        logger.warning("cold_start_unreadable", extra={"reason": str(error)})
        return None
    if duration_ms > MAX_COLD_MS or rate_per_s > MAX_COLD_RATE_PER_S:
        logger.warning("cold_start_unreadable", extra={"reason": "too large"})
        return None
    if not (duration_ms and rate_per_s):
        return None
    return target_closures.ColdStart(duration_ms, rate_per_s)


def _cold_ms(found: fields.Fields) -> float:
    if not found.has("ColdRemainingMs"):
        return 0.0
    return min(found.amount("ColdRemainingMs"), MAX_COLD_MS)


def _engine(found: fields.Fields) -> model.Engine:
    return model.Engine(
        found.count("Slots"),
        found.count("KvCapacity"),
        found.count("TokensPerEvent"),
    )


def _organisation(found: fields.Fields) -> model.Organisation:
    return model.Organisation(
        ids.OrganisationId(found.text("Name")),
        frozenset(found.texts("ApiKeys")),
        found.integer("Priority") if found.has("Priority") else None,
        found.amount("RatePerS") if found.has("RatePerS") else 0.0,
        found.amount("Burst") if found.has("Burst") else 0.0,
    )


def _max_body_bytes(found: fields.Fields) -> int:
    if not found.has("Limits"):
        return MAX_BODY_BYTES
    limits = found.row("Limits")
    if not limits.has("MaxBodyBytes"):
        return MAX_BODY_BYTES
    return limits.count("MaxBodyBytes")


def _error_text(error: Exception) -> str:
    if isinstance(error, fields.FieldError):
        return str(error)
    return f"{type(error).__name__}: {error}"
