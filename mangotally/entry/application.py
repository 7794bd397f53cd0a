"""Wires the parts of an entry host."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import signal
from typing import TYPE_CHECKING, Any, Self

from aiohttp import web

from mangotally import ids
from mangotally.entry import (
    attempts,
    budgets,
    configuration_cache,
    directory,
    handler,
    history,
    homes,
    host_grants,
    isolation,
    loop_lag,
    monitor,
    peers,
    rates,
    sending,
    server,
    slots,
)
from mangotally.platform import (
    failover,
    followers,
    groups,
    headers,
    http,
    relay,
    store,
)
from mangotally.policy import spending
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from mangotally.entry import entry_pb2
    from mangotally.settings import entry as settings_lib

logger = logging.getLogger(__name__)

# New connections come until the balancer has asked twice.
DRAIN_MS = 2600
# Time kept at the end of the grace for closing.
CLOSE_RESERVE_MS = 500
POLL_MS = 50
# For each of two steps; homes or the store may be away.
RETURN_TOKENS_MS = CLOSE_RESERVE_MS / 2
# Knowledge of this age still leaves time to serve a request.
READY_AGE_MS = 3500.0


class Application:
    """One entry host, while entered."""

    def __init__(self, settings: settings_lib.EntrySettings) -> None:
        """Makes the host.

        Args:
            settings: Checked settings.
        """
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._clock = clock_lib.BootClock()
        # A process that starts again must not be taken for the one before.
        self._host = ids.HostId(f"{settings.host}.{secrets.token_hex(4)}")
        self._load = loop_lag.LoopLagMonitor(self._clock)

    async def __aenter__(self) -> Self:
        """Starts to serve."""
        settings = self._settings
        enter = self._stack.enter_async_context
        logger.info(
            "start",
            extra={"host": self._host, "domain": settings.failure_domain},
        )
        self._direct = await enter(http.DirectTransport(settings.store.address))
        links = await enter(peers.PeerClient(self._clock))
        self._wire_store(links)
        await self._wire_path(links)
        await enter(peers.Server(settings.listen.hosts, self, self._load.count))
        listen = settings.listen
        await enter(server.HttpServer(listen.metrics, self._serve_metrics))
        await enter(server.HttpServer(listen.readiness, self._serve_ready))
        await enter(server.HttpServer(listen.callers, self._handler.handle))
        tasks = background.BackgroundTasks(
            self._configuration.run,
            self._targets.run,
            self._member.run,
            self._places.run,
            self._places.run_clock,
            self._budgets.run,
            self._isolation.run,
            self._load.run,
        )
        tasks.start()
        self._stack.push_async_callback(tasks.stop)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        logger.info("serving", extra={"host": self._host})
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Lets requests under way end, then closes."""
        logger.info("stop", extra={"under_way": self._handler.active_requests})
        self._handler.is_draining = True
        stop_ms = self._clock.now_ms()
        end_ms = (
            stop_ms
            + self._settings.bounds.grace_s * clock_lib.MS_PER_S
            - CLOSE_RESERVE_MS
        )
        await self._member.leave()
        await _try_for(RETURN_TOKENS_MS, self._budgets.return_unused())
        quiet_ms = stop_ms + min(DRAIN_MS, (end_ms - stop_ms) / 2)
        while self._clock.now_ms() < end_ms:
            is_quiet = not self._handler.active_requests
            if is_quiet and self._clock.now_ms() > quiet_ms:
                break
            await asyncio.sleep(clock_lib.to_seconds(POLL_MS))
        await _try_for(RETURN_TOKENS_MS, self._budgets.wait_idle())
        await _try_for(RETURN_TOKENS_MS, self._budgets.return_unused())
        await self._stack.aclose()
        logger.info(
            "stopped", extra={"under_way": self._handler.active_requests}
        )

    async def call_store(
        self, request: entry_pb2.StoreCall
    ) -> entry_pb2.StoreReply:
        """Passes a call on to the store."""
        return await relay.call_for_other(self._transport, request)

    async def take_tokens(
        self, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        """Grants tokens of an organisation's rate."""
        return self._rate_home.take(request)

    async def reserve(
        self, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        """Sets tokens of a program's budget aside."""
        return await self._budget_home.reserve(request)

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Ends a reservation."""
        return await self._budget_home.settle(request)

    async def place(
        self, request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        """Grants a place at a target."""
        return await self._places.handle_place(request)

    async def report(
        self, request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        """Takes a report on places."""
        return await self._places.handle_report(request)

    def _wire_store(self, links: peers.PeerClient) -> None:
        settings, clock = self._settings, self._clock
        # The name stays the same over restarts, so that a host that starts
        # again has its keys at once.
        this_host = homes.HostAddress(
            ids.HostId(settings.host),
            settings.listen.hosts,
            ids.FailureDomainId(settings.failure_domain),
            settings.processor.capacity,
        )
        relays = relay.StoreRelay(links)
        self._transport = failover.FailoverTransport(
            self._direct, relays, clock
        )
        self._store = store.Store(self._transport)
        self._member = groups.HomesMember(
            self._store, this_host, settings.store.partitions, clock
        )
        relays.set_homes(self._member)
        links.on_stale_homes(self._member.refresh)
        self._isolation = isolation.IsolationDetector(self._member, links)
        self._member.set_isolation(self._isolation)
        self._knowledge = configuration_cache.ConfigurationCache(
            clock, settings.bounds.withdrawn_key_ms
        )
        self._directory = directory.TargetDirectory(clock)
        self._configuration = followers.ConfigurationFollower(
            self._store, self._knowledge, clock
        )
        self._targets = followers.TargetsFollower(
            self._store, self._directory, clock
        )

    async def _wire_path(self, links: peers.PeerClient) -> None:
        settings, clock = self._settings, self._clock
        domain = ids.FailureDomainId(settings.failure_domain)
        partitions = settings.store.partitions
        sender = await self._stack.enter_async_context(
            sending.Sender(headers.NAMES, clock)
        )
        self._places = slots.SlotAllocator(
            self._host, self._member, links, self._directory, clock
        )
        bounds = settings.bounds
        limits = rates.Bounds(
            bounds.rate_window_s * clock_lib.MS_PER_S,
            bounds.rate_overshoot,
            bounds.rate_slack,
        )
        self._rate_home = rates.RateHome(
            self._member, self._knowledge, limits, clock
        )
        self._monitor = monitor.Monitor(clock)
        self._budgets = self._wire_budgets(links)
        parts = handler.Dependencies(
            configuration_cache=self._knowledge,
            refresh=self._configuration.read_now,
            rates=rates.Rates(
                self._rate_home, self._member, links, limits, clock
            ),
            budgets=self._budgets,
            history=history.History(self._store, self._host, partitions, clock),
            attempts=attempts.AttemptRunner(
                self._host,
                domain,
                self._places,
                sender,
                self._directory,
                headers.NAMES,
                clock,
            ),
            names=headers.NAMES,
            monitor=self._monitor,
            clock=clock,
        )
        self._handler = handler.Handler(parts)

    def _wire_budgets(self, links: peers.PeerClient) -> budgets.BudgetClient:
        partitions = self._settings.store.partitions
        as_home = host_grants.HostGrants(
            self._store,
            ids.HostId(f"{self._host}/home"),
            partitions,
            spending.HOME_GRANT_DIVISOR,
            self._clock,
        )
        self._budget_home = budgets.BudgetHome(
            self._member, as_home, self._clock
        )
        alone = host_grants.HostGrants(
            self._store,
            ids.HostId(f"{self._host}/alone"),
            partitions,
            spending.EXACT_GRANT_DIVISOR,
            self._clock,
        )
        return budgets.BudgetClient(
            self._host,
            self._budget_home,
            alone,
            self._member,
            links,
            self._clock,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new connections here."""
        return (
            not self._handler.is_draining
            and not self._isolation.is_isolated
            and self._targets.has_snapshot
            and self._knowledge.configuration is not None
            and self._knowledge.age_ms < READY_AGE_MS
        )

    async def _serve_ready(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _serve_metrics(self, _request: web.BaseRequest) -> web.Response:
        self._monitor.gauges["requests_under_way"] = (
            self._handler.active_requests
        )
        self._monitor.gauges["proof_age_ms"] = self._knowledge.age_ms
        self._monitor.gauges["most_late_ms"] = self._load.take_max_lag_ms()
        return web.Response(
            body=self._monitor.render(), content_type="text/plain"
        )

    def _note_reload(self) -> None:
        # Addresses are read once; all else comes from the store.
        logger.info("reload", extra={"changed": "nothing"})


async def _try_for(time_ms: float, work: Coroutine[Any, Any, None]) -> None:
    """Waits for work; cancels it if it takes longer."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(work, clock_lib.to_seconds(time_ms))
