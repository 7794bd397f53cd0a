"""Builds an entry host from its components."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import secrets
import signal
from typing import TYPE_CHECKING, Self

from aiohttp import web

from mangotally import ids
from mangotally.entry import (
    access,
    attempts,
    bodies,
    budgets,
    configuration_cache,
    directory,
    draining,
    forwarder,
    forwarding,
    handler,
    history,
    homes,
    host_grants,
    isolation,
    known_closures,
    loop_lag,
    monitor,
    peers,
    rate_home,
    rates,
    resumptions,
    sending,
    server,
    slots,
    stream_origins,
    stream_texts,
    target_client,
    target_paths,
    turn_budgets,
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
    from collections.abc import AsyncGenerator, Awaitable

    from mangotally.entry import entry_pb2
    from mangotally.settings import entry as settings_lib

logger = logging.getLogger(__name__)

# The load balancer sends new connections until it has polled the readiness of
# this host twice.
DRAIN_MS = 2600
# Time reserved at the end of the grace period for closing connections.
CLOSE_RESERVE_MS = 500
# Time reserved before that for the last answers.
ANSWER_RESERVE_MS = 200
DRAIN_POLL_MS = 50
# Fractions of the process's descriptors for connections of callers, and for
# those at each other address. The rest is for targets, the store and hosts.
CALLER_DESCRIPTORS = 0.5
INTERNAL_DESCRIPTORS = 0.05
# Time-out of each step that returns unused tokens. The last two steps share
# the time reserved for closing; homes or the store may be unavailable.
RETURN_TOKENS_MS = CLOSE_RESERVE_MS / 2
# A cached configuration of at most this age remains valid for long enough to
# serve one more request.
READY_AGE_MS = 3500.0


class Application:
    """An entry host; serves while the context is entered."""

    def __init__(self, settings: settings_lib.EntrySettings) -> None:
        """Initialises the host; entering its context starts it.

        Args:
            settings: Validated settings.
        """
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._clock = clock_lib.BootClock()
        # The random suffix tells a restarted process from the previous one.
        self._host = ids.HostId(f"{settings.host}.{secrets.token_hex(4)}")
        self._loop_lag = loop_lag.LoopLagMonitor(self._clock)

    async def __aenter__(self) -> Self:
        """Starts the servers and background tasks."""
        settings = self._settings
        enter = self._stack.enter_async_context
        logger.info(
            "start",
            extra={"host": self._host, "domain": settings.failure_domain},
        )
        self._direct = await enter(http.DirectTransport(settings.store.address))
        peer_client = await enter(peers.PeerClient(self._clock))
        self._wire_store_access(peer_client)
        await self._wire_request_path(peer_client)
        await enter(
            peers.Server(settings.listen.hosts, self, self._loop_lag.count)
        )
        listen = settings.listen
        descriptors = _descriptors(settings.resources.descriptors)
        few = int(descriptors * INTERNAL_DESCRIPTORS)
        await enter(server.HttpServer(listen.metrics, self._serve_metrics, few))
        await enter(server.HttpServer(listen.readiness, self._serve_ready, few))
        self._callers = await enter(
            server.HttpServer(
                listen.callers,
                self._handler.handle,
                int(descriptors * CALLER_DESCRIPTORS),
            )
        )
        tasks = background.BackgroundTasks(
            self._configuration.run,
            self._targets.run,
            self._member.run,
            self._slot_allocator.run,
            self._slot_allocator.run_timers,
            self._budgets.run,
            self._isolation.run,
            self._paths.run,
            self._loop_lag.run,
        )
        tasks.start()
        self._stack.push_async_callback(tasks.stop)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        logger.info("serving", extra={"host": self._host})
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Drains active requests, then closes."""
        logger.info("stop", extra={"under_way": self._handler.active_requests})
        stop_ms = self._clock.now_ms()
        grace_ms = self._settings.bounds.grace_s * clock_lib.MS_PER_S
        end_ms = stop_ms + grace_ms - CLOSE_RESERVE_MS
        self._forwarder.is_draining = True
        self._drain.start(end_ms - ANSWER_RESERVE_MS)
        leaving = asyncio.create_task(self._leave_homes())
        # Requests are taken as long as the load balancer sends some here. Later
        # ones might still be under way when the process is killed.
        drain_ms = min(DRAIN_MS, (end_ms - stop_ms) / 2)
        await asyncio.sleep(clock_lib.to_seconds(drain_ms))
        self._drain.refuse_new()
        self._callers.close_idle_connections()
        while self._clock.now_ms() < end_ms:
            if not self._active_requests:
                break
            await asyncio.sleep(clock_lib.to_seconds(DRAIN_POLL_MS))
        await _run_with_timeout(
            max(0.0, end_ms - self._clock.now_ms()), leaving
        )
        await _run_with_timeout(RETURN_TOKENS_MS, self._budgets.wait_idle())
        await _run_with_timeout(RETURN_TOKENS_MS, self._budgets.return_unused())
        await self._stack.aclose()
        logger.info(
            "stopped", extra={"under_way": self._handler.active_requests}
        )

    async def call_store(
        self, request: entry_pb2.StoreCall
    ) -> entry_pb2.StoreReply:
        """Forwards a call to the store for another host."""
        return await relay.call_for_other(self._transport, request)

    async def take_tokens(
        self, request: entry_pb2.TakeRequest
    ) -> entry_pb2.TakeReply:
        """Admits a call within an organisation's rate limit."""
        return await self._rate_home.take(rates.key_of(request), request)

    async def hand_over(
        self, request: entry_pb2.HandOverRequest
    ) -> entry_pb2.HandOverReply:
        """Hands an organisation's bucket over to a later home."""
        return await self._rate_home.hand_over(request)

    async def reserve(
        self, request: entry_pb2.ReserveRequest
    ) -> entry_pb2.ReserveReply:
        """Reserves tokens of a program's budget."""
        return await self._budget_home.reserve(request)

    async def settle(
        self, request: entry_pb2.SettleRequest
    ) -> entry_pb2.SettleReply:
        """Settles a reservation."""
        return await self._budget_home.settle(request)

    async def place(
        self, request: entry_pb2.PlaceRequest
    ) -> entry_pb2.PlaceReply:
        """Assigns a slot at a target."""
        return await self._slot_allocator.handle_slot_request(request)

    async def report(
        self, request: entry_pb2.PlaceReport
    ) -> entry_pb2.ReportReply:
        """Processes another host's report on slots."""
        return await self._slot_allocator.handle_slot_report(request)

    def forward(
        self, request: entry_pb2.ForwardRequest
    ) -> AsyncGenerator[entry_pb2.ForwardPart, None]:
        """Sends a request to a target for another host."""
        return self._forwarder.forward(request)

    async def _leave_homes(self) -> None:
        """Hands over the keys of this host, and returns unused tokens."""
        await self._member.leave()
        await _run_with_timeout(RETURN_TOKENS_MS, self._budgets.return_unused())

    def _wire_store_access(self, peer_client: peers.PeerClient) -> None:
        settings, clock = self._settings, self._clock
        # This id stays the same across restarts, so that a restarted host is
        # the home of the same keys at once. Home: the host that owns a key.
        this_host = homes.HostAddress(
            ids.HostId(settings.host),
            settings.listen.hosts,
            ids.FailureDomainId(settings.failure_domain),
            settings.processor.capacity,
        )
        relays = relay.StoreRelay(peer_client)
        self._transport = failover.FailoverTransport(
            self._direct, relays, clock
        )
        self._store = store.Store(self._transport)
        self._member = groups.HomesMember(
            self._store, this_host, settings.store.partitions, clock
        )
        relays.set_homes(self._member)
        peer_client.on_stale_homes(self._member.refresh)
        self._isolation = isolation.IsolationDetector(self._member, peer_client)
        self._member.set_isolation(self._isolation)
        self._configuration_cache = configuration_cache.ConfigurationCache(
            clock, settings.bounds.withdrawn_key_ms
        )
        self._directory = directory.TargetDirectory(clock)
        self._closures = known_closures.KnownClosures(
            self._directory, self._configuration_cache, clock
        )
        self._configuration = followers.ConfigurationFollower(
            self._store,
            self._configuration_cache,
            self._closures,
            clock,
            settings.bounds.withdrawn_key_ms,
        )
        self._targets = followers.TargetsFollower(
            self._store, self._directory, clock
        )

    async def _wire_request_path(self, peer_client: peers.PeerClient) -> None:
        settings, clock = self._settings, self._clock
        domain = ids.FailureDomainId(settings.failure_domain)
        partitions = settings.store.partitions
        self._bodies = bodies.Bodies(
            bodies.budget_bytes(settings.resources), clock
        )
        self._monitor = monitor.Monitor(clock)
        self._monitor.refused_bodies = self._bodies.refused
        self._monitor.store_calls = self._store.calls
        self._monitor.target_changes = self._closures.changes
        self._drain = draining.Drain(clock)
        client = await self._wire_targets(peer_client)
        self._slot_allocator = slots.SlotAllocator(
            self._host,
            self._member,
            peer_client,
            self._directory,
            self._closures,
            clock,
        )
        bounds = settings.bounds
        rate_bounds = rate_home.Bounds(
            bounds.rate_window_s * clock_lib.MS_PER_S,
            bounds.rate_overshoot,
            bounds.rate_slack,
        )
        self._rate_home = rate_home.RateHome(
            settings.listen.hosts,
            self._member,
            peer_client,
            self._configuration_cache,
            rate_bounds,
            clock,
        )
        origins = stream_origins.StreamOrigins(self._store, partitions, clock)
        texts = stream_texts.StreamTexts(self._store, partitions, clock)
        self._budgets = self._wire_budgets(peer_client)
        dependencies = handler.Dependencies(
            access=access.AccessControl(
                self._configuration_cache, self._configuration.read_now
            ),
            bodies=self._bodies,
            rates=rates.Rates(
                self._rate_home, self._member, peer_client, rate_bounds, clock
            ),
            budgets=turn_budgets.TurnBudgets(self._budgets, clock),
            history=history.History(self._store, self._host, partitions, clock),
            attempts=attempts.AttemptRunner(
                self._host,
                domain,
                self._slot_allocator,
                client,
                self._directory,
                self._closures,
                origins,
                headers.NAMES,
                clock,
            ),
            resumptions=resumptions.Resumptions(
                origins, texts, self._directory, self._targets.read_now, clock
            ),
            names=headers.NAMES,
            monitor=self._monitor,
            drain=self._drain,
            clock=clock,
        )
        self._handler = handler.Handler(dependencies)

    async def _wire_targets(
        self, peer_client: peers.PeerClient
    ) -> target_client.TargetClient:
        self._sender = await self._stack.enter_async_context(
            sending.Sender(headers.NAMES, self._clock)
        )
        self._paths = target_paths.TargetPaths(
            self._directory, target_paths.open_and_close, self._clock
        )
        relays = forwarding.Relays(
            peer_client, self._member, headers.NAMES, self._clock
        )
        self._monitor.forwarded = relays.outcomes
        client = target_client.TargetClient(
            self._sender, self._paths, relays, self._clock
        )
        self._forwarder = forwarder.Forwarder(
            client, self._directory, self._closures, headers.NAMES, self._clock
        )
        return client

    def _wire_budgets(
        self, peer_client: peers.PeerClient
    ) -> budgets.BudgetClient:
        partitions = self._settings.store.partitions
        home_grants = host_grants.HostGrants(
            self._store,
            ids.HostId(f"{self._host}/home"),
            partitions,
            spending.HOME_GRANT_DIVISOR,
            self._clock,
        )
        self._budget_home = budgets.BudgetHome(
            self._member, home_grants, self._clock
        )
        direct_grants = host_grants.HostGrants(
            self._store,
            ids.HostId(f"{self._host}/alone"),
            partitions,
            spending.EXACT_GRANT_DIVISOR,
            self._clock,
        )
        return budgets.BudgetClient(
            self._host,
            self._budget_home,
            direct_grants,
            self._member,
            peer_client,
            self._clock,
        )

    @property
    def _active_requests(self) -> int:
        """Requests of callers, and those of other hosts at targets."""
        return self._handler.active_requests + self._forwarder.active_requests

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return (
            not self._drain.is_draining
            and not self._isolation.is_isolated
            and self._targets.has_snapshot
            and self._configuration_cache.configuration is not None
            and self._configuration_cache.age_ms < READY_AGE_MS
        )

    async def _serve_ready(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _serve_metrics(self, _request: web.BaseRequest) -> web.Response:
        self._monitor.gauges["requests_under_way"] = (
            self._handler.active_requests
        )
        self._monitor.gauges["body_bytes"] = self._bodies.lent_bytes
        self._monitor.gauges["targets_lost"] = self._paths.is_cut_off
        self._monitor.gauges["domains_evacuated"] = len(
            self._closures.evacuated_domains
        )
        self._monitor.gauges["targets_cold"] = len(
            self._closures.cold_targets()
        )
        self._monitor.gauges["proof_age_ms"] = self._configuration_cache.age_ms
        self._monitor.gauges["most_late_ms"] = self._loop_lag.take_max_lag_ms()
        return web.Response(
            body=self._monitor.render(), content_type="text/plain"
        )

    def _log_reload(self) -> None:
        # SIGHUP has nothing to reload: addresses are read once at the start,
        # and everything else that may change comes from the store.
        logger.info("reload", extra={"changed": "nothing"})


def _descriptors(configured: int) -> int:
    """Returns how many descriptors the process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft)


async def _run_with_timeout(timeout_ms: float, work: Awaitable[None]) -> None:
    """Awaits work, and cancels it after the time-out."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(work, clock_lib.to_seconds(timeout_ms))
