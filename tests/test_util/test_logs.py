"""Tests of log lines."""

from __future__ import annotations

import json
import logging
import re
import sys
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from mangotally.util import logs
from tests import stateful as stateful_settings

_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|[^ "=]+)(?: |$)')


def parse_line(line: str) -> dict[str, str]:
    """Parses a key=value line as a log collector does."""
    found: dict[str, str] = {}
    position = 0
    while position < len(line):
        match = _PAIR.match(line, position)
        assert match is not None, line[position:]
        name, value = match.groups()
        assert name not in found, name
        found[name] = json.loads(value) if value[0] == '"' else value
        position = match.end()
    return found


def format_record(event: str, exc_info: Any = None, **fields: Any) -> str:
    """Returns the formatted line of an event."""
    logger = logging.getLogger("mangotally.test")
    record = logger.makeRecord(
        logger.name, 20, "f", 1, event, (), exc_info, extra=fields
    )
    return logs.KeyValueFormatter().format(record)


class FormatterTest(unittest.TestCase):
    """Each event is one line of key=value pairs."""

    @given(st.text(), st.text() | st.integers() | st.floats() | st.none())
    @stateful_settings.CI_SETTINGS
    def test_any_value_round_trips_in_one_line(
        self, event: str, value: Any
    ) -> None:
        """Parsing the line returns the original pairs for any values."""
        line = format_record(event, organisation=value)
        self.assertEqual(len(line.splitlines()), 1)
        self.assertTrue(line.isascii())
        found = parse_line(line)
        self.assertEqual(found["event"], event)
        self.assertEqual(found["organisation"], str(value))
        self.assertEqual(found["level"], "INFO")

    def test_text_that_looks_like_pairs(self) -> None:
        """A value cannot inject further pairs."""
        forged = 'x level=ERROR\nevent="forged"\u2028a=b'
        found = parse_line(format_record("e", organisation=forged))
        self.assertEqual(found["organisation"], forged)
        self.assertEqual((found["level"], found["event"]), ("INFO", "e"))

    def test_traceback_stays_in_the_line(self) -> None:
        """A traceback is written as one more pair."""
        try:
            raise ValueError("a\nb")
        except ValueError:
            line = format_record("request_failed", exc_info=sys.exc_info())
        self.assertEqual(len(line.splitlines()), 1)
        self.assertIn("ValueError", parse_line(line)["exc_info"])
