"""Tests of API keys and of the administration API, over several hosts."""

from __future__ import annotations

import asyncio
import json
import logging
import unittest
from typing import TYPE_CHECKING, Any

from mangotally import application, ids
from mangotally.policy import records
from mangotally.standins import engine as engine_standin
from mangotally.util import logs
from tests import fleet as fleet_lib

if TYPE_CHECKING:
    import aiohttp

WITHDRAWAL_MS = 5000
# Slow enough that streams do not end before their key is withdrawn, even on
# a busy machine.
FIRST_TOKEN_MS = 1000.0
SLOW_TOKEN_MS = 60_000.0


class LogCollector(logging.Handler):
    """Collects all log lines of a test."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.setFormatter(logs.KeyValueFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Collects a line."""
        self.lines.append(self.format(record))


class OperatorClient:
    """A client of the administration API of one host of a fleet."""

    def __init__(self, fleet: fleet_lib.Fleet, host: int = 0) -> None:
        settings = fleet.local.hosts[host].settings
        self.url = (
            f"http://{settings.address}:{settings.effective_operator_port}"
        )
        self.fleet = fleet

    async def request(
        self, method: str, path: str, data: Any = None, key: str | None = None
    ) -> tuple[int, Any]:
        """Sends a request; returns status and the decoded answer."""
        key = key or self.fleet.local.platform.operator_key
        async with self.fleet.session.request(
            method,
            self.url + path,
            data=data if data is None else json.dumps(data),
            headers={"Authorization": f"Bearer {key}"},
        ) as response:
            return response.status, json.loads(await response.text())


class KeyTest(unittest.IsolatedAsyncioTestCase):
    """Keys are issued and withdrawn while calls run."""

    async def asyncSetUp(self) -> None:
        """Collects the log lines."""
        self.collector = LogCollector()
        root = logging.getLogger()
        level = root.level
        root.addHandler(self.collector)
        root.setLevel(logging.INFO)
        self.addCleanup(root.removeHandler, self.collector)
        self.addCleanup(root.setLevel, level)

    async def test_withdrawn_key_ends_streams_on_every_host(self) -> None:
        """Open streams end with a 401 problem; new calls are refused."""
        async with fleet_lib.Fleet() as fleet:
            _set_speed(fleet, FIRST_TOKEN_MS)
            organisation = fleet_lib.ORGANISATION
            status, issued = await OperatorClient(fleet, 2).request(
                "POST", "/admin/keys", {"organisation": organisation}
            )
            self.assertEqual(status, 201, issued)
            key, other_key = issued["key"], fleet.key()
            async with asyncio.timeout(WITHDRAWAL_MS / 1000):
                await self._wait_for_key(fleet, key)
            headers = {"Authorization": f"Bearer {key}"}
            async with asyncio.timeout(3 * WITHDRAWAL_MS / 1000):
                streams = await asyncio.gather(
                    *(_open_stream(fleet, entry, headers) for entry in range(3))
                )
                _set_speed(fleet, SLOW_TOKEN_MS)
                path = f"/admin/keys/{issued['key_id']}"
                status, _ = await OperatorClient(fleet, 1).request(
                    "DELETE", path
                )
                self.assertEqual(status, 200)
                async with asyncio.timeout(WITHDRAWAL_MS / 1000):
                    ends = [(await item.read()).decode() for item in streams]
            for end in ends:
                last = json.loads(end.strip().split("data: ")[-1])
                self.assertEqual(last["error"]["status"], 401, end)
                self.assertEqual(last["error"]["ran"], "may-have-run")
            for entry in range(3):
                status, answer = await fleet.request(
                    "POST", "/v1/programs", {"service": "x"}, entry, headers
                )
                self.assertEqual((status, answer["ran"]), (401, "not-run"))
            await self._check_no_key(fleet, (key, other_key))

    async def test_turn_outlives_withdrawn_key(self) -> None:
        """A turn whose key is withdrawn goes on, and runs only once.

        The organisation gets its answer with another key.
        """
        async with fleet_lib.Fleet() as fleet:
            _set_speed(fleet, FIRST_TOKEN_MS)
            operator = OperatorClient(fleet)
            _, issued = await operator.request(
                "POST",
                "/admin/keys",
                {"organisation": fleet_lib.ORGANISATION},
            )
            async with asyncio.timeout(WITHDRAWAL_MS / 1000):
                await self._wait_for_key(fleet, issued["key"])
            program = await fleet.open_program()
            headers = {
                "Authorization": f"Bearer {issued['key']}",
                "Mangotally-Program": program,
                "Mangotally-Turn": "1",
            }
            stream = await _open_stream(fleet, 1, headers)
            path = f"/admin/keys/{issued['key_id']}"
            await operator.request("DELETE", path)
            async with asyncio.timeout(WITHDRAWAL_MS / 1000):
                end = (await stream.read()).decode()
            self.assertIn("may-have-run", end)
            self.assertNotIn("[DONE]", end)
            status, answer = await fleet.turn(program, 1, "hi", entry=2)
            self.assertEqual(status, 200, answer)
            runs = sum(len(item.requests) for item in fleet.engines())
            self.assertEqual(runs, 1)

    async def _wait_for_key(self, fleet: fleet_lib.Fleet, key: str) -> None:
        for entry in range(3):
            status = 401
            while status == 401:
                status, _ = await fleet.request(
                    "GET", "/v1/programs/p0", entry=entry, key=key
                )

    async def _check_no_key(
        self, fleet: fleet_lib.Fleet, keys: tuple[str, ...]
    ) -> None:
        platform = fleet.local.platform
        status, dump = await OperatorClient(fleet).request("GET", "/admin/dump")
        self.assertEqual(status, 200)
        _, listed = await OperatorClient(fleet).request("GET", "/admin/keys")
        seen = [*self.collector.lines, str(dump), str(listed)]
        for stream in platform.log.streams.values():
            seen += [data.decode() for data in stream.records]
        self.assertTrue(any("key_withdrawn" in text for text in seen))
        for key in (*keys, platform.operator_key):
            self.assertFalse([text for text in seen if key in text])


