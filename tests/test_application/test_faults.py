"""Integration tests of failing targets."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from mangotally import ids
from mangotally.roster import base as roster_base
from mangotally.settings import host as host_settings
from mangotally.standins import engine, platform
from tests import fleet as fleet_lib

LEAVING_DELAY_MS = 3000
RELEASE_TIMEOUT_MS = 10_000
ORDERS_TIMEOUT_MS = 20_000
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
_LARGE_ORGANISATION = ids.OrganisationId("oficinas-porto")
_WORDS = " ".join(f"w{n}" for n in range(20))


# A call that times out is no proof of a crash, so these are far longer than a
# busy machine takes to report a closed connection.
_PATIENT_TARGETS = _TARGETS.model_copy(
    update={
        "connect_ms": 10_000,
        "first_token_ms": 10_000,
        "between_tokens_ms": 10_000,
    }
)


class _Platform(platform.Platform):
    """A platform whose hosts use given target timeouts."""

    targets = _TARGETS

    def host_settings(self, number: int) -> host_settings.HostSettings:
        found = super().host_settings(number)
        return found.model_copy(update={"targets": self.targets})


class _Fleet(fleet_lib.Fleet):
    """Sends calls as an organisation whose rate limit is not reached."""

    def key(
        self, organisation: ids.OrganisationId = _LARGE_ORGANISATION
    ) -> str:
        return super().key(organisation)


class FaultsFixture(unittest.IsolatedAsyncioTestCase):
    """Two hosts with engines and services that can be made to fail."""

    targets = _TARGETS

    async def asyncSetUp(self) -> None:
        self.fleet = _Fleet(hosts=2)
        deployment = self.fleet.local.platform.deployment
        self.platform = _Platform(deployment)
        self.platform.targets = self.targets
        self.fleet.local.platform = self.platform
        await self.enterAsyncContext(self.fleet)

    def _engines(self) -> list[engine.EngineStandIn]:
        return self.fleet.engines()

    async def _turn(self, text: str = _WORDS) -> tuple[int, Any]:
        program = await self.fleet.open_program()
        return await self.fleet.turn(program, 1, text)

    async def _check_responses(self, count: int = 5) -> None:
        responses = await asyncio.gather(
            *(self._turn(f"{n} {_WORDS}") for n in range(count))
        )
        for status, answer in responses:
            self.assertEqual(status, 200, answer)
            self.assertIn("w19", str(answer))

    async def _request_as_operator(
        self, method: str, path: str, body: Any = None
    ) -> Any:
        settings = self.fleet.local.hosts[0].settings
        url = f"http://{settings.address}:{settings.effective_operator_port}{path}"
        key = self.platform.operator_key
        async with self.fleet.session.request(
            method, url, json=body, headers={"Authorization": f"Bearer {key}"}
        ) as response:
            self.assertEqual(response.status, 200, await response.text())
            return await response.json()


class FaultsTest(FaultsFixture):
    """Engines and services with each kind of fault."""

    async def test_some_engines_fail(self) -> None:
        """Responses are complete while one of five engines is faulty."""
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
                faulty_engine = self._engines()[0]
                for name, value in fault.items():
                    setattr(faulty_engine.faults, name, value)
                await self._check_responses()
                faulty_engine.faults = type(faulty_engine.faults)()

    async def test_orders(self) -> None:
        """All engines load the listed version within the store's rate limit."""
        self.platform.weights.faults.rate_per_s = _TARGETS.weights_per_s
        unfenced_engine = self._engines()[2]
        unfenced_engine.faults.ignore_fencing = True
        lists = await self._request_as_operator("GET", "/admin/lists")
        content = lists["lists"]
        for service in content["uses"]["services"]:
            if service["id"] == fleet_lib.MODEL_SERVICE:
                service["engine"] = {"model": "tern", "version": "v2"}
        await self._request_as_operator(
            "POST",
            "/admin/lists",
            {"predecessor": lists["version"], **content},
        )
        async with asyncio.timeout(ORDERS_TIMEOUT_MS / 1000):
            await self._wait_for_version("v2")
            unfenced_engine.state = {**unfenced_engine.state, "version": "v1"}
            await self._wait_for_version("v2")
        numbers = [item.fencing for item in self._engines()]
        self.assertEqual(len(set(numbers)), len(numbers))
        self.assertEqual(self.platform.weights.refused_count, 0)

    async def _wait_for_version(self, version: str) -> None:
        while any(
            item.state.get("version") != version for item in self._engines()
        ):
            await asyncio.wait([asyncio.create_task(asyncio.sleep(0.05))])

    async def test_leaving_target_gets_no_new_work(self) -> None:
        """After `LEAVING_DELAY_MS`, a leaving engine receives no new calls."""
        leaving = self._engines()[0]
        await self.platform.roster.set_state(
            leaving.name, roster_base.EntryState.LEAVING
        )
        await asyncio.sleep(LEAVING_DELAY_MS / 1000)
        seen = len(leaving.requests)
        await self._check_responses()
        self.assertEqual(len(leaving.requests), seen)

    async def test_prefixes_of_ended_programs_are_released(self) -> None:
        """Prefixes of ended programs and of single calls are released."""
        for item in self._engines():
            item.faults.ignore_release = 2
        program = await self.fleet.open_program()
        await self.fleet.turn(program, 1, _WORDS)
        await self.fleet.request("DELETE", f"/v1/programs/{program}")
        body = {
            "model": fleet_lib.MODEL_SERVICE,
            "messages": [{"role": "user", "content": _WORDS}],
        }
        await self.fleet.request("POST", "/v1/chat/completions", body)
        async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1000):
            await self._wait_until_released()

    async def test_orphaned_prefixes_and_calls_are_released(self) -> None:
        """Prefixes and calls left behind by a failed host are released."""
        program = await self.fleet.open_program()
        await self.fleet.turn(program, 1, _WORDS)
        live = {key for item in self._engines() for key in item.cache}
        self.assertEqual(live, {f"{_LARGE_ORGANISATION}/{program}"})
        orphaned_engine = self._engines()[1]
        orphaned_engine.speed = engine.EngineSpeed(
            resume_ms=10 * RELEASE_TIMEOUT_MS
        )
        orphaned_engine.faults.slow_ms = float(RELEASE_TIMEOUT_MS)
        orphaned_engine.cache[f"{_LARGE_ORGANISATION}/p0"] = 100
        orphaned_engine.cache[f"escola-braga/{program}"] = 100
        async with self.fleet.session.post(
            f"{orphaned_engine.url}/v1/chat/completions",
            json={
                "messages": [{"role": "user", "content": "hi"}],
                "max_tokens": 8,
                "cache_key": f"{_LARGE_ORGANISATION}/p1",
            },
            headers={"X-Request-Id": "left-behind"},
        ):
            pass
        async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1000):
            while orphaned_engine.running or set(orphaned_engine.cache) - live:
                await asyncio.wait([asyncio.create_task(asyncio.sleep(0.05))])
        kept = {key for item in self._engines() for key in item.cache}
        self.assertEqual(kept, live)

    async def test_caller_disconnects(self) -> None:
        """The engine's call ends soon after its caller has disconnected."""
        for item in self._engines():
            item.faults.slow_ms = 100.0
        body = {
            "model": fleet_lib.MODEL_SERVICE,
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
        async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1000):
            await self._wait_until_released()

    async def _wait_until_released(self) -> None:
        while any(item.cache or item.running for item in self._engines()):
            await asyncio.wait([asyncio.create_task(asyncio.sleep(0.05))])


class CrashTest(FaultsFixture):
    """Engines that a request crashes."""

    targets = _PATIENT_TARGETS

    async def test_crash_under_load(self) -> None:
        """A request that crashes engines crashes only two of the fleet."""
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
        await self._check_responses(4)
        for item in crashed:
            await item.start()
        listed = await self._request_as_operator("GET", "/admin/quarantine")
        self.assertEqual(len(listed), 1)
        digest = listed[0]["digest"]
        await self._request_as_operator("DELETE", f"/admin/quarantine/{digest}")
        for item in self._engines():
            item.faults.crash_on = ""
        status, answer = await self._turn("poison")
        self.assertEqual(status, 200, answer)
