"""Records of the platform's log."""

from __future__ import annotations

import dataclasses
import enum
import re

from mangotally import ids
from mangotally.settings import lists
from mangotally.util import codec

MEMBERS_STREAM = "members"
CONFIGURATION_STREAM = "configuration"
_SNAPSHOT_START = re.compile(
    rb'\[\["ConfigurationSnapshot",\{"read_to":(\d{1,18}),'
    rb'"wall_ms":(\d{1,18}),"version":(\d{1,18}),'
)
NO_ATTEMPT = ids.AttemptId("")
QUARANTINE_STREAM = "quarantine"
ORDERS_STREAM = "orders"

registry = codec.Registry()


def history_stream(partition: ids.PartitionId) -> str:
    """Returns the name of a partition's history stream."""
    return f"history-{partition}"


@registry.register
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A host is live; the first of an incarnation joins the fleet.

    Attributes:
        host: The host.
        incarnation: A number that grows with each start of the host.
        address: Where other hosts reach it, `ip:port`.
        place: Its failure domain.
    """

    host: ids.HostId
    incarnation: int
    address: str
    place: ids.FailureDomainId


@registry.register
@dataclasses.dataclass(frozen=True)
class Alive:
    """A short heartbeat of an incarnation that has joined."""

    host: ids.HostId
    incarnation: int


@registry.register
@dataclasses.dataclass(frozen=True)
class Leave:
    """A host leaves the fleet."""

    host: ids.HostId
    incarnation: int


@registry.register
@dataclasses.dataclass(frozen=True)
class Evict:
    """A host has not been heard of; void if it was heard of later.

    Attributes:
        host: The evicted host.
        incarnation: Its incarnation.
        heartbeat_offset: The last heartbeat that the writer has read.
    """

    host: ids.HostId
    incarnation: int
    heartbeat_offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class ConfigurationVersion:
    """Both lists as one version; valid only after its predecessor.

    Attributes:
        version: Number of this version.
        predecessor: Number of the version that it replaces.
        lists: The content.
        attempt: Id of the publication; a repeated append carries it again.
    """

    version: int
    predecessor: int
    lists: lists.Lists
    attempt: ids.AttemptId = NO_ATTEMPT


@registry.register
@dataclasses.dataclass(frozen=True)
class ConfigurationDelta:
    """A version as its differences from its predecessor.

    Attributes:
        version: Number of this version.
        predecessor: Number of the version that it replaces.
        attempt: Id of the publication; a repeated append carries it again.
        organisations: Organisations that are new or have another plan.
        removed: Organisations that are gone.
        uses: The second list if it changed, or None.
        digest: Digest of the whole new version.
    """

    version: int
    predecessor: int
    attempt: ids.AttemptId
    organisations: tuple[lists.Organisation, ...]
    removed: tuple[ids.OrganisationId, ...]
    uses: lists.UseList | None
    digest: str


@registry.register
@dataclasses.dataclass(frozen=True)
class KeyGiven:
    """A key of an organisation, as a digest only.

    Attributes:
        key_id: The key's public id.
        organisation: The organisation that it speaks for.
        digest: SHA-256 digest of the key.
        read_to: The writer had read all records before this offset.
    """

    key_id: ids.KeyId
    organisation: ids.OrganisationId
    digest: str
    read_to: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class KeyWithdrawn:
    """A key stops working."""

    key_id: ids.KeyId


@dataclasses.dataclass(frozen=True)
class WithdrawnKey:
    """A withdrawn key as a snapshot keeps it.

    Attributes:
        key_id: The key.
        offset: Offset of its withdrawal.
    """

    key_id: ids.KeyId
    offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class ConfigurationSnapshot:
    """The whole configuration as of all records before this one.

    It is void unless its own offset is `read_to`: then no record that its
    writer had not read stands before it.

    Attributes:
        read_to: The writer had read all records before this offset.
        wall_ms: When it was written, since the Unix epoch.
        version: Number of the version in force.
        attempt: The publication of that version.
        lists: The lists in force, or None before the first version.
        keys: The keys that work.
        withdrawn: Withdrawn keys that must be remembered.
    """

    read_to: ids.Offset
    wall_ms: int
    version: int
    attempt: ids.AttemptId
    lists: lists.Lists | None
    keys: tuple[KeyGiven, ...]
    withdrawn: tuple[WithdrawnKey, ...]


@dataclasses.dataclass(frozen=True)
class SnapshotHeader:
    """The first fields of a snapshot.

    Attributes:
        read_to: The writer had read all records before this offset.
        wall_ms: When it was written, since the Unix epoch.
        version: Number of the version in force.
    """

    read_to: ids.Offset
    wall_ms: int
    version: int


def peek_snapshot(data: bytes) -> SnapshotHeader | None:
    """Returns the header of an entry that is a snapshot, or None.

    A host that knows the configuration reads no more of a snapshot than
    this, whatever its size.
    """
    match = _SNAPSHOT_START.match(data)
    if match is None:
        return None
    read_to, wall_ms, version = (int(text) for text in match.groups())
    return SnapshotHeader(ids.Offset(read_to), wall_ms, version)


@registry.register
@dataclasses.dataclass(frozen=True)
class ChatMessage:
    """One message of a conversation.

    Attributes:
        role: Who speaks.
        content: The text.
        extra: Other fields as a JSON object, or empty.
    """

    role: str
    content: str
    extra: str = ""


@dataclasses.dataclass(frozen=True)
class Budget:
    """What a tree of programs may use.

    Attributes:
        tokens: Prompt tokens computed plus tokens generated.
        calls: Model turns and service calls.
        wall_ms: Time since the root program was opened.
    """

    tokens: int
    calls: int
    wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramOpened:
    """A program was opened.

    Attributes:
        organisation: Its organisation.
        program: Its id.
        parent: Its parent's id, or None.
        service: The service that it calls.
        budget: Its own limits.
        deadline_wall_ms: When its time is over, since the Unix epoch.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    parent: ids.ProgramId | None
    service: ids.ServiceId
    budget: Budget
    deadline_wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class TurnBegun:
    """A model turn is about to run; reserves its budget.

    Attributes:
        organisation: The program's organisation.
        program: The program.
        turn: Number of the turn, from 1.
        attempt: The attempt that runs it.
        digest: Digest of the request.
        reserved_tokens: Tokens reserved until the turn ends.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    turn: int
    attempt: ids.AttemptId
    digest: str
    reserved_tokens: int


@registry.register
@dataclasses.dataclass(frozen=True)
class TurnDone:
    """A model turn's request and answer; the first of a turn counts.

    Attributes:
        organisation: The program's organisation.
        program: The program.
        turn: Number of the turn.
        attempt: The attempt that ran it.
        digest: Digest of the request.
        request: The new messages of the caller.
        answer: The answer.
        used_tokens: Tokens charged.
        length_tokens: Length of the conversation with this turn, or 0 if
            the target did not say.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    turn: int
    attempt: ids.AttemptId
    digest: str
    request: tuple[ChatMessage, ...]
    answer: ChatMessage
    used_tokens: int
    length_tokens: int = 0


