"""Parameters of the fake workers and callers of a replay."""

from __future__ import annotations

import pydantic


class _Strict(pydantic.BaseModel):
    """A model that refuses unknown fields and does not change."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class WorkerParameters(_Strict):
    """How fast a fake worker is.

    Attributes:
        prefill_tokens_per_s: Uncached prompt tokens computed a second.
        decode_ms: Time between tokens of a batch of none.
        decode_ms_per_call: Added to that for each call in the batch.
        prefill_slowdown: Factor on the time between tokens while a prompt
            is computed.
        batch_calls: Calls in the batch at once; others wait inside.
        cache_tokens: Tokens that fit into the memory for prefixes.
    """

    prefill_tokens_per_s: float = pydantic.Field(default=10_000, gt=0)
    decode_ms: float = pydantic.Field(default=20.0, gt=0)
    decode_ms_per_call: float = pydantic.Field(default=0.8, ge=0)
    prefill_slowdown: float = pydantic.Field(default=1.6, ge=1)
    batch_calls: int = pydantic.Field(default=24, ge=1)
    cache_tokens: int = pydantic.Field(default=240_000, ge=1)


class ReportParameters(_Strict):
    """How late and how reliably workers report.

    Attributes:
        load_period_ms: Time between load reports.
        load_lag_ms: How old a load report is when it arrives.
        cache_delay_ms: Shortest delay of a cache event.
        cache_delay_spread_ms: Longest further delay of a cache event.
        cache_loss: Share of cache events that never arrive.
        release_ms: Time for a release and its confirmation.
        release_loss: Share of confirmations that never arrive.
        roster_lag_ms: Time until a lost worker leaves the host list.
        connect_fail_ms: Time until a call to a lost worker fails.
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
    """How callers take a refusal.

    Attributes:
        retry_ms: Shortest wait before a refused call is sent again.
        refusals: Refusals of one call after which its caller gives up.
    """

    retry_ms: float = pydantic.Field(default=1000, gt=0)
    refusals: int = pydantic.Field(default=6, ge=1)


class Parameters(_Strict):
    """All parameters of a replay.

    Attributes:
        seed: Seed of delays and losses.
        worker: Speed of the workers.
        reports: Reports of the workers.
        callers: The callers.
    """

    seed: int = 1
    worker: WorkerParameters = WorkerParameters()
    reports: ReportParameters = ReportParameters()
    callers: CallerParameters = CallerParameters()
