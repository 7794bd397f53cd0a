"""Tests of messages and records as JSON, with bad input."""

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

GOOD = records.KeyWithdrawn(ids.KeyId("k1"))
NAMES = ("KeyWithdrawn", "KeyGiven", "ConfigurationVersion", "Heartbeat", "x")
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


class RecordTest(unittest.TestCase):
    """Entries of the log, whoever wrote them."""

    def test_round_trip(self) -> None:
        """A batch reads back as it was written."""
        data = records.registry.encode_batch([GOOD, GOOD])
        found = records.registry.decode_batch(data)
        self.assertEqual(found, [result.Success(GOOD)] * 2)

    @given(
        st.binary(max_size=200)
        | JSON.map(lambda value: json.dumps(value).encode())
        | st.lists(st.tuples(st.sampled_from(NAMES), JSON)).map(
            lambda value: json.dumps(value).encode()
        )
    )
    @stateful_settings.CI_SETTINGS
    def test_any_entry(self, data: bytes) -> None:
        """Any bytes give records or sentences, never an exception."""
        for record in records.registry.decode_batch(data):
            if isinstance(record, result.Failure):
                self.assertIsInstance(record.failure(), str)

    def test_hostile_entries(self) -> None:
        """Depth and size do not end the reader."""
        good = records.registry.encode_batch([GOOD])[1:-1].decode()
        deep = "[" * 100_000 + "]" * 100_000
        for data in (
            b"[" * 1_000_000,
            f"[{good},{deep}]".encode(),
            f'[["KeyWithdrawn",{{"key_id":{deep}}}]]'.encode(),
            b'[["KeyWithdrawn",{"key_id":' + b"9" * 10_000 + b"}]]",
            b'[["KeyWithdrawn",{"key_id":"\xff"}]]',
            b'[["KeyWithdrawn",{"key_id":"\\ud800"}]]',
        ):
            with self.subTest(data=data[:40]):
                found = records.registry.decode_batch(data)
                self.assertIsInstance(found[-1], result.Failure)

    def test_one_bad_record_leaves_the_others(self) -> None:
        """Each record of a batch is checked by itself."""
        good = records.registry.encode_batch([GOOD])[1:-1].decode()
        data = f'[{good},["KeyWithdrawn",{{}}],7,["x",{{}}],{good}]'.encode()
        found = records.registry.decode_batch(data)
        kinds = [isinstance(item, result.Success) for item in found]
        self.assertEqual(kinds, [True, False, False, False, True])


class MessageTest(unittest.TestCase):
    """Frames of other hosts."""

    @given(st.sampled_from(("TakeTokens", "RunTurn", "x")), st.binary())
    @stateful_settings.CI_SETTINGS
    def test_any_message(self, name: str, body: bytes) -> None:
        """Any body gives a message or a sentence."""
        found = messages.registry.decode(name, body)
        if isinstance(found, result.Failure):
            self.assertIn(name, found.failure())
