"""Budgets of program trees: reserved before a call, settled after it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mangotally.policy import records

# Assumed upper bound on the tokens that a model's chat template adds to a
# message.
TEMPLATE_TOKENS_PER_MESSAGE = 8


@dataclasses.dataclass
class BudgetAccount:
    """Budget of one program and its use, sub-agents included.

    Attributes:
        limit_tokens: Token budget.
        limit_calls: Call budget.
        tokens: Tokens charged and reserved, sub-agents included.
        calls: Calls charged and reserved, sub-agents included.
        reserved_tokens: Tokens reserved for calls that have not ended.
        reserved_calls: Calls reserved that have not ended.
    """

    limit_tokens: int
    limit_calls: int
    tokens: int = 0
    calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether the charges alone, without reservations, reach a limit.

        Settling reservations cannot free any budget then.
        """
        tokens = self.tokens - self.reserved_tokens
        calls = self.calls - self.reserved_calls
        return tokens >= self.limit_tokens or calls >= self.limit_calls


def check(chain: Iterable[BudgetAccount], tokens: int) -> errors.Outcome[int]:
    """Returns how many tokens one more call may use.

    Args:
        chain: Accounts of the program and of all its ancestors.
        tokens: Minimum number of tokens that the call needs.

    Returns:
        The remaining tokens of the account that has the fewest, or a refusal.
    """
    min_remaining_tokens = None
    for account in chain:
        if account.calls >= account.limit_calls:
            return errors.failed(
                errors.Reason.OVER_BUDGET,
                f"The budget of {account.limit_calls} calls is used up.",
            )
        remaining = account.limit_tokens - account.tokens
        if tokens > remaining:
            return errors.failed(
                errors.Reason.OVER_BUDGET,
                f"The call may need {tokens} tokens; {remaining} are left of"
                f" the budget of {account.limit_tokens}.",
            )
        min_remaining_tokens = (
            remaining
            if min_remaining_tokens is None
            else min(remaining, min_remaining_tokens)
        )
    return result.Success(min_remaining_tokens or 0)


def reserve(chain: Iterable[BudgetAccount], tokens: int) -> None:
    """Reserves one call and `tokens` tokens on every account."""
    for account in chain:
        account.calls += 1
        account.tokens += tokens
        account.reserved_calls += 1
        account.reserved_tokens += tokens


def settle(
    chain: Iterable[BudgetAccount], reserved: int, used: int | None
) -> None:
    """Replaces a reservation by the actual charge.

    Args:
        chain: Accounts that hold the reservation.
        reserved: Tokens that were reserved.
        used: Tokens used, or None if the call did not run.
    """
    for account in chain:
        account.reserved_calls -= 1
        account.reserved_tokens -= reserved
        account.tokens += (used or 0) - reserved
        if used is None:
            account.calls -= 1


def charge_call(chain: Iterable[BudgetAccount]) -> None:
    """Charges one service call to every account."""
    for account in chain:
        account.calls += 1


def prompt_bound_tokens(
    history_tokens: int, messages: Sequence[records.ChatMessage]
) -> int:
    """Returns an upper bound on the length of a prompt in tokens.

    A token covers at least one byte, so the number of bytes of the new
    messages bounds their tokens. The length of the conversation before them
    is known from the targets.

    Args:
        history_tokens: Length of the conversation as counted by targets.
        messages: Messages that no target has counted yet.
    """
    return history_tokens + sum(
        TEMPLATE_TOKENS_PER_MESSAGE
        + len(item.role.encode())
        + len(item.content.encode())
        + len(item.extra.encode())
        for item in messages
    )
