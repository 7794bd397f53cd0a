"""A conversation outlasts the history that the platform's log keeps."""

from __future__ import annotations

import asyncio
import pathlib

import kit

SERVICE = "agent-llm"
HOSTS = 3
WORKERS = 3
EVENTS = 4
# RetentionS of the route: a turn is kept, together with its chain, for so long.
KEPT_S = 60.0
# RetentionS under Platform. The pages show 300 s; the case has to end within
# 120 s, so it is shorter here, and the conversation is by as much. Without the
# trouble it is as in the pages.
LOG_S = 60.0 if kit.HAS_TROUBLE else 300.0
CONVERSATIONS = 5
GAP_S = 8.0
TURNS = 10


class Case:
    """What has happened."""

    def __init__(self, fleet: kit.Fleet) -> None:
        self.fleet = fleet
        self.ran: dict[str, bytes] = {}
        # Each whole turn: when it ended.
        self.ended_s: dict[str, float] = {}
        self.lost: list[str] = []
        self.failed: list[str] = []

    async def serve(
        self, worker: kit.Worker, request: kit.Received, reply: kit.Reply
    ) -> None:
        """Generates the stream of a turn."""
        self.fleet.record(
            f"run {request.id} at {worker.id}, {len(request.body)} bytes"
        )
        self.ran[request.id] = request.body
        reply.begin_stream(f"{worker.id}.1")
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.02)
            reply.event(number, f"{request.id}-{number}")
        reply.end_stream()

    async def turn(self, line: int, number: int, host: kit.Host) -> None:
        """Requests the next turn of a conversation."""
        name = f"c{line}t{number}"
        more = {}
        if number:
            more["Parent_Turn"] = f"c{line}t{number - 1}"
        headers = kit.request_headers(
            name,
            3003,
            Token_Usage="400,70",
            Program_Id=f"c{line}",
            Session_Id=f"l{line}",
            Token_Budget="20000",
            Program_Deadline_Ms="100000",
            **more,
        )
        sent_s = kit.now_s()
        answer = await kit.send(
            host.callers, "POST", "/chat/2f", headers, f"in {name};".encode()
        )
        self.fleet.record(
            f"answer {name} by {host.name}: {answer.status} "
            f"{answer.body if answer.status != 200 else b''!r}"
        )
        if answer.status == 200 and answer.is_complete:
            self.ended_s[name] = kit.now_s()
            return
        self.failed.append(name)
        age_s = sent_s - self.ended_s.get(headers.get("Parent-Turn", ""), 0.0)
        if answer.status in (404, 410) and age_s < KEPT_S:
            self.lost.append(name)
            self.fleet.record(f"the parent of {name} ended {age_s:.1f} s ago")


async def case(folder: pathlib.Path) -> bool:
    """Runs the case; returns whether the rule held."""
    async with kit.Fleet(folder, HOSTS) as fleet:
        state = Case(fleet)
        fleet.store.keep_for(LOG_S)
        fleet.workers = [
            kit.Worker(f"w{n}", SERVICE, "z1", fleet.store, state.serve)
            for n in range(WORKERS)
        ]
        routes = [
            kit.route(
                "chat",
                "/chat/",
                "streaming",
                SERVICE,
                3000,
                Retained=True,
                RetentionS=KEPT_S,
            )
        ]
        await fleet.start(kit.configuration(routes, [SERVICE]), ["z1"])
        lines = range(CONVERSATIONS)
        for number in range(TURNS):
            # The last turn comes through another zone than those before.
            host = fleet.hosts[number % 2 if number < TURNS - 1 else 2]
            await asyncio.gather(
                *(state.turn(line, number, host) for line in lines)
            )
            if number < TURNS - 2 and state.failed:
                raise RuntimeError(f"turns failed: {state.failed}")
            if number < TURNS - 1:
                await asyncio.sleep(GAP_S)
        fleet.record(
            f"{len(state.lost)} of {CONVERSATIONS} conversations are lost: "
            f"{state.lost}; failed otherwise: "
            f"{sorted(set(state.failed) - set(state.lost))}"
        )
        return not state.lost


kit.main(str(pathlib.Path(__file__).parent), case)
