"""Headers of callers are parsed to valid values, whatever they contain."""

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
    received = multidict.CIMultiDict(
        {getattr(NAMES, name): text for name, text in headers.items()}
    )
    return requests.read(
        "POST", "/a?b=1", multidict.CIMultiDictProxy(received), NAMES, 5.0
    )


class RequestTargetTest(unittest.TestCase):
    """All spellings of a host and a path that HTTP allows are understood."""

    def _read(self, target: str, host: str) -> tuple[str, str]:
        headers = multidict.CIMultiDict({"Host": host})
        found = requests.read(
            "GET", target, multidict.CIMultiDictProxy(headers), NAMES, 5.0
        )
        return found.host, found.path

    def test_host(self) -> None:
        for host in ("desk.example", "Desk.EXAMPLE", "desk.example:8080"):
            self.assertEqual(self._read("/a", host)[0], "desk.example")
        self.assertEqual(self._read("/a", "[::1]:80")[0], "[::1]")

    def test_absolute_target(self) -> None:
        for target, path in (
            ("http://Desk.example:80/a%2Fb?x=/y", "/a%2Fb?x=/y"),
            ("HTTPS://desk.example", "/"),
            ("http://desk.example?x", "/?x"),
        ):
            found = self._read(target, "other")
            self.assertEqual(found, ("desk.example", path))
        self.assertEqual(self._read("//a/b", "h"), ("h", "//a/b"))


class ReadTest(unittest.TestCase):
    """Numbers from callers decide about tokens, so all must be valid."""

    def test_a_turn(self) -> None:
        request = _read(
            program="p", token_budget="2240", token_usage="1840,280"
        )
        self.assertTrue(request.is_turn)
        self.assertEqual(
            (request.token_budget, request.max_tokens), (2240, 280)
        )

    def test_a_turn_that_claims_no_tokens_reserves_the_default(
        self,
    ) -> None:
        # Reserving fewer than 0 tokens would add tokens for other turns.
        for usage in ("5,-280", "5,0", "5,0.4", "5", "5,x", "5,nan"):
            request = _read(token_usage=usage)
            self.assertEqual(
                request.max_tokens, requests.DEFAULT_MAX_TOKENS, usage
            )

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(budget=NUMBERS, usage=USAGES, left=NUMBERS)
    def test_any_numbers_fit_a_reservation(
        self, budget: str, usage: str, left: str
    ) -> None:
        request = _read(
            program="p",
            token_budget=budget,
            token_usage=usage,
            time_left=left,
            program_time_left=left,
        )
        self.assertGreater(request.max_tokens, 0)
        self.assertFalse(request.time_left_ms != request.time_left_ms)
        if request.token_budget is not None:
            message = entry_pb2.ReserveRequest(
                budget=request.token_budget, tokens=request.max_tokens
            )
            self.assertEqual(message.budget, request.token_budget)
