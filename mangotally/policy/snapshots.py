"""Snapshots of trees of programs whose records will age out of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mangotally.policy import ledger as ledger_lib
from mangotally.policy import programs, records

if TYPE_CHECKING:
    from mangotally import ids


def roots_due_for_snapshot(
    ledger: ledger_lib.Ledger, now_wall_ms: int, age_ms: int
) -> list[programs.ProgramKey]:
    """Returns the root programs that need a snapshot.

    Args:
        ledger: The partition's ledger.
        now_wall_ms: Time since the Unix epoch.
        age_ms: Age of a tree's oldest record from which it needs one.
    """
    return [
        key
        for key, program in ledger.programs.items()
        if program.opened.parent is None
        and now_wall_ms - program.anchored_wall_ms > age_ms
    ]


def make_tree_snapshot(
    ledger: ledger_lib.Ledger,
    root: programs.ProgramKey,
    as_of: ids.Offset,
    now_wall_ms: int,
) -> records.TreeSnapshot:
    """Returns a tree of programs as one record.

    Args:
        ledger: The partition's ledger, as of `as_of`.
        root: The tree's root program.
        as_of: Offset of the first record that the ledger has not read.
        now_wall_ms: Time since the Unix epoch.
    """
    return records.TreeSnapshot(
        as_of,
        tuple(_state(program) for program in ledger.tree(*root)),
        now_wall_ms,
    )


def _state(program: programs.Program) -> records.ProgramState:
    account = program.account
    return records.ProgramState(
        opened=program.opened,
        turns=tuple(program.turns),
        attempts=tuple(program.attempts.values()),
        seen=tuple(sorted(program.seen)),
        charges=tuple(sorted(program.charges)),
        closed=program.closed,
        closed_wall_ms=program.closed_wall_ms,
        tokens=account.tokens,
        calls=account.calls,
        reserved_tokens=account.reserved_tokens,
        reserved_calls=account.reserved_calls,
    )
