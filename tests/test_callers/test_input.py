"""Tests of callers' input, sent as raw bytes."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mangotally import ids
from mangotally.callers import limits, server, services
from mangotally.homes import configuration
from mangotally.settings import lists
from tests import fleet as fleet_lib
from tests import stateful as stateful_settings

if TYPE_CHECKING:
    from collections.abc import Callable

KEY_PREFIX = "mt-"
READ_TIMEOUT_MS = 10_000
MAX_POLLS = 10_000
CALLER = ids.OrganisationId("oficinas-porto")


async def send_raw(
    address: str, port: int, data: bytes
) -> tuple[int, dict[str, Any], bytes]:
    """Sends raw bytes; returns status, problem and response headers."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(data)
        await writer.drain()
        async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            size = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    size = int(line.partition(b":")[2])
            body = await reader.readexactly(size)
    finally:
        writer.close()
    is_problem = b"application/problem+json" in head
    return status, json.loads(body) if is_problem else {}, head


async def wait_until(is_met: Callable[[], bool]) -> None:
    """Polls until a condition holds."""
    for _ in range(MAX_POLLS):
        if is_met():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition was not met")


class WireTest(unittest.IsolatedAsyncioTestCase):
    """One host that receives requests that no client library sends."""

    async def asyncSetUp(self) -> None:
        """Starts one host."""
        self.fleet = fleet_lib.Fleet(hosts=1)
        await self.enterAsyncContext(self.fleet)
        self.host = self.fleet.local.hosts[0]
        self.address = self.host.settings.address
        self.port = self.host.settings.port

    async def send(
        self, line: str, *headers: str, body: bytes = b"", key: bool = True
    ) -> tuple[int, dict[str, Any], bytes]:
        """Sends a request with a raw request line and raw headers."""
        lines = [line, "Host: x", f"Content-Length: {len(body)}", *headers]
        if key:
            lines.append(f"Authorization: Bearer {self.fleet.key(CALLER)}")
        head = "\r\n".join(lines).encode("latin-1", "replace")
        return await send_raw(
            self.address, self.port, head + b"\r\n\r\n" + body
        )

    def received(self) -> list[str]:
        """Returns everything that targets have received of requests."""
        platform = self.fleet.local.platform
        texts = [
            str(item) for one in self.fleet.engines() for item in one.requests
        ]
        for one in self.fleet.engines():
            texts += [str(item) for item in one.headers]
        for plain in platform.services.values():
            texts += [str(item) for item in plain.headers]
            texts += [str(item) for item in plain.run_counts]
            texts += plain.raw_paths
        return texts

    async def test_bad_requests_get_a_problem(self) -> None:
        """Each invalid request gets a 4xx problem that says it has not run."""
        chat = "POST /v1/chat/completions HTTP/1.1"
        programs = "POST /v1/programs HTTP/1.1"
        good = json.dumps(
            {
                "model": fleet_lib.MODEL_SERVICE,
                "messages": [{"role": "user", "content": "x"}],
            }
        ).encode()
        turn = ("Mangotally-Program: p1", "Mangotally-Turn: 1")
        for status, line, headers, body in (
            (400, chat, (), b""),
            (400, chat, (), b"{"),
            (400, chat, (), b"\xff\xfe"),
            (400, chat, (), b"[]"),
            (400, chat, ("Content-Type: image/png",), good),
            (400, chat, ("Content-Type: text/plain",) * 2, good),
            (400, chat, ("Mangotally-Turn: 1",), good),
            (400, chat, ("Mangotally-Program: p1",), good),
            (400, chat, (turn[0], "Mangotally-Turn: 0"), good),
            (400, chat, (turn[0], "Mangotally-Turn: -1"), good),
            (400, chat, (turn[0], "Mangotally-Turn: 1e3"), good),
            (400, chat, (turn[0], "Mangotally-Turn: 9999999"), good),
            (400, chat, (*turn, turn[1]), good),
            (404, chat, ("Mangotally-Program: a b", turn[1]), good),
            (404, chat, turn, good),
            (400, programs, (), b'{"service": "assistente", "x": 1}'),
            (400, programs, (), b'{"service": "assistente", "parent": "/"}'),
            (404, "GET /v1/programs/%00 HTTP/1.1", (), b""),
            (404, "GET /v1/programs/none HTTP/1.1", (), b""),
            (404, "GET /nope HTTP/1.1", (), b""),
            (404, "PUT /v1/programs HTTP/1.1", (), b""),
            (400, "GET http://a/services/balcao/x HTTP/1.1", (), b""),
            (400, "GET nope HTTP/1.1", (), b""),
            (400, "\x01\x02 HTTP/1.1", (), b""),
            (400, "GET /v1/programs/x HTTP/1.1", ("X: " + "a" * 9000,), b""),
            (400, "GET /services/balcao/x#y HTTP/1.1", (), b""),
            (404, "GET /services/none/x HTTP/1.1", (), b""),
            (404, "GET /services/assistente/x HTTP/1.1", (), b""),
            (401, chat, ("Authorization: Basic x",), good),
        ):
            with self.subTest(line=line, headers=headers, body=body):
                key = status != 401
                found, problem, _ = await self.send(
                    line, *headers, body=body, key=key
                )
                self.assertEqual(found, status, problem)
                self.assertEqual(problem.get("ran"), "not-run")
                self.assertEqual(problem["status"], status)
        self.assertEqual(self.received(), [])

    async def test_body_size_is_limited(self) -> None:
        """A body over the limit, announced or chunked, gets a 413."""
        limit = self.host.limits.bounds.body_bytes
        line = "POST /v1/programs HTTP/1.1"
        key = self.fleet.key(CALLER)
        head = f"{line}\r\nHost: x\r\nAuthorization: Bearer {key}"
        announced = f"{head}\r\nContent-Length: {limit + 1}\r\n\r\n".encode()
        status, problem, _ = await send_raw(self.address, self.port, announced)
        self.assertEqual((status, problem["ran"]), (413, "not-run"))
        chunk = f"{limit + 1:x}\r\n".encode() + b" " * (limit + 1) + b"\r\n"
        chunked = f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        status, problem, _ = await send_raw(
            self.address, self.port, chunked + chunk
        )
        self.assertEqual((status, problem["ran"]), (413, "not-run"))
        self.assertEqual(self.host.limits.reserved_bytes, 0)

    async def test_slow_body(self) -> None:
        """A body that does not arrive in time is refused."""
        bounds = limits.Bounds(body_ms=20)
        head = (
            "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
            f"Authorization: Bearer {self.fleet.key(CALLER)}\r\n\r\n"
        )
        with mock.patch.object(self.host.limits, "bounds", bounds):
            status, problem, _ = await send_raw(
                self.address, self.port, head.encode() + b"{"
            )
        self.assertEqual((status, problem["ran"]), (400, "not-run"))
        self.assertIn("too long", problem["detail"])

    async def test_unexpected_exception(self) -> None:
        """An exception in a handler gives a 500 without its details."""
        secret = ValueError("secret detail")
        with (
            mock.patch.object(self.host.peers, "call_home", side_effect=secret),
            self.assertLogs("mangotally.callers.server", "ERROR"),
        ):
            status, problem, _ = await self.send("GET /v1/programs/p1 HTTP/1.1")
        self.assertEqual((status, problem["ran"]), (500, "may-have-run"))
        self.assertNotIn("secret", str(problem))

    async def test_too_many_calls_of_an_organisation(self) -> None:
        """Calls above the limit are refused as not run."""
        bounds = limits.Bounds(organisation_calls=0)
        with mock.patch.object(self.host.limits, "bounds", bounds):
            status, problem, _ = await self.send(
                "GET /services/balcao/x HTTP/1.1"
            )
        self.assertEqual((status, problem["ran"]), (429, "not-run"))
        self.assertEqual(self.received(), [])

    async def test_configuration_that_is_too_old(self) -> None:
        """Above the maximum age calls are refused as not run, or continue.

        The setting `on_stale` decides which.
        """
        self.host.live.limit_age(lambda: 2.0, 1.0, configuration.OnStale.REFUSE)
        status, problem, head = await self.send(
            "GET /services/balcao/x HTTP/1.1"
        )
        self.assertEqual((status, problem["ran"]), (503, "not-run"))
        self.assertIn(b"Retry-After", head)
        self.host.live.limit_age(
            lambda: 2.0, 1.0, configuration.OnStale.CONTINUE
        )
        status, _, _ = await self.send("GET /services/balcao/x HTTP/1.1")
        self.assertEqual(status, 200)

    async def test_another_organisations_program(self) -> None:
        """The answer is the same as for a program that does not exist.

        Otherwise callers could find out ids of other organisations' programs.
        """
        program = await self.fleet.open_program()
        other = self.fleet.key(ids.OrganisationId("escola-fafe"))
        for method in ("GET", "DELETE"):
            status, answer = await self.fleet.request(
                method, f"/v1/programs/{program}", key=other
            )
            _, unknown = await self.fleet.request(
                method, f"/v1/programs/p{'0' * 24}", key=other
            )
            self.assertEqual((status, answer), (404, unknown))

    async def test_paths_reach_the_target_as_sent(self) -> None:
        """Dot segments, encoded slashes and double slashes are unchanged."""
        for path in (
            "/slots",
            "/",
            "/a//b",
            "/a/../b",
            "/..%2f..%2fv1/programs",
            "/%2e%2e/x?q=a%20b&r=%2F",
            "/a%00b",
            "//other-host/x",
            "/@other:80/x",
            "/x?u=http://y/",
            "/%E2%82%AC;v=1/~!$&'()*+,",
        ):
            with self.subTest(path=path):
                status, _, _ = await self.send(
                    f"GET /services/{fleet_lib.PLAIN_SERVICE}{path} HTTP/1.1"
                )
                self.assertEqual(status, 200)
                platform = self.fleet.local.platform
                found = [one.raw_paths for one in platform.services.values()]
                self.assertIn([path], found)
                for one in platform.services.values():
                    one.raw_paths.clear()

    async def test_no_key_reaches_a_target(self) -> None:
        """A key sent outside Authorization is not forwarded to a target."""
        key = self.fleet.key(CALLER)
        base = f"/services/{fleet_lib.PLAIN_SERVICE}"
        for line, headers, body in (
            (f"GET {base}/x?key={key} HTTP/1.1", (), b""),
            (f"GET {base}/{key} HTTP/1.1", (), b""),
            (f"GET {base}/%6d{key[1:]} HTTP/1.1", (), b""),
            (f"GET {base}/x HTTP/1.1", (f"Accept: {key}",), b""),
            (f"GET {base}/x HTTP/1.1", (f"Idempotency-Key: {key}",), b""),
            (f"POST {base}/x HTTP/1.1", (), f'{{"k": "{key}"}}'.encode()),
            (f"GET {base}/x HTTP/1.1", (f"Cookie: s={key}",), b""),
            (f"GET {base}/x HTTP/1.1", (f"X-Api-Key: {key}",), b""),
            (f"GET {base}/x HTTP/1.1", ("Cookie: s=1", "X-A: 1"), b""),
        ):
            status, _, _ = await self.send(line, *headers, body=body)
            self.assertIn(status, (200, 400))
        self.assertTrue(self.received())
        for text in self.received():
            self.assertNotIn(key, text)
            self.assertNotIn("Cookie", text)
            self.assertNotIn("X-A", text)

    async def test_fuzzed_headers(self) -> None:
        """Arbitrary header names and values get an answer and leak no key."""
        text = st.text(
            st.characters(min_codepoint=1, max_codepoint=255), max_size=20
        )
        names = st.sampled_from(
            ("X-A", "Cookie", "authorization ", "Accept", "X\tB", "Via")
        )
        found: list[tuple[str, str]] = []

        @given(names | text, text)
        @stateful_settings.CI_SETTINGS
        def collect(name: str, value: str) -> None:
            found.append((name, value))

        collect()
        key = self.fleet.key(CALLER)
        for name, value in found:
            header = f"{name}: {value}{key}".encode("latin-1")
            data = (
                f"GET /services/{fleet_lib.PLAIN_SERVICE}/x HTTP/1.1\r\n"
                "Host: x\r\n"
                f"Authorization: Bearer {key}\r\nConnection: close\r\n"
            ).encode()
            status, _, _ = await send_raw(
                self.address, self.port, data + header + b"\r\n\r\n"
            )
            self.assertIn(status, (200, 400, 401, 429), header)
        self.assertFalse(
            [item for item in self.received() if KEY_PREFIX in item]
        )


