"""Tests of YAML files: examples, invalid and arbitrary content."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st
from returns import result

from mangotally.settings import checks, host, lists, loader, yaml_files
from tests import stateful as stateful_settings

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
SETTINGS = (EXAMPLES / "settings.yaml").read_text()
PLANS = (EXAMPLES / "plans.yaml").read_text()
LAST = SETTINGS.count("\n")
END = PLANS.count("\n")


class FileTest(unittest.TestCase):
    """Files on disk."""

    def setUp(self) -> None:
        """Creates a directory."""
        found = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(found)

    def write(self, text: str | bytes, name: str = "file.yaml") -> pathlib.Path:
        """Writes a file; returns its path."""
        path = self.directory / name
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return path

    def problem(self, text: str | bytes) -> str:
        """Returns the only problem of a file's content."""
        _, problems = checks.check_files([self.write(text)])
        self.assertEqual(len(problems), 1, problems)
        return problems[0]

    def test_examples(self) -> None:
        """The examples are valid on their own and consistent."""
        paths = [EXAMPLES / f"{kind.value}.yaml" for kind in checks.FileKind]
        checked, problems = checks.check_files(paths)
        self.assertEqual(problems, [])
        self.assertEqual([item.kind for item in checked], list(checks.FileKind))

    def test_problems_name_line_and_reason(self) -> None:
        """Each kind of problem is reported with its line."""
        for text, line, words in (
            (PLANS + "  - id: x\n    plan: p\n    rate: 3\n", END + 3, "Extra"),
            (PLANS + "  - id: X\n    plan: p\n", END + 1, "organisations.3.id"),
            (PLANS + "organisations: []\n", END + 1, "duplicate key"),
            ("organisations: &a []\nplans: *a\n", 2, "aliases"),
            ("organisations: [\n", 2, "expected"),
            ("- a\n", 1, "not a mapping"),
            ("", 1, "not a mapping"),
            ("a: 1\n", 1, "not a settings, entry, plans or uses"),
            ("a: 1\n---\nb: 2\n", 2, "another document"),
            ("organisations: 2020-99-99\n", 1, "month"),
            ("? [a]\n: 1\n", 1, "must be scalars"),
            ("organisations: " + "[" * 100, 1, "deeper"),
            ("plans:\n- {name: a, rate_per_s: .nan}\n", 2, "rate_per_s"),
            (
                SETTINGS + "lease_ms: 1\n",
                SETTINGS.count("\n") + 1,
                "duplicate key",
            ),
            (SETTINGS.replace("address: 127", "address: x"), 10, "address"),
        ):
            with self.subTest(text=text[-40:]):
                _, problems = checks.check_files([self.write(text)])
                joined = "\n".join(problems)
                self.assertIn(f"file.yaml:{line}:", joined)
                self.assertIn(words, joined)

    def test_files_that_cannot_be_read(self) -> None:
        """Missing, binary and huge files are refused."""
        self.assertIn("No such file", str(checks.check_file(EXAMPLES / "no")))
        self.assertIn("UTF-8", self.problem(b"\xff\xfe"))
        self.assertIn(
            "larger", self.problem(b"#" * (yaml_files.MAX_FILE_BYTES + 1))
        )
        self.assertIn("directory", str(checks.check_file(EXAMPLES)))

    def test_lists_are_checked_against_each_other(self) -> None:
        """A plan that is missing in the other list is reported."""
        path = self.write(PLANS.replace("plan: grande", "plan: enorme"))
        _, problems = checks.check_files([path, EXAMPLES / "uses.yaml"])
        self.assertEqual(len(problems), 1)
        self.assertIn("unknown plan 'enorme'", problems[0])

    def test_overrides(self) -> None:
        """Overrides replace nested values; invalid ones are refused."""
        path = EXAMPLES / "settings.yaml"
        loaded = loader.load(
            host.HostSettings, path, {"log.url": "http://x", "port": 5}
        ).unwrap()
        self.assertEqual((loaded.log.url, loaded.port), ("http://x", 5))
        files = {
            "tls.callers.certificate_file": "c",
            "tls.callers.key_file": "k",
        }
        text = SETTINGS.replace("  targets_ca", "  callers: null\n  targets_ca")
        nested = loader.load(host.HostSettings, self.write(text), files)
        tls = nested.unwrap().tls.callers
        self.assertEqual(tls and tls.key_file, "k")
        bad = loader.load(host.HostSettings, path, {"port.x": 5})
        self.assertIn("--set port.x", bad.failure())
        for text in ("port", "=5", "port=[", "port=" + "[" * 5000):
            parsed = loader.parse_override(text)
            self.assertIsInstance(parsed, result.Failure)

    def test_no_value_in_a_problem(self) -> None:
        """Problems do not show values, because they may be secret."""
        text = SETTINGS.replace("lease_ms: 5000", "lease_ms: hunter2")
        self.assertNotIn("hunter2", self.problem(text))

    @given(st.binary(max_size=400) | st.text(max_size=400).map(str.encode))
    @stateful_settings.CI_SETTINGS
    def test_any_content_is_checked_without_exception(
        self, data: bytes
    ) -> None:
        """Any bytes give a model or a problem."""
        _, problems = checks.check_files([self.write(data)])
        self.assertTrue(all("file.yaml" in problem for problem in problems))


class ListsTest(unittest.TestCase):
    """The models of lists."""

    def test_lookups(self) -> None:
        """Plans and services are found by id."""
        checked, _ = checks.check_files(
            [EXAMPLES / "plans.yaml", EXAMPLES / "uses.yaml"]
        )
        found = lists.Lists(plans=checked[0].model, uses=checked[1].model)
        for item in found.plans.organisations:
            plan = found.organisation_plan(item.id)  # type: ignore[arg-type]
            assert plan is not None
            self.assertEqual(plan.name, item.plan)
        self.assertIsNone(found.plan_name("none"))
        self.assertIsNone(found.service("none"))
        copy = lists.Lists.model_validate_json(found.model_dump_json())
        self.assertEqual(copy, found)
        self.assertEqual(copy.digest(), found.digest())


class EntrySettingsTest(unittest.TestCase):
    """Settings of an entry host on the platform."""

    EXAMPLE = EXAMPLES / "entry.yaml"

    def test_example_is_valid(self) -> None:
        checked, problems = checks.check_files([self.EXAMPLE])
        self.assertEqual(problems, [])
        self.assertEqual(checked[0].kind, checks.FileKind.ENTRY)

    def test_invalid_address_is_named(self) -> None:
        text = self.EXAMPLE.read_text().replace("127.0.0.1:8368", "nowhere")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.yaml"
            path.write_text(text)
            _, problems = checks.check_files([path])
        self.assertIn("callers", problems[0])
