"""Tests of mangotally.policy.body_budget."""

from __future__ import annotations

import unittest

from mangotally.policy import body_budget

MIB = 1024 * 1024
TOTAL_BYTES = 16 * MIB
PIECE_BYTES = 64 * 1024


class BodyBudgetTest(unittest.TestCase):
    """Who gets memory, and who makes room."""

    def setUp(self) -> None:
        self.budget = body_budget.BodyBudget(TOTAL_BYTES)

    def _fill(self, now_ms: float) -> list[body_budget.Loan]:
        """Lends all that large bodies may use, to bodies of a MiB."""
        loans: list[body_budget.Loan] = []
        while True:
            loan = self.budget.open(now_ms)
            if not self.budget.extend(loan, MIB, now_ms):
                self.budget.close(loan)
                return loans
            loans.append(loan)

    def test_small_bodies_find_room_beside_any_number_of_large_ones(
        self,
    ) -> None:
        self._fill(0.0)
        for _ in range(100):
            loan = self.budget.open(0.0)
            small_bytes = body_budget.SMALL_BODY_BYTES
            self.assertTrue(self.budget.extend(loan, small_bytes, 0.0))

    def test_nothing_is_lent_beyond_the_total(self) -> None:
        loans = [self.budget.open(0.0) for _ in range(1000)]
        for loan in loans:
            self.budget.extend(loan, body_budget.SMALL_BODY_BYTES, 0.0)
        self.assertLessEqual(self.budget.lent_bytes, TOTAL_BYTES)

    def test_what_is_closed_can_be_lent_again(self) -> None:
        for loan in self._fill(0.0):
            self.budget.close(loan)
            self.budget.close(loan)
        self.assertEqual(self.budget.lent_bytes, 0)

    def test_the_longest_stalled_body_makes_room(self) -> None:
        loans = self._fill(0.0)
        now_ms = body_budget.STALL_MS
        first, *others = loans
        self.assertIs(self.budget.most_stalled(now_ms), first)
        first.is_complete = True
        self.assertIs(self.budget.most_stalled(now_ms), others[0])
        self.assertIsNone(self.budget.most_stalled(now_ms - 1.0))

    def test_a_body_that_drips_counts_as_stalled(self) -> None:
        dripping = self.budget.open(0.0)
        self.budget.extend(dripping, PIECE_BYTES, 0.0)
        steady = self.budget.open(0.0)
        for now_ms in range(1, 1000):
            self.budget.extend(dripping, 1, now_ms)
            self.budget.extend(steady, 1024, now_ms)
        self.assertIs(self.budget.most_stalled(1000.0), dripping)
        self.budget.close(dripping)
        self.assertIsNone(self.budget.most_stalled(1000.0))
