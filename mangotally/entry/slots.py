"""Places at targets: granted by a service's home, or found alone."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import entry_pb2, model
from mangotally.policy import dispatch
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import peers

# A request that waits asks its home again after this time.
WAIT_POLL_MS = 150
# Beyond that, an answer between hosts is late.
HOME_TIMEOUT_MS = 80
# How often a host tells homes all that it has at targets.
REPORT_MS = 300
REPORT_TIMEOUT_MS = 300
# A host that has not reported for so long has lost its requests.
STALE_REPORT_MS = 1200
ADVANCE_MS = 20


@dataclasses.dataclass(frozen=True)
class Slot:
    """A place at a target.

    Attributes:
        ticket: The request.
        service: Its service.
        target: Where it goes.
        waited_ms: How long it waited.
        source: Who placed it, `home` or `alone`.
        since_ms: When it got the place.
    """

    ticket: dispatch.Ticket
    service: ids.ServiceId
    target: ids.TargetId
    waited_ms: float
    source: str
    since_ms: float


@dataclasses.dataclass(frozen=True)
class SlotRefusal:
    """No place can be had in time.

    Attributes:
        retry_after_ms: When there may be one.
        reason: Why.
        source: Who says so, `home` or `alone`.
    """

    retry_after_ms: float
    reason: str
    source: str


def pool_key(service: ids.ServiceId) -> str:
    """Returns the key whose home places a service's requests."""
    return f"service/{service}"


