"""Queue and slots of one service, as known to a host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mangotally.policy import dispatch
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import known_closures, known_limits, model

# A host that has not reported for this time is treated as failed, and its
# slots are free again.
STALE_REPORT_MS = 1200


class ServicePool:
    """Queue and slots of one service, as known to this host."""

    def __init__(
        self,
        service: ids.ServiceId,
        directory: directory_lib.TargetDirectory,
        limits: known_limits.KnownLimits,
        closures: known_closures.KnownClosures,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the pool with the targets that the directory lists.

        Args:
            service: The service.
            directory: Lists the targets.
            limits: Limits that the targets have named.
            closures: Which targets must not get requests now.
            clock: Source of the current time.
        """
        self.dispatcher = dispatch.Dispatcher()
        self._service = service
        self._directory = directory
        self._limits = limits
        self._closures = closures
        self._clock = clock
        self._start_ms: dict[ids.TargetId, int] = {}
        self._waiters: dict[
            ids.Ticket,
            asyncio.Future[dispatch.Placed | dispatch.Refused],
        ] = {}
        self._reported_ms: dict[ids.HostId, float] = {}
        for target in directory.of_service(service):
            self.update_target(target.id)

    def update_target(self, name: ids.TargetId) -> None:
        """Updates a target from its entry in the directory and its limit.

        A target with another start time has been restarted, so that its slots
        are free.
        """
        target = self._directory.find(name)
        if target is None or target.service != self._service:
            self.dispatcher.drop_target(name)
            self._start_ms.pop(name, None)
            return
        if self._start_ms.get(name, target.born_ms) != target.born_ms:
            self.dispatcher.drop_target(name)
        self._start_ms[name] = target.born_ms
        self.dispatcher.set_target(
            name,
            target.slots,
            target.failure_domain,
            self._closures.closure_of(target) is None,
            target.version,
        )
        self.dispatcher.set_limit(
            name, self._rate_per_s(target), self._clock.now_ms()
        )
        self.advance()

    async def request_slot(
        self, request: dispatch.QueuedRequest, wait_ms: float
    ) -> dispatch.Placed | dispatch.Refused | None:
        """Queues a request, and waits for its slot.

        Returns:
            The decision, or None if the request is still queued.
        """
        now_ms = self._clock.now_ms()
        self._reported_ms.setdefault(request.host, now_ms)
        future = self._waiters.get(request.ticket)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiters[request.ticket] = future
        if not future.done():
            self.dispatcher.submit(request, now_ms)
            self.advance()
        if not future.done():
            await asyncio.wait((future,), timeout=clock_lib.to_seconds(wait_ms))
        if not future.done():
            return None
        self._waiters.pop(request.ticket, None)
        return future.result()

    def withdraw(self, ticket: ids.Ticket) -> None:
        """Withdraws a request that is queued or holds a slot."""
        self._waiters.pop(ticket, None)
        self.dispatcher.withdraw(ticket)
        self.advance()

    def finish(self, finished: dispatch.Finished) -> None:
        """Frees the slot of a request that has ended at its target."""
        has_returned = self.dispatcher.finish(finished, self._clock.now_ms())
        if has_returned:
            # It may have been away because it was started again.
            self._closures.mark_cold(finished.target, "returned")
        self.advance()

    def sync_held(
        self,
        host: ids.HostId,
        held: dict[ids.Ticket, ids.TargetId],
    ) -> None:
        """Replaces the slots held by a host with a complete report.

        Args:
            host: The host.
            held: Target of each of its running requests, by ticket.
        """
        self._reported_ms[host] = self._clock.now_ms()
        self.dispatcher.retain(host, frozenset(held))
        for ticket, target in held.items():
            self.dispatcher.adopt(ticket, host, target)
        self.advance()

    def drop_stale_hosts(self, this_host: ids.HostId) -> None:
        """Frees the slots of hosts that no longer report.

        Args:
            this_host: A host that is kept although it does not report.
        """
        now_ms = self._clock.now_ms()
        for host, at_ms in list(self._reported_ms.items()):
            if host != this_host and now_ms - at_ms > STALE_REPORT_MS:
                del self._reported_ms[host]
                self.dispatcher.retain(host, frozenset())
        self.dispatcher.drop_stale(now_ms - STALE_REPORT_MS)
        known = self.dispatcher.tickets()
        for ticket in [each for each in self._waiters if each not in known]:
            del self._waiters[ticket]
        self.advance()

    def _rate_per_s(self, target: model.Target) -> float | None:
        """Returns the most requests per second for a target, or None."""
        rates_per_s = (
            self._limits.limit_of(target.id),
            self._closures.cold_rate_per_s(target),
        )
        return min(
            (each for each in rates_per_s if each is not None), default=None
        )

    def advance(self) -> None:
        """Passes new decisions of the dispatcher on to waiting requests.

        A slot is withdrawn if no request waits for it any more.
        """
        for each in self.dispatcher.advance(self._clock.now_ms()):
            future = self._waiters.get(each.ticket)
            if future is not None and not future.done():
                future.set_result(each)
            elif isinstance(each, dispatch.Placed):
                self.dispatcher.withdraw(each.ticket)
