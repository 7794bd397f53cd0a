"""Tests of group commit to a partition."""

from __future__ import annotations

import asyncio
import unittest

from returns import result

from mangotally import errors, ids
from mangotally.log import partition as partition_log
from mangotally.policy import records, snapshots
from tests import history_fakes as fakes

ORGANISATION = ids.OrganisationId("o1")
STREAM = "history-0"


def program_opened(name: str, service: str = "s") -> records.ProgramOpened:
    """Returns a record that opens a program."""
    return records.ProgramOpened(
        ORGANISATION,
        ids.ProgramId(name),
        None,
        ids.ServiceId(service),
        records.Budget(1000, 10, 60_000),
        60_000,
    )


def make_partition(log: fakes.FakeLog) -> partition_log.Partition:
    """Returns a partition with the clock of the running loop."""
    clock = fakes.LoopClock(asyncio.get_running_loop())
    return partition_log.Partition(log, STREAM, clock)


class PartitionTest(unittest.TestCase):
    """One or two writers, with a log that may fail."""

    def test_lost_answer_takes_effect_once(self) -> None:
        """A record that is retried after a lost answer takes effect once."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            partition = make_partition(log)
            log.lost_acknowledgements = 2
            outcome = await partition.append(program_opened("p1"))
            self.assertEqual(outcome, result.Success(True))
            self.assertEqual(len(log.streams[STREAM]), 3)
            again = await partition.append(program_opened("p1"))
            self.assertEqual(again, result.Success(False))

        fakes.run(scenario)

    def test_other_writer_is_read_before_own_record(self) -> None:
        """Of two conflicting records the first in the log takes effect."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            first, second = make_partition(log), make_partition(log)
            log.lost_acknowledgements = 1
            outcomes = await asyncio.gather(
                first.append(program_opened("p1")),
                second.append(program_opened("p1", "x")),
            )
            values = [outcome.unwrap() for outcome in outcomes]
            self.assertEqual(sorted(values), [False, True])

        fakes.run(scenario)

    def test_every_append_completes_while_log_is_down(self) -> None:
        """Every call returns; records marked for retry are written later."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            partition = make_partition(log)
            log.is_unavailable = True
            outcomes = await asyncio.gather(
                partition.append(program_opened("p1")),
                partition.append(
                    program_opened("p2"), retry_after_timeout=True
                ),
            )
            for outcome in outcomes:
                self.assertEqual(
                    outcome.failure().reason, errors.Reason.LOG_UNAVAILABLE
                )
            refused = await partition.append(program_opened("p3"))
            self.assertIsInstance(refused, result.Failure)
            log.is_unavailable = False
            await asyncio.sleep(5)
            self.assertIsNone(partition.ledger.find(ORGANISATION, _id("p1")))
            self.assertIsNotNone(partition.ledger.find(ORGANISATION, _id("p2")))
            self.assertEqual(partition.pending_bytes, 0)
            after = await partition.append(program_opened("p3"))
            self.assertEqual(after, result.Success(True))

        fakes.run(scenario)

    def test_batches_and_records_are_bounded(self) -> None:
        """A record over the size limit does not block the others."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            partition = make_partition(log)
            half = "s" * (partition_log.MAX_BATCH_BYTES // 2)
            huge = "s" * partition_log.MAX_RECORD_BYTES
            outcomes = await asyncio.gather(
                partition.append(program_opened("p0", huge)),
                *(
                    partition.append(program_opened(f"p{n}", half))
                    for n in range(1, 5)
                ),
            )
            refused = outcomes[0].failure().reason
            self.assertEqual(refused, errors.Reason.TOO_LARGE)
            self.assertEqual(outcomes[1:], [result.Success(True)] * 4)
            for data in log.streams[STREAM]:
                self.assertLess(len(data), partition_log.MAX_BATCH_BYTES)

        fakes.run(scenario)

    def test_exit_flushes_pending_records(self) -> None:
        """Records marked for retry are written before the writer stops."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            async with make_partition(log) as partition:
                await partition.append(
                    program_opened("p1"), wait_ms=0, retry_after_timeout=True
                )
            self.assertEqual(len(log.streams[STREAM]), 1)

        fakes.run(scenario)

    def test_failed_read_back_keeps_offsets(self) -> None:
        """A gap is read again after a failed read, not skipped."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            first, second = make_partition(log), make_partition(log)
            await first.append(program_opened("p1"))
            appending = asyncio.create_task(second.append(program_opened("p2")))
            await asyncio.sleep(1.5 * log.delay_ms / 1000)
            self.assertEqual(len(log.streams[STREAM]), 2)
            log.is_unavailable = True
            await asyncio.sleep(0.5)
            log.is_unavailable = False
            self.assertEqual(await appending, result.Success(True))
            self.assertIsNotNone(second.ledger.find(ORGANISATION, _id("p1")))

        fakes.run(scenario)

    def test_busy_writer_groups_records(self) -> None:
        """Records that arrive during an append are written by the next one."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            partition = make_partition(log)
            outcomes = await asyncio.gather(
                *(partition.append(program_opened(f"p{n}")) for n in range(50))
            )
            self.assertEqual(outcomes, [result.Success(True)] * 50)
            self.assertLessEqual(log.appends, 2)

        fakes.run(scenario)

    def test_gap_left_by_retention_clears_the_ledger(self) -> None:
        """A ledger that misses removed records is never used."""

        async def scenario() -> None:
            log = fakes.FakeLog()
            reader, writer = make_partition(log), make_partition(log)
            await reader.append(program_opened("p1"))
            await writer.append(program_opened("p2"))
            await writer.append(program_opened("p3"))
            log.age_out(STREAM, 2)
            await reader.catch_up()
            self.assertIsNone(reader.ledger.find(ORGANISATION, _id("p1")))
            self.assertIsNotNone(reader.ledger.find(ORGANISATION, _id("p3")))

        fakes.run(scenario)

    def test_snapshot_outlives_its_records(self) -> None:
        """A snapshot replaces its tree's records, unless it is outdated.

        It is void if its tree was written to in between.
        """

        async def scenario() -> None:
            log = fakes.FakeLog()
            writer, other = make_partition(log), make_partition(log)
            await writer.append(program_opened("p1"))
            root = (ORGANISATION, _id("p1"))
            begun = records.TurnBegun(
                *root, 1, ids.AttemptId("a1"), "digest", 100
            )
            await other.append(begun)
            stale = await writer.append_snapshot(
                lambda as_of: snapshots.make_tree_snapshot(
                    writer.ledger, root, as_of, 5
                )
            )
            self.assertEqual(stale, result.Success(False))
            await other.append(program_opened("p2"))
            fresh = await writer.append_snapshot(
                lambda as_of: snapshots.make_tree_snapshot(
                    writer.ledger, root, as_of, 5
                )
            )
            self.assertEqual(fresh, result.Success(True))
            reader = make_partition(log)
            log.age_out(STREAM, 4)
            await reader.catch_up()
            self.assertIsNone(reader.ledger.find(*root))
            late = await writer.append_snapshot(
                lambda as_of: snapshots.make_tree_snapshot(
                    writer.ledger, root, as_of, 6
                )
            )
            self.assertEqual(late, result.Success(True))
            await reader.catch_up()
            self.assertEqual(
                reader.ledger.find(*root), writer.ledger.find(*root)
            )

        fakes.run(scenario)


def _id(name: str) -> ids.ProgramId:
    return ids.ProgramId(name)
