"""Names of headers, and which are passed on."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import multidict

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """What callers and targets call the headers that are used here.

    Attributes:
        request_id: Id of a request; a target repeats it in its answer.
        time_left: Milliseconds for which the sender waits.
        program: Id of a program.
        session: Id of a line of turns.
        program_time_left: Milliseconds until the program should be done.
        token_budget: Tokens that all turns of a program may generate.
        token_usage: Tokens of the prompt and most tokens generated.
        parent_turn: Id of the turn that this one continues from.
        last_event: Id of the last event that the sender has.
        expected_target: The target that may run the request.
        organisation: Whose key the request came with.
        target: The target that answers.
        load: Requests that a target runs and keeps waiting, and its slots.
        not_run: The target has not run the request.
        stamp: The target's signature of its answer.
        internal: Headers that only this system may set.
    """

    request_id: str
    time_left: str
    program: str
    session: str
    program_time_left: str
    token_budget: str
    token_usage: str
    parent_turn: str
    last_event: str
    expected_target: str
    organisation: str
    target: str
    load: str
    not_run: str
    stamp: str
    internal: frozenset[str]


HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_LENGTH = "content-length"
_AUTHORIZATION = "authorization"


def request_headers(
    received: multidict.CIMultiDictProxy[str],
    names: HeaderNames,
    own: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    """Returns the headers of a request as its target gets them.

    Args:
        received: As the caller sent them.
        names: Names of the headers.
        own: Headers that this system sets.
    """
    dropped = HOP_BY_HOP | names.internal | _named_by_connection(received)
    dropped |= {_LENGTH, _AUTHORIZATION}
    found = _without(received, dropped | {name.lower() for name in own})
    found.update(own)
    return found


def response_headers(
    received: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Returns the headers of an answer as its caller gets them."""
    dropped = HOP_BY_HOP | _named_by_connection(received) | {_LENGTH}
    return _without(received, dropped)


def _without(
    received: multidict.CIMultiDictProxy[str], dropped: frozenset[str]
) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name, value)
        for name, value in received.items()
        if name.lower() not in dropped
    )


def _named_by_connection(
    received: multidict.CIMultiDictProxy[str],
) -> frozenset[str]:
    listed = ",".join(received.getall("Connection", ()))
    return frozenset(
        name.strip().lower() for name in listed.split(",") if name.strip()
    )
