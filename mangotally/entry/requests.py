"""Parses the headers of callers' requests."""

from __future__ import annotations

import dataclasses
import math
import re
from typing import TYPE_CHECKING

import multidict

from mangotally.entry import model

if TYPE_CHECKING:
    from mangotally.entry import headers as headers_lib

DEFAULT_MAX_TOKENS = 512
# Larger numbers are reduced to this, which fits the messages between hosts.
MAX_TOKENS = 2**53
_EVENT_ID = re.compile(r"\d{1,18}", re.ASCII)
_ABSOLUTE_TARGET = re.compile(r"https?://([^/?#]*)", re.ASCII | re.IGNORECASE)
_PORT = re.compile(r":\d*$", re.ASCII)
# Ids of the last event that say that there was none.
_NO_EVENTS = frozenset({"", "0"})


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A caller's request without its body.

    Attributes:
        id: Its id, empty if it has none.
        method: HTTP method.
        host: Name of the host it is for, in lower case and without a port.
        path: Path and query, as received.
        headers: All headers.
        arrived_ms: When its headers had been read.
        time_left_ms: How long its caller waits for the answer.
        key: API key of an organisation, or None.
        program: Id of its program, or None.
        session: Id of its session, a sequence of turns; may be empty.
        program_left_ms: Time until its program should be finished, or None.
        token_budget: Tokens that its program may generate, or None.
        max_tokens: Maximum number of tokens that this turn generates.
        stated_tokens: Tokens that its caller expects, or None.
        parent_turn: The turn that it continues, or None.
        continues_stream: Whether its caller has received events of the stream
            from an earlier answer.
        last_event: Id of the last of these events; 0 if there is none, None
            if it can't be read.
        resumes: The request whose answer brought the first of them; None if
            the caller does not name it.
    """

    id: model.RequestId
    method: str
    host: str
    path: str
    headers: multidict.CIMultiDictProxy[str]
    arrived_ms: float
    time_left_ms: float
    key: str | None
    program: str | None
    session: str
    program_left_ms: float | None
    token_budget: int | None
    max_tokens: int
    stated_tokens: int | None
    parent_turn: model.TurnId | None
    continues_stream: bool
    last_event: int | None
    resumes: model.RequestId | None

    @property
    def path_only(self) -> str:
        """The path without its query."""
        return self.path.partition("?")[0]

    @property
    def is_turn(self) -> bool:
        """Whether it generates tokens that count against a budget."""
        return self.program is not None and self.token_budget is not None


def read(
    method: str,
    path: str,
    headers: multidict.CIMultiDictProxy[str],
    names: headers_lib.HeaderNames,
    arrived_ms: float,
) -> CallerRequest:
    """Parses a request; malformed numbers are treated as absent."""
    authority, path = _split_target(path)
    parent = headers.get(names.parent_turn)
    resumes = headers.get(names.resumes)
    last_event = headers.get(names.last_event, "")
    has_events = last_event not in _NO_EVENTS
    return CallerRequest(
        id=model.RequestId(headers.get(names.request_id, "")),
        method=method,
        host=_host_name(authority or headers.get("Host", "")),
        path=path,
        headers=headers,
        arrived_ms=arrived_ms,
        time_left_ms=_number(headers.get(names.time_left)) or math.inf,
        key=_bearer_key(headers.get("Authorization")),
        program=headers.get(names.program),
        session=headers.get(names.session, ""),
        program_left_ms=_number(headers.get(names.program_time_left)),
        token_budget=_token_count(headers.get(names.token_budget)),
        max_tokens=_max_tokens(headers.get(names.token_usage)),
        stated_tokens=_token_count(headers.get(names.length_hint)),
        parent_turn=model.TurnId(parent) if parent else None,
        continues_stream=has_events or bool(resumes),
        last_event=_event_id(last_event) if has_events else 0,
        resumes=model.RequestId(resumes) if resumes else None,
    )


def _split_target(target: str) -> tuple[str, str]:
    """Returns the authority and the path of a request target.

    The authority is empty unless the target is absolute.
    """
    found = _ABSOLUTE_TARGET.match(target)
    if found is None:
        return "", target
    path = target[found.end() :]
    return found[1], path if path.startswith("/") else f"/{path}"


def _host_name(authority: str) -> str:
    return _PORT.sub("", authority).lower()


def _bearer_key(authorization: str | None) -> str | None:
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _event_id(text: str) -> int | None:
    return int(text) if _EVENT_ID.fullmatch(text) else None


def _number(text: str | None) -> float | None:
    try:
        number = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _token_count(text: str | None) -> int | None:
    number = _number(text)
    if number is None:
        return None
    return int(min(max(number, 0.0), MAX_TOKENS))


def _max_tokens(usage: str | None) -> int:
    """Returns the second number of "PROMPT,ANSWER", sizes in tokens.

    The default is used if the number is missing or below 1: a claim to
    generate no tokens is not trusted.
    """
    _, _, text = (usage or "").partition(",")
    return _token_count(text) or DEFAULT_MAX_TOKENS
