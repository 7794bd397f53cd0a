"""Common parts of the scripted cases: hosts, store, workers, requesters.

Hosts are the project's own program, started with the command and the template
of the deploy file, as processes of their own. Everything else are stand-ins in
the process of the case, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from tests.soak import store as soak_store  # noqa: E402

# `run.sh` turns these into its own exit codes: Python ends with 1 by itself, as
# when a library is missing, and that must not look like a broken rule.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# A script runs for 120 s at most.
LONGEST_S = 115.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
STABLE_S = 3.0
PARTITIONS = 12
HOST_NAME = "desk.example"
KEY = "key-one"
TENANT = "tenant-one"
BOUNDS = {
    "RevokeMs": 5000,
    "GraceS": 8,
    "QuotaWindowS": 5,
    "QuotaOvershoot": 0.1,
    "QuotaSlack": 20,
}
_BEGIN_S = time.monotonic()


def now_s() -> float:
    """Returns the time since the case began."""
    return time.monotonic() - _BEGIN_S


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")

    def __call__(self, text: str) -> None:
        """Writes a line with the time."""
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()


class Store(soak_store.SoakStore):
    """The platform's store; it can deal out all partitions anew at once."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed=seed)
        self._kept_s = 300.0
        # For each partition of the system's topics, when each record came.
        self._came_s: dict[tuple[str, int], list[float]] = {}

    def keep_for(self, kept_s: float) -> None:
        """Sets `RetentionS`, after which the oldest records expire."""
        self._kept_s = kept_s

    def _add(self, topic, number, records) -> None:
        added = list(records)
        super()._add(topic, number, added)
        if not topic.startswith("keyed."):
            came_s = self._came_s.setdefault((topic, number), [])
            came_s += [now_s()] * len(added)

    async def _read(self, request):
        self._expire()
        return await super()._read(request)

    def _expire(self) -> None:
        for (topic, number), came_s in self._came_s.items():
            partition = self._partition(topic, number)
            while came_s and now_s() - came_s[0] > self._kept_s:
                del came_s[0]
                del partition.records[0]
                partition.first += 1

    def deal_anew(self) -> None:
        """Reassigns all partitions at once, without any request."""
        for group in self._soak_groups.values():
            members = sorted(group.members)
            if not members:
                continue
            group.generation += 1
            group.rotation += 1
            group.successors.clear()
            for topic in group.topics:
                for number in range(self._partition_count):
                    owner = members[(number + group.rotation) % len(members)]
                    group.holders[(topic, number)] = owner

    def group_owners(self) -> dict[int, str]:
        """Returns the member that holds each partition."""
        return {
            number: holder.split("|")[0]
            for group in self._soak_groups.values()
            for (_, number), holder in group.holders.items()
        }


