"""Tests of streams whose targets run several software versions."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
import unittest
from unittest import mock

import aiohttp

from mangotally import ids
from mangotally.entry import model, stream_origins
from mangotally.platform import standin_worker
from mangotally.policy import dispatch, resumption
from tests import entry_fleet
from tests.entry_fleet import QUERY, with_fleet

NEW = "v2"
EVENTS = 6
FIRST_PART = 2
SLOW_EVENT_MS = 400.0
# A refusal must come long before the caller's time limit of 3 s.
AT_ONCE_S = 0.4


def _events(first: int, last: int, version: str) -> bytes:
    return b"".join(
        standin_worker.event(number, version)
        for number in range(first, last + 1)
    )


@dataclasses.dataclass(frozen=True)
class _Answer:
    """What a caller received.

    Attributes:
        status: HTTP status.
        body: The body, as far as it came.
        is_complete: Whether the answer ended as complete.
        retry_after: Value of the Retry-After header, or None.
    """

    status: int
    body: bytes
    is_complete: bool
    retry_after: str | None


class _Versions(entry_fleet.EntryFleet):
    """A fleet whose model targets run two versions."""

    def __init__(self, versions: tuple[str, ...]) -> None:
        super().__init__(models=len(versions))
        for worker, version in zip(self.models, versions, strict=True):
            worker.version = version
            worker.events = EVENTS

    async def stream(self, request_id: str, host: int, **sent: str) -> _Answer:
        """Reads a stream until it ends or breaks."""
        headers = {
            "Host": entry_fleet.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "3000",
            "Authorization": f"Bearer {entry_fleet.KEY}",
            "Program-Id": "p1",
            "Token-Budget": "100000",
            "Token-Usage": "5,50",
            "Program-Deadline-Ms": "5000",
        }
        headers |= {name.replace("_", "-"): text for name, text in sent.items()}
        body = b""
        is_complete = False
        async with self.session.post(
            self.urls[host] + QUERY, data=b"in", headers=headers
        ) as response:
            with contextlib.suppress(aiohttp.ClientPayloadError):
                async for chunk in response.content.iter_any():
                    body += chunk
                is_complete = True
            return _Answer(
                response.status,
                body,
                is_complete,
                response.headers.get("Retry-After"),
            )

    async def resume(
        self, request_id: str, host: int, resumes: str, last_event: int
    ) -> _Answer:
        """Continues a stream."""
        return await self.stream(
            request_id,
            host,
            Resumes=resumes,
            Last_Event_Id=str(last_event),
        )

    def only(self, version: str) -> None:
        """Lets only the targets of a version accept requests."""
        for worker in self.models:
            worker.faults.shed = worker.version != version

    async def begin_and_break(self, version: str, request_id: str) -> None:
        """Begins a stream at a version, and breaks it off."""
        self.only(version)
        for worker in self.models:
            worker.faults.cut_after = FIRST_PART
        answer = await self.stream(request_id, 0)
        assert answer.body == _events(1, FIRST_PART, version), answer
        assert not answer.is_complete
        for worker in self.models:
            worker.faults.cut_after = -1
            worker.faults.shed = False

    async def set_state(
        self, worker: standin_worker.StandInWorker, state: str
    ) -> None:
        """Changes the state of a target, and waits until all hosts know."""
        record = worker.registration(state)
        self.store.put("keyed.servers", worker.name, record)
        await entry_fleet.wait_for(
            lambda: all(
                listed is not None and listed.state.value == state
                for listed in self.listed(worker)
            )
        )

    async def remove(self, worker: standin_worker.StandInWorker) -> None:
        """Removes the entry of a target, and waits until all hosts know."""
        self.store.put("keyed.servers", worker.name, None)
        await entry_fleet.wait_for(
            lambda: not any(each for each in self.listed(worker))
        )

    def listed(
        self, worker: standin_worker.StandInWorker
    ) -> list[model.Target | None]:
        """Returns a target as each host knows it."""
        target = ids.TargetId(worker.name)
        return [host._directory.find(target) for host in self.hosts]

    async def restart_hosts(self) -> None:
        """Replaces all hosts by new ones that know nothing."""
        count = len(self.hosts)
        for stack in self._stacks:
            await stack.aclose()
        self._stacks.clear()
        self.hosts.clear()
        self.urls.clear()
        for number in range(count):
            await self.add_host(f"n{number}")
        await self.wait_until_ready()


class OneAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Within one answer a stream is continued by its version only."""

    async def test_is_aborted_rather_than_joined(self) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            for begun, other in (fleet.models, fleet.models[::-1]):
                begun.faults.cut_after = FIRST_PART
                other.faults.shed = True
                call = fleet.stream(f"a-{begun.name}", 0)
                task = asyncio.create_task(call)
                await entry_fleet.wait_for(begun.executed.__len__)
                other.faults.shed = False
                answer = await task
                self.assertEqual(
                    answer.body, _events(1, FIRST_PART, begun.version)
                )
                self.assertFalse(answer.is_complete)
                self.assertEqual(other.executed, [])
                begun.faults.cut_after = -1
                begun.executed.clear()

    async def test_is_continued_by_another_target_of_its_version(self) -> None:
        async with _Versions(("v1", NEW, NEW)) as fleet:
            old, first, second = fleet.models
            await fleet.set_state(old, "draining")
            for worker in (first, second):
                worker.faults.cut_after = FIRST_PART
                worker.event_ms = SLOW_EVENT_MS
            task = asyncio.create_task(fleet.stream("a", 0))
            await entry_fleet.wait_for(lambda: first.executed + second.executed)
            await fleet.set_state(old, "ready")
            other = second if first.executed else first
            other.faults.cut_after = -1
            answer = await task
            self.assertEqual(answer.body, _events(1, EVENTS, NEW))
            self.assertTrue(answer.is_complete)

    async def test_is_aborted_if_its_target_has_changed_its_version(
        self,
    ) -> None:
        async with _Versions(("v1", "v1")) as fleet:
            begun, other = fleet.models
            await fleet.set_state(other, "draining")
            begun.faults.cut_after = FIRST_PART
            begun.event_ms = 2 * SLOW_EVENT_MS
            task = asyncio.create_task(fleet.stream("a", 0))
            await entry_fleet.wait_for(begun.executed.__len__)
            begun.version = NEW
            await fleet.set_state(begun, "draining")
            await fleet.set_state(other, "ready")
            answer = await task
            self.assertFalse(answer.is_complete)
            self.assertEqual(other.executed, [])

    async def test_is_not_joined_if_the_home_ignores_versions(self) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            await fleet.begin_and_break(NEW, "a")
            fleet.models[0].executed.clear()
            # The target that refused is paused for a moment.
            await asyncio.sleep(0.3)
            with mock.patch.object(
                dispatch.QueuedRequest,
                "allows",
                lambda request, target, _: target not in request.excluded,
            ):
                # Another program, which prefers neither target.
                answer = await fleet.stream(
                    "b",
                    1,
                    Resumes="a",
                    Last_Event_Id=str(FIRST_PART),
                    Program_Id="p2",
                )
            self.assertEqual(answer.body, _events(FIRST_PART + 1, EVENTS, NEW))
            self.assertEqual(fleet.models[0].executed, [])


