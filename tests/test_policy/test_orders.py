"""Tests of mangotally.policy.orders."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import orders

A, B = ids.TargetId("a"), ids.TargetId("b")
OLD = orders.EngineReport(orders.EngineState("m", "v1"), 3)
NEW = orders.EngineReport(orders.EngineState("m", "v2"), 4)
DESIRED = orders.EngineState("m", "v2")


class NextOrderTest(unittest.TestCase):
    """Orders to the engines of one pool."""

    def test_one_at_a_time(self) -> None:
        """The next engine waits until the previous one is as desired."""
        first = orders.next_order(DESIRED, {A: OLD, B: OLD}, {}, 0)
        self.assertEqual(first, orders.Order(A, DESIRED, ("model/m/v2",)))
        seen = {A: OLD, B: OLD}
        self.assertIsNone(orders.next_order(DESIRED, seen, {A: 0}, 1))
        second = orders.next_order(DESIRED, {A: NEW, B: OLD}, {A: 0}, 1)
        assert second is not None
        self.assertEqual(second.target, B)
        done = {A: NEW, B: NEW}
        self.assertIsNone(orders.next_order(DESIRED, done, {A: 0, B: 1}, 2))

    def test_stuck_engine(self) -> None:
        """An engine that times out does not block the others."""
        later_ms = orders.ORDER_TIMEOUT_MS
        order = orders.next_order(DESIRED, {A: OLD, B: OLD}, {A: 0}, later_ms)
        assert order is not None
        self.assertEqual(order.target, B)

    def test_weights(self) -> None:
        """Only weights that the engine lacks are fetched."""
        state = orders.EngineState("m", "v2", ("x",))
        wanted = orders.EngineState("m", "v2", ("x", "y"), "decode")
        order = orders.next_order(
            wanted, {A: orders.EngineReport(state, 1)}, {}, 0
        )
        assert order is not None
        self.assertEqual(order.weights, ("adapter/y",))
