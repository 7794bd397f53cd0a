"""Tests of messages to homes that move."""

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
PIECE: Answer = result.Success(messages.TurnText("a"))
END: Answer = result.Success(messages.Done())


class Directory:
    """A view whose home the test sets."""

    def __init__(self) -> None:
        self.host = H1
        self.home: ids.HostId | None = H2

    def address_of(self, host: ids.HostId) -> str | None:
        """Returns an address."""
        return f"address of {host}"

    def home_of(self, _key: str) -> ids.HostId | None:
        """Returns the home of every key."""
        return self.home


class ScriptedPeers(peers.PeerClient):
    """Answers as the test says, one list for each try."""

    def __init__(self, *tries: list[errors.Outcome[Any]]) -> None:
        self.directory = Directory()
        super().__init__(self.directory, router.Router())
        self.tries = list(tries)
        self.asked: list[ids.HostId | None] = []

    async def stream(
        self, host: ids.HostId | None, _message: Any
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Yields the answers of the next try; the last one repeats."""
        self.asked.append(host)
        answers = self.tries[0]
        if len(self.tries) > 1:
            self.tries.pop(0)
        for answer in answers:
            yield answer


def collect(sender: ScriptedPeers) -> list[errors.Outcome[Any]]:
    """Returns the answers to one message to a home."""

    async def work() -> list[errors.Outcome[Any]]:
        return [item async for item in sender.stream_home("k", messages.Done())]

    found: list[errors.Outcome[Any]] = fakes.run(work)
    return found


class HomeCallTest(unittest.TestCase):
    """Which answers are tried again, and what is said at last."""

    def test_moved_and_lost_homes_are_asked_again(self) -> None:
        """Until the first answer of a home that is one."""
        sender = ScriptedPeers([MOVED], [LOST], [PIECE, END])
        self.assertEqual(collect(sender), [PIECE, END])
        self.assertEqual(len(sender.asked), 3)

    def test_nothing_is_tried_again_after_the_first_answer(self) -> None:
        """A stream that breaks off is not begun anew."""
        sender = ScriptedPeers([PIECE, LOST], [END])
        self.assertEqual(collect(sender), [PIECE, LOST])

    def test_refusal_after_a_lost_try_may_have_run(self) -> None:
        """Only a try that came to nothing leaves `not-run` true."""
        doubtful = collect(ScriptedPeers([LOST], [REFUSED]))
        sure = collect(ScriptedPeers([MOVED], [REFUSED]))
        self.assertEqual(doubtful[0].failure().ran, errors.Ran.MAY_HAVE_RUN)
        self.assertEqual(sure, [REFUSED])

    def test_patience_has_an_end(self) -> None:
        """A home that is never found is a refusal in bounded time."""
        sender = ScriptedPeers([MOVED])
        sender.directory.home = None

        async def work() -> tuple[errors.Outcome[Any], float]:
            answer = await sender.call_home("k", messages.Done())
            return answer, asyncio.get_running_loop().time()

        answer, took_s = fakes.run(work)
        self.assertEqual(answer.failure().reason, errors.Reason.MOVED)
        self.assertLessEqual(took_s * 1000, peers.HOME_RETRY_WINDOW_MS + 1000)
        self.assertEqual(sender.asked, [])
