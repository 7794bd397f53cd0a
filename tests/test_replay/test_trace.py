"""Tests of the trace format."""

from __future__ import annotations

import json
import pathlib
import unittest

from returns import result

from mangotally.commands import replay
from mangotally.replay import generate, parameters, trace

MAX_SHIPPED_BYTES = 200_000
MIN_DURATION_MS = 600_000


def lines_of(name: str) -> list[bytes]:
    """Returns the first lines of a shipped trace."""
    path = replay.BUNDLED_TRACES / f"{name}{replay.TRACE_SUFFIX}"
    return path.read_bytes().splitlines()[:4]


class TraceTest(unittest.TestCase):
    """Parsing of trace files, and the shipped traces."""

    def test_bad_lines_are_reported_with_number(self) -> None:
        """An invalid line is rejected with its number and field."""
        lines = lines_of("lakeshore-ordinary")
        program = json.loads(lines[2])
        cases = {
            ":3: ": b"{",
            ":3: program.at_ms": json.dumps(program | {"at_ms": -1}).encode(),
            ":3: program.secret": json.dumps(program | {"secret": 1}).encode(),
            ":3: the program": lines[1],
            ":3: unknown organisation": json.dumps(
                program | {"organisation": "nobody"}
            ).encode(),
            ":3: longer": b" " * (trace.MAX_LINE_BYTES + 1),
        }
        for expected, line in cases.items():
            with self.subTest(expected):
                data = b"\n".join([*lines[:2], line, lines[3]])
                parsed = trace.parse(data, "t")
                self.assertIsInstance(parsed, result.Failure)
                self.assertTrue(
                    parsed.failure().startswith(f"t{expected}"),
                    parsed.failure(),
                )

    def test_other_version_is_refused(self) -> None:
        """A trace of another version is rejected."""
        lines = lines_of("lakeshore-ordinary")
        header = json.loads(lines[0]) | {"version": 2}
        parsed = trace.parse(json.dumps(header).encode(), "t")
        self.assertIn("t:1: version", parsed.failure())
        self.assertIn("empty", trace.parse(b"", "t").failure())

    def test_shipped_traces_are_generated(self) -> None:
        """Each shipped trace equals what its seed generates, and is small."""
        names = []
        for made in generate.generate_all():
            names.append(made.header.name)
            path = (
                replay.BUNDLED_TRACES
                / f"{made.header.name}{replay.TRACE_SUFFIX}"
            )
            data = path.read_bytes()
            self.assertEqual(data, trace.dump(made), path.name)
            self.assertLess(len(data), MAX_SHIPPED_BYTES, path.name)
            self.assertGreaterEqual(made.header.duration_ms, MIN_DURATION_MS)
        self.assertEqual(tuple(sorted(names)), replay.bundled_traces())

    def test_example_parameters_are_the_defaults(self) -> None:
        """The annotated example holds the default values."""
        root = pathlib.Path(__file__).resolve().parents[2]
        found = replay.load_parameters(root / "examples" / "replay.yaml")
        self.assertEqual(found.unwrap(), parameters.Parameters())

    def test_every_shipped_trace_has_outcomes(self) -> None:
        """Every shipped trace has a file with expected outcomes."""
        for name in replay.bundled_traces():
            source = replay.load(name).unwrap()
            self.assertIsNotNone(source.expected_outcomes, name)
