"""Admission control for the requests of one organisation.

Enforces the organisation's rate limit over all hosts. If an organisation
sends many times its usual load, refusing requests at random would break
nearly all of its programs, since each of them needs many requests. A new
program is therefore admitted only if the rate covers the requests that it and
the active programs are expected to need.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from mangotally.util import clock

# Requests that wait at most this long for a token are delayed, not refused.
# Requests of active programs may wait longer, see `Limit.delayed_calls`.
MAX_DELAY_MS = 700.0
# Period over which the expected requests of programs must fit the rate.
LOOKAHEAD_MS = 2500.0
# A program without requests for this time is considered ended.
IDLE_MS = 2500.0
# Requests that a program is expected to need if its kind is unknown.
INITIAL_PROGRAM_CALLS = 10.0
# Weight of an ended program in the moving average of the requests of its kind,
# and the largest number of requests that it counts for.
PROGRAM_CALLS_SMOOTHING = 0.05
MAX_PROGRAM_CALLS = 60.0
# Expected remaining requests of a program that has already sent as many as
# programs of its kind usually do.
MIN_REMAINING_CALLS = 2.0
MIN_BURST = 4.0
# Burst as a multiple of the calls of about one second. A program sends many
# calls at once, of its tools and sub-agents; a larger burst would leave too low
# a rate for the time after it.
BURST_FRACTION = 1.5
MIN_RETRY_AFTER_MS = 100.0
# Later returns would exceed the time that callers spend on a request.
MAX_RETRY_AFTER_MS = 2500.0


@dataclasses.dataclass(frozen=True)
class Limit:
    """Largest number of calls of an organisation in any window.

    Attributes:
        calls: Calls per window.
        window_ms: Length of the window.
        delayed_calls: Calls of active programs that may be delayed at the
            same time, even if that takes longer than `MAX_DELAY_MS`. If the
            bucket moves to another host, they run in addition to those that
            it admits.
    """

    calls: float
    window_ms: float
    delayed_calls: float = 0.0

    @property
    def burst(self) -> float:
        """Capacity of the token bucket."""
        return max(
            MIN_BURST, BURST_FRACTION * self.calls * self._one_second_fraction
        )

    @property
    def rate_per_ms(self) -> float:
        """Refill rate; burst plus refill over one window equal `calls`."""
        return max(0.0, self.calls - self.burst) / self.window_ms

    @property
    def further_delayed_calls(self) -> float:
        """Calls beyond `delayed_calls` that a home may have delayed.

        A later home that can't ask it has to leave room for them.
        """
        usual_calls = MAX_DELAY_MS * self.rate_per_ms
        return max(0.0, usual_calls - self.delayed_calls)

    @property
    def _one_second_fraction(self) -> float:
        return clock.MS_PER_S / (self.window_ms + clock.MS_PER_S)


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request is admitted.

    Attributes:
        delay_ms: Time to wait before it runs.
        is_new: Whether it starts a program.
    """

    delay_ms: float
    is_new: bool


@dataclasses.dataclass(frozen=True)
class OverLimit:
    """The request is refused because of the rate limit.

    Attributes:
        retry_after_ms: Time after which it may be admitted.
        is_new: Whether it would start a program.
    """

    retry_after_ms: float
    is_new: bool


@dataclasses.dataclass
class _Program:
    kind: str
    calls: int
    last_call_ms: float


