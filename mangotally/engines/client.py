"""What the system asks of model engines."""

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
    """A chat completion.

    Attributes:
        call: Id of the call; the engine's chunks carry it back.
        organisation: Who pays; part of the cached prefix's name.
        program: Names the cached prefix.
        model: The model's name.
        messages: The whole conversation.
        max_tokens: Longest answer.
        timeout_ms: Longest time for the answer.
        prompt_tokens: Estimated length of the conversation.
        options: Further fields as a JSON object, or empty.
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
    """A piece of an answer.

    Attributes:
        text: The text.
        number: Number of the piece within the answer, from 1.
    """

    text: str
    number: int = 0


@dataclasses.dataclass(frozen=True)
class ChatEnd:
    """The end of a whole answer.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens taken from the engine's cache.
        generated_tokens: Length of the answer.
    """

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


ChatEvent: TypeAlias = result.Result[ChatText | ChatEnd, faults.Fault]


@dataclasses.dataclass(frozen=True)
class CachedPrefix:
    """A prefix in an engine's cache.

    Attributes:
        organisation: The program's organisation.
        program: The program that it was made for.
        tokens: Its length.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    tokens: int


@dataclasses.dataclass(frozen=True)
class PrefixKey:
    """Names a cached prefix: the program whose conversation it holds."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@dataclasses.dataclass(frozen=True)
class EngineInventory:
    """What an engine holds for programs.

    Attributes:
        prefixes: Its cached prefixes.
        calls: Ids of the calls that it runs.
    """

    prefixes: tuple[CachedPrefix, ...]
    calls: tuple[ids.CallId, ...]


class EngineClient(Protocol):
    """What the system asks of a model engine."""

    def chat(
        self, address: str, request: ChatRequest
    ) -> AsyncIterator[ChatEvent]:
        """Yields pieces and then the end, or a fault as the last item."""

    def resume(
        self, address: str, request: ChatRequest, after: int
    ) -> AsyncIterator[ChatEvent]:
        """Yields the rest of an answer over a new connection.

        Args:
            address: Base URL of the engine that runs the call.
            request: The call.
            after: Number of the last piece that was received, or 0.
        """

    async def cancel(
        self, address: str, call: ids.CallId
    ) -> errors.Outcome[None]:
        """Has the engine end a call; succeeds if it runs it no longer."""

    async def fetch_load(
        self, address: str
    ) -> errors.Outcome[pools.LoadReport]:
        """Returns the engine's load."""

    async def release_prefixes(
        self, address: str, prefixes: Sequence[PrefixKey]
    ) -> errors.Outcome[None]:
        """Has the engine drop cached prefixes, all in one request."""

    async def fetch_inventory(
        self, address: str
    ) -> errors.Outcome[EngineInventory]:
        """Returns what the engine holds for programs."""

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> errors.Outcome[tuple[pools.CacheEvent, ...]]:
        """Returns cache events after a sequence number."""

    async def fetch_state(
        self, address: str
    ) -> errors.Outcome[orders.EngineReport]:
        """Returns what the engine has loaded."""

    async def send_order(
        self, address: str, fencing: int, desired: orders.EngineState
    ) -> errors.Outcome[orders.EngineReport]:
        """Has the engine change what it has loaded, or its role.

        Args:
            address: Base URL of the engine.
            fencing: Number of the order; it refuses lower ones than its
                last, if it checks them.
            desired: The state that it is to have.
        """
