"""Stand-in for a model engine: continuous batching and a prefix cache."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
from typing import Any

from aiohttp import web

from mangotally.standins import server
from mangotally.util import clock as clock_lib

CHARS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """How fast an engine is.

    Attributes:
        prefill_ms_per_token: Time for one uncached prompt token.
        decode_ms: Time between tokens with an empty batch.
        decode_ms_per_call: Added to that for each call in the batch.
        cache_tokens: Size of the prefix cache.
    """

    prefill_ms_per_token: float = 0.02
    decode_ms: float = 1.0
    decode_ms_per_call: float = 0.1
    cache_tokens: int = 200_000


@dataclasses.dataclass
class EngineFaults:
    """How the engine misbehaves.

    Attributes:
        refuse: Answers 503 to every new call.
        hang: Accepts calls and sends nothing.
        cross: Sends chunks under another call's id.
    """

    refuse: bool = False
    hang: bool = False
    cross: bool = False


class EngineStandIn(server.StandIn):
    """Answers chats with words that depend on the conversation only."""

    def __init__(self, name: str, speed: EngineSpeed | None = None) -> None:
        """Makes an idle engine."""
        super().__init__()
        self.name = name
        self.speed = speed or EngineSpeed()
        self.faults = EngineFaults()
        self.running = 0
        self.seen: list[dict[str, Any]] = []
        self.headers: list[dict[str, str]] = []
        self.cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def application(self) -> web.Application:
        """Returns the application to serve."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/load", self._load)
        app.router.add_post("/release", self._release)
        return app

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        if self.faults.refuse:
            return web.Response(status=503)
        body = await request.json()
        self.seen.append(body)
        self.headers.append(dict(request.headers))
        self.running += 1
        try:
            return await self._generate(request, body)
        finally:
            self.running -= 1

    async def _generate(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        call = request.headers.get("X-Request-Id", "none")
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        if self.faults.hang:
            await asyncio.Event().wait()
        prompt = sum(
            1 + len(item["content"]) // CHARS_PER_TOKEN
            for item in body["messages"]
        )
        key = body.get("cache_key", call)
        cached = min(prompt, self.cache.get(key, 0))
        fresh_ms = (prompt - cached) * self.speed.prefill_ms_per_token
        await asyncio.sleep(clock_lib.to_seconds(fresh_ms))
        words = _answer(body["messages"])[: body["max_tokens"]]
        shown = f"{call}-crossed" if self.faults.cross else call
        for word in words:
            await asyncio.sleep(clock_lib.to_seconds(self._token_ms()))
            await _send(response, _chunk(shown, word))
        self._store(key, prompt + len(words))
        usage = {
            "prompt_tokens": prompt,
            "completion_tokens": len(words),
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        await _send(response, {"id": shown, "choices": [], "usage": usage})
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _token_ms(self) -> float:
        return (
            self.speed.decode_ms + self.running * self.speed.decode_ms_per_call
        )

    def _store(self, key: str, tokens: int) -> None:
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        while sum(self.cache.values()) > self.speed.cache_tokens:
            self.cache.popitem(last=False)

    async def _load(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": self.running,
                "waiting": 0,
                "cached_tokens": sum(self.cache.values()),
                "cache_capacity_tokens": self.speed.cache_tokens,
                "age_ms": 0,
            }
        )

    async def _release(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.cache.pop(body["cache_key"], None)
        return web.json_response({"released": True})


def _answer(messages: list[dict[str, Any]]) -> list[str]:
    turns = sum(1 for item in messages if item["role"] == "user")
    last = messages[-1]["content"].split()
    return [f"turn {turns} ", f"of {len(messages)} messages:"] + [
        f" {word}" for word in last
    ]


def _chunk(call: str, text: str) -> dict[str, Any]:
    return {
        "id": call,
        "object": "chat.completion.chunk",
        "choices": [
            {"index": 0, "delta": {"content": text}, "finish_reason": None}
        ],
    }


async def _send(response: web.StreamResponse, body: dict[str, Any]) -> None:
    await response.write(f"data: {json.dumps(body)}\n\n".encode())