@registry.register
@dataclasses.dataclass(frozen=True)
class TurnDropped:
    """An attempt has not run and never will; gives its budget back."""

    organisation: ids.OrganisationId
    program: ids.ProgramId
    turn: int
    attempt: ids.AttemptId


@registry.register
@dataclasses.dataclass(frozen=True)
class CallCharged:
    """A service call is charged to a program, once per charge id."""

    organisation: ids.OrganisationId
    program: ids.ProgramId
    charge: str


@registry.register
@dataclasses.dataclass(frozen=True)
class CallIntent:
    """A non-idempotent call is about to be sent; the first one counts.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key, unique within the organisation.
        attempt: The attempt that may send it.
        digest: Digest of the request.
        program: The program that it belongs to, or None.
        begun_wall_ms: When it was written, since the Unix epoch.
    """

    organisation: ids.OrganisationId
    key: str
    attempt: ids.AttemptId
    digest: str
    program: ids.ProgramId | None
    begun_wall_ms: int = 0


@registry.register
@dataclasses.dataclass(frozen=True)
class CallDropped:
    """An attempt has sent nothing and never will; frees the key.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key.
        attempt: The attempt.
        wall_ms: When it was written, since the Unix epoch.
    """

    organisation: ids.OrganisationId
    key: str
    attempt: ids.AttemptId
    wall_ms: int = 0


