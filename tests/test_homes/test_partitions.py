"""Tests of partitions that come and go with the view."""

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


def own(hosts: list[ids.HostId]) -> list[int]:
    """Returns the partitions that the first host is home of."""
    return [
        number
        for number in range(COUNT)
        if rendezvous.home(
            rendezvous.partition_key(ids.PartitionId(number)), hosts
        )
        == H1
    ]


class PartitionsTest(unittest.TestCase):
    """Loaded without a call, and forgotten when the home moves."""

    def test_loads_what_it_is_home_of(self) -> None:
        """After a view change, and as soon as the log answers."""

        async def work() -> None:
            loop = asyncio.get_running_loop()
            clock = fakes.LoopClock(loop)
            log = fakes.FakeLog()
            members: Any = fakes.FakeMembers(H1, [H1, H2], clock)
            loaded: list[Any] = []
            log.is_unavailable = True
            found = partitions.Partitions(COUNT, log, members, clock)
            found.on_load(loaded.append)
            async with found:
                await asyncio.sleep(5)
                self.assertEqual(len(found.loaded()), 0)
                log.is_unavailable = False
                await asyncio.sleep(2 * COUNT)
                mine = own([H1, H2])
                self.assertEqual(len(loaded), len(mine))
                self.assertTrue(0 < len(mine) < COUNT)
                members.set_hosts([H1])
                await asyncio.sleep(1)
                self.assertEqual(len(loaded), COUNT)
                members.set_hosts([H2])
                self.assertEqual(found.loaded(), [])
                outcome = await found.of(ORGANISATION, "p")
                reason = outcome.failure().reason
                self.assertEqual(reason, errors.Reason.MOVED)

        fakes.run(work)

    def test_moved_partition_still_writes_what_waits(self) -> None:
        """Records kept for the log survive the move and the stop."""

        async def work() -> None:
            clock = fakes.LoopClock(asyncio.get_running_loop())
            log = fakes.FakeLog()
            members: Any = fakes.FakeMembers(H1, [H1], clock)
            found = partitions.Partitions(1, log, members, clock)
            async with found:
                partition = (await found.of(ORGANISATION, "p")).unwrap()
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
