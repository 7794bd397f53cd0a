"""Which requests of an organisation run, within its rate over all hosts.

Load pattern: an organisation that sends many times its usual. Refusing at
random would break nearly all of its programs, since each needs many requests;
so a new program begins only if the rate will hold the requests that it and
the programs under way are expected to need.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from mangotally.util import clock

# Requests of a program are held so long for a token rather than refused.
MAX_DELAY_MS = 700.0
# Programs under way are looked ahead so far.
LOOKAHEAD_MS = 2500.0
# A program without requests for so long has ended.
IDLE_MS = 2500.0
INITIAL_PROGRAM_CALLS = 10.0
PROGRAM_CALLS_SMOOTHING = 0.05
MAX_PROGRAM_CALLS = 60.0
# Expected need of a program that has outlived the usual one.
MIN_REMAINING_CALLS = 2.0
MIN_BURST = 4.0
BURST_FRACTION = 0.5
MIN_RETRY_AFTER_MS = 100.0


@dataclasses.dataclass(frozen=True)
class Limit:
    """What an organisation may use in any window.

    Attributes:
        calls: Calls in the window.
        window_ms: Length of the window.
    """

    calls: float
    window_ms: float

    @property
    def burst(self) -> float:
        """Calls at once."""
        return max(MIN_BURST, BURST_FRACTION * self.calls * self._second)

    @property
    def rate_per_ms(self) -> float:
        """Calls gained a millisecond; with the burst they fill a window."""
        return max(0.0, self.calls - self.burst) / self.window_ms

    @property
    def _second(self) -> float:
        return clock.MS_PER_S / (self.window_ms + clock.MS_PER_S)


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request may run.

    Attributes:
        delay_ms: After this time.
        is_new: Whether it begins a program.
    """

    delay_ms: float
    is_new: bool


@dataclasses.dataclass(frozen=True)
class OverLimit:
    """The request must not run.

    Attributes:
        retry_after_ms: When it could.
        is_new: Whether it would begin a program.
    """

    retry_after_ms: float
    is_new: bool


@dataclasses.dataclass
class _Program:
    kind: str
    calls: int
    seen_ms: float


class AdmissionController:
    """Tokens of one organisation, and its programs under way."""

    def __init__(self, limit: Limit, now_ms: float) -> None:
        """Makes a gate that is empty: what went before is unknown.

        Args:
            limit: What may be used.
            now_ms: Current time.
        """
        self._limit = limit
        self._level = 0.0
        self._updated_ms = now_ms
        self._since_ms = now_ms
        self._programs: collections.OrderedDict[str, _Program]
        self._programs = collections.OrderedDict()
        self._needs: dict[str, float] = {}

    @property
    def limit(self) -> Limit:
        """What may be used."""
        return self._limit

    @property
    def active_programs(self) -> int:
        """Programs under way."""
        return len(self._programs)

    def set_limit(self, limit: Limit, now_ms: float) -> None:
        """Puts a limit in force; tokens beyond it are lost."""
        self._refill(now_ms)
        self._limit = limit
        self._level = min(self._level, limit.burst)

    def admit(
        self, program: str, kind: str, now_ms: float
    ) -> Admitted | OverLimit:
        """Decides on a request.

        Args:
            program: Its program, or empty if it belongs to none.
            kind: Programs that begin with the same kind of request need
                about the same number of them.
            now_ms: Current time.
        """
        self._refill(now_ms)
        self._end_idle(now_ms)
        found = self._programs.get(program)
        is_new = bool(program) and found is None
        delay_ms = self._delay_ms()
        if delay_ms > MAX_DELAY_MS:
            wait_ms = max(MIN_RETRY_AFTER_MS, delay_ms)
            return OverLimit(wait_ms, is_new)
        if is_new and self._knows_programs(now_ms):
            over = self._expected() + self._need(kind) - self._capacity()
            if over > 0:
                return OverLimit(self._time_ms(over), is_new)
        self._level -= 1.0
        if program:
            self._count(program, kind, now_ms)
        return Admitted(delay_ms, is_new)

    def _knows_programs(self, now_ms: float) -> bool:
        return now_ms - self._since_ms > IDLE_MS

    def _delay_ms(self) -> float:
        lacking = 1.0 - self._level
        return 0.0 if lacking <= 0 else self._time_ms(lacking)

    def _time_ms(self, calls: float) -> float:
        rate = self._limit.rate_per_ms
        return calls / rate if rate > 0 else math.inf

    def _capacity(self) -> float:
        return self._level + self._limit.rate_per_ms * LOOKAHEAD_MS

    def _expected(self) -> float:
        """Returns the requests that programs under way still need."""
        return sum(
            max(MIN_REMAINING_CALLS, self._need(each.kind) - each.calls)
            for each in self._programs.values()
        )

    def _need(self, kind: str) -> float:
        return self._needs.get(kind, INITIAL_PROGRAM_CALLS)

    def _count(self, program: str, kind: str, now_ms: float) -> None:
        found = self._programs.get(program)
        if found is None:
            found = self._programs[program] = _Program(kind, 0, now_ms)
        found.calls += 1
        found.seen_ms = now_ms
        self._programs.move_to_end(program)

    def _end_idle(self, now_ms: float) -> None:
        while self._programs:
            program, found = next(iter(self._programs.items()))
            if now_ms - found.seen_ms < IDLE_MS:
                return
            del self._programs[program]
            need = self._need(found.kind)
            seen = min(MAX_PROGRAM_CALLS, float(found.calls))
            self._needs[found.kind] = need + PROGRAM_CALLS_SMOOTHING * (
                seen - need
            )

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        gained = elapsed_ms * self._limit.rate_per_ms
        self._level = min(self._limit.burst, self._level + gained)
