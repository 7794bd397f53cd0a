"""A fleet of processes for benchmarks, and their resource usage."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.request
from typing import Any, Self

from mangotally.standins import platform

START_TIMEOUT_S = 60.0
POLL_S = 0.05
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_ms: Total CPU time, user and system.
        resident_bytes: Resident memory, including shared pages.
        private_bytes: Resident memory that is not backed by files.
    """

    cpu_ms: float
    resident_bytes: int
    private_bytes: int


def usage_of(pid: int) -> Usage:
    """Returns the resource usage of a process."""
    root = pathlib.Path(f"/proc/{pid}")
    fields = (root / "stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    memory = (root / "statm").read_text().split()
    resident, shared = int(memory[1]), int(memory[2])
    return Usage(
        ticks * 1000 / _TICKS_PER_S,
        resident * _PAGE_BYTES,
        (resident - shared) * _PAGE_BYTES,
    )


class BenchFleet:
    """A process with all stand-ins, and one process per host."""

    def __init__(
        self, hosts: int, organisations: int = 1, workers: int = 1
    ) -> None:
        """Creates a fleet, whose processes are started on entry."""
        self._hosts = hosts
        self._organisations = organisations
        self._workers = workers
        self._stack = contextlib.ExitStack()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ready: dict[str, Any] = {}
        self.ports: dict[str, tuple[int, int, int]] = {}

    def __enter__(self) -> Self:
        """Starts the processes and waits until each host sees all hosts."""
        folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._stack.callback(self._stop)
        ready = folder / "ready.json"
        self._start(
            "standins",
            [
                "benches.standins",
                str(ready),
                str(self._organisations),
                str(self._workers),
            ],
        )
        _wait(ready.exists)
        self.ready = json.loads(ready.read_text())
        settings = folder / "settings.yaml"
        settings.write_text(json.dumps(self.ready["settings"]))
        for number in range(1, self._hosts + 1):
            self._start_host(f"h{number}", settings, number)
        for name in self.ports:
            _wait(lambda name=name: self._sees_all(name))
        return self

    def __exit__(self, *_exc: object) -> None:
        """Kills the processes and removes their files."""
        self._stack.close()

    def url(self, name: str) -> str:
        """Returns the base URL of a host for callers."""
        return f"http://127.0.0.1:{self.ports[name][0]}"

    def key(self) -> str:
        """Returns the API key of the first organisation."""
        return str(next(iter(self.ready["keys"].values())))

    def usage(self, name: str) -> Usage:
        """Returns the resource usage of a process."""
        return usage_of(self.processes[name].pid)

    def dump(self, name: str) -> dict[str, Any]:
        """Returns the state dump of a host."""
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.ports[name][2]}/admin/dump",
            headers={"Authorization": f"Bearer {self.ready['operator_key']}"},
        )
        with urllib.request.urlopen(request, timeout=10) as response:
            return dict(json.loads(response.read()))

    def _start_host(
        self, name: str, settings: pathlib.Path, number: int
    ) -> None:
        ports = platform.free_ports(3)
        self.ports[name] = (ports[0], ports[1], ports[2])
        arguments = ["mangotally", "serve", "--settings", str(settings)]
        for text in (
            f"host_id={name}",
            f"port={ports[0]}",
            f"rpc_port={ports[1]}",
            f"operator_port={ports[2]}",
            f"place=place-{number % 3 + 1}",
        ):
            arguments += ["--set", text]
        self._start(name, arguments)

    def _start(self, name: str, arguments: list[str]) -> None:
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments], stderr=subprocess.DEVNULL
        )

    def _sees_all(self, name: str) -> bool:
        try:
            return len(self.dump(name)["view"]) == self._hosts
        except OSError:
            return False

    def _stop(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()


def _wait(condition: Any) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError("the fleet did not start in time")
        time.sleep(POLL_S)
