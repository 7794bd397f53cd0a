"""Retries: where, when and how many."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from mangotally.policy import faults

if TYPE_CHECKING:
    from mangotally import ids

MAX_ATTEMPTS = 4
BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 2000.0
MAX_SAVED_RETRIES = 10.0
_NEVER_AGAIN = frozenset(
    {
        faults.FaultKind.REJECTED,
        faults.FaultKind.CANCELLED,
        faults.FaultKind.DEADLINE,
    }
)


class RetryBudget:
    """Allows retries up to a share of the requests, plus a reserve."""

    def __init__(
        self, share: float, reserve: float = MAX_SAVED_RETRIES
    ) -> None:
        """Makes a full budget.

        Args:
            share: Retries earned by each request.
            reserve: Most retries that can be saved up.
        """
        self._share = share
        self._reserve = reserve
        self._level = reserve

    def earn(self) -> None:
        """Counts a first attempt."""
        self._level = min(self._reserve, self._level + self._share)

    def spend(self) -> bool:
        """Takes one retry; returns whether there was one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


class RetryBudgets:
    """A retry budget for each service."""

    def __init__(self, share: float) -> None:
        """Makes no budgets yet; each is full on its first use.

        Args:
            share: Retries earned by each request.
        """
        self._share = share
        self._budgets: dict[ids.ServiceId, RetryBudget] = {}

    def of(self, service: ids.ServiceId) -> RetryBudget:
        """Returns the budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self._share)
            self._budgets[service] = found
        return found


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt that failed.

    Attributes:
        number: Number of the attempt, from 1.
        is_repeatable: Whether running the request again does no harm.
        left_ms: Time left to the request's deadline.
    """

    number: int
    is_repeatable: bool
    left_ms: float


@dataclasses.dataclass(frozen=True)
class Retry:
    """Try again elsewhere.

    Attributes:
        delay_ms: When.
    """

    delay_ms: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Report the fault to the caller."""


def decide(
    fault: faults.Fault,
    attempt: Attempt,
    budget: RetryBudget,
    random: float,
) -> Retry | GiveUp:
    """Decides whether a request is tried again.

    Args:
        fault: Why the attempt failed.
        attempt: The attempt.
        budget: The service's budget; an `Again` has spent one retry.
        random: A number from 0 to 1, for the jitter.
    """
    if fault.kind in _NEVER_AGAIN or attempt.number >= MAX_ATTEMPTS:
        return GiveUp()
    if not attempt.is_repeatable:
        return GiveUp()
    delay_ms = backoff_ms(attempt.number, random)
    if delay_ms >= attempt.left_ms or not budget.spend():
        return GiveUp()
    return Retry(delay_ms)


def backoff_ms(number: int, random: float) -> float:
    """Returns the pause after a failed attempt, with full jitter.

    Args:
        number: Number of the attempt, from 1.
        random: A number from 0 to 1.
    """
    doublings = min(number - 1, 16)
    return random * min(MAX_BACKOFF_MS, BACKOFF_MS * 2**doublings)