class ServicePool:
    """The requests of one service, with those that wait here."""

    def __init__(
        self,
        service: ids.ServiceId,
        directory: directory_lib.TargetDirectory,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a pool with the listed targets.

        Args:
            service: The service.
            directory: Lists the targets.
            clock: Time.
        """
        self.dispatcher = dispatch.Dispatcher()
        self._service = service
        self._directory = directory
        self._clock = clock
        self._born: dict[ids.TargetId, int] = {}
        self._waiters: dict[
            dispatch.Ticket,
            asyncio.Future[dispatch.Placed | dispatch.Refused],
        ] = {}
        self._reported_ms: dict[ids.HostId, float] = {}
        for target in directory.of_service(service):
            self.update_target(target.id)

    def update_target(self, name: ids.TargetId) -> None:
        """Takes in what the directory says of a target now."""
        target = self._directory.find(name)
        if target is None or target.service != self._service:
            self.dispatcher.drop_target(name)
            self._born.pop(name, None)
            return
        if self._born.get(name, target.born_ms) != target.born_ms:
            self.dispatcher.drop_target(name)
        self._born[name] = target.born_ms
        self.dispatcher.set_target(
            name,
            target.slots,
            target.failure_domain,
            target.state is model.TargetState.READY,
        )
        self.advance()

    async def place(
        self, work: dispatch.QueuedRequest, wait_ms: float
    ) -> dispatch.Placed | dispatch.Refused | None:
        """Returns the place of a request, or None if it still waits."""
        now_ms = self._clock.now_ms()
        self._reported_ms.setdefault(work.host, now_ms)
        future = self._waiters.get(work.ticket)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiters[work.ticket] = future
        if not future.done():
            self.dispatcher.submit(work, now_ms)
            self.advance()
        if not future.done():
            await asyncio.wait((future,), timeout=clock_lib.to_seconds(wait_ms))
        if not future.done():
            return None
        self._waiters.pop(work.ticket, None)
        return future.result()

    def withdraw(self, ticket: dispatch.Ticket) -> None:
        """Takes back a request that waits or was placed."""
        self._waiters.pop(ticket, None)
        self.dispatcher.withdraw(ticket)
        self.advance()

    def finish(self, finished: dispatch.Finished) -> None:
        """Notes that a request has left its target."""
        self.dispatcher.finish(finished, self._clock.now_ms())
        self.advance()

    def sync_held(
        self,
        host: ids.HostId,
        held: dict[dispatch.Ticket, ids.TargetId],
    ) -> None:
        """Takes the whole list of what a host has at targets."""
        self._reported_ms[host] = self._clock.now_ms()
        self.dispatcher.retain(host, frozenset(held))
        for ticket, target in held.items():
            self.dispatcher.adopt(ticket, host, target)
        self.advance()

    def drop_stale_hosts(self, keep: ids.HostId) -> None:
        """Forgets what silent hosts had; `keep` is never silent."""
        now_ms = self._clock.now_ms()
        for host, at_ms in list(self._reported_ms.items()):
            if host != keep and now_ms - at_ms > STALE_REPORT_MS:
                del self._reported_ms[host]
                self.dispatcher.retain(host, frozenset())
        self.dispatcher.drop_stale(now_ms - STALE_REPORT_MS)
        known = self.dispatcher.tickets()
        for ticket in [each for each in self._waiters if each not in known]:
            del self._waiters[ticket]
        self.advance()

    def advance(self) -> None:
        """Hands out places and refusals."""
        for each in self.dispatcher.advance(self._clock.now_ms()):
            future = self._waiters.get(each.ticket)
            if future is not None and not future.done():
                future.set_result(each)
            elif isinstance(each, dispatch.Placed):
                self.dispatcher.withdraw(each.ticket)


class SlotAllocator:
    """Finds places for this host's requests, and is home of some services."""

    def __init__(
        self,
        host: ids.HostId,
        homes: homes_lib.Homes,
        links: peers.PeerClient,
        directory: directory_lib.TargetDirectory,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the finder.

        Args:
            host: This host and start.
            homes: Knows the homes.
            links: Links to other hosts.
            directory: Lists the targets.
            clock: Time.
        """
        self._host = host
        self._homes = homes
        self._links = links
        self._directory = directory
        self._clock = clock
        self._pools: dict[ids.ServiceId, ServicePool] = {}
        self._held: dict[dispatch.Ticket, Slot] = {}
        self._reports = background.DetachedTasks()
        directory.listen(self._on_target)

    async def acquire(
        self, service: ids.ServiceId, work: dispatch.QueuedRequest
    ) -> Slot | SlotRefusal:
        """Returns a place for a request once there is one."""
        while True:
            found = await self._ask_home(service, work)
            if found is not None:
                return found
            if self._clock.now_ms() >= work.deadline_ms:
                return SlotRefusal(
                    dispatch.MIN_RETRY_AFTER_MS, "deadline", "home"
                )

    def release(
        self,
        place: Slot,
        end: dispatch.EndReason,
        units: float = 0.0,
    ) -> None:
        """Gives a place back.

        Args:
            place: The place.
            end: How the request ended there.
            units: Size of its work; 0 if it is not known.
        """
        self._held.pop(place.ticket, None)
        run_ms = self._clock.now_ms() - place.since_ms
        finished = dispatch.Finished(
            place.ticket, place.target, end, run_ms, units
        )
        pool = self._pool(place.service)
        pool.finish(finished)
        home = self._homes.home_of(pool_key(place.service))
        if home is None or self._homes.is_self(home):
            return
        self._reports.start(self._tell(home, place.service, finished))

    async def handle_place(
        self, request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        """Answers another host."""
        service = ids.ServiceId(request.service)
        if self._homes.owned_since_ms(pool_key(service)) is None:
            return entry_pb2.PlaceReply()
        work = _work(request, self._clock.now_ms())
        found = await self._pool(service).place(work, WAIT_POLL_MS)
        match found:
            case None:
                return entry_pb2.PlaceReply(
                    outcome=entry_pb2.PlaceReply.WAITING
                )
            case dispatch.Placed():
                return entry_pb2.PlaceReply(
                    outcome=entry_pb2.PlaceReply.PLACED,
                    target=found.target,
                    waited_ms=found.waited_ms,
                )
            case dispatch.Refused():
                return entry_pb2.PlaceReply(
                    outcome=entry_pb2.PlaceReply.REFUSED,
                    retry_after_ms=found.retry_after_ms,
                    reason=found.reason,
                )

    async def handle_report(
        self, request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        """Takes another host's report."""
        service = ids.ServiceId(request.service)
        if not service:
            # Only asks whether this host answers.
            return entry_pb2.ReportReply()
        pool = self._pool(service)
        for each in request.finished:
            pool.finish(_finished(each))
        if request.is_whole:
            held = {
                dispatch.Ticket(each.ticket): ids.TargetId(each.target)
                for each in request.held
            }
            pool.sync_held(ids.HostId(request.host), held)
        owned = self._homes.owned_since_ms(pool_key(service))
        return entry_pb2.ReportReply(is_home=owned is not None)

    async def run(self) -> None:
        """Reports to homes and forgets silent hosts, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(REPORT_MS))
            for pool in self._pools.values():
                pool.drop_stale_hosts(self._host)
            await asyncio.gather(
                *(self._report(service) for service in list(self._pools))
            )

    async def run_clock(self) -> None:
        """Lets time-outs and pauses of targets end, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(ADVANCE_MS))
            for pool in self._pools.values():
                if pool.dispatcher.waiting:
                    pool.advance()

    async def _ask_home(
        self, service: ids.ServiceId, work: dispatch.QueuedRequest
    ) -> Slot | SlotRefusal | None:
        key = pool_key(service)
        if self._homes.owned_since_ms(key) is not None:
            return await self._find_here(service, work, "home")
        address = self._links.home_address(self._homes, key)
        if address is None:
            return await self._find_here(service, work, "alone")
        reply = await self._links.place(
            address,
            _request(service, work, self._clock.now_ms()),
            WAIT_POLL_MS + HOME_TIMEOUT_MS,
        )
        if reply is None or reply.outcome == reply.NOT_HOME:
            return await self._find_here(service, work, "alone")
        return self._read(reply, service, work)

    def _read(
        self,
        reply: entry_pb2.PlaceReply,
        service: ids.ServiceId,
        work: dispatch.QueuedRequest,
    ) -> Slot | SlotRefusal | None:
        if reply.outcome == reply.WAITING:
            return None
        if reply.outcome == reply.REFUSED:
            return SlotRefusal(reply.retry_after_ms, reply.reason, "home")
        target = ids.TargetId(reply.target)
        place = self._take(service, work, target, reply.waited_ms, "home")
        self._pool(service).dispatcher.adopt(work.ticket, self._host, target)
        return place

    async def _find_here(
        self, service: ids.ServiceId, work: dispatch.QueuedRequest, source: str
    ) -> Slot | SlotRefusal | None:
        pool = self._pool(service)
        try:
            found = await pool.place(work, WAIT_POLL_MS)
        except asyncio.CancelledError:
            pool.withdraw(work.ticket)
            raise
        match found:
            case dispatch.Placed():
                return self._take(
                    service, work, found.target, found.waited_ms, source
                )
            case dispatch.Refused():
                return SlotRefusal(found.retry_after_ms, found.reason, source)
        return None

    def _take(
        self,
        service: ids.ServiceId,
        work: dispatch.QueuedRequest,
        target: ids.TargetId,
        waited_ms: float,
        source: str,
    ) -> Slot:
        place = Slot(
            work.ticket,
            service,
            target,
            waited_ms,
            source,
            self._clock.now_ms(),
        )
        self._held[work.ticket] = place
        return place

    async def _report(self, service: ids.ServiceId) -> None:
        home = self._homes.home_of(pool_key(service))
        if home is None or self._homes.is_self(home):
            return
        held = [
            entry_pb2.HeldPlace(ticket=each.ticket, target=each.target)
            for each in self._held.values()
            if each.service == service
        ]
        if not held:
            return
        report = entry_pb2.PlaceReport(
            service=service, host=self._host, is_whole=True, held=held
        )
        await self._links.report(home.address, report, REPORT_TIMEOUT_MS)

    async def _tell(
        self,
        home: homes_lib.HostAddress,
        service: ids.ServiceId,
        finished: dispatch.Finished,
    ) -> None:
        report = entry_pb2.PlaceReport(
            service=service,
            host=self._host,
            finished=[
                entry_pb2.FinishedPlace(
                    ticket=finished.ticket,
                    target=finished.target,
                    end=finished.end.value,
                    run_ms=finished.run_ms,
                    units=finished.units,
                )
            ],
        )
        await self._links.report(home.address, report, REPORT_TIMEOUT_MS)

    def _pool(self, service: ids.ServiceId) -> ServicePool:
        found = self._pools.get(service)
        if found is None:
            found = ServicePool(service, self._directory, self._clock)
            self._pools[service] = found
        return found

    def _on_target(self, name: ids.TargetId) -> None:
        for pool in self._pools.values():
            pool.update_target(name)


def _request(
    service: ids.ServiceId, work: dispatch.QueuedRequest, now_ms: float
) -> entry_pb2.PlaceRequest:
    return entry_pb2.PlaceRequest(
        service=service,
        ticket=work.ticket,
        host=work.host,
        failure_domain=work.failure_domain,
        priority=work.priority,
        is_new=work.is_new,
        due_in_ms=work.due_ms - now_ms,
        deadline_in_ms=work.deadline_ms - now_ms,
        session=work.session,
        excluded=sorted(work.excluded),
        connected=sorted(work.connected),
    )


def _work(
    request: entry_pb2.PlaceRequest, now_ms: float
) -> dispatch.QueuedRequest:
    return dispatch.QueuedRequest(
        ticket=dispatch.Ticket(request.ticket),
        host=ids.HostId(request.host),
        failure_domain=ids.FailureDomainId(request.failure_domain),
        priority=request.priority,
        is_new=request.is_new,
        due_ms=now_ms + request.due_in_ms,
        deadline_ms=now_ms + request.deadline_in_ms,
        session=request.session,
        excluded=frozenset(ids.TargetId(each) for each in request.excluded),
        connected=frozenset(ids.TargetId(each) for each in request.connected),
    )


def _finished(found: entry_pb2.FinishedPlace) -> dispatch.Finished:
    return dispatch.Finished(
        dispatch.Ticket(found.ticket),
        ids.TargetId(found.target),
        dispatch.EndReason(found.end),
        found.run_ms,
        found.units,
    )
