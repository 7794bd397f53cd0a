"""Names of HTTP headers, and rules for which headers are forwarded."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import multidict

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers exchanged with callers and targets.

    Attributes:
        request_id: Id of a request; a target repeats it in its answer.
        time_left: Milliseconds that the sender waits for the answer.
        program: Id of a program.
        session: Id of a session, a sequence of turns.
        program_time_left: Milliseconds until the program should be finished.
        token_budget: Tokens that all turns of a program may generate.
        token_usage: Tokens of the prompt, and the maximum to generate.
        length_hint: The caller's estimate of the tokens to generate.
        parent_turn: Id of the turn that this one continues.
        last_event: Id of the last event that the sender has received.
        resumes: Id of the request whose answer brought the first event of the
            stream that this request continues.
        expected_target: The only target that may run the request.
        organisation: The organisation whose key the request carries.
        target: The target that sent the answer.
        load: Running and queued requests of a target, and its slots.
        limit: Requests per second that an overloaded target accepts from all
            hosts together.
        leaving: "1" if the target is about to stop and takes no requests.
        not_run: Present if the target has not run the request.
        stamp: The target's signature of its answer.
        internal: Headers that callers must not set.
    """

    request_id: str
    time_left: str
    program: str
    session: str
    program_time_left: str
    token_budget: str
    token_usage: str
    length_hint: str
    parent_turn: str
    last_event: str
    resumes: str
    expected_target: str
    organisation: str
    target: str
    load: str
    limit: str
    leaving: str
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
    """Returns the headers of a request to send to its target.

    Args:
        received: Headers from the caller.
        names: Names of the headers.
        own: Headers to set or replace.
    """
    dropped = HOP_BY_HOP | names.internal | _named_by_connection(received)
    dropped |= {_LENGTH, _AUTHORIZATION}
    forwarded = _without(received, dropped | {name.lower() for name in own})
    forwarded.update(own)
    return forwarded


def response_headers(
    received: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Returns the headers of an answer to send to its caller."""
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
