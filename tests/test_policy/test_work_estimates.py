"""Replays of load whose requests and targets cost very different times."""

from __future__ import annotations

import heapq
import random
import unittest

from mangotally import ids
from mangotally.policy import (
    dispatch,
    stream_lengths,
    target_pace,
    target_view,
    work_estimates,
)

HOST = ids.HostId("h1")
DOMAIN = ids.FailureDomainId("z1")
RUN_MS = 100.0
SMALL, LARGE = 1.0, 8.0


def _request(
    name: str, units: float = 0.0, deadline_ms: float = 1e9
) -> dispatch.QueuedRequest:
    return dispatch.QueuedRequest(
        ids.Ticket(name),
        HOST,
        DOMAIN,
        0,
        False,
        deadline_ms,
        deadline_ms,
        units=units,
    )


def _dispatcher(targets: int, slots: int) -> dispatch.Dispatcher:
    dispatcher = dispatch.Dispatcher()
    for number in range(targets):
        name = ids.TargetId(f"t{number}")
        dispatcher.set_target(name, slots, DOMAIN, True)
    return dispatcher


def _teach(dispatcher: dispatch.Dispatcher, sizes: list[float]) -> None:
    """Runs requests until the dispatcher knows what work takes."""
    for number in range(400):
        units = sizes[number % len(sizes)]
        dispatcher.submit(_request(f"taught{number}", units), 0.0)
        for each in dispatcher.advance(0.0):
            assert isinstance(each, dispatch.Placed)
            dispatcher.finish(
                dispatch.Finished(
                    each.ticket,
                    each.target,
                    dispatch.EndReason.DONE,
                    units * RUN_MS,
                    units,
                ),
                0.0,
            )


class SizesTest(unittest.TestCase):
    """Requests of one service differ eight times in work."""

    def setUp(self) -> None:
        self.dispatcher = _dispatcher(1, 1)
        _teach(self.dispatcher, [SMALL, LARGE])
        self.dispatcher.submit(_request("running", SMALL), 0.0)
        self.dispatcher.advance(0.0)

    def _refused(self) -> set[str]:
        return {
            each.ticket
            for each in self.dispatcher.advance(0.0)
            if isinstance(each, dispatch.Refused)
        }

    def test_a_queue_of_small_requests_is_short(self) -> None:
        """By their number, the last ones would seem too late."""
        deadline_ms = 10 * SMALL * RUN_MS * 2.0
        for number in range(6):
            self.dispatcher.submit(
                _request(f"s{number}", SMALL, deadline_ms), 0.0
            )
        self.assertEqual(self._refused(), set())

    def test_a_large_request_is_not_refused_for_its_size(self) -> None:
        """The prediction may be wrong: it can end in time if it is average."""
        deadline_ms = 1.2 * LARGE * RUN_MS
        self.dispatcher.submit(_request("large", LARGE, deadline_ms), 0.0)
        self.dispatcher.submit(_request("next", SMALL, deadline_ms), 0.0)
        self.assertEqual(self._refused(), {"next"})

    def test_unknown_sizes_count_as_average(self) -> None:
        estimates = work_estimates.WorkEstimates()
        self.assertEqual(estimates.size(5.0), 1.0)
        view = target_view.TargetView(1, DOMAIN, True)
        estimates.add(view, RUN_MS, 2.0)
        self.assertEqual(estimates.size(0.0), 1.0)
        self.assertEqual(estimates.size(1000.0), work_estimates.MAX_SIZE)
        self.assertEqual(estimates.size(0.001), work_estimates.MIN_SIZE)


