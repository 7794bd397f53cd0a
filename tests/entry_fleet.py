"""Test fixture: entry hosts, a store and workers in one process."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import socket
from typing import TYPE_CHECKING, Any, Self

import aiohttp

from mangotally.entry import application
from mangotally.platform import standin_store, standin_worker
from mangotally.settings import entry as entry_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "desk.example"
KEY = "key-1"
OTHER_KEY = "key-2"
ORGANISATION = "org-1"
CHAT = "/chat/"
QUERY = "/query/"
TALK = "/talk/"
LOOKUP = "/lookup/"
PAY = "/pay/"
MODEL = "model"
DESK = "desk"
EVENT_TOKENS = 10
_PORT_ATTEMPTS = 5
_POLL_S = 0.01


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration in the format that operators write."""
    base = {
        "Version": version,
        "Routes": [
            _route("chat", CHAT, "streaming", MODEL, Retained=True),
            _route("query", QUERY, "streaming", MODEL, Resumable=True),
            _route(
                "talk", TALK, "streaming", MODEL, Retained=True, Resumable=True
            ),
            _route("lookup", LOOKUP, "idempotent", DESK),
            _route("pay", PAY, "non_idempotent", DESK),
        ],
        "Services": [
            {
                "Name": MODEL,
                "HealthPath": "/h",
                "MaxConns": 99,
                "Engine": {
                    "Slots": 4,
                    "KvCapacity": 1000,
                    "TokensPerEvent": EVENT_TOKENS,
                },
            },
            {"Name": DESK, "HealthPath": "/h", "MaxConns": 99},
        ],
        "Limits": {"MaxBodyBytes": 100_000},
        "Tenants": [
            {"Name": ORGANISATION, "ApiKeys": [KEY]},
            {"Name": "org-2", "ApiKeys": [OTHER_KEY]},
        ],
    }
    return base | changes


def free_port() -> int:
    """Returns a loopback port that was free a moment ago."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return int(bound.getsockname()[1])


class EntryFleet:
    """Starts all components when entered, and stops them in order."""

    def __init__(self, hosts: int = 2, models: int = 2, desks: int = 2) -> None:
        self.store = standin_store.StandInStore()
        self.models = [
            standin_worker.StandInWorker(f"m{n}", MODEL) for n in range(models)
        ]
        self.desks = [
            standin_worker.StandInWorker(f"d{n}", DESK) for n in range(desks)
        ]
        self.bounds = entry_settings.Bounds(withdrawn_key_ms=2500, grace_s=2)
        self.hosts: list[application.Application] = []
        self.urls: list[str] = []
        self._count = hosts
        self._ids = itertools.count(1)
        self._stacks: list[contextlib.AsyncExitStack] = []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        enter = self._stack.enter_async_context
        await enter(self.store)
        self.store.put("keyed.op", "config", configuration())
        for worker in (*self.models, *self.desks):
            await enter(worker)
            self.store.put("keyed.servers", worker.name, worker.registration())
        self.session = await enter(aiohttp.ClientSession())
        for number in range(self._count):
            await self.add_host(f"h{number}")
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for stack in self._stacks:
            await stack.aclose()
        await self._stack.aclose()

    async def add_host(self, name: str) -> application.Application:
        """Starts a host."""
        for _ in range(_PORT_ATTEMPTS):
            try:
                return await self._start_host(name)
            except OSError as error:
                # Another process has taken one of the ports meanwhile.
                if error.errno != errno.EADDRINUSE:
                    raise
        raise TimeoutError("no free ports after the allowed attempts")

    async def _start_host(self, name: str) -> application.Application:
        settings = entry_settings.EntrySettings(
            host=name,
            failure_domain="z1",
            listen=entry_settings.Listen(
                callers=f"127.0.0.1:{free_port()}",
                readiness=f"127.0.0.1:{free_port()}",
                hosts=f"127.0.0.1:{free_port()}",
                metrics=f"127.0.0.1:{free_port()}",
            ),
            store=entry_settings.Store(
                address=self.store.url.removeprefix("http://")
            ),
            bounds=self.bounds,
        )
        stack = contextlib.AsyncExitStack()
        host = await stack.enter_async_context(
            application.Application(settings)
        )
        self._stacks.append(stack)
        self.hosts.append(host)
        self.urls.append(f"http://{settings.listen.callers}")
        return host

    async def stop_host(self, number: int) -> None:
        """Stops a host as planned; it stays in the list of hosts."""
        await self._stacks[number].aclose()

    async def wait_until_ready(self) -> None:
        """Waits until every key has a home and every host is ready."""
        await wait_for(lambda: all(host.is_ready for host in self.hosts))
        await asyncio.sleep(1.0)

    async def call(
        self,
        path: str,
        host: int = 0,
        method: str = "POST",
        key: str | None = KEY,
        body: bytes = b"in",
        **headers: str,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Returns status, body and headers of an answer.

        Args:
            path: Path and query.
            host: Index of the entry host.
            method: HTTP method.
            key: The caller's API key, or None.
            body: Body of the request.
            headers: Further headers, with underscores in place of hyphens.
        """
        sent = {
            "Host": HOST,
            "Request-Id": f"r{next(self._ids)}",
            "Deadline-Ms": "3000",
        }
        sent |= {each.replace("_", "-"): v for each, v in headers.items()}
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        async with self.session.request(
            method, self.urls[host] + path, data=body, headers=sent
        ) as response:
            data = await response.read()
            return response.status, data, dict(response.headers)

    async def turn(
        self,
        path: str = CHAT,
        host: int = 0,
        key: str = KEY,
        body: bytes = b"in",
        **headers: str,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Runs a turn; see `call`."""
        defaults = {
            "Program_Id": "p1",
            "Token_Budget": "1000",
            "Token_Usage": "5,50",
            "Program_Deadline_Ms": "5000",
        }
        return await self.call(
            path, host, key=key, body=body, **(defaults | headers)
        )

    def runs(self) -> list[standin_worker.ExecutedRequest]:
        """Returns the requests that the workers have run."""
        workers = (*self.models, *self.desks)
        return [run for worker in workers for run in worker.executed]


async def wait_for(
    condition: Callable[[], Any], timeout_s: float = 5.0
) -> None:
    """Waits until a condition is true."""
    for _ in range(int(timeout_s / _POLL_S)):
        if condition():
            return
        await asyncio.sleep(_POLL_S)
    raise TimeoutError("the condition did not become true in time")


def _route(
    name: str, prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        "RetentionS": 60.0,
    } | more


def with_fleet(test: Callable[..., Awaitable[None]]) -> Any:
    """Decorates a test method to be called with a fleet of two hosts."""

    async def run(case: Any) -> None:
        async with EntryFleet() as fleet:
            await test(case, fleet)

    run.__doc__ = test.__doc__
    run.__name__ = test.__name__
    return run
