"""Tests that the oracle reports violated invariants, and only those."""

from __future__ import annotations

import unittest

from mangotally.util import clock as clock_lib
from tests import entry_fleet
from tests.soak import oracle as oracle_lib
from tests.soak import processes, workload
from tests.soak.workload import RequestKind

SENT = {"Tenant": entry_fleet.ORGANISATION}


class OracleTest(unittest.TestCase):
    """Checks of the oracle, by rule."""

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock(10_000.0)
        self.oracle = oracle_lib.Oracle(self.clock)
        self.oracle.organisations = {
            entry_fleet.KEY: entry_fleet.ORGANISATION,
            workload.LIMITED_KEY: workload.LIMITED_ORGANISATION,
        }
        self.oracle.permanent_keys = {entry_fleet.KEY}
        self.oracle.services = {each.value: {"service"} for each in RequestKind}

    def _send(self, kind: RequestKind, **fields: object) -> oracle_lib.Attempt:
        number = len(self.oracle.attempts)
        usual = {
            "id": f"r{number}",
            "kind": kind,
            "host": "h0",
            "key": entry_fleet.KEY,
            "method": "POST",
            "path": kind.value,
            "body": b"in",
        }
        attempt = oracle_lib.Attempt(**(usual | fields))  # type: ignore[arg-type]
        self.oracle.record_sent(attempt)
        return attempt

    def _run(
        self,
        attempt: oracle_lib.Attempt,
        service: str = "service",
        **headers: str,
    ) -> oracle_lib.Run:
        stamp = f"t.{len(attempt.runs)}"
        run = oracle_lib.Run(
            "t", service, stamp, self.clock.now_ms(), 200, b"answer"
        )
        sent = {"Request-Id": attempt.id} | SENT | headers
        body = attempt.expected_body
        self.oracle.record_run(run, attempt.method, attempt.path, sent, body)
        return run

    def _answer(
        self,
        attempt: oracle_lib.Attempt,
        status: int = 200,
        body: bytes = b"answer",
        stamp: str = "t.0",
    ) -> None:
        attempt.status, attempt.is_whole = status, True
        attempt.stamp = stamp if status == 200 else ""
        self.oracle.record_end(attempt, body)

    def _stream(
        self,
        attempt: oracle_lib.Attempt,
        events: int,
        first: int = 1,
        version: str = workload.FIRST_VERSION,
    ) -> None:
        stream = attempt.origin.id
        self.oracle.record_events(
            attempt,
            [
                workload.event_bytes(stream, number, version)[:-2]
                for number in range(first, events + 1)
            ],
        )

    def _assert_rules(self, *rules: str) -> None:
        found = [each.split()[0] for each in self.oracle.findings]
        self.assertEqual(found, list(rules), self.oracle.findings)

    def test_no_violations(self) -> None:
        attempt = self._send(RequestKind.PAY)
        self._run(attempt)
        self._answer(attempt)
        again = self._send(RequestKind.LOOKUP)
        self._run(again)
        self._run(again)
        self._answer(again, stamp="t.1")
        turn = self._send(RequestKind.TURN)
        self._run(turn)
        self._stream(turn, workload.event_count(turn.id))
        self._answer(turn, body=b"")
        child = self._send(RequestKind.TURN, parent=turn)
        self._run(child)
        self._answer(self._send(RequestKind.PAY), 503)
        self._assert_rules()

    def test_a_stream_that_is_taken_up(self) -> None:
        for version, rules in (("v2", ()), ("v3", ("ORDER",))):
            begun = self._send(RequestKind.QUERY)
            while workload.event_count(begun.id) <= 2:
                begun = self._send(RequestKind.QUERY)
            self._run(begun)
            self._stream(begun, 2, version="v2")
            again = self._send(RequestKind.QUERY)
            again.resumes = begun
            self._run(again)
            last = workload.event_count(begun.id)
            self._stream(again, last, first=3, version=version)
            self._answer(again, body=b"")
            self._assert_rules(*rules)

    def test_executed_twice(self) -> None:
        attempt = self._send(RequestKind.PAY)
        self._run(attempt)
        self._run(attempt)
        self._assert_rules("TWICE")

    def test_refused_before_and_after_execution(self) -> None:
        before = self._send(RequestKind.PAY)
        self._run(before)
        self._answer(before, 503)
        after = self._send(RequestKind.PAY)
        self._answer(after, 429)
        self._run(after)
        spent = self._send(RequestKind.QUERY)
        spent.program = oracle_lib.Program("p", 0)
        self._answer(spent, 402)
        self._run(spent)
        self._assert_rules("REFUSED", "REFUSED", "REFUSED")

    def test_unknown_and_changed_requests(self) -> None:
        attempt = self._send(RequestKind.PAY)
        attempt.id = "unknown"
        self._run(attempt)
        changed = self._send(RequestKind.PAY)
        run = oracle_lib.Run("t", "service", "s", 0.0, 200, b"")
        sent = SENT | {"Request-Id": changed.id}
        self.oracle.record_run(run, "POST", "/other", sent, changed.body)
        cut = self._send(RequestKind.PAY)
        sent = SENT | {"Request-Id": cut.id}
        self.oracle.record_run(run, "POST", cut.path, sent, b"")
        self._assert_rules("UNASKED", "UNASKED", "UNASKED")

    def test_keys(self) -> None:
        self._run(
            self._send(RequestKind.PAY), Authorization=f"x {entry_fleet.KEY}"
        )
        self._run(self._send(RequestKind.PAY), Tenant="other")
        self.oracle.withdrawn_ms[entry_fleet.KEY] = self.clock.now_ms()
        self.clock.advance(processes.WITHDRAWN_KEY_MS)
        self._run(self._send(RequestKind.PAY))
        self.clock.advance(1.0)
        self._run(self._send(RequestKind.PAY))
        self._assert_rules("KEY", "KEY", "WITHDRAWN")

    def test_answers(self) -> None:
        for body, stamp in ((b"answe", "t.0"), (b"answer", "other")):
            attempt = self._send(RequestKind.PAY)
            self._run(attempt)
            self._answer(attempt, body=body, stamp=stamp)
        self._answer(self._send(RequestKind.PAY), 500)
        self._answer(self._send(RequestKind.PAY), 401)
        self._answer(self._send(RequestKind.PAY), 404)
        self._answer(self._send(RequestKind.PAY), 302)
        self._assert_rules(
            "MIXED", "MIXED", "MIXED", "DENIED", "DENIED", "DENIED"
        )

    def test_streams(self) -> None:
        short = self._send(RequestKind.TURN, id="r-long-0")
        self.assertGreater(workload.event_count(short.id), 1)
        self._run(short)
        self._stream(short, 1)
        self._answer(short, body=b"")
        doubled = self._send(RequestKind.TURN)
        self._run(doubled)
        self._stream(doubled, 1)
        self._stream(doubled, 1)
        self._assert_rules("ORDER", "ORDER")

    def test_routes(self) -> None:
        self._run(self._send(RequestKind.PAY), service="other")
        self._assert_rules("ROUTE")

    def test_retained_turns(self) -> None:
        parent = self._send(RequestKind.TURN)
        self._answer(self._send(RequestKind.TURN, parent=parent), 404)
        self._answer(self._send(RequestKind.TURN, parent=parent), 410)
        foreign = self._send(RequestKind.TURN, parent=parent, is_foreign=True)
        self._answer(foreign, 404)
        self._run(foreign)
        self._assert_rules("LOST", "LOST", "UNASKED")

    def test_budgets(self) -> None:
        program = oracle_lib.Program("p", 0)
        while not self.oracle.findings:
            attempt = self._send(RequestKind.TURN, program=program)
            self._stream(attempt, workload.event_count(attempt.id))
        self._assert_rules("BUDGET")
        self.assertGreater(program.delivered_tokens, workload.MAX_TOKENS)

    def test_wrong_refusal_for_a_budget(self) -> None:
        program = oracle_lib.Program("p", 2 * workload.MAX_TOKENS)
        first = self._send(RequestKind.TURN, program=program)
        self._run(first)
        self._stream(first, workload.event_count(first.id))
        right = self._send(RequestKind.TURN, program=program)
        right.program = oracle_lib.Program("q", 0, [right])
        self._answer(right, 402)
        self.assertEqual(right.program.wrong_refusals, 0)
        self._answer(self._send(RequestKind.TURN, program=program), 402)
        self.assertEqual(program.wrong_refusals, 1)

    def test_rates(self) -> None:
        sent = {"Tenant": workload.LIMITED_ORGANISATION}
        for _ in range(int(oracle_lib.MAX_IN_WINDOW)):
            self._run(
                self._send(RequestKind.PAY, key=workload.LIMITED_KEY), **sent
            )
        self.oracle.check_rates()
        self._assert_rules()
        self._run(self._send(RequestKind.PAY, key=workload.LIMITED_KEY), **sent)
        self.oracle.check_rates()
        self._assert_rules("QUOTA")

    def test_planned_stop(self) -> None:
        self.oracle.planned_stops["h0"] = self.clock.now_ms()
        unread = self._send(RequestKind.PAY)
        self.oracle.record_end(unread, b"")
        self._assert_rules()
        cut = self._send(RequestKind.PAY)
        self._run(cut)
        self.oracle.record_end(cut, b"")
        self._assert_rules("STOP")


class ExpectedBodyTest(unittest.TestCase):
    """The bodies that targets should receive."""

    def test_body_includes_history(self) -> None:
        first = oracle_lib.Attempt("a", RequestKind.TURN, "", "", "", "", b"1")
        second = oracle_lib.Attempt(
            "b", RequestKind.TURN, "", "", "", "", b"2", parent=first
        )
        expected = workload.history_bytes("a", b"1") + b"2"
        self.assertEqual(second.expected_body, expected)


if __name__ == "__main__":
    unittest.main()
