"""Runs hosts as processes, for tests of SIGKILL and SIGTERM."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from typing import Any, Self

from mangotally.standins import platform

START_TIMEOUT_S = 30.0
POLL_S = 0.05
STOP_TIMEOUT_S = 30.0
COMMAND_PREFIX = [sys.executable, "-m", "mangotally"]


class ProcessFleet:
    """A fleet with the stand-ins in one process and each host in its own."""

    def __init__(self, hosts: int = 3) -> None:
        self._host_count = hosts
        self._directory = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self._operator_ports: dict[str, int] = {}
        self.ready: dict[str, Any] = {}

    def __enter__(self) -> Self:
        try:
            self._start_standins()
            for number in range(1, self._host_count + 1):
                self.start_host(f"h{number}")
            self._wait_for_view(self._host_count)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        for name in list(self._processes):
            self.kill(name)
        self._directory.cleanup()

    def start_host(self, name: str) -> None:
        """Starts a host in a separate process."""
        ports = platform.free_ports(3)
        overrides = {
            "host_id": name,
            "port": ports[0],
            "rpc_port": ports[1],
            "operator_port": ports[2],
        }
        arguments = ["serve", "--settings", str(self.ready["settings"])]
        for key, value in overrides.items():
            arguments += ["--set", f"{key}={value}"]
        self._start(name, arguments)
        self.ports[name] = ports[0]
        self._operator_ports[name] = ports[2]

    def pid(self, name: str) -> int:
        """Returns the id of a process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self.ports.pop(name, None)

    def terminate(self, name: str) -> int:
        """Sends SIGTERM, waits, and returns the exit code."""
        self.send_sigterm(name)
        return self.wait(name)

    def send_sigterm(self, name: str) -> None:
        """Sends SIGTERM."""
        self._processes[name].send_signal(signal.SIGTERM)
        self.ports.pop(name, None)

    def wait(self, name: str) -> int:
        """Waits for a process to exit; returns its exit code."""
        return self._processes.pop(name).wait(STOP_TIMEOUT_S)

    def request(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Sends a request to a host as the sample organisation."""
        key = self.ready["organisations"]["oficinas-porto"]["key"]
        url = f"http://127.0.0.1:{self.ports[name]}{path}"
        return _request(url, key, method, body, headers or {})

    def turn(
        self, name: str, program: str, number: int, text: str
    ) -> tuple[int, Any]:
        """Runs a turn of a program through a host."""
        return self.request(
            name,
            "POST",
            "/v1/chat/completions",
            {
                "model": "assistente",
                "messages": [{"role": "user", "content": text}],
            },
            {
                "Mangotally-Program": program,
                "Mangotally-Turn": str(number),
            },
        )

    def dump(self, name: str) -> dict[str, Any]:
        """Returns a host's state dump."""
        url = f"http://127.0.0.1:{self._operator_ports[name]}/admin/dump"
        key = self.ready["operator_key"]
        status, body = _request(url, key, "GET", None, {})
        assert status == 200, body
        return dict(body)

    def log(self, name: str) -> str:
        """Returns the log that a process has written to standard error."""
        return self._log_path(name).read_text()

    def _start_standins(self) -> None:
        path = pathlib.Path(self._directory.name) / "ready.json"
        self._start(
            "standins", ["local", "--hosts", "0", "--ready-file", str(path)]
        )
        _wait_until(path.exists, self, "standins")
        self.ready = json.loads(path.read_text())

    def _start(self, name: str, arguments: list[str]) -> None:
        environment = dict(os.environ)
        environment.pop("UV_USE_IO_URING", None)
        with self._log_path(name).open("wb") as log:
            self._processes[name] = subprocess.Popen(
                COMMAND_PREFIX + arguments, stderr=log, env=environment
            )

    def _log_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / f"{name}.log"

    def _wait_for_view(self, hosts: int) -> None:
        for name in list(self.ports):
            _wait_until(
                lambda name=name: self._has_view_of(name, hosts), self, name
            )

    def _has_view_of(self, name: str, hosts: int) -> bool:
        try:
            return len(self.dump(name)["view"]) == hosts
        except OSError:
            return False


def _request(
    url: str, key: str, method: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url,
        data,
        {"Authorization": f"Bearer {key}", **headers},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=60) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.loads(error.read())


def _wait_until(condition: Any, fleet: ProcessFleet, name: str) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"{name} did not start: {fleet.log(name)}")
        time.sleep(POLL_S)


class StreamedTurn:
    """A streamed turn that the test reads in two steps."""

    def __init__(
        self, fleet: ProcessFleet, name: str, program: str, words: int
    ) -> None:
        key = fleet.ready["organisations"]["oficinas-porto"]["key"]
        self._connection = http.client.HTTPConnection(
            "127.0.0.1", fleet.ports[name], timeout=STOP_TIMEOUT_S
        )
        body = {
            "model": "assistente",
            "messages": [{"role": "user", "content": "word " * words}],
            "max_tokens": 2 * words,
            "stream": True,
        }
        self._connection.request(
            "POST",
            "/v1/chat/completions",
            json.dumps(body),
            {
                "Authorization": f"Bearer {key}",
                "Mangotally-Program": program,
                "Mangotally-Turn": "1",
            },
        )
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.first = self._response.readline()

    def rest(self) -> bytes:
        """Reads to the end and closes the connection."""
        data = self._response.read()
        self._connection.close()
        return data
