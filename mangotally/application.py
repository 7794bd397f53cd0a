"""The composition root: creates and connects the components of one host."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from typing import TYPE_CHECKING, Any, Self

import aiohttp

from mangotally.callers import chat, limits, readiness, server, services
from mangotally.callers import programs as program_routes
from mangotally.engines import channels as channels_lib
from mangotally.engines import http as http_engine
from mangotally.homes import (
    admission,
    calls,
    claims,
    configuration,
    leaving,
    membership,
    orders,
    organisations,
    partitions,
    pools,
    programs,
    quarantine,
    recording,
    slots,
    snapshots,
    sweeper,
    sweeps,
    turns,
    weights,
)
from mangotally.hosts import credentials as credentials_lib
from mangotally.hosts import link, messages, peers, router
from mangotally.log import append_limiter, follower, relay
from mangotally.log import http as http_log
from mangotally.metrics import store
from mangotally.operators import publisher
from mangotally.operators import quarantine as operator_quarantine
from mangotally.operators import server as operator_server
from mangotally.policy import faults, records, scheduler
from mangotally.replay import recorder as trace_recorder
from mangotally.roster import http as http_roster
from mangotally.services import client as service_client
from mangotally.services import runner as service_runner
from mangotally.util import certificates, resets
from mangotally.util import clock as clock_lib
from mangotally.weights import http as http_weights

if TYPE_CHECKING:
    import pathlib
    import ssl

    from mangotally.settings import host as host_settings
    from mangotally.settings import tls as tls_settings

logger = logging.getLogger(__name__)

# Interval of the warnings while a starting host cannot read the configuration.
CONFIGURATION_WARNING_INTERVAL_MS = 2000

# Fraction of the append rate of the log that histories may use.
HISTORY_APPEND_FRACTION = 0.8


class Application:
    """One host of the fleet."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        clock: clock_lib.Clock | None = None,
        record: pathlib.Path | None = None,
    ) -> None:
        """Prepares a host; entering the context manager starts it.

        Args:
            settings: Settings of the host.
            clock: Clock of the host, or None for the system clock.
            record: Trace file to which programs are recorded, or None.
        """
        self.settings = settings
        self._record = record
        self.clock = clock or clock_lib.SystemClock()
        self.limits = _make_limits(settings)
        self.metrics = store.MetricsStore()
        self._stack = contextlib.AsyncExitStack()
        self._has_stopped = False

    async def __aenter__(self) -> Self:
        """Starts the host; it accepts requests once this returns."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        logger.info("host_ready", extra={"host": self.settings.host_id})
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Leaves the fleet, then stops the components in reverse order."""
        if self._has_stopped:
            return
        await self._leaving.run()
        await self.stop_at_once()

    async def stop_at_once(self) -> None:
        """Stops the components in reverse order, despite requests in flight."""
        self._has_stopped = True
        await self._stack.aclose()
        logger.info("host_stopped", extra={"host": self.settings.host_id})

    def dump(self) -> dict[str, Any]:
        """Returns the state of this process for the administration API."""
        now_ms = self.clock.now_ms()
        return {
            "host": self.settings.host_id,
            "place": self.settings.place,
            "view": {
                member.host: {
                    "address": member.address,
                    "place": member.place,
                    "incarnation": member.incarnation,
                }
                for member in self.members.view.members.values()
            },
            "lease_ms": max(0, int(self.members.lease.expires_ms - now_ms)),
            "configuration": self.live.dump(),
            "connections": {
                "callers": self.caller_server.connection_count(),
                "hosts": self.peers.dump(),
            },
            "callers": self.limits.dump(),
            "metrics": self.metrics.dump(),
            "organisations": self.organisations.dump(),
            "pools": self.pools.dump(),
            "programs": self.programs.dump(),
            "quarantine": self.quarantine.dump(),
        }

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        self._warn_if_tls_off()
        tls = self.settings.tls
        credentials = (
            credentials_lib.HostCredentials(tls.hosts) if tls.hosts else None
        )
        session = await stack.enter_async_context(
            _client_session(tls.platform_ca_file)
        )
        log = http_log.HttpLog(session, self.settings.log.url)
        handlers = router.Router()
        relayed = relay.FailoverLog(log, self.clock, random.random)
        await self._start_configuration(stack, relayed)
        self.readiness = readiness.Readiness()
        self.server = link.Server(
            handlers, self.settings.rpc_address, credentials
        )
        await stack.enter_async_context(self.server)
        self.members = membership.Membership(self.settings, relayed, self.clock)
        self.peers = peers.PeerClient(self.members, handlers, credentials)
        await stack.enter_async_context(self.peers)
        relayed.attach(handlers, self.peers, self.members.other_hosts)
        channels = channels_lib.Channels(
            certificates.client_context(tls.targets_ca_file)
        )
        await stack.enter_async_context(channels)
        await self._start_quarantine(stack, log)
        self.slots = slots.SlotClient(self.members, self.peers, self.clock)
        await stack.enter_async_context(self.slots)
        self._recording = stack.enter_context(contextlib.ExitStack())
        self._make_homes(session, log, channels)
        for home in (
            self.slots,
            self.organisations,
            self.pools,
            self.programs,
            self.calls,
            self.sweep,
            self.weights,
        ):
            home.attach(handlers)
        await stack.enter_async_context(self.pools)
        await stack.enter_async_context(self.members)
        await stack.enter_async_context(self.organisations)
        await stack.enter_async_context(self.partitions)
        await stack.enter_async_context(
            sweeper.Sweeper(
                self.settings, self.partitions, self.programs, self.clock
            )
        )
        await stack.enter_async_context(self.sweep)
        await stack.enter_async_context(
            claims.CallClaimer(
                self.members,
                self.slots,
                self.peers,
                self.clock,
                self.settings.targets.sweep_grace_ms,
            )
        )
        await stack.enter_async_context(self.orders)
        self._leaving = leaving.GracefulShutdown(
            self.readiness,
            self.members,
            (self.programs, self.server, self.slots),
            self.settings.notice_ms,
            self.settings.shutdown_ms,
        )
        self.caller_server = self._caller_server(
            await _enter_tls(stack, self.settings.tls.callers)
        )
        await stack.enter_async_context(
            self._operator_server(
                log,
                handlers,
                await _enter_tls(stack, self.settings.tls.operators),
            )
        )
        await stack.enter_async_context(self.caller_server)

    async def _start_configuration(
        self, stack: contextlib.AsyncExitStack, log: relay.FailoverLog
    ) -> None:
        settings = self.settings
        stream = settings.log.configuration_stream
        self.live = configuration.LiveConfiguration()
        self.configuration_reader = follower.Follower(
            log,
            stream,
            self.live,
            self.clock,
            self.live.mark_incomplete,
            can_skip=self.live.can_skip,
        )
        self.live.limit_age(
            self._configuration_age_ms,
            settings.configuration_max_age_ms,
            configuration.OnStale(settings.on_stale),
        )
        await stack.enter_async_context(self.configuration_reader)
        await self._wait_for_configuration()
        await stack.enter_async_context(
            snapshots.SnapshotWriter(
                log,
                stream,
                self.live,
                self.configuration_reader,
                self.clock,
                settings.configuration_snapshot_ms,
                settings.host_id,
            )
        )

    async def _wait_for_configuration(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    clock_lib.to_seconds(CONFIGURATION_WARNING_INTERVAL_MS)
                ):
                    return await self.configuration_reader.wait_caught_up()
            logger.warning("configuration_unread")

    def _configuration_age_ms(self) -> float | None:
        read_ms = self.configuration_reader.caught_up_ms
        return None if read_ms is None else self.clock.now_ms() - read_ms

    def _warn_if_tls_off(self) -> None:
        tls = self.settings.tls
        for name in ("hosts", "callers", "operators"):
            if getattr(tls, name) is None:
                logger.warning("tls_off", extra={"towards": name})

    async def _start_quarantine(
        self, stack: contextlib.AsyncExitStack, log: http_log.HttpLog
    ) -> None:
        keep_ms = self.settings.targets.quarantine_ms
        self.quarantine = quarantine.LiveQuarantine(log, keep_ms, self.clock)
        reader = follower.Follower(
            log, records.QUARANTINE_STREAM, self.quarantine, self.clock
        )
        await stack.enter_async_context(reader)
        await reader.wait_caught_up()
        await stack.enter_async_context(self.quarantine)

    def _make_turn_runner(
        self, engine: http_engine.HttpEngineClient
    ) -> turns.TurnRunner:
        dependencies = (
            self.slots,
            engine,
            self.quarantine,
            self.settings.targets.retry_share,
            self.clock,
            random.random,
        )
        if self._record is None:
            return turns.TurnRunner(*dependencies)
        name = self._record.stem
        recorder = trace_recorder.TraceRecorder(
            self._record,
            lambda service: recording.make_header(
                service, name, self.live, self.pools
            ),
            self.clock.now_ms(),
        )
        self._recording.enter_context(recorder)
        return recording.RecordingTurnRunner(*dependencies, recorder=recorder)

    def _make_homes(
        self,
        session: aiohttp.ClientSession,
        log: http_log.HttpLog,
        channels: channels_lib.Channels,
    ) -> None:
        settings = self.settings
        targets = settings.targets
        limits = faults.TargetTimeouts(
            targets.connect_ms,
            targets.first_token_ms,
            targets.first_token_ms_per_token,
            targets.between_tokens_ms,
        )
        engine = http_engine.HttpEngineClient(channels, limits)
        service = service_client.ServiceClient(channels, targets.connect_ms)
        roster = http_roster.HttpRoster(session, settings.roster_url)
        self.organisations = organisations.OrganisationHome(
            self.members,
            self.live,
            self.peers,
            self.clock,
            settings.lease_ms,
        )
        self.admission = admission.AdmissionClient(
            self.members, self.peers, self.clock, settings.lease_ms
        )
        self.pools = pools.PoolHome(
            settings,
            self.members,
            self.live,
            self.quarantine,
            roster,
            engine,
            service,
            scheduler.FairScheduler,
            self.clock,
            random.random,
        )
        self.partitions = self._make_partitions(log)
        self.programs = programs.ProgramHome(
            self.partitions,
            self._make_turn_runner(engine),
            self.clock,
        )
        self.weights = weights.WeightHome(
            self.members,
            http_weights.HttpWeightStore(channels, settings.weights_url),
            targets.weights_per_s,
            self.clock,
        )
        self.orders = orders.EngineController(
            self.members,
            self.peers,
            self.live,
            self.pools,
            engine,
            log,
            self.clock,
            targets.order_ms,
        )
        self.sweep = sweeps.Sweep(
            self.members,
            self.peers,
            self.pools,
            self.programs,
            engine,
            self.clock,
            targets.sweep_ms,
            targets.sweep_grace_ms,
        )
        self.calls = calls.CallHome(
            self.partitions,
            self.peers,
            service_runner.ServiceRunner(
                self.slots,
                self.live,
                service,
                self.quarantine,
                targets.retry_share,
                self.clock,
                random.random,
            ),
            self.clock,
            settings.lease_ms,
        )

    def _make_partitions(self, log: http_log.HttpLog) -> partitions.Partitions:
        settings = self.settings.log
        limiter = append_limiter.AppendRateLimiter(
            settings.appends_per_s * HISTORY_APPEND_FRACTION,
            lambda: len(self.members.view.members),
            self.clock,
        )
        return partitions.Partitions(
            settings.partitions,
            log,
            self.members,
            self.clock,
            limiter,
            settings.call_lifetime_ms,
        )

    def _caller_server(
        self, context: ssl.SSLContext | None
    ) -> server.HttpServer:
        settings = self.settings
        return server.HttpServer(
            settings.address,
            settings.port,
            [
                program_routes.ProgramRoutes(
                    self.live, self.programs, self.peers, self.clock
                ),
                chat.ChatRoutes(
                    self.live,
                    self.members,
                    self.admission,
                    self.programs,
                    self.peers,
                    self.clock,
                ),
                services.ServiceRoutes(
                    self.live,
                    self.admission,
                    self.calls,
                    self.peers,
                    settings.open_services,
                ),
            ],
            self.limits,
            settings.shutdown_ms,
            context,
            self.metrics,
            self.readiness,
        )

    def _operator_server(
        self,
        log: http_log.HttpLog,
        handlers: router.Router,
        context: ssl.SSLContext | None,
    ) -> server.HttpServer:
        settings = self.settings
        routes = operator_server.OperatorRoutes(
            settings.operator_key_digests,
            self.live,
            publisher.Publisher(
                log,
                settings.log.configuration_stream,
                self.live,
                self.configuration_reader,
            ),
            self.dump,
            self.peers,
            self.metrics,
            settings.metrics_key_digests,
        )
        handlers.add_unary(messages.DumpState, routes.dump_state)
        return server.HttpServer(
            settings.address,
            settings.effective_operator_port,
            [
                routes,
                operator_quarantine.QuarantineRoutes(
                    self.quarantine, routes.require_operator_key
                ),
            ],
            limits.ResourceLimiter(self.limits.bounds),
            shutdown_ms=0,
            tls=context,
        )


async def _enter_tls(
    stack: contextlib.AsyncExitStack, settings: tls_settings.Certificate | None
) -> ssl.SSLContext | None:
    if settings is None:
        return None
    server_context = certificates.ServerContext(settings)
    await stack.enter_async_context(server_context)
    return server_context.context


def _make_limits(
    settings: host_settings.HostSettings,
) -> limits.ResourceLimiter:
    caller_settings = settings.callers
    return limits.ResourceLimiter(
        limits.Bounds(
            caller_settings.head_ms,
            caller_settings.body_ms,
            settings.max_body_bytes,
            caller_settings.all_bodies_bytes,
            caller_settings.connections,
            caller_settings.organisation_calls,
        )
    )


def _client_session(ca_file: str | None) -> aiohttp.ClientSession:
    connector = resets.Connector(
        limit=0,
        use_dns_cache=False,
        ssl=certificates.client_context(ca_file) or True,
    )
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, trust_env=False
    )
