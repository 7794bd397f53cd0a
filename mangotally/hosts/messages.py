"""Messages that hosts of a fleet send to each other.

The home of an organisation, a pool of targets or a history partition is the
host that owns it. Programs and idempotency keys belong to a partition, whose
home is also theirs. Names of classes and fields are the wire format.
"""

from __future__ import annotations

import dataclasses

from mangotally import errors, ids
from mangotally.policy import (
    faults,
    pools,
    prefetched_tokens,
    rate_decisions,
    records,
)
from mangotally.util import codec

registry = codec.Registry()
registry.register(errors.Failure)
registry.register(records.ProgramOpened)
registry.register(rate_decisions.BucketState)


@registry.register
@dataclasses.dataclass(frozen=True)
class Done:
    """A response without content."""


@registry.register
@dataclasses.dataclass(frozen=True)
class TakeTokens:
    """Requests the admission of calls from an organisation's home.

    Attributes:
        organisation: The organisation.
        count: Number of calls to admit.
        spare: Number of tokens that the sender would like to prefetch.
        returned: The batch that the sender has stopped using, or None.
    """

    organisation: ids.OrganisationId
    count: int
    spare: int = 0
    returned: prefetched_tokens.Returned | None = None


@registry.register
@dataclasses.dataclass(frozen=True)
class ReturnTokens:
    """Returns the unused tokens of a batch to the organisation's home."""

    organisation: ids.OrganisationId
    returned: prefetched_tokens.Returned


@registry.register
@dataclasses.dataclass(frozen=True)
class TokensTaken:
    """Confirms that calls are admitted.

    Attributes:
        held_ms: How long the home held the request before admission.
        batch: Number of the batch of prefetched tokens for further calls.
        batch_tokens: Number of tokens in the batch, 0 if there is none.
    """

    held_ms: float
    batch: int = 0
    batch_tokens: float = 0


@registry.register
@dataclasses.dataclass(frozen=True)
class HandOver:
    """Requests an organisation's token bucket from its previous home.

    Attributes:
        organisation: The organisation.
        offset: Offset of the record in the members stream that moved the
            organisation's key to the new home.
    """

    organisation: ids.OrganisationId
    offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class Bequeath:
    """Hands a bucket to its next home when the sender shuts down."""

    bequest: rate_decisions.Bequest


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayAppend:
    """Requests that a host appends a record to the log.

    Attributes:
        stream: Name of the stream.
        data_base64: The record, in base64.
    """

    stream: str
    data_base64: str


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayedAppend:
    """Confirms that a record was appended to the log."""

    offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayRead:
    """Requests that a host reads from the log.

    Attributes:
        stream: Name of the stream.
        offset: Offset of the first record to read.
        wait_ms: How long to wait for a first record.
    """

    stream: str
    offset: ids.Offset
    wait_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayedSlice:
    """Consecutive records of a stream.

    Attributes:
        entries: Pairs of an offset and a record in base64.
        oldest_offset: Oldest offset that the log retains.
        next_offset: Offset that the next append will get.
    """

    entries: tuple[tuple[ids.Offset, str], ...]
    oldest_offset: ids.Offset
    next_offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class OpenProgram:
    """Requests that a program's home opens the program."""

    opened: records.ProgramOpened


@registry.register
@dataclasses.dataclass(frozen=True)
class CloseProgram:
    """Requests that a program's home closes the program."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@registry.register
@dataclasses.dataclass(frozen=True)
class DescribeProgram:
    """Requests the state of a program from its home."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramDescription:
    """State of a program.

    Attributes:
        program: Id of the program.
        parent: Id of the parent program, or None.
        service: Model service of the program.
        turns: Number of completed turns.
        closed: Why the program was closed, or None if it is open.
        used_tokens: Tokens charged and reserved.
        used_calls: Calls charged.
        budget: Limits of the program.
        deadline_wall_ms: Deadline of the program, since the Unix epoch.
    """

    program: ids.ProgramId
    parent: ids.ProgramId | None
    service: ids.ServiceId
    turns: int
    closed: records.CloseReason | None
    used_tokens: int
    used_calls: int
    budget: records.Budget
    deadline_wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class RunTurn:
    """Requests that a program's home runs a turn; the answer is streamed.

    Attributes:
        organisation: The caller's organisation.
        key_id: Id of the API key that the caller authenticated with.
        program: The program, or None for a program of a single call.
        turn: Number of the turn.
        service: The model service.
        messages: The new messages.
        max_tokens: Maximum length of the answer, in tokens.
        share: Weight of the organisation's plan in fair sharing.
        timeout_ms: Timeout of the turn.
        options: Further request fields for the engine as a JSON object, or
            empty.
    """

    organisation: ids.OrganisationId
    key_id: ids.KeyId
    program: ids.ProgramId | None
    turn: int
    service: ids.ServiceId
    messages: tuple[records.ChatMessage, ...]
    max_tokens: int
    share: float
    timeout_ms: int
    options: str = ""


@registry.register
@dataclasses.dataclass(frozen=True)
class TurnText:
    """A chunk of an answer."""

    text: str


