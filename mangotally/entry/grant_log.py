"""Grants of programs' tokens, recorded in one partition of the log."""

from __future__ import annotations

import dataclasses
import json
import logging
import math
from typing import TYPE_CHECKING

from mangotally.entry import log as log_lib
from mangotally.policy import spending

if TYPE_CHECKING:
    from collections.abc import Callable

    from mangotally import ids
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)

TOPIC = log_lib.Topic("grants")
# So many failed calls in a row, and the log counts as away.
UNAVAILABLE_FAILURES = 2
# Time without calls while it does; then one call asks again.
BACKOFF_MS = 500
# Turns ask a log that has failed; without them it is asked after this time.
PROBE_MS = 2000
# Keeps an append far below the most that the store takes in one call.
MAX_RETURNS = 500


@dataclasses.dataclass(frozen=True)
class _Pending:
    """A grant whose append was sent and has not been found yet.

    Attributes:
        grant: The grant.
        at: The append is carried out only if the partition ends here.
    """

    grant: spending.Grant
    at: log_lib.Offset


@dataclasses.dataclass(frozen=True)
class Entry:
    """A grant or a return that is to be recorded once.

    Attributes:
        grant: The tokens.
        name: Names the record, so that it is known again when it is read.
        record: The record.
    """

    grant: spending.Grant
    name: str
    record: bytes


class LogHealth:
    """What all partitions have seen of the log."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Makes the view of a log that has not failed."""
        self._clock = clock
        self._failures = 0
        self._asked_ms = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    @property
    def is_unavailable(self) -> bool:
        """Whether the log failed a moment ago."""
        if self._failures < UNAVAILABLE_FAILURES:
            return False
        return self._clock.now_ms() - self._asked_ms < BACKOFF_MS

    @property
    def is_probe_due(self) -> bool:
        """Whether nobody has asked the log for long after a failure."""
        return self._clock.now_ms() - self._asked_ms >= PROBE_MS

    def note(self, is_reached: bool) -> None:
        """Takes the outcome of a call."""
        self._failures = 0 if is_reached else self._failures + 1
        self._asked_ms = self._clock.now_ms()


