"""Service calls by idempotency key: intents, results and replays."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.policy import records

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longest response body, in base64, that is stored for replays.
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

    The content type is the only header that is included.
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
    """The key is unused: the call may be sent once its intent is in effect."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The call has already run; its stored result is returned."""

    result: records.CallResult


@dataclasses.dataclass
class CallState:
    """The state of one idempotency key according to the log.

    Attributes:
        intent: The intent in effect, or None.
        result: The result of that intent's attempt, or None.
        dropped_attempts: Attempts that were abandoned and will never send
            the call.
        anchored_wall_ms: When the oldest record that this state depends on
            was written, since the Unix epoch.
    """

    intent: records.CallIntent | None = None
    result: records.CallResult | None = None
    dropped_attempts: set[ids.AttemptId] = dataclasses.field(
        default_factory=set
    )
    anchored_wall_ms: int = 0


class CallLedger:
    """The calls of a partition; the first intent of a key takes effect.

    An intent that was written more than the lifetime of a key after the one
    in effect replaces it: the key then identifies a new call.
    """

    def __init__(self, lifetime_ms: int) -> None:
        """Creates an empty ledger.

        Args:
            lifetime_ms: How long a key identifies the same call. Must be
                equal on all hosts.
        """
        self._lifetime_ms = lifetime_ms
        self.calls: dict[CallKey, CallState] = {}

    def intent(self, key: CallKey) -> records.CallIntent | None:
        """Returns the intent in effect, or None."""
        found = self.calls.get(key)
        return found.intent if found else None

    def check(self, key: CallKey, digest: str) -> errors.Outcome[Send | Replay]:
        """Decides whether a call is sent, replayed or refused.

        Args:
            key: Organisation and idempotency key.
            digest: Digest of the request.

        Returns:
            `Send`, `Replay`, or the reason for the refusal.
        """
        found = self.calls.get(key)
        if found is None or found.intent is None:
            return result.Success(Send())
        if found.intent.digest != digest:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The idempotency key was used with different content.",
            )
        if found.result is None:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The call was already sent, and its result is unknown.",
                errors.Ran.MAY_HAVE_RUN,
            )
        if not found.result.whole:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The call has run, but its response was too large to store.",
                errors.Ran.RAN,
            )
        return result.Success(Replay(found.result))

    def apply(self, record: object) -> bool:
        """Applies one record; returns whether it took effect."""
        match record:
            case records.CallIntent():
                return self._apply_intent(record)
            case records.CallDropped():
                return self._apply_dropped(record)
            case records.CallResult():
                return self._apply_result(record)
            case _:
                return False

    def restore(self, record: records.CallSnapshot) -> bool:
        """Replaces the state of a call by a snapshot."""
        key = (record.intent.organisation, record.intent.key)
        call = self.calls.setdefault(key, CallState())
        call.intent = record.intent
        call.result = record.result
        call.anchored_wall_ms = record.wall_ms
        return True

    def prune(self, now_wall_ms: int) -> None:
        """Removes calls that are older than the lifetime of a key."""
        expired = [
            key
            for key, call in self.calls.items()
            if now_wall_ms - _started_wall_ms(call) > self._lifetime_ms
        ]
        for key in expired:
            del self.calls[key]

    def due_for_snapshot(self, now_wall_ms: int, age_ms: int) -> list[CallKey]:
        """Returns the calls that need a snapshot.

        Their oldest record is older than `age_ms` and will be removed from
        the log by its retention.
        """
        return [
            key
            for key, call in self.calls.items()
            if call.intent is not None
            and now_wall_ms - call.anchored_wall_ms > age_ms
        ]

    def snapshot(
        self, key: CallKey, as_of: ids.Offset, now_wall_ms: int
    ) -> records.CallSnapshot | None:
        """Returns a snapshot of a call, or None if the call is unknown."""
        found = self.calls.get(key)
        if found is None or found.intent is None:
            return None
        return records.CallSnapshot(
            as_of, found.intent, found.result, now_wall_ms
        )

    def _apply_intent(self, record: records.CallIntent) -> bool:
        call = self.calls.setdefault(
            (record.organisation, record.key), CallState()
        )
        if record.attempt in call.dropped_attempts or not self._can_take(
            call, record
        ):
            return False
        call.intent = record
        call.result = None
        call.anchored_wall_ms = record.begun_wall_ms
        return True

    def _can_take(self, call: CallState, record: records.CallIntent) -> bool:
        """Returns whether the key is unused or its lifetime has passed."""
        if call.intent is None:
            return True
        age_ms = record.begun_wall_ms - call.intent.begun_wall_ms
        return age_ms > self._lifetime_ms

    def _apply_dropped(self, record: records.CallDropped) -> bool:
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

    def _apply_result(self, record: records.CallResult) -> bool:
        call = self.calls.get((record.organisation, record.key))
        if call is None or call.intent is None or call.result is not None:
            return False
        if call.intent.attempt != record.attempt:
            return False
        call.result = record
        return True


def _started_wall_ms(call: CallState) -> int:
    return call.intent.begun_wall_ms if call.intent else call.anchored_wall_ms


def without_large_body(record: records.CallResult) -> records.CallResult:
    """Returns a result, without its body if that is too large to store."""
    if len(record.body_base64) <= MAX_STORED_BODY_CHARS:
        return record
    return dataclasses.replace(record, body_base64="", whole=False)
