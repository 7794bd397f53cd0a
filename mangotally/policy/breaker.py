"""Circuit breaker of one target."""

from __future__ import annotations

import enum

from mangotally.policy import faults

FAULTS_TO_OPEN = 3
MIN_OPEN_MS = 250.0
MAX_OPEN_MS = 10_000.0
MAX_RETRY_AFTER_MS = 30_000.0
PROBE_TIMEOUT_MS = 5000.0
_AT_ONCE = frozenset(
    {
        faults.FaultKind.UNREACHABLE,
        faults.FaultKind.CONNECTION_REFUSED,
        faults.FaultKind.CRASHED,
    }
)
_BLAMELESS = frozenset(
    {
        faults.FaultKind.REJECTED,
        faults.FaultKind.LOST,
        faults.FaultKind.CANCELLED,
        faults.FaultKind.DEADLINE,
    }
)


class BreakerState(enum.Enum):
    """What a target is trusted with.

    Attributes:
        CLOSED: Any calls.
        OPEN: Nothing, for a time.
        PROBING: A control call over a new connection.
        TRIAL: One call.
    """

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"
    TRIAL = "trial"


class Breaker:
    """Opens on faults; closes after a probe and one whole answer.

    Faults count by request: one request that fails again and again does
    not open the breaker, unless the target cannot be reached at all.
    """

    def __init__(self) -> None:
        self._state = BreakerState.CLOSED
        self._digests: set[str] = set()
        self._openings = 0
        self._until_ms = 0.0
        self._cause = ""
        self._misses = 0

    @property
    def state(self) -> BreakerState:
        """The state."""
        return self._state

    def slots(self, slots: int) -> int:
        """Returns how many calls the target may run at once.

        Args:
            slots: Calls that it may run when it is trusted.
        """
        match self._state:
            case BreakerState.CLOSED:
                return slots
            case BreakerState.TRIAL:
                return 1
            case _:
                return 0

    def succeed(self) -> None:
        """A call got a whole answer."""
        if self._state is BreakerState.TRIAL:
            self._state = BreakerState.CLOSED
            self._openings = 0
        if self._state is BreakerState.CLOSED:
            self._digests.clear()

    def fail(
        self, fault: faults.Fault, digest: str, now_ms: float, random: float
    ) -> None:
        """A call ended with a fault.

        Args:
            fault: The fault.
            digest: Digest of the request.
            now_ms: Current time.
            random: A number from 0 to 1, for the jitter.
        """
        if fault.kind in _BLAMELESS:
            return
        if self._state in (BreakerState.OPEN, BreakerState.PROBING):
            return
        self._digests.add(digest)
        if fault.kind is faults.FaultKind.REFUSED and fault.retry_after_ms:
            pause_ms = min(MAX_RETRY_AFTER_MS, float(fault.retry_after_ms))
            self._open(digest, now_ms + pause_ms * (1 + random / 10))
        elif (
            fault.kind in _AT_ONCE
            or self._state is BreakerState.TRIAL
            or len(self._digests) >= FAULTS_TO_OPEN
        ):
            self._open(digest, now_ms + self._pause_ms(random))

    def record_poll(self, is_ok: bool, now_ms: float, random: float) -> None:
        """Takes the outcome of a regular control call."""
        if self._state not in (BreakerState.CLOSED, BreakerState.TRIAL):
            return
        self._misses = 0 if is_ok else self._misses + 1
        if self._misses >= FAULTS_TO_OPEN:
            self._misses = 0
            self._open("", now_ms + self._pause_ms(random))

    def discard_faults(self, digest: str, now_ms: float) -> None:
        """Takes back what a request that is now quarantined has caused."""
        self._digests.discard(digest)
        if self._state is BreakerState.OPEN and self._cause == digest:
            self._openings = 0
            self._until_ms = now_ms

    def begin_probe(self, now_ms: float) -> bool:
        """Returns whether to probe the target now; marks the probe."""
        if self._state is BreakerState.CLOSED or now_ms < self._until_ms:
            return False
        if self._state is BreakerState.TRIAL:
            return False
        self._state = BreakerState.PROBING
        self._until_ms = now_ms + PROBE_TIMEOUT_MS
        return True

    def end_probe(self, is_ok: bool, now_ms: float, random: float) -> None:
        """Takes the outcome of a probe."""
        if self._state is not BreakerState.PROBING:
            return
        if is_ok:
            self._state = BreakerState.TRIAL
        else:
            self._open(self._cause, now_ms + self._pause_ms(random))

    def dump(self) -> str:
        """Returns the state's name, for the state dump."""
        return self._state.value

    def _open(self, cause: str, until_ms: float) -> None:
        self._state = BreakerState.OPEN
        self._cause = cause
        self._until_ms = until_ms
        self._openings += 1
        self._digests.clear()

    def _pause_ms(self, random: float) -> float:
        doublings = min(self._openings, 16)
        pause_ms = min(MAX_OPEN_MS, MIN_OPEN_MS * 2**doublings)
        return pause_ms * (1 + random) / 2
