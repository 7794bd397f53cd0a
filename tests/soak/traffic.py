"""The workload: callers that send programs of turns and single requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

import aiohttp
import yarl

from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.soak import oracle as oracle_lib
from tests.soak import workload
from tests.soak.workload import RequestKind

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from tests.soak import processes

REQUEST_DEADLINE_MS = 3000
MEAN_PAUSE_MS = 40.0
CHECK_INTERVAL_MS = 400.0
MAX_FAILED_CHECKS = 2
MAX_TURNS = 5
MAX_ATTEMPTS = 3
RETRY_MS = 200.0
# Token budgets, in turns of the maximum length; the last is never spent.
BUDGET_TURNS = (2, 4, 400)
CHANGE_HOST_PROBABILITY = 0.05
ABANDON_PROBABILITY = 0.02
# Of streams that may be resumed; most of them are then resumed.
BREAK_PROBABILITY = 0.15
# Of broken streams; the others are started again.
RESUME_PROBABILITY = 0.8
FOREIGN_PARENT_PROBABILITY = 0.03
OLD_KEY_PROBABILITY = 0.5
MEAN_LIMITED_PAUSE_MS = 20.0
_OK = 200
_BUDGET_SPENT = 402


class Balancer:
    """Checks which hosts are ready, as the platform's load balancer does."""

    def __init__(
        self, hosts: Sequence[processes.HostProcess], rng: random.Random
    ) -> None:
        """Creates a balancer for which no host is ready yet."""
        self.hosts = hosts
        self._rng = rng
        self._failed_checks = {each.name: MAX_FAILED_CHECKS for each in hosts}

    @property
    def ready(self) -> list[processes.HostProcess]:
        """The hosts that are ready for new connections."""
        return [each for each in self.hosts if self.is_ready(each)]

    def is_ready(self, host: processes.HostProcess) -> bool:
        """Whether a host is ready for new connections."""
        return self._failed_checks[host.name] < MAX_FAILED_CHECKS

    def choose(self) -> processes.HostProcess:
        """Returns a random ready host, or any host if none is ready."""
        return self._rng.choice(self.ready or list(self.hosts))

    async def run(self) -> None:
        """Checks all hosts periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(
            total=clock_lib.to_seconds(CHECK_INTERVAL_MS)
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._check(session, each) for each in self.hosts)
                )
                await asyncio.sleep(clock_lib.to_seconds(CHECK_INTERVAL_MS))

    async def _check(
        self, session: aiohttp.ClientSession, host: processes.HostProcess
    ) -> None:
        try:
            async with session.get(host.readiness_url) as response:
                is_ready = response.status == _OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_ready = False
        self._failed_checks[host.name] = (
            0 if is_ready else self._failed_checks[host.name] + 1
        )


class KeyPool:
    """The API keys of callers; those of one organisation are rotated."""

    def __init__(self, rng: random.Random) -> None:
        """Starts with the keys of the first configuration."""
        self._rng = rng
        self.rotating = [entry_fleet.OTHER_KEY]

    def choose(self) -> str:
        """Returns a random key, sometimes one that was withdrawn."""
        if self._rng.random() < 0.6:
            return entry_fleet.KEY
        if self._rng.random() < OLD_KEY_PROBABILITY:
            return self._rng.choice(self.rotating[-3:])
        return self.rotating[-1]


class Caller:
    """One caller, with its own persistent connections."""

    def __init__(
        self,
        oracle: oracle_lib.Oracle,
        balancer: Balancer,
        keys: KeyPool,
        rng: random.Random,
    ) -> None:
        """Creates a caller; entering it opens its HTTP session."""
        self._oracle = oracle
        self._balancer = balancer
        self._keys = keys
        self._rng = rng
        self._host: processes.HostProcess | None = None
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        wait_s = clock_lib.to_seconds(REQUEST_DEADLINE_MS)
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=wait_s + 1, sock_connect=1),
        )
        # Disable the retries of aiohttp: each request must be sent only once.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._session.close()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            if self._rng.random() < 0.3:
                await self._run_program()
            else:
                kind = self._rng.choice((RequestKind.LOOKUP, RequestKind.PAY))
                await self.send(self.make_attempt(kind, self._keys.choose()))
            await self._pause(MEAN_PAUSE_MS)

    async def run_over_limit(self) -> None:
        """Exceeds the rate limit of an organisation until cancelled."""
        while True:
            kind = self._rng.choice((RequestKind.LOOKUP, RequestKind.PAY))
            await self.send(self.make_attempt(kind, workload.LIMITED_KEY))
            await self._pause(MEAN_LIMITED_PAUSE_MS)

    def make_attempt(
        self,
        kind: RequestKind,
        key: str,
        program: oracle_lib.Program | None = None,
        parent: oracle_lib.Attempt | None = None,
        resumes: oracle_lib.Attempt | None = None,
    ) -> oracle_lib.Attempt:
        """Returns a new request, which is not sent yet."""
        number = next(self._oracle.numbers)
        attempt = oracle_lib.Attempt(
            id=f"r{number}",
            kind=kind,
            host="",
            key=key,
            method="POST",
            path=f"{kind.value}{number}?q=%2F",
            body=f"in-{number};".encode() * self._rng.randrange(1, 40),
            program=program,
            parent=parent,
            resumes=resumes,
        )
        if kind is RequestKind.LOOKUP and self._rng.random() < 0.5:
            attempt.method, attempt.body = "GET", b""
        return attempt

    def make_program(self, turns: int) -> oracle_lib.Program:
        """Returns a new program.

        Args:
            turns: Token budget, in turns of the maximum length.
        """
        program = oracle_lib.Program(
            f"p{next(self._oracle.numbers)}", turns * workload.MAX_TOKENS
        )
        self._oracle.programs.append(program)
        return program

    async def send(
        self,
        attempt: oracle_lib.Attempt,
        host: processes.HostProcess | None = None,
    ) -> None:
        """Sends a request, reads its response and reports to the oracle."""
        host = host or self._select_host()
        attempt.host = host.name
        probability = ABANDON_PROBABILITY
        if attempt.kind is RequestKind.QUERY:
            probability = BREAK_PROBABILITY
        abandons = self._rng.random() < probability
        limit_s = self._rng.uniform(0.0, 0.2) if abandons else None
        self._oracle.record_sent(attempt)
        body = b""
        try:
            async with asyncio.timeout(limit_s):
                body = await self._exchange(attempt, host)
            attempt.is_whole = True
        except TimeoutError:
            attempt.error = "timeout"
            attempt.is_abandoned = True
        except aiohttp.ClientConnectorError:
            attempt.error = "connect"
        except (aiohttp.ClientError, OSError) as error:
            attempt.error = repr(error)
        except BaseException:
            attempt.is_abandoned = True
            raise
        finally:
            self._oracle.record_end(attempt, body)
        if attempt.error or not self._balancer.is_ready(host):
            self._host = None

    def _select_host(self) -> processes.HostProcess:
        """Returns the host of the open connection, or sometimes another one."""
        if self._host is None or self._rng.random() < CHANGE_HOST_PROBABILITY:
            self._host = self._balancer.choose()
        return self._host

    async def _exchange(
        self, attempt: oracle_lib.Attempt, host: processes.HostProcess
    ) -> bytes:
        async with self._session.request(
            attempt.method,
            yarl.URL(host.url + attempt.path, encoded=True),
            data=attempt.body or None,
            headers=_headers(attempt),
        ) as response:
            attempt.status = response.status
            attempt.stamp = response.headers.get("Server-Stamp", "")
            if response.headers.get("Server-Leaving") == "1":
                self._oracle.record_leaving(attempt)
            answered_id = response.headers.get("Request-Id")
            if answered_id not in (attempt.id, None):
                self._oracle.add_finding(
                    "MIXED", attempt, f"answer to {answered_id}"
                )
            if not attempt.kind.is_stream or response.status != _OK:
                return await response.read()
            rest = b""
            async for chunk in response.content.iter_any():
                *events, rest = (rest + chunk).split(b"\n\n")
                self._oracle.record_events(attempt, events)
            return rest

    async def _run_program(self) -> None:
        """Runs turns that continue from earlier ones, some in parallel."""
        program = self.make_program(self._rng.choice(BUDGET_TURNS))
        key = self._keys.choose()
        kind = self._rng.choice(
            (RequestKind.TURN, RequestKind.TURN, RequestKind.QUERY)
        )
        served: list[oracle_lib.Attempt] = []
        for _ in range(self._rng.randrange(1, MAX_TURNS)):
            count = self._rng.choice((1, 1, 2))
            done = await asyncio.gather(
                *(
                    self._run_turn(kind, key, program, served)
                    for _ in range(count)
                )
            )
            served += [each for each in done if each is not None]
            if not all(done):
                return
            await self._pause(MEAN_PAUSE_MS)

    async def _run_turn(
        self,
        kind: RequestKind,
        key: str,
        program: oracle_lib.Program,
        served: list[oracle_lib.Attempt],
    ) -> oracle_lib.Attempt | None:
        """Runs a turn with retries; returns the served attempt, if any."""
        parent = None
        if kind is RequestKind.TURN and served:
            parent = self._rng.choice(served)
        resumes: oracle_lib.Attempt | None = None
        for _ in range(MAX_ATTEMPTS):
            attempt = self.make_attempt(kind, key, program, parent, resumes)
            if (
                parent is not None
                and self._rng.random() < FOREIGN_PARENT_PROBABILITY
            ):
                self._make_foreign(attempt)
            await self.send(attempt)
            if attempt.is_served:
                return attempt
            if attempt.status == _BUDGET_SPENT:
                return None
            resumes = self._choose_resumption(attempt)
            await self._pause(RETRY_MS)
        return None

    def _choose_resumption(
        self, failed: oracle_lib.Attempt
    ) -> oracle_lib.Attempt | None:
        """Returns the stream that the next request continues, or None."""
        if failed.kind is not RequestKind.QUERY or not failed.origin.received:
            return None
        if self._rng.random() > RESUME_PROBABILITY:
            return None
        # Retries reach other hosts.
        self._host = None
        return failed.origin

    def _make_foreign(self, attempt: oracle_lib.Attempt) -> None:
        """Changes the key to one of an organisation without the parent turn."""
        if attempt.key == entry_fleet.KEY:
            attempt.key = self._keys.rotating[-1]
        else:
            attempt.key = entry_fleet.KEY
        attempt.is_foreign = True

    async def _pause(self, mean_ms: float) -> None:
        pause_ms = self._rng.uniform(0.0, 2 * mean_ms)
        await asyncio.sleep(clock_lib.to_seconds(pause_ms))


def _headers(attempt: oracle_lib.Attempt) -> dict[str, str]:
    found = {
        "Host": entry_fleet.HOST,
        "Request-Id": attempt.id,
        "Deadline-Ms": str(REQUEST_DEADLINE_MS),
        "Authorization": f"Bearer {attempt.key}",
        "Tenant": "forged",
    }
    if attempt.program is not None:
        found |= {
            "Program-Id": attempt.program.id,
            "Session-Id": attempt.program.id,
            "Program-Deadline-Ms": "9000",
            "Token-Budget": str(attempt.program.budget),
            "Token-Usage": f"5,{workload.MAX_TOKENS}",
        }
    if attempt.parent is not None:
        found["Parent-Turn"] = attempt.parent.id
    if attempt.resumes is not None:
        found["Resumes"] = attempt.resumes.id
        found["Last-Event-Id"] = str(attempt.resumes.received)
    return found