class GrantLog:
    """One partition of the grants: what is read, and what is to be recorded.

    All records are appended only if the partition ends where it was read
    to. An append whose answer was lost is void once the partition ends
    elsewhere and the record is not there; so it may be sent again, and counts
    once.

    Attributes:
        ledger: What the records tell that were read.
        read_ms: When the read was sent that proved it.
        is_read: Whether nothing is known to have been written since.
    """

    def __init__(
        self,
        log: log_lib.Log,
        number: int,
        host: ids.HostId,
        outage: LogHealth,
        fill: Callable[[spending.Grant], None],
        clock: clock_lib.Clock,
    ) -> None:
        """Makes a partition that has read nothing.

        Args:
            log: Where grants are recorded.
            number: The partition.
            host: Names this owner's records; differs for each start.
            outage: What is seen of the log.
            fill: Takes each grant of this owner once it is recorded.
            clock: Time.
        """
        self.ledger = spending.GrantLedger()
        self.read_ms = -math.inf
        self.is_read = False
        self._loans: dict[spending.ProgramKey, Entry] = {}
        self._returns: dict[str, Entry] = {}
        self._pending: dict[str, _Pending] = {}
        self._log = log
        self._number = number
        self._host = host
        self._outage = outage
        self._fill = fill
        self._clock = clock
        self._cursor = log_lib.Cursor(log, TOPIC, number)
        self._sequence = 0

    @property
    def provisional_grants(self) -> int:
        """Loans that are not recorded yet."""
        return len(self._loans)

    @property
    def has_unrecorded(self) -> bool:
        """Whether something waits to be recorded or found out."""
        return bool(self._returns or self._loans or self._pending)

    def has_provisional_grant(self, program: spending.ProgramKey) -> bool:
        """Returns whether a loan of a program is not recorded yet."""
        return program in self._loans

    def accepts_return(self, program: spending.ProgramKey) -> bool:
        """Returns whether tokens of a program may be returned now.

        What was lent is needed until the log knows of it.
        """
        return program not in self._loans and len(self._returns) < MAX_RETURNS

    def add_provisional_grant(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Records tokens with the next append that a turn begins on now."""
        self._loans[program] = self._entry(spending.Grant(program, tokens))

    def add_return(self, program: spending.ProgramKey, tokens: int) -> None:
        """Returns tokens with the next append.

        Args:
            program: Their program.
            tokens: How many; the purse holds them no longer.
        """
        if tokens:
            entry = self._entry(spending.Grant(program, -tokens))
            self._returns[entry.name] = entry

    def granted(self, program: spending.ProgramKey) -> int:
        """Returns what will be granted once all that waits is recorded."""
        waiting = sum(
            each.grant.tokens
            for each in (*self._loans.values(), *self._returns.values())
            if each.grant.program == program
        )
        return self.ledger.granted(program) + waiting

    async def read_if_stale(self) -> bool:
        """Reads what others may have written; returns whether it could."""
        if not self.is_read:
            self.is_read = await self.read()
        return self.is_read

    async def read(self) -> bool:
        """Reads the partition to its end; returns whether it could."""
        sent_ms = self._clock.now_ms()
        failure = await self._cursor.read(self._take_record)
        self._outage.note(failure is None)
        if failure is not None:
            return False
        self.read_ms = sent_ms
        self._drop_void()
        self.ledger.prune(self._clock.now_ms())
        return True

    async def append(self, *grants: spending.Grant) -> bool:
        """Records grants, and before them all that waits to be recorded.

        Without any of these, what may still be carried out becomes void.
        """
        asked = [self._entry(each) for each in grants]
        at = self._cursor.next
        waiting = [*self._loans.values(), *self._returns.values()]
        entries = [*waiting, *asked] or [self._none()]
        self._pending |= {each.name: _Pending(each.grant, at) for each in asked}
        # Until there is an answer, the call may or may not be carried out.
        self.is_read = False
        records = [each.record for each in entries]
        appended = await self._log.append(TOPIC, self._number, records, at)
        self._outage.note(not isinstance(appended, log_lib.Unavailable))
        if not isinstance(appended, log_lib.Appended):
            return False
        self._cursor.next = appended.end
        for each in entries:
            self._apply(each.name, each.grant)
        self._drop_void()
        self.is_read = True
        return True

    def _none(self) -> Entry:
        """Returns an entry of no tokens for a program that waits."""
        pending = next(iter(self._pending.values()))
        return self._entry(spending.Grant(pending.grant.program, 0))

    def _entry(self, grant: spending.Grant) -> Entry:
        self._sequence += 1
        name = f"{self._host}:{self._number}:{self._sequence}"
        record = json.dumps([grant.program, grant.tokens, name])
        return Entry(grant, name, record.encode())

    def _take_record(self, record: bytes) -> None:
        try:
            program, tokens, name = json.loads(record)
        except ValueError:
            logger.error("grant_unreadable", extra={"part": self._number})
            return
        self._apply(name, spending.Grant(program, tokens))

    def _apply(self, name: str, grant: spending.Grant) -> None:
        is_own = name.startswith(f"{self._host}:")
        self.ledger.add(grant, self._clock.now_ms(), is_own)
        loan = self._loans.get(grant.program)
        if loan is not None and loan.name == name:
            del self._loans[grant.program]
        self._returns.pop(name, None)
        if self._pending.pop(name, None) is not None:
            # Recorded by a call whose answer was lost, or just now.
            self._fill(grant)

    def _drop_void(self) -> None:
        """Forgets grants that can't be recorded any more."""
        end = self._cursor.next
        self._pending = {
            name: each for name, each in self._pending.items() if each.at >= end
        }
