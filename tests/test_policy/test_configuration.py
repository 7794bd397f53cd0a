"""Tests of mangotally.policy.configuration."""

from __future__ import annotations

import copy
import dataclasses
import unittest
from typing import Any
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st

from mangotally import ids
from mangotally.policy import configuration, records
from mangotally.settings import lists
from tests import stateful as stateful_settings

READERS = 3
LAG_RECORDS = 12
ORGANISATIONS = ("org-a", "org-b", "org-c")
PLANS = ("small", "large")


def make_lists(plans: dict[str, str]) -> lists.Lists:
    """Returns lists in which organisations have the given plans."""
    return lists.Lists(
        plans=lists.PlanList(
            organisations=tuple(
                lists.Organisation(id=name, plan=plan)
                for name, plan in plans.items()
            )
        ),
        uses=lists.UseList(
            plans=tuple(
                lists.Plan(
                    name=name, rate_per_s=1, burst=1, services=("model",)
                )
                for name in PLANS
            ),
            services=(lists.Service(id="model", kind=lists.ServiceKind.MODEL),),
        ),
    )


def plans_of(content: lists.Lists | None) -> dict[str, str] | None:
    """Returns the plan names by organisation."""
    if content is None:
        return None
    return {item.id: item.plan for item in content.plans.organisations}


@dataclasses.dataclass
class Reader:
    """A host's configuration and its position in the stream."""

    state: configuration.Configuration
    next_offset: int = 0
    version: int = 0


