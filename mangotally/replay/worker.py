"""A simulated worker with continuous batching and a prefix cache."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import pools

if TYPE_CHECKING:
    from mangotally.replay import parameters

MS_PER_S = 1000.0


@dataclasses.dataclass
class Job:
    """A call that was submitted to a worker.

    Attributes:
        call: Its id.
        program: The program whose prefix it extends.
        prompt_tokens: Length of the prompt.
        answer_tokens: Length of the answer.
        submitted_ms: Time at which it was submitted.
        cached_tokens: Prompt tokens found in the cache.
        first_token_ms: Time at which the prefill was finished.
        cancelled: Whether it was cancelled.
    """

    call: ids.CallId
    program: ids.ProgramId
    prompt_tokens: int
    answer_tokens: int
    submitted_ms: float
    cached_tokens: int = 0
    first_token_ms: float = 0.0
    cancelled: bool = False

    @property
    def tokens(self) -> int:
        """Memory that the call occupies, in tokens."""
        return self.prompt_tokens + self.answer_tokens


class Worker:
    """Processes calls first come, first served, without priorities.

    A call waits for a batch slot and for memory. Then its prompt is
    prefilled, one prompt at a time, and it is decoded with the batch.
    """

    def __init__(
        self,
        target: ids.TargetId,
        failure_domain: ids.FailureDomainId,
        speed: parameters.WorkerParameters,
    ) -> None:
        self.target = target
        self.failure_domain = failure_domain
        self.is_alive = True
        self.generation = 0
        self.computed_tokens = 0
        self.events: list[pools.CacheEvent] = []
        self._speed = speed
        self._sequence = 0
        self._reset()

    def fail(self) -> list[Job]:
        """Simulates the loss of the worker; returns its unfinished calls."""
        jobs = [job for job in self._jobs.values() if not job.cancelled]
        self.is_alive = False
        self.generation += 1
        self.events.clear()
        self._reset()
        return jobs

    def restart(self, now_ms: float) -> None:
        """Makes the worker available again, with an empty cache."""
        self.is_alive = True
        self._updated_ms = now_ms

    def submit(self, job: Job, now_ms: float) -> None:
        """Adds a call to the queue of the worker."""
        self._advance_decoding(now_ms)
        self._jobs[job.call] = job
        self._waiting.append(job)
        self._admit(now_ms)

    def cancel(self, call: ids.CallId, now_ms: float) -> None:
        """Cancels a call; its prefix is not cached."""
        job = self._jobs.get(call)
        if job is None:
            return
        self._advance_decoding(now_ms)
        job.cancelled = True
        if job in self._waiting:
            self._waiting.remove(job)
            del self._jobs[call]
            return
        for index, (_, order, other) in enumerate(self._decoding):
            if other is job:
                self._decoding[index] = (self._progress, order, job)
        heapq.heapify(self._decoding)

    def release(self, program: ids.ProgramId) -> bool:
        """Evicts a prefix; returns whether no call of the program pins it."""
        self._cached_tokens -= self._cache.pop(program, 0)
        return not self._pinned_by_program.get(program)

    def held_tokens(self, program: ids.ProgramId) -> int:
        """Returns the memory held for a program, in tokens."""
        return self._cache.get(program, 0) + self._pinned_by_program.get(
            program, 0
        )

    def load(self) -> pools.LoadReport:
        """Returns the current load."""
        return pools.LoadReport(
            running=len(self._jobs) - len(self._waiting),
            waiting=len(self._waiting),
            cached_tokens=self._cached_tokens + self._pinned_tokens,
            cache_capacity_tokens=self._speed.cache_tokens,
            age_ms=0.0,
        )

    def next_event_ms(self) -> float | None:
        """Returns the time of the next internal event, or None if idle."""
        times = []
        if self._prefilling is not None:
            times.append(self._prefill_end_ms)
        if self._decoding:
            remaining = self._decoding[0][0] - self._progress
            times.append(
                self._updated_ms + max(0.0, remaining) * self._token_ms()
            )
        return min(times, default=None)

    def advance(self, now_ms: float) -> list[Job]:
        """Advances the simulation to a time; returns the completed calls."""
        done: list[Job] = []
        while True:
            due_ms = self.next_event_ms()
            if due_ms is None or due_ms > now_ms:
                break
            self._advance_decoding(due_ms)
            if self._prefilling is not None and due_ms >= self._prefill_end_ms:
                self._end_prefill(due_ms)
                continue
            done += self._end_decode()
            self._admit(due_ms)
        self._advance_decoding(now_ms)
        return done

    def _reset(self) -> None:
        self._jobs: dict[ids.CallId, Job] = {}
        self._waiting: collections.deque[Job] = collections.deque()
        self._prefill_queue: collections.deque[Job] = collections.deque()
        self._prefilling: Job | None = None
        self._prefill_end_ms = 0.0
        self._decoding: list[tuple[float, int, Job]] = []
        self._order = 0
        self._progress = 0.0
        self._updated_ms = 0.0
        self._cache: collections.OrderedDict[ids.ProgramId, int] = (
            collections.OrderedDict()
        )
        self._pinned_by_program: collections.Counter[ids.ProgramId] = (
            collections.Counter()
        )
        self._cached_tokens = 0
        self._pinned_tokens = 0

    def _token_ms(self) -> float:
        speed = self._speed
        token_ms = (
            speed.decode_ms + len(self._decoding) * speed.decode_ms_per_call
        )
        if self._prefilling is not None:
            token_ms *= speed.prefill_slowdown
        return token_ms

    def _advance_decoding(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            if self._decoding:
                self._progress += elapsed_ms / self._token_ms()
            self._updated_ms = now_ms

    def _admit(self, now_ms: float) -> None:
        while self._waiting:
            job = self._waiting[0]
            active = len(self._jobs) - len(self._waiting)
            fits = self._pinned_tokens + job.tokens <= self._speed.cache_tokens
            if active >= self._speed.batch_calls or (active and not fits):
                break
            self._waiting.popleft()
            prefix_tokens = self._cache.pop(job.program, 0)
            self._cached_tokens -= prefix_tokens
            job.cached_tokens = min(prefix_tokens, job.prompt_tokens)
            self._pinned_tokens += job.tokens
            self._pinned_by_program[job.program] += job.tokens
            self._evict()
            self._prefill_queue.append(job)
        self._begin_prefill(now_ms)

    def _begin_prefill(self, now_ms: float) -> None:
        if self._prefilling is not None or not self._prefill_queue:
            return
        job = self._prefill_queue.popleft()
        uncached = job.prompt_tokens - job.cached_tokens
        self.computed_tokens += uncached
        self._prefilling = job
        self._prefill_end_ms = (
            now_ms + uncached * MS_PER_S / self._speed.prefill_tokens_per_s
        )

    def _end_prefill(self, now_ms: float) -> None:
        job = self._prefilling
        assert job is not None
        self._prefilling = None
        job.first_token_ms = now_ms
        self._order += 1
        tokens = 0 if job.cancelled else job.answer_tokens
        heapq.heappush(
            self._decoding, (self._progress + tokens, self._order, job)
        )
        self._begin_prefill(now_ms)

    def _end_decode(self) -> list[Job]:
        _, _, job = heapq.heappop(self._decoding)
        del self._jobs[job.call]
        self._pinned_tokens -= job.tokens
        self._pinned_by_program[job.program] -= job.tokens
        if not self._pinned_by_program[job.program]:
            del self._pinned_by_program[job.program]
        if job.cancelled:
            return []
        self._cached_tokens += job.tokens - self._cache.pop(job.program, 0)
        self._cache[job.program] = job.tokens
        self._add_event(pools.CacheEventKind.STORED, job.program, job.tokens)
        self._evict()
        return [job]

    def _evict(self) -> None:
        limit = self._speed.cache_tokens - self._pinned_tokens
        while self._cache and self._cached_tokens > limit:
            program, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
            self._add_event(pools.CacheEventKind.EVICTED, program, tokens)

    def _add_event(
        self, kind: pools.CacheEventKind, program: ids.ProgramId, tokens: int
    ) -> None:
        self._sequence += 1
        self.events.append(
            pools.CacheEvent(self._sequence, kind, program, tokens)
        )
