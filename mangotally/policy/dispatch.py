"""Which request runs next, and at which target of its service.

Load pattern: bursts and slow targets. Targets admit in order of arrival and
know no priorities, so requests wait here, before the targets, and no target
is given more than it runs at once. The order is by urgency, programs under
way before new ones, and those that can still be in time before those that
cannot.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import NewType

from mangotally import ids

Ticket = NewType("Ticket", str)

# Weight of a new observation of a target's pace.
PACE_SMOOTHING = 0.15
MIN_PACE = 0.25
MAX_PACE = 20.0
# Pace lost to the other requests of a full batch.
BATCH_SLOWDOWN = 0.25
# Part of a run that a warm prefix saves.
CACHED_PREFIX_BONUS = 0.05
# Part of a run that a connection that is open already is worth.
OPEN_CONNECTION_BONUS = 0.15
# Part of a run that staying in the failure domain is worth.
SAME_DOMAIN_BONUS = 0.04
FIRST_RUN_MS = 150.0
RUN_TIME_SMOOTHING = 0.05
# Requests that may wait for each slot of the service.
MAX_QUEUE_PER_SLOT = 4.0
BACKOFF_MS = 1000.0
MAX_BACKOFF_MS = 8000.0
MAX_SESSIONS = 20_000
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that needs a place at a target.

    Attributes:
        ticket: Names it, on all hosts.
        host: The host that forwards it.
        failure_domain: Where that host is.
        priority: Rank; 0 is the highest.
        is_new: Whether it begins a program.
        due_ms: When its program should be finished.
        deadline_ms: When an answer is of no use any more.
        session: Requests with the same value share a cached prefix; empty
            if none is shared.
        excluded: Targets that must not be chosen.
        connected: Targets to which its host has an idle connection.
    """

    ticket: Ticket
    host: ids.HostId
    failure_domain: ids.FailureDomainId
    priority: int
    is_new: bool
    due_ms: float
    deadline_ms: float
    session: str = ""
    excluded: frozenset[ids.TargetId] = frozenset()
    connected: frozenset[ids.TargetId] = frozenset()


class EndReason(enum.Enum):
    """How a request ended at its target.

    Attributes:
        DONE: With a whole answer.
        REJECTED: The target did not run it.
        FAILED: Connection refused or lost, or an answer that is not one.
        CANCELLED: The caller left, or the time was over.
    """

    DONE = "done"
    REJECTED = "rejected"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Finished:
    """A request has left its target.

    Attributes:
        ticket: The request.
        target: Where it was.
        end: How it ended.
        run_ms: How long it was there.
        units: Size of its work in any measure that is the same for all
            requests of the service; 0 if it is not known.
    """

    ticket: Ticket
    target: ids.TargetId
    end: EndReason
    run_ms: float = 0.0
    units: float = 0.0