class PaceReplay(unittest.TestCase):
    """Targets turn three times as slow for 400 ms, and back, all the time."""

    TARGETS = 6
    SLOTS = 4
    PER_S = 100.0
    SECONDS = 20
    SLOW = 3.0
    PERIOD_MS = 400.0

    def setUp(self) -> None:
        source = random.Random(7)
        steps = int(self.SECONDS * 1000.0 / self.PERIOD_MS) + 40
        self.slow = {
            ids.TargetId(f"t{number}"): [
                source.random() < 0.3 for _ in range(steps)
            ]
            for number in range(self.TARGETS)
        }

    def _factor(self, target: ids.TargetId, now_ms: float) -> float:
        is_slow = self.slow[target][int(now_ms / self.PERIOD_MS)]
        return self.SLOW if is_slow else 1.0

    def _simulate(self, are_paces_known: bool) -> list[float]:
        """Returns the run times of all requests, in order of length."""
        dispatcher = _dispatcher(self.TARGETS, self.SLOTS)
        events: list[tuple[float, int, dispatch.Placed | None, float]] = [
            (n * 1000.0 / self.PER_S, n, None, 0.0)
            for n in range(int(self.PER_S * self.SECONDS))
        ]
        run_times: list[float] = []
        while events:
            now_ms, number, ended, run_ms = heapq.heappop(events)
            if ended is None:
                dispatcher.submit(_request(f"w{number}", 1.0), now_ms)
            else:
                run_times.append(run_ms)
                dispatcher.finish(
                    dispatch.Finished(
                        ended.ticket,
                        ended.target,
                        dispatch.EndReason.DONE,
                        run_ms,
                        1.0,
                    ),
                    now_ms,
                )
                if are_paces_known:
                    pace = 100.0 * self._factor(ended.target, now_ms)
                    dispatcher.set_pace(ended.target, pace, now_ms)
            for each in dispatcher.advance(now_ms):
                assert isinstance(each, dispatch.Placed)
                took_ms = RUN_MS * self._factor(each.target, now_ms)
                heapq.heappush(
                    events, (now_ms + took_ms, number, each, took_ms)
                )
        return sorted(run_times)

    def test_requests_avoid_targets_that_are_slow_now(self) -> None:
        before = self._simulate(are_paces_known=False)
        after = self._simulate(are_paces_known=True)
        self.assertEqual(len(before), len(after))
        self.assertLess(sum(after), 0.95 * sum(before))


class PaceTest(unittest.TestCase):
    """What a statement is worth, and for how long."""

    def test_reads_the_fourth_number(self) -> None:
        self.assertEqual(target_pace.read("1,2,3,150"), 150.0)
        for text in (None, "", "1,2,3", "1,2,3,x", "1,2,3,-1", "1,2,3,nan"):
            with self.subTest(text):
                self.assertIsNone(target_pace.read(text))

    def test_fades_and_is_bounded(self) -> None:
        pace = target_pace.Pace()
        self.assertEqual(pace.factor(0.0), 1.0)
        pace.add(200.0, 1000.0)
        at_once = pace.factor(1000.0)
        later = pace.factor(1000.0 + target_pace.HALF_LIFE_MS)
        self.assertAlmostEqual(later - 1.0, (at_once - 1.0) / 2)
        pace.add(1e9, 1000.0)
        self.assertEqual(pace.factor(1000.0), target_pace.MAX_FACTOR)

    def test_what_lasts_is_the_usual_pace(self) -> None:
        pace = target_pace.Pace()
        for at_ms in range(500):
            pace.add(200.0, at_ms)
        self.assertAlmostEqual(pace.factor(500.0), 1.0, places=2)


class StreamLengthsTest(unittest.TestCase):
    """Predictions follow what came, within bounds."""

    def test_a_stated_length_is_corrected(self) -> None:
        lengths = stream_lengths.StreamLengths[str]()
        self.assertEqual(lengths.predict("a", 4.0, 10.0), 4.0)
        for _ in range(50):
            lengths.add("a", 4.0, 6.0)
        self.assertEqual(round(lengths.predict("a", 4.0, 10.0) or 0.0, 6), 6.0)
        self.assertEqual(lengths.predict("b", 4.0, 10.0), 4.0)
        self.assertEqual(lengths.predict("a", 40.0, 10.0), 10.0)

    def test_without_a_stated_length(self) -> None:
        lengths = stream_lengths.StreamLengths[str]()
        self.assertIsNone(lengths.predict("a", None, 10.0))
        lengths.add("a", None, 5.0)
        self.assertEqual(lengths.predict("a", None, 10.0), 5.0)
