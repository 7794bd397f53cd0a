"""Tests of appends to a partition."""

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


def opened(name: str, service: str = "s") -> records.ProgramOpened:
    """Returns a record that opens a program."""
    return records.ProgramOpened(
        ORGANISATION,
        ids.ProgramId(name),
        None,
        ids.ServiceId(service),
        records.Budget(1000, 10, 60_000),
        60_000,
    )


def make(log: fakes.FakeLog) -> partition_log.Partition:
    """Returns a partition on the running loop's time."""
    clock = fakes.LoopClock(asyncio.get_running_loop())
    return partition_log.Partition(log, STREAM, clock)


class PartitionTest(unittest.TestCase):
    """One writer, two writers, and a log that fails."""

    def test_lost_answer_takes_effect_once(self) -> None:
        """A record whose answer was lost is found, and counts once."""

        async def work() -> None:
            log = fakes.FakeLog()
            partition = make(log)
            log.lost_answers = 2
            outcome = await partition.append(opened("p1"))
            self.assertEqual(outcome, result.Success(True))
            self.assertEqual(len(log.streams[STREAM]), 3)
            again = await partition.append(opened("p1"))
            self.assertEqual(again, result.Success(False))

        fakes.run(work)

    def test_other_writer_is_read_before_own_record(self) -> None:
        """The first record in the log counts, whoever wrote it."""

        async def work() -> None:
            log = fakes.FakeLog()
            first, second = make(log), make(log)
            log.lost_answers = 1
            outcomes = await asyncio.gather(
                first.append(opened("p1")), second.append(opened("p1", "x"))
            )
            values = [outcome.unwrap() for outcome in outcomes]
            self.assertEqual(sorted(values), [False, True])

        fakes.run(work)

    def test_every_append_completes_while_log_is_down(self) -> None:
        """Nobody waits for ever, and kept records are written later."""

        async def work() -> None:
            log = fakes.FakeLog()
            partition = make(log)
            log.down = True
            outcomes = await asyncio.gather(
                partition.append(opened("p1")),
                partition.append(opened("p2"), kept=True),
            )
            for outcome in outcomes:
                self.assertEqual(
                    outcome.failure().reason, errors.Reason.LOG_UNAVAILABLE
                )
            refused = await partition.append(opened("p3"))
            self.assertIsInstance(refused, result.Failure)
            log.down = False
            await asyncio.sleep(5)
            self.assertIsNone(partition.ledger.find(ORGANISATION, _id("p1")))
            self.assertIsNotNone(partition.ledger.find(ORGANISATION, _id("p2")))
            self.assertEqual(partition.pending_bytes, 0)
            after = await partition.append(opened("p3"))
            self.assertEqual(after, result.Success(True))

        fakes.run(work)

    def test_batches_and_records_are_bounded(self) -> None:
        """A record that no log would take does not stop the others."""

        async def work() -> None:
            log = fakes.FakeLog()
            partition = make(log)
            half = "s" * (partition_log.MAX_BATCH_BYTES // 2)
            huge = "s" * partition_log.MAX_RECORD_BYTES
            outcomes = await asyncio.gather(
                partition.append(opened("p0", huge)),
                *(partition.append(opened(f"p{n}", half)) for n in range(1, 5)),
            )
            refused = outcomes[0].failure().reason
            self.assertEqual(refused, errors.Reason.TOO_LARGE)
            self.assertEqual(outcomes[1:], [result.Success(True)] * 4)
            for data in log.streams[STREAM]:
                self.assertLess(len(data), partition_log.MAX_BATCH_BYTES)

        fakes.run(work)

    def test_leaving_writes_what_waits(self) -> None:
        """Kept records reach the log before the writer stops."""

        async def work() -> None:
            log = fakes.FakeLog()
            async with make(log) as partition:
                await partition.append(opened("p1"), wait_ms=0, kept=True)
            self.assertEqual(len(log.streams[STREAM]), 1)

        fakes.run(work)

    def test_failed_read_back_keeps_offsets(self) -> None:
        """A gap that cannot be read at once is read later, not skipped."""

        async def work() -> None:
            log = fakes.FakeLog()
            first, second = make(log), make(log)
            await first.append(opened("p1"))
            appending = asyncio.create_task(second.append(opened("p2")))
            await asyncio.sleep(1.5 * log.delay_ms / 1000)
            self.assertEqual(len(log.streams[STREAM]), 2)
            log.down = True
            await asyncio.sleep(0.5)
            log.down = False
            self.assertEqual(await appending, result.Success(True))
            self.assertIsNotNone(second.ledger.find(ORGANISATION, _id("p1")))

        fakes.run(work)

    def test_busy_writer_groups_records(self) -> None:
        """Records that arrive during an append go with the next."""

        async def work() -> None:
            log = fakes.FakeLog()
            partition = make(log)
            outcomes = await asyncio.gather(
                *(partition.append(opened(f"p{n}")) for n in range(50))
            )
            self.assertEqual(outcomes, [result.Success(True)] * 50)
            self.assertLessEqual(log.appends, 2)

        fakes.run(work)

    def test_missed_records_that_aged_out_start_the_ledger_anew(self) -> None:
        """A ledger with a hole is never used."""

        async def work() -> None:
            log = fakes.FakeLog()
            reader, writer = make(log), make(log)
            await reader.append(opened("p1"))
            await writer.append(opened("p2"))
            await writer.append(opened("p3"))
            log.age_out(STREAM, 2)
            await reader.catch_up()
            self.assertIsNone(reader.ledger.find(ORGANISATION, _id("p1")))
            self.assertIsNotNone(reader.ledger.find(ORGANISATION, _id("p3")))

        fakes.run(work)

    def test_snapshot_outlives_its_records(self) -> None:
        """A snapshot is void if its tree was written to meanwhile."""

        async def work() -> None:
            log = fakes.FakeLog()
            writer, other = make(log), make(log)
            await writer.append(opened("p1"))
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
            await other.append(opened("p2"))
            fresh = await writer.append_snapshot(
                lambda as_of: snapshots.make_tree_snapshot(
                    writer.ledger, root, as_of, 5
                )
            )
            self.assertEqual(fresh, result.Success(True))
            reader = make(log)
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

        fakes.run(work)


def _id(name: str) -> ids.ProgramId:
    return ids.ProgramId(name)
