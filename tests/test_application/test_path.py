"""Integration tests of the path of a call through a fleet."""

from __future__ import annotations

import unittest

from tests import fleet as fleet_lib


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Calls through several hosts."""

    async def test_conversation_through_three_hosts(self) -> None:
        """Turns through different hosts share one history."""
        async with fleet_lib.Fleet() as fleet:
            program = await fleet.open_program()
            for turn in (1, 2, 3):
                status, answer = await fleet.turn(
                    program, turn, f"question {turn}", entry=turn - 1
                )
                self.assertEqual(status, 200, answer)
                text = answer["choices"][0]["message"]["content"]
                self.assertIn(f"turn {turn} of {2 * turn - 1}", text)

    async def test_repeated_turn_does_not_run_twice(self) -> None:
        """A repeated turn gets the stored response; other content conflicts."""
        async with fleet_lib.Fleet() as fleet:
            program = await fleet.open_program()
            first = await fleet.turn(program, 1, "hello")
            again = await fleet.turn(program, 1, "hello", entry=1)
            other = await fleet.turn(program, 1, "other", entry=2)
            gap = await fleet.turn(program, 3, "later")
            self.assertEqual(first[1]["choices"], again[1]["choices"])
            runs = sum(len(item.requests) for item in fleet.engines())
            self.assertEqual(runs, 1)
            self.assertEqual(other[0], 409)
            self.assertEqual(gap[0], 409)
            self.assertEqual(gap[1]["ran"], "not-run")

    async def test_streamed_answer(self) -> None:
        """A streamed response ends with the DONE event."""
        async with fleet_lib.Fleet() as fleet:
            program = await fleet.open_program()
            status, text = await fleet.turn(program, 1, "hi", stream=True)
            self.assertEqual(status, 200)
            self.assertTrue(text.endswith("data: [DONE]\n\n"))

    async def test_no_target_sees_a_key(self) -> None:
        """Targets never receive the keys of callers."""
        async with fleet_lib.Fleet() as fleet:
            await fleet.turn(await fleet.open_program(), 1, "hi")
            await fleet.request(
                "GET", f"/services/{fleet_lib.PLAIN_SERVICE}/slots"
            )
            platform = fleet.local.platform
            engines, services = fleet.engines(), platform.services.values()
            seen = [str(item) for one in engines for item in one.headers]
            seen += [str(item) for one in services for item in one.headers]
            self.assertEqual(len(seen), 2)
            self.assertFalse([text for text in seen if fleet.key() in text])

    async def test_non_idempotent_call_runs_once(self) -> None:
        """A call repeated with the same idempotency key runs once."""
        async with fleet_lib.Fleet() as fleet:
            path = f"/services/{fleet_lib.PLAIN_SERVICE}/deposits"
            headers = {"Idempotency-Key": "d-1"}
            answers = [
                await fleet.request("POST", path, {}, entry, headers)
                for entry in (0, 1, 2)
            ]
            runs = sum(
                item.run_counts.total()
                for item in fleet.local.platform.services.values()
            )
            self.assertEqual(runs, 1)
            self.assertEqual(len({str(answer) for answer in answers}), 1)

    async def test_unknown_key_is_refused(self) -> None:
        """A key that was never issued is refused."""
        async with fleet_lib.Fleet(hosts=1) as fleet:
            status, answer = await fleet.request(
                "POST", "/v1/programs", {"service": "x"}, key="mt-none"
            )
            self.assertEqual(status, 401)
            self.assertEqual(answer["ran"], "not-run")
