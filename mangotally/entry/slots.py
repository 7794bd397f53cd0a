"""Slots at targets, assigned by a service's home.

Home: the host that owns a key, here the key of a service. It queues the
requests of all hosts for the slots of the service's targets. If the home can't
be reached, a host assigns slots by itself; such slots have the source `alone`
instead of `home`.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import (
    entry_pb2,
    known_crashes,
    service_pool,
    slot_messages,
    target_news,
)
from mangotally.policy import dispatch
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import homes as homes_lib
    from mangotally.entry import known_closures, known_paces, model, peers
    from mangotally.policy import crash_histories

# The home keeps a call for a slot open for this time at most. A request that
# is still queued then asks again.
WAIT_POLL_MS = 150
# Time allowed for the call itself, beyond the wait for a slot.
HOME_TIMEOUT_MS = 80
# Interval at which a host reports all its slots to the homes.
REPORT_INTERVAL_MS = 300
REPORT_TIMEOUT_MS = 300
DISPATCH_INTERVAL_MS = 20


@dataclasses.dataclass(frozen=True)
class Slot:
    """A slot at a target, held by a request.

    Attributes:
        ticket: Identifies the request.
        service: Its service.
        target: The target.
        queued_ms: How long the request was queued.
        source: What assigned the slot, `home` or `alone`.
        asked_ms: When it was last asked for.
        assigned_ms: When it was assigned.
    """

    ticket: ids.Ticket
    service: ids.ServiceId
    target: ids.TargetId
    queued_ms: float
    source: str
    asked_ms: float
    assigned_ms: float


@dataclasses.dataclass(frozen=True)
class SlotRefusal:
    """No slot is available in time.

    Attributes:
        retry_after_ms: When a slot may be available.
        reason: Why the request was refused.
        source: What refused it, `home` or `alone`; `host` if the home was not
            asked.
    """

    retry_after_ms: float
    reason: str
    source: str


def pool_key(service: ids.ServiceId) -> str:
    """Returns the key whose home assigns the slots of a service."""
    return f"service/{service}"


class SlotAllocator:
    """Acquires slots for this host's requests.

    It also assigns slots for other hosts if this host is a service's home.
    """

    def __init__(
        self,
        host: ids.HostId,
        homes: homes_lib.Homes,
        peer_client: peers.PeerClient,
        directory: directory_lib.TargetDirectory,
        closures: known_closures.KnownClosures,
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the allocator and follows changes of the directory.

        Args:
            host: Id of this host, with a suffix for this run of the process.
            homes: Looks up the homes of keys.
            peer_client: Calls other hosts.
            directory: Lists the targets.
            closures: Which targets must not get requests now.
            clock: Source of the current time.
        """
        self._host = host
        self._homes = homes
        self._peer_client = peer_client
        self._directory = directory
        self._clock = clock
        self._pools: dict[ids.ServiceId, service_pool.ServicePool] = {}
        self._held: dict[ids.Ticket, Slot] = {}
        self._reports = background.DetachedTasks()
        self._crashes = known_crashes.KnownCrashes(clock)
        self._closures = closures
        self._news = target_news.TargetNews(
            directory, closures, self._update_pools, self._apply_pace, clock
        )
        directory.add_listener(self._update_target)

    async def acquire(
        self, service: ids.ServiceId, request: dispatch.QueuedRequest
    ) -> Slot | SlotRefusal:
        """Waits until a request gets a slot or is refused."""
        while True:
            refusal = self._refuse_if_crashing(request)
            if refusal is not None:
                return refusal
            decision = await self._request_slot(service, request)
            if decision is not None:
                return decision
            if self._clock.now_ms() >= request.deadline_ms:
                return SlotRefusal(
                    dispatch.MIN_RETRY_AFTER_MS, "deadline", "home"
                )

    def release(
        self,
        slot: Slot,
        end: dispatch.EndReason,
        units: float = 0.0,
    ) -> None:
        """Releases a slot.

        Args:
            slot: The slot.
            end: How the request ended at the target.
            units: Amount of work, in the unit of the service; 0 if unknown.
        """
        self._held.pop(slot.ticket, None)
        run_ms = self._clock.now_ms() - slot.assigned_ms
        finished = dispatch.Finished(
            slot.ticket, slot.target, end, run_ms, units
        )
        pool = self._pool(slot.service)
        pool.finish(finished)
        report = self._make_report(slot.service)
        report.finished.append(slot_messages.finished_place(finished))
        self._send_report(report)

    def observe_answer(
        self, slot: Slot, head: target_news.AnswerHead, sent_ms: float
    ) -> None:
        """Reads what a target says of itself in an answer.

        A change is reported to the home at once: a streaming answer may last
        for seconds.

        Args:
            slot: The slot of the request that was answered.
            head: What the target says.
            sent_ms: When the request was sent.
        """
        if self._news.observe_answer(slot.service, slot.target, head, sent_ms):
            self._send_report(self._make_report(slot.service))

    async def record_crash(
        self, digest: crash_histories.RequestDigest, target: model.Target
    ) -> None:
        """Records that a target crashed while it ran a request.

        Returns once the home knows it: the caller may send the request again
        to another host as soon as it is answered.
        """
        self._crashes.record_crash(digest, target)
        await self._report(self._crash_report(target.service, digest))

    def record_answer(
        self, service: ids.ServiceId, digest: crash_histories.RequestDigest
    ) -> None:
        """Records that a target answered a request."""
        if self._crashes.record_answer(digest):
            self._send_report(self._crash_report(service, digest))

    async def handle_slot_request(
        self, request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        """Handles another host's call for a slot."""
        service = ids.ServiceId(request.service)
        if self._homes.owned_since_ms(pool_key(service)) is None:
            return entry_pb2.PlaceReply()
        self._news.merge(request)
        self._crashes.merge(request.crash_history)
        queued = slot_messages.queued_request(request, self._clock.now_ms())
        decision = await self._decide(service, queued)
        reply = slot_messages.place_reply(decision)
        self._news.add_to(reply, service)
        reply.crash_history.CopyFrom(self._crashes.message(queued.digest))
        return reply

    async def handle_slot_report(
        self, request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        """Handles another host's report on its slots."""
        service = ids.ServiceId(request.service)
        if not service:
            # A report without a service only checks that this host answers.
            return entry_pb2.ReportReply()
        self._news.merge(request)
        for history in request.crash_histories:
            self._crashes.merge(history)
        pool = self._pool(service)
        for each in request.finished:
            pool.finish(slot_messages.finished(each))
        if request.is_whole:
            held = {
                ids.Ticket(each.ticket): ids.TargetId(each.target)
                for each in request.held
            }
            pool.sync_held(ids.HostId(request.host), held)
        owned = self._homes.owned_since_ms(pool_key(service))
        return entry_pb2.ReportReply(is_home=owned is not None)

    async def run(self) -> None:
        """Reports slots to homes and drops stale hosts, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(REPORT_INTERVAL_MS))
            for pool in self._pools.values():
                pool.drop_stale_hosts(self._host)
            await asyncio.gather(
                *(self._report_held(service) for service in list(self._pools))
            )

    async def run_timers(self) -> None:
        """Processes time-outs and the ends of back-offs, until cancelled."""
        while True:
            await asyncio.sleep(clock_lib.to_seconds(DISPATCH_INTERVAL_MS))
            self._closures.end_cold_starts()
            for pool in self._pools.values():
                if pool.dispatcher.waiting:
                    pool.advance()

    async def _request_slot(
        self, service: ids.ServiceId, request: dispatch.QueuedRequest
    ) -> Slot | SlotRefusal | None:
        key = pool_key(service)
        if self._homes.owned_since_ms(key) is not None:
            return await self._acquire_locally(service, request, "home")
        address = self._peer_client.home_address(self._homes, key)
        if address is None:
            return await self._acquire_alone(service, request)
        asked_ms = self._clock.now_ms()
        reply = await self._peer_client.place(
            address,
            self._place_request(service, request),
            WAIT_POLL_MS + HOME_TIMEOUT_MS,
        )
        if reply is None or reply.outcome == reply.NOT_HOME:
            return await self._acquire_alone(service, request)
        self._news.merge(reply)
        self._crashes.merge(reply.crash_history)
        return self._read_reply(reply, service, request, asked_ms)

    def _place_request(
        self, service: ids.ServiceId, request: dispatch.QueuedRequest
    ) -> entry_pb2.PlaceRequest:
        """Returns the call for a slot at a target that may get requests.

        The home may not have read that a target is closed.
        """
        excluded = request.excluded | self._closures.closed_targets(service)
        message = slot_messages.place_request(
            service,
            dataclasses.replace(request, excluded=excluded),
            self._crashes.message(request.digest),
            self._clock.now_ms(),
        )
        self._news.add_to(message, service)
        return message

    def _read_reply(
        self,
        reply: entry_pb2.PlaceReply,
        service: ids.ServiceId,
        request: dispatch.QueuedRequest,
        asked_ms: float,
    ) -> Slot | SlotRefusal | None:
        if reply.outcome == reply.WAITING:
            return None
        if reply.outcome == reply.REFUSED:
            return SlotRefusal(reply.retry_after_ms, reply.reason, "home")
        target = ids.TargetId(reply.target)
        slot = self._record_slot(
            service, request, target, reply.waited_ms, "home", asked_ms
        )
        self._pool(service).dispatcher.adopt(request.ticket, self._host, target)
        return slot

    async def _acquire_alone(
        self, service: ids.ServiceId, request: dispatch.QueuedRequest
    ) -> Slot | SlotRefusal | None:
        """Assigns a slot without the home, at a warm target without a limit.

        A limit holds for all hosts together, and each host's share of it would
        be less than one request. So does the rate of a cold target.
        """
        excluded = request.excluded | self._news.unassignable_alone()
        return await self._acquire_locally(
            service, dataclasses.replace(request, excluded=excluded), "alone"
        )

    async def _acquire_locally(
        self,
        service: ids.ServiceId,
        request: dispatch.QueuedRequest,
        source: str,
    ) -> Slot | SlotRefusal | None:
        pool = self._pool(service)
        asked_ms = self._clock.now_ms()
        try:
            decision = await pool.request_slot(request, WAIT_POLL_MS)
        except asyncio.CancelledError:
            pool.withdraw(request.ticket)
            raise
        match decision:
            case dispatch.Placed():
                return self._record_slot(
                    service,
                    request,
                    decision.target,
                    decision.waited_ms,
                    source,
                    asked_ms,
                )
            case dispatch.Refused():
                return SlotRefusal(
                    decision.retry_after_ms, decision.reason, source
                )
        return None

    def _record_slot(
        self,
        service: ids.ServiceId,
        request: dispatch.QueuedRequest,
        target: ids.TargetId,
        queued_ms: float,
        source: str,
        asked_ms: float,
    ) -> Slot:
        slot = Slot(
            request.ticket,
            service,
            target,
            queued_ms,
            source,
            asked_ms,
            self._clock.now_ms(),
        )
        self._held[request.ticket] = slot
        return slot

    async def _report_held(self, service: ids.ServiceId) -> None:
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
        report = self._make_report(service)
        report.is_whole = True
        report.held.extend(held)
        await self._peer_client.report(home.address, report, REPORT_TIMEOUT_MS)

    async def _decide(
        self, service: ids.ServiceId, queued: dispatch.QueuedRequest
    ) -> dispatch.Placed | dispatch.Refused | None:
        """Returns the home's decision; None if the request is still queued."""
        refused_ms = self._crashes.refused_for_ms(queued.digest)
        if refused_ms is not None:
            return dispatch.Refused(
                queued.ticket, refused_ms, dispatch.CRASHES_TARGETS
            )
        return await self._pool(service).request_slot(queued, WAIT_POLL_MS)

    def _refuse_if_crashing(
        self, request: dispatch.QueuedRequest
    ) -> SlotRefusal | None:
        """Refuses a request that has crashed too many targets."""
        refused_ms = self._crashes.refused_for_ms(request.digest)
        if refused_ms is None:
            return None
        return SlotRefusal(refused_ms, dispatch.CRASHES_TARGETS, "host")

    def _crash_report(
        self, service: ids.ServiceId, digest: crash_histories.RequestDigest
    ) -> entry_pb2.PlaceReport:
        report = self._make_report(service)
        report.crash_histories.append(self._crashes.message(digest))
        return report

    def _send_report(self, report: entry_pb2.PlaceReport) -> None:
        """Sends a report without waiting for the home's reply."""
        self._reports.start(self._report(report))

    async def _report(self, report: entry_pb2.PlaceReport) -> None:
        """Reports to the home of a service, unless that is this host."""
        home = self._homes.home_of(pool_key(ids.ServiceId(report.service)))
        if home is None or self._homes.is_self(home):
            return
        await self._peer_client.report(home.address, report, REPORT_TIMEOUT_MS)

    def _make_report(self, service: ids.ServiceId) -> entry_pb2.PlaceReport:
        report = entry_pb2.PlaceReport(service=service, host=self._host)
        self._news.add_to(report, service)
        return report

    def _pool(self, service: ids.ServiceId) -> service_pool.ServicePool:
        pool = self._pools.get(service)
        if pool is None:
            pool = service_pool.ServicePool(
                service,
                self._directory,
                self._news.limits,
                self._closures,
                self._clock,
            )
            self._pools[service] = pool
        return pool

    def _update_target(self, name: ids.TargetId) -> None:
        self._news.update_target(name)
        self._update_pools(name)

    def _update_pools(self, name: ids.TargetId) -> None:
        for pool in self._pools.values():
            pool.update_target(name)

    def _apply_pace(self, statement: known_paces.Statement) -> None:
        for pool in self._pools.values():
            pool.dispatcher.set_pace(
                statement.target, statement.pace, statement.at_ms
            )
