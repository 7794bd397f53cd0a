"""Runs stand-ins in a process, with an engine that has no delays."""

from __future__ import annotations

import contextlib
import json
import pathlib
import sys
from typing import TYPE_CHECKING

from mangotally.commands import process
from mangotally.settings import lists
from mangotally.standins import deployments, engine, platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODEL = "bench-model"
PLAIN = "bench-service"
RATE_PER_S = 1_000_000.0
APPENDS_PER_S = 100_000.0
WORKER_CALLS = 256


def deployment(organisations: int, workers: int) -> deployments.Deployment:
    """Returns a deployment with rate limits that are never reached."""
    groups = (
        deployments.WorkerGroup(MODEL, workers, lists.ServiceKind.MODEL),
        deployments.WorkerGroup(PLAIN, 1, lists.ServiceKind.PLAIN),
    )
    names = [f"org-{number}" for number in range(organisations)]
    plan = lists.Plan(
        name="bench",
        rate_per_s=RATE_PER_S,
        burst=RATE_PER_S,
        services=(MODEL, PLAIN),
    )
    services = tuple(
        lists.Service(
            id=item.service, kind=item.kind, worker_calls=WORKER_CALLS
        )
        for item in groups
    )
    return deployments.Deployment(
        "bench",
        ("place-1", "place-2", "place-3"),
        groups,
        lists.PlanList(
            organisations=tuple(
                lists.Organisation(id=name, plan="bench") for name in names
            )
        ),
        lists.UseList(plans=(plan,), services=services),
    )


@contextlib.asynccontextmanager
async def _serve(
    path: pathlib.Path, organisations: int, workers: int
) -> AsyncIterator[None]:
    speed = engine.EngineSpeed(0.0, 0.0, 0.0)
    found = platform.Platform(deployment(organisations, workers), speed)
    async with found:
        settings = found.host_settings(1).model_dump(
            mode="json",
            exclude={
                "host_id",
                "port",
                "rpc_port",
                "operator_port",
                "heartbeat_ms",
                "lease_ms",
                "load_poll_ms",
            },
        )
        settings["log"]["appends_per_s"] = APPENDS_PER_S
        body = {
            "settings": settings,
            "operator_key": found.operator_key,
            "keys": {name: key for name, (_, key) in found.keys.items()},
            "engines": [item.url for item in found.engines.values()],
        }
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(body))
        partial.replace(path)
        yield


if __name__ == "__main__":
    process.run_until_stopped(
        lambda: _serve(
            pathlib.Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
        )
    )
