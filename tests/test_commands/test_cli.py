"""Tests of the command-line interface."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
from typing import Any
from unittest import mock

import yaml

from mangotally import application
from mangotally.commands import arguments, cli, fleet, local
from mangotally.settings import host, loader
from mangotally.standins import platform
from tests import fleet as fleet_lib

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
PLANS = str(EXAMPLES / "plans.yaml")
USES = str(EXAMPLES / "uses.yaml")


def run(*command: str) -> tuple[int, str, str]:
    """Runs a command in this process; returns exit code, stdout, stderr."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = arguments.run(cli.Commands, list(command))
    return code, out.getvalue(), err.getvalue()


class UseTest(unittest.TestCase):
    """Valid and invalid arguments."""

    def test_entry_with_unreadable_settings_is_a_usage_error(self) -> None:
        with mock.patch("mangotally.entry.command.logs.configure"):
            code, _, _ = run("entry", "--settings", "/nonexistent.yaml")
        self.assertEqual(code, arguments.EXIT_USAGE_ERROR)

    def test_usage_errors_are_one_line_and_code_2(self) -> None:
        """Each usage error is explained in one line."""
        for command, reason in (
            (["nope"], "nope"),
            (["--nope"], "--nope"),
            (["key"], "missing"),
            (["key", "nope"], "nope"),
            (["key", "give"], "organisation"),
            (["key", "give", "--organisation"], "needs a value"),
            (["serve"], "settings"),
            (["serve", "--settings", "x", "--nope", "1"], "--nope"),
            (["serve", "--settings", "x", "nope"], "nope"),
            (["serve", "--settings", "x", "--set"], "--set"),
            (["serve", "--settings", PLANS, "--set", "x"], "not name=value"),
            (["serve", "--settings", "/none"], "No such file"),
            (["local", "--hosts", "abc"], "--hosts abc: not a number"),
            (["local", "--hosts", "-1"], "--hosts -1"),
            (["local", "--port", "70000"], "--port"),
            (["local", "--deployment", "x"], "--deployment x"),
            (["check"], "name a file"),
            (["dump"], "host"),
            (["dump", "h1", "--operators", "x"], "not an http"),
            (["publish", "--plans", PLANS], "uses"),
        ):
            with self.subTest(command=command):
                code, out, err = run(*command)
                self.assertEqual((code, out), (arguments.EXIT_USAGE_ERROR, ""))
                self.assertIn(reason, err)
                self.assertEqual(err.count("\n"), 1, err)

    def test_operator_key_comes_from_the_environment(self) -> None:
        """Without the variable, no request is sent."""
        with mock.patch.dict(os.environ, clear=True):
            code, _, err = run("key", "list", "--operators", "http://x")
        self.assertEqual(code, arguments.EXIT_USAGE_ERROR)
        self.assertIn(fleet.KEY_VARIABLE, err)

    def test_check(self) -> None:
        """File kinds are detected; an error results in exit code 1."""
        settings = str(EXAMPLES / "settings.yaml")
        code, out, _ = run("check", settings, PLANS, USES)
        self.assertEqual((code, out.count(" ok\n")), (0, 3))
        code, out, err = run("check", settings, "--set", "port=0")
        self.assertEqual((code, out), (arguments.EXIT_FAILED, ""))
        self.assertIn("settings.yaml:", err)
        self.assertIn("port: ", err)

    def test_help(self) -> None:
        """Each command is listed, and its options are described."""
        code, text, _ = run("--help")
        self.assertEqual(code, 0)
        for name in ("serve", "check", "publish", "key", "dump", "local"):
            self.assertRegex(text, rf"\n     {name}\n")
        code, text, _ = run("help", "local")
        self.assertEqual(code, 0)
        self.assertIn("--ready_file", text)
        self.assertNotIn("FIRE_METADATA", text)


class ProcessTest(unittest.TestCase):
    """The command-line interface as a process."""

    def test_exit_code(self) -> None:
        """The exit code is returned and the reason written to stderr."""
        found = subprocess.run(
            [sys.executable, "-m", "mangotally", "nope"],
            capture_output=True,
            check=False,
        )
        self.assertEqual(found.returncode, arguments.EXIT_USAGE_ERROR)
        self.assertEqual(found.stdout, b"")
        self.assertIn(b"nope", found.stderr)


class FleetCommandTest(unittest.IsolatedAsyncioTestCase):
    """Commands against a running fleet."""

    async def asyncSetUp(self) -> None:
        """Starts two hosts."""
        self.fleet = fleet_lib.Fleet(hosts=2)
        await self.enterAsyncContext(self.fleet)
        settings = self.fleet.local.hosts[0].settings
        self.url = (
            f"http://{settings.address}:{settings.effective_operator_port}"
        )
        key = self.fleet.local.platform.operator_key
        variables = {fleet.KEY_VARIABLE: key, fleet.URL_VARIABLE: self.url}
        self.enterContext(mock.patch.dict(os.environ, variables))

    async def run_command(self, *command: str) -> tuple[int, Any, str]:
        """Runs a command in a separate thread while the fleet runs."""
        code, out, err = await asyncio.to_thread(run, *command)
        return code, yaml.safe_load(out), err

    async def test_commands(self) -> None:
        """One host serves key, list and dump requests for the whole fleet."""
        give_command = ("key", "give", "--organisation", "escola-braga")
        lists = ("--plans", PLANS, "--uses", USES)
        results = [
            await self.run_command(*command)
            for command in (
                give_command,
                ("dump", "h2"),
                ("dump", "h9"),
                ("publish", *lists),
                ("publish", *lists, "--predecessor", "7"),
            )
        ]
        codes = [code for code, _, _ in results]
        self.assertEqual(codes, [0, 0, 1, 0, 1], results)
        self.assertEqual(set(results[0][1]), {"key_id", "key"})
        dump = results[1][1]
        self.assertEqual(
            (dump["host"], set(dump["view"])), ("h2", {"h1", "h2"})
        )
        for name in ("connections", "configuration", "lease_ms", "pools"):
            self.assertIn(name, dump)
        self.assertEqual(results[3][1], {"version": 2, "predecessor": 1})
        self.assertIn("status 409", results[4][2])
        key_id = results[0][1]["key_id"]
        code, listed, _ = await self.run_command("key", "list")
        self.assertIn(key_id, [item["key_id"] for item in listed])
        code, _, _ = await self.run_command("key", "withdraw", "--id", key_id)
        self.assertEqual(code, 0)
        code, _, err = await self.run_command("key", "withdraw", "--id", key_id)
        self.assertEqual((code, err.count("\n")), (1, 1), err)


class StandInsAloneTest(unittest.IsolatedAsyncioTestCase):
    """Hosts that join a platform of stand-ins with its settings file."""

    async def test_settings_file(self) -> None:
        """A host needs only an id, ports and optionally another address."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        ready = pathlib.Path(directory) / "ready.json"
        async with local.LocalFleet("lakeshore", 0, ready):
            path = pathlib.Path(json.loads(ready.read_text())["settings"])
            for number, address in ((1, "127.0.0.1"), (2, "127.0.0.5")):
                port = platform.free_ports(1)[0]
                values = {
                    "host_id": f"h{number}",
                    "port": port,
                    "address": address,
                    "rpc_port": platform.free_ports(1)[0],
                    "operator_port": platform.free_ports(1)[0],
                }
                loaded = loader.load(host.HostSettings, path, values)
                started = application.Application(loaded.unwrap())
                await self.enterAsyncContext(started)
                self.assertIn(f"h{number}", started.dump()["view"])
