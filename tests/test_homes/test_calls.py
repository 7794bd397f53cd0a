"""Tests of mangotally.homes.calls.

The home of an idempotency key is the host that owns it.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from returns import result

from mangotally import errors, ids
from mangotally.homes import calls, partitions
from mangotally.hosts import messages
from mangotally.policy import records
from tests import history_fakes as fakes

ORGANISATION = ids.OrganisationId("o1")
H1, H2 = ids.HostId("h1"), ids.HostId("h2")
OTHER = ids.HostId("")


class FakeTarget:
    """A plain service that records the calls that it runs."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.delay_ms = 10.0
        self.failure: errors.Failure | None = None
        self.body = "b2s="

    async def run(
        self, message: messages.RunCall
    ) -> errors.Outcome[messages.CallAnswer]:
        """Runs a call, unless `failure` is set to one that is `not-run`."""
        failure = self.failure
        if failure is not None and failure.ran is errors.Ran.NOT_RUN:
            return result.Failure(failure)
        self.runs.append(message.key)
        await asyncio.sleep(self.delay_ms / 1000)
        if failure is not None:
            return result.Failure(failure)
        return result.Success(
            messages.CallAnswer(200, "text/plain", self.body, replayed=False)
        )


class FakePeers:
    """Records charges instead of sending them."""

    def __init__(self) -> None:
        self.charges: list[str] = []
        self.refusal: errors.Failure | None = None

    async def call_home(
        self, _key: str, message: messages.ChargeCall
    ) -> errors.Outcome[messages.Done]:
        """Records a charge and accepts or refuses it."""
        self.charges.append(message.charge)
        if self.refusal is not None:
            return result.Failure(self.refusal)
        return result.Success(messages.Done())


class Host:
    """One host with its partitions and calls."""

    def __init__(
        self, log: fakes.FakeLog, target: FakeTarget, name: ids.HostId = H1
    ) -> None:
        clock = fakes.LoopClock(asyncio.get_running_loop())
        self.members = fakes.FakeMembers(name, [name], clock)
        self.peers = FakePeers()
        members: Any = self.members
        peers: Any = self.peers
        self.partitions = partitions.Partitions(1, log, members, clock)
        self.home = calls.CallHome(self.partitions, peers, target, clock, 5000)


def call(key: str = "k1", body: str = "", **fields: Any) -> messages.RunCall:
    """Returns a call."""
    return messages.RunCall(
        ORGANISATION,
        key,
        fields.get("program"),
        ids.ServiceId("s"),
        "POST",
        "/deposits",
        (),
        body,
        1000,
    )


