"""Identifier types."""

from __future__ import annotations

import secrets
from typing import NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
OrganisationId = NewType("OrganisationId", str)
PlanId = NewType("PlanId", str)
ServiceId = NewType("ServiceId", str)
TargetId = NewType("TargetId", str)
ProgramId = NewType("ProgramId", str)
AttemptId = NewType("AttemptId", str)
CallId = NewType("CallId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
# A request that needs or holds a slot at a target.
Ticket = NewType("Ticket", str)
KeyId = NewType("KeyId", str)
PartitionId = NewType("PartitionId", int)
Offset = NewType("Offset", int)

_ID_BYTES = 12


def random_suffix() -> str:
    """Returns a random lower-case hexadecimal suffix for a new id."""
    return secrets.token_hex(_ID_BYTES)


def new_program_id(parent: ProgramId | None = None) -> ProgramId:
    """Returns a new program id.

    The id of a sub-agent's program starts with the id of its root program,
    so that a whole tree of programs maps to the same partition.

    Args:
        parent: The parent program, or None for a root program.
    """
    if parent is None:
        return ProgramId(f"p{random_suffix()}")
    return ProgramId(f"{root_of(parent)}.{random_suffix()}")


def root_of(program: ProgramId) -> ProgramId:
    """Returns the id of the root program of a program's tree."""
    return ProgramId(program.split(".", 1)[0])


def new_attempt_id() -> AttemptId:
    """Returns a new attempt id."""
    return AttemptId(f"a{random_suffix()}")


def new_call_id() -> CallId:
    """Returns a new call id."""
    return CallId(f"c{random_suffix()}")
