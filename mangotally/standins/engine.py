"""Stand-in for a model engine: continuous batching and a prefix cache.

POST /v1/chat/completions           streams an answer as server-sent events
GET  /v1/streams/{call}?after=n     resumes an answer after event n
POST /cancel {"call"}               cancels a call
GET  /load                          load, delayed by `load_lag_ms`
GET  /cache                         {"prefixes", "calls"}
GET  /cache/events?after=n          {"events"}, delayed and with gaps
POST /release {"cache_keys"}        evicts prefixes
GET  /export?cache_key=k            exports a prefix
POST /import {"cache_key", "tokens"}  imports an exported prefix
GET  /state                         models, adapters, version, role
POST /orders {"fencing", "state"}   changes the state
POST /faults {...}                  sets fields of `EngineFaults`
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING, Any

from aiohttp import web

from mangotally.standins import faults, server, streams
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

CHARS_PER_TOKEN = 4
MAX_EVENTS = 1000


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Speed and capacity of an engine.

    Attributes:
        prefill_ms_per_token: Prefill time of an uncached prompt token.
        decode_ms: Time between tokens for an empty batch.
        decode_ms_per_call: Added to that for each call in the batch.
        cache_tokens: Capacity of the prefix cache, in tokens.
        resume_ms: Time that a call without a reader continues to run.
    """

    prefill_ms_per_token: float = 0.02
    decode_ms: float = 1.0
    decode_ms_per_call: float = 0.1
    cache_tokens: int = 200_000
    resume_ms: float = 3000.0


@dataclasses.dataclass
class EngineFaults:
    """Faults that the engine simulates.

    Attributes:
        refuse: Rejects every new call, with status 503 by default.
        refuse_status: Status of the rejections.
        retry_after_s: `Retry-After` of the rejections; 0 for none.
        hang: Accepts calls but never sends events.
        slow_ms: Added to the time of each token.
        cross: Sends chunks with the id of another call.
        malformed: Sends chunks that are not valid JSON.
        endless: Ignores `max_tokens`.
        silent_after: Streams stall after this number of events; their
            calls continue and can be resumed. 0 for never.
        break_after: Connections are closed after this number of events;
            their calls continue and can be resumed. 0 for never.
        crash_on: Crashes on a call whose messages contain this text.
        load_lag_ms: Age of the load reports.
        lie: Reports zero running calls.
        event_lag_ms: Delay of cache events.
        lose_events: Every n-th cache event is lost; 0 for none.
        ignore_release: Number of following releases that fail.
        ignore_cancel: Number of following cancellations that fail.
        ignore_fencing: Accepts orders with an old fencing number.
    """

    refuse: bool = False
    refuse_status: int = 503
    retry_after_s: int = 0
    hang: bool = False
    slow_ms: float = 0.0
    cross: bool = False
    malformed: bool = False
    endless: bool = False
    silent_after: int = 0
    break_after: int = 0
    crash_on: str = ""
    load_lag_ms: float = 0.0
    lie: bool = False
    event_lag_ms: float = 0.0
    lose_events: int = 0
    ignore_release: int = 0
    ignore_cancel: int = 0
    ignore_fencing: bool = False


