"""Calls of plain services, each at most once unless it may be repeated."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages
from mangotally.log import partition as partition_log
from mangotally.policy import homes, records

if TYPE_CHECKING:
    from mangotally.homes import membership
    from mangotally.hosts import router
    from mangotally.log import base
    from mangotally.services import runner as service_runner


class CallHome:
    """Intents and results of non-idempotent calls with a key."""

    def __init__(
        self,
        partitions: int,
        log: base.Log,
        members: membership.Membership,
        runner: service_runner.ServiceRunner,
    ) -> None:
        """Makes the home; `attach` puts it to work."""
        self._count = partitions
        self._log = log
        self._members = members
        self._runner = runner

    def attach(self, handlers: router.Router) -> None:
        """Adds this home's handlers."""
        handlers.add_unary(messages.RunCall, self.run)

    def home_of(
        self, organisation: ids.OrganisationId, key: str
    ) -> ids.HostId | None:
        """Returns the home of an idempotency key."""
        number = homes.partition_of(organisation, key, self._count)
        return self._members.home_of(homes.partition_key(number))

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call once, or returns what is known of it."""
        number = homes.partition_of(
            message.organisation, message.key, self._count
        )
        if not self._members.is_home(homes.partition_key(number)):
            return errors.failed(errors.Reason.MOVED, "The home has moved.")
        partition = partition_log.Partition(self._log, f"calls-{number}")
        loaded = await partition.load()
        if isinstance(loaded, result.Failure):
            return loaded
        call_key = (message.organisation, message.key)
        attempt = ids.new_attempt_id()
        intent = records.CallIntent(
            message.organisation, message.key, attempt, "", message.program
        )
        if call_key not in partition.ledger.intents:
            appended = await partition.append(intent)
            if isinstance(appended, result.Failure):
                return appended
        known = partition.ledger.intents[call_key]
        if known.attempt != attempt:
            return _known_answer(partition, call_key)
        answer = await self.send(message)
        if isinstance(answer, result.Success):
            value = answer.unwrap()
            await partition.append(
                records.CallResult(
                    message.organisation,
                    message.key,
                    attempt,
                    value.status,
                    value.content_type,
                    value.body_base64,
                )
            )
        return answer

    async def send(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Sends a call to a target of its service."""
        return await self._runner.run(message)


def _known_answer(
    partition: partition_log.Partition,
    key: tuple[ids.OrganisationId, str],
) -> errors.Outcome[messages.CallAnswer]:
    known = partition.ledger.results.get(key)
    if known is None:
        return errors.failed(
            errors.Reason.CONFLICT,
            "The call was sent before and its answer is not known.",
            errors.Ran.MAY_HAVE_RUN,
        )
    return result.Success(
        messages.CallAnswer(
            known.status, known.content_type, known.body_base64, replayed=True
        )
    )


def encode_body(body: bytes) -> str:
    """Returns a body as it travels between hosts."""
    return base64.b64encode(body).decode()


def decode_body(text: str) -> bytes:
    """Returns the body that `encode_body` encoded."""
    return base64.b64decode(text)
