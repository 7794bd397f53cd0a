"""Problem responses (`application/problem+json`) for failures."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from aiohttp import web

from mangotally.util import clock

if TYPE_CHECKING:
    from mangotally import errors

REASON = "reason"
CONTENT_TYPE = "application/problem+json"


def make_body(failure: errors.Failure) -> dict[str, object]:
    """Returns the JSON body that describes a failure."""
    return {
        "type": f"urn:mangotally:{failure.reason.value}",
        "status": failure.status,
        "title": failure.reason.value,
        "detail": failure.detail,
        "ran": failure.ran.value,
    }


def make_response(failure: errors.Failure) -> web.Response:
    """Returns the HTTP response for a failure."""
    headers = {}
    if failure.retry_after_ms is not None:
        seconds = math.ceil(failure.retry_after_ms / clock.MS_PER_S)
        headers["Retry-After"] = str(max(1, seconds))
    response = web.Response(
        status=failure.status,
        text=json.dumps(make_body(failure)),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
    response[REASON] = failure.reason
    return response


async def respond(failure: errors.Failure) -> web.StreamResponse:
    """Returns the HTTP response for a failure; an awaitable `make_response`."""
    return make_response(failure)
