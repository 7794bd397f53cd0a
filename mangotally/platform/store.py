"""Client of the platform's store: a partitioned log.

It has topics, keyed topics (of which the latest record of each key can be read)
and consumer groups (which divide the partitions of topics among their members).
"""

from __future__ import annotations

import base64
import collections
import dataclasses
import json
import struct
from typing import TYPE_CHECKING, Any, Protocol
from urllib import parse as urls

from mangotally.entry.log import (
    MAX_READ_KB,
    Appended,
    Batch,
    EndMoved,
    Offset,
    Topic,
    Trimmed,
    Unavailable,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

CALL_TIMEOUT_MS = 1000
_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")
_OK = 200
_GONE = 410
_END_MOVED = 412


@dataclasses.dataclass(frozen=True)
class Call:
    """A call to the store.

    Attributes:
        method: HTTP method.
        path_and_query: Path and query.
        body: Body, possibly empty.
        is_json: Whether the body is JSON rather than records.
        timeout_ms: Time-out for the answer.
        wait_ms: Long-poll time: how much of the time-out the store may
            spend waiting for new records.
    """

    method: str
    path_and_query: str
    body: bytes = b""
    is_json: bool = False
    timeout_ms: float = CALL_TIMEOUT_MS
    wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer from the store.

    Attributes:
        status: HTTP status.
        body: The complete body.
    """

    status: int
    body: bytes


class Transport(Protocol):
    """Sends calls to the store."""

    async def call(self, call: Call) -> Reply | Unavailable:
        """Returns the store's answer."""


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; empty if the key was deleted.
    """

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True)
class LatestRecords:
    """The latest record of each key.

    Attributes:
        records: The records.
        end: End of the partition when the first page was read; records
            from that offset on may be newer than these.
    """

    records: tuple[KeyedRecord, ...]
    end: Offset


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The partitions that a member of a group owns.

    Attributes:
        generation: Increases with each rebalance of the group.
        partitions: Topic and number of each partition.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]


class Store:
    """Typed calls to the store.

    Attributes:
        calls: Number of calls by path and topic.
    """

    def __init__(self, transport: Transport) -> None:
        """Creates the client.

        Args:
            transport: Sends the calls.
        """
        self._transport = transport
        self.calls: collections.Counter[str] = collections.Counter()

    async def append(
        self,
        topic: Topic,
        partition: int,
        records: Sequence[bytes],
        at: Offset | None = None,
    ) -> Appended | EndMoved | Unavailable:
        """Appends records; see `mangotally.entry.log.Log`."""
        query: dict[str, object] = {"Topic": topic, "part": partition}
        if at is not None:
            query["At"] = at
        body = b"".join(_LENGTH.pack(len(each)) + each for each in records)
        reply = await self._call("POST", "/log-append", query, body)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == _OK:
            found = _parse_object(reply.body)
            return Appended(Offset(found["Offset"]), Offset(found["EndOffset"]))
        if reply.status == _END_MOVED:
            return EndMoved(Offset(_parse_object(reply.body)["EndOffset"]))
        return _refused(reply)

    async def read(
        self,
        topic: Topic,
        partition: int,
        first: Offset,
        wait_ms: int = 0,
        max_kb: int = MAX_READ_KB,
    ) -> Batch | Trimmed | Unavailable:
        """Reads records; see `mangotally.entry.log.Log`."""
        query: dict[str, object] = {
            "Topic": topic, "part": partition, "From": first, "MaxKb": max_kb,
        }  # fmt: skip
        if wait_ms:
            query["WaitMs"] = wait_ms
        reply = await self._call("GET", "/log-read", query, wait_ms=wait_ms)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == _OK and len(reply.body) >= _ENDS.size:
            end, _ = _ENDS.unpack_from(reply.body)
            records = tuple(_split_records(reply.body[_ENDS.size :]))
            return Batch(first, records, Offset(end))
        if reply.status == _GONE:
            return Trimmed(Offset(_parse_object(reply.body)["FirstOffset"]))
        return _refused(reply)

    async def read_latest(self, topic: Topic) -> LatestRecords | Unavailable:
        """Returns the latest record of each key of a keyed topic."""
        records: list[KeyedRecord] = []
        end: Offset | None = None
        query: dict[str, object] = {"Topic": topic, "part": 0}
        while True:
            reply = await self._call("GET", "/log-newest", query)
            if isinstance(reply, Unavailable):
                return reply
            if reply.status != _OK:
                return _refused(reply)
            page = _parse_object(reply.body)
            records += [
                KeyedRecord(each["Key"], base64.b64decode(each["Value"] or ""))
                for each in page["items"]
            ]
            if end is None:
                end = Offset(page["EndOffset"])
            if not page["More"] or not page["items"]:
                return LatestRecords(tuple(records), end)
            query["after"] = records[-1].key

    async def join(
        self,
        group: str,
        member: str,
        topics: Sequence[Topic],
        session_timeout_ms: int,
        generation: int,
    ) -> Assignment | Unavailable:
        """Joins a group, or renews the membership.

        Args:
            group: The group.
            member: Name of this member.
            topics: Topics whose partitions are assigned to the members.
            session_timeout_ms: Time without a join after which the member
                is removed.
            generation: The last generation received, or 0.
        """
        reply = await self._post(
            "/log-join",
            {
                "group": group,
                "Member": member,
                "Topics": list(topics),
                "TtlMs": session_timeout_ms,
                "Generation": generation,
            },
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status != _OK:
            return _refused(reply)
        found = _parse_object(reply.body)
        return Assignment(
            found["Generation"],
            frozenset((row[0], row[1]) for row in found["parts"]),
        )

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group; the member's partitions are released at once."""
        await self._post("/log-leave", {"group": group, "Member": member})

    async def owners(
        self, group: str
    ) -> Mapping[tuple[str, int], str] | Unavailable:
        """Returns the member that owns each partition of a group."""
        reply = await self._call("GET", "/log-owners", {"group": group})
        if isinstance(reply, Unavailable):
            return reply
        if reply.status != _OK:
            return _refused(reply)
        found = json.loads(reply.body)
        rows = found if isinstance(found, list) else found["parts"]
        return {(row[0], row[1]): row[2] for row in rows if row[2]}

    async def _post(
        self, path: str, body: dict[str, object]
    ) -> Reply | Unavailable:
        data = json.dumps(body).encode()
        return await self._transport.call(Call("POST", path, data, True))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        wait_ms: float = 0.0,
    ) -> Reply | Unavailable:
        target = f"{path}?{urls.urlencode(query)}"
        self.calls[f"{path} {query.get('Topic', '')}".strip()] += 1
        call = Call(
            method,
            target,
            body,
            timeout_ms=CALL_TIMEOUT_MS + wait_ms,
            wait_ms=wait_ms,
        )
        return await self._transport.call(call)


def keyed(record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed topic.

    A record that is too short for its key decodes to an empty key.
    """
    key_end = 1 + record[0] if record else 1
    if len(record) < key_end:
        return KeyedRecord("", b"")
    return KeyedRecord(
        record[1:key_end].decode(errors="replace"), record[key_end:]
    )


def keyed_bytes(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def _split_records(data: bytes) -> Iterator[bytes]:
    position = 0
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            return
        yield data[position : position + length]
        position += length


def _parse_object(body: bytes) -> dict[str, Any]:
    found = json.loads(body)
    if not isinstance(found, dict):
        raise ValueError("the store's answer is not a JSON object")
    return found


def _refused(reply: Reply) -> Unavailable:
    return Unavailable(f"status {reply.status}")
