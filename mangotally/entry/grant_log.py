"""Grants of program tokens in one partition of the log."""

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

# A fixed name, since log lines contain the name of their logger.
logger = logging.getLogger("mangotally.entry.grant_records")

TOPIC = log_lib.Topic("grants")
# Number of consecutive failed calls after which the log counts as
# unavailable.
UNAVAILABLE_FAILURES = 2
# Time without calls after that; then a call tries the log again.
BACKOFF_MS = 500
# Interval of probes after a failure, if no turn calls the log in the meantime.
PROBE_MS = 2000
# Keeps an append far below the store's size limit for one call.
MAX_RETURNS = 500


@dataclasses.dataclass(frozen=True)
class _Pending:
    """A grant whose append was sent and whose outcome is unknown.

    Attributes:
        grant: Granted tokens.
        at: The append succeeds only if the partition ends at this offset.
    """

    grant: spending.Grant
    at: log_lib.Offset


@dataclasses.dataclass(frozen=True)
class Entry:
    """A grant or return to be recorded exactly once.

    Attributes:
        grant: Granted tokens; negative for a return.
        name: Unique name that identifies the record when it is read back.
        record: Encoded record.
    """

    grant: spending.Grant
    name: str
    record: bytes


class LogHealth:
    """Availability of the log, as observed by all partitions."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Starts with a log that counts as available."""
        self._clock = clock
        self._failures = 0
        self._called_ms = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    @property
    def is_unavailable(self) -> bool:
        """Whether calls are withheld because the log failed recently."""
        if self._failures < UNAVAILABLE_FAILURES:
            return False
        return self._clock.now_ms() - self._called_ms < BACKOFF_MS

    @property
    def is_probe_due(self) -> bool:
        """Whether the last call is so long ago that a probe is due."""
        return self._clock.now_ms() - self._called_ms >= PROBE_MS

    def record_call(self, is_reached: bool) -> None:
        """Records the outcome of a call."""
        self._failures = 0 if is_reached else self._failures + 1
        self._called_ms = self._clock.now_ms()


class GrantLog:
    """One partition of the grants, with the entries still to be recorded.

    Every append is conditional on the end of the partition being the offset
    that this host has read up to. If the response to an append is lost, and
    the partition then ends elsewhere without containing the record, the
    append can no longer succeed. It is then safe to retry: the record counts
    once.

    Attributes:
        ledger: State of the grants according to the records read so far.
        confirmed_ms: When the read that confirmed this state was sent.
        is_current: Whether the state counts as up to date.
    """

    def __init__(
        self,
        log: log_lib.Log,
        number: int,
        host: ids.HostId,
        log_health: LogHealth,
        add_grant: Callable[[spending.Grant], None],
        clock: clock_lib.Clock,
    ) -> None:
        """Starts before the first record.

        Args:
            log: Log that grants are recorded in.
            number: Number of the partition.
            host: Identifies the records of this instance; must be unique
                for each process start.
            log_health: Availability of the log.
            add_grant: Called with each grant of this instance once it is
                recorded.
            clock: Clock for ages.
        """
        self.ledger = spending.GrantLedger()
        self.confirmed_ms = -math.inf
        self.is_current = False
        self._provisional: dict[spending.ProgramKey, Entry] = {}
        self._returns: dict[str, Entry] = {}
        self._pending: dict[str, _Pending] = {}
        self._log = log
        self._number = number
        self._host = host
        self._log_health = log_health
        self._add_grant = add_grant
        self._clock = clock
        self._cursor = log_lib.Cursor(log, TOPIC, number)
        self._sequence = 0

    @property
    def provisional_grants(self) -> int:
        """Number of provisional grants that are not recorded yet."""
        return len(self._provisional)

    @property
    def has_unrecorded(self) -> bool:
        """Whether an entry is unrecorded or has an unknown outcome."""
        return bool(self._returns or self._provisional or self._pending)

    def has_provisional_grant(self, program: spending.ProgramKey) -> bool:
        """Returns whether a program has an unrecorded provisional grant."""
        return program in self._provisional

    def accepts_return(self, program: spending.ProgramKey) -> bool:
        """Returns whether tokens of a program may be returned now.

        Tokens of a provisional grant must be kept until it is recorded.
        """
        return (
            program not in self._provisional
            and len(self._returns) < MAX_RETURNS
        )

    def add_provisional_grant(
        self, program: spending.ProgramKey, tokens: int
    ) -> None:
        """Adds a provisional grant, which the next append records."""
        self._provisional[program] = self._entry(
            spending.Grant(program, tokens)
        )

    def add_return(self, program: spending.ProgramKey, tokens: int) -> None:
        """Adds a return of tokens, which the next append records.

        Args:
            program: Program of the tokens.
            tokens: Number of tokens, already removed from the balance.
        """
        if tokens:
            entry = self._entry(spending.Grant(program, -tokens))
            self._returns[entry.name] = entry

    def granted(self, program: spending.ProgramKey) -> int:
        """Returns the granted tokens, unrecorded entries included."""
        unrecorded = sum(
            each.grant.tokens
            for each in (*self._provisional.values(), *self._returns.values())
            if each.grant.program == program
        )
        return self.ledger.granted(program) + unrecorded

    async def ensure_current(self) -> bool:
        """Reads the partition if needed; returns whether it is up to date."""
        if not self.is_current:
            self.is_current = await self.read()
        return self.is_current

    async def read(self) -> bool:
        """Reads the partition to its end; returns whether that succeeded."""
        sent_ms = self._clock.now_ms()
        failure = await self._cursor.read(self._take_record)
        self._log_health.record_call(failure is None)
        if failure is not None:
            return False
        self.confirmed_ms = sent_ms
        self._drop_superseded()
        self.ledger.prune(self._clock.now_ms())
        return True

    async def append(self, *grants: spending.Grant) -> bool:
        """Appends all unrecorded entries, then the given grants.

        If there are neither, appends an empty entry, so that appends of
        unknown outcome can no longer succeed.

        Returns:
            Whether the entries are known to be recorded.
        """
        requested = [self._entry(each) for each in grants]
        at = self._cursor.next
        unrecorded = [*self._provisional.values(), *self._returns.values()]
        entries = [*unrecorded, *requested] or [self._empty_entry()]
        self._pending |= {
            each.name: _Pending(each.grant, at) for each in requested
        }
        # Until a response arrives, the append may or may not have happened.
        self.is_current = False
        records = [each.record for each in entries]
        appended = await self._log.append(TOPIC, self._number, records, at)
        self._log_health.record_call(
            not isinstance(appended, log_lib.Unavailable)
        )
        if not isinstance(appended, log_lib.Appended):
            return False
        self._cursor.next = appended.end
        for each in entries:
            self._apply(each.name, each.grant)
        self._drop_superseded()
        self.is_current = True
        return True

    def _empty_entry(self) -> Entry:
        """Returns an entry of 0 tokens for a program with a pending grant."""
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
        provisional = self._provisional.get(grant.program)
        if provisional is not None and provisional.name == name:
            del self._provisional[grant.program]
        self._returns.pop(name, None)
        if self._pending.pop(name, None) is not None:
            # Recorded just now, or by a call whose response was lost.
            self._add_grant(grant)

    def _drop_superseded(self) -> None:
        """Drops pending grants whose append can no longer succeed."""
        end = self._cursor.next
        self._pending = {
            name: each for name, each in self._pending.items() if each.at >= end
        }
