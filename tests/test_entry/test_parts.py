"""Tests of small modules of an entry host."""

from __future__ import annotations

import dataclasses
import math
import time
import unittest

import hypothesis
import multidict
from hypothesis import strategies

from mangotally import ids
from mangotally.entry import (
    configuration_cache,
    directory,
    events,
    headers,
    model,
    rate_home,
    rates,
)
from mangotally.platform import headers as platform_headers
from mangotally.util import clock as clock_lib

# The limit of an event, and the same again for bytes fed with its last chunk.
MAX_ACCEPTED_BYTES = 2 * 64 * 1024


def _target(name: str, state: model.TargetState) -> model.Target:
    return model.Target(
        ids.TargetId(name),
        1,
        ids.ServiceId("s"),
        "1.2.3.4:5",
        ids.FailureDomainId("z"),
        4,
        state,
        ids.SoftwareVersion("v1"),
    )


class ConfigurationCacheTest(unittest.TestCase):
    """Keys are trusted while the configuration was confirmed recently."""

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.cache = configuration_cache.ConfigurationCache(self.clock, 5000.0)
        self.cache.put(model.Configuration(3, [], {}, [], 1))

    def test_an_unconfirmed_configuration_is_not_fresh(self) -> None:
        self.assertEqual(self.cache.age_ms, math.inf)
        self.assertFalse(self.cache.is_fresh)

    def test_age_counts_from_the_time_of_the_request(self) -> None:
        self.clock.advance(1000.0)
        self.cache.confirm_current(0.0)
        self.clock.advance(4000.0 - configuration_cache.MARGIN_MS - 1)
        self.assertTrue(self.cache.is_fresh)
        self.clock.advance(1.0)
        self.assertFalse(self.cache.is_fresh)

    def test_an_older_version_is_ignored(self) -> None:
        self.cache.put(model.Configuration(2, [], {}, [], 1))
        assert self.cache.configuration is not None
        self.assertEqual(self.cache.configuration.version, 3)


class DirectoryTest(unittest.TestCase):
    """Targets whose entries expire in an outage may register again."""

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.directory = directory.TargetDirectory(self.clock)
        self.changed: list[str] = []
        self.directory.add_listener(self.changed.append)
        self.ready = _target("t", model.TargetState.READY)
        self.directory.put(self.ready)

    def test_notifies_of_changes_only(self) -> None:
        self.directory.put(self.ready)
        self.assertEqual(self.changed, ["t"])
        self.directory.put(_target("t", model.TargetState.DRAINING))
        self.assertEqual(self.changed, ["t", "t"])

    def test_expired_target_is_removed_after_two_seconds(self) -> None:
        self.directory.replace([], after_outage=True)
        self.clock.advance(directory.REMOVAL_GRACE_MS - 1)
        self.directory.remove_expired()
        self.assertIsNotNone(self.directory.find(self.ready.id))
        self.clock.advance(1)
        self.directory.remove_expired()
        self.assertIsNone(self.directory.find(self.ready.id))

    def test_expired_target_that_registers_again_stays(self) -> None:
        self.directory.remove_later(self.ready.id)
        self.directory.put(self.ready)
        self.clock.advance(2 * directory.REMOVAL_GRACE_MS)
        self.directory.remove_expired()
        self.assertIsNotNone(self.directory.find(self.ready.id))

    def test_unlisted_target_is_removed_at_once(self) -> None:
        self.directory.replace([], after_outage=False)
        self.assertIsNone(self.directory.find(self.ready.id))


class OnlyVersionTest(unittest.TestCase):
    """The only version of a service is known if it was followed long enough."""

    SERVICE = ids.ServiceId("s")

    def setUp(self) -> None:
        self.clock = clock_lib.ManualClock(1000.0)
        self.directory = directory.TargetDirectory(self.clock)
        self.old = _target("old", model.TargetState.READY)
        self.new = dataclasses.replace(
            self.old, id=ids.TargetId("new"), version=ids.SoftwareVersion("v2")
        )

    def _only(self, age_ms: float) -> str | None:
        since_ms = self.clock.now_ms() - age_ms
        return self.directory.only_version(self.SERVICE, since_ms)

    def test_unknown_before_the_targets_were_followed(self) -> None:
        self.assertIsNone(self._only(0.0))
        self.directory.replace([self.old], after_outage=False)
        self.clock.advance(100.0)
        self.assertIsNone(self._only(101.0))
        self.assertEqual(self._only(100.0), "v1")

    def test_unknown_while_two_versions_serve(self) -> None:
        self.directory.replace([self.old, self.new], after_outage=False)
        self.assertIsNone(self._only(0.0))

    def test_a_version_counts_until_it_has_been_gone_for_long(self) -> None:
        self.directory.replace([self.old, self.new], after_outage=False)
        self.clock.advance(10.0)
        self.directory.remove(self.old.id, "unlisted")
        self.clock.advance(50.0)
        self.assertIsNone(self._only(50.0))
        self.assertEqual(self._only(49.0), "v2")

    def test_a_target_that_changes_its_version_counts_as_both(self) -> None:
        self.directory.replace([self.old], after_outage=False)
        changed = dataclasses.replace(
            self.old, version=ids.SoftwareVersion("v2")
        )
        self.clock.advance(10.0)
        self.directory.put(changed)
        self.clock.advance(50.0)
        self.assertIsNone(self._only(50.0))
        self.assertEqual(self._only(49.0), "v2")


