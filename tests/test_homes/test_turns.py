"""Tests of mangotally.homes.turns."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast

from returns import result

from mangotally import errors, ids
from mangotally.homes import quarantine as live_quarantine
from mangotally.homes import slots, turns
from mangotally.hosts import messages
from mangotally.policy import faults, pools, programs, records
from mangotally.util import clock as clock_lib
from tests.test_homes import fakes

K = faults.FaultKind


class TurnRunnerTest(unittest.IsolatedAsyncioTestCase):
    """Turns on targets that fail."""

    def _make(
        self,
        engine: fakes.FakeEngine,
        targets: tuple[str, ...] = ("t1", "t2", "t3", "t4", "t5"),
        share: float = 1.0,
    ) -> None:
        self.engine = engine
        self.peers = fakes.FakePeers(targets)
        clock = clock_lib.ManualClock()
        self.slots = slots.SlotClient(
            fakes.FakeDirectory(), cast("Any", self.peers), clock
        )
        self.quarantine = live_quarantine.LiveQuarantine(
            fakes.FakeLog(), 60_000, clock
        )
        self.runner = turns.TurnRunner(
            self.slots, engine, self.quarantine, share, clock, lambda: 0.0
        )

    async def _run(
        self, permit: Any = None
    ) -> tuple[str, errors.Failure | None]:
        message = messages.RunTurn(
            ids.OrganisationId("escola"),
            ids.KeyId("k"),
            None,
            1,
            ids.ServiceId("assistente"),
            (records.ChatMessage("user", "hi"),),
            16,
            1.0,
            10_000,
        )
        text, failure = "", None
        events = self.runner.generate(
            message, ids.ProgramId("p1"), list(message.messages), 0, permit
        )
        async for event in events:
            match event:
                case result.Success(messages.TurnText(piece)):
                    text += piece
                case result.Success(messages.TurnEnd()):
                    text += "."
                case _:
                    failure = event.failure()
        async with self.slots:
            pass
        return text, failure

    async def test_another_target_before_the_first_text(self) -> None:
        """If a target fails before any text, another one is tried."""
        for kind in (K.REFUSED, K.UNREACHABLE, K.ERROR, K.OVERSIZE):
            with self.subTest(kind):
                self._make(fakes.FakeEngine(t1=[[kind]], t2=[["ok", True]]))
                self.assertEqual(await self._run(), ("ok.", None))
                reports = self.peers.reports()
                self.assertEqual([r.target for r in reports], ["t1", "t2"])
                self.assertNotEqual(
                    reports[0].report.call, reports[1].report.call
                )

    async def test_resumes_after_text(self) -> None:
        """An interrupted answer is resumed over a new connection."""
        for kind in (K.STALLED, K.BROKEN, K.CROSSED, K.MALFORMED):
            with self.subTest(kind):
                self._make(
                    fakes.FakeEngine(t1=[["a", kind], ["b", kind], ["c", True]])
                )
                self.assertEqual(await self._run(), ("abc.", None))
                self.assertEqual(
                    self.engine.requests,
                    [
                        ("chat", "t1", 0),
                        ("resume", "t1", 1),
                        ("resume", "t1", 2),
                    ],
                )

    async def test_never_restarts_after_text(self) -> None:
        """If the rest of a begun answer is lost, the turn fails as such.

        It is not started again at another target, and the failure says that
        the turn may have run.
        """
        self._make(
            fakes.FakeEngine(t1=[["a", K.BROKEN], [K.CONNECTION_REFUSED]])
        )
        text, failure = await self._run()
        self.assertEqual(text, "a")
        assert failure is not None
        self.assertIs(failure.ran, errors.Ran.MAY_HAVE_RUN)
        self.assertIn("send the turn again", failure.detail)
        report = self.peers.reports()[0]
        self.assertIs(report.report.end, pools.CallEnd.CRASHED)

    async def test_network_fault_is_not_a_crash(self) -> None:
        """A broken connection to a live target is not reported as a crash."""
        self._make(
            fakes.FakeEngine(
                t1=[[K.BROKEN], [K.UNREACHABLE]], t2=[["ok", True]]
            )
        )
        self.assertEqual(await self._run(), ("ok.", None))
        report = self.peers.reports()[0]
        self.assertIs(report.report.end, pools.CallEnd.FAILED)

    async def test_attempts_are_bounded(self) -> None:
        """A turn that fails at every target gives up after four attempts."""
        scripts = {f"t{n}": [[K.ERROR]] for n in range(1, 6)}
        self._make(fakes.FakeEngine(**scripts))
        _, failure = await self._run()
        assert failure is not None
        self.assertIs(failure.ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(len(self.engine.requests), 4)

    async def test_retry_budget(self) -> None:
        """The retry budget limits retries, even if callers keep sending."""
        scripts: dict[str, list[fakes.Script]] = {
            f"t{n}": [[K.REFUSED] for _ in range(100)] for n in range(1, 6)
        }
        self._make(fakes.FakeEngine(**scripts), share=0.1)
        for _ in range(50):
            await self._run()
        retried = len(self.engine.requests) - 50
        self.assertLessEqual(retried, 10 + 50 * 0.1)
        self.assertGreater(retried, 0)

    async def test_rejected_request(self) -> None:
        """A request that a target rejects as invalid is not tried again."""
        self._make(fakes.FakeEngine(t1=[[K.REJECTED]]))
        _, failure = await self._run()
        assert failure is not None
        self.assertIs(failure.ran, errors.Ran.NOT_RUN)
        self.assertEqual(len(self.engine.requests), 1)

    async def test_home_moves(self) -> None:
        """The slot request is retried while the pool's home changes."""
        self._make(fakes.FakeEngine(t1=[["ok", True]]))
        self.peers.failures = [
            errors.Failure(errors.Reason.MOVED, "moved"),
            errors.Failure(
                errors.Reason.UNAVAILABLE, "broken", errors.Ran.MAY_HAVE_RUN
            ),
        ]
        self.assertEqual(await self._run(), ("ok.", None))

    async def test_two_crashes(self) -> None:
        """A request that crashes two targets is not sent to a third."""
        crash: list[fakes.Script] = [[K.BROKEN], [K.CONNECTION_REFUSED]]
        engine = fakes.FakeEngine(t1=crash, t2=list(crash), t3=list(crash))
        self._make(engine)
        _, failure = await self._run()
        assert failure is not None
        self.assertIs(failure.reason, errors.Reason.QUARANTINED)
        self.assertIs(failure.ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual({t for _, t, _ in engine.requests}, {"t1", "t2"})

    async def test_quarantined_request(self) -> None:
        """A quarantined request is refused before it asks for a slot."""
        self._make(fakes.FakeEngine(t1=[["ok", True]]))
        prompt = [records.ChatMessage("user", "hi")]
        digest = programs.digest_messages(ids.ServiceId("assistente"), prompt)
        for name in ("t1", "t2"):
            self.quarantine.record_crash(
                digest,
                ids.ServiceId("assistente"),
                ids.TargetId(name),
                ids.CallId(name),
            )
        _, failure = await self._run()
        assert failure is not None
        self.assertEqual(failure.status, 422)
        self.assertIs(failure.ran, errors.Ran.NOT_RUN)
        self.assertEqual(self.peers.sent, [])

    async def test_refused_permit(self) -> None:
        """Without a permit nothing is sent to a target."""

        async def refuse() -> errors.Outcome[None]:
            return errors.failed(errors.Reason.OVER_BUDGET, "none left")

        self._make(fakes.FakeEngine(t1=[["ok", True]]))
        _, failure = await self._run(refuse)
        assert failure is not None
        self.assertIs(failure.reason, errors.Reason.OVER_BUDGET)
        self.assertEqual(self.engine.requests, [])

    async def test_permit_per_attempt_that_may_have_run(self) -> None:
        """After an attempt that did not run, no second permit is needed."""
        for kind, permits in ((K.UNREACHABLE, 1), (K.ERROR, 2)):
            with self.subTest(kind):
                granted: list[int] = []

                async def permit(
                    granted: list[int] = granted,
                ) -> errors.Outcome[None]:
                    granted.append(1)
                    return result.Success(None)

                self._make(fakes.FakeEngine(t1=[[kind]], t2=[["ok", True]]))
                self.assertEqual(await self._run(permit), ("ok.", None))
                self.assertEqual(len(granted), permits)

    async def test_abandoned_wait_is_reported(self) -> None:
        """If the caller disconnects while it waits, the call is cancelled."""
        self._make(fakes.FakeEngine())
        self.peers.failures = [
            errors.Failure(errors.Reason.MOVED, "moved") for _ in range(1000)
        ]
        task = asyncio.create_task(self._run())
        await self.peers.call_received.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with self.slots:
            pass
        report = self.peers.reports()[0].report
        self.assertIs(report.end, pools.CallEnd.CANCELLED)
