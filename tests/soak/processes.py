"""Entry hosts in separate processes, controlled by signals."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import yaml

from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    import pathlib

STOP_GRACE_S = 4.0
POLL_MS = 20.0
CALLERS_PORT = 7001
READINESS_PORT = 7002
HOSTS_PORT = 7003
METRICS_PORT = 7004
FAILURE_DOMAINS = 3
WITHDRAWN_KEY_MS = 2500
RATE_WINDOW_S = 5
RATE_OVERSHOOT = 0.1
RATE_SLACK = 20
# Every third host is strong compared with the others, which therefore are no
# homes if there are enough strong ones.
STRONG_EVERY = 3
STRONG_SHARE = 2.0
WEAK_SHARE = 0.4


def host_ip(number: int) -> str:
    """Returns a loopback address that concurrent soaks do not use."""
    pid = os.getpid()
    return f"127.{64 + pid // 250 % 128}.{1 + pid % 250}.{1 + number}"


class HostProcess:
    """One entry host, whose process may be started several times.

    Attributes:
        name: The id of the host.
        ip: Address on which it listens.
        starts: How often the process was started.
        started_ms: When it was last started.
        should_run: Whether the soak expects the process to be running.
        unexpected_exit_codes: Exit codes of processes that ended without
            a signal from the soak.
    """

    def __init__(
        self,
        number: int,
        store: str,
        folder: pathlib.Path,
        withdrawn_key_ms: float = WITHDRAWN_KEY_MS,
    ) -> None:
        """Writes the settings file; does not start the process.

        Args:
            number: Number of the host, from 0.
            store: Address at which this host reaches the store.
            folder: Folder for the settings file and the log.
            withdrawn_key_ms: How long a withdrawn key may be used.
        """
        self.name = f"h{number}"
        self.ip = host_ip(number)
        self._clock = clock_lib.BootClock()
        self.starts = 0
        self.started_ms = 0.0
        self.should_run = False
        self.unexpected_exit_codes: list[int] = []
        self._settings = folder / f"{self.name}.yaml"
        self._log = folder / f"{self.name}.log"
        settings = self._make_settings(number, store)
        settings["bounds"]["withdrawn_key_ms"] = withdrawn_key_ms
        self._settings.write_text(yaml.safe_dump(settings))
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """URL for callers."""
        return f"http://{self.ip}:{CALLERS_PORT}"

    @property
    def readiness_url(self) -> str:
        """URL of the readiness check, for the load balancer."""
        return f"http://{self.ip}:{READINESS_PORT}/readyz"

    @property
    def hosts_address(self) -> str:
        """Address on which it listens for other hosts."""
        return f"{self.ip}:{HOSTS_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether its process exists; records an unexpected exit."""
        if self._process is None:
            return False
        code = self._process.poll()
        if code is None:
            return True
        if self.should_run:
            self.unexpected_exit_codes.append(code)
        self._process = None
        return False

    @property
    def pid(self) -> int:
        """Id of its process, which must be running."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Starts the process unless it is running."""
        if self.is_running:
            return
        environment = dict(os.environ)
        environment.pop("UV_USE_IO_URING", None)
        arguments = ["--settings", str(self._settings)]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "mangotally.entry", *arguments],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.starts += 1
        self.started_ms = self._clock.now_ms()
        self.should_run = True

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it exists."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_running  # noqa: B018 - records an earlier exit
            self.should_run = False
        if self._process is not None:
            self._process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float = STOP_GRACE_S) -> None:
        """Waits for the process to exit; kills it after the timeout."""
        for _ in range(int(timeout_s * clock_lib.MS_PER_S / POLL_MS)):
            if not self.is_running:
                return
            await asyncio.sleep(clock_lib.to_seconds(POLL_MS))
        self.kill()

    def kill(self) -> None:
        """Kills the process and reaps it."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
            self._process = None

    def _make_settings(self, number: int, store: str) -> dict[str, Any]:
        # Failure domains and strength change in different steps, so that each
        # domain has strong hosts.
        is_strong = number // FAILURE_DOMAINS % STRONG_EVERY == 0
        return {
            "host": self.name,
            "failure_domain": f"z{number % FAILURE_DOMAINS}",
            "processor": {"share": STRONG_SHARE if is_strong else WEAK_SHARE},
            "listen": {
                "callers": f"{self.ip}:{CALLERS_PORT}",
                "readiness": f"{self.ip}:{READINESS_PORT}",
                "hosts": self.hosts_address,
                "metrics": f"{self.ip}:{METRICS_PORT}",
            },
            "store": {"address": store},
            "bounds": {
                "grace_s": STOP_GRACE_S,
                "rate_window_s": RATE_WINDOW_S,
                "rate_overshoot": RATE_OVERSHOOT,
                "rate_slack": RATE_SLACK,
            },
        }
