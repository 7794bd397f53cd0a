"""Tests of configuration and keys as a function of their stream."""

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
    """Returns organisations and their plans' names."""
    if content is None:
        return None
    return {item.id: item.plan for item in content.plans.organisations}


@dataclasses.dataclass
class Reader:
    """A host's configuration and how far it has read."""

    state: configuration.Configuration
    next_offset: int = 0
    version: int = 0


@dataclasses.dataclass
class Truth:
    """What holds after a prefix of the stream, by the plainest rules."""

    version: int = 0
    plans: dict[str, str] | None = None
    given: set[str] = dataclasses.field(default_factory=set)
    ever: set[str] = dataclasses.field(default_factory=set)
    accepted: dict[int, str] = dataclasses.field(default_factory=dict)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Hosts that read, operators that race, a log that ages out."""

    def __init__(self) -> None:
        super().__init__()
        patch = mock.patch.object(configuration, "MAX_LAG_RECORDS", LAG_RECORDS)
        patch.start()
        self.patch = patch
        self.log: list[Any] = []
        self.oldest = 0
        self.truths = [Truth()]
        self.meant: dict[str, dict[str, str]] = {}
        self.pending: list[Any] = []
        self.readers = [
            Reader(configuration.Configuration()) for _ in range(READERS)
        ]
        self.numbers = 0

    def teardown(self) -> None:
        """All readers converge once a snapshot is there."""
        for reader in self.readers:
            self.read_all(reader)
        whole = [item for item in self.readers if item.state.is_complete]
        if whole:
            self.append(self.snapshot_of(whole[0]))
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
        """Appends a record and works out what holds after it."""
        truth = copy.deepcopy(self.truths[-1])
        offset = len(self.log)
        self.log.append(record)
        match record:
            case (
                records.ConfigurationVersion() | records.ConfigurationDelta()
            ) if (record.predecessor, record.version) == (
                truth.version,
                truth.version + 1,
            ):
                truth.version = record.version
                truth.plans = self.meant[record.attempt]
                assert record.version not in truth.accepted
                truth.accepted[record.version] = record.attempt
            case records.KeyGiven() if (
                offset - record.read_to <= LAG_RECORDS
                and record.key_id not in truth.ever
            ):
                truth.given.add(record.key_id)
                truth.ever.add(record.key_id)
            case records.KeyWithdrawn():
                truth.given.discard(record.key_id)
                truth.ever.add(record.key_id)
        self.truths.append(truth)

    def send(self, record: Any, fate: str) -> None:
        """Appends a record as the network would have it."""
        if fate in ("lands", "answer lost"):
            self.append(record)
        if fate == "answer lost":
            self.append(record)
        if fate == "late":
            self.pending.append(record)

    def read_all(self, reader: Reader) -> None:
        """Has a reader read to the end."""
        self.read_some(reader, len(self.log))

    def read_some(self, reader: Reader, count: int) -> None:
        """Has a reader read some records."""
        if self.oldest > reader.next_offset:
            reader.state.mark_incomplete()
            reader.next_offset = self.oldest
        for offset in range(reader.next_offset, len(self.log))[:count]:
            self.take(reader.state, self.log[offset], ids.Offset(offset))
            reader.next_offset = offset + 1

    def take(
        self,
        state: configuration.Configuration,
        record: Any,
        offset: ids.Offset,
    ) -> None:
        """Has a reader take a record, as hosts do."""
        data = records.registry.encode_batch([record])
        header = records.peek_snapshot(data)
        if header is not None and state.is_complete:
            state.note_snapshot(header, offset)
        else:
            state.apply(record, offset)

    def snapshot_of(self, reader: Reader) -> Any:
        """Returns a reader's snapshot as it travels."""
        found = reader.state.snapshot(ids.Offset(reader.next_offset), 1)
        data = records.registry.encode_batch([found])
        return records.registry.decode_batch(data)[0].unwrap()

    def check(self, reader: Reader) -> None:
        """Checks a reader against what holds at its offset."""
        state = reader.state
        assert state.version >= reader.version, "a version reverted"
        reader.version = state.version
        if not state.is_complete:
            return
        truth = self.truths[reader.next_offset]
        assert state.version == truth.version
        assert plans_of(state.lists) == truth.plans
        assert {key.key_id for key in state.active_keys()} == truth.given
        for key in state.active_keys():
            assert state.authenticate(key.digest) == key

    @stateful.rule(
        number=st.integers(0, READERS - 1),
        plans=st.dictionaries(
            st.sampled_from(ORGANISATIONS), st.sampled_from(PLANS)
        ),
        fate=st.sampled_from(("lands", "answer lost", "late", "fails")),
        as_delta=st.booleans(),
    )
    def publish(
        self, number: int, plans: dict[str, str], fate: str, as_delta: bool
    ) -> None:
        """An operator publishes over the version that a host knows."""
        state = self.readers[number].state
        self.numbers += 1
        attempt = ids.AttemptId(f"a{self.numbers}")
        self.meant[attempt] = plans
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
        self.send(record, fate)

    @stateful.rule(
        number=st.integers(0, READERS - 1),
        fate=st.sampled_from(("lands", "answer lost", "late")),
    )
    def give(self, number: int, fate: str) -> None:
        """An operator gives a key through a host."""
        self.numbers += 1
        read_to = ids.Offset(self.readers[number].next_offset)
        key_id = ids.KeyId(f"k{self.numbers}")
        organisation = ids.OrganisationId(ORGANISATIONS[0])
        record = records.KeyGiven(
            key_id, organisation, f"d{self.numbers}", read_to
        )
        self.send(record, fate)

    @stateful.rule(
        key=st.integers(0, 99),
        fate=st.sampled_from(("lands", "answer lost", "late")),
    )
    def withdraw(self, key: int, fate: str) -> None:
        """An operator withdraws a key; ids are known once a key is sent."""
        if self.numbers:
            key_id = ids.KeyId(f"k{1 + key % self.numbers}")
            self.send(records.KeyWithdrawn(key_id), fate)

    @stateful.rule(number=st.integers(0, READERS - 1), late=st.booleans())
    def snapshot(self, number: int, late: bool) -> None:
        """A host appends its snapshot, perhaps late."""
        reader = self.readers[number]
        if reader.state.is_complete:
            self.send(self.snapshot_of(reader), "late" if late else "lands")

    @stateful.rule(position=st.integers(0, 30))
    def arrive(self, position: int) -> None:
        """A late append lands."""
        if self.pending:
            self.append(self.pending.pop(position % len(self.pending)))

    @stateful.rule(position=st.integers(0, 200))
    def replay(self, position: int) -> None:
        """A record of before is appended again."""
        if self.log:
            self.append(self.log[position % len(self.log)])

    @stateful.rule(number=st.integers(0, READERS - 1), count=st.integers(1, 20))
    def read(self, number: int, count: int) -> None:
        """A host reads on."""
        self.read_some(self.readers[number], count)

    @stateful.rule(number=st.integers(0, READERS - 1))
    def restart(self, number: int) -> None:
        """A host is replaced and reads from the oldest record on."""
        self.readers[number] = Reader(configuration.Configuration())
        self.read_some(self.readers[number], 0)

    @stateful.rule(count=st.integers(1, 20))
    def age_out(self, count: int) -> None:
        """The log drops its oldest records."""
        self.oldest = min(self.oldest + count, len(self.log))

    @stateful.invariant()
    def holds(self) -> None:
        """No reader knows anything that does not hold."""
        for reader in self.readers:
            self.check(reader)


