"""Stand-ins and helpers for the scripts of the second review.

Standard library only. A script starts the entry hosts with the command and
the settings template of the deploy file; the store, the targets and the
callers are the small ones in this module, which follow the users' pages.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any
from urllib import parse as urls

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

HOST = "desk.example"
KEY = "key-of-the-organisation"
ORGANISATION = "org-1"
MODEL = "model"
DESK = "desk"
TOKENS_PER_EVENT = 14
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152

# ---------------------------------------------------------------- HTTP


@dataclasses.dataclass
class Request:
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        return dict(urls.parse_qsl(self.target.partition("?")[2]))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers, names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    until_close: bool = False,
) -> bytes:
    """Returns a body; raises `IncompleteReadError` if it is cut off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpStandIn:
    """A small HTTP/1.1 server on a loopback address."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address for clients."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops to listen, and resets all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the complete answer to a request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.answer(
                    Request(method, target, headers, body), writer
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def send_json(writer: asyncio.StreamWriter, status: int, value: Any) -> None:
    """Sends a JSON answer."""
    body = json.dumps(value).encode()
    send_bytes(writer, status, body, "application/json")


def send_bytes(
    writer: asyncio.StreamWriter, status: int, body: bytes, kind: str
) -> None:
    """Sends an answer."""
    headers = {"Content-Type": kind, "Content-Length": str(len(body))}
    writer.write(head(status, headers) + body)


# ---------------------------------------------------------------- store

_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")


@dataclasses.dataclass
class Partition:
    """Records with the time of their append; the oldest ones expire."""

    first: int = 0
    records: list[tuple[float, bytes]] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)


@dataclasses.dataclass
class Group:
    """A group; a partition passes on once its holder knows, or is gone."""

    topics: list[str]
    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    holders: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
    wanted: dict[tuple[str, int], tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    rotation: int = 0


class Store(HttpStandIn):
    """The platform's store: topics, keyed topics and groups.

    Attributes:
        retention_s: Records of other than keyed topics expire after this time.
        appended: Number of records by topic.
        is_busy: Whether all calls get 503, which means that nothing was done.
    """

    def __init__(self, retention_s: float = 300.0, partitions: int = 12):
        super().__init__()
        self.retention_s = retention_s
        self.partitions = partitions
        self.is_busy = False
        self.topics: dict[tuple[str, int], Partition] = {}
        self.groups: dict[str, Group] = {}
        self.appended: dict[str, int] = {}

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a keyed record; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self._append(topic, 0, [bytes([len(name)]) + name + data])

    def reassign_all(self) -> None:
        """Reassigns all partitions of all groups at once."""
        for group in self.groups.values():
            group.rotation += 1
            group.generation += 1
            self._deal(group)
            for partition, (member, _) in group.wanted.items():
                group.holders[partition] = member
            group.wanted.clear()

    def first_kept(self, topic: str, number: int) -> int:
        """Returns the oldest offset that is still stored."""
        return self._partition(topic, number).first

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a call to the store."""
        await asyncio.sleep(0.002)
        if self.is_busy:
            send_json(writer, 503, {})
            return
        match request.path:
            case "/log-append":
                self._answer_append(request, writer)
            case "/log-read":
                await self._answer_read(request, writer)
            case "/log-newest":
                self._answer_newest(request, writer)
            case "/log-join":
                self._answer_join(request, writer)
            case "/log-leave":
                body = json.loads(request.body)
                group = self.groups.get(body["group"])
                if group and group.members.pop(body["Member"], None):
                    self._reassign(group)
                send_json(writer, 200, {})
            case "/log-owners":
                self._answer_owners(request, writer)
            case _:
                send_json(writer, 404, {})

    def _partition(self, topic: str, number: int) -> Partition:
        found = self.topics.setdefault((topic, number), Partition())
        if not topic.startswith("keyed."):
            oldest = time.monotonic() - self.retention_s
            expired = 0
            while (
                expired < len(found.records)
                and found.records[expired][0] < oldest
            ):
                expired += 1
            del found.records[:expired]
            found.first += expired
        return found

    def _append(self, topic: str, number: int, records: list[bytes]) -> None:
        found = self._partition(topic, number)
        for record in records:
            if topic.startswith("keyed."):
                size = record[0]
                key = record[1 : 1 + size].decode()
                found.newest.pop(key, None)
                if record[1 + size :]:
                    found.newest[key] = (found.end, record[1 + size :])
            found.records.append((time.monotonic(), record))
        self.appended[topic] = self.appended.get(topic, 0) + len(records)
        found.changed.set()
        found.changed = asyncio.Event()

    def _answer_append(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        topic, number = request.query["Topic"], int(request.query["part"])
        records, position = [], 0
        while position < len(request.body):
            (size,) = _LENGTH.unpack_from(request.body, position)
            position += _LENGTH.size
            records.append(request.body[position : position + size])
            position += size
        if (
            any(len(each) > RECORD_BYTES for each in records)
            or sum(map(len, records)) > CALL_BYTES
        ):
            send_json(writer, 413, {})
            return
        found = self._partition(topic, number)
        at = request.query.get("At")
        if at is not None and int(at) != found.end:
            send_json(writer, 412, {"EndOffset": found.end})
            return
        offset = found.end
        self._append(topic, number, records)
        send_json(writer, 200, {"Offset": offset, "EndOffset": found.end})

    async def _answer_read(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        query = request.query
        topic, number = query["Topic"], int(query["part"])
        first = int(query["From"])
        found = self._partition(topic, number)
        wait_s = min(30.0, int(query.get("WaitMs", 0)) / 1000)
        if wait_s and first >= found.end:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(found.changed.wait(), wait_s)
            found = self._partition(topic, number)
        if first < found.first:
            send_json(writer, 410, {"FirstOffset": found.first})
            return
        body = _ENDS.pack(found.end, found.first)
        max_bytes = int(query.get("MaxKb", 1024)) * 1024
        for _, record in found.records[first - found.first :]:
            piece = _LENGTH.pack(len(record)) + record
            if len(body) > _ENDS.size and len(body) + len(piece) > max_bytes:
                break
            body += piece
        send_bytes(writer, 200, body, "application/octet-stream")

    def _answer_newest(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        found = self._partition(request.query["Topic"], 0)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in found.newest.items()
        ]
        answer = {"items": items, "More": False, "EndOffset": found.end}
        send_json(writer, 200, answer)

    def _answer_join(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        body = json.loads(request.body)
        group = self.groups.setdefault(body["group"], Group(body["Topics"]))
        member, now = body["Member"], time.monotonic()
        is_new = member not in group.members
        group.members[member] = now + body["TtlMs"] / 1000
        if self._drop_expired(group) or is_new:
            self._reassign(group)
        self._pass_on(group, member, body["Generation"])
        parts = [
            [topic, number, 0]
            for (topic, number), holder in group.holders.items()
            if holder == member and (topic, number) not in group.wanted
        ]
        answer = {
            "Generation": group.generation,
            "TtlMs": body["TtlMs"],
            "parts": parts,
        }
        send_json(writer, 200, answer)

    def _answer_owners(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        group = self.groups.get(request.query["group"])
        if group and self._drop_expired(group):
            self._reassign(group)
        rows = [
            [topic, number, holder, 0]
            for (topic, number), holder in (
                group.holders.items() if group else ()
            )
        ]
        send_json(writer, 200, {"parts": rows})

    def _drop_expired(self, group: Group) -> bool:
        now = time.monotonic()
        expired = [each for each, at in group.members.items() if at < now]
        for each in expired:
            del group.members[each]
        return bool(expired)

    def _reassign(self, group: Group) -> None:
        group.generation += 1
        self._deal(group)

    def _deal(self, group: Group) -> None:
        members = sorted(group.members)
        for topic in group.topics:
            for number in range(self.partitions):
                key = (topic, number)
                holder = group.holders.get(key)
                group.wanted.pop(key, None)
                if not members:
                    group.holders.pop(key, None)
                    continue
                chosen = members[(number + group.rotation) % len(members)]
                if holder not in group.members:
                    group.holders[key] = chosen
                elif holder != chosen:
                    group.wanted[key] = (chosen, group.generation)

    def _pass_on(self, group: Group, member: str, generation: int) -> None:
        ready = [
            key
            for key, (_, since) in group.wanted.items()
            if group.holders.get(key) == member and generation >= since
        ]
        for key in ready:
            group.holders[key], _ = group.wanted.pop(key)
        if ready:
            group.generation += 1


# ---------------------------------------------------------------- targets


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a target has run."""

    at_s: float
    target: str
    request: str
    path: str
    body: bytes
    headers: dict[str, str]


class Target(HttpStandIn):
    """A sound target: answers at once, streams for turns.

    Attributes:
        runs: What it has run.
        is_up: Whether its process runs, and so writes its entry.
    """

    _stamps = itertools.count(1)

    def __init__(
        self, name: str, service: str, events: int = 5, slots: int = 8
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.events = events
        self.slots = slots
        self.version = "v1"
        self.event_s = 0.01
        self.extra_headers: dict[str, str] = {}
        self.is_up = True
        self.runs: list[Run] = []
        self.state = "ready"
        self._seq = itertools.count(1)
        self._born_ms = int(time.time() * 1000)

    def entry(self) -> dict[str, Any]:
        """Returns what the target writes to the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-1",
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": next(self._seq),
            "born": self._born_ms,
        }

    def event_data(self, request: str, number: int) -> bytes:
        """Returns the data of an event of a stream."""
        return f"{request}-token-{number}".encode()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Runs a request, unless it is for another target."""
        name = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            headers = {"Instance-Id": self.name, "Content-Length": "0"}
            writer.write(head(421, headers))
            return
        self.runs.append(
            Run(
                time.monotonic(),
                self.name,
                name,
                request.target,
                request.body,
                request.headers,
            )
        )
        headers = {
            "Request-Id": name,
            "Server-Stamp": f"{self.name}.{next(self._stamps)}",
            "Server-Load": f"1,0,{self.slots}",
            **self.extra_headers,
        }
        if "token-usage" in request.headers:
            await self._stream(request, name, headers, writer)
            return
        await asyncio.sleep(self.event_s)
        body = f"answer to {name}".encode()
        headers["Content-Length"] = str(len(body))
        writer.write(head(200, headers) + body)

    async def _stream(
        self,
        request: Request,
        name: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(head(200, headers))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            data = self.event_data(name, number)
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# ---------------------------------------------------------------- callers


@dataclasses.dataclass
class Answer:
    """What a caller got; status 0 is a connection without an answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended_s: float = 0.0

    @property
    def events(self) -> list[bytes]:
        """Data of the complete events."""
        found = []
        for text in self.body.split(b"\n\n")[:-1]:
            lines = text.split(b"\n")
            data = [each[6:] for each in lines if each.startswith(b"data: ")]
            found.append(b"\n".join(data))
        return found


async def _read_what_comes(
    reader: asyncio.StreamReader, answer: Answer
) -> None:
    chunked = answer.headers.get("transfer-encoding", "").lower() == "chunked"
    if not chunked:
        answer.body = await read_body(reader, answer.headers, True)
        answer.is_whole = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            answer.is_whole = True
            return
        answer.body += chunk[:-2]


async def ask(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Sends one request on a new connection."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            await _read_what_comes(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.ended_s = time.monotonic()
    return answer


# ---------------------------------------------------------------- hosts


def free_port() -> int:
    """Returns a loopback port that was free a moment ago."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return int(bound.getsockname()[1])


def _fill(template: str, values: dict[str, Any]) -> str:
    """Fills a settings template as the platform does."""

    def value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        found: Any = values
        for step in name.split("."):
            found = found[int(step)] if step.isdigit() else found[step]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Host:
    """One entry host as a process of its own."""

    def __init__(
        self,
        name: str,
        store: str,
        folder: pathlib.Path,
        limits: dict[str, Any],
    ) -> None:
        self.name = name
        ports = [free_port() for _ in range(4)]
        self.port, self._ready_port = ports[0], ports[1]
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = role["roles"]["entry"]["run"].split()
        template = (ROOT / role["roles"]["entry"]["template"]).read_text()
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        filled = _fill(
            template,
            {
                "NodeName": name,
                "Zone": "zone-1",
                "Ip": "127.0.0.1",
                "InternalPorts": ports[2:],
                "Listen": {
                    "FrontendAddr": f"127.0.0.1:{ports[0]}",
                    "ReadinessAddr": f"127.0.0.1:{ports[1]}",
                },
                "Platform": {"Address": store, "parts": 12},
                "Limits": {
                    "CpuShare": 0.946,
                    "Cores": 1,
                    "MemoryMb": 310,
                    "MaxFds": 8200,
                    **limits,
                },
                "Bounds": {
                    "RevokeMs": 5000,
                    "GraceS": 8,
                    "QuotaWindowS": 5,
                    "QuotaOvershoot": 0.1,
                    "QuotaSlack": 20,
                },
            },
        )
        self._settings.write_text(filled)
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process, as the deploy file says."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MANGOTALLY_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process."""
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.is_running:
            self.send(signal.SIGKILL)
            await self.wait()

    async def is_ready(self) -> bool:
        """Returns whether the host says that it is ready."""
        answer = await ask(self._ready_port, "GET", "/readyz", {}, b"", 1.0)
        return answer.status == 200

    def log_text(self) -> str:
        """Returns what the process has logged."""
        return self._log.read_text(errors="replace")


async def wait_until(
    check: Callable[[], Awaitable[bool]], timeout_s: float
) -> bool:
    """Waits for a condition; returns whether it came true in time."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if await check():
            return True
        await asyncio.sleep(0.1)
    return False


# ---------------------------------------------------------------- scripts


class CannotRunError(Exception):
    """The case could not be run."""


def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    service = MODEL if kind == "streaming" else DESK
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 250,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        "Retained": False,
        "Public": False,
        "Sticky": kind == "streaming",
        "Resumable": False,
    } | more


def configuration(
    routes: list[dict[str, Any]], version: int = 7, **tenant: Any
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    engine = {
        "Slots": 8,
        "KvCapacity": 139_376,
        "KvBytes": 18_432,
        "LinkMbps": 550_000.0,
        "TokensPerEvent": TOKENS_PER_EVENT,
    }
    plain = {"HealthPath": "/healthz", "Protocol": "h1", "Tls": False}
    organisation = {"Name": ORGANISATION, "ApiKeys": [KEY], "Priority": 1}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": MODEL, "MaxConns": 350, "Engine": engine, **plain},
            {"Name": DESK, "MaxConns": 257, **plain},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [organisation | tenant],
    }


class Deployment:
    """A store, targets and entry hosts; ends all of them when left."""

    def __init__(
        self,
        folder: pathlib.Path,
        store: Store,
        targets: list[Target],
        hosts: int,
        settings: dict[str, Any],
        host_class: type[Host] = Host,
        limits: dict[str, Any] | None = None,
    ) -> None:
        """Creates a deployment that has not been started.

        Args:
            folder: Folder of the case, for its record.
            store: The store.
            targets: The targets.
            hosts: Number of entry hosts.
            settings: The configuration that the operator writes.
            host_class: Class of the hosts.
            limits: Limits of the machines, where they differ.
        """
        self._record = (folder / "record.txt").open("w")
        self._begin_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[None]] = []
        self.store = store
        self.targets = targets
        self.settings = settings
        self.host_count = hosts
        self.hosts: list[Any] = []
        self._host_class = host_class
        self._limits = limits or {}

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(
            f"{time.monotonic() - self._begin_s:8.3f} s  {text}\n"
        )
        self._record.flush()

    async def __aenter__(self) -> Deployment:
        await self.store.start()
        self.store.put("keyed.op", "config", self.settings)
        for target in self.targets:
            await target.start()
        self._tasks.append(asyncio.create_task(self._beat()))
        folder = pathlib.Path(self._temporary.name)
        for number in range(self.host_count):
            host = self._host_class(
                f"edge-{number + 1}", self.store.address, folder, self._limits
            )
            self.hosts.append(host)
            await host.start()
        await self.wait_ready()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            with contextlib.suppress(ProcessLookupError):
                await host.kill()
        for each in (self.store, *self.targets):
            await each.stop()
        self._record.close()
        self._temporary.cleanup()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all hosts that run are ready."""

        async def all_ready() -> bool:
            return all([await each.is_ready() for each in self.hosts])

        if not await wait_until(all_ready, timeout_s):
            for host in self.hosts:
                self.note(f"log of {host.name}: {host.log_text()[-2000:]}")
            raise CannotRunError("the hosts were not ready in time")

    async def _beat(self) -> None:
        """Writes the entries of the targets, as these do."""
        while True:
            for target in self.targets:
                if target.is_up and not self.store.is_busy:
                    self.register(target)
            await asyncio.sleep(1.2)

    def register(self, target: Target) -> None:
        """Writes the entry of a target to the store."""
        self.store.put("keyed.servers", target.name, target.entry())

    def runs_of(self, request: str) -> list[Run]:
        """Returns the runs of a request at all targets."""
        found = [
            run
            for target in self.targets
            for run in target.runs
            if run.request == request
        ]
        return sorted(found, key=lambda run: run.at_s)


def main(case: Callable[[], Awaitable[int]]) -> None:
    """Runs a case; exits with its result.

    SIGTERM, which a time-out sends, ends the case and all its processes.
    """

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await case()
        except asyncio.CancelledError:
            raise CannotRunError("ended by a signal") from None

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
