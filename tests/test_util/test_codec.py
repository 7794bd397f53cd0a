"""Tests of the JSON_VALUES encoding of messages and records, with bad input."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from returns import result

from mangotally import ids
from mangotally.hosts import messages
from mangotally.policy import records
from tests import stateful as stateful_settings

VALID_RECORD = records.KeyWithdrawn(ids.KeyId("k1"))
RECORD_NAMES = (
    "KeyWithdrawn",
    "KeyGiven",
    "ConfigurationVersion",
    "Heartbeat",
    "x",
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


class RecordTest(unittest.TestCase):
    """Log entries with any content."""

    def test_round_trip(self) -> None:
        """A decoded batch equals the encoded one."""
        data = records.registry.encode_batch([VALID_RECORD, VALID_RECORD])
        found = records.registry.decode_batch(data)
        self.assertEqual(found, [result.Success(VALID_RECORD)] * 2)

    @given(
        st.binary(max_size=200)
        | JSON_VALUES.map(lambda value: json.dumps(value).encode())
        | st.lists(st.tuples(st.sampled_from(RECORD_NAMES), JSON_VALUES)).map(
            lambda value: json.dumps(value).encode()
        )
    )
    @stateful_settings.CI_SETTINGS
    def test_any_entry(self, data: bytes) -> None:
        """Any bytes decode to records or error texts, never to an exception."""
        for record in records.registry.decode_batch(data):
            if isinstance(record, result.Failure):
                self.assertIsInstance(record.failure(), str)

    def test_hostile_entries(self) -> None:
        """Deep nesting and large size are reported as failures."""
        valid = records.registry.encode_batch([VALID_RECORD])[1:-1].decode()
        deep = "[" * 100_000 + "]" * 100_000
        for data in (
            b"[" * 1_000_000,
            f"[{valid},{deep}]".encode(),
            f'[["KeyWithdrawn",{{"key_id":{deep}}}]]'.encode(),
            b'[["KeyWithdrawn",{"key_id":' + b"9" * 10_000 + b"}]]",
            b'[["KeyWithdrawn",{"key_id":"\xff"}]]',
            b'[["KeyWithdrawn",{"key_id":"\\ud800"}]]',
        ):
            with self.subTest(data=data[:40]):
                found = records.registry.decode_batch(data)
                self.assertIsInstance(found[-1], result.Failure)

    def test_bad_record_does_not_affect_the_others(self) -> None:
        """Each record of a batch is validated on its own."""
        valid = records.registry.encode_batch([VALID_RECORD])[1:-1].decode()
        data = f'[{valid},["KeyWithdrawn",{{}}],7,["x",{{}}],{valid}]'.encode()
        found = records.registry.decode_batch(data)
        kinds = [isinstance(item, result.Success) for item in found]
        self.assertEqual(kinds, [True, False, False, False, True])


class MessageTest(unittest.TestCase):
    """Message frames from other hosts."""

    @given(st.sampled_from(("TakeTokens", "RunTurn", "x")), st.binary())
    @stateful_settings.CI_SETTINGS
    def test_any_message(self, name: str, body: bytes) -> None:
        """Any body decodes to a message or an error text."""
        found = messages.registry.decode(name, body)
        if isinstance(found, result.Failure):
            self.assertIn(name, found.failure())
