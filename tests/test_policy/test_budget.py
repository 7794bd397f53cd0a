"""Tests of budgets of program trees."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st

from mangotally import ids
from mangotally.policy import budget, ledger, programs, records
from tests import stateful

ORGANISATION = ids.OrganisationId("o")
PROGRAM = ids.ProgramId("p")
TEXT = st.text(max_size=40)


def make_turn(
    messages: tuple[records.ChatMessage, ...], options: str
) -> programs.TurnRequest:
    """Returns the first turn of the program."""
    return programs.TurnRequest(
        ORGANISATION, PROGRAM, 1, messages, 100, "digest", options
    )


class BudgetTest(unittest.TestCase):
    """Size of a turn's reservation, and the accounts it is taken from."""

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(TEXT, TEXT, TEXT, st.integers(1, 400))
    def test_reservation_covers_every_byte_sent(
        self, content: str, extra: str, options: str, tokens: int
    ) -> None:
        """Content, other fields and options count towards the prompt bound.

        The answer may use no more than the rest of the budget.
        """
        state = ledger.Ledger()
        state.apply(
            records.ProgramOpened(
                ORGANISATION,
                PROGRAM,
                None,
                ids.ServiceId("s"),
                records.Budget(tokens, 5, 1000),
                1000,
            ),
            ids.Offset(0),
        )
        message = records.ChatMessage("user", content, extra)
        sent = len((content + extra + options).encode())
        decision = state.check_turn(make_turn((message,), options), 0)
        accepted = decision.value_or(None)
        if accepted is None:
            self.assertEqual(decision.failure().status, 402)
            self.assertGreater(sent + 12 + 1, tokens)
            return
        assert isinstance(accepted, programs.StartTurn)
        self.assertGreaterEqual(accepted.prompt_tokens, sent)
        self.assertLessEqual(
            accepted.prompt_tokens + accepted.max_tokens, tokens
        )
        self.assertGreaterEqual(accepted.max_tokens, 1)

    def test_smallest_account_of_the_chain_decides(self) -> None:
        """Reserving and settling change every account of the chain."""
        root, child = budget.BudgetAccount(100, 3), budget.BudgetAccount(500, 9)
        chain = [child, root]
        self.assertEqual(budget.check(chain, 10).unwrap(), 100)
        budget.reserve(chain, 90)
        self.assertEqual(budget.check(chain, 11).failure().status, 402)
        self.assertFalse(root.exhausted)
        budget.settle(chain, 90, 100)
        self.assertTrue(root.exhausted)
        self.assertFalse(child.exhausted)
        budget.reserve(chain, 0)
        budget.settle(chain, 0, None)
        self.assertEqual((root.calls, child.calls), (1, 1))