@dataclasses.dataclass
class Expected:
    """The expected state after a prefix of the stream, from simple rules.

    Attributes:
        version: Number of the version in force.
        plans: Plan names by organisation, or None before the first version.
        given: Ids of the active keys.
        used_key_ids: Ids of all keys that were ever issued or withdrawn.
        accepted: Publication that created each version.
    """

    version: int = 0
    plans: dict[str, str] | None = None
    given: set[str] = dataclasses.field(default_factory=set)
    used_key_ids: set[str] = dataclasses.field(default_factory=set)
    accepted: dict[int, str] = dataclasses.field(default_factory=dict)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Reading hosts, concurrent operators and a log with retention."""

    def __init__(self) -> None:
        super().__init__()
        patch = mock.patch.object(configuration, "MAX_LAG_RECORDS", LAG_RECORDS)
        patch.start()
        self.patch = patch
        self.log: list[Any] = []
        self.oldest = 0
        self.expected = [Expected()]
        self.published_plans: dict[str, dict[str, str]] = {}
        self.pending: list[Any] = []
        self.readers = [
            Reader(configuration.Configuration()) for _ in range(READERS)
        ]
        self.numbers = 0

    def teardown(self) -> None:
        """All readers converge once a snapshot is appended."""
        for reader in self.readers:
            self.read_all(reader)
        complete = [item for item in self.readers if item.state.is_complete]
        if complete:
            self.append(self.snapshot_of(complete[0]))
            for reader in self.readers:
                self.read_all(reader)
                self.check(reader)
            found = {
                (
                    reader.state.version,
                    str(reader.state.lists and reader.state.lists.digest()),
                    str(reader.state.active_keys()),
                )
                for reader in self.readers
                if reader.state.is_complete
            }
            assert all(item.state.is_complete for item in self.readers)
            assert len(found) == 1, found
        self.patch.stop()

    def append(self, record: Any) -> None:
        """Appends a record and computes the expected state after it."""
        expected = copy.deepcopy(self.expected[-1])
        offset = len(self.log)
        self.log.append(record)
        match record:
            case (
                records.ConfigurationVersion() | records.ConfigurationDelta()
            ) if (record.predecessor, record.version) == (
                expected.version,
                expected.version + 1,
            ):
                expected.version = record.version
                expected.plans = self.published_plans[record.attempt]
                assert record.version not in expected.accepted
                expected.accepted[record.version] = record.attempt
            case records.KeyGiven() if (
                offset - record.read_to <= LAG_RECORDS
                and record.key_id not in expected.used_key_ids
            ):
                expected.given.add(record.key_id)
                expected.used_key_ids.add(record.key_id)
            case records.KeyWithdrawn():
                expected.given.discard(record.key_id)
                expected.used_key_ids.add(record.key_id)
        self.expected.append(expected)

    def send(self, record: Any, outcome: str) -> None:
        """Appends a record with a given outcome of the network request."""
        if outcome in ("appended", "answer lost"):
            self.append(record)
        if outcome == "answer lost":
            self.append(record)
        if outcome == "late":
            self.pending.append(record)

    def read_all(self, reader: Reader) -> None:
        """Makes a reader read to the end."""
        self.read_some(reader, len(self.log))

    def read_some(self, reader: Reader, count: int) -> None:
        """Makes a reader read at most `count` records."""
        if self.oldest > reader.next_offset:
            reader.state.mark_incomplete()
            reader.next_offset = self.oldest
        for offset in range(reader.next_offset, len(self.log))[:count]:
            self.apply_as_host(
                reader.state, self.log[offset], ids.Offset(offset)
            )
            reader.next_offset = offset + 1

    def apply_as_host(
        self,
        state: configuration.Configuration,
        record: Any,
        offset: ids.Offset,
    ) -> None:
        """Applies a record as hosts do: known snapshots are not decoded."""
        data = records.registry.encode_batch([record])
        header = records.peek_snapshot(data)
        if header is not None and state.is_complete:
            state.note_snapshot(header, offset)
        else:
            state.apply(record, offset)

    def snapshot_of(self, reader: Reader) -> Any:
        """Returns a reader's snapshot after encoding and decoding."""
        found = reader.state.snapshot(ids.Offset(reader.next_offset), 1)
        data = records.registry.encode_batch([found])
        return records.registry.decode_batch(data)[0].unwrap()

    def check(self, reader: Reader) -> None:
        """Checks a reader against the expected state at its offset."""
        state = reader.state
        assert state.version >= reader.version, "a version reverted"
        reader.version = state.version
        if not state.is_complete:
            return
        expected = self.expected[reader.next_offset]
        assert state.version == expected.version
        assert plans_of(state.lists) == expected.plans
        assert {key.key_id for key in state.active_keys()} == expected.given
        for key in state.active_keys():
            assert state.authenticate(key.digest) == key

    @stateful.rule(
        number=st.integers(0, READERS - 1),
        plans=st.dictionaries(
            st.sampled_from(ORGANISATIONS), st.sampled_from(PLANS)
        ),
        outcome=st.sampled_from(("appended", "answer lost", "late", "fails")),
        as_delta=st.booleans(),
    )
    def publish(
        self, number: int, plans: dict[str, str], outcome: str, as_delta: bool
    ) -> None:
        """An operator publishes a successor of a host's known version."""
        state = self.readers[number].state
        self.numbers += 1
        attempt = ids.AttemptId(f"a{self.numbers}")
        self.published_plans[attempt] = plans
        content, version = make_lists(plans), state.version + 1
        record: Any
        if as_delta and state.lists is not None:
            record = configuration.make_delta(
                state.lists, content, version, attempt
            )
        else:
            record = records.ConfigurationVersion(
                version, version - 1, content, attempt
            )
        self.send(record, outcome)

    @stateful.rule(
        number=st.integers(0, READERS - 1),
        outcome=st.sampled_from(("appended", "answer lost", "late")),
    )
    def give(self, number: int, outcome: str) -> None:
        """An operator issues a key through a host."""
        self.numbers += 1
        read_to = ids.Offset(self.readers[number].next_offset)
        key_id = ids.KeyId(f"k{self.numbers}")
        organisation = ids.OrganisationId(ORGANISATIONS[0])
        record = records.KeyGiven(
            key_id, organisation, f"d{self.numbers}", read_to
        )
        self.send(record, outcome)

    @stateful.rule(
        key=st.integers(0, 99),
        outcome=st.sampled_from(("appended", "answer lost", "late")),
    )
    def withdraw(self, key: int, outcome: str) -> None:
        """An operator withdraws a key whose issue may still be pending."""
        if self.numbers:
            key_id = ids.KeyId(f"k{1 + key % self.numbers}")
            self.send(records.KeyWithdrawn(key_id), outcome)

    @stateful.rule(number=st.integers(0, READERS - 1), late=st.booleans())
    def snapshot(self, number: int, late: bool) -> None:
        """A host appends its snapshot, possibly late."""
        reader = self.readers[number]
        if reader.state.is_complete:
            self.send(self.snapshot_of(reader), "late" if late else "appended")

    @stateful.rule(position=st.integers(0, 30))
    def arrive(self, position: int) -> None:
        """A delayed append reaches the log."""
        if self.pending:
            self.append(self.pending.pop(position % len(self.pending)))

    @stateful.rule(position=st.integers(0, 200))
    def replay(self, position: int) -> None:
        """An earlier record is appended again."""
        if self.log:
            self.append(self.log[position % len(self.log)])

    @stateful.rule(number=st.integers(0, READERS - 1), count=st.integers(1, 20))
    def read(self, number: int, count: int) -> None:
        """A host reads further records."""
        self.read_some(self.readers[number], count)

    @stateful.rule(number=st.integers(0, READERS - 1))
    def restart(self, number: int) -> None:
        """A host is replaced and starts reading at the oldest record."""
        self.readers[number] = Reader(configuration.Configuration())
        self.read_some(self.readers[number], 0)

    @stateful.rule(count=st.integers(1, 20))
    def age_out(self, count: int) -> None:
        """The log removes its oldest records."""
        self.oldest = min(self.oldest + count, len(self.log))

    @stateful.invariant()
    def states_are_as_expected(self) -> None:
        """Every reader's state is as expected at its offset."""
        for reader in self.readers:
            self.check(reader)


ConfigurationMachineTest = ConfigurationMachine.TestCase
ConfigurationMachineTest.settings = stateful_settings.CI_SETTINGS

MACHINES = (ConfigurationMachine,)


