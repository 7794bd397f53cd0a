"""Record types of the platform's log."""

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
    """A full heartbeat; the first of an incarnation joins the fleet.

    Attributes:
        host: The host.
        incarnation: A number that increases with each start of the host.
        address: Its address for other hosts, `ip:port`.
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
    """A host's heartbeats are overdue; ignored if a later one is in the log.

    Attributes:
        host: The evicted host.
        incarnation: Its incarnation.
        heartbeat_offset: Offset of the last heartbeat read by the writer.
    """

    host: ids.HostId
    incarnation: int
    heartbeat_offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class ConfigurationVersion:
    """A version of the lists of plans and uses, valid after its predecessor.

    Attributes:
        version: Number of this version.
        predecessor: Number of the version that it replaces.
        lists: Both lists, complete.
        attempt: Id of the publication; the same in a repeated append.
    """

    version: int
    predecessor: int
    lists: lists.Lists
    attempt: ids.AttemptId = NO_ATTEMPT


@registry.register
@dataclasses.dataclass(frozen=True)
class ConfigurationDelta:
    """A version of the lists, given as the changes from its predecessor.

    Attributes:
        version: Number of this version.
        predecessor: Number of the version that it replaces.
        attempt: Id of the publication; the same in a repeated append.
        organisations: Organisations that were added or have another plan.
        removed: Organisations that were removed.
        uses: The list of uses if it changed, or None.
        digest: Digest of the complete new version.
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
    """An API key is issued; only its digest is stored.

    Attributes:
        key_id: The key's public id.
        organisation: The organisation that it authenticates.
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
    """An API key is withdrawn."""

    key_id: ids.KeyId


@dataclasses.dataclass(frozen=True)
class WithdrawnKey:
    """A withdrawn key in a snapshot.

    Attributes:
        key_id: The key.
        offset: Offset of its withdrawal.
    """

    key_id: ids.KeyId
    offset: ids.Offset


@registry.register
@dataclasses.dataclass(frozen=True)
class ConfigurationSnapshot:
    """The complete configuration after all records before this one.

    It is ignored unless its own offset equals `read_to`, which ensures that
    its writer had read every record before it.

    Attributes:
        read_to: The writer had read all records before this offset.
        wall_ms: When it was written, since the Unix epoch.
        version: Number of the version in force.
        attempt: Id of the publication of that version.
        lists: The lists in force, or None before the first version.
        keys: The active keys.
        withdrawn: Withdrawn keys that still have to be remembered.
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
    """Returns the header of a log entry that is a snapshot, or None.

    A host that already knows the configuration reads only this header, so
    the cost does not depend on the size of the snapshot.
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
        role: Role of the author.
        content: The text.
        extra: Additional fields as a JSON object, or empty.
    """

    role: str
    content: str
    extra: str = ""


@dataclasses.dataclass(frozen=True)
class Budget:
    """The budget of a program and its descendants.

    Attributes:
        tokens: Limit on prompt tokens computed plus tokens generated.
        calls: Limit on the number of model turns plus service calls.
        wall_ms: Time limit, measured from the opening of the program.
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
        budget: Its own budget.
        deadline_wall_ms: Its deadline, since the Unix epoch.
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
    """A model turn is about to run; its budget is reserved.

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
    """A model turn's request and answer; the first of a turn takes effect.

    Attributes:
        organisation: The program's organisation.
        program: The program.
        turn: Number of the turn.
        attempt: The attempt that ran it.
        digest: Digest of the request.
        request: The new messages of the caller.
        answer: The answer.
        used_tokens: Tokens charged.
        length_tokens: Length of the conversation including this turn, or 0
            if the target did not report it.
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
    """An attempt was abandoned before it ran; its budget is returned."""

    organisation: ids.OrganisationId
    program: ids.ProgramId
    turn: int
    attempt: ids.AttemptId


@registry.register
@dataclasses.dataclass(frozen=True)
class CallCharged:
    """A service call is charged to a program, once for each charge id."""

    organisation: ids.OrganisationId
    program: ids.ProgramId
    charge: str


@registry.register
@dataclasses.dataclass(frozen=True)
class CallIntent:
    """A non-idempotent call is about to be sent; the first takes effect.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key, unique within the organisation.
        attempt: The attempt that may send it.
        digest: Digest of the request.
        program: The program that the call belongs to, or None.
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
    """An attempt was abandoned before the call was sent; the key is free.

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
    """The response to a non-idempotent call.

    Attributes:
        organisation: The caller's organisation.
        key: Idempotency key.
        attempt: The attempt that sent the call.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body_base64: Body of the response, or empty if it is not stored.
        whole: Whether the body is stored; large bodies are not.
    """

    organisation: ids.OrganisationId
    key: str
    attempt: ids.AttemptId
    status: int
    content_type: str
    body_base64: str
    whole: bool = True


class CloseReason(enum.Enum):
    """Why a program ended.

    Attributes:
        CALLER: The caller ended it.
        DEADLINE: Its deadline passed.
        BUDGET: Its budget was exhausted.
        PARENT: One of its ancestors ended.
    """

    CALLER = "caller"
    DEADLINE = "deadline"
    BUDGET = "budget"
    PARENT = "parent"


@registry.register
@dataclasses.dataclass(frozen=True)
class ProgramClosed:
    """A program ended; it and its descendants accept no more turns.

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
    """One program in a snapshot.

    Attributes:
        opened: The record that opened it.
        turns: Its completed turns.
        attempts: Budget reservations of unfinished attempts.
        seen: Attempts of the next turn that were started or abandoned.
        charges: Ids of the charges of its service calls.
        closed: Why it ended, or None.
        closed_wall_ms: When it ended, since the Unix epoch.
        tokens: Tokens charged and reserved.
        calls: Calls charged and reserved.
        reserved_tokens: The reserved portion of `tokens`.
        reserved_calls: The reserved portion of `calls`.
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
    """A complete tree of programs, appended before its records age out.

    Attributes:
        as_of: The snapshot includes all records before this offset. It is
            ignored if another record of the tree was appended between this
            offset and the snapshot.
        programs: The programs, each after its parent.
        wall_ms: When the snapshot was taken, since the Unix epoch.
    """

    as_of: ids.Offset
    programs: tuple[ProgramState, ...]
    wall_ms: int


@registry.register
@dataclasses.dataclass(frozen=True)
class CallSnapshot:
    """A call's intent and result, appended before their records age out.

    Attributes:
        as_of: The snapshot includes all records before this offset. It is
            ignored if another record of the call was appended between this
            offset and the snapshot.
        intent: The intent in effect.
        result: The result, or None.
        wall_ms: When the snapshot was taken, since the Unix epoch.
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
        wall_ms: When the target crashed, since the Unix epoch.
        until_wall_ms: When the record expires, since the Unix epoch.
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
    """A suspect request got a complete answer."""

    digest: str


@registry.register
@dataclasses.dataclass(frozen=True)
class QuarantineLifted:
    """An operator has lifted the quarantine of a request."""

    digest: str


@registry.register
@dataclasses.dataclass(frozen=True)
class OrderGiven:
    """An order to an engine; its offset is its fencing number."""

    service: ids.ServiceId
    target: ids.TargetId
    host: ids.HostId
