"""Request bodies of callers, checked."""

from __future__ import annotations

from typing import Literal, TypeVar

import pydantic
from returns import result

from mangotally import errors

MAX_MESSAGES = 1000
M = TypeVar("M", bound=pydantic.BaseModel)


class _Strict(pydantic.BaseModel):
    """A body that refuses unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Message(_Strict):
    """One chat message."""

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class StreamOptions(_Strict):
    """Options of a streamed answer."""

    include_usage: bool = False


class Chat(_Strict):
    """Body of a chat completion."""

    model: str = pydantic.Field(max_length=64)
    messages: tuple[Message, ...] = pydantic.Field(
        min_length=1, max_length=MAX_MESSAGES
    )
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int = pydantic.Field(default=512, ge=1, le=32_768)


class Budget(_Strict):
    """Budget of a program."""

    tokens: int | None = pydantic.Field(default=None, ge=1)
    calls: int | None = pydantic.Field(default=None, ge=1)
    wall_ms: int | None = pydantic.Field(default=None, ge=1)


class NewProgram(_Strict):
    """Body that opens a program."""

    service: str = pydantic.Field(max_length=64)
    parent: str | None = pydantic.Field(default=None, max_length=128)
    budget: Budget = Budget()
    deadline_ms: int | None = pydantic.Field(default=None, ge=1)


def parse(kind: type[M], data: bytes) -> errors.Outcome[M]:
    """Returns a checked body, or a failure that says what is wrong."""
    try:
        return result.Success(kind.model_validate_json(data))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        return errors.failed(
            errors.Reason.BAD_REQUEST, f"{where}: {first['msg']}"
        )
