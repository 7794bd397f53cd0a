"""Retry policy: retry budget, backoff and the decision to retry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from mangotally.policy import faults

if TYPE_CHECKING:
    from mangotally import ids

MAX_ATTEMPTS = 4
BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 2000.0
# Retries that a service can accumulate.
MAX_SAVED_RETRIES = 10.0
_NOT_RETRIED = frozenset(
    {
        faults.FaultKind.REJECTED,
        faults.FaultKind.CANCELLED,
        faults.FaultKind.DEADLINE,
    }
)


class RetryBudget:
    """Limits retries to a fraction of the requests, plus a reserve."""

    def __init__(
        self, share: float, reserve: float = MAX_SAVED_RETRIES
    ) -> None:
        """Starts with the full reserve.

        Args:
            share: Retries added by each request.
            reserve: Largest number of retries that can accumulate.
        """
        self._share = share
        self._reserve = reserve
        self._available = reserve

    def earn(self) -> None:
        """Records a first attempt."""
        self._available = min(self._reserve, self._available + self._share)

    def spend(self) -> bool:
        """Takes one retry if available; returns whether it was."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


class RetryBudgets:
    """Retry budget of each service."""

    def __init__(self, share: float) -> None:
        """Starts without budgets; each is created full on its first use.

        Args:
            share: Retries added by each request.
        """
        self._share = share
        self._budgets: dict[ids.ServiceId, RetryBudget] = {}

    def of(self, service: ids.ServiceId) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._share)
            self._budgets[service] = budget
        return budget


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A failed attempt.

    Attributes:
        number: Number of the attempt, from 1.
        is_repeatable: Whether the request may safely run more than once.
        remaining_ms: Time left until the deadline of the request.
    """

    number: int
    is_repeatable: bool
    remaining_ms: float


@dataclasses.dataclass(frozen=True)
class Retry:
    """Retry the request at another target.

    Attributes:
        delay_ms: Delay before the retry.
    """

    delay_ms: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Do not retry; report the fault to the caller."""


def decide(
    fault: faults.Fault,
    attempt: Attempt,
    budget: RetryBudget,
    random: float,
) -> Retry | GiveUp:
    """Decides whether to retry a request.

    Args:
        fault: Fault of the attempt.
        attempt: The failed attempt.
        budget: Retry budget of the service; one retry is taken from it if
            the request is retried.
        random: Number from 0 to 1 for the jitter.
    """
    if fault.kind in _NOT_RETRIED or attempt.number >= MAX_ATTEMPTS:
        return GiveUp()
    if not attempt.is_repeatable:
        return GiveUp()
    delay_ms = backoff_ms(attempt.number, random)
    if delay_ms >= attempt.remaining_ms or not budget.spend():
        return GiveUp()
    return Retry(delay_ms)


def backoff_ms(number: int, random: float) -> float:
    """Returns the backoff after a failed attempt: exponential, full jitter.

    Args:
        number: Number of the attempt, from 1.
        random: Number from 0 to 1 for the jitter.
    """
    doublings = min(number - 1, 16)
    return random * min(MAX_BACKOFF_MS, BACKOFF_MS * 2**doublings)
