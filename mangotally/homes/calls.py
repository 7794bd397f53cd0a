"""Runs calls of plain services, non-idempotent ones at most once.

The home of an idempotency key (the host that owns it) records an intent in
the log before it sends the call, and the result afterwards.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import logging
from typing import TYPE_CHECKING, Protocol

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.policy import calls, programs, records

if TYPE_CHECKING:
    from mangotally.homes import partitions as partitions_lib
    from mangotally.hosts import peers as peers_lib
    from mangotally.hosts import router
    from mangotally.log import partition as partition_log
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)


class CallRunner(Protocol):
    """Runs calls at targets."""

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call at a target of its service.

        Returns:
            The answer. A failure is `not-run` only if no byte of the call
            was written to any target. A call that is not idempotent is
            tried at another target only as long as that holds.
        """


class CallHome:
    """Runs non-idempotent calls and records their intents and results."""

    def __init__(
        self,
        partitions: partitions_lib.Partitions,
        peers: peers_lib.PeerClient,
        runner: CallRunner,
        clock: clock_lib.Clock,
        lease_ms: float,
    ) -> None:
        """Creates the service; `attach` registers its handlers."""
        self._lease_ms = lease_ms
        self._partitions = partitions
        self._peers = peers
        self._runner = runner
        self._clock = clock
        self._active_calls: dict[
            calls.CallKey,
            tuple[str, asyncio.Task[errors.Outcome[messages.CallAnswer]]],
        ] = {}

    def attach(self, handlers: router.Router) -> None:
        """Registers the message handlers."""
        handlers.add_unary(messages.RunCall, self.run)

    def key_of(self, organisation: ids.OrganisationId, key: str) -> str:
        """Returns the rendezvous key of an idempotency key."""
        return self._partitions.key_of(organisation, key)

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call once, or returns its recorded outcome.

        A repeated request joins a call that is in flight. The call continues
        if its caller disconnects.
        """
        key = (message.organisation, message.key)
        digest = calls.digest_call(
            message.service,
            message.method,
            message.path,
            message.headers,
            message.body_base64,
        )
        active = self._active_calls.get(key)
        if active is not None and active[0] != digest:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The idempotency key was used with different content.",
            )
        if active is None:
            task = asyncio.create_task(self._run(message, digest))
            active = (digest, task)
            self._active_calls[key] = active
            task.add_done_callback(lambda _: self._active_calls.pop(key, None))
        return await asyncio.shield(active[1])

    async def run_unrecorded(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Charges the program and runs a call once, without a record.

        If the connection to a target fails, the call has not run there and
        another target is tried. It is not retried once a byte was written.
        """
        charged = await self._charge(message, ids.random_suffix())
        if isinstance(charged, result.Failure):
            return result.Failure(charged.failure())
        return await self._runner.run(message)

    async def wait_idle(self) -> None:
        """Waits until all calls in flight have ended and are recorded."""
        while self._active_calls:
            await asyncio.wait(
                [task for _, task in self._active_calls.values()]
            )

    async def _run(
        self, message: messages.RunCall, digest: str
    ) -> errors.Outcome[messages.CallAnswer]:
        loaded = await self._partitions.partition_for(
            message.organisation, message.key
        )
        if isinstance(loaded, result.Failure):
            return _outcome_unknown(loaded.failure())
        partition = loaded.unwrap()
        recorded = _recorded_outcome(partition, message, digest)
        if recorded is not None:
            return recorded
        if not self._partitions.holds_lease():
            read = await partition.catch_up()
            read_failed = isinstance(read, result.Failure)
            return (
                _outcome_unknown(read.failure())
                if read_failed
                else errors.home_moved(errors.Ran.MAY_HAVE_RUN)
            )
        attempt = ids.new_attempt_id()
        charged = await self._charge(message, message.key)
        if isinstance(charged, result.Failure):
            return await self._refuse_or_replay(
                partition, message, digest, attempt, charged.failure()
            )
        intent = records.CallIntent(
            message.organisation,
            message.key,
            attempt,
            digest,
            message.program,
            self._clock.wall_ms(),
        )
        outcome = await partition.append(intent)
        if isinstance(outcome, result.Failure):
            await self._drop_intent(partition, intent)
            return await self._refuse_or_replay(
                partition, message, digest, attempt, outcome.failure()
            )
        if not outcome.unwrap():
            return _recorded_outcome(
                partition, message, digest
            ) or errors.home_moved(errors.Ran.MAY_HAVE_RUN)
        if not self._partitions.holds_lease():
            await self._drop_intent(partition, intent)
            return errors.home_moved(errors.Ran.MAY_HAVE_RUN)
        return await self._send_and_record(message, partition, intent)

    async def _refuse_or_replay(
        self,
        partition: partition_log.Partition,
        message: messages.RunCall,
        digest: str,
        attempt: ids.AttemptId,
        failure: errors.Failure,
    ) -> errors.Outcome[messages.CallAnswer]:
        """Refuses a call; `not-run` only if no earlier attempt has run."""
        read = await partition.catch_up()
        key = (message.organisation, message.key)
        found = partition.ledger.calls.intent(key)
        if found is not None and found.attempt != attempt:
            return _recorded_outcome(
                partition, message, digest
            ) or errors.home_moved(errors.Ran.MAY_HAVE_RUN)
        if isinstance(read, result.Success):
            return result.Failure(failure)
        if self._partitions.is_sole_home(partition, self._lease_ms):
            return result.Failure(failure)
        return _outcome_unknown(failure)

    async def _send_and_record(
        self,
        message: messages.RunCall,
        partition: partition_log.Partition,
        intent: records.CallIntent,
    ) -> errors.Outcome[messages.CallAnswer]:
        answer = await self._runner.run(message)
        match answer:
            case result.Success(value):
                stored = records.CallResult(
                    message.organisation,
                    message.key,
                    intent.attempt,
                    value.status,
                    value.content_type,
                    value.body_base64,
                )
                await partition.append(
                    calls.without_large_body(stored), retry_after_timeout=True
                )
            case result.Failure(failure):
                if failure.ran is errors.Ran.NOT_RUN:
                    await self._drop_intent(partition, intent)
        return answer

    async def _drop_intent(
        self, partition: partition_log.Partition, intent: records.CallIntent
    ) -> None:
        record = records.CallDropped(
            intent.organisation,
            intent.key,
            intent.attempt,
            self._clock.wall_ms(),
        )
        await partition.append(record, wait_ms=0, retry_after_timeout=True)

    async def _charge(
        self, message: messages.RunCall, charge_key: str
    ) -> errors.Outcome[messages.Done]:
        if message.program is None:
            return result.Success(messages.Done())
        root = ids.root_of(message.program)
        return await self._peers.call_home(
            self._partitions.key_of(message.organisation, root),
            messages.ChargeCall(
                message.organisation,
                message.program,
                programs.charge_id(charge_key),
            ),
        )


def _recorded_outcome(
    partition: partition_log.Partition,
    message: messages.RunCall,
    digest: str,
) -> errors.Outcome[messages.CallAnswer] | None:
    key = (message.organisation, message.key)
    match partition.ledger.calls.check(key, digest):
        case result.Success(calls.Send()):
            return None
        case result.Success(calls.Replay(stored)):
            return result.Success(
                messages.CallAnswer(
                    stored.status,
                    stored.content_type,
                    stored.body_base64,
                    replayed=True,
                )
            )
        case refused:
            return result.Failure(refused.failure())


def _outcome_unknown(
    failure: errors.Failure,
) -> errors.Outcome[messages.CallAnswer]:
    detail = (
        f"{failure.detail} It is unknown whether an earlier attempt has run."
    )
    return result.Failure(
        dataclasses.replace(failure, detail=detail, ran=errors.Ran.MAY_HAVE_RUN)
    )


def encode_body(body: bytes) -> str:
    """Encodes a body for messages between hosts."""
    return base64.b64encode(body).decode()


def decode_body(text: str) -> bytes:
    """Decodes a body from a message between hosts."""
    return base64.b64decode(text)
