"""Messages between hosts."""

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
    """An empty answer."""


@registry.register
@dataclasses.dataclass(frozen=True)
class TakeTokens:
    """Asks an organisation's home to admit calls.

    Attributes:
        organisation: The organisation.
        count: Calls to admit.
        spare: Tokens that the host could use soon after.
        returned: The batch that the host has used before, or None.
    """

    organisation: ids.OrganisationId
    count: int
    spare: int = 0
    returned: prefetched_tokens.Returned | None = None


@registry.register
@dataclasses.dataclass(frozen=True)
class ReturnTokens:
    """Gives an organisation's home back what was not used of a batch."""

    organisation: ids.OrganisationId
    returned: prefetched_tokens.Returned


@registry.register
@dataclasses.dataclass(frozen=True)
class TokensTaken:
    """The calls are admitted.

    Attributes:
        held_ms: How long the home has held them.
        batch: Number of a batch of tokens for further calls.
        batch_tokens: Its tokens, 0 if there is none.
    """

    held_ms: float
    batch: int = 0
    batch_tokens: float = 0


@registry.register
@dataclasses.dataclass(frozen=True)
class HandOver:
    """Asks the earlier home of an organisation for its bucket.

    Attributes:
        organisation: The organisation.
        offset: The record of the members stream that moved its key.
    """

    organisation: ids.OrganisationId
    offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class Bequeath:
    """Gives a bucket to the host that is its home once the giver is gone."""

    bequest: rate_decisions.Bequest


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayAppend:
    """Asks a host to append a record to the log.

    Attributes:
        stream: Name of the stream.
        data_base64: The record.
    """

    stream: str
    data_base64: str


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayedAppend:
    """The record is in the log."""

    offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayRead:
    """Asks a host to read from the log.

    Attributes:
        stream: Name of the stream.
        offset: First offset wanted.
        wait_ms: How long to wait for a first record.
    """

    stream: str
    offset: ids.Offset
    wait_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class RelayedSlice:
    """A part of a stream.

    Attributes:
        entries: Offsets and records, these in base64.
        oldest_offset: Oldest offset that the log still keeps.
        next_offset: Offset that the next append will get.
    """

    entries: tuple[tuple[ids.Offset, str], ...]
    oldest_offset: ids.Offset
    next_offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class OpenProgram:
    """Asks a program's home to open it."""

    opened: records.ProgramOpened


@registry.register
@dataclasses.dataclass(frozen=True)
class CloseProgram:
    """Asks a program's home to end it."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@registry.register
@dataclasses.dataclass(frozen=True)
class DescribeProgram:
    """Asks a program's home for its state."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramDescription:
    """State of a program.

    Attributes:
        program: Its id.
        parent: Its parent, or None.
        service: Its service.
        turns: Turns that are done.
        closed: Why it ended, or None.
        used_tokens: Tokens charged and reserved.
        used_calls: Calls charged.
        budget: Its limits.
        deadline_wall_ms: When its time is over, since the Unix epoch.
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
    """Asks a program's home to run a turn; answered by a stream.

    Attributes:
        organisation: The caller's organisation.
        key_id: The key that the call came with.
        program: The program, or None for a program of one call.
        turn: Number of the turn.
        service: The model service.
        messages: The new messages.
        max_tokens: Longest answer.
        share: Weight of the organisation's plan.
        timeout_ms: Longest time for the turn.
        options: Fields for the engine as a JSON object, or empty.
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
    """A piece of an answer."""

    text: str


@registry.register
@dataclasses.dataclass(frozen=True)
class TurnEnd:
    """The answer is whole and kept.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens found in the target's cache.
        generated_tokens: Length of the answer.
        target: The target that ran it.
        replayed: Whether a kept answer was repeated.
    """

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    target: ids.TargetId
    replayed: bool


@registry.register
@dataclasses.dataclass(frozen=True)
class CrashedCall:
    """A target crashed while it ran a call."""

    target: ids.TargetId
    call: ids.CallId


