"""Tests of settings that are loaded without the validation library."""

from __future__ import annotations

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest
from types import MappingProxyType

import hypothesis
from hypothesis import strategies
from returns import result

from mangotally.settings import entry, loader, prepared, yaml_files
from tests import stateful

ROOT = pathlib.Path(__file__).resolve().parents[2]
VALID = {
    "host": "h1",
    "failure_domain": "z",
    "listen": {
        "callers": "10.0.0.1:80",
        "readiness": "10.0.0.1:81",
        "hosts": "10.0.0.1:82",
        "metrics": "10.0.0.1:83",
    },
    "store": {"address": "10.0.0.9:80", "partitions": 24},
    "processor": {"share": 0.5, "speed": 3},
    "bounds": {"rate_slack": 20, "withdrawn_key_ms": 5000},
}
VALUES: strategies.SearchStrategy[object] = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-2, 2)
    | strategies.floats(allow_nan=False)
    | strategies.sampled_from(["", "a", "1", "h:1", "h:123456", "a b:1"])
    | strategies.just([])
    | strategies.just({})
)


def _validated(content: object) -> result.Result[entry.EntrySettings, str]:
    document = yaml_files.Document(json.loads(json.dumps(content)), {})
    return loader.check(entry.EntrySettings, pathlib.Path("x"), document)


class PreparedTest(unittest.TestCase):
    """The validation library would have decided the same."""

    def test_valid(self) -> None:
        found = prepared.build(entry.EntrySettings, VALID)
        self.assertEqual(found, _validated(VALID).unwrap())
        self.assertEqual(found.processor.capacity, 1.5)

    def test_missing_and_unknown_fields_are_refused(self) -> None:
        for content in (
            {key: VALID[key] for key in VALID if key != "store"},
            VALID | {"other": 1},
            VALID | {"store": {"partitions": 24}},
            VALID | {"bounds": {"other": 1}},
        ):
            with self.assertRaises(ValueError):
                prepared.build(entry.EntrySettings, content)
            self.assertIsInstance(_validated(content), result.Failure)

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(strategies.data())
    def test_any_value(self, data: strategies.DataObject) -> None:
        content = json.loads(json.dumps(VALID))
        owner = content
        name = data.draw(strategies.sampled_from(sorted(content)))
        if isinstance(content[name], dict) and data.draw(strategies.booleans()):
            owner = content[name]
            name = data.draw(strategies.sampled_from(sorted(owner)))
        owner[name] = data.draw(VALUES)
        try:
            found = prepared.build(entry.EntrySettings, content)
        except ValueError:
            return
        self.assertEqual(result.Success(found), _validated(content))

    def test_other_files_are_left_to_the_loader(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings"
            self.assertIsNone(prepared.load(entry.EntrySettings, path))
            for text in ("host: h1", "{", "[]", "[" * 100_000):
                path.write_text(text)
                self.assertIsNone(prepared.load(entry.EntrySettings, path))


class TemplateTest(unittest.TestCase):
    """The platform renders the template of the settings to plain JSON."""

    TEMPLATE = ROOT / "deploy" / "settings.json.in"
    VALUES = MappingProxyType(
        {
            "NodeName": "edge-1",
            "Zone": "z",
            "Ip": "10.0.0.1",
            "Listen.FrontendAddr": "10.0.0.1:80",
            "Listen.ReadinessAddr": "10.0.0.1:81",
            "InternalPorts.0": 7780,
            "InternalPorts.1": 7781,
            "Platform.Address": "10.0.0.9:80",
            "Platform.parts": 12,
            "Limits.CpuShare": 0.7,
            "Limits.Cores": 3,
            "Limits.MemoryMb": 136,
            "Limits.MaxFds": 2870,
            "Bounds.RevokeMs": 5000,
            "Bounds.GraceS": 8,
            "Bounds.QuotaWindowS": 5,
            "Bounds.QuotaOvershoot": 0.1,
            "Bounds.QuotaSlack": 20,
        }
    )

    def test_needs_no_other_loader(self) -> None:
        def render(found: re.Match[str]) -> str:
            value = self.VALUES[found[1]]
            return json.dumps(value) if found[2] else str(value)

        text = re.sub(
            r"\{\{([\w.]+)(\|json)?\}\}", render, self.TEMPLATE.read_text()
        )
        found = prepared.build(entry.EntrySettings, json.loads(text))
        self.assertEqual(found.listen.hosts, "10.0.0.1:7780")
        self.assertEqual(found.bounds.rate_slack, 20.0)
        self.assertEqual(found.resources.memory_mb, 136.0)


class ImportsTest(unittest.TestCase):
    """A host that starts imports only what it needs to serve."""

    def test_entry_host(self) -> None:
        code = (
            "import sys, mangotally.entry.command;"
            "print([n for n in ('pydantic', 'fire', 'yaml') if n in"
            " sys.modules])"
        )
        found = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(found.stdout.strip(), "[]")
