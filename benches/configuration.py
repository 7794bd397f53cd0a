"""Size and processing time of the configuration, by organisations.

python -m benches.configuration
"""

from __future__ import annotations

import pathlib
import time

from mangotally import ids
from mangotally.policy import configuration, records
from mangotally.settings import lists

SIZES = (10, 100, 1000, 12_000)
KEYS_PER_ORGANISATION = 2
ROUNDS = 20
US_PER_S = 1_000_000
PAGE_KIB = 4


def main() -> None:
    """Prints one line per number of organisations."""
    print(
        "organisations version_bytes delta_bytes snapshot_bytes "
        "publish_us apply_us lookup_us restore_ms memory_kib"
    )
    for size in SIZES:
        print(*_measure(size))


def _measure(size: int) -> list[object]:
    before_kib = _resident_kib()
    base = _lists(size, changed=False)
    first = records.ConfigurationVersion(1, 0, base)
    state = configuration.Configuration()
    state.apply(first, ids.Offset(0))
    for number in range(size * KEYS_PER_ORGANISATION):
        offset = ids.Offset(number + 1)
        key = configuration.digest_key(str(number))
        organisation = ids.OrganisationId(f"organisation-{number % size}")
        state.apply(
            records.KeyGiven(
                ids.KeyId(f"k{number:012x}"), organisation, key, offset
            ),
            offset,
        )
    memory_kib = _resident_kib() - before_kib
    end = ids.Offset(size * KEYS_PER_ORGANISATION + 1)
    delta, publish_us = _publish(base, _lists(size, changed=True))
    data = records.registry.encode_batch([delta])
    apply_us = _time_us(lambda: _decode_and_merge(base, data))
    name = ids.OrganisationId(f"organisation-{size - 1}")
    lookup_us = _time_us(lambda: base.organisation_plan(name))
    snapshot = state.snapshot(end, 0)
    snapshot_data = records.registry.encode_batch([snapshot])
    return [
        size,
        len(records.registry.encode_batch([first])),
        len(data),
        len(snapshot_data),
        round(publish_us),
        round(apply_us),
        round(lookup_us, 2),
        round(_time_us(lambda: _restore(snapshot_data, end)) / 1000, 1),
        memory_kib,
    ]


def _publish(
    base: lists.Lists, content: lists.Lists
) -> tuple[records.ConfigurationDelta, float]:
    attempt = ids.AttemptId("a")
    delta = configuration.make_delta(base, content, 2, attempt)
    publish_us = _time_us(
        lambda: configuration.make_delta(base, content, 2, attempt)
    )
    return delta, publish_us


def _decode_and_merge(base: lists.Lists, data: bytes) -> None:
    record = records.registry.decode_batch(data)[0].unwrap()
    merged = configuration.apply_delta(base, record)
    assert merged is not None
    assert merged.digest() == record.digest


def _restore(data: bytes, offset: ids.Offset) -> None:
    state = configuration.Configuration()
    state.mark_incomplete()
    state.apply(records.registry.decode_batch(data)[0].unwrap(), offset)
    assert state.is_complete


def _time_us(function: object) -> float:
    assert callable(function)
    started_s = time.perf_counter()
    for _ in range(ROUNDS):
        function()
    return (time.perf_counter() - started_s) / ROUNDS * US_PER_S


def _lists(size: int, changed: bool) -> lists.Lists:
    organisations = tuple(
        lists.Organisation(id=f"organisation-{number}", plan="small")
        for number in range(size)
    )
    if changed:
        other = lists.Organisation(id="organisation-0", plan="large")
        organisations = (other, *organisations[1:])
    plans = tuple(
        lists.Plan(name=name, rate_per_s=5, burst=10, services=("model",))
        for name in ("small", "large")
    )
    service = lists.Service(id="model", kind=lists.ServiceKind.MODEL)
    return lists.Lists(
        plans=lists.PlanList(organisations=organisations),
        uses=lists.UseList(plans=plans, services=(service,)),
    )


def _resident_kib() -> int:
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_KIB


if __name__ == "__main__":
    main()
