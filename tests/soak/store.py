"""The store as the soak runs it: hand-over of partitions, late writes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import Any

from aiohttp import web

from mangotally.platform import standin_store
from mangotally.util import clock as clock_lib

MAX_LATE_MS = 2500.0
_SEPARATOR = "|"
_Part = tuple[str, int]


@dataclasses.dataclass
class _Group:
    """Members, and partitions that wait for their former holder.

    Attributes:
        topics: Topics whose partitions are divided.
        generation: Grows with each change.
        members: When each member's silence lasts too long.
        holders: Who holds each partition.
        heirs: Who is to hold it, and since which generation.
        turn: Moves all partitions on to other members.
    """

    topics: tuple[str, ...]
    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    holders: dict[_Part, str] = dataclasses.field(default_factory=dict)
    heirs: dict[_Part, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    turn: int = 0


class SoakStore(standin_store.StandInStore):
    """A store whose groups hand partitions over as the platform's do.

    Attributes:
        late_append_fraction: Fraction of the appends that are executed
            late and not
            answered.
        aliases: Where hosts reach other hosts, by their own address.
    """

    def __init__(self, seed: int) -> None:
        """Makes an empty store."""
        super().__init__(seed=seed)
        self.late_append_fraction = 0.0
        self.aliases: dict[str, str] = {}
        self._own_groups: dict[str, _Group] = {}
        self._last_joined: dict[str, str] = {}
        self._changed: dict[_Part, asyncio.Event] = collections.defaultdict(
            asyncio.Event
        )
        self._late_tasks: set[asyncio.Task[Any]] = set()

    def rebalance(self) -> None:
        """Reassigns all partitions at once."""
        for group in self._own_groups.values():
            group.turn += 1
            self._assign(group)

    def heal(self) -> None:
        """Ends all faults."""
        self.faults = standin_store.Faults()
        self.late_append_fraction = 0.0

    async def _append(self, request: web.Request) -> web.Response:
        if self._random.random() >= self.late_append_fraction:
            return await super()._append(request)
        # The body is read now; the connection is gone when it is executed.
        await request.read()
        task = asyncio.create_task(self._append_late(request))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)
        assert request.transport is not None
        request.transport.abort()
        return web.Response(status=503)

    async def _append_late(self, request: web.Request) -> None:
        late_ms = self._random.uniform(0.0, MAX_LATE_MS)
        await asyncio.sleep(clock_lib.to_seconds(late_ms))
        await super()._append(request)

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        place = (query["Topic"], int(query["part"]))
        wait_ms = float(query.get("WaitMs", 0))
        if wait_ms and int(query["From"]) >= self._partition(*place).end:
            changed = self._changed[place]
            try:
                async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
                    await changed.wait()
            except TimeoutError:
                pass
        return await super()._read(_without_wait(request))

    def _add(self, topic: str, part: int, records: Any) -> None:
        super()._add(topic, part, records)
        self._changed.pop((topic, part), asyncio.Event()).set()

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._own_groups.setdefault(
            body["group"], _Group(tuple(body["Topics"]))
        )
        member = body["Member"]
        self._last_joined[request.remote or ""] = member
        is_new = member not in group.members
        group.members[member] = self._clock.now_ms() + body["TtlMs"]
        if self._drop_silent(group) or is_new:
            self._assign(group)
        self._hand_over(group, member, body["Generation"])
        parts = [
            [topic, part, 0]
            for (topic, part), holder in group.holders.items()
            if holder == member and (topic, part) not in group.heirs
        ]
        return web.json_response(
            {
                "Generation": group.generation,
                "TtlMs": body["TtlMs"],
                "parts": parts,
            }
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._own_groups.get(body["group"])
        if group is not None and group.members.pop(body["Member"], 0.0):
            self._assign(group)
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._own_groups.get(request.query["group"])
        # A host asks right after it has joined over the same way.
        asker = self._last_joined.get(request.remote or "", "")
        rows = [
            [topic, part, self._alias(holder, asker), 0]
            for (topic, part), holder in (
                group.holders if group else {}
            ).items()
        ]
        return web.json_response({"parts": rows})

    def _alias(self, member: str, asker: str) -> str:
        if not member or member == asker:
            return member
        host, address, domain = member.split(_SEPARATOR)
        return _SEPARATOR.join(
            (host, self.aliases.get(address, address), domain)
        )

    def _drop_silent(self, group: _Group) -> bool:
        now_ms = self._clock.now_ms()
        gone = [m for m, until in group.members.items() if until < now_ms]
        for member in gone:
            del group.members[member]
        return bool(gone)

    def _assign(self, group: _Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        for topic in group.topics:
            for part in range(self._partition_count):
                if not members:
                    group.holders.pop((topic, part), None)
                    group.heirs.pop((topic, part), None)
                    continue
                heir = members[(part + group.turn) % len(members)]
                self._bequeath(group, (topic, part), heir)

    def _bequeath(self, group: _Group, place: _Part, heir: str) -> None:
        """Names the next holder, who waits for one that may still live."""
        holder = group.holders.get(place)
        former = group.heirs.pop(place, None)
        if holder not in group.members:
            group.holders[place] = heir
        elif holder != heir:
            since = group.generation
            if former is not None:
                since = min(since, former[1])
            group.heirs[place] = (heir, since)

    def _hand_over(self, group: _Group, member: str, generation: int) -> None:
        """Passes on what a member has heard that it no longer holds."""
        released = [
            place
            for place, (_, since) in group.heirs.items()
            if group.holders[place] == member and generation >= since
        ]
        for place in released:
            group.holders[place], _ = group.heirs.pop(place)
        if released:
            group.generation += 1


def _without_wait(request: web.Request) -> web.Request:
    query = request.rel_url.query.copy()
    query.pop("WaitMs", None)
    return request.clone(rel_url=request.rel_url.with_query(query))
