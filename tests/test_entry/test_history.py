"""Turns are kept before they count, and found by every host."""

from __future__ import annotations

import asyncio
import unittest

from mangotally import ids
from mangotally.entry import history, model, turn_index, turns
from mangotally.policy import rendezvous
from mangotally.util import clock as clock_lib
from tests.test_entry import fake_log

ORGANISATION = ids.OrganisationId("org")
PARTITIONS = 3


def _turn(name: str, parent: str | None, content: bytes) -> turns.Turn:
    return turns.Turn(
        model.TurnId(name),
        ORGANISATION,
        model.TurnId(parent) if parent else None,
        content,
    )


class HistoryTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts with one log."""

    def setUp(self) -> None:
        self.log = fake_log.FakeLog()
        self.clock = clock_lib.SystemClock()
        self.one = self._host("one")
        self.two = self._host("two")

    def _host(self, name: str) -> history.History:
        return history.History(
            self.log, ids.HostId(name), PARTITIONS, self.clock
        )

    async def _keep(
        self, host: history.History, turn: turns.Turn, for_ms: float = 500.0
    ) -> bool:
        return await host.save(turn, self.clock.now_ms() + for_ms)

    async def _chain(
        self, host: history.History, name: str
    ) -> history.Chain | history.NoSuchTurn | history.HistoryUnavailable:
        until_ms = self.clock.now_ms() + 100.0
        return await host.chain(model.TurnId(name), ORGANISATION, until_ms)

    async def test_finds_a_chain_over_hosts(self) -> None:
        await self._keep(self.one, _turn("a", None, b"1"))
        await self._keep(self.two, _turn("b", "a", b"2"))
        await self._keep(self.one, _turn("c", "b", b"3"))
        for host in (self.one, self.two, self._host("new")):
            self.assertEqual(
                await self._chain(host, "c"), history.Chain(b"123", 3)
            )

    async def test_a_long_chain_takes_no_longer_than_a_short_one(self) -> None:
        parent = None
        for number in range(20):
            host = self.two if number % 2 else self.one
            name = f"t{number}"
            if parent is not None:
                await self._chain(host, parent)
            content = f"{number}.".encode()
            self.assertTrue(
                await self._keep(host, _turn(name, parent, content))
            )
            parent = name
        new = self._host("new")
        self.log.rounds = 0
        found = await self._chain(new, "t19")
        expected = "".join(f"{number}." for number in range(20)).encode()
        self.assertEqual(found, history.Chain(expected, 20))
        # The index, then all contents at once.
        self.assertLessEqual(self.log.rounds, 4)

    async def test_a_turn_that_is_no_longer_in_the_index_is_found(self) -> None:
        before = turn_index.MAX_BYTES
        self.addCleanup(setattr, turn_index, "MAX_BYTES", before)
        turn_index.MAX_BYTES = 1000
        for number in range(20):
            await self._keep(self.one, _turn(f"t{number}", None, b"1"))
            await self._chain(self.two, f"t{number}")
        new = self._host("new")
        for number in (19, 0, 5):
            found = await self._chain(new, f"t{number}")
            self.assertEqual(found, history.Chain(b"1", 1), number)
        self.assertIsInstance(
            await self._chain(new, "none"), history.NoSuchTurn
        )

    async def test_a_deleted_turn_is_not_mixed_up_with_the_next(self) -> None:
        await self._keep(self.one, _turn("a", None, b"1"))
        await self._keep(self.one, _turn("b", "a", b"2"))
        await self._keep(self.one, _turn("c", "b", b"3"))
        part = rendezvous.partition_of_key("one", PARTITIONS)
        self.log.first[history.CONTENT_TOPIC, part] = 1
        with self.assertLogs(history.logger):
            found = await self._chain(self.two, "c")
        self.assertIsInstance(found, history.NoSuchTurn)

    async def test_finds_large_turns_among_many(self) -> None:
        large = b"x" * (2 * turns.CHUNK_BYTES + 1)
        await asyncio.gather(
            *(
                self._keep(self.one, _turn(f"t{n}", None, b"-"))
                for n in range(9)
            ),
            self._keep(self.one, _turn("large", None, large)),
        )
        self.assertEqual(
            await self._chain(self.two, "large"), history.Chain(large, 1)
        )

    async def test_lost_answers_do_no_harm(self) -> None:
        self.log.lose = 3
        self.assertTrue(await self._keep(self.one, _turn("a", None, b"1")))
        self.assertEqual(
            await self._chain(self.two, "a"), history.Chain(b"1", 1)
        )

    async def test_is_not_kept_without_the_log(self) -> None:
        self.log.refuse = 10_000
        kept = await self._keep(self.one, _turn("a", None, b"1"), 100.0)
        self.assertFalse(kept)

    async def test_knows_not_rather_than_denies(self) -> None:
        await self._keep(self.one, _turn("a", None, b"1"))
        self.log.refuse = 10_000
        self.assertIsInstance(
            await self._chain(self.two, "a"), history.HistoryUnavailable
        )
        self.log.refuse = 0
        self.assertIsInstance(
            await self._chain(self.two, "none"), history.NoSuchTurn
        )

    async def test_hides_other_organisations_turns(self) -> None:
        await self._keep(self.one, _turn("a", None, b"1"))
        found = await self.one.chain(
            model.TurnId("a"), ids.OrganisationId("other"), 0.0
        )
        self.assertIsInstance(found, history.NoSuchTurn)
