"""Interface of a client for model engines."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol, TypeAlias

from returns import result

from mangotally import errors, ids
from mangotally.policy import faults, orders, pools, records

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A request for a chat completion.

    Attributes:
        call: Id of the call; each chunk of the answer repeats it.
        organisation: The organisation that is charged; part of the key of
            the cached prefix.
        program: The program; part of the key of the cached prefix.
        model: Name of the model.
        messages: All messages of the conversation.
        max_tokens: Maximum length of the answer, in tokens.
        timeout_ms: Timeout of the answer.
        prompt_tokens: Estimated length of the conversation, in tokens.
        options: Further request fields as a JSON object, or empty.
    """

    call: ids.CallId
    organisation: ids.OrganisationId
    program: ids.ProgramId
    model: ids.ServiceId
    messages: tuple[records.ChatMessage, ...]
    max_tokens: int
    timeout_ms: float
    prompt_tokens: int = 0
    options: str = ""


@dataclasses.dataclass(frozen=True)
class ChatText:
    """A chunk of an answer.

    Attributes:
        text: The text.
        number: Number of the chunk within the answer, from 1.
    """

    text: str
    number: int = 0


@dataclasses.dataclass(frozen=True)
class ChatEnd:
    """The end of a complete answer.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        cached_tokens: Prompt tokens served from the engine's cache.
        generated_tokens: Length of the answer, in tokens.
    """

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


ChatEvent: TypeAlias = result.Result[ChatText | ChatEnd, faults.Fault]


@dataclasses.dataclass(frozen=True)
class CachedPrefix:
    """A prefix in an engine's cache.

    Attributes:
        organisation: Organisation of the program.
        program: The program whose conversation the prefix holds.
        tokens: Length of the prefix, in tokens.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    tokens: int


@dataclasses.dataclass(frozen=True)
class PrefixKey:
    """Key of a cached prefix: the program whose conversation it holds."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@dataclasses.dataclass(frozen=True)
class EngineInventory:
    """Cached prefixes and running calls of an engine.

    Attributes:
        prefixes: Cached prefixes.
        calls: Ids of the running calls.
    """

    prefixes: tuple[CachedPrefix, ...]
    calls: tuple[ids.CallId, ...]


class EngineClient(Protocol):
    """A client for model engines."""

    def chat(
        self, address: str, request: ChatRequest
    ) -> AsyncIterator[ChatEvent]:
        """Yields chunks and then the end, or a fault as the last item."""

    def resume(
        self, address: str, request: ChatRequest, after: int
    ) -> AsyncIterator[ChatEvent]:
        """Yields the rest of an answer over a new connection.

        Args:
            address: Base URL of the engine that runs the call.
            request: The request that started the call.
            after: Number of the last chunk that was received, or 0.
        """

    async def cancel(
        self, address: str, call: ids.CallId
    ) -> errors.Outcome[None]:
        """Cancels a call; succeeds if the engine no longer runs it."""

    async def fetch_load(
        self, address: str
    ) -> errors.Outcome[pools.LoadReport]:
        """Fetches the engine's load report."""

    async def release_prefixes(
        self, address: str, prefixes: Sequence[PrefixKey]
    ) -> errors.Outcome[None]:
        """Releases cached prefixes at the engine in a single request."""

    async def fetch_inventory(
        self, address: str
    ) -> errors.Outcome[EngineInventory]:
        """Fetches the cached prefixes and running calls of the engine."""

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> errors.Outcome[tuple[pools.CacheEvent, ...]]:
        """Fetches the cache events after a sequence number."""

    async def fetch_state(
        self, address: str
    ) -> errors.Outcome[orders.EngineReport]:
        """Fetches the state of the engine: what it has loaded, and its role."""

    async def send_order(
        self, address: str, fencing: int, desired: orders.EngineState
    ) -> errors.Outcome[orders.EngineReport]:
        """Orders the engine to change what it has loaded, or its role.

        Args:
            address: Base URL of the engine.
            fencing: Fencing number of the order. An engine that checks it
                refuses orders with a lower number than its last one.
            desired: The state that the engine should reach.
        """
