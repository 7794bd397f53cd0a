"""Tests of mangotally.homes.partitions.

The home of a partition is the host that owns its key.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from returns import result

from mangotally import errors, ids
from mangotally.homes import partitions
from mangotally.policy import records, rendezvous
from tests import history_fakes as fakes

H1, H2 = ids.HostId("h1"), ids.HostId("h2")
ORGANISATION = ids.OrganisationId("o1")
COUNT = 8


def home_partitions(hosts: list[ids.HostId]) -> list[int]:
    """Returns the partitions whose home is the first host."""
    return [
        number
        for number in range(COUNT)
        if rendezvous.home(
            rendezvous.partition_key(ids.PartitionId(number)), hosts
        )
        == H1
    ]


class PartitionsTest(unittest.TestCase):
    """Partitions are loaded and unloaded when the view changes."""

    def test_loads_partitions_of_this_home(self) -> None:
        """Loads after a change of the view, and when the log is back."""

        async def work() -> None:
            loop = asyncio.get_running_loop()
            clock = fakes.LoopClock(loop)
            log = fakes.FakeLog()
            members: Any = fakes.FakeMembers(H1, [H1, H2], clock)
            loaded: list[Any] = []
            log.is_unavailable = True
            host_partitions = partitions.Partitions(COUNT, log, members, clock)
            host_partitions.on_load(loaded.append)
            async with host_partitions:
                await asyncio.sleep(5)
                self.assertEqual(len(host_partitions.loaded()), 0)
                log.is_unavailable = False
                await asyncio.sleep(2 * COUNT)
                expected = home_partitions([H1, H2])
                self.assertEqual(len(loaded), len(expected))
                self.assertTrue(0 < len(expected) < COUNT)
                members.set_hosts([H1])
                await asyncio.sleep(1)
                self.assertEqual(len(loaded), COUNT)
                members.set_hosts([H2])
                self.assertEqual(host_partitions.loaded(), [])
                outcome = await host_partitions.partition_for(ORGANISATION, "p")
                reason = outcome.failure().reason
                self.assertEqual(reason, errors.Reason.MOVED)

        fakes.run(work)

    def test_moved_partition_writes_pending_records(self) -> None:
        """Pending records are written despite the move and the stop."""

        async def work() -> None:
            clock = fakes.LoopClock(asyncio.get_running_loop())
            log = fakes.FakeLog()
            members: Any = fakes.FakeMembers(H1, [H1], clock)
            host_partitions = partitions.Partitions(1, log, members, clock)
            async with host_partitions:
                partition = (
                    await host_partitions.partition_for(ORGANISATION, "p")
                ).unwrap()
                dropped = records.CallDropped(
                    ORGANISATION, "k", ids.AttemptId("a")
                )
                outcome = await partition.append(
                    dropped, wait_ms=0, retry_after_timeout=True
                )
                self.assertIsInstance(outcome, result.Failure)
                members.set_hosts([H2])
            self.assertEqual(len(log.streams["history-0"]), 1)

        fakes.run(work)