ConfigurationMachineTest = ConfigurationMachine.TestCase
ConfigurationMachineTest.settings = stateful_settings.CI_SETTINGS

MACHINES = (ConfigurationMachine,)


class SnapshotTest(unittest.TestCase):
    """Truncated streams."""

    def test_start_from_truncated_stream_without_snapshot(self) -> None:
        """A host that cannot know the configuration trusts no record."""
        state = configuration.Configuration()
        state.mark_incomplete()
        record = records.ConfigurationVersion(1, 0, make_lists({}))
        self.assertFalse(state.apply(record, ids.Offset(7)))
        self.assertFalse(state.is_complete)
        self.assertIsNone(state.lists)

    def test_snapshot_counts_only_right_after_what_its_writer_read(
        self,
    ) -> None:
        """A replayed or overtaken snapshot is void."""
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

    def test_withdrawn_keys_are_forgotten_only_when_replay_is_void(
        self,
    ) -> None:
        """Memory of withdrawn keys is bounded; none works again."""
        state = configuration.Configuration()
        organisation = ids.OrganisationId("org-a")
        gives = []
        limit = configuration.MAX_LAG_RECORDS
        for number in range(limit):
            offset = ids.Offset(2 * number)
            key_id = ids.KeyId(f"k{number}")
            give = records.KeyGiven(key_id, organisation, f"d{number}", offset)
            gives.append(give)
            state.apply(give, offset)
            state.apply(records.KeyWithdrawn(key_id), ids.Offset(offset + 1))
        end = ids.Offset(2 * limit)
        found = state.snapshot(end, 0)
        assert found is not None
        self.assertLessEqual(len(found.withdrawn), limit)
        for give in gives:
            self.assertFalse(state.apply(give, end))
        self.assertEqual(state.active_keys(), [])

    def test_withdrawn_key_stays_so_after_a_snapshot(self) -> None:
        """A host that starts from a snapshot refuses a replayed key."""
        writer = configuration.Configuration()
        give = records.KeyGiven(
            ids.KeyId("k1"), ids.OrganisationId("org-a"), "d1", ids.Offset(0)
        )
        writer.apply(give, ids.Offset(0))
        writer.apply(records.KeyWithdrawn(give.key_id), ids.Offset(1))
        starting = configuration.Configuration()
        starting.mark_incomplete()
        found = writer.snapshot(ids.Offset(2), 5)
        self.assertTrue(starting.apply(found, ids.Offset(2)))
        self.assertFalse(starting.apply(give, ids.Offset(3)))
        self.assertIsNone(starting.authenticate("d1"))


class PeekTest(unittest.TestCase):
    """Entries that a host which knows the configuration does not decode."""

    def test_header_of_a_snapshot(self) -> None:
        """The header is found without decoding the rest."""
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

    def test_nothing_stands_beside_a_snapshot(self) -> None:
        """What follows it in its entry is void for every reader."""
        knowing = configuration.Configuration()
        key = records.KeyGiven(
            ids.KeyId("k"), ids.OrganisationId("org-a"), "d", ids.Offset(0)
        )
        knowing.apply(key, ids.Offset(0))
        found = knowing.snapshot(ids.Offset(1), 0)
        starting = configuration.Configuration()
        starting.mark_incomplete()
        for state in (knowing, starting):
            state.apply(found, ids.Offset(1))
            state.apply(records.KeyWithdrawn(key.key_id), ids.Offset(1))
            self.assertTrue(state.is_valid(key.key_id))


class DeltaTest(unittest.TestCase):
    """Versions as differences."""

    def test_delta_that_gives_another_whole_is_void(self) -> None:
        """The digest of the whole version is checked."""
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