class IdleTest(unittest.IsolatedAsyncioTestCase):
    """Connections that have sent no request."""

    async def test_idle_connections_are_closed(self) -> None:
        """Idle connections are closed above the limit in age or number."""
        bounds = limits.Bounds(head_ms=100, connections=1)
        served = server.HttpServer(
            "127.0.0.1", 0, [], limits.ResourceLimiter(bounds), 0
        )
        async with served:
            port = served.port
            first, _ = await asyncio.open_connection("127.0.0.1", port)
            second, _ = await asyncio.open_connection("127.0.0.1", port)
            await wait_until(lambda: served.connection_count() == 2)
            served.close_idle_connections(1000.0)
            await wait_until(lambda: served.connection_count() == 1)
            served.close_idle_connections(1101.0)
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                self.assertEqual(await first.read(), b"")
                self.assertEqual(await second.read(), b"")


class PathTest(unittest.TestCase):
    """Paths of plain services."""

    def test_ambiguous_paths_are_not_idempotent(self) -> None:
        """A path that a target may resolve to another is not idempotent."""
        service = lists.Service(
            id="s",
            kind=lists.ServiceKind.PLAIN,
            repeatable=(
                lists.RepeatableCall(method="POST", path_prefix="/find"),
            ),
        )
        for path, expected in (
            ("/find", True),
            ("/find/a?x=/../y", True),
            ("/find/.hidden", True),
            ("/find/..", False),
            ("/find/../deposits", False),
            ("/find/%2E%2e/deposits", False),
            ("/find/.%2e;x/deposits", False),
            ("/find/..%2fdeposits", False),
            ("/find//deposits", False),
            ("/find\\..\\deposits", False),
            ("/find%5c..", False),
            ("/deposits", False),
        ):
            with self.subTest(path=path):
                self.assertIs(service.is_idempotent("POST", path), expected)
        self.assertIs(service.is_idempotent("GET", "/find"), False)

    def test_target_path(self) -> None:
        """The part after the service's name is sent unchanged."""
        self.assertEqual(
            services.target_path("/services/s/a%2Fb?c"), "/a%2Fb?c"
        )
        self.assertIsNone(services.target_path("/x/../services/s/a"))
        self.assertIsNone(services.target_path("/services/s"))
