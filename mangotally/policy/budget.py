"""Budgets of trees of programs: reserved before a call, settled after."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from mangotally.policy import records

TEMPLATE_TOKENS_PER_MESSAGE = 8


@dataclasses.dataclass
class BudgetAccount:
    """What one program may use, and what it and its sub-agents have used.

    Attributes:
        limit_tokens: Tokens of its budget.
        limit_calls: Calls of its budget.
        tokens: Tokens charged and reserved, sub-agents included.
        calls: Calls charged and reserved, sub-agents included.
        reserved_tokens: The reserved part of the tokens.
        reserved_calls: The reserved part of the calls.
    """

    limit_tokens: int
    limit_calls: int
    tokens: int = 0
    calls: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether nothing that is settled later can make room again."""
        tokens = self.tokens - self.reserved_tokens
        calls = self.calls - self.reserved_calls
        return tokens >= self.limit_tokens or calls >= self.limit_calls


def check(chain: Iterable[BudgetAccount], tokens: int) -> errors.Outcome[int]:
    """Returns how many tokens one more call may use.

    Args:
        chain: The program's account and those of all its ancestors.
        tokens: Fewest tokens that the call needs.

    Returns:
        The tokens left on the smallest account, or a refusal.
    """
    left_tokens = None
    for account in chain:
        if account.calls >= account.limit_calls:
            return errors.failed(
                errors.Reason.OVER_BUDGET,
                f"The budget of {account.limit_calls} calls is used up.",
            )
        left = account.limit_tokens - account.tokens
        if tokens > left:
            return errors.failed(
                errors.Reason.OVER_BUDGET,
                f"The call may need {tokens} tokens; {left} are left of the"
                f" budget of {account.limit_tokens}.",
            )
        left_tokens = left if left_tokens is None else min(left, left_tokens)
    return result.Success(left_tokens or 0)


def reserve(chain: Iterable[BudgetAccount], tokens: int) -> None:
    """Reserves one call and some tokens on every account."""
    for account in chain:
        account.calls += 1
        account.tokens += tokens
        account.reserved_calls += 1
        account.reserved_tokens += tokens


def settle(
    chain: Iterable[BudgetAccount], reserved: int, used: int | None
) -> None:
    """Turns a reservation into a charge.

    Args:
        chain: The accounts that it was reserved on.
        reserved: Tokens that were reserved.
        used: Tokens used, or None if the call has not run.
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
    """Returns a bound on the length of a prompt.

    A token stands for at least one byte, so new messages are counted in
    bytes; the part before them has been counted by a target.

    Args:
        history_tokens: Length of the conversation that targets have counted.
        messages: Messages that no target has counted yet.
    """
    return history_tokens + sum(
        TEMPLATE_TOKENS_PER_MESSAGE
        + len(item.role.encode())
        + len(item.content.encode())
        + len(item.extra.encode())
        for item in messages
    )
