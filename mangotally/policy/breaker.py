"""Circuit breaker of one target."""

from __future__ import annotations

import enum

from mangotally.policy import faults

# Distinct requests with faults, or consecutive missed control calls, that open
# the breaker.
FAULTS_TO_OPEN = 3
MIN_OPEN_MS = 250.0
MAX_OPEN_MS = 10_000.0
MAX_RETRY_AFTER_MS = 30_000.0
PROBE_TIMEOUT_MS = 5000.0
_OPENS_IMMEDIATELY = frozenset(
    {
        faults.FaultKind.UNREACHABLE,
        faults.FaultKind.CONNECTION_REFUSED,
        faults.FaultKind.CRASHED,
    }
)
_NOT_COUNTED = frozenset(
    {
        faults.FaultKind.REJECTED,
        faults.FaultKind.LOST,
        faults.FaultKind.CANCELLED,
        faults.FaultKind.DEADLINE,
    }
)


class BreakerState(enum.Enum):
    """Which calls a target may receive.

    Attributes:
        CLOSED: Calls on all of its slots.
        OPEN: None until the open period ends.
        PROBING: Only one control call, over a new connection.
        TRIAL: One call at a time.
    """

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"
    TRIAL = "trial"


class Breaker:
    """Opens on faults; closes after a probe and one complete answer.

    Faults are counted by distinct request: repeated failures of one request
    do not open the breaker. Only faults that concern the whole target (it
    cannot be reached, refuses connections or crashed) open it at once.
    """

    def __init__(self) -> None:
        self._state = BreakerState.CLOSED
        self._failed_digests: set[str] = set()
        self._consecutive_openings = 0
        self._open_until_ms = 0.0
        self._cause_digest = ""
        self._missed_polls = 0

    @property
    def state(self) -> BreakerState:
        """Current state."""
        return self._state

    def slots(self, slots: int) -> int:
        """Returns how many calls the target may run at once.

        Args:
            slots: Calls that it may run while the breaker is closed.
        """
        match self._state:
            case BreakerState.CLOSED:
                return slots
            case BreakerState.TRIAL:
                return 1
            case _:
                return 0

    def succeed(self) -> None:
        """Records a call that got a complete answer."""
        if self._state is BreakerState.TRIAL:
            self._state = BreakerState.CLOSED
            self._consecutive_openings = 0
        if self._state is BreakerState.CLOSED:
            self._failed_digests.clear()

    def fail(
        self, fault: faults.Fault, digest: str, now_ms: float, random: float
    ) -> None:
        """Records a call that ended with a fault.

        Args:
            fault: The fault.
            digest: Digest of the request.
            now_ms: Current time.
            random: Number from 0 to 1 for the jitter of the open period.
        """
        if fault.kind in _NOT_COUNTED:
            return
        if self._state in (BreakerState.OPEN, BreakerState.PROBING):
            return
        self._failed_digests.add(digest)
        if fault.kind is faults.FaultKind.REFUSED and fault.retry_after_ms:
            period_ms = min(MAX_RETRY_AFTER_MS, float(fault.retry_after_ms))
            self._open(digest, now_ms + period_ms * (1 + random / 10))
        elif (
            fault.kind in _OPENS_IMMEDIATELY
            or self._state is BreakerState.TRIAL
            or len(self._failed_digests) >= FAULTS_TO_OPEN
        ):
            self._open(digest, now_ms + self._open_period_ms(random))

    def record_poll(self, is_ok: bool, now_ms: float, random: float) -> None:
        """Records the outcome of a periodic control call."""
        if self._state not in (BreakerState.CLOSED, BreakerState.TRIAL):
            return
        self._missed_polls = 0 if is_ok else self._missed_polls + 1
        if self._missed_polls >= FAULTS_TO_OPEN:
            self._missed_polls = 0
            self._open("", now_ms + self._open_period_ms(random))

    def discard_faults(self, digest: str, now_ms: float) -> None:
        """Discards the faults caused by a request that is now quarantined.

        If that request opened the breaker, the target may be probed at once.
        """
        self._failed_digests.discard(digest)
        if self._state is BreakerState.OPEN and self._cause_digest == digest:
            self._consecutive_openings = 0
            self._open_until_ms = now_ms

    def begin_probe(self, now_ms: float) -> bool:
        """Returns whether to probe the target now, and if so starts the probe.

        A probe whose outcome is not reported may be repeated after
        `PROBE_TIMEOUT_MS`.
        """
        if self._state is BreakerState.CLOSED or now_ms < self._open_until_ms:
            return False
        if self._state is BreakerState.TRIAL:
            return False
        self._state = BreakerState.PROBING
        self._open_until_ms = now_ms + PROBE_TIMEOUT_MS
        return True

    def end_probe(self, is_ok: bool, now_ms: float, random: float) -> None:
        """Records the outcome of a probe."""
        if self._state is not BreakerState.PROBING:
            return
        if is_ok:
            self._state = BreakerState.TRIAL
        else:
            self._open(
                self._cause_digest, now_ms + self._open_period_ms(random)
            )

    def dump(self) -> str:
        """Returns the name of the state for the state dump."""
        return self._state.value

    def _open(self, cause_digest: str, open_until_ms: float) -> None:
        self._state = BreakerState.OPEN
        self._cause_digest = cause_digest
        self._open_until_ms = open_until_ms
        self._consecutive_openings += 1
        self._failed_digests.clear()

    def _open_period_ms(self, random: float) -> float:
        doublings = min(self._consecutive_openings, 16)
        period_ms = min(MAX_OPEN_MS, MIN_OPEN_MS * 2**doublings)
        return period_ms * (1 + random) / 2
