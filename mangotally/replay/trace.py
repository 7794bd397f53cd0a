"""Trace files: programs and events of one pool as JSON lines."""

from __future__ import annotations

import enum
import json
from typing import TYPE_CHECKING, Annotated, Any, Literal

import pydantic
from returns import result

from mangotally.settings import lists

if TYPE_CHECKING:
    import pathlib

VERSION = 1
MAX_BYTES = 8 * 1024 * 1024
MAX_LINE_BYTES = 256 * 1024
MAX_PROGRAMS = 100_000
MAX_TURNS = 1000
MAX_AGENTS = 32
MAX_DURATION_MS = 24 * 3600 * 1000

Tokens = Annotated[int, pydantic.Field(ge=0, le=10_000_000)]
TimeMs = Annotated[int, pydantic.Field(ge=0, le=MAX_DURATION_MS)]
# Tokens added to the prompt, tokens of the answer, pause after it in ms.
Turn = tuple[Tokens, Tokens, TimeMs]
Turns = Annotated[
    tuple[Turn, ...], pydantic.Field(min_length=1, max_length=MAX_TURNS)
]


class _Strict(pydantic.BaseModel):
    """An immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Worker(_Strict):
    """A worker of the pool and its failure domain (`place`)."""

    id: lists.Name
    place: lists.Name


class Header(_Strict):
    """The first line of a trace.

    Attributes:
        version: Version of the format.
        name: Name of the trace.
        deployment: The deployment that it was recorded or generated for.
        service: The service whose pool is replayed.
        duration_ms: Length of the period in which programs arrive.
        workers: The pool's workers.
        worker_calls: Maximum number of concurrent calls of a worker.
        organisations: Name of the plan of each organisation.
        plans: The plans.
        offender: The organisation that exceeds its rate, or None.
    """

    version: Literal[1]
    name: lists.Name
    deployment: lists.Name
    service: lists.Name
    duration_ms: TimeMs
    workers: Annotated[
        tuple[Worker, ...], pydantic.Field(min_length=1, max_length=10_000)
    ]
    worker_calls: Annotated[int, pydantic.Field(ge=1, le=10_000)]
    organisations: Annotated[
        dict[lists.Name, lists.Name], pydantic.Field(max_length=20_000)
    ]
    plans: Annotated[tuple[lists.Plan, ...], pydantic.Field(max_length=1000)]
    offender: lists.Name | None = None

    @pydantic.model_validator(mode="after")
    def _check(self) -> Header:
        names = {plan.name for plan in self.plans}
        unknown = sorted(set(self.organisations.values()) - names)
        if unknown:
            raise ValueError(f"unknown plans: {', '.join(unknown)}")
        return self

    def plan_of(self, organisation: str) -> lists.Plan:
        """Returns the plan of an organisation in the trace."""
        name = self.organisations[organisation]
        return next(plan for plan in self.plans if plan.name == name)


class Agent(_Strict):
    """A sub-agent, whose parent waits until it has ended.

    Attributes:
        after_turn: Turn of the parent after which it starts, counted from 1.
        turns: Its turns.
    """

    after_turn: Annotated[int, pydantic.Field(ge=1, le=MAX_TURNS)]
    turns: Turns


class Program(_Strict):
    """A program of an organisation.

    Attributes:
        kind: Type of the line.
        id: Unique within the trace.
        at_ms: Start time.
        organisation: The organisation that runs it.
        turns: Its turns.
        agents: Its sub-agents.
        loop: Whether its turns repeat endlessly.
        deadline_ms: Its time limit from the start, or None for the wall time
            of its plan.
    """

    kind: Literal["program"] = "program"
    id: lists.Name
    at_ms: TimeMs
    organisation: lists.Name
    turns: Turns
    agents: Annotated[
        tuple[Agent, ...], pydantic.Field(max_length=MAX_AGENTS)
    ] = ()
    loop: bool = False
    deadline_ms: TimeMs | None = None


class Change(enum.Enum):
    """Changes of the availability of workers."""

    LOST = "lost"
    BACK = "back"


class WorkerEvent(_Strict):
    """A worker is lost or available again."""

    kind: Literal["worker"] = "worker"
    at_ms: TimeMs
    worker: lists.Name
    change: Change


class PlaceEvent(_Strict):
    """All workers of a failure domain are lost or available again."""

    kind: Literal["place"] = "place"
    at_ms: TimeMs
    place: lists.Name
    change: Change


class PlanEvent(_Strict):
    """A plan is changed."""

    kind: Literal["plan"] = "plan"
    at_ms: TimeMs
    plan: lists.Plan


Line = Annotated[
    Program | WorkerEvent | PlaceEvent | PlanEvent,
    pydantic.Field(discriminator="kind"),
]
Event = WorkerEvent | PlaceEvent | PlanEvent


class Trace(_Strict):
    """A complete trace."""

    header: Header
    programs: tuple[Program, ...]
    events: tuple[Event, ...] = ()


_line: pydantic.TypeAdapter[Program | Event] = pydantic.TypeAdapter(Line)


def load(path: pathlib.Path) -> result.Result[Trace, str]:
    """Reads a trace file; a failure gives file, line and reason."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        return result.Failure(f"{path}: {error.strerror}")
    if len(data) > MAX_BYTES:
        return result.Failure(f"{path}: longer than {MAX_BYTES} bytes")
    return parse(data, str(path))


