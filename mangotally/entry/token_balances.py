"""Program tokens that this host holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mangotally.policy import spending

if TYPE_CHECKING:
    from mangotally.util import clock as clock_lib

MAX_BALANCES = 20_000


class TokenBalances:
    """Balances of the tokens that this host holds, by program."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._balances: dict[spending.ProgramKey, spending.TokenBalance] = {}
        self._in_use: set[spending.ProgramKey] = set()

    def get_or_create(
        self, program: spending.ProgramKey
    ) -> spending.TokenBalance:
        """Returns the balance of a program, which is created if missing."""
        self._in_use.add(program)
        found = self._balances.get(program)
        if found is None:
            found = self._balances[program] = spending.TokenBalance()
            found.last_used_ms = self._clock.now_ms()
            self._evict()
        return found

    def non_empty(
        self,
    ) -> list[tuple[spending.ProgramKey, spending.TokenBalance]]:
        """Returns the balances that are not empty."""
        self._in_use = {
            program
            for program in self._in_use
            if program in self._balances
            and not self._balances[program].is_empty
        }
        return [(program, self._balances[program]) for program in self._in_use]

    def _evict(self) -> None:
        now_ms = self._clock.now_ms()
        if len(self._balances) < MAX_BALANCES:
            return
        self._balances = {
            program: balance
            for program, balance in self._balances.items()
            if not balance.is_idle
            or now_ms - balance.last_used_ms < spending.BALANCE_RETENTION_MS
        }
