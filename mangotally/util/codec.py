"""Encodes typed messages as JSON and validates them on decoding."""

from __future__ import annotations

import functools
import json
from typing import Any, TypeVar, cast

import pydantic
import pydantic_core
from returns import result

T = TypeVar("T")


@functools.cache
def type_adapter(message_type: type[T]) -> pydantic.TypeAdapter[T]:
    """Returns the pydantic type adapter of a type; adapters are cached."""
    return pydantic.TypeAdapter(message_type)


class Registry:
    """A registry of message types by name."""

    def __init__(self) -> None:
        self._types: dict[str, type] = {}

    def register(self, message_type: type[T]) -> type[T]:
        """Registers a frozen dataclass; can be used as a decorator."""
        self._types[message_type.__name__] = message_type
        return message_type

    def encode(self, message: Any) -> tuple[str, bytes]:
        """Returns the type name and the JSON body of a message."""
        message_type = type(message)
        return message_type.__name__, type_adapter(
            cast("Any", message_type)
        ).dump_json(message)

    def decode(self, name: str, body: bytes) -> result.Result[Any, str]:
        """Returns the decoded message, or a description of the error."""
        message_type = self._types.get(name)
        if message_type is None:
            return result.Failure(f"unknown message type {name[:64]!r}")
        try:
            return result.Success(
                type_adapter(message_type).validate_json(body)
            )
        except ValueError as error:
            return result.Failure(f"bad {name}: {_first_line(error)}")

    def encode_batch(self, messages: list[Any]) -> bytes:
        """Returns several messages encoded as one JSON array."""
        return join_items([self.encode_item(message) for message in messages])

    def encode_item(self, message: Any) -> bytes:
        """Returns one message encoded as an item of a batch."""
        name, body = self.encode(message)
        return b"[%s,%s]" % (json.dumps(name).encode(), body)

    def decode_batch(self, data: bytes) -> list[result.Result[Any, str]]:
        """Returns the messages of a batch, each validated on its own."""
        try:
            items = pydantic_core.from_json(data, allow_inf_nan=False)
        except ValueError:
            return [result.Failure("not JSON")]
        if not isinstance(items, list):
            return [result.Failure("not a list of records")]
        return [self._decode_item(item) for item in items]

    def _decode_item(self, item: Any) -> result.Result[Any, str]:
        match item:
            case [str(name), dict(body)]:
                return self.decode(name, pydantic_core.to_json(body))
            case _:
                return result.Failure("a record is not [type, body]")


def join_items(items: list[bytes]) -> bytes:
    """Returns a batch made of items that are already encoded."""
    return b"[%s]" % b",".join(items)


def _first_line(error: ValueError) -> str:
    if isinstance(error, pydantic.ValidationError):
        first = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(item) for item in first["loc"])
        return f"{path}: {first['msg']}"
    return str(error).splitlines()[0]
