"""Service calls by idempotency key: intents, results and repeats."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.policy import records

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_STORED_BODY_CHARS = 256 * 1024
_CONTENT_TYPE = "content-type"
CallKey = tuple[ids.OrganisationId, str]


def digest_call(
    service: ids.ServiceId,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: str,
) -> str:
    """Returns the digest by which a repeated call is recognised.

    Of the headers only the content type is part of a call's content.
    """
    digest = hashlib.sha256()
    fields = [service, method, path, body]
    for name, value in headers:
        if name.lower() == _CONTENT_TYPE:
            fields.append(value)
    for field in fields:
        data = field.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True)
class Send:
    """The key is free; the call may be sent once its intent counts."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The call has run; the kept answer is the answer."""

    result: records.CallResult


@dataclasses.dataclass
class CallState:
    """What the log says of one idempotency key.

    Attributes:
        intent: The intent that counts, or None.
        result: The result of that intent's attempt, or None.
        dropped: Attempts that will never send.
        anchored_wall_ms: When the oldest record that it rests on was
            written, since the Unix epoch.
    """

    intent: records.CallIntent | None = None
    result: records.CallResult | None = None
    dropped_attempts: set[ids.AttemptId] = dataclasses.field(
        default_factory=set
    )
    anchored_wall_ms: int = 0


class CallLedger:
    """The calls of a partition; the first intent of a key counts.

    An intent that was written more than the lifetime of a key after the one
    that counts replaces it: the key then names a new call.
    """

    def __init__(self, lifetime_ms: int) -> None:
        """Makes an empty ledger.

        Args:
            lifetime_ms: How long a key names the same call; the same on
                all hosts.
        """
        self._lifetime_ms = lifetime_ms
        self.calls: dict[CallKey, CallState] = {}

    def intent(self, key: CallKey) -> records.CallIntent | None:
        """Returns the intent that counts, or None."""
        found = self.calls.get(key)
        return found.intent if found else None

    def check(self, key: CallKey, digest: str) -> errors.Outcome[Send | Replay]:
        """Decides what becomes of a call.

        Args:
            key: Organisation and idempotency key.
            digest: Digest of the request.

        Returns:
            `Send`, `Repeat`, or why the call is refused.
        """
        found = self.calls.get(key)
        if found is None or found.intent is None:
            return result.Success(Send())
        if found.intent.digest != digest:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The idempotency key belongs to a call of another content.",
            )
        if found.result is None:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The call was sent before and its answer is not known.",
                errors.Ran.MAY_HAVE_RUN,
            )
        if not found.result.whole:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The call has run; its answer was too large to keep.",
                errors.Ran.RAN,
            )
        return result.Success(Replay(found.result))

    def apply(self, record: object) -> bool:
        """Applies one record; returns whether it took effect."""
        match record:
            case records.CallIntent():
                return self._intend(record)
            case records.CallDropped():
                return self._drop(record)
            case records.CallResult():
                return self._keep(record)
            case _:
                return False

    def restore(self, record: records.CallSnapshot) -> bool:
        """Puts a snapshot in place of what is known of its call."""
        key = (record.intent.organisation, record.intent.key)
        call = self.calls.setdefault(key, CallState())
        call.intent = record.intent
        call.result = record.result
        call.anchored_wall_ms = record.wall_ms
        return True

    def prune(self, now_wall_ms: int) -> None:
        """Drops calls that are older than the lifetime of a key."""
        old = [
            key
            for key, call in self.calls.items()
            if now_wall_ms - _begun_wall_ms(call) > self._lifetime_ms
        ]
        for key in old:
            del self.calls[key]

    def due_for_snapshot(self, now_wall_ms: int, age_ms: int) -> list[CallKey]:
        """Returns the calls whose records will age out of the log."""
        return [
            key
            for key, call in self.calls.items()
            if call.intent is not None
            and now_wall_ms - call.anchored_wall_ms > age_ms
        ]

    def snapshot(
        self, key: CallKey, as_of: ids.Offset, now_wall_ms: int
    ) -> records.CallSnapshot | None:
        """Returns a call as one record, or None if there is no such call."""
        found = self.calls.get(key)
        if found is None or found.intent is None:
            return None
        return records.CallSnapshot(
            as_of, found.intent, found.result, now_wall_ms
        )

    def _intend(self, record: records.CallIntent) -> bool:
        call = self.calls.setdefault(
            (record.organisation, record.key), CallState()
        )
        if record.attempt in call.dropped_attempts or not self._is_free(
            call, record
        ):
            return False
        call.intent = record
        call.result = None
        call.anchored_wall_ms = record.begun_wall_ms
        return True

    def _is_free(self, call: CallState, record: records.CallIntent) -> bool:
        if call.intent is None:
            return True
        age_ms = record.begun_wall_ms - call.intent.begun_wall_ms
        return age_ms > self._lifetime_ms

    def _drop(self, record: records.CallDropped) -> bool:
        call = self.calls.setdefault(
            (record.organisation, record.key), CallState()
        )
        if record.attempt in call.dropped_attempts:
            return False
        call.dropped_attempts.add(record.attempt)
        call.anchored_wall_ms = max(call.anchored_wall_ms, record.wall_ms)
        intent = call.intent
        if intent and intent.attempt == record.attempt and not call.result:
            call.intent = None
        return True

    def _keep(self, record: records.CallResult) -> bool:
        call = self.calls.get((record.organisation, record.key))
        if call is None or call.intent is None or call.result is not None:
            return False
        if call.intent.attempt != record.attempt:
            return False
        call.result = record
        return True


def _begun_wall_ms(call: CallState) -> int:
    return call.intent.begun_wall_ms if call.intent else call.anchored_wall_ms


def bounded_result(record: records.CallResult) -> records.CallResult:
    """Returns a result with its body left out if that is too large."""
    if len(record.body_base64) <= MAX_STORED_BODY_CHARS:
        return record
    return dataclasses.replace(record, body_base64="", whole=False)
