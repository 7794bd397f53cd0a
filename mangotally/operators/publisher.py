"""Publishes operators' changes to the configuration stream."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.policy import configuration, records
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import configuration as live_configuration
    from mangotally.log import base, follower
    from mangotally.settings import lists

logger = logging.getLogger(__name__)

APPEND_ATTEMPTS = 3
RETRY_INTERVAL_MS = 200
READ_BACK_TIMEOUT_MS = 5000
# A version is published as a delta to its predecessor if at most this
# fraction of the organisations (or one organisation) changes, otherwise in
# full.
MAX_DELTA_FRACTION = 0.25
_KEY_BYTES = 24
_KEY_ID_BYTES = 6


class Publisher:
    """Publishes versions of the lists, issues API keys and withdraws them.

    If the answer to an append is lost, the same record is appended again with
    the same id. Whether a change took effect is decided by reading it back
    from the stream, not by the answers to appends.
    """

    def __init__(
        self,
        log: base.Log,
        stream: str,
        live: live_configuration.LiveConfiguration,
        reader: follower.Follower,
    ) -> None:
        """Creates a publisher.

        Args:
            log: The log.
            stream: Name of the configuration stream.
            live: The configuration, updated by the reader.
            reader: Reads the configuration stream.
        """
        self._log = log
        self._stream = stream
        self._live = live
        self._reader = reader

    async def publish(
        self, content: lists.Lists, predecessor: int
    ) -> errors.Outcome[int]:
        """Publishes a version that replaces the one that the operator read.

        Args:
            content: The lists.
            predecessor: Number of the version that the operator read; the
                publication conflicts if another is in force.

        Returns:
            The number of the new version.
        """
        incomplete = self._check_complete()
        if incomplete is not None:
            return result.Failure(incomplete)
        current = self._live.current
        if current.version != predecessor:
            return _conflict(current.version)
        version = predecessor + 1
        attempt = ids.new_attempt_id()
        record = _version_record(current.lists, content, version, attempt)
        appended = await self._append(record)
        winner = self._live.current.publication_of(version)
        if winner == attempt:
            return result.Success(version)
        if winner is not None or self._live.current.version >= version:
            return _conflict(self._live.current.version)
        return _not_confirmed(appended)

    async def issue_key(
        self, organisation: ids.OrganisationId
    ) -> errors.Outcome[tuple[ids.KeyId, str]]:
        """Issues a new API key; returns its id and the key itself."""
        incomplete = self._check_complete()
        if incomplete is not None:
            return result.Failure(incomplete)
        current = self._live.current.lists
        if current is None or current.organisation_plan(organisation) is None:
            return errors.failed(
                errors.Reason.NOT_FOUND,
                "The configuration has no organisation of this name.",
            )
        key = f"mt-{secrets.token_urlsafe(_KEY_BYTES)}"
        key_id = ids.KeyId(f"k{secrets.token_hex(_KEY_ID_BYTES)}")
        record = records.KeyGiven(
            key_id,
            organisation,
            configuration.digest_key(key),
            self._reader.next_offset,
        )
        appended = await self._append(record)
        if self._live.current.is_key_active(key_id):
            return result.Success((key_id, key))
        return _not_confirmed(appended, f" The id of the new key is {key_id}.")

    async def withdraw_key(
        self, key_id: ids.KeyId
    ) -> errors.Outcome[ids.KeyId]:
        """Withdraws an active key; it can't become active again."""
        if not self._live.current.is_key_active(key_id):
            incomplete = self._check_complete()
            if incomplete is not None:
                return result.Failure(incomplete)
            return errors.failed(
                errors.Reason.NOT_FOUND, "No active key has this id."
            )
        appended = await self._append(records.KeyWithdrawn(key_id))
        if not self._live.current.is_key_active(key_id):
            return result.Success(key_id)
        return _not_confirmed(appended)

    def _check_complete(self) -> errors.Failure | None:
        if self._live.current.is_complete:
            return None
        return errors.Failure(
            errors.Reason.UNAVAILABLE,
            "This host does not know the configuration in force.",
        )

    async def _append(self, record: Any) -> errors.Outcome[None]:
        data = records.registry.encode_batch([record])
        outcome = await self._log.append(self._stream, data)
        for number in range(1, APPEND_ATTEMPTS):
            if isinstance(outcome, result.Success):
                break
            await asyncio.sleep(
                clock_lib.to_seconds(RETRY_INTERVAL_MS * number)
            )
            outcome = await self._log.append(self._stream, data)
        match outcome:
            case result.Success(offset):
                return await self._read_back(offset)
            case _:
                logger.warning(
                    "configuration_append_failed",
                    extra={"kind": type(record).__name__},
                )
                await self._wait_caught_up()
                return result.Failure(outcome.failure())

    async def _wait_caught_up(self) -> None:
        before_ms = self._reader.caught_up_ms
        waited_ms = 0
        while (
            self._reader.caught_up_ms == before_ms
            and waited_ms < READ_BACK_TIMEOUT_MS
        ):
            await asyncio.sleep(clock_lib.to_seconds(RETRY_INTERVAL_MS))
            waited_ms += RETRY_INTERVAL_MS

    async def _read_back(self, offset: ids.Offset) -> errors.Outcome[None]:
        try:
            async with asyncio.timeout(
                clock_lib.to_seconds(READ_BACK_TIMEOUT_MS)
            ):
                await self._reader.wait_for(offset)
        except TimeoutError:
            return errors.failed(
                errors.Reason.LOG_UNAVAILABLE,
                "The change was appended but could not be read back from the "
                "log in time.",
            )
        return result.Success(None)


def _version_record(
    base: lists.Lists | None,
    content: lists.Lists,
    version: int,
    attempt: ids.AttemptId,
) -> records.ConfigurationVersion | records.ConfigurationDelta:
    if base is not None:
        delta = configuration.make_delta(base, content, version, attempt)
        size = len(delta.organisations) + len(delta.removed)
        limit = MAX_DELTA_FRACTION * len(content.plans.organisations)
        if size <= max(1.0, limit):
            return delta
    return records.ConfigurationVersion(version, version - 1, content, attempt)


def _conflict(version: int) -> errors.Outcome[Any]:
    return errors.failed(
        errors.Reason.CONFLICT,
        f"Version {version} is in force; read it and publish again.",
    )


def _not_confirmed(
    appended: errors.Outcome[None], more: str = ""
) -> errors.Outcome[Any]:
    if isinstance(appended, result.Success):
        return errors.failed(
            errors.Reason.CONFLICT,
            "The change did not take effect; read the configuration in force "
            "and try again.",
        )
    return errors.failed(
        errors.Reason.LOG_UNAVAILABLE,
        "The log did not confirm the change, which may still take effect; "
        f"read the configuration in force before trying again.{more}",
        errors.Ran.MAY_HAVE_RUN,
        retry_after_ms=READ_BACK_TIMEOUT_MS,
    )
