"""History partitions in the memory of their home.

The home of a partition is the host that owns its key.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Self

from returns import result

from mangotally import errors, ids
from mangotally.log import partition as partition_log
from mangotally.policy import ledger as ledger_lib
from mangotally.policy import records, rendezvous
from mangotally.util import background

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally.homes import membership
    from mangotally.log import append_limiter, base
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 1.0


class Partitions:
    """Loads the partitions whose home is this host; unloads them as they move.

    A partition is loaded in the background, or earlier if it is used before.
    """

    def __init__(
        self,
        count: int,
        log: base.Log,
        members: membership.Membership,
        clock: clock_lib.Clock,
        limiter: append_limiter.AppendRateLimiter | None = None,
        call_lifetime_ms: int = ledger_lib.DAY_MS,
    ) -> None:
        """Starts empty; entering the context loads this host's partitions.

        Args:
            count: Number of partitions of the fleet.
            log: The platform's log.
            members: The membership of this host.
            clock: The clock.
            limiter: Limits the rate of this host's appends, or None.
            call_lifetime_ms: How long an idempotency key identifies one call.
        """
        self.count = count
        self._log = log
        self._members = members
        self._clock = clock
        self._limiter = limiter
        self._call_lifetime_ms = call_lifetime_ms
        self._loaded: dict[ids.PartitionId, partition_log.Partition] = {}
        # Partitions that moved away and may still have records to write.
        self._retired: list[partition_log.Partition] = []
        self._locks: dict[ids.PartitionId, asyncio.Lock] = {}
        self._listeners: list[Callable[[partition_log.Partition], None]] = []
        self._homes_changed = asyncio.Event()
        self._random = random.Random(members.host)
        self._background = background.BackgroundTasks(self._adopt)
        members.on_change(self._on_change)

    async def __aenter__(self) -> Self:
        """Starts to load this host's partitions in the background."""
        self._homes_changed.set()
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops the writers of all partitions."""
        await self._background.stop()
        remaining = [*self._loaded.values(), *self._retired]
        await asyncio.gather(*(item.__aexit__() for item in remaining))

    def on_load(
        self, listener: Callable[[partition_log.Partition], None]
    ) -> None:
        """Adds a function that is called with each loaded partition."""
        self._listeners.append(listener)

    def is_sole_home(
        self, partition: partition_log.Partition, lease_ms: float
    ) -> bool:
        """Returns whether this host has read all that other hosts wrote.

        A host writes to a partition only under its lease, so an earlier home
        stops at most one lease after the change of the view. The result is
        true if the end of the stream was read after that time, and while
        this host's own lease is valid.

        Args:
            partition: A partition of this host.
            lease_ms: Duration of a lease.
        """
        return self.holds_lease() and partition.current_for_ms > 2 * lease_ms

    def holds_lease(self) -> bool:
        """Returns whether this host's lease is valid now."""
        return self._members.lease.is_valid(self._clock.now_ms())

    def loaded(self) -> list[partition_log.Partition]:
        """Returns the loaded partitions."""
        return list(self._loaded.values())

    def key_of(self, organisation: ids.OrganisationId, name: str) -> str:
        """Returns the rendezvous key of a root program or idempotency key."""
        return rendezvous.partition_key(self._partition_id(organisation, name))

    async def partition_for(
        self, organisation: ids.OrganisationId, name: str
    ) -> errors.Outcome[partition_log.Partition]:
        """Returns the partition of a root program or an idempotency key."""
        return await self._load(self._partition_id(organisation, name))

    def _partition_id(
        self, organisation: ids.OrganisationId, name: str
    ) -> ids.PartitionId:
        return rendezvous.partition_of(organisation, name, self.count)

    async def _load(
        self, partition_id: ids.PartitionId
    ) -> errors.Outcome[partition_log.Partition]:
        if not self._members.is_home(rendezvous.partition_key(partition_id)):
            return errors.home_moved()
        async with self._locks.setdefault(partition_id, asyncio.Lock()):
            loaded = self._loaded.get(partition_id)
            if loaded is not None:
                return result.Success(loaded)
            partition = partition_log.Partition(
                self._log,
                records.history_stream(partition_id),
                self._clock,
                self._limiter,
                self._call_lifetime_ms,
            )
            read = await partition.catch_up()
            if isinstance(read, result.Failure):
                return result.Failure(read.failure())
            self._loaded[partition_id] = partition
        for listener in self._listeners:
            listener(partition)
        return result.Success(partition)

    async def _adopt(self) -> None:
        while True:
            await self._homes_changed.wait()
            self._homes_changed.clear()
            for number in range(self.count):
                partition_id = ids.PartitionId(number)
                key = rendezvous.partition_key(partition_id)
                if not self._members.is_home(key):
                    continue
                outcome = await self._load(partition_id)
                if isinstance(outcome, result.Failure):
                    await asyncio.sleep(
                        self._random.uniform(0.5, 1) * RETRY_INTERVAL_S
                    )
                    self._homes_changed.set()

    def _on_change(self) -> None:
        for partition_id in list(self._loaded):
            if not self._members.is_home(
                rendezvous.partition_key(partition_id)
            ):
                self._retired.append(self._loaded.pop(partition_id))
        self._retired = [item for item in self._retired if item.pending_bytes]
        self._homes_changed.set()
