"""Stand-in of the platform's store, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import random
import struct
from typing import TYPE_CHECKING, Any

from aiohttp import web

from mangotally.platform import store
from mangotally.standins import faults as faults_lib
from mangotally.standins import server
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")
_POLL_MS = 5
_FOREVER_S = 3600.0


@dataclasses.dataclass
class Faults:
    """Faults that the store injects.

    Attributes:
        refuse: Answer every call with status 503.
        hang: Never answer a call.
        lose_answers: Fraction of the writes that are carried out without
            an answer.
        delay_ms: Delay before each answer.
    """

    refuse: bool = False
    hang: bool = False
    lose_answers: float = 0.0
    delay_ms: float = 0.0


@dataclasses.dataclass
class _Partition:
    first: int = 0
    records: list[bytes] = dataclasses.field(default_factory=list)
    latest: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclasses.dataclass
class _Group:
    topics: tuple[str, ...]
    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    owners: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)


class StandInStore(server.StandIn):
    """Topics, keyed records and consumer groups in memory."""

    def __init__(
        self, partitions: int = 12, seed: int = 0, port: int = 0
    ) -> None:
        """Creates an empty store.

        Args:
            partitions: Number of partitions of a topic.
            seed: Seed for the choice of lost answers.
            port: Port to listen at, or 0 for a free one.
        """
        super().__init__(port=port)
        self.faults = Faults()
        self.calls = 0
        self._partition_count = partitions
        self._random = random.Random(seed)
        self._clock = clock_lib.SystemClock()
        self._topics: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application(middlewares=[self._inject_faults])
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        app.router.add_post("/log-join", self._join)
        app.router.add_post("/log-leave", self._leave)
        app.router.add_get("/log-owners", self._owners)
        faults_lib.add_routes(app, lambda: self.faults)
        return app

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record of a keyed topic; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._add(topic, 0, [store.keyed_bytes(key, data)])

    def trim(self, topic: str, number: int = 0) -> None:
        """Deletes a partition's records, but keeps the latest of each key."""
        partition = self._partition(topic, number)
        partition.first = partition.end
        partition.records.clear()

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path == faults_lib.PATH:
            return await handler(request)
        self.calls += 1
        if self.faults.hang:
            await asyncio.sleep(_FOREVER_S)
        if self.faults.refuse:
            return web.Response(status=503)
        await asyncio.sleep(clock_lib.to_seconds(self.faults.delay_ms))
        response = await handler(request)
        is_write = request.method == "POST"
        if is_write and self._random.random() < self.faults.lose_answers:
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _append(self, request: web.Request) -> web.Response:
        query = request.query
        topic, number = query["Topic"], int(query["part"])
        partition = self._partition(topic, number)
        records = list(_split(await request.read()))
        if "At" in query and int(query["At"]) != partition.end:
            return web.json_response({"EndOffset": partition.end}, status=412)
        offset = partition.end
        self._add(topic, number, records)
        return web.json_response({"Offset": offset, "EndOffset": partition.end})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        partition = self._partition(query["Topic"], int(query["part"]))
        first = int(query["From"])
        wait_ms = float(query.get("WaitMs", 0))
        for _ in range(int(wait_ms / _POLL_MS)):
            if first < partition.end:
                break
            await asyncio.sleep(clock_lib.to_seconds(_POLL_MS))
        if first < partition.first:
            return web.json_response(
                {"FirstOffset": partition.first}, status=410
            )
        max_bytes = int(query.get("MaxKb", 1024)) * 1024
        body = _ENDS.pack(partition.end, partition.first)
        for record in partition.records[first - partition.first :]:
            chunk = _LENGTH.pack(len(record)) + record
            if len(body) > _ENDS.size and len(body) + len(chunk) > max_bytes:
                break
            body += chunk
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        partition = self._partition(request.query["Topic"], 0)
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in partition.latest.items()
        ]
        return web.json_response(
            {"items": items, "More": False, "EndOffset": partition.end}
        )

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.setdefault(
            body["group"], _Group(tuple(body["Topics"]))
        )
        member = body["Member"]
        is_new = member not in group.members
        group.members[member] = self._clock.now_ms() + body["TtlMs"]
        if self._remove_expired(group) or is_new:
            self._rebalance(group)
        rows = [
            [topic, number, 0]
            for (topic, number), owner in group.owners.items()
            if owner == member
        ]
        return web.json_response(
            {
                "Generation": group.generation,
                "TtlMs": body["TtlMs"],
                "parts": rows,
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._groups.get(body["group"])
        if group is not None and group.members.pop(body["Member"], 0.0):
            self._rebalance(group)
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._groups.get(request.query["group"])
        rows = [
            [topic, number, owner, 0]
            for (topic, number), owner in (
                group.owners if group else {}
            ).items()
        ]
        return web.json_response({"parts": rows})

    def _remove_expired(self, group: _Group) -> bool:
        now_ms = self._clock.now_ms()
        expired = [m for m, until in group.members.items() if until < now_ms]
        for member in expired:
            del group.members[member]
        return bool(expired)

    def _rebalance(self, group: _Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        group.owners = {
            (topic, number): members[number % len(members)] if members else ""
            for topic in group.topics
            for number in range(self._partition_count)
        }

    def _add(self, topic: str, number: int, records: Iterable[bytes]) -> None:
        partition = self._partition(topic, number)
        for record in records:
            if topic.startswith("keyed."):
                found = store.keyed(record)
                partition.latest.pop(found.key, None)
                if found.value:
                    partition.latest[found.key] = (partition.end, found.value)
            partition.records.append(record)

    def _partition(self, topic: str, number: int) -> _Partition:
        return self._topics.setdefault((topic, number), _Partition())


def _split(body: bytes) -> Iterable[bytes]:
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + length]
        position += length
