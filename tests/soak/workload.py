"""Expected contents of requests and responses, and the configuration."""

from __future__ import annotations

import enum
import zlib
from typing import Any

from tests import entry_fleet

EVENT_TOKENS = entry_fleet.EVENT_TOKENS
MAX_EVENTS = 8
MAX_TOKENS = EVENT_TOKENS * MAX_EVENTS
CONFIG_APPLY_MS = 2000
ROUTE_TIMEOUT_MS = 3000
# Longer than any run, so that no turn expires during a run.
RETENTION_S = 3600.0
LIMITED_ORGANISATION = "org-limited"
LIMITED_KEY = "key-limited"
RATE_PER_S = 20.0
BURST = 10.0
# Software versions of targets. What they generate in streams that may be
# resumed differs.
FIRST_VERSION = "v1"
VERSIONS = (FIRST_VERSION, "v2", "v3")
# Routes are moved between this service and entry_fleet.DESK.
SPARE_DESK = "desk-2"


class RequestKind(enum.Enum):
    """The kind of a request; the value is the path prefix of its route."""

    TURN = entry_fleet.CHAT
    QUERY = entry_fleet.QUERY
    LOOKUP = entry_fleet.LOOKUP
    PAY = entry_fleet.PAY

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RequestKind.TURN, RequestKind.QUERY)

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be executed more than once."""
        return self in (RequestKind.QUERY, RequestKind.LOOKUP)


def event_data(request: str, number: int) -> bytes:
    """Returns the data of an event, which is the same at every target."""
    return f"{request}.{number}.".encode() + b"x" * (_hash(request) % 300)


def event_count(request: str) -> int:
    """Returns the number of events in the complete response."""
    return 1 + _hash(request) % MAX_EVENTS


def event_bytes(
    request: str, number: int, version: str = FIRST_VERSION
) -> bytes:
    """Returns an event as sent, with the blank line that ends it.

    Args:
        request: The request that began the stream.
        number: Id of the event.
        version: Software version of the target that generates it.
    """
    data = event_data(request, number)
    if version != FIRST_VERSION:
        data += b"@" + version.encode()
    return b"id: %d\ndata: %s\n\n" % (number, data)


def event_version(event: bytes) -> str:
    """Returns the software version that generated an event."""
    data, _, version = event.rpartition(b"@")
    return version.decode(errors="replace") if data else FIRST_VERSION


def stream_bytes(request: str, first: int = 1) -> bytes:
    """Returns the events of a stream from the given one to the last."""
    last = event_count(request)
    return b"".join(
        event_bytes(request, number) for number in range(first, last + 1)
    )


def history_bytes(request: str, body: bytes) -> bytes:
    """Returns what a retained turn adds to the prompt of later turns."""
    numbers = range(1, event_count(request) + 1)
    return body + b"".join(event_data(request, n) + b"\n" for n in numbers)


def plain_body(request: str, stamp: str) -> bytes:
    """Returns the body of a response that is not a stream."""
    return f"{request}/{stamp}/".encode() + b"y" * (_hash(request) % 9000)


def configuration() -> dict[str, Any]:
    """Returns the first configuration, in the format that operators write."""
    found = entry_fleet.configuration()
    for route in found["Routes"]:
        route["RetentionS"] = RETENTION_S
        route["TimeoutMs"] = ROUTE_TIMEOUT_MS
    found["Services"].append(
        {"Name": SPARE_DESK, "HealthPath": "/h", "MaxConns": 99}
    )
    found["Tenants"].append(
        {
            "Name": LIMITED_ORGANISATION,
            "ApiKeys": [LIMITED_KEY],
            "RatePerS": RATE_PER_S,
            "Burst": BURST,
        }
    )
    return found


def _hash(request: str) -> int:
    return zlib.crc32(request.encode())
