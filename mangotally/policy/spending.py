"""Token budgets of programs, enforced over all hosts and restarts.

The turns of a program may run at several hosts at once, and a program may
loop without end. The home of a program (the host that owns its key) therefore
takes grants of tokens out of the program's budget and reserves the maximum
tokens of each turn from them. The recorded grants of all hosts, including
crashed ones, never exceed the budget.

If a program starts while the log is unavailable, its home issues a
provisional grant for the maximum tokens of one turn without a record, and
records it when the log is available again. If the home crashes before that,
the budget may be exceeded by that one turn.
"""

from __future__ import annotations

import dataclasses
import math
from typing import NewType

ProgramKey = NewType("ProgramKey", str)

# A home takes a grant of the remaining budget divided by this number if the
# turns are small in comparison. Programs can use it while the log is
# unavailable, but it is lost if the home crashes.
HOME_GRANT_DIVISOR = 4
# A host that acts in place of the home takes no more than it needs: with this
# divisor the quotient is negligible.
EXACT_GRANT_DIVISOR = 10**9
LEDGER_RETENTION_MS = 300_000.0
BALANCE_RETENTION_MS = 120_000.0
# Tokens are returned after they were free for this number of periods, which is
# longer than the pauses between the turns of a program.
RETURN_AFTER_PERIODS = 3
# While the log is unavailable, a turn starts if at least this fraction of its
# maximum tokens can be reserved: turns rarely spend more than half of it.
MIN_RESERVED_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Grant:
    """Tokens that one host may spend for a program.

    Attributes:
        program: The program.
        tokens: Number of tokens; below 0 if they are returned.
    """

    program: ProgramKey
    tokens: int


@dataclasses.dataclass(frozen=True)
class _GrantAccount:
    """Recorded grants of one program.

    Attributes:
        tokens: Tokens that all hosts have taken and not returned.
        changed_ms: Time at which the last record was read.
        last_other_grant_ms: Time at which the last grant of another host was
            read.
    """

    tokens: int = 0
    changed_ms: float = -math.inf
    last_other_grant_ms: float = -math.inf


_NO_ACCOUNT = _GrantAccount()


class GrantLedger:
    """Grants of the programs of one partition, according to its records."""

    def __init__(self) -> None:
        self._accounts: dict[ProgramKey, _GrantAccount] = {}

    def add(self, grant: Grant, now_ms: float, is_own: bool) -> None:
        """Adds a recorded grant.

        Args:
            grant: The grant.
            now_ms: Current time.
            is_own: Whether this host has written the record.
        """
        before = self._accounts.pop(grant.program, _NO_ACCOUNT)
        is_taken = grant.tokens > 0 and not is_own
        self._accounts[grant.program] = _GrantAccount(
            before.tokens + grant.tokens,
            now_ms,
            now_ms if is_taken else before.last_other_grant_ms,
        )

    def granted(self, program: ProgramKey) -> int:
        """Returns the tokens granted to all hosts and not returned."""
        return self._accounts.get(program, _NO_ACCOUNT).tokens

    def has_record(self, program: ProgramKey) -> bool:
        """Returns whether there is a record for a program."""
        return program in self._accounts

    def last_other_grant_ms(self, program: ProgramKey) -> float:
        """Returns the time at which the last grant of another host was read."""
        return self._accounts.get(program, _NO_ACCOUNT).last_other_grant_ms

    def prune(self, now_ms: float) -> None:
        """Drops programs without a record for `LEDGER_RETENTION_MS`."""
        while self._accounts:
            program, account = next(iter(self._accounts.items()))
            if now_ms - account.changed_ms < LEDGER_RETENTION_MS:
                return
            del self._accounts[program]


