"""State of targets, as known to the dispatcher of their service."""

from __future__ import annotations

import dataclasses

from mangotally import ids
from mangotally.policy import target_limits, target_pace
from mangotally.util import clock

# Pause of a target after this number of consecutive faults; doubled by each
# further one up to the maximum.
BACKOFF_FAILURES = 2
BACKOFF_MS = 1000.0
MAX_BACKOFF_MS = 8000.0


class TargetView:
    """State of one target as known to the dispatcher.

    Attributes:
        slots: Number of requests that it runs at once.
        failure_domain: Failure domain of the target.
        version: Version of its software.
        is_open: Whether it accepts new requests.
        in_flight: Tickets of the requests at the target, with their hosts.
        relative_time: Time per unit of work, relative to the average of the
            targets of the service.
        pace: How long its work takes at this moment, compared with usual.
    """

    def __init__(
        self, slots: int, failure_domain: ids.FailureDomainId, is_open: bool
    ) -> None:
        self.slots = slots
        self.failure_domain = failure_domain
        self.version = ids.SoftwareVersion("")
        self.is_open = is_open
        self.in_flight: dict[ids.Ticket, ids.HostId] = {}
        self.relative_time = 1.0
        self.pace = target_pace.Pace()
        self._paused_until_ms = 0.0
        self._consecutive_failures = 0
        self._intake: target_limits.LimitedIntake | None = None

    def free_slots(self, now_ms: float) -> int:
        """Returns how many more requests the target may get.

        After a fault the target gets one request at a time until one of them
        succeeds.
        """
        if not self.is_open:
            return 0
        if now_ms < self._paused_until_ms:
            return 0
        if self.limit_wait_ms(now_ms) > 0:
            return 0
        if self._consecutive_failures:
            return 1 - len(self.in_flight)
        return self.slots - len(self.in_flight)

    def set_limit(self, limit_per_s: float | None, now_ms: float) -> None:
        """Sets the requests per second that it accepts; None for no limit."""
        if limit_per_s is None:
            self._intake = None
        elif self._intake is None:
            self._intake = target_limits.LimitedIntake(limit_per_s, now_ms)
        else:
            self._intake.change(limit_per_s, now_ms)

    def limit_wait_ms(self, now_ms: float) -> float:
        """Returns the time until its limit allows another request."""
        return self._intake.wait_ms(now_ms) if self._intake else 0.0

    def begin(
        self, ticket: ids.Ticket, host: ids.HostId, now_ms: float
    ) -> None:
        """Adds a request that it gets now; it counts towards its limit.

        Args:
            ticket: The request.
            host: The host that sends it.
            now_ms: Current time.
        """
        self.in_flight[ticket] = host
        if self._intake is not None:
            self._intake.take(now_ms)

    def time_factor(self, now_ms: float) -> float:
        """Returns its time for a unit of work, relative to the average."""
        return self.relative_time * self.pace.factor(now_ms)

    def throughput_per_ms(self, run_ms: float) -> float:
        """Returns how many requests it can process in a millisecond.

        Args:
            run_ms: Average run time of a request.
        """
        throughput = self.slots / run_ms
        if self._intake is None:
            return throughput
        return min(throughput, self._intake.rate_per_s / clock.MS_PER_S)

    def succeed(self) -> bool:
        """Records a complete answer; returns whether it ends a back-off."""
        is_return = self._consecutive_failures >= BACKOFF_FAILURES
        self._consecutive_failures = 0
        return is_return

    def fail(self, now_ms: float) -> None:
        """Records a fault; consecutive faults start an exponential backoff."""
        self._consecutive_failures += 1
        excess = self._consecutive_failures - BACKOFF_FAILURES
        if excess >= 0:
            pause_ms = BACKOFF_MS * 2.0 ** min(excess, 4)
            self._paused_until_ms = now_ms + min(pause_ms, MAX_BACKOFF_MS)

    def reject(self, now_ms: float, pause_ms: float) -> None:
        """Records that the target was full, and pauses it for a time."""
        self._paused_until_ms = max(self._paused_until_ms, now_ms + pause_ms)


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Capacity of the targets that a request may be assigned to.

    Attributes:
        throughput_per_ms: Requests that they process in a millisecond.
        limit_wait_ms: Time until the limit of any of them allows a request.
        run_ms: Average run time of a request.
    """

    throughput_per_ms: float
    limit_wait_ms: float
    run_ms: float

    def wait_ms(self, work_ahead: float) -> float:
        """Returns the estimated wait of a request in the queue.

        Without targets, this is the wait at a target that comes back with one
        slot.

        Args:
            work_ahead: Work of the requests before it, in average requests.
        """
        throughput_per_ms = self.throughput_per_ms or 1.0 / self.run_ms
        return max((work_ahead + 1.0) / throughput_per_ms, self.limit_wait_ms)
