"""The token bucket of one organisation."""

from __future__ import annotations

import dataclasses
import math

from mangotally.util import clock


@dataclasses.dataclass(frozen=True)
class Batch:
    """Tokens that another host may use until they expire.

    Attributes:
        number: Names the batch to its bucket.
        count: Tokens.
        expires_ms: When they are void, on the bucket's clock.
    """

    number: int
    count: float
    expires_ms: float


class TokenBucket:
    """A token bucket: admitted <= rate x time + burst in every window.

    Two levels are kept. `level` is what may be given: all that is not known
    to be there counts as spent. `upper` is the most that can be left if
    nothing unknown was spent: only below it is a call over the rate.
    """

    def __init__(
        self, rate_per_s: float, burst: float, level: float, now_ms: float
    ) -> None:
        """Makes a bucket.

        Args:
            rate_per_s: Tokens gained a second.
            burst: Largest level.
            level: Level at the start; what is missing is unknown.
            now_ms: Time of the start.
        """
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(level, burst)
        self._upper = burst
        self._updated_ms = now_ms
        self._batches: dict[int, Batch] = {}

    @property
    def batches(self) -> tuple[Batch, ...]:
        """Batches that have not been settled."""
        return tuple(self._batches.values())

    def level(self, now_ms: float) -> float:
        """Returns the tokens that can be taken now."""
        self._refill(now_ms)
        return self._level

    def upper_bound(self, now_ms: float) -> float:
        """Returns the most tokens that can be left now."""
        self._refill(now_ms)
        return min(self._burst, self._upper + self._given())

    def is_full(self, now_ms: float) -> bool:
        """Returns whether every token is there."""
        return self.level(now_ms) >= self._burst

    def lower_upper_bound(self, upper: float) -> None:
        """Lowers the most that can be left, as its last holder knew it."""
        self._upper = max(self._level, min(self._burst, upper))

    def take(self, count: float, now_ms: float) -> float:
        """Takes tokens if there are enough.

        Args:
            count: Tokens wanted.
            now_ms: Current time.

        Returns:
            0 if taken, else milliseconds until there would be enough.
        """
        self._refill(now_ms)
        if self._level >= count:
            self._level -= count
            self._upper -= count
            return 0.0
        return self._wait_ms(count - self._level)

    def min_wait_ms(self, count: float, now_ms: float) -> float:
        """Returns 0 if the tokens may be there, else how long they lack."""
        upper = self.upper_bound(now_ms)
        return 0.0 if upper >= count else self._wait_ms(count - upper)

    def issue_batch(self, batch: Batch, now_ms: float) -> bool:
        """Gives a batch away; its tokens still fill the bucket.

        Returns:
            Whether there were enough tokens.
        """
        self._refill(now_ms)
        if self._level < batch.count:
            return False
        self._level -= batch.count
        self._upper -= batch.count
        self._batches[batch.number] = batch
        return True

    def settle_batch(self, number: int, unused: float, now_ms: float) -> None:
        """Ends a batch; what was not used comes back, if it is in time."""
        self._refill(now_ms)
        batch = self._batches.pop(number, None)
        if batch is None:
            return
        back = max(0.0, min(unused, batch.count))
        self._level += back
        self._upper = min(self._burst, self._upper + back)

    def adopt_batch(self, batch: Batch) -> None:
        """Takes over a batch that an earlier home has given away."""
        self._batches[batch.number] = batch
        self._level = min(self._level, self._burst - self._given())
        self._upper -= batch.count

    def reconfigure(
        self, rate_per_s: float, burst: float, now_ms: float
    ) -> None:
        """Puts a new rate and burst in force; the level never grows."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, max(0.0, burst - self._given()))
        self._upper = min(self._upper, burst)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        gained = elapsed_ms * self._rate_per_s / clock.MS_PER_S
        room = max(0.0, self._burst - self._given() - self._level)
        self._level += min(gained, room)
        self._upper = min(self._burst, self._upper + gained)
        self._expire(now_ms)

    def _expire(self, now_ms: float) -> None:
        for batch in self.batches:
            if batch.expires_ms <= now_ms:
                del self._batches[batch.number]
                self._upper = min(self._burst, self._upper + batch.count)

    def _given(self) -> float:
        return math.fsum(batch.count for batch in self._batches.values())

    def _wait_ms(self, missing: float) -> float:
        if self._rate_per_s <= 0:
            return math.inf
        return missing / self._rate_per_s * clock.MS_PER_S