class EventSplitterTest(unittest.TestCase):
    """Only complete events are forwarded, byte for byte."""

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, 9), max_size=30))
    def test_any_chunks_give_the_same_events(self, sizes: list[int]) -> None:
        stream = (
            b"weight-versions: 2\nid: 1\ndata: a\ndata: b\n\nid: 2\ndata:\n\n"
        )
        splitter = events.EventSplitter()
        found: list[events.Event] = []
        position = 0
        for size in [*sizes, len(stream)]:
            found += splitter.feed(stream[position : position + size])
            position += size
        self.assertEqual(b"".join(each.raw for each in found), stream)
        self.assertEqual([each.number for each in found], [1, 2])
        self.assertEqual([each.data for each in found], [b"a\nb", b""])
        self.assertFalse(splitter.has_partial_event)

    def test_an_incomplete_event_is_held_back(self) -> None:
        splitter = events.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n"), [])
        self.assertTrue(splitter.has_partial_event)

    def test_an_event_without_end_is_refused(self) -> None:
        self.assertLessEqual(
            _accepted_bytes(b"data: x\n" * 512), MAX_ACCEPTED_BYTES
        )

    def test_comments_without_end_are_refused(self) -> None:
        self.assertLessEqual(
            _accepted_bytes(b": still here\n\n" * 512), MAX_ACCEPTED_BYTES
        )

    def test_empty_events_without_end_are_refused(self) -> None:
        self.assertLessEqual(_accepted_bytes(b"\n\n" * 512), MAX_ACCEPTED_BYTES)

    def test_an_event_that_comes_again_without_end_is_refused(self) -> None:
        fed_bytes = _accepted_bytes(b"id: 1\ndata: a\n\n" * 512)
        self.assertLessEqual(fed_bytes, MAX_ACCEPTED_BYTES)

    def test_small_events_without_end_are_refused(self) -> None:
        fed_bytes = _accepted_bytes(b"data:a\n\n" * 512)
        self.assertLessEqual(fed_bytes, 1024 * 1024)

    def test_small_parts_of_a_large_event_take_little_time(self) -> None:
        splitter = events.EventSplitter()
        begin_s = time.process_time()
        with self.assertRaises(ValueError):
            for _ in range(5 * 1024 * 1024 // 128):
                splitter.feed(b"x" * 128)
        self.assertLess(time.process_time() - begin_s, 0.5)

    def test_ordinary_streams_are_not_refused(self) -> None:
        splitter = events.EventSplitter()
        for number in range(4000):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 700)
            self.assertEqual(len(splitter.feed(event)), 1)


def _accepted_bytes(repeated: bytes) -> int:
    """Returns how many bytes of an endless stream a splitter accepts."""
    splitter = events.EventSplitter()
    fed_bytes = 0
    try:
        while fed_bytes < 16 * MAX_ACCEPTED_BYTES:
            fed_bytes += len(repeated)
            splitter.feed(repeated)
    except ValueError:
        return fed_bytes
    raise AssertionError("the endless stream was not refused")


class HeadersTest(unittest.TestCase):
    """Hop-by-hop and internal headers are not forwarded."""

    def test_drops_headers_that_a_caller_must_not_set(self) -> None:
        names = platform_headers.NAMES
        received = multidict.CIMultiDictProxy(
            multidict.CIMultiDict(
                {
                    "Connection": "keep-alive, X-Hop",
                    "X-Hop": "1",
                    "Authorization": "Bearer k",
                    "Tenant": "forged",
                    "Kv-From": "1.2.3.4:5/6",
                    "Pin-Ms": "9",
                    "Content-Length": "3",
                    "Deadline-Ms": "9999",
                    "X-Kept": "yes",
                }
            )
        )
        found = headers.request_headers(
            received, names, {names.time_left: "10"}
        )
        self.assertEqual(dict(found), {"X-Kept": "yes", "Deadline-Ms": "10"})


class RateBoundsTest(unittest.TestCase):
    """Homes, standby homes and other hosts together stay within the bound."""

    def test_fractions_of_the_tolerance_add_up_to_less_than_one(self) -> None:
        fractions = (
            rate_home.HOME_TOLERANCE,
            rate_home.DEPUTY_TOLERANCE,
            rates.LOCAL_TOLERANCE,
        )
        self.assertLess(sum(fractions), 1.0)

    def test_local_limits_stay_within_their_fraction(self) -> None:
        bounds = rate_home.Bounds(5000.0, 0.1, 20.0)
        organisation = model.Organisation(
            ids.OrganisationId("o"), frozenset(), None, 79.0, 79.0
        )
        for hosts in (1, 16, 24, 920):
            admitted_calls = hosts * rates.local_call_limit(
                organisation, bounds, hosts
            )
            self.assertLessEqual(
                admitted_calls,
                bounds.tolerance(organisation) * rates.LOCAL_TOLERANCE,
            )