class SnapshotTest(unittest.TestCase):
    """Truncated streams."""

    def test_start_from_truncated_stream_without_snapshot(self) -> None:
        """A host with an incomplete configuration ignores new versions."""
        state = configuration.Configuration()
        state.mark_incomplete()
        record = records.ConfigurationVersion(1, 0, make_lists({}))
        self.assertFalse(state.apply(record, ids.Offset(7)))
        self.assertFalse(state.is_complete)
        self.assertIsNone(state.lists)

    def test_snapshot_is_valid_only_right_after_what_its_writer_read(
        self,
    ) -> None:
        """A snapshot that was replayed or overtaken by records is ignored."""
        writer = configuration.Configuration()
        version = records.ConfigurationVersion(
            1, 0, make_lists({"org-a": "small"})
        )
        writer.apply(version, ids.Offset(0))
        found = writer.snapshot(ids.Offset(1), 5)
        starting = configuration.Configuration()
        starting.mark_incomplete()
        self.assertFalse(starting.apply(found, ids.Offset(2)))
        self.assertFalse(starting.is_complete)
        self.assertTrue(starting.apply(found, ids.Offset(1)))
        self.assertEqual(starting.version, 1)

    def test_withdrawn_keys_are_forgotten_only_when_replay_is_ignored(
        self,
    ) -> None:
        """Withdrawn keys are kept in bounded number, and none is active."""
        state = configuration.Configuration()
        organisation = ids.OrganisationId("org-a")
        records_given = []
        limit = configuration.MAX_LAG_RECORDS
        for number in range(limit):
            offset = ids.Offset(2 * number)
            key_id = ids.KeyId(f"k{number}")
            given = records.KeyGiven(key_id, organisation, f"d{number}", offset)
            records_given.append(given)
            state.apply(given, offset)
            state.apply(records.KeyWithdrawn(key_id), ids.Offset(offset + 1))
        end = ids.Offset(2 * limit)
        found = state.snapshot(end, 0)
        assert found is not None
        self.assertLessEqual(len(found.withdrawn), limit)
        for given in records_given:
            self.assertFalse(state.apply(given, end))
        self.assertEqual(state.active_keys(), [])

    def test_withdrawn_key_stays_withdrawn_after_a_snapshot(self) -> None:
        """A host that starts from a snapshot ignores a replayed key."""
        writer = configuration.Configuration()
        given = records.KeyGiven(
            ids.KeyId("k1"), ids.OrganisationId("org-a"), "d1", ids.Offset(0)
        )
        writer.apply(given, ids.Offset(0))
        writer.apply(records.KeyWithdrawn(given.key_id), ids.Offset(1))
        starting = configuration.Configuration()
        starting.mark_incomplete()
        found = writer.snapshot(ids.Offset(2), 5)
        self.assertTrue(starting.apply(found, ids.Offset(2)))
        self.assertFalse(starting.apply(given, ids.Offset(3)))
        self.assertIsNone(starting.authenticate("d1"))


class PeekTest(unittest.TestCase):
    """Snapshots that a host with a complete configuration does not decode."""

    def test_header_of_a_snapshot(self) -> None:
        """The header is parsed without decoding the rest."""
        state = configuration.Configuration()
        state.apply(
            records.ConfigurationVersion(1, 0, make_lists({})), ids.Offset(0)
        )
        found = state.snapshot(ids.Offset(1), 77)
        data = records.registry.encode_batch([found])
        header = records.peek_snapshot(data)
        self.assertEqual(
            header, records.SnapshotHeader(ids.Offset(1), 77, version=1)
        )
        other = records.registry.encode_batch(
            [records.KeyWithdrawn(ids.KeyId("k"))]
        )
        self.assertIsNone(records.peek_snapshot(other))

    def test_records_after_a_snapshot_in_an_entry_are_ignored(self) -> None:
        """Every reader ignores what follows a snapshot in its log entry."""
        complete = configuration.Configuration()
        key = records.KeyGiven(
            ids.KeyId("k"), ids.OrganisationId("org-a"), "d", ids.Offset(0)
        )
        complete.apply(key, ids.Offset(0))
        found = complete.snapshot(ids.Offset(1), 0)
        starting = configuration.Configuration()
        starting.mark_incomplete()
        for state in (complete, starting):
            state.apply(found, ids.Offset(1))
            state.apply(records.KeyWithdrawn(key.key_id), ids.Offset(1))
            self.assertTrue(state.is_key_active(key.key_id))


class DeltaTest(unittest.TestCase):
    """Versions that are given as deltas."""

    def test_delta_with_a_wrong_digest_is_ignored(self) -> None:
        """The digest of the complete new version is checked."""
        state = configuration.Configuration()
        first = make_lists({"org-a": "small"})
        state.apply(records.ConfigurationVersion(1, 0, first), ids.Offset(0))
        delta = configuration.make_delta(
            first, make_lists({"org-a": "large"}), 2, ids.AttemptId("a")
        )
        bad = dataclasses.replace(delta, digest="0")
        self.assertFalse(state.apply(bad, ids.Offset(1)))
        self.assertTrue(state.apply(delta, ids.Offset(2)))
        self.assertEqual(plans_of(state.lists), {"org-a": "large"})
