"""Dispatches the queued requests of a service to its targets.

Targets process requests in order of arrival and have no priorities. To handle
bursts and slow targets, requests therefore wait in a queue here, and a target
gets no more requests than it runs at once, and no more in a second than the
limit that it names. The queue is ordered by priority, then requests that are
not yet past their due time, then requests of active programs before those that
start a program, then by due time.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeVar

from mangotally import ids
from mangotally.policy import (
    crash_histories,
    target_choice,
    target_view,
    work_estimates,
)

T = TypeVar("T")

# Reasons of refusals for which waiting is useless.
NO_TARGET = "no-target"
NO_TARGET_OF_VERSION = "no-target-of-version"
CRASHES_TARGETS = "crashes-targets"
# Version of a target that has not said any.
NO_VERSION = ids.SoftwareVersion("")

# Under overload, a request that starts a program is refused if it would wait
# longer than this fraction of the time left for the program, or than the fixed
# time for short programs. The program needs many more turns: if it started, it
# and those already active would be late, and much of their work wasted.
NEW_PROGRAM_WAIT_FRACTION = 0.03
MIN_NEW_PROGRAM_WAIT_MS = 50.0
MAX_SESSIONS = 20_000
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that needs a slot at a target.

    Attributes:
        ticket: Identifies the request on all hosts.
        host: Host that forwards the request.
        failure_domain: Failure domain of that host.
        priority: Priority; 0 is the highest.
        is_new: Whether the request starts a program.
        due_ms: Time by which its program should be finished.
        deadline_ms: Time after which an answer is useless.
        session: Requests with the same value share a cached prefix; empty
            if no prefix is shared.
        excluded: Targets that must not be chosen.
        connected: Targets to which the host has an idle connection.
        version: The only software version that may run it, or None. What two
            versions generate can't be joined in one stream.
        digest: Identifies it if it is sent again under a new id.
        units: Predicted work, in a unit that is the same for all requests of
            the service; 0 if unknown.
    """

    ticket: ids.Ticket
    host: ids.HostId
    failure_domain: ids.FailureDomainId
    priority: int
    is_new: bool
    due_ms: float
    deadline_ms: float
    session: str = ""
    excluded: frozenset[ids.TargetId] = frozenset()
    connected: frozenset[ids.TargetId] = frozenset()
    version: ids.SoftwareVersion | None = None
    digest: crash_histories.RequestDigest = crash_histories.NO_DIGEST
    units: float = 0.0

    def allows(
        self, target: ids.TargetId, version: ids.SoftwareVersion
    ) -> bool:
        """Returns whether a target of a software version may run it."""
        if target in self.excluded:
            return False
        return self.version is None or self.version == version


class EndReason(enum.Enum):
    """How a request ended at its target.

    Attributes:
        DONE: The answer is complete.
        REJECTED: The target did not run the request.
        FAILED: The connection was refused or lost, or the answer is invalid.
        CANCELLED: The caller disconnected, or the deadline passed.
    """

    DONE = "done"
    REJECTED = "rejected"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Finished:
    """Report that a request has ended at its target.

    Attributes:
        ticket: The request.
        target: The target.
        end: How the request ended.
        run_ms: Run time at the target.
        units: Amount of work, in a unit that is the same for all requests of
            the service; 0 if unknown.
    """

    ticket: ids.Ticket
    target: ids.TargetId
    end: EndReason
    run_ms: float = 0.0
    units: float = 0.0