def free_ports(ip: str, count: int) -> list[int]:
    """Returns ports of a loopback address that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            bound = stack.enter_context(socket.socket())
            bound.bind((ip, 0))
            found.append(int(bound.getsockname()[1]))
        return found


def render(template: str, fields: dict) -> str:
    """Fills in a template for settings; knows the forms that it uses."""

    def value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        found: object = fields
        for part in name.split("."):
            found = found[int(part) if part.isdigit() else part]  # type: ignore[index]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Host:
    """One entry host as a process, started as the deploy file says."""

    def __init__(
        self, number: int, store_address: str, zone: str, folder: pathlib.Path
    ) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.0.0.{10 + number}"
        ports = free_ports(self.ip, 4)
        self.callers = (self.ip, ports[0])
        self.readiness = (self.ip, ports[1])
        self.hosts = (self.ip, ports[2])
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]
        self._fields = {
            "NodeName": self.name,
            "Zone": zone,
            "Ip": self.ip,
            "InternalPorts": [ports[2], ports[3]],
            "Listen": {
                "FrontendAddr": f"{self.ip}:{ports[0]}",
                "ReadinessAddr": f"{self.ip}:{ports[1]}",
            },
            "Platform": {"Address": store_address, "parts": PARTITIONS},
            # `RetentionS` is not passed on by the template.
            "Limits": {"CpuShare": 0.946, "Cores": 1},
            "Bounds": BOUNDS,
        }
        self._folder = folder
        self._settings = folder / f"{self.name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Writes the settings and starts the process."""
        template = (ROOT / self._role["template"]).read_text()
        self._settings.write_text(render(template, self._fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MANGOTALLY_NODE_FILE"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self._role["run"].split(),
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.process = None

    def log(self) -> str:
        """Returns what the process has logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def is_ready(self) -> bool:
        """Asks whether the host is ready."""
        answer = await send(
            self.readiness, "GET", "/readyz", {"Host": "x"}, limit_s=1.0
        )
        return answer.status == 200


class Answer:
    """What a requester saw of an answer.

    Attributes:
        status: The status, or 0 if there was none.
        headers: Headers by name in lower case.
        body: The body, without its framing.
        is_complete: Whether it ended as its framing says.
        error: Why it is not complete.
        raw: All bytes that were received.
        stray: Bytes inside the answer that are not part of its framing.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.raw = b""
        self.stray = b""


class _Reader:
    """Reads from a connection and keeps all bytes."""

    def __init__(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        self._reader = reader
        self._answer = answer

    async def line(self) -> bytes:
        found = await self._reader.readuntil(b"\r\n")
        self._answer.raw += found
        return found[:-2]

    async def exactly(self, size: int) -> bytes:
        found = await self._reader.readexactly(size)
        self._answer.raw += found
        return found

    async def rest(self) -> bytes:
        found = await self._reader.read(1 << 20)
        self._answer.raw += found
        return found


class Connection:
    """A requester's connection, which may be kept for several requests.

    Attributes:
        first: The task of its first request, if that is of use.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        self._streams = None
        self.first: asyncio.Task[Answer]

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        limit_s: float = 10.0,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Answer:
        """Sends a request and reads the answer."""
        answer = Answer()
        try:
            async with asyncio.timeout(limit_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address, limit=1 << 20
                    )
                reader, writer = self._streams
                head = f"{method} {path} HTTP/1.1\r\n"
                for name, value in headers.items():
                    head += f"{name}: {value}\r\n"
                if body or method == "POST":
                    head += f"Content-Length: {len(body)}\r\n"
                writer.write(head.encode() + b"\r\n" + body)
                on_sent()
                await _read_answer(_Reader(reader, answer), answer)
        except (
            OSError,
            EOFError,
            ValueError,
            asyncio.LimitOverrunError,
        ) as error:
            answer.error = answer.error or type(error).__name__
        if not answer.is_complete:
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    limit_s: float = 10.0,
    on_sent: Callable[[], None] = lambda: None,
) -> Answer:
    """Sends a request on a new connection and reads the answer."""
    connection = Connection(address)
    try:
        return await connection.send(
            method, path, headers, body, limit_s, on_sent
        )
    finally:
        connection.close()


async def _read_answer(reader: _Reader, answer: Answer) -> None:
    status_line = await reader.line()
    parts = status_line.split(b" ", 2)
    if not parts[0].startswith(b"HTTP/1.") or len(parts) < 2:
        answer.stray = status_line
        raise ValueError("no status line")
    answer.status = int(parts[1])
    while line := await reader.line():
        name, _, value = line.partition(b":")
        answer.headers[name.decode().lower()] = value.strip().decode()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        await _read_chunks(reader, answer)
    else:
        size = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.exactly(size)
    answer.is_complete = True


async def _read_chunks(reader: _Reader, answer: Answer) -> None:
    while True:
        line = await reader.line()
        if re.fullmatch(rb"[0-9A-Fa-f]+", line) is None:
            answer.stray = line + b"\r\n" + await reader.rest()
            raise ValueError("bytes that are no chunk")
        size = int(line, 16)
        answer.body += await reader.exactly(size)
        if await reader.exactly(2) != b"\r\n":
            raise ValueError("chunk without its end")
        if size == 0:
            return


class Received:
    """A request as a worker received it."""

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.headers.get("request-id", "")


class Reply:
    """Writes a worker's answer to one request."""

    def __init__(
        self, worker: Worker, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        self.worker = worker
        self.writer = writer
        self._request = request
        self._is_stream = False

    def head(self, status: int, **more: str) -> bytes:
        """Returns a head, without its end."""
        fields = {
            "Request-Id": self._request.id,
            "Instance-Id": self.worker.id,
            "Server-Load": f"{self.worker.running},0,{self.worker.slots}",
        } | {name.replace("_", "-"): value for name, value in more.items()}
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join(lines).encode() + b"\r\n"

    def whole(self, status: int, body: bytes, **more: str) -> None:
        """Sends a complete answer."""
        size = f"Content-Length: {len(body)}\r\n\r\n".encode()
        self.writer.write(self.head(status, **more) + size + body)

    def not_run(self, status: int = 503) -> None:
        """Rejects the request: it has not run."""
        self.whole(status, b"", Not_Executed="1")

    def begin_stream(self, stamp: str) -> None:
        """Sends the head of a stream."""
        self.writer.write(
            self.head(200, Server_Stamp=stamp, Content_Type="text/event-stream")
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )

    def event(self, number: int, data: str) -> None:
        """Sends an event."""
        text = f"id: {number}\ndata: {data}\n\n".encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def end_stream(self) -> None:
        """Ends a stream as complete."""
        self.writer.write(b"0\r\n\r\n")


Serve = Callable[["Worker", Received, Reply], Awaitable[None]]


class Worker:
    """A worker of a service, which registers itself in the store.

    Attributes:
        id: Its id, new for each start.
        running: Requests that it runs now.
        address: Where the hosts reach it.
        real: Where it listens.
        proxy: The proxy before it, or None.
    """

    def __init__(
        self, name: str, service: str, zone: str, store: Store, serve: Serve
    ) -> None:
        self.name = name
        self.service = service
        self.slots = 6
        self.version = "v1"
        self.id = ""
        self.running = 0
        self.address = ""
        self.real = ""
        self.proxy: Proxy | None = None
        self.starts = 0
        self._zone = zone
        self._store = store
        self._serve = serve
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._port = 0
        self._seq = 0
        self._born = 0
        self._beats: asyncio.Task[None] | None = None

    async def start(self, keep_id: bool = False) -> None:
        """Starts, with a new id unless told otherwise, and registers."""
        self.starts += 1
        if not keep_id:
            self.id = f"i-{self.name}-{self.starts}"
        self.running = 0
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self._port, limit=1 << 20
        )
        host, self._port = self._server.sockets[0].getsockname()
        self.real = f"{host}:{self._port}"
        self.address = self.proxy.address if self.proxy else self.real
        self._beats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """Ends as a killed process does: nothing is said to anybody."""
        assert self._server is not None
        self._server.close()
        self._server = None
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()
        current = asyncio.current_task()
        for task in list(self._tasks):
            if task is not current:
                task.cancel()

    def expire(self, target: str) -> None:
        """Removes an entry, as after three intervals of silence."""
        self._store.put("keyed.servers", target, None)

    def register(self) -> None:
        """Writes the entry in the store, if that is not down."""
        self._seq += 1
        if self._store.faults.refuse:
            return
        self._store.put(
            "keyed.servers",
            self.id,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self._zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Seq": self._seq,
                "born": self._born,
            },
        )

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if not await self._answer(request, reader, writer):
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        reply = Reply(self, request, writer)
        if request.headers.get("expect-instance", self.id) != self.id:
            reply.not_run(421)
            return True
        if request.path == "/healthz":
            reply.whole(200, b"")
            return True
        if self.running >= self.slots:
            reply.not_run()
            return True
        self.running += 1
        lifetime = self.starts
        try:
            work = asyncio.ensure_future(self._serve(self, request, reply))
            left = asyncio.ensure_future(reader.read(1))
            try:
                # A worker drops a request when its connection closes.
                await asyncio.wait(
                    {work, left}, return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    return False
                await work
            finally:
                work.cancel()
                left.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await left
            await writer.drain()
            return not writer.is_closing()
        finally:
            if lifetime == self.starts:
                self.running -= 1


async def _read_request(reader: asyncio.StreamReader) -> Received:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(method, path, headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    raw = writer.transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Proxy:
    """Forwards connections to an address, and resets them on demand.

    Attributes:
        address: Where it listens.
    """

    def __init__(self, to: Callable[[], str]) -> None:
        self._to = to
        self.address = ""
        self.pipes: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]]
        self.pipes = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._to().rpartition(":")
        try:
            there, to = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pipe = (writer, to)
        self.pipes.add(pipe)
        try:
            await asyncio.gather(_copy(reader, to), _copy(there, writer))
        except OSError:
            reset(writer)
            reset(to)
        finally:
            self.pipes.discard(pipe)
            writer.close()
            to.close()

    def reset_all(self) -> int:
        """Resets all connections, in both directions; returns how many."""
        pipes = list(self.pipes)
        for pair in pipes:
            for writer in pair:
                reset(writer)
        return len(pipes)


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


class Fleet:
    """The store, hosts and workers of a case; all end with its context."""

    def __init__(self, folder: pathlib.Path, hosts: int) -> None:
        self.record = Record(folder)
        self.store = Store(seed=1)
        self.hosts: list[Host] = []
        self.workers: list[Worker] = []
        self._count = hosts
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def __aenter__(self) -> Fleet:
        await self.store.start()
        return self

    async def start(self, configuration: dict, zones: list[str]) -> None:
        """Writes the configuration, starts workers and hosts."""
        self.store.put("keyed.op", "config", configuration)
        for worker in self.workers:
            await worker.start()
        address = self.store.url.removeprefix("http://")
        for number in range(self._count):
            zone = zones[number % len(zones)]
            host = Host(number, address, zone, self._folder)
            host.start()
            self.hosts.append(host)
        async with asyncio.timeout(40):
            for host in self.hosts:
                await _poll(host.is_ready)
            await _poll(self._has_homes)
        # The machines are in touch, and the homes are known to all of them.
        await asyncio.sleep(STABLE_S + 1.5)
        self.record("all hosts are ready")

    async def _has_homes(self) -> bool:
        return len(self.store.group_owners()) == PARTITIONS

    async def __aexit__(self, *_exc: object) -> None:
        for host in self.hosts:
            host.kill()
        for worker in self.workers:
            with contextlib.suppress(AssertionError):
                worker.crash()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


async def _poll(is_true: Callable[[], Awaitable[bool]]) -> None:
    """Waits until a condition holds."""
    for _ in range(400):
        if await is_true():
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("the condition did not come to hold")


def route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, **more
) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 250,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        "Retained": False,
        "RetentionS": 60.0,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    } | more


