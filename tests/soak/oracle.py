"""Checks invariants against what callers and targets have observed."""

from __future__ import annotations

import dataclasses
import itertools
import json
import math
from typing import TYPE_CHECKING, Any

from mangotally.util import clock as clock_lib
from tests.soak import processes, workload
from tests.soak.workload import RequestKind

if TYPE_CHECKING:
    import pathlib


SETTLE_MS = 1000
# A graceful stop may close a connection whose request was not read yet.
UNREAD_MS = 200
MAX_FINDINGS = 20
# A target that leaves gets no requests after this time.
DRAIN_MS = 2000
MAX_IN_WINDOW = (
    workload.RATE_PER_S * processes.RATE_WINDOW_S + workload.BURST
) * (1 + processes.RATE_OVERSHOOT) + processes.RATE_SLACK
_OK = 200
_BUDGET_SPENT = 402
_NOT_EXECUTED = frozenset({408, 421, 429, 503})
_TURN_NOT_FOUND = frozenset({404, 410})
_POSSIBLY_EXECUTED = frozenset({502, 504})
# Fields of an attempt that are not written as they are.
_REFERENCES = frozenset(
    {"parent", "program", "resumes", "kind", "body", "runs"}
)


@dataclasses.dataclass
class Run:
    """An execution of a request at a target.

    Attributes:
        target: The id of the target.
        service: The service of the target.
        stamp: Unique stamp of the response.
        at_ms: When the execution began.
        status: Status of the response.
        body: The complete body of the response.
        is_faulty: Whether the target injects a fault into the response.
    """

    target: str
    service: str
    stamp: str
    at_ms: float
    status: int
    body: bytes
    is_faulty: bool = False


@dataclasses.dataclass
class Program:
    """A program and the requests sent for it.

    Attributes:
        id: The id of the program.
        budget: Number of tokens that its turns may generate.
        attempts: All its turns, including failed ones.
        wrong_refusals: Number of turns that were refused though the budget
            sufficed for another turn.
    """

    id: str
    budget: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    wrong_refusals: int = 0

    @property
    def delivered_tokens(self) -> int:
        """Number of tokens that were delivered to the caller."""
        events = sum(each.events for each in self.attempts)
        return events * workload.EVENT_TOKENS


@dataclasses.dataclass
class Attempt:
    """One request of a caller and its outcome.

    Attributes:
        id: The id of the request.
        kind: Kind of the request.
        host: Name of the host it was sent to.
        key: The API key of the caller.
        method: HTTP method.
        path: Path and query.
        body: Body as sent.
        parent: The turn that it continues from, or None.
        program: The program it belongs to, or None.
        resumes: The request whose answer brought the first event of the stream
            that this one continues, or None.
        received: Number of events of the stream received over all requests
            that continue it; counted at its first request.
        version: Software version that generated the first event, or empty.
        is_foreign: Whether the parent is a turn of another organisation.
        sent_ms: When the caller began to send it.
        ended_ms: When the response or the connection ended.
        status: Status of the response, or 0.
        stamp: Stamp of the response.
        events: Number of events received.
        is_whole: Whether the response is complete.
        error: The error of the caller, if it is not complete.
        is_abandoned: Whether the caller gave up before the end.
        runs: Executions of the request at targets.
    """

    id: str
    kind: RequestKind
    host: str
    key: str
    method: str
    path: str
    body: bytes
    parent: Attempt | None = None
    program: Program | None = None
    resumes: Attempt | None = None
    received: int = 0
    version: str = ""
    is_foreign: bool = False
    sent_ms: float = 0.0
    ended_ms: float | None = None
    status: int = 0
    stamp: str = ""
    events: int = 0
    is_whole: bool = False
    error: str = ""
    is_abandoned: bool = False
    runs: list[Run] = dataclasses.field(default_factory=list)

    @property
    def is_served(self) -> bool:
        """Whether the caller got a complete, successful response."""
        return self.is_whole and self.status == _OK

    @property
    def origin(self) -> Attempt:
        """The request that began its stream."""
        return self.resumes or self

    @property
    def history(self) -> bytes:
        """The prompt prefix of a turn that continues from this one."""
        before = self.parent.history if self.parent else b""
        return before + workload.history_bytes(self.id, self.body)

    @property
    def expected_body(self) -> bytes:
        """The body that a target should receive."""
        return (self.parent.history if self.parent else b"") + self.body