def next_grant(
    granted: int, budget: int, needed: int, max_turn_tokens: int, divisor: int
) -> int:
    """Returns how many tokens to take out of a budget.

    Args:
        granted: Tokens already granted to hosts.
        budget: Budget of the program.
        needed: Tokens that are missing for the turn.
        max_turn_tokens: Maximum tokens of the turn.
        divisor: The grant is the remaining budget divided by this number.

    Returns:
        At least `needed`, or 0 if the remaining budget does not cover the
        turn. A budget below the maximum of one turn gets no provisional
        grant; its last turn may exceed it instead.
    """
    remaining = budget - granted
    if remaining < needed and (granted > 0 or budget >= max_turn_tokens):
        return 0
    return max(needed, math.ceil(remaining / divisor))


def min_free_tokens(budget: int, divisor: int) -> int:
    """Returns the free tokens that a host keeps for an active program."""
    return budget // divisor


class TokenBalance:
    """Tokens of one program that this host may spend.

    Attributes:
        last_used_ms: Time at which a turn last requested tokens.
        min_free_tokens: Free tokens that are not returned while the program
            is active.
    """

    def __init__(self) -> None:
        self._balance = 0
        self._reserved = 0
        self._min_free = 0
        self.last_used_ms = 0.0
        self.min_free_tokens = 0
        self._min_free_by_period: list[int] = []
        self._inactive_periods = 0
        self._was_used = False

    @property
    def free(self) -> int:
        """Tokens that are not reserved by a turn."""
        return self._balance - self._reserved

    @property
    def is_idle(self) -> bool:
        """Whether no turn is running."""
        return self._reserved == 0

    @property
    def is_empty(self) -> bool:
        """Whether there are no tokens and no turn is running."""
        return not self._balance and not self._reserved

    def add(self, tokens: int) -> None:
        """Adds a grant."""
        self._balance += tokens

    def reserve(self, tokens: int, now_ms: float) -> bool:
        """Reserves the maximum tokens of a turn, if available."""
        self._record_use(now_ms)
        if self.free < tokens:
            return False
        self._reserved += tokens
        self._update_min_free()
        return True

    def reserve_partial(self, tokens: int, now_ms: float) -> int:
        """Reserves as much as possible of the maximum tokens of a turn.

        Returns:
            Number of reserved tokens, or 0 if less than
            `MIN_RESERVED_FRACTION` of the maximum is available.
        """
        self._record_use(now_ms)
        reserved = min(tokens, self.free)
        if reserved < MIN_RESERVED_FRACTION * tokens:
            return 0
        self._reserved += reserved
        self._update_min_free()
        return reserved

    def withdraw(self, tokens: int) -> int:
        """Removes up to `tokens` free tokens; returns how many were removed."""
        taken = max(0, min(tokens, self.free))
        self._balance -= taken
        self._update_min_free()
        return taken

    def withdraw_unused(self) -> int:
        """Ends a period; removes tokens that were free in the last periods.

        An active program keeps `min_free_tokens`, which it may need while
        the log is unavailable.

        Returns:
            Number of removed tokens.
        """
        is_active = self._was_used or not self.is_idle
        self._inactive_periods = 0 if is_active else self._inactive_periods + 1
        self._was_used = False
        min_free_by_period = [*self._min_free_by_period, self._min_free][
            -RETURN_AFTER_PERIODS:
        ]
        kept = (
            self.min_free_tokens
            if self._inactive_periods < RETURN_AFTER_PERIODS
            else 0
        )
        taken = max(0, min(min_free_by_period) - kept)
        if len(min_free_by_period) < RETURN_AFTER_PERIODS:
            taken = 0
        self._balance -= taken
        self._min_free_by_period = [
            min_free - taken for min_free in min_free_by_period
        ]
        self._min_free = self.free
        return taken

    def settle(self, reserved: int, spent: int) -> None:
        """Ends a turn.

        Args:
            reserved: Tokens that were reserved for it.
            spent: Tokens that it has used.
        """
        self._reserved -= reserved
        self._balance -= spent
        self._update_min_free()

    def _record_use(self, now_ms: float) -> None:
        self.last_used_ms = now_ms
        self._was_used = True

    def _update_min_free(self) -> None:
        self._min_free = min(self._min_free, self.free)
