"""Checks of request lines and headers, made before authentication."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib import parse as urls

from mangotally import errors

if TYPE_CHECKING:
    from aiohttp import web

SINGLE_VALUED = (
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "Mangotally-Program",
    "Mangotally-Turn",
)
_PRINTABLE = re.compile(r"[\x20-\x7e]*")
_TARGET = re.compile(r"/[\x21\x22\x24-\x7e]*")
_BODY_TYPES = frozenset(
    {"", "application/json", "text/plain", "application/x-www-form-urlencoded"}
)


def check(request: web.Request) -> errors.Failure | None:
    """Returns a failure if a request's target or headers are invalid."""
    if not _TARGET.fullmatch(request.raw_path):
        return _bad_request(
            "The request target must be an absolute path of printable ASCII "
            "characters, without a fragment."
        )
    for name in SINGLE_VALUED:
        values = request.headers.getall(name, [])
        if len(values) > 1:
            return _bad_request(f"The header {name} was sent more than once.")
        if values and not _PRINTABLE.fullmatch(values[0]):
            return _bad_request(
                f"The header {name} has characters outside printable ASCII."
            )
    return None


def check_json(request: web.Request) -> errors.Failure | None:
    """Returns a failure if the content type rules out a JSON body."""
    header = request.headers.get("Content-Type", "")
    kind = header.partition(";")[0].strip().lower()
    if kind in _BODY_TYPES or kind.endswith("+json"):
        return None
    return _bad_request("Content-Type must be application/json.")


def exposes_key(request: web.Request, body: bytes) -> bool:
    """Returns whether the caller's key would be forwarded to a target.

    That is so if the key is also in the body, in the path or in a header
    other than Authorization.
    """
    header = request.headers.get("Authorization", "")
    key = header.partition(" ")[2].strip()
    if not key:
        return False
    if key.encode() in body:
        return True
    forwarded = [
        value
        for name, value in request.headers.items()
        if name.lower() != "authorization"
    ]
    forwarded += [request.raw_path, urls.unquote(request.raw_path)]
    return any(key in text for text in forwarded)


def _bad_request(detail: str) -> errors.Failure:
    return errors.Failure(errors.Reason.BAD_REQUEST, detail)
