"""Hosts with membership and homes of organisations, over an in-memory log."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
from typing import TYPE_CHECKING, Any, Self

from returns import result

from mangotally import errors, ids
from mangotally.homes import admission, membership, organisations
from mangotally.hosts import router
from mangotally.log import base, relay
from mangotally.settings import host as host_settings
from mangotally.settings import lists
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ORGANISATION = ids.OrganisationId("o")
HEARTBEAT_MS = 50
LEASE_MS = 1200


class MemoryLog:
    """The log service; `disconnected_hosts` cannot reach it."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = collections.defaultdict(list)
        self.changed = asyncio.Condition()
        self.disconnected_hosts: set[str] = set()

    def connect(self, host: str) -> HostLog:
        return HostLog(self, host)


class HostLog:
    """The connection of one host to the log."""

    def __init__(self, log: MemoryLog, host: str) -> None:
        self._log = log
        self._host = host

    async def append(
        self, stream: str, data: bytes
    ) -> errors.Outcome[ids.Offset]:
        if self._host in self._log.disconnected_hosts:
            return errors.failed(errors.Reason.LOG_UNAVAILABLE, "Disconnected.")
        async with self._log.changed:
            self._log.streams[stream].append(data)
            self._log.changed.notify_all()
        return result.Success(ids.Offset(len(self._log.streams[stream]) - 1))

    async def read(
        self, stream: str, offset: ids.Offset, wait_ms: int = 0
    ) -> errors.Outcome[base.Slice]:
        entries = self._log.streams[stream]
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(clock_lib.to_seconds(wait_ms)),
                self._log.changed,
            ):
                await self._log.changed.wait_for(lambda: len(entries) > offset)
        if self._host in self._log.disconnected_hosts:
            return errors.failed(errors.Reason.LOG_UNAVAILABLE, "Disconnected.")
        found = tuple(
            base.Entry(ids.Offset(offset + number), data)
            for number, data in enumerate(entries[offset:])
        )
        end = ids.Offset(len(entries))
        return result.Success(base.Slice(found, ids.Offset(0), end))


class StaticConfiguration:
    """A configuration with one organisation, which never changes."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.current = self
        plan = lists.Plan(
            name="p", rate_per_s=rate_per_s, burst=burst, services=()
        )
        self.lists = lists.Lists(
            plans=lists.PlanList(
                organisations=(lists.Organisation(id=ORGANISATION, plan="p"),)
            ),
            uses=lists.UseList(plans=(plan,), services=()),
        )


class Peers:
    """Delivers messages between the hosts of a fleet and counts them."""

    def __init__(self, fleet: Fleet, host: ids.HostId) -> None:
        self._fleet = fleet
        self._host = host

    async def call(
        self, host: ids.HostId | None, message: Any, timeout_ms: float = 5000
    ) -> errors.Outcome[Any]:
        found = self._fleet.hosts.get(host) if host else None
        if found is None:
            return errors.failed(errors.Reason.UNAVAILABLE, "No such host.")
        if host != self._host:
            self._fleet.sent[type(message).__name__] += 1
        answers: AsyncIterator[Any] = found.router.handle(message)
        try:
            async with asyncio.timeout(clock_lib.to_seconds(timeout_ms)):
                return await anext(answers)
        except TimeoutError:
            return errors.failed(errors.Reason.UNAVAILABLE, "No answer.")


class Host:
    """One host of the fleet."""

    def __init__(self, fleet: Fleet, name: str, relayed: bool) -> None:
        settings = host_settings.HostSettings(
            host_id=name,
            port=1,
            place="p",
            log=host_settings.LogSettings(url="http://log"),
            roster_url="http://roster",
            weights_url="http://weights",
            heartbeat_ms=HEARTBEAT_MS,
            lease_ms=LEASE_MS,
        )
        clock = clock_lib.SystemClock()
        self.name = ids.HostId(name)
        self.router = router.Router()
        log = relay.FailoverLog(fleet.log.connect(name), clock, random.random)
        self.members = membership.Membership(settings, log, clock)
        peers: Any = Peers(fleet, self.name)
        if relayed:
            log.attach(self.router, peers, self.members.other_hosts)
        configuration: Any = fleet.configuration
        self.organisations = organisations.OrganisationHome(
            self.members, configuration, peers, clock, LEASE_MS
        )
        self.organisations.attach(self.router)
        self.admission = admission.AdmissionClient(
            self.members, peers, clock, LEASE_MS
        )
        self.stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        await self.stack.enter_async_context(self.members)
        await self.stack.enter_async_context(self.organisations)


class Fleet:
    """A group of hosts; entering it starts them."""

    def __init__(
        self,
        hosts: int,
        rate_per_s: float = 0.001,
        burst: float = 6,
        relayed: bool = False,
    ) -> None:
        self._relayed = relayed
        self.log = MemoryLog()
        self.configuration = StaticConfiguration(rate_per_s, burst)
        self.hosts: dict[ids.HostId, Host] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self._count = hosts

    async def __aenter__(self) -> Self:
        for number in range(self._count):
            await self.start(f"h{number}")
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for host in list(self.hosts.values()):
            await host.stack.aclose()

    async def start(self, name: str) -> Host:
        host = Host(self, name, self._relayed)
        self.hosts[host.name] = host
        await host.start()
        async with self.log.changed:
            await self.log.changed.wait_for(self._have_same_view)
        return host

    def _have_same_view(self) -> bool:
        """Returns whether each host's view contains exactly these hosts."""
        names = sorted(self.hosts)
        return all(
            host.members.view.hosts() == names for host in self.hosts.values()
        )

    async def leave(self, host: Host) -> None:
        """Stops a host gracefully."""
        await host.stack.aclose()
        del self.hosts[host.name]

    async def crash(self, host: Host) -> None:
        """Stops a host that can no longer tell anyone.

        It is removed from the fleet and disconnected from the log first.
        """
        del self.hosts[host.name]
        self.log.disconnected_hosts.add(host.name)
        await host.stack.aclose()

    def home(self) -> Host:
        """Returns the organisation's home in the view of the first host."""
        key = f"organisation/{ORGANISATION}"
        name = next(iter(self.hosts.values())).members.home_of(key)
        assert name is not None
        return self.hosts[name]

    def other(self) -> Host:
        """Returns a host that is not the organisation's home."""
        host = next(iter(self.hosts.values()))
        name = host.members.home_of(f"organisation/{ORGANISATION}")
        return next(h for h in self.hosts.values() if h.name != name)

    async def admit(self, host: Host, count: int) -> list[errors.Outcome[None]]:
        """Requests admission of `count` calls, one after another."""
        return [await host.admission.admit(ORGANISATION) for _ in range(count)]
