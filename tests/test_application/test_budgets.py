"""Integration tests of budgets."""

from __future__ import annotations

import unittest

from tests import fleet as fleet_lib


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    """Turns, service calls and sub-agents are charged to one budget."""

    async def test_tree_of_programs_shares_its_call_budget(self) -> None:
        """Calls beyond the budget of the tree are refused on every host."""
        async with fleet_lib.Fleet() as fleet:
            root = await fleet.open_program(budget={"calls": 3})
            child = await fleet.open_program(parent=root)
            path = f"/services/{fleet_lib.PLAIN_SERVICE}/deposits"
            call_headers = {
                "Mangotally-Program": root,
                "Idempotency-Key": "d-1",
            }
            first, _ = await fleet.turn(child, 1, "hello", entry=1)
            self.assertEqual(first, 200)
            for entry in (0, 1, 2):
                status, _ = await fleet.request(
                    "POST", path, {}, entry, call_headers
                )
                self.assertEqual(status, 200)
            last, _ = await fleet.turn(root, 1, "hello", entry=2)
            self.assertEqual(last, 200)
            call_headers["Idempotency-Key"] = "d-2"
            refusals = [
                await fleet.turn(child, 2, "again"),
                await fleet.request("POST", path, {}, 0, call_headers),
            ]
            for status, body in refusals:
                self.assertEqual((status, body["ran"]), (402, "not-run"))
            again, _ = await fleet.turn(child, 1, "hello", entry=2)
            self.assertEqual(again, 200)
            services = fleet.local.platform.services.values()
            self.assertEqual(sum(one.run_counts.total() for one in services), 1)
            _, state = await fleet.request("GET", f"/v1/programs/{root}")
            self.assertEqual(state["used"]["calls"], 3)
