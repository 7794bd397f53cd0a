"""Bursts, slow targets and urgent work before the targets of a service."""

from __future__ import annotations

import heapq
import unittest

from mangotally import ids
from mangotally.policy import dispatch

HOST = ids.HostId("h1")
DOMAIN = ids.FailureDomainId("z1")
FAR_MS = 1e9


def _work(
    name: str,
    priority: int = 0,
    due_ms: float = FAR_MS,
    deadline_ms: float = FAR_MS,
    is_new: bool = False,
    excluded: tuple[str, ...] = (),
) -> dispatch.QueuedRequest:
    return dispatch.QueuedRequest(
        dispatch.Ticket(name),
        HOST,
        DOMAIN,
        priority,
        is_new,
        due_ms,
        deadline_ms,
        excluded=frozenset(ids.TargetId(each) for each in excluded),
    )


def _dispatcher(*slots: int) -> dispatch.Dispatcher:
    found = dispatch.Dispatcher()
    for number, count in enumerate(slots):
        name = ids.TargetId(f"t{number}")
        found.set_target(name, count, DOMAIN, True)
    return found


def _placed(found: list[dispatch.Placed | dispatch.Refused]) -> list[str]:
    return [each.ticket for each in found if isinstance(each, dispatch.Placed)]


class DispatcherTest(unittest.TestCase):
    """Single decisions."""

    def test_gives_a_target_no_more_than_its_slots(self) -> None:
        found = _dispatcher(2, 1)
        for number in range(5):
            found.submit(_work(f"w{number}"), 0.0)
        self.assertEqual(len(_placed(found.advance(0.0))), 3)
        self.assertEqual((found.in_flight, found.waiting), (3, 2))

    def test_urgent_work_goes_first(self) -> None:
        found = _dispatcher(1)
        found.submit(_work("running"), 0.0)
        found.advance(0.0)
        found.submit(_work("low", priority=1), 1.0)
        found.submit(_work("new", is_new=True), 1.0)
        found.submit(_work("late", due_ms=0.5), 1.0)
        found.submit(_work("later", due_ms=200.0), 1.0)
        found.submit(_work("sooner", due_ms=100.0), 1.0)
        order: list[str] = []
        for number in range(5):
            done = dispatch.Ticket(order[-1] if order else "running")
            found.finish(
                dispatch.Finished(
                    done, ids.TargetId("t0"), dispatch.EndReason.DONE, 5.0
                ),
                2.0 + number,
            )
            order += _placed(found.advance(2.0 + number))
        self.assertEqual(order, ["sooner", "later", "new", "late", "low"])

    def test_refuses_at_once_what_can_not_be_in_time(self) -> None:
        found = _dispatcher(1)
        for number in range(10):
            found.submit(_work(f"w{number}", deadline_ms=1000.0), 0.0)
        results = found.advance(0.0)
        refused = [r for r in results if isinstance(r, dispatch.Refused)]
        self.assertTrue(refused)
        for each in refused:
            self.assertGreaterEqual(
                each.retry_after_ms, dispatch.MIN_RETRY_AFTER_MS
            )

    def test_refuses_without_targets(self) -> None:
        found = dispatch.Dispatcher()
        found.submit(_work("w"), 0.0)
        (refused,) = found.advance(0.0)
        assert isinstance(refused, dispatch.Refused)
        self.assertEqual(refused.reason, "no-target")

    def test_pauses_a_target_that_fails_again(self) -> None:
        found = _dispatcher(4, 4)
        bad = ids.TargetId("t0")
        for number in range(2):
            ticket = dispatch.Ticket(f"f{number}")
            found.adopt(ticket, HOST, bad)
            found.finish(
                dispatch.Finished(ticket, bad, dispatch.EndReason.FAILED), 0.0
            )
        for number in range(8):
            found.submit(_work(f"w{number}"), 1.0)
        results = found.advance(1.0)
        targets = {r.target for r in results if isinstance(r, dispatch.Placed)}
        self.assertEqual(targets, {"t1"})
        results = found.advance(2.0 + dispatch.BACKOFF_MS)
        self.assertEqual(len(_placed(results)), 1)

    def test_leaves_out_excluded_targets(self) -> None:
        found = _dispatcher(1, 1)
        found.submit(_work("w", excluded=("t0",)), 0.0)
        (placed,) = found.advance(0.0)
        assert isinstance(placed, dispatch.Placed)
        self.assertEqual(placed.target, "t1")

    def test_counts_what_silent_hosts_had_no_more(self) -> None:
        found = _dispatcher(1)
        found.submit(_work("w"), 0.0)
        found.advance(0.0)
        found.retain(HOST, frozenset())
        self.assertEqual(found.in_flight, 0)


class LoadTest(unittest.TestCase):
    """Replays load against targets that run what they are given."""

    RUN_MS = 100.0
    SECONDS = 20

    def _play(
        self, per_s: float, slow: float, deadline_ms: float = 3000.0
    ) -> tuple[list[float], int]:
        """Returns the latencies of requests that ran, and the refused.

        The first of four targets is `slow` times as slow as the others.
        """
        found = _dispatcher(4, 4, 4, 4)
        arrivals = [
            n * 1000.0 / per_s for n in range(int(per_s * self.SECONDS))
        ]
        started = {f"w{n}": at for n, at in enumerate(arrivals)}
        pending = [(at, 0, f"w{n}", "") for n, at in enumerate(arrivals)]
        heapq.heapify(pending)
        latencies: list[float] = []
        refused = 0
        while pending:
            now_ms, _, name, target = heapq.heappop(pending)
            if target:
                run_ms = self.RUN_MS * (slow if target == "t0" else 1.0)
                found.finish(
                    dispatch.Finished(
                        dispatch.Ticket(name),
                        ids.TargetId(target),
                        dispatch.EndReason.DONE,
                        run_ms,
                        1.0,
                    ),
                    now_ms,
                )
                latencies.append(now_ms - started[name])
            else:
                due_ms = now_ms + deadline_ms
                found.submit(
                    _work(name, due_ms=due_ms, deadline_ms=due_ms), now_ms
                )
            for each in found.advance(now_ms):
                if isinstance(each, dispatch.Refused):
                    refused += 1
                    continue
                run_ms = self.RUN_MS * (slow if each.target == "t0" else 1.0)
                heapq.heappush(
                    pending, (now_ms + run_ms, 1, each.ticket, each.target)
                )
        return sorted(latencies), refused

    def test_ordinary_load_does_not_wait(self) -> None:
        latencies, refused = self._play(per_s=100.0, slow=1.0)
        self.assertEqual(refused, 0)
        self.assertLessEqual(latencies[-1], 1.5 * self.RUN_MS)

    def test_a_slow_target_is_used_less(self) -> None:
        latencies, refused = self._play(per_s=90.0, slow=5.0)
        self.assertEqual(refused, 0)
        self.assertLessEqual(latencies[int(len(latencies) * 0.95)], 150.0)

    def test_overload_is_refused_and_the_rest_is_in_time(self) -> None:
        latencies, refused = self._play(per_s=240.0, slow=1.0)
        self.assertGreater(refused, 0)
        self.assertLessEqual(latencies[-1], 3000.0)
        capacity = 16 / self.RUN_MS * 1000.0 * self.SECONDS
        self.assertGreaterEqual(len(latencies), 0.95 * capacity)
