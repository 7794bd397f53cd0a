"""Tokens of programs that this host holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mangotally.policy import spending

if TYPE_CHECKING:
    from mangotally.util import clock as clock_lib

MAX_PURSES = 20_000


class TokenBalances:
    """Tokens that this host holds, by program."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Makes an owner of no purses."""
        self._clock = clock
        self._purses: dict[spending.ProgramKey, spending.TokenBalance] = {}
        self._in_use: set[spending.ProgramKey] = set()

    def find(self, program: spending.ProgramKey) -> spending.TokenBalance:
        """Returns the purse of a program, a new one if there is none."""
        self._in_use.add(program)
        found = self._purses.get(program)
        if found is None:
            found = self._purses[program] = spending.TokenBalance()
            found.last_used_ms = self._clock.now_ms()
            self._evict()
        return found

    def in_use(self) -> list[tuple[spending.ProgramKey, spending.TokenBalance]]:
        """Returns the purses that may hold tokens."""
        self._in_use = {
            program
            for program in self._in_use
            if program in self._purses and not self._purses[program].is_empty
        }
        return [(program, self._purses[program]) for program in self._in_use]

    def _evict(self) -> None:
        now_ms = self._clock.now_ms()
        if len(self._purses) < MAX_PURSES:
            return
        self._purses = {
            program: purse
            for program, purse in self._purses.items()
            if not purse.is_idle
            or now_ms - purse.last_used_ms < spending.BALANCE_RETENTION_MS
        }