class CallHomeTest(unittest.TestCase):
    """Calls run at most once, and failures say reliably whether they ran."""

    def test_repeat_replays_at_another_host(self) -> None:
        """A key runs once, also if its home changes."""

        async def work() -> None:
            log, target = fakes.FakeLog(), FakeTarget()
            first = await Host(log, target).home.run(call())
            again = await Host(log, target, H2).home.run(call())
            self.assertFalse(first.unwrap().replayed)
            self.assertTrue(again.unwrap().replayed)
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_same_key_with_other_content_conflicts(self) -> None:
        """Different content conflicts during the first call and after it."""

        async def work() -> None:
            target = FakeTarget()
            host = Host(fakes.FakeLog(), target)
            outcomes = await asyncio.gather(
                host.home.run(call()),
                host.home.run(call()),
                host.home.run(call(body="b3RoZXI=")),
            )
            later = await host.home.run(call(body="b3RoZXI="))
            self.assertEqual(outcomes[0], outcomes[1])
            for refused in (outcomes[2], later):
                self.assertEqual(
                    refused.failure().reason, errors.Reason.CONFLICT
                )
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_call_goes_on_without_its_caller(self) -> None:
        """The answer is recorded although the caller has disconnected."""

        async def work() -> None:
            target = FakeTarget()
            host = Host(fakes.FakeLog(), target)
            waiting = asyncio.create_task(host.home.run(call()))
            await asyncio.sleep(target.delay_ms / 1000)
            self.assertEqual(target.runs, ["k1"])
            waiting.cancel()
            await asyncio.sleep(1)
            again = await host.home.run(call())
            self.assertTrue(again.unwrap().replayed)
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_unanswered_call_is_never_sent_again(self) -> None:
        """A call without an answer stays `may-have-run` on every host."""

        async def work() -> None:
            log, target = fakes.FakeLog(), FakeTarget()
            target.failure = errors.Failure(
                errors.Reason.TARGET_FAILED, "broke", errors.Ran.MAY_HAVE_RUN
            )
            outcomes = [
                await Host(log, target).home.run(call()),
                await Host(log, target, H2).home.run(call()),
            ]
            for outcome in outcomes:
                self.assertEqual(outcome.failure().ran, errors.Ran.MAY_HAVE_RUN)
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_call_that_was_not_sent_frees_its_key(self) -> None:
        """Without a connection the call has not run; a later attempt runs."""

        async def work() -> None:
            log, target = fakes.FakeLog(), FakeTarget()
            target.failure = errors.Failure(errors.Reason.TARGET_FAILED, "no")
            host = Host(log, target)
            refused = await host.home.run(call())
            self.assertEqual(refused.failure().ran, errors.Ran.NOT_RUN)
            await asyncio.sleep(1)
            target.failure = None
            outcome = await Host(log, target, H2).home.run(call())
            self.assertFalse(outcome.unwrap().replayed)
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_log_outage_refuses_before_sending(self) -> None:
        """`not-run` requires a lease and proof that no other host wrote."""

        async def work() -> None:
            log, target = fakes.FakeLog(), FakeTarget()
            host = Host(log, target)
            loaded = (
                await host.partitions.partition_for(ORGANISATION, "k1")
            ).unwrap()
            await asyncio.sleep(11)
            await loaded.catch_up()
            log.is_unavailable = True
            certain = await host.home.run(call())
            host.members.lease.lapse()
            uncertain = await host.home.run(call("k2"))
            other_host = await Host(log, target, H2).home.run(call())
            self.assertEqual(certain.failure().ran, errors.Ran.NOT_RUN)
            self.assertEqual(uncertain.failure().ran, errors.Ran.MAY_HAVE_RUN)
            self.assertEqual(other_host.failure().ran, errors.Ran.MAY_HAVE_RUN)
            self.assertEqual(target.runs, [])
            log.is_unavailable = False
            await asyncio.sleep(10)
            outcome = await Host(log, target, H2).home.run(call())
            self.assertFalse(outcome.unwrap().replayed)

        fakes.run(work)

    def test_host_without_lease_sends_nothing(self) -> None:
        """Nor does a host whose lease lapses while it appends the intent."""

        async def work() -> None:
            log, target = fakes.FakeLog(), FakeTarget()
            host = Host(log, target)
            host.members.lease.lapse()
            without_lease = await host.home.run(call())
            self.assertEqual(
                without_lease.failure().reason, errors.Reason.MOVED
            )
            self.assertEqual(log.appends, 0)
            host.members.lease.renew(1e12)
            running = asyncio.create_task(host.home.run(call()))
            await asyncio.sleep(1.5 * log.delay_ms / 1000)
            self.assertEqual(log.appends, 1)
            host.members.lease.lapse()
            outcome = await running
            self.assertEqual(outcome.failure().reason, errors.Reason.MOVED)
            await asyncio.sleep(1)
            after = await Host(log, target, H2).home.run(call())
            self.assertFalse(after.unwrap().replayed)
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_program_pays_once_or_call_is_refused(self) -> None:
        """A repeated call is not charged; without budget nothing is sent."""

        async def work() -> None:
            target = FakeTarget()
            host = Host(fakes.FakeLog(), target)
            program = ids.ProgramId("p1")
            await host.home.run(call(program=program))
            await host.home.run(call(program=program))
            self.assertEqual(len(host.peers.charges), 1)
            host.peers.refusal = errors.Failure(errors.Reason.OVER_BUDGET, "no")
            refused = await host.home.run(call("k2", program=program))
            self.assertEqual(refused.failure().ran, errors.Ran.NOT_RUN)
            unrecorded = await host.home.run_unrecorded(
                call("", program=program)
            )
            self.assertEqual(
                unrecorded.failure().reason, errors.Reason.OVER_BUDGET
            )
            self.assertEqual(target.runs, ["k1"])

        fakes.run(work)

    def test_large_answer_is_passed_on_but_not_kept(self) -> None:
        """A repeated call is told that the call has run."""

        async def work() -> None:
            target = FakeTarget()
            target.body = "A" * 400_000
            host = Host(fakes.FakeLog(), target)
            first = await host.home.run(call())
            again = await host.home.run(call())
            self.assertEqual(len(first.unwrap().body_base64), 400_000)
            self.assertEqual(again.failure().ran, errors.Ran.RAN)

        fakes.run(work)

    def test_key_names_a_new_call_after_its_lifetime(self) -> None:
        """Hosts that read both intents agree on the later one."""

        async def work() -> None:
            log, target = fakes.FakeLog(), FakeTarget()
            host = Host(log, target)
            await host.home.run(call())
            await asyncio.sleep(2 * 86_400)
            loaded = (
                await host.partitions.partition_for(ORGANISATION, "k1")
            ).unwrap()
            loaded.ledger.prune(2 * 86_400_000, 0)
            target.body = "bmV3"
            await host.home.run(call())
            late = await Host(log, target, H2).home.run(call())
            self.assertEqual(late.unwrap().body_base64, "bmV3")
            self.assertEqual(target.runs, ["k1", "k1"])

        fakes.run(work)


class RecordsTest(unittest.TestCase):
    """Decoding of call records from the log."""

    def test_old_intent_without_time_still_decodes(self) -> None:
        """Fields that were added to the record later have defaults."""
        data = (
            b'[["CallIntent",{"organisation":"o","key":"k","attempt":"a",'
            b'"digest":"","program":null}]]'
        )
        (outcome,) = records.registry.decode_batch(data)
        self.assertEqual(outcome.unwrap().begun_wall_ms, 0)