class EngineStandIn(server.StandIn):
    """Answers chats deterministically, depending only on the conversation.

    Attributes:
        call_received: Set by the first call that is not rejected.
        requests: Bodies of all calls that were not rejected.
        headers: Headers of all calls that were not rejected.
        fencing: Fencing number of the last accepted order, or -1.
        orders: Accepted orders.
    """

    def __init__(
        self,
        name: str,
        speed: EngineSpeed | None = None,
        on_crash: Callable[[EngineStandIn], None] | None = None,
    ) -> None:
        """Creates an idle engine.

        Args:
            name: Its name.
            speed: Its speed and capacity.
            on_crash: Called after a request has crashed it.
        """
        super().__init__()
        self.name = name
        self.speed = speed or EngineSpeed()
        self.faults = EngineFaults()
        self.crashes = 0
        self.call_received = asyncio.Event()
        self.requests: list[dict[str, Any]] = []
        self.headers: list[dict[str, str]] = []
        self.cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.state: dict[str, Any] = {"role": "both"}
        self.fencing = -1
        self.orders: list[dict[str, Any]] = []
        self._on_crash = on_crash
        self._streams: dict[str, streams.Stream] = {}
        self._cancelled: set[str] = set()
        self._events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._sequence = 0
        self._loads: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    @property
    def running(self) -> int:
        """Number of calls in the batch."""
        return sum(not item.is_done for item in self._streams.values())

    def application(self) -> web.Application:
        """Returns the aiohttp application to serve."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/v1/streams/{call}", self._resume)
        app.router.add_post("/cancel", self._cancel)
        app.router.add_get("/load", self._load)
        app.router.add_get("/cache", self._list_cache)
        app.router.add_get("/cache/events", self._list_events)
        app.router.add_post("/release", self._release)
        app.router.add_get("/export", self._export)
        app.router.add_post("/import", self._import)
        app.router.add_get("/state", self._get_state)
        app.router.add_post("/orders", self._order)
        faults.add_routes(app, lambda: self.faults)
        return app

    async def __aexit__(self, *exc: object) -> None:
        """Stops the server and ends all calls."""
        for stream in self._streams.values():
            stream.stop()
        await super().__aexit__(*exc)

    async def crash(self) -> None:
        """Stops the server; cached prefixes and running calls are lost."""
        self.crashes += 1
        self.cache.clear()
        found, self._streams = self._streams, {}
        for stream in found.values():
            stream.stop()
        await self.stop()
        if self._on_crash is not None:
            self._on_crash(self)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        active_faults = self.faults
        if active_faults.refuse:
            headers = {}
            if active_faults.retry_after_s:
                headers["Retry-After"] = str(active_faults.retry_after_s)
            return web.Response(
                status=active_faults.refuse_status, headers=headers
            )
        body = await request.json()
        self.requests.append(body)
        self.headers.append(dict(request.headers))
        self.call_received.set()
        call = request.headers.get("X-Request-Id", "none")
        if active_faults.crash_on and active_faults.crash_on in str(
            body["messages"]
        ):
            crash = asyncio.create_task(self.crash())
            await asyncio.shield(crash)
        stream = streams.Stream(call)
        self._streams[call] = stream
        stream.task = asyncio.create_task(self._generate(stream, body))
        return await self._send(request, stream, after=0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        call = request.match_info["call"]
        if call in self._cancelled:
            return web.Response(status=410)
        stream = self._streams.get(call)
        if stream is None:
            return web.Response(status=404)
        after = int(request.query.get("after", "0"))
        return await self._send(request, stream, after, is_resumed=True)

    async def _send(
        self,
        request: web.Request,
        stream: streams.Stream,
        after: int,
        is_resumed: bool = False,
    ) -> web.StreamResponse:
        active_faults = dataclasses.replace(self.faults)
        if is_resumed:
            active_faults.silent_after = active_faults.break_after = 0
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        stream.readers += 1
        try:
            await response.prepare(request)
            if active_faults.hang:
                await asyncio.Event().wait()
            async for number, data in stream.follow(after):
                if (
                    active_faults.silent_after
                    and number > active_faults.silent_after
                ):
                    await asyncio.Event().wait()
                if (
                    active_faults.break_after
                    and number > active_faults.break_after
                ):
                    assert request.transport is not None
                    request.transport.close()
                    return response
                await response.write(self._corrupt(active_faults, data))
            await response.write_eof()
            return response
        except ConnectionError:
            return response
        finally:
            stream.readers -= 1
            if stream.readers == 0:
                asyncio.get_running_loop().call_later(
                    clock_lib.to_seconds(self.speed.resume_ms),
                    self._remove_if_unread,
                    stream,
                )

    def _corrupt(self, active_faults: EngineFaults, data: bytes) -> bytes:
        if active_faults.malformed:
            return data.replace(b"{", b"[", 1)
        if active_faults.cross:
            return data.replace(b'"id": "', b'"id": "x', 1)
        return data

    def _remove_if_unread(self, stream: streams.Stream) -> None:
        if stream.readers == 0:
            stream.stop()
            if self._streams.get(stream.call) is stream:
                del self._streams[stream.call]

    async def _generate(
        self, stream: streams.Stream, body: dict[str, Any]
    ) -> None:
        prompt = sum(
            1 + len(item["content"]) // CHARS_PER_TOKEN
            for item in body["messages"]
        )
        key = body.get("cache_key", stream.call)
        cached = min(prompt, self.cache.get(key, 0))
        fresh_ms = (prompt - cached) * self.speed.prefill_ms_per_token
        await asyncio.sleep(clock_lib.to_seconds(fresh_ms))
        self._store(key, prompt)
        words = _answer(body["messages"])
        while self.faults.endless and len(words) <= body["max_tokens"]:
            words += words
        if not self.faults.endless:
            words = words[: body["max_tokens"]]
        for word in words:
            await asyncio.sleep(clock_lib.to_seconds(self._token_ms()))
            await stream.add_text(word)
        self._store(key, prompt + len(words))
        await stream.finish(prompt, cached, len(words))

    def _token_ms(self) -> float:
        batch_ms = self.running * self.speed.decode_ms_per_call
        return self.speed.decode_ms + batch_ms + self.faults.slow_ms

    def _store(self, key: str, tokens: int) -> None:
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        self._record_event("stored", key, tokens)
        while sum(self.cache.values()) > self.speed.cache_tokens:
            evicted, size = self.cache.popitem(last=False)
            self._record_event("evicted", evicted, size)

    def _record_event(self, kind: str, key: str, tokens: int) -> None:
        self._sequence += 1
        lost = self.faults.lose_events
        if lost and self._sequence % lost == 0:
            return
        event = {
            "sequence": self._sequence,
            "kind": kind,
            "cache_key": key,
            "tokens": tokens,
        }
        self._events.append((_now_ms(), event))

    async def _cancel(self, request: web.Request) -> web.Response:
        if self.faults.ignore_cancel > 0:
            self.faults.ignore_cancel -= 1
            return web.Response(status=500)
        call = str((await request.json())["call"])
        stream = self._streams.pop(call, None)
        if stream is not None:
            self._cancelled.add(call)
            stream.stop()
        return web.json_response({"cancelled": stream is not None})

    async def _load(self, _request: web.Request) -> web.Response:
        now_ms = _now_ms()
        report = {
            "running": 0 if self.faults.lie else self.running,
            "waiting": 0,
            "cached_tokens": sum(self.cache.values()),
            "cache_capacity_tokens": self.speed.cache_tokens,
        }
        self._loads.append((now_ms, report))
        visible_ms = now_ms - self.faults.load_lag_ms
        while len(self._loads) > 1 and self._loads[1][0] <= visible_ms:
            self._loads.popleft()
        reported_ms, reported = self._loads[0]
        return web.json_response({**reported, "age_ms": now_ms - reported_ms})

    async def _list_cache(self, _request: web.Request) -> web.Response:
        prefixes = [
            {"cache_key": key, "tokens": tokens}
            for key, tokens in self.cache.items()
        ]
        calls = [
            call for call, item in self._streams.items() if not item.is_done
        ]
        return web.json_response({"prefixes": prefixes, "calls": calls})

    async def _list_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        visible_ms = _now_ms() - self.faults.event_lag_ms
        events = [
            event
            for recorded_ms, event in self._events
            if recorded_ms <= visible_ms and event["sequence"] > after
        ]
        return web.json_response({"events": events})

    async def _release(self, request: web.Request) -> web.Response:
        if self.faults.ignore_release > 0:
            self.faults.ignore_release -= 1
            return web.Response(status=500)
        for key in (await request.json())["cache_keys"]:
            size = self.cache.pop(key, None)
            if size is not None:
                self._record_event("evicted", key, size)
        return web.json_response({"released": True})

    async def _export(self, request: web.Request) -> web.Response:
        key = request.query["cache_key"]
        if key not in self.cache:
            return web.Response(status=404)
        return web.json_response({"cache_key": key, "tokens": self.cache[key]})

    async def _import(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._store(str(body["cache_key"]), int(body["tokens"]))
        return web.json_response({"imported": True})

    async def _get_state(self, _request: web.Request) -> web.Response:
        return web.json_response({"fencing": self.fencing, "state": self.state})

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        fencing = int(body["fencing"])
        is_old = fencing < self.fencing
        if is_old and not self.faults.ignore_fencing:
            return web.json_response({"fencing": self.fencing}, status=409)
        self.fencing = fencing
        self.orders.append(body)
        self.state = {**self.state, **body["state"]}
        return await self._get_state(request)


def _answer(messages: list[dict[str, Any]]) -> list[str]:
    turns = sum(1 for item in messages if item["role"] == "user")
    last = messages[-1]["content"].split()
    return [f"turn {turns} ", f"of {len(messages)} messages:"] + [
        f" {word}" for word in last
    ]


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * clock_lib.MS_PER_S
