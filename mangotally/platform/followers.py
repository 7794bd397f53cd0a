"""Follow what operators and targets write to the store."""

from __future__ import annotations

import abc
import asyncio
import logging
import random
from typing import TYPE_CHECKING

from returns import result

from mangotally import ids
from mangotally.platform import store, wire
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mangotally.entry import configuration_cache as knowledge_lib
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import model

logger = logging.getLogger(__name__)

OPERATORS = store.Topic("keyed.op")
TARGETS = store.Topic("keyed.servers")
CONFIGURATION_KEY = "config"
# How long a read waits at the store for a change.
WAIT_MS = 1000
# Pause after a read, so that frequent changes are read together.
CONFIGURATION_PAUSE_MS = 20
TARGETS_PAUSE_MS = 450
RETRY_MS = 150
# Entries that are dropped so long after an outage may have lapsed in it.
OUTAGE_MEMORY_MS = 2500
MAX_LOGGED_KEYS = 1000


class Follower(abc.ABC):
    """Keeps up with one keyed topic: a list once, then changes."""

    def __init__(
        self,
        client: store.Store,
        topic: store.Topic,
        clock: clock_lib.Clock,
        pause_ms: float,
    ) -> None:
        """Makes a follower that has read nothing.

        Args:
            client: The store.
            topic: The topic.
            clock: A clock that counts suspensions.
            pause_ms: Pause after each read.
        """
        self._client = client
        self._topic = topic
        self._clock = clock
        self._pause_ms = pause_ms
        self._next: store.Offset | None = None
        self._failed_ms = -float("inf")

    @property
    def has_listed(self) -> bool:
        """Whether the topic was read at least once."""
        return self._next is not None

    async def run(self) -> None:
        """Follows until cancelled."""
        is_read = False
        while True:
            # After a failure, an answer at once proves most.
            is_read = await self._step(WAIT_MS if is_read else 0)
            pause_ms = self._pause_ms
            if not is_read:
                pause_ms = RETRY_MS * random.uniform(0.5, 1.5)
            await asyncio.sleep(clock_lib.to_seconds(pause_ms))

    async def read_now(self) -> bool:
        """Reads what is there without waiting; returns whether it could."""
        return await self._step(0)

    async def _step(self, wait_ms: int) -> bool:
        sent_ms = self._clock.now_ms()
        if self._next is None:
            return await self._list(sent_ms)
        first = self._next
        batch = await self._client.read(self._topic, 0, first, wait_ms)
        match batch:
            case store.Unavailable():
                self._failed_ms = self._clock.now_ms()
                return False
            case store.Trimmed():
                self._next = None
                return await self._list(self._clock.now_ms())
        if batch.next > self._next:
            self._next = batch.next
            self._change([store.keyed(each) for each in batch.records])
        if batch.next >= batch.end:
            self._prove(sent_ms)
        return True

    async def _list(self, sent_ms: float) -> bool:
        newest = await self._client.newest(self._topic)
        if isinstance(newest, store.Unavailable):
            self._failed_ms = self._clock.now_ms()
            return False
        self._next = max(self._next or store.Offset(0), newest.end)
        self._replace(newest.records)
        self._prove(sent_ms)
        return True

    @property
    def _after_outage(self) -> bool:
        since_ms = self._clock.now_ms() - self._failed_ms
        return since_ms < OUTAGE_MEMORY_MS

    @abc.abstractmethod
    def _replace(self, records: Iterable[store.KeyedRecord]) -> None:
        """Takes the newest record of each key."""

    @abc.abstractmethod
    def _change(self, records: Iterable[store.KeyedRecord]) -> None:
        """Takes records in the order in which they were written."""

    @abc.abstractmethod
    def _prove(self, sent_ms: float) -> None:
        """Notes that all that was written before a time has been read."""


class ConfigurationFollower(Follower):
    """Puts the operators' configuration in force."""

    def __init__(
        self,
        client: store.Store,
        knowledge: knowledge_lib.ConfigurationCache,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a follower that tells `knowledge`."""
        super().__init__(client, OPERATORS, clock, CONFIGURATION_PAUSE_MS)
        self._knowledge = knowledge
        self._is_readable = False

    def _replace(self, records: Iterable[store.KeyedRecord]) -> None:
        self._change(records)

    def _change(self, records: Iterable[store.KeyedRecord]) -> None:
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                self._put(record.value)

    def _put(self, value: bytes) -> None:
        decoded = wire.decode_configuration(value)
        self._is_readable = isinstance(decoded, result.Success)
        if isinstance(decoded, result.Failure):
            logger.error(
                "configuration_unreadable",
                extra={"reason": decoded.failure()},
            )
            return
        self._knowledge.put(decoded.unwrap())

    def _prove(self, sent_ms: float) -> None:
        # A newer configuration that can't be read may withdraw keys.
        if self._is_readable:
            self._knowledge.confirm_current(sent_ms)


class TargetsFollower(Follower):
    """Keeps the list of targets."""

    def __init__(
        self,
        client: store.Store,
        directory: directory_lib.TargetDirectory,
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a follower that tells `directory`."""
        super().__init__(client, TARGETS, clock, TARGETS_PAUSE_MS)
        self._directory = directory
        self._unreadable: set[str] = set()

    def _replace(self, records: Iterable[store.KeyedRecord]) -> None:
        targets = []
        for record in records:
            decoded = self._decode(record)
            if decoded is not None:
                targets.append(decoded)
        self._directory.replace(targets, self._after_outage)

    def _change(self, records: Iterable[store.KeyedRecord]) -> None:
        for record in records:
            name = ids.TargetId(record.key)
            if not record.value:
                self._drop(name)
                continue
            decoded = self._decode(record)
            if decoded is not None:
                self._directory.put(decoded)
            else:
                self._directory.remove(name, "unreadable")

    def _drop(self, name: ids.TargetId) -> None:
        if self._after_outage:
            self._directory.remove_later(name)
        else:
            self._directory.remove(name, "dropped")

    def _decode(self, record: store.KeyedRecord) -> model.Target | None:
        decoded = wire.decode_target(record.key, record.value)
        if isinstance(decoded, result.Success):
            return decoded.unwrap()
        if record.key not in self._unreadable:
            if len(self._unreadable) < MAX_LOGGED_KEYS:
                self._unreadable.add(record.key)
            logger.warning(
                "target_unreadable",
                extra={"target": record.key, "reason": decoded.failure()},
            )
        return None

    def _prove(self, sent_ms: float) -> None:
        self._directory.remove_lapsed()