class ResumptionTest(unittest.IsolatedAsyncioTestCase):
    """Callers resume streams at any host, at the same version only."""

    async def test_is_continued_by_its_version_after_all_hosts_restarted(
        self,
    ) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            for version in ("v1", NEW):
                await fleet.begin_and_break(version, f"a-{version}")
            await fleet.restart_hosts()
            for host in range(2):
                for version in ("v1", NEW):
                    answer = await fleet.resume(
                        f"b-{version}-{host}", host, f"a-{version}", FIRST_PART
                    )
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(
                        answer.body, _events(FIRST_PART + 1, EVENTS, version)
                    )

    async def test_a_second_resumption_names_the_first_request(self) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            await fleet.begin_and_break("v1", "a")
            for worker in fleet.models:
                worker.faults.cut_after = FIRST_PART + 1
            answer = await fleet.resume("b", 1, "a", FIRST_PART)
            self.assertEqual(answer.body, standin_worker.event(3))
            for worker in fleet.models:
                worker.faults.cut_after = -1
            answer = await fleet.resume("c", 0, "a", FIRST_PART + 1)
            self.assertEqual(answer.body, _events(4, EVENTS, "v1"))

    async def test_is_refused_at_once_if_its_version_has_left(self) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            await fleet.begin_and_break("v1", "a")
            await fleet.remove(fleet.models[0])
            fleet.models[1].executed.clear()
            begin_s = time.monotonic()
            answer = await fleet.resume("b", 1, "a", FIRST_PART)
            self.assertLess(time.monotonic() - begin_s, AT_ONCE_S)
            self.assertEqual((answer.status, answer.retry_after), (503, None))
            self.assertEqual(fleet.models[1].executed, [])

    async def test_is_refused_to_another_organisation(self) -> None:
        async with _Versions(("v1",)) as fleet:
            await fleet.begin_and_break("v1", "a")
            fleet.models[0].executed.clear()
            answer = await fleet.stream(
                "b",
                1,
                Resumes="a",
                Last_Event_Id=str(FIRST_PART),
                Authorization=f"Bearer {entry_fleet.OTHER_KEY}",
            )
            self.assertEqual((answer.status, answer.retry_after), (503, None))
            self.assertEqual(fleet.runs(), [])

    async def test_an_unknown_stream_is_refused(self) -> None:
        async with _Versions((NEW,)) as fleet:
            begin_s = time.monotonic()
            answer = await fleet.resume("b", 1, "unknown", FIRST_PART)
            self.assertLess(time.monotonic() - begin_s, AT_ONCE_S)
            self.assertEqual((answer.status, answer.retry_after), (503, None))
            self.assertEqual(fleet.runs(), [])

    async def test_unnamed_is_continued_only_if_one_version_has_served(
        self,
    ) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            for host in fleet.hosts:
                host._directory._followed_since_ms = 0.0
            answer = await fleet.stream("a", 1, Last_Event_Id="2")
            self.assertEqual((answer.status, answer.retry_after), (503, None))
            await fleet.remove(fleet.models[1])
            answer = await fleet.stream("b", 1, Last_Event_Id="2")
            self.assertEqual(answer.status, 503)
            self.assertEqual(fleet.runs(), [])
            for host in fleet.hosts:
                host._directory._ended_ms.clear()
            answer = await fleet.stream("c", 1, Last_Event_Id="2")
            self.assertEqual(answer.body, _events(3, EVENTS, "v1"))

    async def test_unnamed_is_not_joined_at_a_host_that_is_out_of_step(
        self,
    ) -> None:
        """A version has joined that the host does not know yet."""
        async with _Versions(("v1", NEW)) as fleet:
            await fleet.remove(fleet.models[1])
            for host in fleet.hosts:
                host._directory._ended_ms.clear()
                host._directory._followed_since_ms = 0.0
            late = fleet.hosts[0]
            late._targets._pause_ms = 60_000.0
            # The last change that the host reads; it pauses afterwards.
            record = fleet.models[0].registration() | {"Slots": 3}
            fleet.store.put("keyed.servers", fleet.models[0].name, record)
            await entry_fleet.wait_for(
                lambda: all(
                    each is not None and each.slots == 3
                    for each in fleet.listed(fleet.models[0])
                )
            )
            joined = fleet.models[1]
            fleet.store.put("keyed.servers", joined.name, joined.registration())
            others = fleet.hosts[1]._directory
            await entry_fleet.wait_for(
                lambda: others.find(ids.TargetId(joined.name))
            )
            self.assertIsNone(late._directory.find(ids.TargetId(joined.name)))
            answer = await fleet.stream("b", 0, Last_Event_Id="2")
            self.assertEqual(answer.status, 503)
            self.assertEqual(fleet.runs(), [])

    async def test_an_answer_that_brought_no_event_is_not_resumed(
        self,
    ) -> None:
        async with _Versions((NEW,)) as fleet:
            answer = await fleet.stream("b", 1, Last_Event_Id="0")
            self.assertEqual(answer.body, _events(1, EVENTS, NEW))

    async def test_is_refused_if_its_target_has_changed_its_version(
        self,
    ) -> None:
        async with _Versions(("v1", "v1")) as fleet:
            await fleet.begin_and_break("v1", "a")
            for worker in fleet.models:
                changed = worker.registration() | {"Version": NEW, "born": 2}
                if worker.executed:
                    fleet.store.put("keyed.servers", worker.name, changed)
            await asyncio.sleep(2.0)
            answer = await fleet.resume("b", 1, "a", FIRST_PART)
            self.assertEqual(answer.status, 503)

    async def test_is_refused_if_its_route_has_another_service(self) -> None:
        async with _Versions(("v1",)) as fleet:
            origin = resumption.Origin(
                ids.ServiceId("other"), None, ids.SoftwareVersion("v1"), None
            )
            runner = fleet.hosts[0]._handler._dependencies.attempts
            stream = stream_origins.StreamId(
                ids.OrganisationId(entry_fleet.ORGANISATION),
                model.RequestId("a"),
            )
            runner._origins.record(stream, origin)
            answer = await fleet.resume("b", 0, "a", FIRST_PART)
            self.assertEqual(answer.status, 503)
            self.assertIn(b"stream-unknown", answer.body)
            self.assertEqual(fleet.runs(), [])

    async def test_waits_for_the_store_while_that_is_useful(self) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            await fleet.begin_and_break("v1", "a")
            fleet.store.faults.refuse = True
            answer = await fleet.resume("b", 1, "a", FIRST_PART)
            self.assertEqual(answer.status, 503)
            self.assertIsNotNone(answer.retry_after)
            fleet.store.faults.refuse = False
            answer = await fleet.resume("c", 1, "a", FIRST_PART)
            self.assertEqual(answer.body, _events(3, EVENTS, "v1"))

    async def test_is_recorded_once_the_store_is_back(self) -> None:
        async with _Versions(("v1", NEW)) as fleet:
            for worker in fleet.models:
                worker.event_ms = SLOW_EVENT_MS
            call = fleet.begin_and_break("v1", "a")
            task = asyncio.create_task(call)
            await entry_fleet.wait_for(fleet.models[0].executed.__len__)
            fleet.store.faults.refuse = True
            await task
            fleet.store.faults.refuse = False
            await asyncio.sleep(0.3)
            answer = await fleet.resume("b", 1, "a", FIRST_PART)
            self.assertEqual(answer.body, _events(3, EVENTS, "v1"))


class ExpositionTest(unittest.IsolatedAsyncioTestCase):
    """Operators see how many streams were resumed."""

    @with_fleet
    async def test_outcomes_are_counted(
        self, fleet: entry_fleet.EntryFleet
    ) -> None:
        await fleet.turn(QUERY, Last_Event_Id="2", Resumes="unknown")
        self.assertIn(
            b'mangotally_stream_resumptions_total{outcome="stream-unknown"} 1',
            fleet.hosts[0]._monitor.render(),
        )
