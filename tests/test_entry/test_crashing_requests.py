"""Integration tests of requests that crash their targets."""

from __future__ import annotations

import asyncio
import unittest

from mangotally.policy import crash_histories
from tests import entry_fleet
from tests.entry_fleet import LOOKUP, PAY, QUERY

CRASH = "crash"
DESKS = 6
REPEATS = 4


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request crashes three targets at most, whichever host it is sent to."""

    async def asyncSetUp(self) -> None:
        self.fleet = entry_fleet.EntryFleet(hosts=3, models=4, desks=DESKS)
        await self.enterAsyncContext(self.fleet)
        for worker in (*self.fleet.desks, *self.fleet.models):
            worker.faults.crash_body = CRASH

    def _crashes(self) -> int:
        return sum(run.body == CRASH.encode() for run in self.fleet.runs())

    async def _send_crashing(self, host: int, path: str = LOOKUP) -> int:
        status, _, _ = await self.fleet.call(path, host, body=CRASH.encode())
        return status

    # Nothing remembered it: it crashed targets for ever (review/3).
    async def test_a_request_that_may_be_repeated(self) -> None:
        statuses = [
            await self._send_crashing(number % 3)
            for number in range(3 * REPEATS)
        ]
        self.assertEqual(self._crashes(), crash_histories.MAX_CRASHES)
        # The second is refused after its first target crashed: it has run.
        self.assertEqual(statuses[:2], [502, 502])
        self.assertEqual(set(statuses[2:]), {503})

    async def test_a_request_that_may_run_only_once(self) -> None:
        statuses = [
            await self._send_crashing(number % 3, PAY)
            for number in range(2 * REPEATS)
        ]
        self.assertEqual(self._crashes(), crash_histories.MAX_CRASHES)
        self.assertEqual(statuses[:3], [502, 502, 502])
        self.assertEqual(set(statuses[3:]), {503})

    async def test_a_stream(self) -> None:
        statuses = []
        for number in range(REPEATS):
            status, _, _ = await self.fleet.turn(
                QUERY, number % 3, body=CRASH.encode()
            )
            statuses.append(status)
        self.assertEqual(self._crashes(), crash_histories.MAX_CRASHES)
        self.assertEqual(statuses[-1], 503)

    async def test_the_refusal_says_for_how_long(self) -> None:
        for number in range(REPEATS):
            await self._send_crashing(number % 3)
        status, body, headers = await self.fleet.call(
            LOOKUP, body=CRASH.encode()
        )
        self.assertEqual(status, 503)
        self.assertIn(b"crashes-targets", body)
        self.assertGreater(
            float(headers["Retry-After"]),
            crash_histories.KEEP_MS / 1000 - 60,
        )

    async def test_other_requests_are_served(self) -> None:
        for number in range(REPEATS):
            await self._send_crashing(number % 3)
        status, _, _ = await self.fleet.call(LOOKUP, body=b"other")
        self.assertEqual(status, 200)

    async def test_is_refused_after_any_host_has_stopped(self) -> None:
        for number in range(REPEATS):
            await self._send_crashing(number % 3)
        await self.fleet.stop_host(0)
        await asyncio.sleep(1.0)
        for number in range(REPEATS):
            self.assertEqual(await self._send_crashing(1 + number % 2), 503)
        self.assertEqual(self._crashes(), crash_histories.MAX_CRASHES)

    # A connection that breaks is no crash while its target still listens.
    async def test_lost_answers_are_not_counted(self) -> None:
        for desk in self.fleet.desks:
            desk.faults.crash_body = ""
            desk.faults.drop = True
        for number in range(REPEATS):
            await self._send_crashing(number % 3)
            await asyncio.sleep(0.5)
        for desk in self.fleet.desks:
            desk.faults.drop = False
        await asyncio.sleep(2.0)
        self.assertEqual(await self._send_crashing(0), 200)


if __name__ == "__main__":
    unittest.main()
