"""Models of callers' request bodies, and their validation."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Annotated, Any, Literal, TypeVar

import pydantic
from returns import result

from mangotally import errors
from mangotally.callers import headers, limits

if TYPE_CHECKING:
    from aiohttp import web

MAX_MESSAGES = 1000
MAX_CONTENT_PARTS = 1000
MAX_STOP_SEQUENCES = 16
MAX_STOP_CHARS = 256
# Fields of the common chat completions format that are refused, with the
# reason that the error message gives.
UNSUPPORTED_FIELDS = {
    "tools": "tool calls are made by the program itself",
    "tool_choice": "tool calls are made by the program itself",
    "functions": "tool calls are made by the program itself",
    "function_call": "tool calls are made by the program itself",
    "logprobs": "answers contain no probabilities",
    "top_logprobs": "answers contain no probabilities",
    "modalities": "only text is supported",
    "audio": "only text is supported",
}
M = TypeVar("M", bound=pydantic.BaseModel)
Finite = Annotated[float, pydantic.Field(allow_inf_nan=False)]
ProgramName = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,128}$")
]


class _Strict(pydantic.BaseModel):
    """A body without unknown fields, validated without type conversion."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class TextPart(_Strict):
    """One text part of a message's content."""

    type: Literal["text"]
    text: str


class FunctionCall(_Strict):
    """Function name and arguments of a tool call."""

    name: str
    arguments: str


class ToolCall(_Strict):
    """A tool call requested by an assistant message."""

    id: str
    type: Literal["function"]
    function: FunctionCall


class Message(_Strict):
    """One chat message."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: (
        str
        | Annotated[
            tuple[TextPart, ...], pydantic.Field(max_length=MAX_CONTENT_PARTS)
        ]
        | None
    ) = None
    name: str | None = pydantic.Field(default=None, max_length=64)
    tool_calls: tuple[ToolCall, ...] | None = None
    tool_call_id: str | None = pydantic.Field(default=None, max_length=256)
    refusal: None = None

    @pydantic.model_validator(mode="after")
    def _check(self) -> Message:
        if self.content is None and not self.tool_calls:
            raise ValueError("content is missing")
        if self.tool_calls and self.role != "assistant":
            raise ValueError("tool_calls is allowed only for role assistant")
        if (self.role == "tool") != (self.tool_call_id is not None):
            raise ValueError(
                "tool_call_id is required for role tool and allowed only there"
            )
        return self

    def text(self) -> str:
        """Returns the content as one string, with its parts joined."""
        if isinstance(self.content, tuple):
            return "".join(part.text for part in self.content)
        return self.content or ""

    def extra_fields(self) -> str:
        """Returns the other fields as a JSON object, "" if there are none."""
        fields = self.model_dump(
            mode="json",
            include={"name", "tool_calls", "tool_call_id"},
            exclude_none=True,
        )
        return json.dumps(fields, sort_keys=True) if fields else ""


class StreamOptions(_Strict):
    """Options of a streamed answer."""

    include_usage: bool = False
    include_obfuscation: bool = False


class Chat(_Strict):
    """Request body of a chat completion.

    `user`, `metadata` and `store` are accepted and ignored.
    """

    model: str = pydantic.Field(max_length=64)
    messages: tuple[Message, ...] = pydantic.Field(
        min_length=1, max_length=MAX_MESSAGES
    )
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=32_768)
    max_completion_tokens: int | None = pydantic.Field(
        default=None, ge=1, le=32_768
    )
    n: Literal[1] | None = None
    temperature: Finite | None = pydantic.Field(default=None, ge=0, le=2)
    top_p: Finite | None = pydantic.Field(default=None, ge=0, le=1)
    presence_penalty: Finite | None = pydantic.Field(default=None, ge=-2, le=2)
    frequency_penalty: Finite | None = pydantic.Field(default=None, ge=-2, le=2)
    seed: int | None = pydantic.Field(default=None, ge=-(2**63), lt=2**63)
    stop: (
        Annotated[str, pydantic.Field(max_length=MAX_STOP_CHARS)]
        | Annotated[
            tuple[
                Annotated[str, pydantic.Field(max_length=MAX_STOP_CHARS)], ...
            ],
            pydantic.Field(max_length=MAX_STOP_SEQUENCES),
        ]
        | None
    ) = None
    response_format: dict[str, Any] | None = None
    user: str | None = pydantic.Field(default=None, max_length=256)
    metadata: dict[str, str] | None = None
    store: Literal[False] | None = None

    tools: Any = None
    tool_choice: Any = None
    functions: Any = None
    function_call: Any = None
    logprobs: Any = None
    top_logprobs: Any = None
    modalities: Any = None
    audio: Any = None

    @pydantic.model_validator(mode="after")
    def _check_unsupported(self) -> Chat:
        for name, reason in UNSUPPORTED_FIELDS.items():
            if getattr(self, name):
                raise ValueError(f"{name} is not supported: {reason}")
        return self

    def max_answer_tokens(self, default: int) -> int:
        """Returns the requested limit on the answer's tokens, or a default."""
        return self.max_completion_tokens or self.max_tokens or default

    def engine_options(self) -> str:
        """Returns the fields for the engine as JSON, "" if there are none."""
        fields = self.model_dump(
            mode="json",
            include={
                "temperature",
                "top_p",
                "presence_penalty",
                "frequency_penalty",
                "seed",
                "stop",
                "response_format",
            },
            exclude_none=True,
        )
        return json.dumps(fields, sort_keys=True) if fields else ""


class Budget(_Strict):
    """Requested budget of a program; limits left out come from the plan."""

    tokens: int | None = pydantic.Field(default=None, ge=1, lt=2**53)
    calls: int | None = pydantic.Field(default=None, ge=1, lt=2**53)
    wall_ms: int | None = pydantic.Field(default=None, ge=1, lt=2**53)


class NewProgram(_Strict):
    """Request body that opens a program."""

    service: str = pydantic.Field(max_length=64)
    parent: ProgramName | None = None
    budget: Budget = Budget()
    deadline_ms: int | None = pydantic.Field(default=None, ge=1, lt=2**53)


async def read(kind: type[M], request: web.Request) -> errors.Outcome[M]:
    """Reads and validates a request's JSON body."""
    refusal = headers.check_json(request)
    if refusal is not None:
        return result.Failure(refusal)
    body = await request.app[limits.KEY].read_body(request)
    if isinstance(body, result.Failure):
        return body
    if headers.exposes_key(request, body.unwrap()):
        return errors.failed(
            errors.Reason.BAD_REQUEST,
            "The API key must be sent only in the Authorization header.",
        )
    return parse(kind, body.unwrap())


def parse(kind: type[M], data: bytes) -> errors.Outcome[M]:
    """Validates a JSON body; a failure names the first invalid field."""
    try:
        return result.Success(kind.model_validate_json(data))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        return errors.failed(
            errors.Reason.BAD_REQUEST, f"{where[:200]}: {first['msg']}"
        )
