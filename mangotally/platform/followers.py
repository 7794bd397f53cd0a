"""Followers of the topics for the configuration and the targets."""

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

    from mangotally.entry import configuration_cache as cache_lib
    from mangotally.entry import directory as directory_lib
    from mangotally.entry import known_closures, model

logger = logging.getLogger(__name__)

OPERATORS = store.Topic("keyed.op")
TARGETS = store.Topic("keyed.servers")
CONFIGURATION_KEY = "config"
# Followed by the name of a failure domain: its targets get no requests.
EVACUATION_PREFIX = "evacuate/"
# Long-poll time: how long a read waits at the store for a change.
WAIT_MS = 1000
# A read confirms what was so when it was sent. So the age of the configuration
# reaches twice the long-poll time, and must stay well below its bound.
MAX_WAIT_FRACTION = 0.2
# Pause after a read, so that frequent changes are read in one batch.
CONFIGURATION_PAUSE_MS = 20
TARGETS_PAUSE_MS = 450
RETRY_MS = 150
# An entry deleted within this time after a failed read may have expired only
# because of the outage of the store.
AFTER_OUTAGE_MS = 2500
MAX_LOGGED_KEYS = 1000


class Follower(abc.ABC):
    """Follows one keyed topic: reads a snapshot once, then the changes."""

    def __init__(
        self,
        client: store.Store,
        topic: store.Topic,
        clock: clock_lib.Clock,
        pause_ms: float,
        wait_ms: float = WAIT_MS,
    ) -> None:
        """Creates a follower that has read nothing.

        Args:
            client: The store.
            topic: The topic.
            clock: A clock that includes time in suspension.
            pause_ms: Pause after each read.
            wait_ms: How long a read waits for a change.
        """
        self._client = client
        self._topic = topic
        self._clock = clock
        self._pause_ms = pause_ms
        self._wait_ms = int(wait_ms)
        self._next_offset: store.Offset | None = None
        self._failed_ms = -float("inf")

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot of the topic has been read."""
        return self._next_offset is not None

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        has_succeeded = False
        while True:
            # After a failure, read without waiting: the answer confirms at
            # once that everything written so far has been read.
            has_succeeded = await self._read_once(
                self._wait_ms if has_succeeded else 0
            )
            pause_ms = self._pause_ms
            if not has_succeeded:
                pause_ms = RETRY_MS * random.uniform(0.5, 1.5)
            await asyncio.sleep(clock_lib.to_seconds(pause_ms))

    async def read_now(self) -> bool:
        """Reads pending records without waiting; returns whether it worked."""
        return await self._read_once(0)

    async def _read_once(self, wait_ms: int) -> bool:
        sent_ms = self._clock.now_ms()
        if self._next_offset is None:
            return await self._read_snapshot(sent_ms)
        first = self._next_offset
        batch = await self._client.read(self._topic, 0, first, wait_ms)
        match batch:
            case store.Unavailable():
                self._failed_ms = self._clock.now_ms()
                return False
            case store.Trimmed():
                self._next_offset = None
                return await self._read_snapshot(self._clock.now_ms())
        if batch.next > self._next_offset:
            self._next_offset = batch.next
            self._apply_changes([store.keyed(each) for each in batch.records])
        if batch.next >= batch.end:
            self._confirm_current(sent_ms)
        return True

    async def _read_snapshot(self, sent_ms: float) -> bool:
        latest = await self._client.read_latest(self._topic)
        if isinstance(latest, store.Unavailable):
            self._failed_ms = self._clock.now_ms()
            return False
        self._next_offset = max(
            self._next_offset or store.Offset(0), latest.end
        )
        self._apply_snapshot(latest.records)
        self._confirm_current(sent_ms)
        return True

    @property
    def _is_after_outage(self) -> bool:
        since_ms = self._clock.now_ms() - self._failed_ms
        return since_ms < AFTER_OUTAGE_MS

    @abc.abstractmethod
    def _apply_snapshot(self, records: Iterable[store.KeyedRecord]) -> None:
        """Applies a snapshot: the latest record of each key."""

    @abc.abstractmethod
    def _apply_changes(self, records: Iterable[store.KeyedRecord]) -> None:
        """Applies records in the order in which they were written."""

    @abc.abstractmethod
    def _confirm_current(self, sent_ms: float) -> None:
        """Records that everything written before a time has been read.

        Args:
            sent_ms: That time, at which the read was sent.
        """


class ConfigurationFollower(Follower):
    """Applies the operators' configuration and evacuations."""

    def __init__(
        self,
        client: store.Store,
        cache: cache_lib.ConfigurationCache,
        closures: known_closures.KnownClosures,
        clock: clock_lib.Clock,
        max_age_ms: float,
    ) -> None:
        """Creates a follower that has read nothing.

        Args:
            client: The store.
            cache: Holds the configuration.
            closures: Holds the evacuated failure domains.
            clock: A clock that includes time in suspension.
            max_age_ms: Age at which the configuration is outdated.
        """
        super().__init__(
            client,
            OPERATORS,
            clock,
            CONFIGURATION_PAUSE_MS,
            min(WAIT_MS, MAX_WAIT_FRACTION * max_age_ms),
        )
        self._cache = cache
        self._closures = closures
        self._is_decodable = False

    def _apply_snapshot(self, records: Iterable[store.KeyedRecord]) -> None:
        latest = list(records)
        # What is not listed any more has been taken back.
        self._closures.retain_evacuated(
            _evacuated_domain(each)
            for each in latest
            if each.key.startswith(EVACUATION_PREFIX)
        )
        self._apply_changes(latest)

    def _apply_changes(self, records: Iterable[store.KeyedRecord]) -> None:
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                self._update(record.value)
            elif record.key.startswith(EVACUATION_PREFIX):
                self._apply_evacuation(record)

    def _apply_evacuation(self, record: store.KeyedRecord) -> None:
        domain = _evacuated_domain(record)
        if not record.value:
            self._closures.reopen(domain)
        elif wire.is_evacuation(record.value):
            self._closures.evacuate(domain)
        else:
            logger.warning("evacuation_unreadable", extra={"domain": domain})

    def _update(self, value: bytes) -> None:
        decoded = wire.decode_configuration(value)
        self._is_decodable = isinstance(decoded, result.Success)
        if isinstance(decoded, result.Failure):
            logger.error(
                "configuration_unreadable",
                extra={"reason": decoded.failure()},
            )
            return
        self._cache.put(decoded.unwrap())

    def _confirm_current(self, sent_ms: float) -> None:
        # A newer configuration that cannot be decoded may withdraw API keys, so
        # the cached one does not count as current.
        if self._is_decodable:
            self._cache.confirm_current(sent_ms)


def _evacuated_domain(record: store.KeyedRecord) -> ids.FailureDomainId:
    return ids.FailureDomainId(record.key.removeprefix(EVACUATION_PREFIX))


class TargetsFollower(Follower):
    """Updates the directory of targets from the topic of targets."""

    def __init__(
        self,
        client: store.Store,
        directory: directory_lib.TargetDirectory,
        clock: clock_lib.Clock,
    ) -> None:
        super().__init__(client, TARGETS, clock, TARGETS_PAUSE_MS)
        self._directory = directory
        self._unreadable: set[str] = set()

    def _apply_snapshot(self, records: Iterable[store.KeyedRecord]) -> None:
        targets = []
        for record in records:
            decoded = self._decode(record)
            if decoded is not None:
                targets.append(decoded)
        self._directory.replace(targets, self._is_after_outage)

    def _apply_changes(self, records: Iterable[store.KeyedRecord]) -> None:
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
        if self._is_after_outage:
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

    def _confirm_current(self, sent_ms: float) -> None:
        self._directory.confirm_current(sent_ms)
        self._directory.remove_expired()
