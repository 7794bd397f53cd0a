"""Tests of mangotally.entry.known_limits."""

from __future__ import annotations

import dataclasses
import unittest

from mangotally import ids
from mangotally.entry import directory, known_limits, model
from mangotally.policy import target_limits
from mangotally.util import clock as clock_lib

SERVICE = ids.ServiceId("s")
TARGET = model.Target(
    ids.TargetId("t"),
    1,
    SERVICE,
    "1.2.3.4:5",
    ids.FailureDomainId("z"),
    4,
    model.TargetState.READY,
    ids.SoftwareVersion("v1"),
)


class KnownLimitsTest(unittest.TestCase):
    """What a host takes for the limit of a target."""

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock(1000.0)
        self.directory = directory.TargetDirectory(self.clock)
        self.changed: list[ids.TargetId] = []
        self.limits = known_limits.KnownLimits(
            self.directory, self.changed.append, self.clock
        )
        self.directory.add_listener(self.limits.update_target)
        self.directory.put(TARGET)

    def _answer(
        self, *values: str, sent_ms: float | None = None, is_run: bool = True
    ) -> bool:
        if sent_ms is None:
            sent_ms = self.clock.now_ms()
        return self.limits.observe_answer(TARGET.id, values, sent_ms, is_run)

    def _limit(self) -> float | None:
        return self.limits.limit_of(TARGET.id)

    def test_changes_are_reported_once(self) -> None:
        self.assertTrue(self._answer("3"))
        self.clock.advance(1.0)
        self.assertFalse(self._answer("3"))
        self.assertEqual(self.changed, [TARGET.id])
        self.assertEqual(self.limits.limited_targets(), {TARGET.id})

    def test_ends_with_an_answer_to_a_later_request(self) -> None:
        self._answer("3")
        self.clock.advance(10.0)
        self.assertFalse(self._answer(sent_ms=999.0))
        self.assertEqual(self._limit(), 3.0)
        self.assertTrue(self._answer())
        self.assertEqual(self.limits.limited_targets(), frozenset())

    def test_a_rejection_without_a_limit_does_not_end_it(self) -> None:
        self._answer("3")
        self.clock.advance(10.0)
        self.assertFalse(self._answer(is_run=False))
        self.assertEqual(self._limit(), 3.0)

    def test_an_unreadable_limit_changes_nothing(self) -> None:
        self._answer("3")
        self.clock.advance(10.0)
        for text in ("nan", "-2", "soon"):
            self.assertFalse(self._answer(text))
        self.assertEqual(self._limit(), 3.0)

    def test_holds_for_a_target_that_is_listed_again(self) -> None:
        self._answer("3")
        self.directory.remove(TARGET.id, "unlisted")
        self.assertEqual(self.limits.messages(SERVICE), [])
        self.directory.put(TARGET)
        self.assertEqual(self._limit(), 3.0)
        self.assertEqual(len(self.limits.messages(SERVICE)), 1)

    def test_ends_when_the_target_restarts(self) -> None:
        self._answer("3")
        self.directory.put(dataclasses.replace(TARGET, born_ms=2))
        self.assertIsNone(self._limit())

    def test_other_hosts_learn_it_with_its_age(self) -> None:
        self._answer("3")
        self.clock.advance(10.0)
        messages = self.limits.messages(SERVICE)
        other = known_limits.KnownLimits(
            self.directory, self.changed.append, self.clock
        )
        other.merge(messages)
        self.assertEqual(other.limit_of(TARGET.id), 3.0)
        # Newer than what the message tells.
        other.observe_answer(TARGET.id, (), 1005.0, is_run=True)
        other.merge(messages)
        self.assertIsNone(other.limit_of(TARGET.id))

    def test_what_is_said_of_an_earlier_process_is_ignored(self) -> None:
        self._answer("3")
        messages = self.limits.messages(SERVICE)
        self.directory.put(dataclasses.replace(TARGET, born_ms=2))
        self.limits.merge(messages)
        self.assertIsNone(self._limit())

    def test_memory_is_bounded(self) -> None:
        limits = target_limits.TargetLimits()
        for number in range(target_limits.MAX_TARGETS + 5):
            name = ids.TargetId(f"t{number}")
            limits.observe(target_limits.Observation(name, 1, 2.0, number))
        kept = limits.observations()
        self.assertEqual(len(kept), target_limits.MAX_TARGETS)
        self.assertEqual(kept[0].target, "t5")
