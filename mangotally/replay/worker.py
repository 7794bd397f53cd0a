"""A fake worker at the interface: batching and a prefix cache."""

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
    """A call inside a worker.

    Attributes:
        call: Its id.
        program: Whose prefix it extends.
        prompt_tokens: Length of the prompt.
        answer_tokens: Length of the answer.
        entered_ms: When the worker let it in.
        cached_tokens: Prompt tokens found in the cache.
        first_token_ms: When the prompt was computed.
        cancelled: Whether it was taken back.
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
        """Memory that the call takes, in tokens."""
        return self.prompt_tokens + self.answer_tokens


class Worker:
    """Lets every call in as it comes; knows no priorities.

    A call waits for a place in the batch and for memory, then its prompt
    is computed, one prompt at a time, then it is decoded with the batch.
    """

    def __init__(
        self,
        target: ids.TargetId,
        failure_domain: ids.FailureDomainId,
        speed: parameters.WorkerParameters,
    ) -> None:
        """Makes an idle worker with an empty cache."""
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
        """Loses the worker; returns the calls inside it."""
        jobs = [job for job in self._jobs.values() if not job.cancelled]
        self.is_alive = False
        self.generation += 1
        self.events.clear()
        self._reset()
        return jobs

    def restart(self, now_ms: float) -> None:
        """Brings the worker back with an empty cache."""
        self.is_alive = True
        self._updated_ms = now_ms

    def submit(self, job: Job, now_ms: float) -> None:
        """Lets a call in."""
        self._move(now_ms)
        self._jobs[job.call] = job
        self._waiting.append(job)
        self._admit(now_ms)

    def cancel(self, call: ids.CallId, now_ms: float) -> None:
        """Takes a call back; its prefix is dropped."""
        job = self._jobs.get(call)
        if job is None:
            return
        self._move(now_ms)
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
        """Drops a prefix; returns whether none is held any more."""
        self._cached -= self._cache.pop(program, 0)
        return not self._pins.get(program)

    def held_tokens(self, program: ids.ProgramId) -> int:
        """Returns the tokens held for a program."""
        return self._cache.get(program, 0) + self._pins.get(program, 0)

    def load(self) -> pools.LoadReport:
        """Returns the load as of now."""
        return pools.LoadReport(
            running=len(self._jobs) - len(self._waiting),
            waiting=len(self._waiting),
            cached_tokens=self._cached + self._pinned,
            cache_capacity_tokens=self._speed.cache_tokens,
            age_ms=0.0,
        )

    def next_event_ms(self) -> float | None:
        """Returns when something happens inside, or None."""
        times = []
        if self._prefilling is not None:
            times.append(self._prefill_end_ms)
        if self._decoding:
            left = self._decoding[0][0] - self._progress
            times.append(self._updated_ms + max(0.0, left) * self._token_ms())
        return min(times, default=None)

    def advance(self, now_ms: float) -> list[Job]:
        """Moves on to a time; returns the calls that are done."""
        done: list[Job] = []
        while True:
            due_ms = self.next_event_ms()
            if due_ms is None or due_ms > now_ms:
                break
            self._move(due_ms)
            if self._prefilling is not None and due_ms >= self._prefill_end_ms:
                self._end_prefill(due_ms)
                continue
            done += self._end_decode()
            self._admit(due_ms)
        self._move(now_ms)
        return done

    def _reset(self) -> None:
        self._jobs: dict[ids.CallId, Job] = {}
        self._waiting: collections.deque[Job] = collections.deque()
        self._prompts: collections.deque[Job] = collections.deque()
        self._prefilling: Job | None = None
        self._prefill_end_ms = 0.0
        self._decoding: list[tuple[float, int, Job]] = []
        self._order = 0
        self._progress = 0.0
        self._updated_ms = 0.0
        self._cache: collections.OrderedDict[ids.ProgramId, int] = (
            collections.OrderedDict()
        )
        self._pins: collections.Counter[ids.ProgramId] = collections.Counter()
        self._cached = 0
        self._pinned = 0

    def _token_ms(self) -> float:
        speed = self._speed
        token_ms = (
            speed.decode_ms + len(self._decoding) * speed.decode_ms_per_call
        )
        if self._prefilling is not None:
            token_ms *= speed.prefill_slowdown
        return token_ms

    def _move(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            if self._decoding:
                self._progress += elapsed_ms / self._token_ms()
            self._updated_ms = now_ms

    def _admit(self, now_ms: float) -> None:
        while self._waiting:
            job = self._waiting[0]
            inside = len(self._jobs) - len(self._waiting)
            fits = self._pinned + job.tokens <= self._speed.cache_tokens
            if inside >= self._speed.batch_calls or (inside and not fits):
                break
            self._waiting.popleft()
            held = self._cache.pop(job.program, 0)
            self._cached -= held
            job.cached_tokens = min(held, job.prompt_tokens)
            self._pinned += job.tokens
            self._pins[job.program] += job.tokens
            self._evict()
            self._prompts.append(job)
        self._begin_prefill(now_ms)

    def _begin_prefill(self, now_ms: float) -> None:
        if self._prefilling is not None or not self._prompts:
            return
        job = self._prompts.popleft()
        fresh = job.prompt_tokens - job.cached_tokens
        self.computed_tokens += fresh
        self._prefilling = job
        self._prefill_end_ms = (
            now_ms + fresh * MS_PER_S / self._speed.prefill_tokens_per_s
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
        self._pinned -= job.tokens
        self._pins[job.program] -= job.tokens
        if not self._pins[job.program]:
            del self._pins[job.program]
        if job.cancelled:
            return []
        self._cached += job.tokens - self._cache.pop(job.program, 0)
        self._cache[job.program] = job.tokens
        self._event(pools.CacheEventKind.STORED, job.program, job.tokens)
        self._evict()
        return [job]

    def _evict(self) -> None:
        limit = self._speed.cache_tokens - self._pinned
        while self._cache and self._cached > limit:
            program, tokens = self._cache.popitem(last=False)
            self._cached -= tokens
            self._event(pools.CacheEventKind.EVICTED, program, tokens)

    def _event(
        self, kind: pools.CacheEventKind, program: ids.ProgramId, tokens: int
    ) -> None:
        self._sequence += 1
        self.events.append(
            pools.CacheEvent(self._sequence, kind, program, tokens)
        )
