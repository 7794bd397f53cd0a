"""Integration tests of hosts that run in separate processes."""

from __future__ import annotations

import os
import pathlib
import unittest

from tests import processes

WORDS = 1500


class ProcessTest(unittest.TestCase):
    """Each host runs in a separate process."""

    def test_killed_home_loses_nothing(self) -> None:
        """A program continues after its home was killed between two turns.

        The home of a program is the host that owns its state.
        """
        with processes.ProcessFleet(hosts=3) as fleet:
            program = _open(fleet, "h1")
            status, _ = fleet.turn("h2", program, 1, "first")
            self.assertEqual(status, 200)
            home = _find_home(fleet)
            fleet.kill(home)
            entry = next(iter(fleet.ports))
            status, answer = fleet.turn(entry, program, 2, "second")
            self.assertEqual(status, 200, answer)
            text = answer["choices"][0]["message"]["content"]
            self.assertIn("turn 2 of 3 messages", text)

    def test_processes_have_no_children_and_no_io_uring(self) -> None:
        """A process starts no child processes and opens no io_uring."""
        with processes.ProcessFleet(hosts=1) as fleet:
            program = _open(fleet, "h1")
            status, _ = fleet.turn("h1", program, 1, "first")
            self.assertEqual(status, 200)
            for name in ("standins", "h1"):
                pid = fleet.pid(name)
                self.assertEqual(_children(pid), "")
                self.assertEqual(_io_urings(pid), [])

    def test_stop_cuts_no_stream(self) -> None:
        """Streams are completed when their entry host or home stops."""
        with processes.ProcessFleet(hosts=3) as fleet:
            names = ("h1", "h2", "h3") * 3
            streams = [
                processes.StreamedTurn(fleet, name, _open(fleet, name), WORDS)
                for name in names
            ]
            self.assertEqual({item.status for item in streams}, {200})
            fleet.send_sigterm("h1")
            fleet.send_sigterm("h2")
            ends = [item.rest()[-14:] for item in streams]
            codes = [fleet.wait("h1"), fleet.wait("h2")]
            self.assertEqual(set(ends), {b"data: [DONE]\n\n"})
            self.assertEqual(codes, [0, 0])
            for line in fleet.log("h1").splitlines():
                self.assertRegex(line, r"^time=\S+ ?\S+ level=\w+ .*event=\w+")

    def test_stop_on_signal(self) -> None:
        """SIGTERM ends a host with exit code 0 and removes it from the view."""
        with processes.ProcessFleet(hosts=2) as fleet:
            self.assertEqual(fleet.terminate("h1"), 0)
            status, _ = fleet.request(
                "h2", "POST", "/v1/programs", {"service": "assistente"}
            )
            self.assertEqual(status, 201)


def _open(fleet: processes.ProcessFleet, name: str) -> str:
    status, body = fleet.request(
        name, "POST", "/v1/programs", {"service": "assistente"}
    )
    assert status == 201, body
    return str(body["program_id"])


def _find_home(fleet: processes.ProcessFleet) -> str:
    for name in fleet.ports:
        if fleet.dump(name)["programs"]["programs"]:
            return name
    raise AssertionError("no host is the program's home")


def _children(pid: int) -> str:
    tasks = pathlib.Path(f"/proc/{pid}/task")
    return "".join((task / "children").read_text() for task in tasks.iterdir())


def _io_urings(pid: int) -> list[str]:
    found = []
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            link = os.readlink(entry)
        except FileNotFoundError:
            continue
        if "io_uring" in link:
            found.append(link)
    return found