class AdministrationTest(unittest.IsolatedAsyncioTestCase):
    """Valid and invalid requests of operators."""

    async def test_bad_requests_are_refused(self) -> None:
        """Each invalid request gets a 4xx problem that has not run."""
        async with fleet_lib.Fleet(hosts=1) as fleet:
            operator = OperatorClient(fleet)
            _, found = await operator.request("GET", "/admin/lists")
            lists = found["lists"]
            unknown = {
                "organisations": [{"id": "org-a", "plan": "no-such-plan"}]
            }
            for method, path, body, expected in (
                ("POST", "/admin/keys", {}, 400),
                ("POST", "/admin/keys", [], 400),
                ("POST", "/admin/keys", {"organisation": 7}, 400),
                ("POST", "/admin/keys", {"organisation": "none"}, 404),
                ("DELETE", "/admin/keys/none", None, 404),
                ("POST", "/admin/lists", {"predecessor": 1}, 400),
                ("POST", "/admin/lists", {"predecessor": 0, **lists}, 409),
                (
                    "POST",
                    "/admin/lists",
                    {"predecessor": 1, **lists, "plans": unknown},
                    400,
                ),
                ("GET", "/admin/none", None, 404),
            ):
                status, answer = await operator.request(method, path, body)
                self.assertEqual(status, expected, (path, body, answer))
                self.assertEqual(answer["ran"], "not-run")
            status, _ = await operator.request(
                "GET", "/admin/keys", key=fleet.key()
            )
            self.assertEqual(status, 401)

    async def test_restart_from_a_truncated_stream(self) -> None:
        """A new host starts from a snapshot; without one it refuses callers."""
        async with fleet_lib.Fleet(hosts=2) as fleet:
            platform = fleet.local.platform
            host = fleet.local.hosts[0]
            stream = platform.log.stream(records.CONFIGURATION_STREAM)
            key_id = platform.keys[fleet_lib.ORGANISATION][0]
            await OperatorClient(fleet).request(
                "DELETE", f"/admin/keys/{key_id}"
            )
            found = host.live.current.snapshot(
                ids.Offset(stream.next_offset), host.clock.wall_ms()
            )
            stream.drop_oldest(stream.next_offset)
            async with application.Application(
                platform.host_settings(8)
            ) as incomplete:
                self.assertFalse(incomplete.dump()["configuration"]["complete"])
                self.assertIsNotNone(incomplete.live.refusal())
            stream.records.append(records.registry.encode_batch([found]))
            async with application.Application(
                platform.host_settings(9)
            ) as started:
                state = started.live.current
                self.assertIsNone(started.live.refusal())
                self.assertEqual(state.version, 1)
                self.assertFalse(state.is_key_active(key_id))
                self.assertEqual(len(state.active_keys()), 7)

    async def test_publish_takes_effect(self) -> None:
        """An organisation that is removed from the list is refused.

        Its active calls continue to their end.
        """
        async with fleet_lib.Fleet(hosts=1) as fleet:
            _set_speed(fleet, FIRST_TOKEN_MS)
            headers = {"Authorization": f"Bearer {fleet.key()}"}
            stream = await _open_stream(fleet, 0, headers)
            operator = OperatorClient(fleet)
            _, found = await operator.request("GET", "/admin/lists")
            lists = found["lists"]
            lists["plans"]["organisations"] = [
                item
                for item in lists["plans"]["organisations"]
                if item["id"] != fleet_lib.ORGANISATION
            ]
            status, answer = await operator.request(
                "POST", "/admin/lists", {"predecessor": 1, **lists}
            )
            self.assertEqual((status, answer), (200, {"version": 2}))
            status, answer = await fleet.request(
                "POST", "/v1/programs", {"service": fleet_lib.MODEL_SERVICE}
            )
            self.assertEqual((status, answer["ran"]), (403, "not-run"))
            text = (await stream.read()).decode()
            self.assertTrue(text.endswith("data: [DONE]\n\n"), text)


def _set_speed(fleet: fleet_lib.Fleet, decode_ms: float) -> None:
    for engine in fleet.engines():
        engine.speed = engine_standin.EngineSpeed(decode_ms=decode_ms)


async def _open_stream(
    fleet: fleet_lib.Fleet, entry: int, headers: dict[str, str]
) -> aiohttp.ClientResponse:
    body = {
        "model": fleet_lib.MODEL_SERVICE,
        "messages": [{"role": "user", "content": "hi"}],
        "stream": True,
    }
    url = fleet.local.entry_urls()[entry] + "/v1/chat/completions"
    response = await fleet.session.post(url, json=body, headers=headers)
    assert response.status == 200, await response.text()
    await response.content.readuntil(b"\n\n")
    return response
