"""Membership of this host in the fleet, and the homes of keys.

The home of a key is the member of the fleet that owns it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import ids
from mangotally.log import follower
from mangotally.policy import membership, records, view
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.log import base
    from mangotally.policy import lease
    from mangotally.settings import host as host_settings

logger = logging.getLogger(__name__)

LEAVE_TIMEOUT_MS = 2000
# Pause between reads of the members stream, as a fraction of the lease, so
# that one read returns several records.
READ_PAUSE_LEASE_FRACTION = 0.1
# Time after joining, in such pauses, until all other hosts have read that
# this host joined: one pause and a margin.
JOIN_READ_PAUSES = 1.2


class Membership:
    """Sends heartbeats, follows the view and evicts overdue hosts."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        log: base.Log,
        clock: clock_lib.Clock,
    ) -> None:
        """Creates the membership; entering its context joins the fleet."""
        self._log = log
        self._clock = clock
        self._times = membership.LeaseTimes(
            settings.heartbeat_ms, settings.lease_ms
        )
        self._appends_per_s = settings.log.appends_per_s
        local_host = membership.LocalHost(
            ids.HostId(settings.host_id),
            settings.rpc_address,
            ids.FailureDomainId(settings.place),
        )
        salt = secrets.randbelow(membership.INCARNATION_SALTS)
        self.state = membership.MembershipState(local_host, self._times, salt)
        self._background = background.BackgroundTasks(self._beat, self._watch)
        self._listeners: list[Callable[[], None]] = []
        self._leave_callbacks: list[Callable[[], Awaitable[None]]] = []
        self._joined = asyncio.Event()
        self._has_left = False
        self._follower = follower.Follower(
            log,
            records.MEMBERS_STREAM,
            self,
            clock,
            window=follower.TailWindow(
                view.WINDOW_OFFSETS,
                self._restart,
                self._mark_caught_up,
                settings.lease_ms * READ_PAUSE_LEASE_FRACTION,
            ),
        )

    @property
    def host(self) -> ids.HostId:
        """This host."""
        return self.state.local_host.host

    @property
    def view(self) -> view.View:
        """The view according to the records read so far."""
        return self.state.view

    @property
    def lease(self) -> lease.Lease:
        """This host's lease."""
        return self.state.lease

    async def __aenter__(self) -> Self:
        """Joins the fleet and waits until all hosts have it in their view."""
        await self._follower.__aenter__()
        await self._follower.wait_caught_up()
        self._background.start()
        await self._joined.wait()
        # The other hosts read records only after their current pause.
        pause_ms = self._times.lease_ms * READ_PAUSE_LEASE_FRACTION
        await asyncio.sleep(clock_lib.to_seconds(pause_ms * JOIN_READ_PAUSES))
        logger.info("host_joined", extra={"host": self.host})
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Leaves the fleet and stops following the members stream."""
        await self.leave()
        await self._follower.__aexit__()

    def stop_without_leaving(self) -> None:
        """Stops the heartbeats without a leave record, like a killed process.

        For tests.
        """
        self._has_left = True
        self._background.cancel()

    async def leave(self) -> None:
        """Runs the `on_leave` callbacks and leaves the fleet.

        The view is still followed afterwards.
        """
        if self._has_left:
            return
        self._has_left = True
        for leave in self._leave_callbacks:
            await leave()
        await self._background.stop()
        self.lease.lapse()
        await self._append_leave()
        logger.info("host_left", extra={"host": self.host})

    def on_change(self, listener: Callable[[], None]) -> None:
        """Adds a function that is called after each change of the view."""
        self._listeners.append(listener)

    def on_leave(self, leave: Callable[[], Awaitable[None]]) -> None:
        """Adds a function that is awaited before this host leaves the view."""
        self._leave_callbacks.append(leave)

    def other_hosts(self) -> list[ids.HostId]:
        """Returns the other hosts of the view."""
        return [name for name in self.view.members if name != self.host]

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns the address at which other hosts reach a host, or None."""
        member = self.view.members.get(host)
        return member.address if member else None

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a rendezvous key, or None."""
        return self.state.home_of(key)

    def is_home(self, key: str) -> bool:
        """Returns whether this host is the home of a key."""
        return self.home_of(key) == self.host

    async def wait_until_read(
        self, offset: ids.Offset, timeout_ms: float
    ) -> bool:
        """Waits until a record of the members stream has been read.

        Returns:
            Whether it was read within the timeout.
        """
        try:
            async with asyncio.timeout(clock_lib.to_seconds(timeout_ms)):
                await self._follower.wait_for(offset)
        except TimeoutError:
            return False
        return True

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Applies a record of the members stream."""
        was_member = self.state.is_member()
        changed = self.state.apply(record, offset, self._clock.now_ms())
        if not changed:
            return
        hosts = len(self.view.members)
        logger.info("view_changed", extra={"hosts": hosts, "offset": offset})
        if was_member and not (self._has_left or self.state.is_member()):
            logger.warning("host_evicted", extra={"host": self.host})
        for listener in self._listeners:
            listener()

    def _restart(self, offset: ids.Offset) -> None:
        """Restarts at an offset; the records before it were not read."""
        if self.state.incarnation >= 0:
            logger.warning("members_missed", extra={"offset": offset})
        self.state.reset()
        self.state.next_offset = offset
        self.state.ownership.complete = offset == 0

    def _mark_caught_up(self) -> None:
        """Records that the stream has been read up to its end."""
        self.state.mark_caught_up(self._clock.now_ms())

    async def _beat(self) -> None:
        while True:
            await self._send_heartbeat()
            pause_ms = membership.heartbeat_interval_ms(
                self._times, len(self.view.members), self._appends_per_s
            )
            await asyncio.sleep(clock_lib.to_seconds(pause_ms))

    async def _send_heartbeat(self) -> None:
        record = self.state.heartbeat(self._clock.wall_ms())
        if record is None:
            logger.error("host_id_in_use", extra={"host": self.host})
            return
        sent_ms = self._clock.now_ms()
        match await self._append([record]):
            case result.Success(offset):
                if await self.wait_until_read(offset, self._times.lease_ms):
                    self._renew_lease(record, sent_ms, offset)
            case _:
                logger.warning("heartbeat_failed", extra={"host": self.host})

    def _renew_lease(
        self,
        record: membership.AnyHeartbeat,
        sent_ms: float,
        offset: ids.Offset,
    ) -> None:
        now_ms = self._clock.now_ms()
        if self.state.renew_lease(record, sent_ms, offset, now_ms):
            self._joined.set()

    async def _watch(self) -> None:
        pause_s = clock_lib.to_seconds(self._times.heartbeat_ms)
        while True:
            await asyncio.sleep(pause_s)
            overdue = self.state.overdue_evictions(self._clock.now_ms())
            for record in overdue:
                logger.info("host_overdue", extra={"host": record.host})
            if overdue:
                await self._append(overdue)

    async def _append_leave(self) -> None:
        record = records.Leave(self.host, self.state.incarnation)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock_lib.to_seconds(LEAVE_TIMEOUT_MS)):
                await self._append([record])

    async def _append(self, batch: list[Any]) -> Any:
        data = records.registry.encode_batch(batch)
        return await self._log.append(records.MEMBERS_STREAM, data)
