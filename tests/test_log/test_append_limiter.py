"""Tests of the rate limiter for appends to the log."""

from __future__ import annotations

import asyncio
import unittest

from mangotally.log import append_limiter
from tests import history_fakes as fakes

RATE_PER_S = 40.0


class AppendRateLimiterTest(unittest.TestCase):
    """Several hosts append as fast as the limiter lets them."""

    def test_hosts_together_keep_the_rate(self) -> None:
        """In each 1 s window all hosts together stay within rate and burst."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            clock = fakes.LoopClock(loop)
            hosts = [
                append_limiter.AppendRateLimiter(RATE_PER_S, lambda: 4, clock)
                for _ in range(4)
            ]
            sent_s: list[float] = []

            async def append(host: append_limiter.AppendRateLimiter) -> None:
                while loop.time() < 10:
                    await host.acquire()
                    sent_s.append(loop.time())

            await asyncio.gather(*(append(host) for host in hosts))
            self.assertEqual(sent_s[0], 0.0)
            bursts = 4 * RATE_PER_S / 4 * append_limiter.BURST_MS / 1000
            for first, start_s in enumerate(sent_s):
                count = sum(start_s <= at <= start_s + 1 for at in sent_s)
                self.assertLessEqual(count, RATE_PER_S + bursts + 4, first)
            self.assertGreaterEqual(len(sent_s), 9 * RATE_PER_S)

        fakes.run(scenario)
