"""Brings engines into their desired state by sending orders.

Only the home of a pool (the host that owns the pool's key) sends orders to
its engines. Each order is recorded in the orders stream, and the offset of
that record is the order's fencing number, so orders of an earlier home have
lower numbers. Engines that check the number refuse old orders. Each round
reads the state of all engines, so an engine that carried out an old order is
corrected.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Self

from returns import result

from mangotally.homes import weights
from mangotally.hosts import messages
from mangotally.policy import orders, pools, records
from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.engines import client as engine_client
    from mangotally.homes import configuration, membership
    from mangotally.homes import pool as pool_lib
    from mangotally.homes import pools as pool_home
    from mangotally.hosts import peers as peers_lib
    from mangotally.log import base

logger = logging.getLogger(__name__)


class EngineController:
    """Reconciles the engines of all pools whose home is this host."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.PeerClient,
        live: configuration.LiveConfiguration,
        home: pool_home.PoolHome,
        engine: engine_client.EngineClient,
        log: base.Log,
        clock: clock_lib.Clock,
        interval_ms: float,
    ) -> None:
        """Creates a controller; entering its context starts the rounds."""
        self._interval_ms = interval_ms
        self._members = members
        self._peers = peers
        self._live = live
        self._home = home
        self._engine = engine
        self._log = log
        self._clock = clock
        self._ordered_ms: dict[ids.TargetId, float] = {}
        self._fetched_weights: set[tuple[ids.TargetId, str]] = set()
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts the periodic rounds."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the periodic rounds."""
        await self._background.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(self._interval_ms))
            for pool in self._home.model_pools():
                await self.reconcile(pool)

    async def reconcile(self, pool: pool_lib.Pool) -> None:
        """Reads the engines of a pool and sends one order if one is due."""
        current = self._live.current.lists
        service = current.service(pool.service) if current else None
        desired = orders.desired_state(service) if service else None
        if desired is None or not self._may_send_orders(pool.service):
            return
        reports = await self._read_reports(pool)
        for target, report in reports.items():
            if orders.matches(desired, report.state):
                self._ordered_ms.pop(target, None)
        order = orders.next_order(
            desired, reports, self._ordered_ms, self._clock.now_ms()
        )
        if order is not None and await self._fetch_weights(order):
            await self._send_order(pool, order)

    def _may_send_orders(self, service: ids.ServiceId) -> bool:
        now_ms = self._clock.now_ms()
        has_lease = self._members.lease.is_valid(now_ms)
        return has_lease and self._home.is_home(service)

    async def _read_reports(
        self, pool: pool_lib.Pool
    ) -> dict[ids.TargetId, orders.EngineReport]:
        infos = [
            info
            for info in pool.targets.values()
            if info.state is pools.TargetState.LIVE
        ]
        answers = await asyncio.gather(
            *(self._engine.fetch_state(info.address) for info in infos)
        )
        return {
            info.target: answer.unwrap()
            for info, answer in zip(infos, answers, strict=True)
            if isinstance(answer, result.Success)
        }

    async def _fetch_weights(self, order: orders.Order) -> bool:
        """Fetches the weights of an order; returns whether all are present."""
        for name in order.weights:
            if (order.target, name) in self._fetched_weights:
                continue
            home = self._members.home_of(weights.HOME_KEY)
            outcome = await self._peers.call(home, messages.FetchWeights(name))
            if isinstance(outcome, result.Failure):
                return False
            self._fetched_weights.add((order.target, name))
        return True

    async def _send_order(
        self, pool: pool_lib.Pool, order: orders.Order
    ) -> None:
        record = records.OrderGiven(
            pool.service, order.target, self._members.host
        )
        data = records.registry.encode_batch([record])
        appended = await self._log.append(records.ORDERS_STREAM, data)
        info = pool.targets.get(order.target)
        if isinstance(appended, result.Failure) or info is None:
            return
        if not self._may_send_orders(pool.service):
            return
        fencing = appended.unwrap()
        self._ordered_ms[order.target] = self._clock.now_ms()
        self._fetched_weights = {
            item for item in self._fetched_weights if item[0] != order.target
        }
        answer = await self._engine.send_order(
            info.address, fencing, order.desired
        )
        logger.info(
            "order_given",
            extra={
                "target": order.target,
                "fencing": fencing,
                "obeyed": isinstance(answer, result.Success),
            },
        )
