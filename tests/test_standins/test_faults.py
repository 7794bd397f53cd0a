"""Tests of the HTTP routes for the faults of stand-ins."""

from __future__ import annotations

import unittest
from typing import Any

import aiohttp

from mangotally.standins import engine, log, roster, service, weights


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """Faults that are set over HTTP."""

    async def asyncSetUp(self) -> None:
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def _post(self, url: str, body: Any) -> tuple[int, dict[str, Any]]:
        async with self.session.post(url, json=body) as response:
            is_json = response.content_type == "application/json"
            return response.status, await response.json() if is_json else {}

    async def test_each_stand_in(self) -> None:
        """Known fields are set; unknown ones and wrong types are rejected."""
        for item, body in (
            (engine.EngineStandIn("e"), {"hang": True, "slow_ms": 3}),
            (service.ServiceStandIn("s"), {"close_after": True}),
            (log.LogStandIn(), {"down": True}),
            (roster.RosterStandIn(), {"down": True}),
            (weights.WeightsStandIn(), {"down": True}),
        ):
            with self.subTest(type(item).__name__):
                await self.enterAsyncContext(item)
                status, shown = await self._post(f"{item.url}/faults", body)
                self.assertEqual(status, 200)
                for name, value in body.items():
                    self.assertEqual(shown[name], value)
                for bad in ({"nope": 1}, {next(iter(body)): "x"}, [1]):
                    status, _ = await self._post(f"{item.url}/faults", bad)
                    self.assertEqual(status, 400)

    async def test_log_rate_and_retention(self) -> None:
        """Appends over the rate are rejected; old records are dropped."""
        item = log.LogStandIn()
        await self.enterAsyncContext(item)
        item.faults.appends_per_s = 3
        item.faults.keep_records = 2
        statuses = [
            (await self._post(f"{item.url}/streams/x", n))[0] for n in range(4)
        ]
        self.assertEqual(statuses, [200, 200, 200, 429])
        self.assertEqual(item.stream("x").oldest_offset, 1)
        async with self.session.get(f"{item.url}/streams/x") as response:
            body = await response.json()
        self.assertEqual([e["offset"] for e in body["entries"]], [1, 2])
