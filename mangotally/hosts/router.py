"""Dispatch of messages from this and other hosts to their handlers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from returns import result

from mangotally import errors

UnaryHandler = Callable[[Any], Awaitable[errors.Outcome[Any]]]
StreamingHandler = Callable[[Any], AsyncIterator[errors.Outcome[Any]]]


class Router:
    """Registry of message handlers by message type."""

    def __init__(self) -> None:
        self._unary: dict[type, UnaryHandler] = {}
        self._streaming: dict[type, StreamingHandler] = {}

    def add_unary(self, kind: type, handler: UnaryHandler) -> None:
        """Registers a handler that returns a single answer."""
        self._unary[kind] = handler

    def add_streaming(self, kind: type, handler: StreamingHandler) -> None:
        """Registers a handler that streams its answers."""
        self._streaming[kind] = handler

    async def handle(self, message: Any) -> AsyncIterator[errors.Outcome[Any]]:
        """Yields the answers of a message's handler."""
        unary = self._unary.get(type(message))
        if unary is not None:
            yield await unary(message)
            return
        streaming = self._streaming.get(type(message))
        if streaming is None:
            yield errors.failed(
                errors.Reason.INTERNAL,
                f"No handler for {type(message).__name__}.",
            )
            return
        async for answer in streaming(message):
            yield answer


def to_message(outcome: errors.Outcome[Any]) -> Any:
    """Converts an outcome to the message that is sent for it."""
    match outcome:
        case result.Success(value):
            return value
        case _:
            return outcome.failure()


def to_outcome(message: Any) -> errors.Outcome[Any]:
    """Converts a received message to the outcome that it stands for."""
    if isinstance(message, errors.Failure):
        return result.Failure(message)
    return result.Success(message)
