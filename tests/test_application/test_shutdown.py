"""Integration tests of the shutdown of hosts."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from mangotally.callers import readiness
from mangotally.standins import platform
from tests import fleet as fleet_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.settings import host as host_settings

_WORDS = " ".join(f"w{n}" for n in range(60))
# Delays of each generated token.
_DELAY_MS = 10.0
_DELAY_BEYOND_SWEEPS_MS = 30.0
_DELAY_BEYOND_LEASE_MS = 90.0
_SWEEP_MS = 100
_GRACE_MS = 200
_BETWEEN_TOKENS_MS = 500
_HOSTS = 3

_Stream = asyncio.Task[tuple[int, Any]]


class _SweptPlatform(platform.Platform):
    """A platform whose hosts cancel unclaimed calls after a short time."""

    def host_settings(self, number: int) -> host_settings.HostSettings:
        found = super().host_settings(number)
        targets = found.targets.model_copy(
            update={
                "between_tokens_ms": _BETWEEN_TOKENS_MS,
                "sweep_ms": _SWEEP_MS,
                "sweep_grace_ms": _GRACE_MS,
            }
        )
        return found.model_copy(update={"targets": targets})


@contextlib.asynccontextmanager
async def _swept_fleet(slow_ms: float) -> AsyncIterator[fleet_lib.Fleet]:
    fleet = fleet_lib.Fleet(_HOSTS)
    fleet.local.platform = _SweptPlatform(fleet.local.platform.deployment)
    async with fleet:
        await _slow_engines(fleet, slow_ms)
        yield fleet


async def _open_streams(fleet: fleet_lib.Fleet, entry: int) -> list[_Stream]:
    programs = [await fleet.open_program() for _ in range(6)]
    streams = [
        asyncio.create_task(fleet.turn(name, 1, _WORDS, entry, stream=True))
        for name in programs
    ]
    await _wait_until_running(fleet)
    return streams


async def _slow_engines(
    fleet: fleet_lib.Fleet, slow_ms: float = _DELAY_MS
) -> None:
    for item in fleet.engines():
        item.faults.slow_ms = slow_ms


async def _wait_until_running(fleet: fleet_lib.Fleet) -> None:
    waits = [
        asyncio.create_task(e.call_received.wait()) for e in fleet.engines()
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """A host leaves the fleet while streams are open."""

    async def test_streams_through_the_leaving_host(self) -> None:
        """Streams complete, including those opened through the leaving host."""
        await self._stop_under_streams(entries=(0, 1, 2))

    async def test_streams_at_the_leaving_host(self) -> None:
        """Streams complete if the leaving host is only their program's home."""
        await self._stop_under_streams(entries=(0, 2))

    async def _stop_under_streams(self, entries: tuple[int, ...]) -> None:
        async with fleet_lib.Fleet() as fleet:
            await _slow_engines(fleet)
            programs = [await fleet.open_program() for _ in range(6)]
            turns = [
                asyncio.create_task(
                    fleet.turn(program, 1, _WORDS, entry, stream=True)
                )
                for program, entry in zip(
                    programs, itertools.cycle(entries), strict=False
                )
            ]
            await _wait_until_running(fleet)
            await fleet.stop(1)
            for status, text in await asyncio.gather(*turns):
                self.assertEqual(status, 200)
                self.assertTrue(text.endswith("data: [DONE]\n\n"), text)
                self.assertIn("w59", text)
            for number, program in enumerate(programs):
                entry = 2 * (number % 2)
                status, answer = await fleet.turn(program, 2, "more", entry)
                self.assertEqual(status, 200, answer)
                content = answer["choices"][0]["message"]["content"]
                self.assertIn("turn 2 of 3", content)

    async def test_sweep_leaves_the_streams_of_a_leaving_host(self) -> None:
        """Streams survive sweeps of the pool after their host has left."""
        for leaving in range(_HOSTS):
            with self.subTest(leaving=leaving):
                async with _swept_fleet(_DELAY_BEYOND_SWEEPS_MS) as fleet:
                    streams = await _open_streams(fleet, leaving)
                    await fleet.stop(leaving)
                    await self._check_complete(streams)

    async def test_sweep_leaves_the_streams_of_an_evicted_host(self) -> None:
        """Streams survive sweeps of the pool after their host was evicted."""
        for evicted in range(_HOSTS):
            with self.subTest(evicted=evicted):
                async with _swept_fleet(_DELAY_BEYOND_LEASE_MS) as fleet:
                    streams = await _open_streams(fleet, evicted)
                    fleet.local.hosts[evicted].members.stop_without_leaving()
                    await self._check_complete(streams)

    async def _check_complete(self, streams: list[_Stream]) -> None:
        for status, text in await asyncio.gather(*streams):
            self.assertEqual(status, 200)
            self.assertTrue(text.endswith("data: [DONE]\n\n"), text[-400:])

    async def test_new_work_is_refused_as_not_run(self) -> None:
        """A leaving host is not ready and answers new work with not-run."""
        async with fleet_lib.Fleet(hosts=2) as fleet:
            await _slow_engines(fleet)
            program = await fleet.open_program()
            first = asyncio.create_task(fleet.turn(program, 1, _WORDS))
            await _wait_until_running(fleet)
            self.assertEqual((await fleet.request("GET", "/ready"))[0], 200)
            host_readiness = fleet.local.hosts[0].readiness
            is_refusing = asyncio.Event()

            def refuse() -> None:
                readiness.Readiness.refuse_new_requests(host_readiness)
                is_refusing.set()

            with mock.patch.object(
                host_readiness, "refuse_new_requests", refuse
            ):
                stopping = asyncio.create_task(fleet.stop(0))
                await is_refusing.wait()
            self.assertEqual((await fleet.request("GET", "/ready"))[0], 503)
            self.assertEqual((await fleet.request("GET", "/live"))[0], 200)
            status, answer = await fleet.turn(program, 2, "more")
            self.assertEqual(status, 503)
            self.assertEqual(answer["ran"], "not-run")
            self.assertEqual((await first)[0], 200)
            await stopping

    async def test_killed_home_loses_nothing(self) -> None:
        """The next turn finds the history after the home was killed."""
        async with fleet_lib.Fleet() as fleet:
            programs = [await fleet.open_program() for _ in range(6)]
            for program in programs:
                await fleet.turn(program, 1, "hello")
            await fleet.kill(1)
            for program in programs:
                status, answer = await fleet.turn(program, 2, "more", 2)
                self.assertEqual(status, 200, answer)
                content = answer["choices"][0]["message"]["content"]
                self.assertIn("turn 2 of 3", content)
