"""Tests of mangotally.policy.crash_histories."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mangotally import ids
from mangotally.policy import crash_histories

REQUEST = crash_histories.digest("org", "POST", "/a", "", b"crash")


def _target(number: int, born_ms: int = 1) -> crash_histories.Incarnation:
    return crash_histories.Incarnation(ids.TargetId(f"t{number}"), born_ms)


class CrashHistoriesTest(unittest.TestCase):
    """A request is refused once it has crashed three targets."""

    def setUp(self) -> None:
        self.histories = crash_histories.CrashHistories()

    def _crash(self, number: int, at_ms: float, born_ms: int = 1) -> None:
        target = _target(number, born_ms)
        self.histories.record_crash(REQUEST, target, at_ms)

    def _refused_until(self, now_ms: float) -> float | None:
        return self.histories.refused_until_ms(REQUEST, now_ms)

    def test_is_refused_from_the_third_crash_on(self) -> None:
        for number in range(crash_histories.MAX_CRASHES):
            self.assertIsNone(self._refused_until(100.0))
            self._crash(number, 10.0 * number)
        until_ms = self._refused_until(100.0)
        self.assertEqual(until_ms, crash_histories.KEEP_MS)
        self.assertIsNone(self._refused_until(crash_histories.KEEP_MS + 1.0))

    def test_one_crash_counts_once(self) -> None:
        for _ in range(5):
            self._crash(1, 10.0)
        self.assertIsNone(self._refused_until(10.0))

    def test_a_target_that_has_restarted_counts_again(self) -> None:
        for born_ms in range(crash_histories.MAX_CRASHES):
            self._crash(1, 10.0, born_ms)
        self.assertIsNotNone(self._refused_until(10.0))

    def test_an_answer_clears_what_was_before_it(self) -> None:
        self.assertFalse(self.histories.record_answer(REQUEST, 5.0))
        for number in range(crash_histories.MAX_CRASHES):
            self._crash(number, 10.0)
        self.assertTrue(self.histories.record_answer(REQUEST, 20.0))
        self.assertIsNone(self._refused_until(20.0))
        # A host that has not heard of the answer tells its crashes again.
        self._crash(0, 10.0)
        self._crash(1, 30.0)
        self._crash(2, 30.0)
        self.assertIsNone(self._refused_until(30.0))
        self._crash(3, 30.0)
        self.assertIsNotNone(self._refused_until(30.0))

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * crash_histories.MAX_REQUESTS):
            digest = crash_histories.digest(str(number))
            self.histories.record_crash(digest, _target(1), float(number))
        self.assertEqual(
            len(self.histories._histories), crash_histories.MAX_REQUESTS
        )

    @given(
        st.lists(st.tuples(st.integers(0, 5), st.integers(0, 50)), max_size=8),
        st.lists(st.integers(0, 50), max_size=3),
        st.randoms(use_true_random=False),
    )
    def test_the_order_of_the_news_does_not_matter(
        self, crashes: list[tuple[int, int]], answers: list[int], rng: object
    ) -> None:
        news = [
            crash_histories.History({_target(number): float(at_ms)})
            for number, at_ms in dict(crashes).items()
        ]
        news += [crash_histories.History(answered_ms=float(a)) for a in answers]
        found = []
        for _ in range(2):
            histories = crash_histories.CrashHistories()
            rng.shuffle(news)  # type: ignore[attr-defined]
            for each in news:
                histories.merge(REQUEST, each)
            found.append(histories.find(REQUEST))
        self.assertEqual(*found)

    def test_parts_of_a_request_are_not_joined(self) -> None:
        self.assertNotEqual(
            crash_histories.digest("ab", "c"), crash_histories.digest("a", "bc")
        )


if __name__ == "__main__":
    unittest.main()
