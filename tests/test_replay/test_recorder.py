"""Tests of the trace recorder."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

import aiohttp

from mangotally import application, ids
from mangotally.commands import replay
from mangotally.replay import parameters, recorder, results, runner, trace
from mangotally.standins import deployments, platform

SERVICE = ids.ServiceId("agent-llm")


def make_header(service: ids.ServiceId) -> trace.Header:
    """Returns the header of a shipped trace."""
    return replay.load("lakeshore-ordinary").unwrap().trace.header


def make_turn(
    program: str, start_ms: float, prompt_tokens: int, answer_tokens: int = 10
) -> recorder.TurnRecord:
    """Returns a turn that took one second."""
    return recorder.TurnRecord(
        ids.OrganisationId("harbour-erie"),
        ids.ProgramId(program),
        SERVICE,
        start_ms,
        start_ms + 1000.0,
        prompt_tokens,
        answer_tokens,
    )


class RecorderTest(unittest.TestCase):
    """The recorder without a host."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "day.jsonl"

    def read(self) -> trace.Trace:
        """Returns the recorded trace."""
        found = trace.load(self.path.with_name(f"day-{SERVICE}.jsonl"))
        return found.unwrap()

    def test_program_with_agent(self) -> None:
        """Lengths, pauses and sub-agents are recorded unchanged."""
        with recorder.TraceRecorder(
            self.path, make_header, 500.0
        ) as trace_recorder:
            trace_recorder.record_turn(make_turn("pa", 1000.0, 100))
            trace_recorder.record_turn(make_turn("pa.x", 2000.0, 40))
            trace_recorder.record_program_end(ids.ProgramId("pa.x"))
            trace_recorder.record_turn(make_turn("pa", 5000.0, 150))
            trace_recorder.record_program_end(ids.ProgramId("pa"))
            trace_recorder.record_program_end(ids.ProgramId("pa"))
        expected = trace.Program(
            id="p1",
            at_ms=500,
            organisation="harbour-erie",
            turns=((100, 10, 3000), (40, 10, 0)),
            agents=(trace.Agent(after_turn=1, turns=((40, 10, 0),)),),
        )
        self.assertEqual(self.read().programs, (expected,))

    def test_open_programs_are_written_at_the_end(self) -> None:
        """Programs that have not ended are written with their sub-agents."""
        with recorder.TraceRecorder(
            self.path, make_header, 0.0
        ) as trace_recorder:
            trace_recorder.record_turn(make_turn("pa", 0.0, 100))
            trace_recorder.record_turn(make_turn("pa.x", 2000.0, 40))
            trace_recorder.record_turn(make_turn("pb", 3000.0, 60))
        found = self.read().programs
        self.assertEqual(sorted(len(row.agents) for row in found), [0, 1])

    def test_memory_is_bounded(self) -> None:
        """Programs are written early if they are too many or too long."""
        with recorder.TraceRecorder(
            self.path, make_header, 0.0
        ) as trace_recorder:
            for number in range(recorder.MAX_OPEN_PROGRAMS + 5):
                trace_recorder.record_turn(make_turn(f"p{number}", 0.0, 100))
            for number in range(trace.MAX_TURNS + 1):
                trace_recorder.record_turn(
                    make_turn("long", 2000.0 * number, 100)
                )
            self.assertLessEqual(
                len(trace_recorder._open), recorder.MAX_OPEN_PROGRAMS
            )
        found = self.read().programs
        self.assertEqual(len(found), recorder.MAX_OPEN_PROGRAMS + 7)


class HostTest(unittest.IsolatedAsyncioTestCase):
    """A host that records a trace."""

    async def test_recorded_trace_replays(self) -> None:
        """A recorded trace has no messages or API keys and can be replayed."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "My Day.jsonl"
            key = await self.talk(path)
            recorded = path.with_name(f"My Day-{SERVICE}.jsonl")
            content = recorded.read_bytes()
            self.assertNotIn(b"anemometer", content)
            self.assertNotIn(key.encode(), content)
            source = trace.load(recorded).unwrap()
        self.assertEqual([len(row.turns) for row in source.programs], [2])
        found = runner.Replay(
            source,
            parameters.Parameters(),
            replay.FAIR,
            replay.POLICIES[replay.FAIR](),
        ).run()
        self.assertEqual(
            [row.end for row in found.programs], [results.ProgramEnd.DONE]
        )

    async def talk(self, path: pathlib.Path) -> str:
        """Runs a conversation of two turns; returns the API key."""
        stand_ins = platform.Platform(deployments.lakeshore())
        async with stand_ins, aiohttp.ClientSession() as session:
            settings = stand_ins.host_settings(1)
            _, key = stand_ins.keys[ids.OrganisationId("harbour-erie")]
            base = f"http://{settings.address}:{settings.port}/v1"
            headers = {"Authorization": f"Bearer {key}"}
            async with application.Application(settings, record=path):
                body: dict[str, object] = {"service": SERVICE}
                async with session.post(
                    f"{base}/programs", json=body, headers=headers
                ) as response:
                    program = (await response.json())["program_id"]
                for turn in (1, 2):
                    text = {"role": "user", "content": "anemometer"}
                    async with session.post(
                        f"{base}/chat/completions",
                        json={"model": SERVICE, "messages": [text]},
                        headers=headers
                        | {
                            "Mangotally-Program": program,
                            "Mangotally-Turn": str(turn),
                        },
                    ) as response:
                        self.assertEqual(response.status, 200)
        return key