@registry.register
@dataclasses.dataclass(frozen=True)
class CallResult:
    """The answer to a non-idempotent call.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key.
        attempt: The attempt that sent it.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body_base64: Body of the answer, empty if it is not kept.
        whole: Whether the body is kept; a large one is not.
    """

    organisation: ids.OrganisationId
    key: str
    attempt: ids.AttemptId
    status: int
    content_type: str
    body_base64: str
    whole: bool = True


class CloseReason(enum.Enum):
    """Why a program ended."""

    CALLER = "caller"
    DEADLINE = "deadline"
    BUDGET = "budget"
    PARENT = "parent"


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramClosed:
    """A program ended; it and its sub-agents' take no more turns.

    Attributes:
        organisation: The program's organisation.
        program: The program.
        reason: Why it ended.
        wall_ms: When it ended, since the Unix epoch.
    """

    organisation: ids.OrganisationId
    program: ids.ProgramId
    reason: CloseReason
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ProgramState:
    """One program of a snapshot.

    Attributes:
        opened: The record that opened it.
        turns: Its turns that are done.
        attempts: Reservations of attempts that have not ended.
        seen: Attempts of the next turn that have begun or were dropped.
        charges: Ids of the service calls charged.
        closed: Why it ended, or None.
        closed_wall_ms: When it ended, since the Unix epoch.
        tokens: Tokens charged and reserved.
        calls: Calls charged and reserved.
        reserved_tokens: The reserved part of the tokens.
        reserved_calls: The reserved part of the calls.
    """

    opened: ProgramOpened
    turns: tuple[TurnDone, ...]
    attempts: tuple[TurnBegun, ...]
    seen: tuple[ids.AttemptId, ...]
    charges: tuple[str, ...]
    closed: CloseReason | None
    closed_wall_ms: int
    tokens: int
    calls: int
    reserved_tokens: int
    reserved_calls: int


@registry.register
@dataclasses.dataclass(frozen=True)
class TreeSnapshot:
    """A whole tree of programs, appended before its records age out.

    Attributes:
        as_of: All records before this offset are in it; it is void if a
            later one of the tree stands before it.
        programs: The programs, each after its parent.
        wall_ms: When the snapshot was made, since the Unix epoch.
    """

    as_of: ids.Offset
    programs: tuple[ProgramState, ...]
    wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class CallSnapshot:
    """A call's intent and result, appended again before they age out.

    Attributes:
        as_of: All records before this offset are in it; it is void if a
            later one of the call stands before it.
        intent: The intent that counts.
        result: The result, or None.
        wall_ms: When the snapshot was made, since the Unix epoch.
    """

    as_of: ids.Offset
    intent: CallIntent
    result: CallResult | None
    wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class RequestCrashed:
    """A target crashed while it ran a request.

    Attributes:
        digest: Digest of the request.
        service: The service.
        target: The target.
        call: The call that ran the request there.
        wall_ms: When it crashed, since the Unix epoch.
        until_wall_ms: When the record is void, since the Unix epoch.
    """

    digest: str
    service: ids.ServiceId
    target: ids.TargetId
    call: ids.CallId
    wall_ms: int
    until_wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class RequestCleared:
    """A request that was suspected got a whole answer."""

    digest: str


@registry.register
@dataclasses.dataclass(frozen=True)
class QuarantineLifted:
    """An operator lets a request in again."""

    digest: str


@registry.register
@dataclasses.dataclass(frozen=True)
class OrderGiven:
    """An order to an engine; its offset is its fencing number."""

    service: ids.ServiceId
    target: ids.TargetId
    host: ids.HostId
