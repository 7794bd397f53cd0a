"""Token bucket with batches of tokens issued to other hosts."""

from __future__ import annotations

import dataclasses
import math

from mangotally.util import clock


@dataclasses.dataclass(frozen=True)
class Batch:
    """Tokens that another host may use until they expire.

    Attributes:
        number: Identifies the batch within its bucket.
        count: Number of tokens.
        expires_ms: Expiry time on the bucket's clock.
    """

    number: int
    count: float
    expires_ms: float


class TokenBucket:
    """A token bucket: admitted <= rate x time + burst in every window.

    The bucket keeps two bounds of its level, since its earlier use may be
    unknown. `level` is the lower bound: tokens that are not known to be
    available count as spent, and only tokens within it are handed out.
    `upper_bound` assumes that no unknown tokens were spent: a call is over
    the rate only if it needs more than that.
    """

    def __init__(
        self, rate_per_s: float, burst: float, level: float, now_ms: float
    ) -> None:
        """Initialises the bucket.

        Args:
            rate_per_s: Tokens added per second.
            burst: Capacity.
            level: Tokens known to be available; whether the rest up to the
                capacity has been spent is unknown.
            now_ms: Current time.
        """
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(level, burst)
        self._upper_bound = burst
        self._updated_ms = now_ms
        self._batches: dict[int, Batch] = {}

    @property
    def batches(self) -> tuple[Batch, ...]:
        """Issued batches that have been neither settled nor expired."""
        return tuple(self._batches.values())

    def level(self, now_ms: float) -> float:
        """Returns the tokens that are known to be available."""
        self._refill(now_ms)
        return self._level

    def upper_bound(self, now_ms: float) -> float:
        """Returns the upper bound of the available tokens."""
        self._refill(now_ms)
        return min(self._burst, self._upper_bound + self._outstanding_tokens())

    def is_full(self, now_ms: float) -> bool:
        """Returns whether the bucket is known to be full."""
        return self.level(now_ms) >= self._burst

    def cap_upper_bound(self, upper: float) -> None:
        """Lowers the upper bound to the value known to the previous home."""
        self._upper_bound = max(self._level, min(self._burst, upper))

    def take(self, count: float, now_ms: float) -> float:
        """Takes tokens if enough are available.

        Args:
            count: Number of tokens.
            now_ms: Current time.

        Returns:
            0 if the tokens were taken, else the time in milliseconds until
            enough are available.
        """
        self._refill(now_ms)
        if self._level >= count:
            self._level -= count
            self._upper_bound -= count
            return 0.0
        return self._wait_ms(count - self._level)

    def min_wait_ms(self, count: float, now_ms: float) -> float:
        """Returns the time until the upper bound reaches `count` tokens.

        The result is 0 if that many tokens may be available already.
        """
        upper = self.upper_bound(now_ms)
        return 0.0 if upper >= count else self._wait_ms(count - upper)

    def issue_batch(self, batch: Batch, now_ms: float) -> bool:
        """Issues a batch of tokens to another host.

        The tokens of the batch still take up capacity of the bucket until it
        is settled or expires.

        Returns:
            Whether enough tokens were available.
        """
        self._refill(now_ms)
        if self._level < batch.count:
            return False
        self._level -= batch.count
        self._upper_bound -= batch.count
        self._batches[batch.number] = batch
        return True

    def settle_batch(self, number: int, unused: float, now_ms: float) -> None:
        """Ends a batch; returns its unused tokens unless it has expired."""
        self._refill(now_ms)
        batch = self._batches.pop(number, None)
        if batch is None:
            return
        returned = max(0.0, min(unused, batch.count))
        self._level += returned
        self._upper_bound = min(self._burst, self._upper_bound + returned)

    def adopt_batch(self, batch: Batch) -> None:
        """Adopts a batch that a previous home has issued."""
        self._batches[batch.number] = batch
        self._level = min(self._level, self._burst - self._outstanding_tokens())
        self._upper_bound -= batch.count

    def reconfigure(
        self, rate_per_s: float, burst: float, now_ms: float
    ) -> None:
        """Changes rate and burst; never raises the level."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(
            self._level, max(0.0, burst - self._outstanding_tokens())
        )
        self._upper_bound = min(self._upper_bound, burst)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        gained = elapsed_ms * self._rate_per_s / clock.MS_PER_S
        free_capacity = max(
            0.0, self._burst - self._outstanding_tokens() - self._level
        )
        self._level += min(gained, free_capacity)
        self._upper_bound = min(self._burst, self._upper_bound + gained)
        self._expire_batches(now_ms)

    def _expire_batches(self, now_ms: float) -> None:
        for batch in self.batches:
            if batch.expires_ms <= now_ms:
                del self._batches[batch.number]
                self._upper_bound = min(
                    self._burst, self._upper_bound + batch.count
                )

    def _outstanding_tokens(self) -> float:
        return math.fsum(batch.count for batch in self._batches.values())

    def _wait_ms(self, missing: float) -> float:
        if self._rate_per_s <= 0:
            return math.inf
        return missing / self._rate_per_s * clock.MS_PER_S
