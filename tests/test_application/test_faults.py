"""Tests of targets that fail, behind whole hosts."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from mangotally import ids
from mangotally.roster import base as roster_base
from mangotally.settings import host as host_settings
from mangotally.standins import engine, platform
from tests import fleet as fleet_lib

LEAVING_MS = 3000
MEMORY_MS = 10_000
ORDERS_MS = 20_000
_TARGETS = host_settings.TargetSettings(
    connect_ms=200,
    first_token_ms=300,
    first_token_ms_per_token=0,
    between_tokens_ms=200,
    weights_per_s=20,
    sweep_ms=200,
    sweep_grace_ms=500,
    order_ms=100,
)
_LARGE = ids.OrganisationId("oficinas-porto")
_WORDS = " ".join(f"w{n}" for n in range(20))


class _Platform(platform.Platform):
    """A platform whose hosts lose patience soon."""

    def host_settings(self, number: int) -> host_settings.HostSettings:
        found = super().host_settings(number)
        return found.model_copy(update={"targets": _TARGETS})


class _Fleet(fleet_lib.Fleet):
    """Calls for an organisation whose rate is not reached."""

    def key(self, organisation: ids.OrganisationId = _LARGE) -> str:
        return super().key(organisation)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """Engines and services that misbehave in each way."""

    async def asyncSetUp(self) -> None:
        self.fleet = _Fleet(hosts=2)
        deployment = self.fleet.local.platform.deployment
        self.fleet.local.platform = _Platform(deployment)
        await self.enterAsyncContext(self.fleet)
        self.platform = self.fleet.local.platform

    def _engines(self) -> list[engine.EngineStandIn]:
        return self.fleet.engines()

    async def _turn(self, text: str = _WORDS) -> tuple[int, Any]:
        program = await self.fleet.open_program()
        return await self.fleet.turn(program, 1, text)

    async def _check_answers(self, count: int = 5) -> None:
        answers = await asyncio.gather(
            *(self._turn(f"{n} {_WORDS}") for n in range(count))
        )
        for status, answer in answers:
            self.assertEqual(status, 200, answer)
            self.assertIn("w19", str(answer))

    async def test_some_engines_fail(self) -> None:
        """Calls get whole answers while one engine of five misbehaves."""
        for fault in (
            {"refuse": True, "retry_after_s": 1},
            {"refuse": True, "refuse_status": 500},
            {"hang": True},
            {"cross": True},
            {"malformed": True},
            {"silent_after": 3},
            {"break_after": 3},
            {"lie": True},
        ):
            with self.subTest(**fault):
                bad = self._engines()[0]
                for name, value in fault.items():
                    setattr(bad.faults, name, value)
                await self._check_answers()
                bad.faults = type(bad.faults)()

    async def test_crash_under_load(self) -> None:
        """A request that crashes engines fells two, on all hosts together."""
        for item in self._engines():
            item.faults.crash_on = "poison"
        status, answer = await self._turn("poison")
        self.assertEqual((status, answer["ran"]), (422, "may-have-run"))
        for entry in (0, 1):
            program = await self.fleet.open_program()
            status, answer = await self.fleet.turn(program, 1, "poison", entry)
            self.assertEqual((status, answer["ran"]), (422, "not-run"))
        crashed = [item for item in self._engines() if item.crashes]
        self.assertEqual(len(crashed), 2)
        await self._check_answers(4)
        for item in crashed:
            await item.start()
        listed = await self._operate("GET", "/admin/quarantine")
        self.assertEqual(len(listed), 1)
        digest = listed[0]["digest"]
        await self._operate("DELETE", f"/admin/quarantine/{digest}")
        for item in self._engines():
            item.faults.crash_on = ""
        status, answer = await self._turn("poison")
        self.assertEqual(status, 200, answer)

    async def _operate(self, method: str, path: str, body: Any = None) -> Any:
        settings = self.fleet.local.hosts[0].settings
        url = f"http://{settings.address}:{settings.operators_port}{path}"
        key = self.platform.operator_key
        async with self.fleet.session.request(
            method, url, json=body, headers={"Authorization": f"Bearer {key}"}
        ) as response:
            self.assertEqual(response.status, 200, await response.text())
            return await response.json()

    async def test_orders(self) -> None:
        """All engines get what the lists say, within the store's rate."""
        self.platform.weights.faults.rate_per_s = _TARGETS.weights_per_s
        wild = self._engines()[2]
        wild.faults.ignore_fencing = True
        lists = await self._operate("GET", "/admin/lists")
        content = lists["lists"]
        for service in content["uses"]["services"]:
            if service["id"] == fleet_lib.MODEL:
                service["engine"] = {"model": "tern", "version": "v2"}
        await self._operate(
            "POST",
            "/admin/lists",
            {"predecessor": lists["version"], **content},
        )
        async with asyncio.timeout(ORDERS_MS / 1000):
            await self._until_version("v2")
            wild.state = {**wild.state, "version": "v1"}
            await self._until_version("v2")
        numbers = [item.fencing for item in self._engines()]
        self.assertEqual(len(set(numbers)), len(numbers))
        self.assertEqual(self.platform.weights.refused_count, 0)

    async def _until_version(self, version: str) -> None:
        while any(
            item.state.get("version") != version for item in self._engines()
        ):
            await asyncio.wait([asyncio.create_task(asyncio.sleep(0.05))])

    async def test_leaving_target_gets_no_new_work(self) -> None:
        """After the bound a leaving engine sees no new call."""
        leaving = self._engines()[0]
        await self.platform.roster.set_state(
            leaving.name, roster_base.EntryState.LEAVING
        )
        await asyncio.sleep(LEAVING_MS / 1000)
        seen = len(leaving.requests)
        await self._check_answers()
        self.assertEqual(len(leaving.requests), seen)

    async def test_memory_of_gone_programs(self) -> None:
        """Prefixes of ended programs and of single calls are released."""
        for item in self._engines():
            item.faults.ignore_release = 2
        program = await self.fleet.open_program()
        await self.fleet.turn(program, 1, _WORDS)
        await self.fleet.request("DELETE", f"/v1/programs/{program}")
        body = {
            "model": fleet_lib.MODEL,
            "messages": [{"role": "user", "content": _WORDS}],
        }
        await self.fleet.request("POST", "/v1/chat/completions", body)
        async with asyncio.timeout(MEMORY_MS / 1000):
            await self._until_empty()

    async def test_memory_that_nobody_knows_of(self) -> None:
        """Prefixes and calls left by a host that died are found."""
        program = await self.fleet.open_program()
        await self.fleet.turn(program, 1, _WORDS)
        live = {key for item in self._engines() for key in item.cache}
        self.assertEqual(live, {f"{_LARGE}/{program}"})
        left = self._engines()[1]
        left.speed = engine.EngineSpeed(resume_ms=10 * MEMORY_MS)
        left.faults.slow_ms = float(MEMORY_MS)
        left.cache[f"{_LARGE}/p0"] = 100
        left.cache[f"escola-braga/{program}"] = 100
        async with self.fleet.session.post(
            f"{left.url}/v1/chat/completions",
            json={
                "messages": [{"role": "user", "content": "hi"}],
                "max_tokens": 8,
                "cache_key": f"{_LARGE}/p1",
            },
            headers={"X-Request-Id": "left-behind"},
        ):
            pass
        async with asyncio.timeout(MEMORY_MS / 1000):
            while left.running or set(left.cache) - live:
                await asyncio.wait([asyncio.create_task(asyncio.sleep(0.05))])
        kept = {key for item in self._engines() for key in item.cache}
        self.assertEqual(kept, live)

    async def test_caller_goes_away(self) -> None:
        """The engine's call ends soon after its caller has gone."""
        for item in self._engines():
            item.faults.slow_ms = 100.0
        body = {
            "model": fleet_lib.MODEL,
            "messages": [{"role": "user", "content": _WORDS * 50}],
        }
        task = asyncio.create_task(
            self.fleet.request("POST", "/v1/chat/completions", body)
        )
        waits = [
            asyncio.create_task(e.call_received.wait()) for e in self._engines()
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(MEMORY_MS / 1000):
            await self._until_empty()

    async def _until_empty(self) -> None:
        while any(item.cache or item.running for item in self._engines()):
            await asyncio.wait([asyncio.create_task(asyncio.sleep(0.05))])