class Oracle:
    """Records all requests and checks the invariants of the system.

    Attributes:
        clock: Clock of the recorded times.
        numbers: Numbers for the ids of requests and programs.
        findings: Violated invariants, each with the name of its rule.
        attempts: All requests, by id.
        programs: All programs.
        organisations: The organisation of each key.
        permanent_keys: Keys that are valid during the whole run.
        withdrawn_ms: When each key was withdrawn.
        services: The services that each route may lead to.
        planned_stops: When each host was stopped gracefully.
        leaving_ms: When each host first passed on an answer of a target that
            said that it leaves, by host and target.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.numbers = itertools.count(1)
        self.findings: list[str] = []
        self.attempts: dict[str, Attempt] = {}
        self.programs: list[Program] = []
        self.organisations: dict[str, str] = {}
        self.permanent_keys: set[str] = set()
        self.withdrawn_ms: dict[str, float] = {}
        self.services: dict[str, set[str]] = {}
        self.planned_stops: dict[str, float] = {}
        self.leaving_ms: dict[tuple[str, str], float] = {}
        self._reported: set[tuple[str, str]] = set()

    def add_finding(
        self, rule: str, attempt: Attempt | None, detail: str
    ) -> None:
        """Records a violated invariant, once for each rule and request."""
        request = attempt.id if attempt else ""
        if (rule, request) in self._reported:
            return
        self._reported.add((rule, request))
        if len(self.findings) < MAX_FINDINGS:
            host = f" at {attempt.host}" if attempt else ""
            now_ms = self.clock.wall_ms()
            self.findings.append(f"{rule} {request}{host} {detail} ({now_ms})")

    def record_sent(self, attempt: Attempt) -> None:
        """Records a request just before it is sent."""
        attempt.sent_ms = self.clock.now_ms()
        self.attempts[attempt.id] = attempt
        if attempt.program is not None:
            attempt.program.attempts.append(attempt)

    def record_run(
        self, run: Run, method: str, path: str, headers: Any, body: bytes
    ) -> None:
        """Records and checks an execution as it begins at a target."""
        attempt = self.attempts.get(headers.get("Request-Id", ""))
        if attempt is None:
            self.add_finding("UNASKED", None, f"{run.stamp}: unknown id")
            return
        attempt.runs.append(run)
        self._check_content(attempt, method, path, headers, body)
        self._check_key(attempt, run, headers)
        if len(attempt.runs) > 1 and not attempt.kind.is_repeatable:
            stamps = [each.stamp for each in attempt.runs]
            self.add_finding("TWICE", attempt, f"{stamps}")
        if attempt.ended_ms is not None:
            self._check_refusal(attempt)
        left_ms = self.leaving_ms.get((attempt.host, run.target), math.inf)
        if attempt.sent_ms > left_ms + DRAIN_MS:
            self.add_finding("DRAIN", attempt, f"run by {run.target}")
        if run.service not in self.services[attempt.kind.value]:
            self.add_finding("ROUTE", attempt, f"run by {run.service}")

    def record_events(self, attempt: Attempt, events: list[bytes]) -> None:
        """Records and checks events as they reach the caller."""
        origin = attempt.origin
        for event in events:
            attempt.events += 1
            origin.received += 1
            origin.version = origin.version or workload.event_version(event)
            expected = workload.event_bytes(
                origin.id, origin.received, origin.version
            )
            if event != expected[:-2]:
                self.add_finding(
                    "ORDER",
                    attempt,
                    f"event {origin.received} of {origin.version}: {event!r}",
                )
        program = attempt.program
        if program is None:
            return
        if program.delivered_tokens > program.budget + workload.MAX_TOKENS:
            self.add_finding(
                "BUDGET",
                attempt,
                f"{program.id}: {program.delivered_tokens} of {program.budget}",
            )

    def record_end(self, attempt: Attempt, body: bytes) -> None:
        """Records the end of a request, whose fields are set, and checks it."""
        attempt.ended_ms = self.clock.now_ms()
        if attempt.is_whole:
            self._check_answer(attempt, body)
            self._check_refusal(attempt)
        if attempt.status == _BUDGET_SPENT and attempt.is_whole:
            self._check_spent(attempt)
        self._check_planned_stop(attempt)

    def record_leaving(self, attempt: Attempt) -> None:
        """Records that an answer says that its target leaves."""
        target = attempt.stamp.rpartition(".")[0]
        known = (attempt.host, target)
        self.leaving_ms.setdefault(known, self.clock.now_ms())

    def excuse_leaving(self, host: str) -> None:
        """Forgets what a host has passed on: it was restarted or paused."""
        for known in [each for each in self.leaving_ms if each[0] == host]:
            del self.leaving_ms[known]

    def check_rates(self) -> None:
        """Checks the rate of the limited organisation in every window.

        A lower limit takes effect only after all hosts have communicated, so
        the check uses the initial limit, which is the highest one.
        """
        window_ms = processes.RATE_WINDOW_S * clock_lib.MS_PER_S
        found = sorted(
            (each.runs[0].at_ms, each.sent_ms)
            for each in self.attempts.values()
            if each.runs and each.key == workload.LIMITED_KEY
        )
        for number, (end_ms, _) in enumerate(found):
            begin_ms = end_ms - window_ms
            count = sum(
                sent_ms >= begin_ms for _, sent_ms in found[: number + 1]
            )
            if count > MAX_IN_WINDOW:
                self.add_finding(
                    "QUOTA", None, f"{count} in the window to {end_ms}"
                )

    def max_spent_tokens(self, program: Program, excluded: Attempt) -> int:
        """Returns an upper bound of the tokens spent, as its callers saw it.

        Args:
            program: The program.
            excluded: A turn that has just ended and is not counted. Turns that
                ended less than SETTLE_MS before it was sent count at the
                maximum.
        """
        assert excluded.ended_ms is not None
        settled_ms = excluded.sent_ms - SETTLE_MS
        return sum(
            _max_attempt_tokens(each, settled_ms)
            for each in program.attempts
            if each is not excluded
        )

    def write(self, path: pathlib.Path) -> None:
        """Writes all requests as JSON lines."""
        with path.open("w") as lines:
            for each in self.attempts.values():
                lines.write(json.dumps(_describe(each)) + "\n")

    def _check_content(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        headers: Any,
        body: bytes,
    ) -> None:
        if (method, path) != (attempt.method, attempt.path):
            self.add_finding("UNASKED", attempt, f"{method} {path}")
        if attempt.is_foreign:
            self.add_finding(
                "UNASKED", attempt, "continues from another's turn"
            )
        elif body != attempt.expected_body:
            self.add_finding(
                "UNASKED",
                attempt,
                f"body of {len(body)}, not {len(attempt.expected_body)}",
            )
        last = headers.get("Last-Event-Id")
        if last is not None and attempt.kind is not workload.RequestKind.QUERY:
            self.add_finding("UNASKED", attempt, f"resumed at {last}")

    def _check_key(self, attempt: Attempt, run: Run, headers: Any) -> None:
        if any(attempt.key in each for each in headers.values()):
            self.add_finding("KEY", attempt, "the target was sent the key")
        organisation = headers.get("Tenant")
        if organisation != self.organisations.get(attempt.key):
            self.add_finding("KEY", attempt, f"organisation {organisation}")
        withdrawn_ms = self.withdrawn_ms.get(attempt.key)
        if withdrawn_ms is None:
            return
        delay_ms = attempt.sent_ms - withdrawn_ms
        if delay_ms > processes.WITHDRAWN_KEY_MS:
            self.add_finding(
                "WITHDRAWN",
                attempt,
                f"sent {delay_ms:.0f} ms after the key went; {run.stamp}",
            )

    def _check_refusal(self, attempt: Attempt) -> None:
        """Checks that a request refused as not executed was not executed."""
        if not attempt.is_whole or not attempt.runs:
            return
        is_refused = (
            attempt.status in _NOT_EXECUTED and not attempt.kind.is_repeatable
        )
        if is_refused or attempt.status == _BUDGET_SPENT:
            last = attempt.runs[-1]
            self.add_finding(
                "REFUSED", attempt, f"{attempt.status}, ran: {last.stamp}"
            )

    def _check_answer(self, attempt: Attempt, body: bytes) -> None:
        match attempt.status:
            case 200:
                self._check_success(attempt, body)
            case 401:
                if attempt.key in self.permanent_keys:
                    self.add_finding("DENIED", attempt, "401")
            case status if status in _TURN_NOT_FOUND:
                self._check_no_turn(attempt)
            case 500:
                self._check_failure(attempt)
            case status if status in _NOT_EXECUTED | _POSSIBLY_EXECUTED | {
                _BUDGET_SPENT
            }:
                pass
            case status:
                self.add_finding("DENIED", attempt, f"{status} {body[:80]!r}")

    def _check_success(self, attempt: Attempt, body: bytes) -> None:
        if attempt.is_foreign:
            self.add_finding(
                "UNASKED", attempt, "continued from another's turn"
            )
        runs = [each for each in attempt.runs if each.stamp == attempt.stamp]
        if not runs or runs[0].status != _OK:
            self.add_finding("MIXED", attempt, f"stamp {attempt.stamp!r}")
        elif attempt.kind.is_stream:
            received = attempt.origin.received
            if received != workload.event_count(attempt.origin.id):
                self.add_finding(
                    "ORDER", attempt, f"complete after {received} events"
                )
            if body:
                self.add_finding(
                    "MIXED", attempt, f"rest of a stream {body[:80]!r}"
                )
        elif body != runs[0].body:
            self.add_finding(
                "MIXED", attempt, f"body of {len(body)}, {len(runs[0].body)}"
            )

    def _check_no_turn(self, attempt: Attempt) -> None:
        if attempt.is_foreign:
            return
        rule = "DENIED" if attempt.parent is None else "LOST"
        parent = attempt.parent.id if attempt.parent else None
        self.add_finding(rule, attempt, f"{attempt.status}, parent {parent}")

    def _check_failure(self, attempt: Attempt) -> None:
        if not any(each.status == attempt.status for each in attempt.runs):
            self.add_finding("MIXED", attempt, f"{attempt.status} of no target")

    def _check_spent(self, attempt: Attempt) -> None:
        program = attempt.program
        if program is None:
            self.add_finding("DENIED", attempt, "402 without a program")
            return
        spent = self.max_spent_tokens(program, attempt)
        if spent + workload.MAX_TOKENS <= program.budget:
            program.wrong_refusals += 1

    def _check_planned_stop(self, attempt: Attempt) -> None:
        stop_ms = self.planned_stops.get(attempt.host)
        is_cut = not attempt.is_whole and not attempt.is_abandoned
        if stop_ms is None or not is_cut or attempt.error == "connect":
            return
        assert attempt.ended_ms is not None
        if attempt.ended_ms < stop_ms:
            return
        took_ms = attempt.ended_ms - attempt.sent_ms
        if attempt.runs or took_ms > UNREAD_MS:
            self.add_finding(
                "STOP",
                attempt,
                f"cut {attempt.ended_ms - stop_ms:.0f} ms after SIGTERM, "
                f"{took_ms:.0f} ms after it was sent: {attempt.error}, "
                f"{len(attempt.runs)} runs",
            )


def _max_attempt_tokens(attempt: Attempt, settled_ms: float) -> int:
    if attempt.ended_ms is None:
        return workload.MAX_TOKENS
    if not attempt.runs:
        return 0
    is_settled = attempt.is_whole and attempt.ended_ms < settled_ms
    if is_settled and attempt.status == _OK:
        return attempt.events * workload.EVENT_TOKENS
    return workload.MAX_TOKENS


def _describe(attempt: Attempt) -> dict[str, Any]:
    found = {
        field.name: getattr(attempt, field.name)
        for field in dataclasses.fields(attempt)
        if field.name not in _REFERENCES
    }
    found["kind"] = attempt.kind.name
    found["body_bytes"] = len(attempt.body)
    found["parent"] = attempt.parent.id if attempt.parent else None
    found["resumes"] = attempt.resumes.id if attempt.resumes else None
    if attempt.program is not None:
        found["program"] = attempt.program.id
        found["budget"] = attempt.program.budget
    found["runs"] = [
        [each.stamp, each.at_ms, each.status, each.is_faulty]
        for each in attempt.runs
    ]
    return found
