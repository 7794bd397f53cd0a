"""Tests of messages to homes that change while a message is sent."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.hosts import messages, peers, router
from tests import history_fakes as fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

H1, H2 = ids.HostId("h1"), ids.HostId("h2")
Answer = errors.Outcome[Any]
MOVED: Answer = errors.failed(errors.Reason.MOVED, "moved")
LOST: Answer = errors.failed(
    errors.Reason.UNAVAILABLE, "lost", errors.Ran.MAY_HAVE_RUN
)
REFUSED: Answer = errors.failed(errors.Reason.OVER_BUDGET, "none left")
CHUNK: Answer = result.Success(messages.TurnText("a"))
END: Answer = result.Success(messages.Done())


class Directory:
    """A directory in which one host, set by the test, owns all keys."""

    def __init__(self) -> None:
        self.host = H1
        self.home: ids.HostId | None = H2

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns a made-up address for any host."""
        return f"address of {host}"

    def home_of(self, _key: str) -> ids.HostId | None:
        """Returns the home of all keys."""
        return self.home


class ScriptedPeerClient(peers.PeerClient):
    """A client that returns scripted answers, one list per attempt."""

    def __init__(self, *attempts: list[errors.Outcome[Any]]) -> None:
        self.directory = Directory()
        super().__init__(self.directory, router.Router())
        self.attempts = list(attempts)
        self.called_hosts: list[ids.HostId | None] = []

    async def stream(
        self, host: ids.HostId | None, _message: Any
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Yields the answers of the next attempt; the last one repeats."""
        self.called_hosts.append(host)
        answers = self.attempts[0]
        if len(self.attempts) > 1:
            self.attempts.pop(0)
        for answer in answers:
            yield answer


def collect(client: ScriptedPeerClient) -> list[errors.Outcome[Any]]:
    """Returns the answers to one message that is sent to a home."""

    async def read_all() -> list[errors.Outcome[Any]]:
        return [item async for item in client.stream_home("k", messages.Done())]

    answers: list[errors.Outcome[Any]] = fakes.run(read_all)
    return answers


class HomeCallTest(unittest.TestCase):
    """Which answers lead to a retry, and what is reported at the end."""

    def test_retries_after_moved_and_lost(self) -> None:
        """A message is retried until the actual home answers."""
        client = ScriptedPeerClient([MOVED], [LOST], [CHUNK, END])
        self.assertEqual(collect(client), [CHUNK, END])
        self.assertEqual(len(client.called_hosts), 3)

    def test_no_retry_after_first_answer(self) -> None:
        """A stream that fails after its first answer is not restarted."""
        client = ScriptedPeerClient([CHUNK, LOST], [END])
        self.assertEqual(collect(client), [CHUNK, LOST])

    def test_refusal_after_lost_attempt_may_have_run(self) -> None:
        """`not-run` is reported only if no earlier attempt may have run."""
        after_lost = collect(ScriptedPeerClient([LOST], [REFUSED]))
        after_moved = collect(ScriptedPeerClient([MOVED], [REFUSED]))
        self.assertEqual(after_lost[0].failure().ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(after_moved, [REFUSED])

    def test_retries_are_bounded(self) -> None:
        """If no home is found, the call fails within the retry window."""
        client = ScriptedPeerClient([MOVED])
        client.directory.home = None

        async def make_call() -> tuple[errors.Outcome[Any], float]:
            answer = await client.call_home("k", messages.Done())
            return answer, asyncio.get_running_loop().time()

        answer, elapsed_s = fakes.run(make_call)
        self.assertEqual(answer.failure().reason, errors.Reason.MOVED)
        self.assertLessEqual(
            elapsed_s * 1000, peers.HOME_RETRY_WINDOW_MS + 1000
        )
        self.assertEqual(client.called_hosts, [])
