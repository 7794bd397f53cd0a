"""Token budgets of programs over all hosts and restarts.

Load pattern: programs whose turns run at several hosts at once, and
programs that loop without end. The home of a program takes allowances out
of its budget and reserves each turn's most from them; the recorded
allowances of all hosts, those of crashed ones included, never exceed the
budget.

Load pattern: programs that begin while the log is away. Their home lends
each of them the most of one turn without a record, and records that when the
log is back; a home that dies before has cost the budget one turn.
"""

from __future__ import annotations

import dataclasses
import math
from typing import NewType

ProgramKey = NewType("ProgramKey", str)

# A home takes one of so many parts of what is left of a budget, if turns are
# small beside it: programs go on on that while the log is away, but it is lost
# if the home dies.
HOME_GRANT_DIVISOR = 4
# A host that stands in for the home takes no more than it needs.
EXACT_GRANT_DIVISOR = 10**9
LEDGER_RETENTION_MS = 300_000.0
BALANCE_RETENTION_MS = 120_000.0
# Tokens are returned if they were free for so many periods; pauses between
# turns are shorter.
RETURN_AFTER_PERIODS = 3
# While the log is away a turn begins on so much of its most: turns rarely
# spend more than half.
MIN_RESERVED_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Grant:
    """Tokens that one host may spend for a program.

    Attributes:
        program: The program.
        tokens: How many; below 0 if they are returned.
    """

    program: ProgramKey
    tokens: int


@dataclasses.dataclass(frozen=True)
class _Account:
    """Grants of one program.

    Attributes:
        tokens: What all hosts have taken and not returned.
        changed_ms: When the last record was seen.
        others_ms: When the last grant of another host was seen.
    """

    tokens: int = 0
    changed_ms: float = -math.inf
    others_ms: float = -math.inf


_NO_ACCOUNT = _Account()


class GrantLedger:
    """Grants of the programs of one partition, as its records tell."""

    def __init__(self) -> None:
        """Makes a ledger that has read nothing."""
        self._accounts: dict[ProgramKey, _Account] = {}

    def add(self, grant: Grant, now_ms: float, is_own: bool) -> None:
        """Counts a grant that was recorded.

        Args:
            grant: The grant.
            now_ms: Now.
            is_own: Whether this host has recorded it.
        """
        before = self._accounts.pop(grant.program, _NO_ACCOUNT)
        is_taken = grant.tokens > 0 and not is_own
        self._accounts[grant.program] = _Account(
            before.tokens + grant.tokens,
            now_ms,
            now_ms if is_taken else before.others_ms,
        )

    def granted(self, program: ProgramKey) -> int:
        """Returns the tokens that all hosts have taken for a program."""
        return self._accounts.get(program, _NO_ACCOUNT).tokens

    def has_record(self, program: ProgramKey) -> bool:
        """Returns whether there is a record of a program."""
        return program in self._accounts

    def last_other_grant_ms(self, program: ProgramKey) -> float:
        """Returns when the last grant of another host was seen."""
        return self._accounts.get(program, _NO_ACCOUNT).others_ms

    def prune(self, now_ms: float) -> None:
        """Forgets programs without a grant for a long time."""
        while self._accounts:
            program, account = next(iter(self._accounts.items()))
            if now_ms - account.changed_ms < LEDGER_RETENTION_MS:
                return
            del self._accounts[program]


def next_grant(
    granted: int, budget: int, needed: int, most: int, parts: int
) -> int:
    """Returns how many tokens to take out of a budget.

    Args:
        granted: Tokens that hosts have taken already.
        budget: The program's budget.
        needed: Tokens that the turn lacks.
        most: The most that the turn can spend.
        parts: One of so many parts of what is left is taken.

    Returns:
        At least `needed`, or 0 if the budget does not hold the turn. A
        budget below the most of one turn is lent nothing, and may be
        exceeded by its last turn instead.
    """
    left = budget - granted
    if left < needed and (granted > 0 or budget >= most):
        return 0
    return max(needed, math.ceil(left / parts))


def min_free_tokens(budget: int, parts: int) -> int:
    """Returns how many tokens a host keeps ahead for an active program."""
    return budget // parts


class TokenBalance:
    """Tokens of one program that this host may spend.

    Attributes:
        used_ms: When a turn last asked for tokens.
        kept: Free tokens that stay here while the program is active.
    """

    def __init__(self) -> None:
        """Makes an empty purse."""
        self._held = 0
        self._reserved = 0
        self._least_free = 0
        self.last_used_ms = 0.0
        self.min_free_tokens = 0
        self._period_least: list[int] = []
        self._quiet_periods = 0
        self._was_used = False

    @property
    def free(self) -> int:
        """Tokens that no turn has reserved."""
        return self._held - self._reserved

    @property
    def is_idle(self) -> bool:
        """Whether no turn is under way."""
        return self._reserved == 0

    @property
    def is_empty(self) -> bool:
        """Whether it holds nothing and no turn is under way."""
        return not self._held and not self._reserved

    def add(self, tokens: int) -> None:
        """Adds a grant."""
        self._held += tokens

    def reserve(self, tokens: int, now_ms: float) -> bool:
        """Sets aside the most that a turn can spend, if it is there."""
        self._note_use(now_ms)
        if self.free < tokens:
            return False
        self._reserved += tokens
        self._note_free()
        return True

    def reserve_part(self, tokens: int, now_ms: float) -> int:
        """Sets aside what there is of a turn's most, if it is enough.

        Returns:
            How much was set aside, or 0.
        """
        self._note_use(now_ms)
        part = min(tokens, self.free)
        if part < MIN_RESERVED_FRACTION * tokens:
            return 0
        self._reserved += part
        self._note_free()
        return part

    def withdraw(self, tokens: int) -> int:
        """Gives tokens away; returns how many there were."""
        taken = max(0, min(tokens, self.free))
        self._held -= taken
        self._note_free()
        return taken

    def withdraw_unused(self) -> int:
        """Ends a period, and gives away tokens that were free in the last ones.

        An active program keeps what it may need while the log is away.

        Returns:
            How many tokens there were.
        """
        is_active = self._was_used or not self.is_idle
        self._quiet_periods = 0 if is_active else self._quiet_periods + 1
        self._was_used = False
        least = [*self._period_least, self._least_free][-RETURN_AFTER_PERIODS:]
        kept = (
            self.min_free_tokens
            if self._quiet_periods < RETURN_AFTER_PERIODS
            else 0
        )
        taken = max(0, min(least) - kept)
        if len(least) < RETURN_AFTER_PERIODS:
            taken = 0
        self._held -= taken
        self._period_least = [each - taken for each in least]
        self._least_free = self.free
        return taken

    def settle(self, reserved: int, spent: int) -> None:
        """Ends a turn.

        Args:
            reserved: What was set aside for it.
            spent: What it has spent.
        """
        self._reserved -= reserved
        self._held -= spent
        self._note_free()

    def _note_use(self, now_ms: float) -> None:
        self.last_used_ms = now_ms
        self._was_used = True

    def _note_free(self) -> None:
        self._least_free = min(self._least_free, self.free)
