"""A turn is taken up again after a kill; the next turn continues from it."""

from __future__ import annotations

import asyncio
import pathlib

import kit

SERVICE = "agent-llm"
EVENTS = 20
EVENT_S = 0.05
HOSTS = 3
WORKERS = 4
CONVERSATIONS = 12
KILL_AFTER_S = 0.5
RETRY_S = 0.1


class Case:
    """What has happened."""

    def __init__(self, fleet: kit.Fleet) -> None:
        self.fleet = fleet
        self.bodies: dict[str, bytes] = {}
        self.taken_up = 0
        self.checked = 0
        self.wrong: list[str] = []

    async def serve(
        self, worker: kit.Worker, request: kit.Received, reply: kit.Reply
    ) -> None:
        """Generates the stream of a turn, from where it is wanted."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.bodies[request.id] = request.body
        self.fleet.record(
            f"run {request.id} at {worker.id} from event {first}: "
            f"{request.body!r}"
        )
        reply.begin_stream(f"{worker.id}.1")
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            reply.event(number, f"word{number}")
        reply.end_stream()

    async def attempt(
        self, line: int, name: str, body: bytes, host: kit.Host, **more: str
    ) -> kit.Answer:
        """Sends one attempt of a turn."""
        headers = kit.request_headers(
            name,
            3003,
            Token_Usage="400,280",
            Program_Id=f"c{line}",
            Session_Id=f"l{line}",
            Token_Budget="20000",
            Program_Deadline_Ms="20000",
            **more,
        )
        answer = await kit.send(host.callers, "POST", "/chat/2f", headers, body)
        self.fleet.record(
            f"answer {name} by {host.name}: {answer.status}, events "
            f"{_ids(answer)}, whole {answer.is_complete} {answer.error}"
        )
        return answer

    async def converse(self, line: int) -> None:
        """Requests a turn, takes it up again if need be, and the next turn."""
        first_input, second_input = b"in-1;", b"in-2;"
        name = f"c{line}a1"
        answer = await self.attempt(
            line, name, first_input, self.fleet.hosts[0]
        )
        data = _data(answer)
        if not answer.is_complete:
            if not data:
                return
            self.taken_up += 1
            await asyncio.sleep(RETRY_S)
            again = f"c{line}a2"
            answer = await self.attempt(
                line,
                again,
                first_input,
                self.fleet.hosts[1 + line % 2],
                Last_Event_Id=_ids(answer)[-1],
                Resumes=name,
            )
            data += _data(answer)
            name = again
            if not answer.is_complete or answer.status != 200:
                return
        await asyncio.sleep(RETRY_S)
        child = f"c{line}b1"
        answer = await self.attempt(
            line,
            child,
            second_input,
            self.fleet.hosts[2 - line % 2],
            Parent_Turn=name,
        )
        if child not in self.bodies:
            return
        self.checked += 1
        right = first_input + b"".join(each + b"\n" for each in data)
        right += second_input
        if self.bodies[child] != right:
            self.wrong.append(child)
            self.fleet.record(
                f"{child} should have run with {right!r}, as its requester "
                f"was told"
            )


def _ids(answer: kit.Answer) -> list[str]:
    lines = answer.body.decode().split("\n")
    return [each[4:] for each in lines if each.startswith("id: ")]


def _data(answer: kit.Answer) -> list[bytes]:
    if answer.status != 200:
        return []
    events = answer.body.split(b"\n\n")[:-1]
    return [each.split(b"data: ")[1] for each in events]


async def case(folder: pathlib.Path) -> bool:
    """Runs the case; returns whether the rule held."""
    async with kit.Fleet(folder, HOSTS) as fleet:
        state = Case(fleet)
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
                Resumable=True,
            )
        ]
        await fleet.start(kit.configuration(routes, [SERVICE]), ["z1"])
        tasks = [
            asyncio.create_task(state.converse(line))
            for line in range(CONVERSATIONS)
        ]
        if kit.HAS_TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            fleet.hosts[0].kill()
            fleet.record(f"{fleet.hosts[0].name} is killed")
        await asyncio.gather(*tasks)
        fleet.record(
            f"{state.taken_up} turns taken up again; {state.checked} next "
            f"turns ran, {len(state.wrong)} of them with a wrong body: "
            f"{state.wrong}"
        )
        if not state.checked:
            raise RuntimeError("no next turn has run")
        return not state.wrong


kit.main(str(pathlib.Path(__file__).parent), case)