def parse(data: bytes, name: str) -> result.Result[Trace, str]:
    """Parses and validates the content of a trace file.

    Args:
        data: The content.
        name: Name of the file, for error messages.
    """
    lines = data.split(b"\n")
    if lines and not lines[-1]:
        lines.pop()
    if not lines:
        return result.Failure(f"{name}: empty")
    parsed: list[Any] = []
    for number, line in enumerate(lines, start=1):
        try:
            parsed.append(_parse_line(line, number))
        except pydantic.ValidationError as error:
            return result.Failure(f"{name}:{number}: {_describe(error)}")
        except ValueError as error:
            return result.Failure(f"{name}:{number}: {error}")
    trace = Trace.model_construct(
        header=parsed[0],
        programs=tuple(x for x in parsed[1:] if isinstance(x, Program)),
        events=tuple(x for x in parsed[1:] if not isinstance(x, Program)),
    )
    problem = _find_problem(trace, parsed)
    if problem is not None:
        return result.Failure(f"{name}:{problem}")
    return result.Success(trace)


def dump(trace: Trace) -> bytes:
    """Encodes a trace as the content of a trace file."""
    rows = sorted((*trace.programs, *trace.events), key=lambda row: row.at_ms)
    return b"".join(encode_line(row) for row in (trace.header, *rows))


def encode_line(row: pydantic.BaseModel) -> bytes:
    """Encodes one line of a trace file."""
    content = row.model_dump(mode="json", exclude_defaults=True)
    kind = getattr(row, "kind", None)
    if kind is not None:
        content = {"kind": kind, **content}
    return json.dumps(content, separators=(",", ":")).encode() + b"\n"


def _parse_line(line: bytes, number: int) -> pydantic.BaseModel:
    if len(line) > MAX_LINE_BYTES:
        raise ValueError(f"longer than {MAX_LINE_BYTES} bytes")
    if number == 1:
        return Header.model_validate_json(line)
    return _line.validate_json(line)


def _describe(error: pydantic.ValidationError) -> str:
    item = error.errors(include_url=False, include_input=False)[0]
    where = ".".join(str(part) for part in item["loc"])
    return f"{where}: {item['msg']}" if where else item["msg"]


def _find_problem(trace: Trace, rows: list[Any]) -> str | None:
    header = trace.header
    if len(trace.programs) > MAX_PROGRAMS:
        return f" more than {MAX_PROGRAMS} programs"
    seen: set[str] = set()
    workers = {worker.id for worker in header.workers}
    for number, row in enumerate(rows[1:], start=2):
        match row:
            case Program() if row.id in seen:
                return f"{number}: the program {row.id!r} is listed twice"
            case Program() if row.organisation not in header.organisations:
                return f"{number}: unknown organisation {row.organisation!r}"
            case Program():
                seen.add(row.id)
            case WorkerEvent() if row.worker not in workers:
                return f"{number}: unknown worker {row.worker!r}"
    return None
