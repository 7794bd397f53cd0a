"""Tests of mangotally.policy.target_closures."""

from __future__ import annotations

import unittest

from mangotally import ids
from mangotally.policy import dispatch, target_closures

DOMAIN = ids.FailureDomainId("z1")
NO_DEADLINE_MS = 1e9


def _target(number: int) -> ids.TargetId:
    return ids.TargetId(f"t{number}")


class LeavingTargetsTest(unittest.TestCase):
    """What targets say of their leaving, and for how long it holds."""

    def test_reads_only_a_clear_statement(self) -> None:
        for values in (["1"], [" 1 "], ["0", "1"], ["0,1"]):
            with self.subTest(values):
                self.assertTrue(target_closures.says_leaving(values))
        for values in ([], ["0"], [""], ["yes"], ["11"], ["true, 0"]):
            with self.subTest(values):
                self.assertFalse(target_closures.says_leaving(values))

    def test_holds_for_one_process(self) -> None:
        leaving = target_closures.LeavingTargets()
        notice = target_closures.LeavingNotice(_target(1), 5, 10.0)
        self.assertTrue(leaving.add(notice))
        self.assertFalse(leaving.add(notice))
        self.assertTrue(leaving.is_leaving(_target(1), 5))
        self.assertFalse(leaving.is_leaving(_target(1), 6))

    def test_is_bounded(self) -> None:
        leaving = target_closures.LeavingTargets()
        for number in range(target_closures.MAX_TARGETS + 5):
            leaving.add(
                target_closures.LeavingNotice(_target(number), 1, number)
            )
        self.assertEqual(len(leaving.notices()), target_closures.MAX_TARGETS)
        self.assertFalse(leaving.is_leaving(_target(0), 1))


class _FailureDomain:
    """Cold targets under a load that they can't all take at once."""

    RATE_PER_S = 20.0
    TARGETS = 4
    RUN_MS = 40.0

    def __init__(self) -> None:
        cold_start = target_closures.ColdStart(3000.0, self.RATE_PER_S)
        self._rate_per_s = cold_start.assigned_per_s
        self._tickets = 0
        self.now_ms = 0.0
        self._ends: list[tuple[float, dispatch.Placed]] = []
        self.sent_ms: dict[ids.TargetId, list[float]] = {}
        self.change_home()

    def change_home(self) -> None:
        """Continues with a home that knows nothing of requests so far."""
        self._dispatcher = dispatch.Dispatcher()
        for number in range(self.TARGETS):
            self._dispatcher.set_target(_target(number), 6, DOMAIN, True)
            self._dispatcher.set_limit(
                _target(number), self._rate_per_s, self.now_ms
            )

    def run(self, duration_ms: float) -> None:
        """Submits a request per millisecond, far more than can be placed."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1.0
            self._submit()
            self._end_requests()
            for each in self._dispatcher.advance(self.now_ms):
                if isinstance(each, dispatch.Placed):
                    self.sent_ms.setdefault(each.target, []).append(self.now_ms)
                    self._ends.append((self.now_ms + self.RUN_MS, each))

    def _submit(self) -> None:
        self._tickets += 1
        self._dispatcher.submit(
            dispatch.QueuedRequest(
                ids.Ticket(f"w{self._tickets}"),
                ids.HostId("h1"),
                DOMAIN,
                0,
                False,
                NO_DEADLINE_MS,
                self.now_ms + 500.0,
            ),
            self.now_ms,
        )

    def _end_requests(self) -> None:
        ended = [each for each in self._ends if each[0] <= self.now_ms]
        self._ends = [each for each in self._ends if each[0] > self.now_ms]
        for _, placed in ended:
            self._dispatcher.finish(
                dispatch.Finished(
                    placed.ticket,
                    placed.target,
                    dispatch.EndReason.DONE,
                    self.RUN_MS,
                ),
                self.now_ms,
            )


def _most_in_a_second(at_ms: list[float]) -> int:
    return max(
        sum(begin <= each < begin + 1000.0 for each in at_ms) for begin in at_ms
    )


class ColdReturnReplay(unittest.TestCase):
    """A failure domain returns, cold, under a load above its capacity.

    A cold target crashes at a rate well above the one that it takes.
    """

    def test_no_target_gets_more_than_it_takes(self) -> None:
        domain = _FailureDomain()
        domain.run(3000.0)
        for number in range(_FailureDomain.TARGETS):
            most = _most_in_a_second(domain.sent_ms[_target(number)])
            self.assertLessEqual(most, _FailureDomain.RATE_PER_S)
            self.assertGreater(most, 0.5 * _FailureDomain.RATE_PER_S)

    def test_a_new_home_adds_no_wave(self) -> None:
        domain = _FailureDomain()
        for _ in range(4):
            domain.run(700.0)
            domain.change_home()
        for at_ms in domain.sent_ms.values():
            self.assertLessEqual(
                _most_in_a_second(at_ms), _FailureDomain.RATE_PER_S
            )


class ColdTargetsTest(unittest.TestCase):
    """How long targets count as cold."""

    def test_the_latest_end_holds(self) -> None:
        cold = target_closures.ColdTargets()
        self.assertTrue(cold.add(_target(1), 100.0))
        self.assertFalse(cold.add(_target(1), 50.0))
        self.assertEqual(cold.remove_warm(99.0), [])
        self.assertEqual(cold.remove_warm(100.0), [_target(1)])
        self.assertEqual(cold.names(), frozenset())

    def test_is_bounded(self) -> None:
        cold = target_closures.ColdTargets()
        for number in range(target_closures.MAX_TARGETS + 5):
            cold.add(_target(number), 100.0)
        self.assertEqual(len(cold.names()), target_closures.MAX_TARGETS)
