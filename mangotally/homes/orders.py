"""Gives engines their orders; one giver for each pool.

An order is a record of the orders stream, and its offset there is its
fencing number: an order of an earlier giver has a lower one. Engines that
check it refuse old orders. The state of all engines is read back at each
round, so one that obeyed an old order is put right.
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


class OrderGiver:
    """Brings the engines of the pools at home here into their state."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.Peers,
        live: configuration.LiveConfiguration,
        home: pool_home.PoolHome,
        engine: engine_client.EngineClient,
        log: base.Log,
        clock: clock_lib.Clock,
        order_ms: float,
    ) -> None:
        """Makes a giver; entering it starts the rounds."""
        self._order_ms = order_ms
        self._members = members
        self._peers = peers
        self._live = live
        self._home = home
        self._engine = engine
        self._log = log
        self._clock = clock
        self._ordered_ms: dict[ids.TargetId, float] = {}
        self._fetched: set[tuple[ids.TargetId, str]] = set()
        self._background = background.BackgroundTasks(self._run)

    async def __aenter__(self) -> Self:
        """Starts the rounds."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the rounds."""
        await self._background.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(self._order_ms))
            for pool in self._home.model_pools():
                await self.round(pool)

    async def round(self, pool: pool_lib.Pool) -> None:
        """Reads the engines of a pool and gives one order, if any is due."""
        current = self._live.current.lists
        service = current.service(pool.service) if current else None
        wanted = orders.desired_state(service) if service else None
        if wanted is None or not self._may_give(pool.service):
            return
        seen = await self._read(pool)
        for target, item in seen.items():
            if orders.matches(wanted, item.state):
                self._ordered_ms.pop(target, None)
        order = orders.next_order(
            wanted, seen, self._ordered_ms, self._clock.now_ms()
        )
        if order is not None and await self._fetch_all(order):
            await self._give(pool, order)

    def _may_give(self, service: ids.ServiceId) -> bool:
        now_ms = self._clock.now_ms()
        has_lease = self._members.lease.is_valid(now_ms)
        return has_lease and self._home.is_home(service)

    async def _read(
        self, pool: pool_lib.Pool
    ) -> dict[ids.TargetId, orders.EngineReport]:
        infos = [
            info
            for info in pool.targets.values()
            if info.state is pools.TargetState.LIVE
        ]
        answers = await asyncio.gather(
            *(self._engine.state(info.address) for info in infos)
        )
        return {
            info.target: answer.unwrap()
            for info, answer in zip(infos, answers, strict=True)
            if isinstance(answer, result.Success)
        }

    async def _fetch_all(self, order: orders.Order) -> bool:
        """Fetches what an order still lacks; returns whether it has all."""
        for name in order.weights:
            if (order.target, name) in self._fetched:
                continue
            home = self._members.home_of(weights.HOME_KEY)
            outcome = await self._peers.call(home, messages.FetchWeights(name))
            if isinstance(outcome, result.Failure):
                return False
            self._fetched.add((order.target, name))
        return True

    async def _give(self, pool: pool_lib.Pool, order: orders.Order) -> None:
        record = records.OrderGiven(
            pool.service, order.target, self._members.host
        )
        data = records.registry.encode_batch([record])
        appended = await self._log.append(records.ORDERS_STREAM, data)
        info = pool.targets.get(order.target)
        if isinstance(appended, result.Failure) or info is None:
            return
        if not self._may_give(pool.service):
            return
        fencing = appended.unwrap()
        self._ordered_ms[order.target] = self._clock.now_ms()
        self._fetched = {
            item for item in self._fetched if item[0] != order.target
        }
        given = await self._engine.order(info.address, fencing, order.desired)
        logger.info(
            "order_given",
            extra={
                "target": order.target,
                "fencing": fencing,
                "obeyed": isinstance(given, result.Success),
            },
        )