@registry.register
@dataclasses.dataclass(frozen=True)
class TurnEnd:
    """The end of an answer that is complete and stored.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        cached_tokens: Prompt tokens served from the target's cache.
        generated_tokens: Length of the answer, in tokens.
        target: The target that ran the turn.
        replayed: Whether the answer is a replay of a stored one.
    """

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    target: ids.TargetId
    replayed: bool


@registry.register
@dataclasses.dataclass(frozen=True)
class CrashedCall:
    """A call during which its target crashed."""

    target: ids.TargetId
    call: ids.CallId


@registry.register
@dataclasses.dataclass(frozen=True)
class AcquireSlot:
    """Requests a slot at a target; answered once a slot is free.

    Attributes:
        service: Service of the pool.
        call: The call; its `deadline_ms` is the time that remained when the
            message was sent.
        host: The host that sends the call, or None if it is not known.
        crashes: Earlier attempts during which a target crashed.
    """

    service: ids.ServiceId
    call: pools.PoolCall
    host: ids.HostId | None = None
    crashes: tuple[CrashedCall, ...] = ()


@registry.register
@dataclasses.dataclass(frozen=True)
class SlotGranted:
    """Grants a slot: the call may be sent to the target.

    Attributes:
        target: The target.
        address: Base URL of the target.
    """

    target: ids.TargetId
    address: str


@registry.register
@dataclasses.dataclass(frozen=True)
class ReleaseSlot:
    """Releases a slot, or withdraws a request for one.

    Attributes:
        service: Service of the pool.
        report: How the call ended.
        target: Target of the granted slot, or None if none was granted.
        digest: Digest of the request.
        fault: Fault observed at the target, or None.
    """

    service: ids.ServiceId
    report: pools.CallReport
    target: ids.TargetId | None = None
    digest: str = ""
    fault: faults.Fault | None = None


@registry.register
@dataclasses.dataclass(frozen=True)
class RunningCall:
    """A call in flight at a target.

    Attributes:
        service: Service of the pool.
        call: Id of the call.
        program: The program that the call belongs to.
        target: The target.
    """

    service: ids.ServiceId
    call: ids.CallId
    program: ids.ProgramId
    target: ids.TargetId


@registry.register
@dataclasses.dataclass(frozen=True)
class DescribeCalls:
    """Requests the calls that a host has in flight in a pool."""

    service: ids.ServiceId


@registry.register
@dataclasses.dataclass(frozen=True)
class CallsDescribed:
    """The calls that a host has in flight in a pool."""

    calls: tuple[RunningCall, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class ClaimCalls:
    """Reports the calls in flight of a host without a lease to a pool's home.

    Attributes:
        host: The host.
        service: Service of the pool.
        calls: The host's calls in flight in the pool.
    """

    host: ids.HostId
    service: ids.ServiceId
    calls: tuple[RunningCall, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class EndProgram:
    """Notifies a pool's home that a program has ended.

    Attributes:
        service: Service of the pool.
        program: The program.
        organisation: The program's organisation, or None if the home
            already knows it.
    """

    service: ids.ServiceId
    program: ids.ProgramId
    organisation: ids.OrganisationId | None = None


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramName:
    """Id of a program, qualified by its organisation."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@registry.register
@dataclasses.dataclass(frozen=True)
class FindGonePrograms:
    """Asks the home of some programs which of them no longer exist."""

    programs: tuple[ProgramName, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class GonePrograms:
    """The programs that have ended or were never opened."""

    programs: tuple[ProgramName, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class RunCall:
    """Requests a non-idempotent call from its idempotency key's home.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key.
        program: The program that is charged, or None.
        service: The plain service.
        method: HTTP method.
        path: Path and query of the request to the target.
        headers: Headers to forward to the target.
        body_base64: Request body, in base64.
        timeout_ms: Timeout of the call.
    """

    organisation: ids.OrganisationId
    key: str
    program: ids.ProgramId | None
    service: ids.ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body_base64: str
    timeout_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class CallAnswer:
    """Response of a plain service.

    Attributes:
        status: HTTP status.
        content_type: Value of the `Content-Type` header.
        body_base64: Response body, in base64.
        replayed: Whether the response is a replay of a stored one.
    """

    status: int
    content_type: str
    body_base64: str
    replayed: bool


@registry.register
@dataclasses.dataclass(frozen=True)
class ChargeCall:
    """Requests that a program's home charges a call to a plain service.

    Attributes:
        organisation: The caller's organisation.
        program: The program that is charged.
        charge: Id of the charge; repeated requests with the same id charge
            only once.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    charge: str


@registry.register
@dataclasses.dataclass(frozen=True)
class DumpState:
    """Requests a dump of the state of a host's process."""


@registry.register
@dataclasses.dataclass(frozen=True)
class StateDump:
    """State of a process, as JSON."""

    json: str


@registry.register
@dataclasses.dataclass(frozen=True)
class FetchWeights:
    """Requests that the weight store's home fetches weights."""

    name: str