@registry.register
@dataclasses.dataclass(frozen=True)
class AcquireSlot:
    """Asks a pool's home for a target; answered when there is one.

    Attributes:
        service: The service.
        call: The call; its `deadline_ms` is the time left when it was sent.
        host: The host that asks, or None if it is not known.
        crashes: Earlier attempts under which a target crashed.
    """

    service: ids.ServiceId
    call: pools.PoolCall
    host: ids.HostId | None = None
    crashes: tuple[CrashedCall, ...] = ()


@registry.register
@dataclasses.dataclass(frozen=True)
class SlotGranted:
    """A call may be sent to a target.

    Attributes:
        target: The target.
        address: Its base URL.
    """

    target: ids.TargetId
    address: str


@registry.register
@dataclasses.dataclass(frozen=True)
class ReleaseSlot:
    """Reports the end of a call to the pool's home, or that it gave up.

    Attributes:
        service: The service.
        report: How the call ended.
        target: The target that was granted, or None.
        digest: Digest of the request.
        fault: What went wrong at the target, or None.
    """

    service: ids.ServiceId
    report: pools.CallReport
    target: ids.TargetId | None = None
    digest: str = ""
    fault: faults.Fault | None = None


@registry.register
@dataclasses.dataclass(frozen=True)
class RunningCall:
    """A call under way at a target.

    Attributes:
        service: The service.
        call: The call.
        program: The program that it belongs to.
        target: The target.
    """

    service: ids.ServiceId
    call: ids.CallId
    program: ids.ProgramId
    target: ids.TargetId


@registry.register
@dataclasses.dataclass(frozen=True)
class DescribeCalls:
    """Asks a host for the calls that it has under way in a pool."""

    service: ids.ServiceId


@registry.register
@dataclasses.dataclass(frozen=True)
class CallsDescribed:
    """The calls that a host has under way in a pool."""

    calls: tuple[RunningCall, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class ClaimCalls:
    """Tells a pool's home of calls that a host without a lease has under way.

    Attributes:
        host: The host.
        service: The service.
        calls: Its calls under way in the pool.
    """

    host: ids.HostId
    service: ids.ServiceId
    calls: tuple[RunningCall, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class EndProgram:
    """Tells a pool's home that a program is gone.

    Attributes:
        service: The service.
        program: The program.
        organisation: Its organisation, or None if the home knows it.
    """

    service: ids.ServiceId
    program: ids.ProgramId
    organisation: ids.OrganisationId | None = None


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramName:
    """An organisation's program."""

    organisation: ids.OrganisationId
    program: ids.ProgramId


@registry.register
@dataclasses.dataclass(frozen=True)
class FindGonePrograms:
    """Asks the home of some programs which of them are gone."""

    programs: tuple[ProgramName, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class GonePrograms:
    """Those programs that have ended or were never opened."""

    programs: tuple[ProgramName, ...]


@registry.register
@dataclasses.dataclass(frozen=True)
class RunCall:
    """Asks the home of an idempotency key to run a non-idempotent call.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key.
        program: The program that pays, or None.
        service: The plain service.
        method: HTTP method.
        path: Path and query at the target.
        headers: Headers that may reach the target.
        body_base64: Request body.
        timeout_ms: Longest time for the call.
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
    """Answer of a plain service.

    Attributes:
        status: HTTP status.
        content_type: Content type.
        body_base64: Body.
        replayed: Whether a kept answer was repeated.
    """

    status: int
    content_type: str
    body_base64: str
    replayed: bool


@registry.register
@dataclasses.dataclass(frozen=True)
class ChargeCall:
    """Asks a program's home to charge a service call, once per charge.

    Attributes:
        organisation: The caller's organisation.
        program: The program that pays.
        charge: Id of the charge.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    charge: str


@registry.register
@dataclasses.dataclass(frozen=True)
class DumpState:
    """Asks a host for the state of its process."""


@registry.register
@dataclasses.dataclass(frozen=True)
class StateDump:
    """The state of a process, as JSON."""

    json: str


@registry.register
@dataclasses.dataclass(frozen=True)
class FetchWeights:
    """Asks the weight store's home to fetch weights."""

    name: str