class AdmissionController:
    """Token bucket of one organisation, and its active programs."""

    def __init__(
        self, limit: Limit, now_ms: float, tokens: float = 0.0
    ) -> None:
        """Starts with an empty bucket if earlier use is unknown.

        Args:
            limit: Limit of the organisation.
            now_ms: Current time.
            tokens: Tokens of the bucket; negative if calls are delayed.
        """
        self._limit = limit
        self._tokens = min(tokens, limit.burst)
        self._updated_ms = now_ms
        self._created_ms = now_ms
        self._programs: collections.OrderedDict[str, _Program]
        self._programs = collections.OrderedDict()
        self._average_calls_by_kind: dict[str, float] = {}
        # When refused requests of active programs were told to return.
        self._returns_ms: collections.deque[float] = collections.deque()

    @property
    def limit(self) -> Limit:
        """Limit in force."""
        return self._limit

    @property
    def active_programs(self) -> int:
        """Number of active programs."""
        return len(self._programs)

    def tokens(self, now_ms: float) -> float:
        """Returns the tokens of the bucket; negative if calls are delayed."""
        self._refill(now_ms)
        return self._tokens

    def set_limit(self, limit: Limit, now_ms: float) -> None:
        """Replaces the limit; tokens above the new burst are discarded."""
        self._refill(now_ms)
        self._limit = limit
        self._tokens = min(self._tokens, limit.burst)

    def admit(
        self,
        program: str,
        kind: str,
        now_ms: float,
        max_delay_ms: float = MAX_DELAY_MS,
    ) -> Admitted | OverLimit:
        """Admits or refuses a request.

        Args:
            program: Program of the request, or empty if it has none.
            kind: Kind of the request. Programs whose first request is of the
                same kind need about the same number of requests.
            now_ms: Current time.
            max_delay_ms: Longest delay after which the request is still of
                use to its caller.
        """
        self._refill(now_ms)
        self._remove_idle_programs(now_ms)
        state = self._programs.get(program)
        is_new = bool(program) and state is None
        delay_ms = self._delay_ms()
        if delay_ms > self._max_delay_ms(is_new or not program, max_delay_ms):
            wait_ms = self._assign_return(delay_ms, is_new, now_ms)
            return OverLimit(wait_ms, is_new)
        if is_new and self._has_observed_programs(now_ms):
            excess = (
                self._expected_calls()
                + self._expected_total_calls(kind)
                - self._available_calls()
            )
            if excess > 0:
                wait_ms = min(self._refill_ms(excess), MAX_RETRY_AFTER_MS)
                return OverLimit(wait_ms, is_new)
        self._tokens -= 1.0
        if program:
            self._record_call(program, kind, now_ms)
        return Admitted(delay_ms, is_new)

    def _has_observed_programs(self, now_ms: float) -> bool:
        return now_ms - self._created_ms > IDLE_MS

    def _max_delay_ms(self, is_new: bool, useful_ms: float) -> float:
        """Returns the longest delay before a request is refused.

        A program ends if a request of it is refused repeatedly. One program
        can exceed a low rate for a second, with its tools and sub-agents.
        """
        if is_new:
            return MAX_DELAY_MS
        longest_ms = self._refill_ms(self._limit.delayed_calls)
        return max(MAX_DELAY_MS, min(longest_ms, useful_ms))

    def _assign_return(
        self, delay_ms: float, is_new: bool, now_ms: float
    ) -> float:
        """Returns the time after which a refused request should be repeated.

        Requests of active programs return one after another, as tokens
        become available.
        """
        while self._returns_ms and self._returns_ms[0] <= now_ms:
            self._returns_ms.popleft()
        wait_ms = delay_ms + self._refill_ms(len(self._returns_ms))
        wait_ms = min(max(MIN_RETRY_AFTER_MS, wait_ms), MAX_RETRY_AFTER_MS)
        if not is_new:
            self._returns_ms.append(now_ms + wait_ms)
        return wait_ms

    def _delay_ms(self) -> float:
        missing = 1.0 - self._tokens
        return 0.0 if missing <= 0 else self._refill_ms(missing)

    def _refill_ms(self, calls: float) -> float:
        if calls <= 0:
            return 0.0
        rate = self._limit.rate_per_ms
        return calls / rate if rate > 0 else math.inf

    def _available_calls(self) -> float:
        return self._tokens + self._limit.rate_per_ms * LOOKAHEAD_MS

    def _expected_calls(self) -> float:
        """Returns the requests that active programs are expected to send."""
        return sum(
            max(
                MIN_REMAINING_CALLS,
                self._expected_total_calls(each.kind) - each.calls,
            )
            for each in self._programs.values()
        )

    def _expected_total_calls(self, kind: str) -> float:
        return self._average_calls_by_kind.get(kind, INITIAL_PROGRAM_CALLS)

    def _record_call(self, program: str, kind: str, now_ms: float) -> None:
        state = self._programs.get(program)
        if state is None:
            state = self._programs[program] = _Program(kind, 0, now_ms)
        state.calls += 1
        state.last_call_ms = now_ms
        self._programs.move_to_end(program)

    def _remove_idle_programs(self, now_ms: float) -> None:
        while self._programs:
            program, state = next(iter(self._programs.items()))
            if now_ms - state.last_call_ms < IDLE_MS:
                return
            del self._programs[program]
            average = self._expected_total_calls(state.kind)
            observed = min(MAX_PROGRAM_CALLS, float(state.calls))
            self._average_calls_by_kind[state.kind] = (
                average + PROGRAM_CALLS_SMOOTHING * (observed - average)
            )

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        gained = elapsed_ms * self._limit.rate_per_ms
        self._tokens = min(self._limit.burst, self._tokens + gained)