@dataclasses.dataclass(frozen=True)
class Placed:
    """A request goes to a target.

    Attributes:
        ticket: The request.
        target: The target.
        waited_ms: How long it waited for it.
    """

    ticket: Ticket
    target: ids.TargetId
    waited_ms: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request will not be served in time.

    Attributes:
        ticket: The request.
        retry_after_ms: When there may be room.
        reason: Why.
    """

    ticket: Ticket
    retry_after_ms: float
    reason: str


class TargetView:
    """What is known of one target.

    Attributes:
        slots: Requests that it runs at once.
        failure_domain: Where it is.
        is_open: Whether it takes new requests.
        inside: Tickets there.
        pace: Time for a unit of work, relative to the service's targets.
    """

    def __init__(
        self, slots: int, failure_domain: ids.FailureDomainId, is_open: bool
    ) -> None:
        """Makes a view of a target with nothing inside."""
        self.slots = slots
        self.failure_domain = failure_domain
        self.is_open = is_open
        self.in_flight: dict[Ticket, ids.HostId] = {}
        self.relative_time = 1.0
        self._suspect_until_ms = 0.0
        self._failures = 0

    def free_slots(self, now_ms: float) -> int:
        """Returns how many more requests it may get."""
        if not self.is_open:
            return 0
        if now_ms < self._suspect_until_ms:
            return 0
        if self._failures:
            return 1 - len(self.in_flight)
        return self.slots - len(self.in_flight)

    def succeed(self) -> None:
        """Notes a whole answer."""
        self._failures = 0

    def fail(self, now_ms: float) -> None:
        """Notes a fault; a target with faults in a row gets a pause."""
        self._failures += 1
        if self._failures >= 2:
            pause_ms = BACKOFF_MS * 2.0 ** min(self._failures - 2, 4)
            self._suspect_until_ms = now_ms + min(pause_ms, MAX_BACKOFF_MS)

    def reject(self, now_ms: float, pause_ms: float) -> None:
        """Notes that it was full, and gives it a pause."""
        self._suspect_until_ms = max(self._suspect_until_ms, now_ms + pause_ms)


@dataclasses.dataclass
class _Waiting:
    work: QueuedRequest
    since_ms: float
    seen_ms: float


class Dispatcher:
    """Places the requests of one service, and lets the rest wait."""

    def __init__(self) -> None:
        """Makes a dispatcher of a service without targets."""
        self._targets: dict[ids.TargetId, TargetView] = {}
        self._queue: dict[Ticket, _Waiting] = {}
        self._sessions: dict[str, ids.TargetId] = {}
        self._run_ms = FIRST_RUN_MS
        self._unit_ms = 0.0
        self._results: list[Placed | Refused] = []

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """How many requests are at targets."""
        return sum(len(each.in_flight) for each in self._targets.values())

    def tickets(self) -> set[Ticket]:
        """Returns the requests that wait or are at targets."""
        found = set(self._queue)
        for view in self._targets.values():
            found.update(view.in_flight)
        return found

    def set_target(
        self,
        target: ids.TargetId,
        slots: int,
        failure_domain: ids.FailureDomainId,
        is_open: bool,
    ) -> None:
        """Adds a target, or changes whether it takes new requests."""
        found = self._targets.get(target)
        if found is None:
            found = TargetView(slots, failure_domain, is_open)
            self._targets[target] = found
        found.slots = slots
        found.is_open = is_open

    def drop_target(self, target: ids.TargetId) -> None:
        """Forgets a target that is gone."""
        self._targets.pop(target, None)

    def submit(self, work: QueuedRequest, now_ms: float) -> None:
        """Adds a request, or notes that its host still waits for it."""
        found = self._queue.get(work.ticket)
        if found is not None:
            found.seen_ms = now_ms
            return
        self._queue[work.ticket] = _Waiting(work, now_ms, now_ms)

    def withdraw(self, ticket: Ticket) -> None:
        """Takes back a request that waits or was placed."""
        if self._queue.pop(ticket, None) is None:
            for view in self._targets.values():
                view.in_flight.pop(ticket, None)

    def finish(self, finished: Finished, now_ms: float) -> None:
        """Notes that a request has left its target."""
        view = self._targets.get(finished.target)
        if view is None:
            return
        view.in_flight.pop(finished.ticket, None)
        match finished.end:
            case EndReason.DONE:
                view.succeed()
                self._learn(view, finished)
            case EndReason.REJECTED:
                view.reject(now_ms, self._run_ms / max(1, view.slots))
            case EndReason.FAILED:
                view.fail(now_ms)
            case EndReason.CANCELLED:
                pass

    def adopt(
        self, ticket: Ticket, host: ids.HostId, target: ids.TargetId
    ) -> None:
        """Counts a request that was placed elsewhere."""
        view = self._targets.get(target)
        if view is not None:
            view.in_flight.setdefault(ticket, host)

    def retain(self, host: ids.HostId, tickets: frozenset[Ticket]) -> None:
        """Forgets the requests of a host that it does not have any more."""
        for view in self._targets.values():
            gone = [
                ticket
                for ticket, holder in view.in_flight.items()
                if holder == host and ticket not in tickets
            ]
            for ticket in gone:
                del view.in_flight[ticket]

    def drop_stale(self, before_ms: float) -> None:
        """Forgets waiting requests whose hosts have not asked lately."""
        silent = [
            ticket
            for ticket, waiting in self._queue.items()
            if waiting.seen_ms < before_ms
        ]
        for ticket in silent:
            del self._queue[ticket]

    def advance(self, now_ms: float) -> list[Placed | Refused]:
        """Places what can be placed, and refuses what can't be in time."""
        if self._queue:
            ordered = self._ordered(now_ms)
            self._place(ordered, now_ms)
            self._refuse(ordered, now_ms)
        results, self._results = self._results, []
        return results

    def _place(self, ordered: list[_Waiting], now_ms: float) -> None:
        if not self._has_room(now_ms):
            return
        for waiting in ordered:
            target = self._choose(waiting.work, now_ms)
            if target is None:
                if not self._has_room(now_ms):
                    return
                continue
            self._put(waiting, target, now_ms)

    def _put(
        self, waiting: _Waiting, target: ids.TargetId, now_ms: float
    ) -> None:
        work = waiting.work
        del self._queue[work.ticket]
        self._targets[target].in_flight[work.ticket] = work.host
        if work.session:
            self._sessions.pop(work.session, None)
            self._sessions[work.session] = target
            if len(self._sessions) > MAX_SESSIONS:
                del self._sessions[next(iter(self._sessions))]
        self._results.append(
            Placed(work.ticket, target, now_ms - waiting.since_ms)
        )

    def _has_room(self, now_ms: float) -> bool:
        return any(
            each.free_slots(now_ms) > 0 for each in self._targets.values()
        )

    def _choose(
        self, work: QueuedRequest, now_ms: float
    ) -> ids.TargetId | None:
        last = self._sessions.get(work.session) if work.session else None
        best: ids.TargetId | None = None
        best_cost = float("inf")
        for name, view in self._targets.items():
            if name in work.excluded or view.free_slots(now_ms) <= 0:
                continue
            cost = self._cost(work, view)
            cost -= CACHED_PREFIX_BONUS * (name == last)
            cost -= OPEN_CONNECTION_BONUS * (name in work.connected)
            if cost < best_cost:
                best, best_cost = name, cost
        return best

    def _cost(self, work: QueuedRequest, view: TargetView) -> float:
        load = len(view.in_flight) / view.slots
        cost = view.relative_time * (1.0 + BATCH_SLOWDOWN * load)
        if view.failure_domain == work.failure_domain:
            cost -= SAME_DOMAIN_BONUS
        return cost

    def _ordered(self, now_ms: float) -> list[_Waiting]:
        return sorted(
            self._queue.values(),
            key=lambda waiting: self._rank(waiting, now_ms),
        )

    def _rank(
        self, waiting: _Waiting, now_ms: float
    ) -> tuple[int, bool, bool, float]:
        work = waiting.work
        is_late = work.due_ms <= now_ms
        return work.priority, is_late, work.is_new, work.due_ms

    def _refuse(self, ordered: list[_Waiting], now_ms: float) -> None:
        slots = sum(
            each.slots for each in self._targets.values() if each.is_open
        )
        left = [each for each in ordered if each.work.ticket in self._queue]
        for ahead, waiting in enumerate(left):
            wait_ms = (ahead + 1) * self._run_ms / max(1, slots)
            reason = self._refusal(waiting.work, ahead, slots, now_ms + wait_ms)
            if reason is None:
                continue
            retry_after_ms = min(
                MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)
            )
            ticket = waiting.work.ticket
            del self._queue[ticket]
            self._results.append(Refused(ticket, retry_after_ms, reason))

    def _refusal(
        self, work: QueuedRequest, ahead: int, slots: int, start_ms: float
    ) -> str | None:
        """Returns why a request that would start at a time is refused."""
        if not slots:
            return "no-target"
        if start_ms + self._run_ms > work.deadline_ms:
            return "too-late"
        if work.is_new and ahead > slots * MAX_QUEUE_PER_SLOT:
            return "queue-full"
        return None

    def _learn(self, view: TargetView, finished: Finished) -> None:
        if finished.run_ms <= 0:
            return
        self._run_ms += RUN_TIME_SMOOTHING * (finished.run_ms - self._run_ms)
        if finished.units <= 0:
            return
        unit_ms = finished.run_ms / finished.units
        if not self._unit_ms:
            self._unit_ms = unit_ms
        pace = min(MAX_PACE, max(MIN_PACE, unit_ms / self._unit_ms))
        view.relative_time += PACE_SMOOTHING * (pace - view.relative_time)
        self._unit_ms += RUN_TIME_SMOOTHING * (
            unit_ms / max(MIN_PACE, view.relative_time) - self._unit_ms
        )
