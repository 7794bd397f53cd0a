"""Resource usage of an idle host, by the number of hosts in the fleet."""

from __future__ import annotations

import pathlib
import sys
import time

from benches import fleet as fleet_lib
from benches import report

HOSTS = (4, 8, 16, 24)
SETTLE_S = 5.0
WINDOW_S = 20.0
TARGET_HOSTS = 920
CPU_LIMIT_SHARE = 0.012
RESIDENT_LIMIT_MB = 64.0
TRAFFIC_LIMIT_BYTES_PER_S = 3000.0
_MB = 1_000_000


def main() -> None:
    """Prints the usage of one host, and its slope by number of hosts."""
    cpu: list[tuple[float, float]] = []
    traffic: list[tuple[float, float]] = []
    resident: list[tuple[float, float]] = []
    for hosts in HOSTS:
        usage = _measure(hosts)
        cpu.append((hosts, usage[0]))
        traffic.append((hosts, usage[1]))
        resident.append((hosts, usage[2]))
        report.print_figure(
            f"{hosts} hosts: processor", usage[0], "share", CPU_LIMIT_SHARE
        )
        report.print_figure(
            f"{hosts} hosts: read and written",
            usage[1],
            "B/s",
            TRAFFIC_LIMIT_BYTES_PER_S,
        )
        report.print_figure(
            f"{hosts} hosts: resident", usage[2], "MB", RESIDENT_LIMIT_MB
        )
    _extrapolate("processor", cpu, "share", CPU_LIMIT_SHARE)
    _extrapolate("traffic", traffic, "B/s", TRAFFIC_LIMIT_BYTES_PER_S)
    _extrapolate("resident", resident, "MB", RESIDENT_LIMIT_MB)


def _extrapolate(
    what: str, points: list[tuple[float, float]], unit: str, limit: float
) -> None:
    intercept, slope = report.fit_line(points)
    report.print_figure(f"{what}: at no other host", intercept, unit)
    report.print_figure(f"{what}: for each host", slope, unit)
    report.print_figure(
        f"{what}: line at {TARGET_HOSTS} hosts",
        intercept + slope * TARGET_HOSTS,
        unit,
        limit,
    )


def _measure(hosts: int) -> tuple[float, float, float]:
    print(f"{hosts} hosts ...", file=sys.stderr, flush=True)
    with fleet_lib.BenchFleet(hosts) as fleet:
        time.sleep(SETTLE_S)
        pid = fleet.processes["h1"].pid
        before, transferred = fleet.usage("h1"), _transferred_bytes(pid)
        time.sleep(WINDOW_S)
        after, transferred_after = fleet.usage("h1"), _transferred_bytes(pid)
    return (
        (after.cpu_ms - before.cpu_ms) / (WINDOW_S * 1000),
        (transferred_after - transferred) / WINDOW_S,
        after.resident_bytes / _MB,
    )


def _transferred_bytes(pid: int) -> int:
    lines = pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    values = dict(line.split(": ") for line in lines)
    return int(values["rchar"]) + int(values["wchar"])


if __name__ == "__main__":
    main()
