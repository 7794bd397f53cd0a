"""Records of the platform, good and bad."""

from __future__ import annotations

import json
import unittest

from returns import result

from mangotally.entry import model
from mangotally.platform import wire
from tests import entry_fleet


def _entry(**changes: object) -> bytes:
    found = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "Slots": 8,
        "State": "ready",
        "born": 5,
    }
    return json.dumps(found | changes).encode()


class WireTest(unittest.TestCase):
    """What is decoded, and what is refused."""

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
        found = wire.decode_target("i", _entry()).unwrap()
        self.assertEqual((found.id, found.born_ms, found.slots), ("i", 5, 8))

    def test_bad_targets_are_refused(self) -> None:
        for data in (
            b"\xff",
            b"[]",
            b"{}",
            _entry(State="gone"),
            _entry(Slots="8"),
            _entry(Address="nowhere"),
            _entry(born=1.5),
            _entry(Service=None),
        ):
            found = wire.decode_target("i", data)
            self.assertIsInstance(found, result.Failure, data)
