"""A caller's request, read once."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import multidict

from mangotally.entry import model

if TYPE_CHECKING:
    from mangotally.entry import headers as headers_lib

DEFAULT_MAX_TOKENS = 512
# Larger counts are cut to this, which fits the messages between hosts.
MAX_TOKENS = 2**53


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """What a request says, beside its body.

    Attributes:
        id: Its id, empty if there is none.
        method: HTTP method.
        host: Value of the Host header.
        path: Path and query, as received.
        headers: All headers.
        arrived_ms: When its headers had been read.
        time_left_ms: How long its caller waits.
        key: Key of an organisation, or None.
        program: Id of its program, or None.
        session: Id of its line of turns, or empty.
        program_left_ms: Time until its program should be done, or None.
        token_budget: Tokens that its program may generate, or None.
        max_tokens: The most tokens that this turn generates.
        parent_turn: The turn that it continues from, or None.
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
    parent_turn: model.TurnId | None

    @property
    def path_only(self) -> str:
        """The path without its query."""
        return self.path.partition("?")[0]

    @property
    def is_turn(self) -> bool:
        """Whether it generates tokens that a budget counts."""
        return self.program is not None and self.token_budget is not None


def read(
    method: str,
    path: str,
    headers: multidict.CIMultiDictProxy[str],
    names: headers_lib.HeaderNames,
    arrived_ms: float,
) -> CallerRequest:
    """Returns a request's fields; a bad number counts as absent."""
    parent = headers.get(names.parent_turn)
    return CallerRequest(
        id=model.RequestId(headers.get(names.request_id, "")),
        method=method,
        host=headers.get("Host", ""),
        path=path,
        headers=headers,
        arrived_ms=arrived_ms,
        time_left_ms=_number(headers.get(names.time_left)) or math.inf,
        key=_key(headers.get("Authorization")),
        program=headers.get(names.program),
        session=headers.get(names.session, ""),
        program_left_ms=_number(headers.get(names.program_time_left)),
        token_budget=_whole(headers.get(names.token_budget)),
        max_tokens=_max_tokens(headers.get(names.token_usage)),
        parent_turn=model.TurnId(parent) if parent else None,
    )


def _key(authorization: str | None) -> str | None:
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _number(text: str | None) -> float | None:
    try:
        found = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return found if math.isfinite(found) else None


def _whole(text: str | None) -> int | None:
    found = _number(text)
    if found is None:
        return None
    return int(min(max(found, 0.0), MAX_TOKENS))


def _max_tokens(usage: str | None) -> int:
    """Returns the second number of the prompt's and answer's sizes.

    A turn that claims to generate nothing is not believed.
    """
    _, _, text = (usage or "").partition(",")
    return _whole(text) or DEFAULT_MAX_TOKENS
