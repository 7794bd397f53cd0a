"""Calls of plain services, each at most once unless it may be repeated."""

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
    """Sends calls to targets."""

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call at a target of its service.

        Returns:
            The answer. A failure says `not-run` only if no byte of the
            call was written to any target; only then may a call that is
            not idempotent have been tried at several targets.
        """


class CallHome:
    """Intents and results of non-idempotent calls with a key."""

    def __init__(
        self,
        partitions: partitions_lib.Partitions,
        peers: peers_lib.Peers,
        runner: CallRunner,
        clock: clock_lib.Clock,
        lease_ms: float,
    ) -> None:
        """Makes the home; `attach` puts it to work."""
        self._lease_ms = lease_ms
        self._partitions = partitions
        self._peers = peers
        self._runner = runner
        self._clock = clock
        self._running: dict[
            calls.CallKey,
            tuple[str, asyncio.Task[errors.Outcome[messages.CallAnswer]]],
        ] = {}

    def attach(self, handlers: router.Router) -> None:
        """Adds this home's handlers."""
        handlers.add_unary(messages.RunCall, self.run)

    def key_of(self, organisation: ids.OrganisationId, key: str) -> str:
        """Returns the rendezvous key of an idempotency key."""
        return self._partitions.key_of(organisation, key)

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call once, or returns what is known of it.

        A call under way is joined; it goes on when its caller is gone.
        """
        key = (message.organisation, message.key)
        digest = calls.digest_call(
            message.service,
            message.method,
            message.path,
            message.headers,
            message.body_base64,
        )
        running = self._running.get(key)
        if running is not None and running[0] != digest:
            return errors.failed(
                errors.Reason.CONFLICT,
                "The idempotency key belongs to a call of another content.",
            )
        if running is None:
            task = asyncio.create_task(self._run(message, digest))
            running = (digest, task)
            self._running[key] = running
            task.add_done_callback(lambda _: self._running.pop(key, None))
        return await asyncio.shield(running[1])

    async def run_unrecorded(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Sends a call without a record, once; charges its program.

        A target that cannot be connected to has seen nothing, so another
        one is tried; nothing is tried after a byte was written.
        """
        charged = await self._charge(message, ids.random_suffix())
        if isinstance(charged, result.Failure):
            return result.Failure(charged.failure())
        return await self._runner.run(message)

    async def wait_idle(self) -> None:
        """Waits until the calls under way are done and kept."""
        while self._running:
            await asyncio.wait([task for _, task in self._running.values()])

    async def _run(
        self, message: messages.RunCall, digest: str
    ) -> errors.Outcome[messages.CallAnswer]:
        loaded = await self._partitions.partition_for(
            message.organisation, message.key
        )
        if isinstance(loaded, result.Failure):
            return _not_known(loaded.failure())
        partition = loaded.unwrap()
        known = _known_answer(partition, message, digest)
        if known is not None:
            return known
        if not self._partitions.holds_lease():
            read = await partition.catch_up()
            lost = isinstance(read, result.Failure)
            return _not_known(read.failure()) if lost else _moved()
        attempt = ids.new_attempt_id()
        charged = await self._charge(message, message.key)
        if isinstance(charged, result.Failure):
            return await self._refuse(
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
            await self._drop(partition, intent)
            return await self._refuse(
                partition, message, digest, attempt, outcome.failure()
            )
        if not outcome.unwrap():
            return _known_answer(partition, message, digest) or _moved()
        if not self._partitions.holds_lease():
            await self._drop(partition, intent)
            return _moved()
        return await self._send_and_keep(message, partition, intent)

    async def _refuse(
        self,
        partition: partition_log.Partition,
        message: messages.RunCall,
        digest: str,
        attempt: ids.AttemptId,
        failure: errors.Failure,
    ) -> errors.Outcome[messages.CallAnswer]:
        """Refuses a call; says `not-run` only if no earlier try has run."""
        read = await partition.catch_up()
        key = (message.organisation, message.key)
        found = partition.ledger.calls.intent(key)
        if found is not None and found.attempt != attempt:
            return _known_answer(partition, message, digest) or _moved()
        if isinstance(read, result.Success):
            return result.Failure(failure)
        if self._partitions.is_sole_home(partition, self._lease_ms):
            return result.Failure(failure)
        return _not_known(failure)

    async def _send_and_keep(
        self,
        message: messages.RunCall,
        partition: partition_log.Partition,
        intent: records.CallIntent,
    ) -> errors.Outcome[messages.CallAnswer]:
        answer = await self._runner.run(message)
        match answer:
            case result.Success(value):
                kept = records.CallResult(
                    message.organisation,
                    message.key,
                    intent.attempt,
                    value.status,
                    value.content_type,
                    value.body_base64,
                )
                await partition.append(
                    calls.without_large_body(kept), retry_after_timeout=True
                )
            case result.Failure(failure):
                if failure.ran is errors.Ran.NOT_RUN:
                    await self._drop(partition, intent)
        return answer

    async def _drop(
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
        self, message: messages.RunCall, charge: str
    ) -> errors.Outcome[messages.Done]:
        if message.program is None:
            return result.Success(messages.Done())
        root = ids.root_of(message.program)
        return await self._peers.call_home(
            self._partitions.key_of(message.organisation, root),
            messages.ChargeCall(
                message.organisation,
                message.program,
                programs.charge_id(charge),
            ),
        )


def _known_answer(
    partition: partition_log.Partition,
    message: messages.RunCall,
    digest: str,
) -> errors.Outcome[messages.CallAnswer] | None:
    key = (message.organisation, message.key)
    match partition.ledger.calls.check(key, digest):
        case result.Success(calls.Send()):
            return None
        case result.Success(calls.Replay(kept)):
            return result.Success(
                messages.CallAnswer(
                    kept.status,
                    kept.content_type,
                    kept.body_base64,
                    replayed=True,
                )
            )
        case refused:
            return result.Failure(refused.failure())


def _moved() -> errors.Outcome[messages.CallAnswer]:
    return errors.failed(
        errors.Reason.MOVED, "The home has moved.", errors.Ran.MAY_HAVE_RUN
    )


def _not_known(
    failure: errors.Failure,
) -> errors.Outcome[messages.CallAnswer]:
    detail = f"{failure.detail} Whether an earlier try has run is not known."
    return result.Failure(
        dataclasses.replace(failure, detail=detail, ran=errors.Ran.MAY_HAVE_RUN)
    )


def encode_body(body: bytes) -> str:
    """Returns a body as it travels between hosts."""
    return base64.b64encode(body).decode()


def decode_body(text: str) -> bytes:
    """Returns the body that `encode_body` encoded."""
    return base64.b64decode(text)
