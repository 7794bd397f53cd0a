"""Handlers of messages by type, for local and remote callers alike."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from returns import result

from mangotally import errors

UnaryHandler = Callable[[Any], Awaitable[errors.Outcome[Any]]]
StreamingHandler = Callable[[Any], AsyncIterator[errors.Outcome[Any]]]


class Router:
    """Finds the handler of a message."""

    def __init__(self) -> None:
        self._unary: dict[type, UnaryHandler] = {}
        self._streaming: dict[type, StreamingHandler] = {}

    def add_unary(self, kind: type, handler: UnaryHandler) -> None:
        """Adds a handler that answers with one message."""
        self._unary[kind] = handler

    def add_streaming(self, kind: type, handler: StreamingHandler) -> None:
        """Adds a handler that answers with several messages."""
        self._streaming[kind] = handler

    async def handle(self, message: Any) -> AsyncIterator[errors.Outcome[Any]]:
        """Yields the answers to a message."""
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
    """Returns the message that carries an outcome between hosts."""
    match outcome:
        case result.Success(value):
            return value
        case _:
            return outcome.failure()


def to_outcome(message: Any) -> errors.Outcome[Any]:
    """Returns the outcome that a message carries."""
    if isinstance(message, errors.Failure):
        return result.Failure(message)
    return result.Success(message)
