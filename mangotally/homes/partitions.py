"""The history partitions that this host is home of, kept in memory."""

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

RETRY_S = 1.0


class Partitions:
    """Loads a partition on first use and forgets it when its home moves."""

    def __init__(
        self,
        count: int,
        log: base.Log,
        members: membership.Membership,
        clock: clock_lib.Clock,
        limiter: append_limiter.AppendRateLimiter | None = None,
        call_lifetime_ms: int = ledger_lib.DAY_MS,
    ) -> None:
        """Makes an empty set; entering it loads this host's partitions.

        Args:
            count: Number of partitions of the fleet.
            log: The platform's log.
            members: The membership of this host.
            clock: The clock.
            limiter: Paces this host's appends, or None.
            call_lifetime_ms: How long an idempotency key names one call.
        """
        self.count = count
        self._log = log
        self._members = members
        self._clock = clock
        self._limiter = limiter
        self._call_lifetime_ms = call_lifetime_ms
        self._loaded: dict[ids.PartitionId, partition_log.Partition] = {}
        self._retired: list[partition_log.Partition] = []
        self._locks: dict[ids.PartitionId, asyncio.Lock] = {}
        self._listeners: list[Callable[[partition_log.Partition], None]] = []
        self._moved = asyncio.Event()
        self._random = random.Random(members.host)
        self._background = background.BackgroundTasks(self._adopt)
        members.on_change(self._on_change)

    async def __aenter__(self) -> Self:
        """Starts to load the partitions that this host is home of."""
        self._moved.set()
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops all writers."""
        await self._background.stop()
        left = [*self._loaded.values(), *self._retired]
        await asyncio.gather(*(item.__aexit__() for item in left))

    def on_load(
        self, listener: Callable[[partition_log.Partition], None]
    ) -> None:
        """Adds a function that is called with each partition loaded."""
        self._listeners.append(listener)

    def is_sole_home(
        self, partition: partition_log.Partition, lease_ms: float
    ) -> bool:
        """Returns whether no other host can have written unseen.

        A host acts for a partition only under its lease, so an earlier home
        has stopped one lease after the view changed. That holds once the
        stream was read up to its end later than that, and while this
        host's own lease is valid.

        Args:
            partition: A partition of this host.
            lease_ms: Length of a lease.
        """
        return self.may_act() and partition.current_for_ms > 2 * lease_ms

    def may_act(self) -> bool:
        """Returns whether this host's lease is valid now."""
        return self._members.lease.is_valid(self._clock.now_ms())

    def loaded(self) -> list[partition_log.Partition]:
        """Returns the partitions in memory."""
        return list(self._loaded.values())

    def key_of(self, organisation: ids.OrganisationId, name: str) -> str:
        """Returns the rendezvous key of a root program or call key."""
        return rendezvous.partition_key(self._number(organisation, name))

    async def of(
        self, organisation: ids.OrganisationId, name: str
    ) -> errors.Outcome[partition_log.Partition]:
        """Returns the partition of a root program or an idempotency key."""
        return await self._load(self._number(organisation, name))

    def _number(
        self, organisation: ids.OrganisationId, name: str
    ) -> ids.PartitionId:
        return rendezvous.partition_of(organisation, name, self.count)

    async def _load(
        self, number: ids.PartitionId
    ) -> errors.Outcome[partition_log.Partition]:
        if not self._members.is_home(rendezvous.partition_key(number)):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        async with self._locks.setdefault(number, asyncio.Lock()):
            found = self._loaded.get(number)
            if found is not None:
                return result.Success(found)
            made = partition_log.Partition(
                self._log,
                records.history_stream(number),
                self._clock,
                self._limiter,
                self._call_lifetime_ms,
            )
            read = await made.catch_up()
            if isinstance(read, result.Failure):
                return result.Failure(read.failure())
            self._loaded[number] = made
        for listener in self._listeners:
            listener(made)
        return result.Success(made)

    async def _adopt(self) -> None:
        while True:
            await self._moved.wait()
            self._moved.clear()
            for number in range(self.count):
                partition = ids.PartitionId(number)
                key = rendezvous.partition_key(partition)
                if not self._members.is_home(key):
                    continue
                outcome = await self._load(partition)
                if isinstance(outcome, result.Failure):
                    await asyncio.sleep(self._random.uniform(0.5, 1) * RETRY_S)
                    self._moved.set()

    def _on_change(self) -> None:
        for number in list(self._loaded):
            if not self._members.is_home(rendezvous.partition_key(number)):
                self._retired.append(self._loaded.pop(number))
        self._retired = [item for item in self._retired if item.pending_bytes]
        self._moved.set()
