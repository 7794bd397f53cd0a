"""Tests of operators' changes with concurrent changes and lost answers."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from returns import result

from mangotally import errors, ids
from mangotally.homes import configuration as live_configuration
from mangotally.homes import snapshots
from mangotally.operators import publisher
from mangotally.policy import records
from mangotally.util import clock
from tests.test_operators import fakes
from tests.test_policy import test_configuration as sample


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    """Publishers of several hosts over one log."""

    def setUp(self) -> None:
        """Creates a log, and shortens the intervals and time-outs."""
        self.log = fakes.FakeLog()
        for name, value in (
            ("RETRY_INTERVAL_MS", 1),
            ("READ_BACK_TIMEOUT_MS", 50),
        ):
            patch = mock.patch.object(publisher, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def host(self) -> fakes.ConfigurationHost:
        """Returns a started host."""
        host = fakes.ConfigurationHost(self.log, clock.SystemClock())
        await self.enterAsyncContext(host)
        return host

    async def test_concurrent_publications(self) -> None:
        """Of two operators that read version 1, one gets a conflict."""
        hosts = [await self.host(), await self.host()]
        await hosts[0].publisher.publish(sample.make_lists({}), 0)
        await hosts[1].reader.wait_for(ids.Offset(0))
        outcomes = await asyncio.gather(
            hosts[0].publisher.publish(
                sample.make_lists({"org-a": "small"}), 1
            ),
            hosts[1].publisher.publish(
                sample.make_lists({"org-b": "small"}), 1
            ),
        )
        succeeded = [
            item for item in outcomes if isinstance(item, result.Success)
        ]
        failed = [item for item in outcomes if isinstance(item, result.Failure)]
        self.assertEqual((len(succeeded), len(failed)), (1, 1))
        self.assertEqual(failed[0].failure().reason, errors.Reason.CONFLICT)
        for host in hosts:
            await host.reader.wait_for(ids.Offset(len(self.log.entries) - 1))
            self.assertEqual(host.live.current.version, 2)
        winner = outcomes.index(succeeded[0])
        self.assertEqual(
            sample.plans_of(hosts[0].live.current.lists),
            [{"org-a": "small"}, {"org-b": "small"}][winner],
        )

    async def test_version_read_before_another_was_published(self) -> None:
        """A publication with an outdated predecessor is refused."""
        host = await self.host()
        await host.publisher.publish(sample.make_lists({}), 0)
        stale = await host.publisher.publish(sample.make_lists({}), 0)
        self.assertEqual(stale.failure().reason, errors.Reason.CONFLICT)
        self.assertEqual(len(self.log.entries), 1)

    async def test_lost_answer_is_read_back(self) -> None:
        """A version is published once if the answer to its append is lost.

        The record is appended twice, and the second one has no effect.
        """
        host = await self.host()
        self.log.append_results = ["answer lost"]
        outcome = await host.publisher.publish(sample.make_lists({}), 0)
        self.assertEqual(outcome, result.Success(1))
        self.assertEqual(len(self.log.entries), 2)
        self.assertEqual(host.live.current.version, 1)

    async def test_all_answers_lost(self) -> None:
        """If all answers are lost, the content of the stream decides."""
        host = await self.host()
        self.log.append_results = ["answer lost"] * publisher.APPEND_ATTEMPTS
        outcome = await host.publisher.publish(sample.make_lists({}), 0)
        self.assertEqual(outcome, result.Success(1))

    async def test_unconfirmed_change(self) -> None:
        """If the log is unavailable, the answer says it may have run."""
        host = await self.host()
        self.log.append_results = ["fails"] * publisher.APPEND_ATTEMPTS
        outcome = await host.publisher.publish(sample.make_lists({}), 0)
        self.assertEqual(outcome.failure().ran, errors.Ran.MAY_HAVE_RUN)

    async def test_keys(self) -> None:
        """A key is issued once, withdrawn for good, and not in the stream.

        The record that issued it, appended again, does not make it active.
        """
        host = await self.host()
        await host.publisher.publish(sample.make_lists({"org-a": "small"}), 0)
        self.log.append_results = ["answer lost"]
        issued = await host.publisher.issue_key(ids.OrganisationId("org-a"))
        key_id, key = issued.unwrap()
        self.assertEqual(len(host.live.current.active_keys()), 1)
        self.assertFalse([e for e in self.log.entries if key.encode() in e])
        await host.publisher.withdraw_key(key_id)
        await self.log.append(fakes.STREAM, self.log.entries[1])
        await host.reader.wait_for(ids.Offset(len(self.log.entries) - 1))
        self.assertEqual(host.live.current.active_keys(), [])
        unknown = await host.publisher.issue_key(ids.OrganisationId("org-z"))
        self.assertEqual(unknown.failure().reason, errors.Reason.NOT_FOUND)

    async def test_truncated_stream(self) -> None:
        """A host starts from a snapshot, and refuses requests without one."""
        host = await self.host()
        await host.publisher.publish(sample.make_lists({"org-a": "small"}), 0)
        issued = await host.publisher.issue_key(ids.OrganisationId("org-a"))
        self.log.oldest = len(self.log.entries)
        incomplete = await self.host()
        refusal = incomplete.live.refusal()
        assert refusal is not None
        self.assertEqual(refusal.reason, errors.Reason.UNAVAILABLE)
        refused = await incomplete.publisher.publish(sample.make_lists({}), 0)
        self.assertEqual(refused.failure().ran, errors.Ran.NOT_RUN)
        time = clock.ManualClock(snapshots.FIRST_SNAPSHOT_MS)
        writer = snapshots.SnapshotWriter(
            self.log, fakes.STREAM, host.live, host.reader, time, 10_000, "h1"
        )
        self.assertFalse(await writer.write_if_due())
        time.advance(snapshots.FIRST_SNAPSHOT_MS)
        self.assertTrue(await writer.write_if_due())
        last = ids.Offset(len(self.log.entries) - 1)
        await incomplete.reader.wait_for(last)
        self.assertIsNone(incomplete.live.refusal())
        self.assertEqual(incomplete.live.current.version, 1)
        self.assertTrue(
            incomplete.live.current.is_key_active(issued.unwrap()[0])
        )

    async def test_records_truncated_before_read(self) -> None:
        """A host that missed records accepts no key until a snapshot."""
        live = live_configuration.LiveConfiguration()
        live.consume(
            records.ConfigurationVersion(1, 0, sample.make_lists({})),
            ids.Offset(0),
        )
        self.assertIsNone(live.refusal())
        live.mark_incomplete(ids.Offset(1), ids.Offset(9))
        self.assertIsNotNone(live.refusal())
        self.assertEqual(live.current.version, 1)


class StaleTest(unittest.TestCase):
    """A configuration that is not updated."""

    def test_maximum_age(self) -> None:
        """Above the maximum age keys are refused or accepted, as configured."""
        age_ms = 0.0
        live = live_configuration.LiveConfiguration()
        live.limit_age(lambda: age_ms, 100, live_configuration.OnStale.REFUSE)
        self.assertIsNone(live.refusal())
        age_ms = 101.0
        refusal = live.refusal()
        assert refusal is not None
        self.assertEqual(refusal.ran, errors.Ran.NOT_RUN)
        self.assertTrue(live.dump()["stale"])
        live.limit_age(lambda: age_ms, 100, live_configuration.OnStale.CONTINUE)
        self.assertIsNone(live.refusal())


class SnapshotDueTest(unittest.TestCase):
    """Which host writes the next snapshot."""

    def test_hosts_differ(self) -> None:
        """The host with the smallest jitter writes before the others."""
        due = [
            snapshots.is_due(0, 0, 6000, 10_000, jitter)
            for jitter in (0.0, 0.1, 0.3, 0.9)
        ]
        self.assertEqual(due, [True, True, False, False])
        self.assertTrue(snapshots.is_due(0, 0, 10_000, 10_000, 0.99))