@dataclasses.dataclass(frozen=True)
class Placed:
    """A request was assigned to a target.

    Attributes:
        ticket: The request.
        target: The target.
        waited_ms: Time that the request spent in the queue.
    """

    ticket: ids.Ticket
    target: ids.TargetId
    waited_ms: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request was refused because it cannot be served in time.

    Attributes:
        ticket: The request.
        retry_after_ms: Estimated time until a slot is free.
        reason: Reason of the refusal.
    """

    ticket: ids.Ticket
    retry_after_ms: float
    reason: str


@dataclasses.dataclass
class _QueueEntry:
    request: QueuedRequest
    queued_ms: float
    last_submitted_ms: float


class Dispatcher:
    """Assigns the requests of one service to its targets; queues the rest."""

    def __init__(self) -> None:
        self._targets: dict[ids.TargetId, target_view.TargetView] = {}
        self._queue: dict[ids.Ticket, _QueueEntry] = {}
        self._sessions: dict[str, ids.TargetId] = {}
        # Sessions whose program was refused before any of it ran.
        self._refused_sessions: dict[str, None] = {}
        self._estimates = work_estimates.WorkEstimates()
        self._results: list[Placed | Refused] = []

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of requests at targets."""
        return sum(len(each.in_flight) for each in self._targets.values())

    def tickets(self) -> set[ids.Ticket]:
        """Returns the requests that are queued or at targets."""
        known = set(self._queue)
        for view in self._targets.values():
            known.update(view.in_flight)
        return known

    def set_target(
        self,
        target: ids.TargetId,
        slots: int,
        failure_domain: ids.FailureDomainId,
        is_open: bool,
        version: ids.SoftwareVersion = NO_VERSION,
    ) -> None:
        """Adds a target, or updates its slots, version and whether it is open.

        Args:
            target: The target.
            slots: Number of requests that it runs at once.
            failure_domain: Its failure domain.
            is_open: Whether it accepts new requests.
            version: Version of its software.
        """
        known = self._targets.get(target)
        if known is None:
            known = target_view.TargetView(slots, failure_domain, is_open)
            self._targets[target] = known
        known.slots = slots
        known.is_open = is_open
        known.version = version

    def set_limit(
        self, target: ids.TargetId, limit_per_s: float | None, now_ms: float
    ) -> None:
        """Sets the requests per second that a target accepts, or None."""
        view = self._targets.get(target)
        if view is not None:
            view.set_limit(limit_per_s, now_ms)

    def set_pace(self, target: ids.TargetId, pace: float, at_ms: float) -> None:
        """Records how long work takes at a target; see `target_pace`."""
        view = self._targets.get(target)
        if view is not None:
            view.pace.add(pace, at_ms)

    def drop_target(self, target: ids.TargetId) -> None:
        """Removes a target."""
        self._targets.pop(target, None)

    def submit(self, request: QueuedRequest, now_ms: float) -> None:
        """Adds a request, or records that its host still waits for it."""
        known = self._queue.get(request.ticket)
        if known is not None:
            known.last_submitted_ms = now_ms
            return
        if request.session in self._refused_sessions:
            request = dataclasses.replace(request, is_new=True)
        self._queue[request.ticket] = _QueueEntry(request, now_ms, now_ms)

    def withdraw(self, ticket: ids.Ticket) -> None:
        """Removes a request that is queued or was assigned to a target."""
        if self._queue.pop(ticket, None) is None:
            for view in self._targets.values():
                view.in_flight.pop(ticket, None)

    def finish(self, finished: Finished, now_ms: float) -> bool:
        """Records that a request has ended at its target.

        Returns:
            Whether the target answers again after it has been paused.
        """
        view = self._targets.get(finished.target)
        if view is None:
            return False
        view.in_flight.pop(finished.ticket, None)
        match finished.end:
            case EndReason.DONE:
                self._estimates.add(view, finished.run_ms, finished.units)
                return view.succeed()
            case EndReason.REJECTED:
                view.reject(now_ms, self._estimates.run_ms / max(1, view.slots))
            case EndReason.FAILED:
                view.fail(now_ms)
            case EndReason.CANCELLED:
                pass
        return False

    def adopt(
        self,
        ticket: ids.Ticket,
        host: ids.HostId,
        target: ids.TargetId,
    ) -> None:
        """Adds a request that another dispatcher assigned to a target."""
        view = self._targets.get(target)
        if view is not None:
            view.in_flight.setdefault(ticket, host)

    def retain(self, host: ids.HostId, tickets: frozenset[ids.Ticket]) -> None:
        """Drops in-flight requests of a host except those listed.

        Args:
            host: The host.
            tickets: Requests that the host still has at targets.
        """
        for view in self._targets.values():
            dropped = [
                ticket
                for ticket, request_host in view.in_flight.items()
                if request_host == host and ticket not in tickets
            ]
            for ticket in dropped:
                del view.in_flight[ticket]

    def drop_stale(self, before_ms: float) -> None:
        """Drops queued requests whose hosts have not asked since a time."""
        stale = [
            ticket
            for ticket, entry in self._queue.items()
            if entry.last_submitted_ms < before_ms
        ]
        for ticket in stale:
            del self._queue[ticket]

    def advance(self, now_ms: float) -> list[Placed | Refused]:
        """Assigns requests to targets; refuses those that would be too late.

        Returns:
            Assignments and refusals since the last call.
        """
        if self._queue:
            ordered = self._sorted_queue(now_ms)
            self._assign_all(ordered, now_ms)
            self._refuse(ordered, now_ms)
        results, self._results = self._results, []
        return results

    def _assign_all(self, ordered: list[_QueueEntry], now_ms: float) -> None:
        if not self._has_free_slot(now_ms):
            return
        for entry in ordered:
            target = self._choose_target(entry.request, now_ms)
            if target is None:
                if not self._has_free_slot(now_ms):
                    return
                continue
            self._assign(entry, target, now_ms)

    def _assign(
        self, entry: _QueueEntry, target: ids.TargetId, now_ms: float
    ) -> None:
        request = entry.request
        del self._queue[request.ticket]
        self._targets[target].begin(request.ticket, request.host, now_ms)
        if request.session:
            self._refused_sessions.pop(request.session, None)
            _remember(self._sessions, request.session, target)
        self._results.append(
            Placed(request.ticket, target, now_ms - entry.queued_ms)
        )

    def _has_free_slot(self, now_ms: float) -> bool:
        return any(
            each.free_slots(now_ms) > 0 for each in self._targets.values()
        )

    def _choose_target(
        self, request: QueuedRequest, now_ms: float
    ) -> ids.TargetId | None:
        session_target = (
            self._sessions.get(request.session) if request.session else None
        )
        return target_choice.choose(
            request,
            self._targets.items(),
            session_target,
            now_ms,
        )

    def _sorted_queue(self, now_ms: float) -> list[_QueueEntry]:
        return sorted(
            self._queue.values(),
            key=lambda entry: self._sort_key(entry, now_ms),
        )

    def _sort_key(
        self, entry: _QueueEntry, now_ms: float
    ) -> tuple[int, bool, bool, float]:
        request = entry.request
        is_overdue = request.due_ms <= now_ms
        return request.priority, is_overdue, request.is_new, request.due_ms

    def _refuse(self, ordered: list[_QueueEntry], now_ms: float) -> None:
        capacities: dict[object, target_view.Capacity] = {}
        remaining = [
            each for each in ordered if each.request.ticket in self._queue
        ]
        kept_work = refused_work = 0.0
        for entry in remaining:
            request = entry.request
            allowed = (request.excluded, request.version)
            capacity = capacities.get(allowed)
            if capacity is None:
                capacity = self._capacity(request, now_ms)
                capacities[allowed] = capacity
            wait_ms = capacity.wait_ms(kept_work)
            size = self._estimates.size(request.units)
            reason = (
                self._refusal(request, wait_ms, size, now_ms)
                if capacity.throughput_per_ms
                else _no_target(request)
            )
            if reason is None:
                kept_work += size
                continue
            # Those refused return one after another, behind those kept.
            return_ms = capacity.wait_ms(kept_work + refused_work)
            refused_work += size
            retry_after_ms = max(
                min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, return_ms)),
                capacity.limit_wait_ms,
            )
            del self._queue[request.ticket]
            if request.is_new and request.session:
                _remember(self._refused_sessions, request.session, None)
            self._results.append(
                Refused(request.ticket, retry_after_ms, reason)
            )

    def _capacity(
        self, request: QueuedRequest, now_ms: float
    ) -> target_view.Capacity:
        """Returns the capacity of the open targets that may run a request."""
        views = [
            view
            for name, view in self._targets.items()
            if view.is_open and request.allows(name, view.version)
        ]
        return target_view.Capacity(
            sum(
                each.throughput_per_ms(self._estimates.run_ms) for each in views
            ),
            min((each.limit_wait_ms(now_ms) for each in views), default=0.0),
            self._estimates.run_ms,
        )

    def _refusal(
        self, request: QueuedRequest, wait_ms: float, size: float, now_ms: float
    ) -> str | None:
        """Returns the reason to refuse a request, or None to keep it queued."""
        # A large prediction may be wrong, so it is no reason to refuse.
        run_ms = min(1.0, size) * self._estimates.run_ms
        if now_ms + wait_ms + run_ms > request.deadline_ms:
            return "too-late"
        max_wait_ms = max(
            MIN_NEW_PROGRAM_WAIT_MS,
            NEW_PROGRAM_WAIT_FRACTION * (request.due_ms - now_ms),
        )
        if request.is_new and wait_ms > max_wait_ms:
            return "queue-full"
        return None


def _no_target(request: QueuedRequest) -> str:
    return NO_TARGET if request.version is None else NO_TARGET_OF_VERSION


def _remember(sessions: dict[str, T], session: str, value: T) -> None:
    """Sets the value of a session; the oldest ones are dropped."""
    sessions.pop(session, None)
    sessions[session] = value
    if len(sessions) > MAX_SESSIONS:
        del sessions[next(iter(sessions))]
