"""Membership of this host in the fleet, and the homes of keys."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import ids
from mangotally.log import follower
from mangotally.policy import homes, lease, records, view
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.log import base
    from mangotally.settings import host as host_settings

logger = logging.getLogger(__name__)


class Membership:
    """Heartbeats of this host, the view, and evictions."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        log: base.Log,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes the membership; entering it joins the fleet."""
        self._settings = settings
        self._log = log
        self._clock = clock
        self._host = ids.HostId(settings.host_id)
        self._incarnation = clock.wall_ms()
        self._view = view.View()
        self._heard_ms: dict[ids.HostId, tuple[ids.Offset, float]] = {}
        self._lease = lease.Lease(settings.lease_ms)
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[Callable[[], None]] = []
        self._joined = asyncio.Event()
        self._follower = follower.Follower(
            log, records.MEMBERS_STREAM, self, clock
        )

    @property
    def host(self) -> ids.HostId:
        """This host."""
        return self._host

    @property
    def view(self) -> view.View:
        """The view as of the records read so far."""
        return self._view

    @property
    def lease(self) -> lease.Lease:
        """This host's lease."""
        return self._lease

    async def __aenter__(self) -> Self:
        """Joins the fleet and waits until this host is in its view."""
        await self._follower.__aenter__()
        await self._follower.wait_caught_up()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch()),
        ]
        await self._joined.wait()
        logger.info("host_joined", extra={"host": self._host})
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Leaves the fleet."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._lease.lapse()
        record = records.Leave(self._host, self._incarnation)
        await self._append(record)
        await self._follower.__aexit__()
        logger.info("host_left", extra={"host": self._host})

    def on_change(self, listener: Callable[[], None]) -> None:
        """Adds a function that is called when the view has changed."""
        self._listeners.append(listener)

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns a host's address for other hosts, or None."""
        member = self._view.members.get(host)
        return member.address if member else None

    def home_of(self, key: str) -> ids.HostId | None:
        """Returns the home of a rendezvous key, or None."""
        return homes.home(key, self._view.members)

    def is_home(self, key: str) -> bool:
        """Returns whether this host is the home of a key."""
        return self.home_of(key) == self._host

    def consume(self, record: Any, offset: ids.Offset) -> None:
        """Takes a record of the members stream."""
        changed = self._view.apply(record, offset)
        if isinstance(record, records.Heartbeat):
            self._heard_ms[record.host] = (offset, self._clock.now_ms())
        if changed:
            logger.info(
                "view_changed", extra={"hosts": len(self._view.hosts())}
            )
            for listener in self._listeners:
                listener()

    async def _beat(self) -> None:
        pause_s = clock_lib.to_seconds(self._settings.heartbeat_ms)
        while True:
            await self._beat_once()
            await asyncio.sleep(pause_s)

    async def _beat_once(self) -> None:
        sent_ms = self._clock.now_ms()
        record = records.Heartbeat(
            self._host,
            self._incarnation,
            self._settings.rpc_address,
            ids.PlaceId(self._settings.place),
        )
        match await self._append(record):
            case result.Success(offset):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        clock_lib.to_seconds(self._settings.lease_ms)
                    ):
                        await self._follower.wait_for(offset)
                        self._renew(sent_ms)
            case _:
                logger.warning("heartbeat_failed")

    def _renew(self, sent_ms: float) -> None:
        member = self._view.members.get(self._host)
        if member is None or member.incarnation != self._incarnation:
            logger.warning("host_evicted", extra={"host": self._host})
            self._incarnation = self._clock.wall_ms()
            self._lease.lapse()
            return
        self._lease.renew(sent_ms)
        self._joined.set()

    async def _watch(self) -> None:
        pause_s = clock_lib.to_seconds(self._settings.heartbeat_ms)
        while True:
            await asyncio.sleep(pause_s)
            for record in self._overdue():
                logger.info("host_overdue", extra={"host": record.host})
                await self._append(record)

    def _overdue(self) -> list[records.Evict]:
        now_ms = self._clock.now_ms()
        read_ms = self._follower.read_ms
        fresh_ms = 2 * self._settings.heartbeat_ms
        if read_ms is None or now_ms - read_ms > fresh_ms:
            return []
        limit_ms = 1.5 * self._settings.lease_ms
        return [
            records.Evict(member.host, member.incarnation, offset)
            for member in self._view.members.values()
            for offset, heard_ms in [self._heard_ms[member.host]]
            if now_ms - heard_ms > limit_ms and member.host != self._host
        ]

    async def _append(self, record: Any) -> Any:
        data = records.registry.encode_batch([record])
        return await self._log.append(records.MEMBERS_STREAM, data)
