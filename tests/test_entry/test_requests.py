"""Whatever callers send is read to fields that hold what they say."""

from __future__ import annotations

import unittest

import hypothesis
import multidict
from hypothesis import strategies

from mangotally.entry import entry_pb2, requests
from mangotally.platform import headers as platform_headers
from tests import stateful

NAMES = platform_headers.NAMES
NUMBERS = strategies.one_of(
    strategies.text(max_size=12),
    strategies.integers().map(str),
    strategies.floats().map(str),
    strategies.sampled_from(["", "-1", "0", "1e300", "nan", "inf", "9" * 400]),
)
USAGES = strategies.one_of(
    NUMBERS,
    strategies.tuples(NUMBERS, NUMBERS).map(",".join),
)


def _read(**headers: str) -> requests.CallerRequest:
    found = multidict.CIMultiDict(
        {getattr(NAMES, name): text for name, text in headers.items()}
    )
    return requests.read(
        "POST", "/a?b=1", multidict.CIMultiDictProxy(found), NAMES, 5.0
    )


class ReadTest(unittest.TestCase):
    """Numbers of callers decide about tokens, so none may be nonsense."""

    def test_a_turn(self) -> None:
        found = _read(program="p", token_budget="2240", token_usage="1840,280")
        self.assertTrue(found.is_turn)
        self.assertEqual((found.token_budget, found.max_tokens), (2240, 280))

    def test_a_turn_that_claims_to_spend_nothing_sets_the_usual_aside(
        self,
    ) -> None:
        # Tokens below 0, once set aside, would be tokens for other turns.
        for usage in ("5,-280", "5,0", "5,0.4", "5", "5,x", "5,nan"):
            found = _read(token_usage=usage)
            self.assertEqual(
                found.max_tokens, requests.DEFAULT_MAX_TOKENS, usage
            )

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(budget=NUMBERS, usage=USAGES, left=NUMBERS)
    def test_any_numbers_can_be_asked_for(
        self, budget: str, usage: str, left: str
    ) -> None:
        found = _read(
            program="p",
            token_budget=budget,
            token_usage=usage,
            time_left=left,
            program_time_left=left,
        )
        self.assertGreater(found.max_tokens, 0)
        self.assertFalse(found.time_left_ms != found.time_left_ms)
        if found.token_budget is not None:
            message = entry_pb2.ReserveRequest(
                budget=found.token_budget, tokens=found.max_tokens
            )
            self.assertEqual(message.budget, found.token_budget)
