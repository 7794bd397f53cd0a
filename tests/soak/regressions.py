"""Seeds that have failed, each with its cause."""

from __future__ import annotations

import dataclasses

from tests.soak import soak


@dataclasses.dataclass(frozen=True)
class Regression:
    """A run that found a broken promise.

    Attributes:
        seed: Its seed.
        options: Its size.
        cause: What was broken, and why.
    """

    seed: int
    options: soak.Options
    cause: str


REGRESSIONS = (
    Regression(
        2,
        soak.Options(seconds=8, hosts=4),
        "LOST-402: a home that loses a program's partition while it lives "
        "keeps the tokens it has not spent, and the next one refuses",
    ),
)
