"""Tests of request bodies."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from returns import result

from mangotally import errors
from mangotally.callers import bodies
from tests import stateful as stateful_settings

HELLO = {"role": "user", "content": "hello"}


def parse(**fields: Any) -> errors.Outcome[bodies.Chat]:
    """Parses a valid chat body with the given fields added."""
    body = {"model": "m", "messages": [HELLO], **fields}
    return bodies.parse(bodies.Chat, json.dumps(body).encode())


class ChatTest(unittest.TestCase):
    """Bodies of chat completions."""

    def test_fields_that_are_passed_on(self) -> None:
        """Sampling fields go to the engine; other valid fields are ignored."""
        chat = parse(
            temperature=0.5,
            top_p=1,
            seed=7,
            stop=["a", "b"],
            n=1,
            user="u-1",
            tools=None,
            logprobs=False,
            max_completion_tokens=9,
        ).unwrap()
        self.assertEqual(
            json.loads(chat.engine_options()),
            {"temperature": 0.5, "top_p": 1, "seed": 7, "stop": ["a", "b"]},
        )
        self.assertEqual(chat.max_answer_tokens(512), 9)
        self.assertEqual(parse().unwrap().engine_options(), "")

    def test_messages(self) -> None:
        """Text parts are joined; tool calls are passed on unchanged."""
        call = {
            "id": "c1",
            "type": "function",
            "function": {"name": "f", "arguments": "{}"},
        }
        parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]
        chat = parse(
            messages=[
                {"role": "user", "content": parts},
                {"role": "assistant", "content": None, "tool_calls": [call]},
                {"role": "tool", "tool_call_id": "c1", "content": "42"},
            ]
        ).unwrap()
        texts = [item.text() for item in chat.messages]
        self.assertEqual(texts, ["ab", "", "42"])
        extras = [item.extra_fields() for item in chat.messages]
        self.assertEqual(extras[0], "")
        self.assertEqual(json.loads(extras[1]), {"tool_calls": [call]})
        self.assertEqual(json.loads(extras[2]), {"tool_call_id": "c1"})

    def test_unsupported_fields_are_refused(self) -> None:
        """Fields without support are refused with a reason, not ignored."""
        image = {"type": "image_url", "image_url": {"url": "x"}}
        for fields, words in (
            ({"tools": [{}]}, "made by the program"),
            ({"logprobs": True}, "no probabilities"),
            ({"n": 2}, "n"),
            ({"nope": 1}, "nope"),
            ({"temperature": 9}, "temperature"),
            ({"max_tokens": "512"}, "max_tokens"),
            ({"max_tokens": 0}, "max_tokens"),
            ({"messages": []}, "messages"),
            ({"messages": [{"role": "user"}]}, "content is missing"),
            ({"messages": [{**HELLO, "content": [image]}]}, "content"),
            ({"messages": [{**HELLO, "tool_call_id": "x"}]}, "tool_call_id"),
            ({"messages": [{**HELLO, "role": "root"}]}, "role"),
        ):
            with self.subTest(fields=fields):
                failure = parse(**fields).failure()
                self.assertEqual(failure.reason, errors.Reason.BAD_REQUEST)
                self.assertEqual(failure.ran, errors.Ran.NOT_RUN)
                self.assertIn(words, failure.detail)

    @given(
        st.binary(max_size=300)
        | st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(("model", "messages", "stop", "content"))
                    | st.text(),
                    inner,
                )
            ),
            max_leaves=20,
        ).map(lambda value: json.dumps(value).encode())
    )
    @stateful_settings.CI_SETTINGS
    def test_any_body_gives_an_outcome(self, data: bytes) -> None:
        """Validation of any body gives a model or a failure, no exception."""
        for kind in (bodies.Chat, bodies.NewProgram):
            outcome = bodies.parse(kind, data)
            if isinstance(outcome, result.Failure):
                self.assertEqual(outcome.failure().status, 400)

    def test_deep_json(self) -> None:
        """Deeply nested JSON is refused without an exception."""
        data = b'{"model":' + b"[" * 100_000
        self.assertEqual(bodies.parse(bodies.Chat, data).failure().status, 400)
