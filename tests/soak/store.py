"""The stand-in store, with cooperative rebalancing and late appends."""

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
_PartitionKey = tuple[str, int]


@dataclasses.dataclass
class _Group:
    """A consumer group.

    A partition whose holder is still a member passes to its successor only
    after the holder has learned of the change.

    Attributes:
        topics: Topics whose partitions are assigned to the members.
        generation: Increases with each change of the assignment.
        members: When the membership of each member expires.
        holders: The member that holds each partition.
        successors: The next holder of a partition, and the generation in
            which it was chosen.
        rotation: Offset that moves all partitions to other members.
    """

    topics: tuple[str, ...]
    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    holders: dict[_PartitionKey, str] = dataclasses.field(default_factory=dict)
    successors: dict[_PartitionKey, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    rotation: int = 0


class SoakStore(standin_store.StandInStore):
    """A store whose groups hand over partitions as the platform's store does.

    Attributes:
        late_append_fraction: Fraction of the appends that are executed
            late, without a response.
        aliases: Address of the proxy in front of each host, by the host's
            own address.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed=seed)
        self.late_append_fraction = 0.0
        self.aliases: dict[str, str] = {}
        self._soak_groups: dict[str, _Group] = {}
        self._last_joined: dict[str, str] = {}
        self._changed: dict[_PartitionKey, asyncio.Event] = (
            collections.defaultdict(asyncio.Event)
        )
        self._late_tasks: set[asyncio.Task[Any]] = set()

    def rebalance(self) -> None:
        """Reassigns all partitions at once."""
        for group in self._soak_groups.values():
            group.rotation += 1
            self._assign(group)

    def heal(self) -> None:
        """Resets all fault settings."""
        self.faults = standin_store.Faults()
        self.late_append_fraction = 0.0

    async def _append(self, request: web.Request) -> web.Response:
        if self._random.random() >= self.late_append_fraction:
            return await super()._append(request)
        # Read the body now: the connection is closed before the append is
        # executed.
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
        partition = (query["Topic"], int(query["part"]))
        wait_ms = float(query.get("WaitMs", 0))
        if wait_ms and int(query["From"]) >= self._partition(*partition).end:
            changed = self._changed[partition]
            try:
                async with asyncio.timeout(clock_lib.to_seconds(wait_ms)):
                    await changed.wait()
            except TimeoutError:
                pass
        return await super()._read(_without_wait(request))

    def _add(self, topic: str, number: int, records: Any) -> None:
        super()._add(topic, number, records)
        self._changed.pop((topic, number), asyncio.Event()).set()

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        group = self._soak_groups.setdefault(
            body["group"], _Group(tuple(body["Topics"]))
        )
        member = body["Member"]
        self._last_joined[request.remote or ""] = member
        is_new = member not in group.members
        group.members[member] = self._clock.now_ms() + body["TtlMs"]
        if self._remove_expired_members(group) or is_new:
            self._assign(group)
        self._hand_over(group, member, body["Generation"])
        parts = [
            [topic, number, 0]
            for (topic, number), holder in group.holders.items()
            if holder == member and (topic, number) not in group.successors
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
        group = self._soak_groups.get(body["group"])
        if group is not None and group.members.pop(body["Member"], 0.0):
            self._assign(group)
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        group = self._soak_groups.get(request.query["group"])
        # A host asks for the owners right after it has joined, from the same
        # source address.
        asker = self._last_joined.get(request.remote or "", "")
        rows = [
            [topic, number, self._alias(holder, asker), 0]
            for (topic, number), holder in (
                group.holders if group else {}
            ).items()
        ]
        return web.json_response({"parts": rows})

    def _alias(self, member: str, asker: str) -> str:
        if not member or member == asker:
            return member
        host, address, *others = member.split(_SEPARATOR)
        return _SEPARATOR.join(
            (host, self.aliases.get(address, address), *others)
        )

    def _remove_expired_members(self, group: _Group) -> bool:
        now_ms = self._clock.now_ms()
        expired = [m for m, until in group.members.items() if until < now_ms]
        for member in expired:
            del group.members[member]
        return bool(expired)

    def _assign(self, group: _Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        for topic in group.topics:
            for number in range(self._partition_count):
                if not members:
                    group.holders.pop((topic, number), None)
                    group.successors.pop((topic, number), None)
                    continue
                successor = members[(number + group.rotation) % len(members)]
                self._set_successor(group, (topic, number), successor)

    def _set_successor(
        self, group: _Group, partition: _PartitionKey, successor: str
    ) -> None:
        """Sets the next holder; it waits while the current one is a member."""
        holder = group.holders.get(partition)
        previous = group.successors.pop(partition, None)
        if holder not in group.members:
            group.holders[partition] = successor
        elif holder != successor:
            since = group.generation
            if previous is not None:
                since = min(since, previous[1])
            group.successors[partition] = (successor, since)

    def _hand_over(self, group: _Group, member: str, generation: int) -> None:
        """Hands over the partitions that a member knows it has to release."""
        released = [
            partition
            for partition, (_, since) in group.successors.items()
            if group.holders[partition] == member and generation >= since
        ]
        for partition in released:
            group.holders[partition], _ = group.successors.pop(partition)
        if released:
            group.generation += 1


def _without_wait(request: web.Request) -> web.Request:
    query = request.rel_url.query.copy()
    query.pop("WaitMs", None)
    return request.clone(rel_url=request.rel_url.with_query(query))