def configuration(
    routes: list[dict],
    services: list[str],
    tenants: list[dict] | None = None,
    version: int = 7,
) -> dict:
    """Returns a configuration; services with `llm` in the name are engines."""
    engine = {"Slots": 8, "KvCapacity": 139376, "TokensPerEvent": 14}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/healthz", "MaxConns": 257}
            | ({"Engine": engine} if "llm" in name else {})
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants or [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def request_headers(request_id: str, time_ms: int, **more: str) -> dict:
    """Returns the headers of a requester's request."""
    return {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Deadline-Ms": str(time_ms),
        "Authorization": f"Bearer {KEY}",
    } | {name.replace("_", "-"): value for name, value in more.items()}


def main(folder: str, case: Callable[[pathlib.Path], Awaitable[bool]]) -> None:
    """Runs a case, which returns whether the rule held, and exits.

    SIGTERM and SIGINT end the case and all processes that it started.
    """
    path = pathlib.Path(folder).resolve()
    try:
        is_held = asyncio.run(_run_case(path, case))
    except (Exception, asyncio.CancelledError) as error:
        with (path / "record.txt").open("a") as file:
            file.write(f"could not run: {error!r}\n")
        print(f"could not run: {error!r}")
        raise SystemExit(NOT_RUN) from error
    print("held" if is_held else "broken")
    raise SystemExit(HELD if is_held else BROKEN)


async def _run_case(
    path: pathlib.Path, case: Callable[[pathlib.Path], Awaitable[bool]]
) -> bool:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(LONGEST_S):
        return await case(path)
