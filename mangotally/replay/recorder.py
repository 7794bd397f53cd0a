"""Records programs as a trace, without message contents or API keys."""

from __future__ import annotations

import collections
import dataclasses
import logging
from typing import TYPE_CHECKING, Protocol, Self

from mangotally import ids
from mangotally.replay import trace

if TYPE_CHECKING:
    import io
    import pathlib
    from collections.abc import Callable

logger = logging.getLogger(__name__)

MAX_OPEN_PROGRAMS = 10_000


@dataclasses.dataclass(frozen=True)
class TurnRecord:
    """Lengths and times of a completed turn.

    Attributes:
        organisation: The organisation of the program.
        program: The program.
        service: The service that answered.
        started_ms: Start time.
        ended_ms: Time at which the answer was complete.
        prompt_tokens: Length of the whole prompt.
        answer_tokens: Length of the answer.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    service: ids.ServiceId
    started_ms: float
    ended_ms: float
    prompt_tokens: int
    answer_tokens: int


class Recorder(Protocol):
    """Receives the turns and ends of programs."""

    def record_turn(self, record: TurnRecord) -> None:
        """Records a completed turn."""

    def record_program_end(self, program: ids.ProgramId) -> None:
        """Records that a program has been removed."""


@dataclasses.dataclass
class _Open:
    """A program that has not ended."""

    first: TurnRecord
    last: TurnRecord
    turns: list[trace.Turn]
    agents: list[trace.Agent]


class TraceRecorder:
    """Writes one trace file per service, as a context manager.

    Memory and files are bounded: the oldest open program is written early
    if there are more than `MAX_OPEN_PROGRAMS`, and the recording of a
    service ends when its file has reached `trace.MAX_BYTES`.
    """

    def __init__(
        self,
        path: pathlib.Path,
        make_header: Callable[[ids.ServiceId], trace.Header | None],
        now_ms: float,
    ) -> None:
        """Creates a recorder; files are created when they are needed.

        Args:
            path: File to write; the name of the service is appended to its
                stem.
            make_header: Returns the header of a service's trace, or None
                while the configuration is unknown.
            now_ms: Start time of the trace.
        """
        self._path = path
        self._make_header = make_header
        self._start_ms = now_ms
        self._open: collections.OrderedDict[ids.ProgramId, _Open] = (
            collections.OrderedDict()
        )
        self._files: dict[ids.ServiceId, io.BufferedWriter] = {}
        self._remaining_bytes: dict[ids.ServiceId, int] = {}
        self._count = 0

    def __enter__(self) -> Self:
        """Returns the recorder."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """Writes all open programs and closes the files."""
        for program in sorted(self._open, reverse=True):
            self.record_program_end(program)
        for file in self._files.values():
            file.close()

    def record_turn(self, record: TurnRecord) -> None:
        """Records a completed turn."""
        found = self._open.get(record.program)
        if found is None:
            found = _Open(record, record, [], [])
            self._open[record.program] = found
            added = record.prompt_tokens
        else:
            last = found.last
            pause_ms = int(record.started_ms - last.ended_ms)
            pause_ms = min(max(0, pause_ms), trace.MAX_DURATION_MS)
            found.turns[-1] = (*found.turns[-1][:2], pause_ms)
            added = record.prompt_tokens - last.prompt_tokens
            added = max(0, added - last.answer_tokens)
        found.last = record
        found.turns.append((added, record.answer_tokens, 0))
        if len(found.turns) >= trace.MAX_TURNS:
            self.record_program_end(record.program)
        if len(self._open) > MAX_OPEN_PROGRAMS:
            self.record_program_end(next(iter(self._open)))

    def record_program_end(self, program: ids.ProgramId) -> None:
        """Records that a program has been removed."""
        found = self._open.pop(program, None)
        if found is None:
            return
        root = self._open.get(ids.root_of(program))
        if root is not None and len(root.agents) < trace.MAX_AGENTS:
            root.agents.append(
                trace.Agent(
                    after_turn=len(root.turns), turns=tuple(found.turns)
                )
            )
            return
        at_ms = max(0, int(found.first.started_ms - self._start_ms))
        if at_ms > trace.MAX_DURATION_MS:
            return
        self._count += 1
        row = trace.Program(
            id=f"p{self._count}",
            at_ms=at_ms,
            organisation=found.first.organisation,
            turns=tuple(found.turns),
            agents=tuple(found.agents),
        )
        self._write(found.first.service, trace.encode_line(row))

    def _write(self, service: ids.ServiceId, line: bytes) -> None:
        file = self._files.get(service) or self._create(service)
        if file is None:
            return
        remaining = self._remaining_bytes[service] - len(line)
        if remaining < 0:
            if self._remaining_bytes[service] > 0:
                logger.warning("trace_full", extra={"service": service})
            remaining = 0
        else:
            file.write(line)
            file.flush()
        self._remaining_bytes[service] = remaining

    def _create(self, service: ids.ServiceId) -> io.BufferedWriter | None:
        header = self._make_header(service)
        if header is None:
            return None
        path = self._path.with_stem(f"{self._path.stem}-{service}")
        try:
            file = path.open("wb")
        except OSError as error:
            logger.warning(
                "trace_not_written",
                extra={"path": str(path), "reason": error.strerror},
            )
            return None
        line = trace.encode_line(header)
        file.write(line)
        self._files[service] = file
        self._remaining_bytes[service] = trace.MAX_BYTES - len(line)
        return file
