"""Tests of decoding valid and invalid records of the platform."""

from __future__ import annotations

import json
import unittest

import hypothesis
from hypothesis import strategies
from returns import result

from mangotally.entry import model
from mangotally.platform import store, wire
from tests import entry_fleet, stateful

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def _target_record(**changes: object) -> bytes:
    found = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "Version": "v1.2",
        "Slots": 8,
        "State": "ready",
        "born": 5,
    }
    return json.dumps(found | changes).encode()


class WireTest(unittest.TestCase):
    """Valid records are decoded, invalid ones refused."""

    def test_configuration(self) -> None:
        data = json.dumps(entry_fleet.configuration(7)).encode()
        found = wire.decode_configuration(data).unwrap()
        self.assertEqual(found.version, 7)
        route = found.find_route(entry_fleet.HOST, "/chat/x/y")
        assert route is not None
        self.assertEqual(route.kind, model.RouteKind.STREAMING)
        self.assertEqual(route.retention_ms, 60_000.0)
        self.assertIsNone(found.find_route(entry_fleet.HOST, "/chat"))
        self.assertIsNone(found.find_route("other", "/chat/x"))
        organisation = found.organisation_of(entry_fleet.KEY)
        assert organisation is not None
        self.assertEqual(organisation.id, entry_fleet.ORGANISATION)

    def test_longest_prefix_wins(self) -> None:
        routes = [
            entry_fleet.configuration()["Routes"][0] | {"PathPrefix": prefix}
            for prefix in ("/a/", "/a/b/")
        ]
        data = json.dumps(entry_fleet.configuration(Routes=routes)).encode()
        found = wire.decode_configuration(data).unwrap()
        route = found.find_route(entry_fleet.HOST, "/a/b/c")
        assert route is not None
        self.assertEqual(route.path_prefix, "/a/b/")

    def test_target(self) -> None:
        found = wire.decode_target("i", _target_record()).unwrap()
        self.assertEqual((found.id, found.born_ms, found.slots), ("i", 5, 8))
        self.assertEqual(found.version, "v1.2")

    def test_invalid_targets_are_refused(self) -> None:
        for data in (
            b"\xff",
            b"[]",
            b"{}",
            _target_record(State="gone"),
            _target_record(Slots="8"),
            _target_record(Address="nowhere"),
            _target_record(born=1.5),
            _target_record(Service=None),
            _target_record(Version=None),
            _target_record(Version=2),
        ):
            found = wire.decode_target("i", data)
            self.assertIsInstance(found, result.Failure, data)


class ForeignWriterTest(unittest.TestCase):
    """Records of other writers are decoded or refused, whatever they hold."""

    def test_odd_values_of_a_target(self) -> None:
        """A number too large stopped the placement of all requests."""
        odd = {
            "Slots": (10**400, 2**63, 1e300),
            "born": (10**400, 2**63, -(2**64)),
            "Address": (
                "10.0.0.1:99999",
                "10.0.0.1:0",
                "10.0.0.1:" + "9" * 5000,
                "10.0.0.1:\u0663",
                "example:80",
                "10.0.0.256:80",
            ),
            "Zone": ("\ud800",),
        }
        for name, values in odd.items():
            for value in values:
                with self.subTest(name=name, value=str(value)[:30]):
                    found = wire.decode_target(
                        "t1", _target_record(**{name: value})
                    )
                    self.assertIsInstance(found, result.Failure)

    def test_record_shorter_than_its_key(self) -> None:
        for record in (b"", b"\x05", b"\x05ab"):
            self.assertEqual(store.keyed(record).key, "")
        self.assertEqual(store.keyed(b"\x02abc"), store.KeyedRecord("ab", b"c"))

    def test_deeply_nested(self) -> None:
        for opening in (b"[", b'{"a":'):
            found = wire.decode_target("i", opening * 100_000)
            self.assertIsInstance(found, result.Failure)
            read = wire.decode_configuration(opening * 100_000)
            self.assertIsInstance(read, result.Failure)

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(strategies.binary(max_size=40))
    def test_any_bytes(self, data: bytes) -> None:
        for found in (
            wire.decode_target("i", data),
            wire.decode_configuration(data),
        ):
            self.assertIsInstance(found, result.Failure)

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(
        strategies.sampled_from(sorted(json.loads(_target_record()))), JSON
    )
    def test_any_field_of_a_target(self, name: str, value: object) -> None:
        found = wire.decode_target("i", _target_record(**{name: value}))
        if isinstance(found, result.Success):
            self.assertEqual(found.unwrap().id, "i")

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(
        strategies.sampled_from(sorted(entry_fleet.configuration())), JSON
    )
    def test_any_field_of_a_configuration(
        self, name: str, value: object
    ) -> None:
        changed = entry_fleet.configuration() | {name: value}
        found = wire.decode_configuration(json.dumps(changed).encode())
        self.assertIsInstance(found, (result.Success, result.Failure))

    @hypothesis.settings(stateful.CI_SETTINGS)
    @hypothesis.given(strategies.data())
    def test_any_field_inside_a_configuration(
        self, data: strategies.DataObject
    ) -> None:
        changed = json.loads(json.dumps(entry_fleet.configuration()))
        lists = [
            each
            for each in changed.values()
            if isinstance(each, list) and each and isinstance(each[0], dict)
        ]
        row = data.draw(strategies.sampled_from(lists))[0]
        row[data.draw(strategies.sampled_from(sorted(row)))] = data.draw(JSON)
        found = wire.decode_configuration(json.dumps(changed).encode())
        self.assertIsInstance(found, (result.Success, result.Failure))
