"""Parameters of the simulated workers and callers of a replay."""

from __future__ import annotations

import pydantic


class _Strict(pydantic.BaseModel):
    """An immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class WorkerParameters(_Strict):
    """Speed and capacity of a simulated worker.

    Attributes:
        prefill_tokens_per_s: Uncached prompt tokens that are prefilled per
            second.
        decode_ms: Time between tokens for an empty batch.
        decode_ms_per_call: Added to that for each call in the batch.
        prefill_slowdown: Factor on the time between tokens during the
            prefill of a prompt.
        batch_calls: Maximum batch size; further calls queue in the worker.
        cache_tokens: Memory for running calls and cached prefixes, in
            tokens.
    """

    prefill_tokens_per_s: float = pydantic.Field(default=10_000, gt=0)
    decode_ms: float = pydantic.Field(default=20.0, gt=0)
    decode_ms_per_call: float = pydantic.Field(default=0.8, ge=0)
    prefill_slowdown: float = pydantic.Field(default=1.6, ge=1)
    batch_calls: int = pydantic.Field(default=24, ge=1)
    cache_tokens: int = pydantic.Field(default=240_000, ge=1)


class ReportParameters(_Strict):
    """Delays and losses of the reports of workers.

    Attributes:
        load_period_ms: Interval between load reports.
        load_lag_ms: Age of a load report on arrival.
        cache_delay_ms: Minimum delay of a cache event.
        cache_delay_spread_ms: Maximum additional delay of a cache event.
        cache_loss: Fraction of cache events that are lost.
        release_ms: Delay of a release and its confirmation.
        release_loss: Fraction of confirmations that are lost.
        roster_lag_ms: Delay until a lost worker is removed from the host
            list.
        connect_fail_ms: Delay until a call to a lost worker fails.
    """

    load_period_ms: float = pydantic.Field(default=1000, gt=0)
    load_lag_ms: float = pydantic.Field(default=600, ge=0)
    cache_delay_ms: float = pydantic.Field(default=300, ge=0)
    cache_delay_spread_ms: float = pydantic.Field(default=2500, ge=0)
    cache_loss: float = pydantic.Field(default=0.1, ge=0, le=1)
    release_ms: float = pydantic.Field(default=30, ge=0)
    release_loss: float = pydantic.Field(default=0.1, ge=0, lt=1)
    roster_lag_ms: float = pydantic.Field(default=2500, ge=0)
    connect_fail_ms: float = pydantic.Field(default=250, ge=0)


class CallerParameters(_Strict):
    """How callers respond to a refusal.

    Attributes:
        retry_ms: Minimum wait before a refused call is retried.
        refusals: Number of refusals of one call that its caller retries; the
            next one ends the program.
    """

    retry_ms: float = pydantic.Field(default=1000, gt=0)
    refusals: int = pydantic.Field(default=6, ge=1)


class Parameters(_Strict):
    """All parameters of a replay.

    Attributes:
        seed: Seed of the random delays and losses.
        worker: Speed and capacity of the workers.
        reports: Delays and losses of the workers' reports.
        callers: Behaviour of the callers.
    """

    seed: int = 1
    worker: WorkerParameters = WorkerParameters()
    reports: ReportParameters = ReportParameters()
    callers: CallerParameters = CallerParameters()
