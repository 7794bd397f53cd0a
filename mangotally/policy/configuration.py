"""Configuration and keys: a pure function of the configuration stream."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import records

if TYPE_CHECKING:
    from mangotally.settings import lists as lists_lib

# A key given by a writer that is further behind is void, so a withdrawn
# key need be remembered for this many records only.
MAX_LAG_RECORDS = 1000
MAX_PUBLICATIONS = 100


def digest_key(key: str) -> str:
    """Returns the digest under which a key is stored and published."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.sha256(data).hexdigest()


@dataclasses.dataclass(frozen=True)
class ActiveKey:
    """A key that works.

    Attributes:
        key_id: Its public id.
        organisation: The organisation that it speaks for.
        digest: SHA-256 digest of the key.
    """

    key_id: ids.KeyId
    organisation: ids.OrganisationId
    digest: str


class Configuration:
    """The lists and keys in force as of a prefix of the stream."""

    def __init__(self) -> None:
        self._version = 0
        self._lists: lists_lib.Lists | None = None
        self._given: dict[ids.KeyId, records.KeyGiven] = {}
        self._by_digest: dict[str, ActiveKey] = {}
        self._withdrawn: dict[ids.KeyId, ids.Offset] = {}
        self._publications: collections.OrderedDict[int, ids.AttemptId]
        self._publications = collections.OrderedDict()
        self._last_offset = ids.Offset(-1)
        # An entry that begins with a snapshot holds nothing else.
        self._snapshot_offset = ids.Offset(-1)
        self._complete = True
        self._snapshot_wall_ms: int | None = None

    @property
    def version(self) -> int:
        """Number of the version in force; 0 before the first."""
        return self._version

    @property
    def lists(self) -> lists_lib.Lists | None:
        """The lists in force, or None before the first version."""
        return self._lists

    @property
    def is_complete(self) -> bool:
        """Whether no record was missed, so that keys can be trusted."""
        return self._complete

    @property
    def snapshot_wall_ms(self) -> int | None:
        """When the newest valid snapshot was written, or None."""
        return self._snapshot_wall_ms

    def active_keys(self) -> list[ActiveKey]:
        """Returns the keys that work, by id."""
        return [_key_of(self._given[key_id]) for key_id in sorted(self._given)]

    def authenticate(self, digest: str) -> ActiveKey | None:
        """Returns the key with a digest, or None."""
        return self._by_digest.get(digest)

    def is_valid(self, key_id: ids.KeyId) -> bool:
        """Returns whether a key still works."""
        return key_id in self._given

    def publication_of(self, version: int) -> ids.AttemptId | None:
        """Returns which publication made a recent version, or None."""
        return self._publications.get(version)

    def apply(self, record: object, offset: ids.Offset) -> bool:
        """Applies one record.

        Args:
            record: A record of the stream; others are ignored.
            offset: Its offset.

        Returns:
            Whether the record took effect.
        """
        if offset == self._snapshot_offset:
            return False
        first_of_entry = offset != self._last_offset
        self._last_offset = offset
        if first_of_entry and isinstance(record, records.ConfigurationSnapshot):
            self._snapshot_offset = offset
        match record:
            case records.KeyWithdrawn():
                return self._withdraw(record.key_id, offset)
            case records.ConfigurationSnapshot():
                return first_of_entry and self._restore(record, offset)
            case _ if not self._complete:
                return False
            case records.ConfigurationVersion():
                return self._replace(record, record.lists)
            case records.ConfigurationDelta():
                return self._change(record)
            case records.KeyGiven():
                return self._give(record, offset)
            case _:
                return False

    def mark_incomplete(self) -> None:
        """Notes that records were gone before they could be read.

        Until the next snapshot nothing but withdrawals takes effect.
        """
        self._complete = False

    def note_snapshot(
        self, header: records.SnapshotHeader, offset: ids.Offset
    ) -> None:
        """Notes a snapshot that need not be read.

        Args:
            header: What it says of itself.
            offset: Its offset.
        """
        if header.read_to == offset and header.version == self._version:
            self._snapshot_wall_ms = header.wall_ms
        self._last_offset = offset
        self._snapshot_offset = offset

    def snapshot(
        self, read_to: ids.Offset, wall_ms: int
    ) -> records.ConfigurationSnapshot | None:
        """Returns the whole state as a record, or None if it is unknown.

        Args:
            read_to: All records before this offset have been applied.
            wall_ms: The time since the Unix epoch.
        """
        if not self._complete:
            return None
        self._forget_withdrawn(read_to)
        return records.ConfigurationSnapshot(
            read_to,
            wall_ms,
            self._version,
            self._publications.get(self._version, records.NO_ATTEMPT),
            self._lists,
            tuple(self._given[key_id] for key_id in sorted(self._given)),
            tuple(
                records.WithdrawnKey(key_id, self._withdrawn[key_id])
                for key_id in sorted(self._withdrawn)
            ),
        )

    def _replace(
        self,
        record: records.ConfigurationVersion | records.ConfigurationDelta,
        content: lists_lib.Lists,
    ) -> bool:
        if record.predecessor != self._version:
            return False
        if record.version != self._version + 1:
            return False
        self._set_version(record.version, record.attempt)
        self._lists = content
        return True

    def _set_version(self, version: int, attempt: ids.AttemptId) -> None:
        self._version = version
        self._publications[version] = attempt
        while len(self._publications) > MAX_PUBLICATIONS:
            self._publications.popitem(last=False)

    def _change(self, record: records.ConfigurationDelta) -> bool:
        if record.predecessor != self._version or self._lists is None:
            return False
        content = apply_delta(self._lists, record)
        if content is None or content.digest() != record.digest:
            return False
        return self._replace(record, content)

    def _give(self, record: records.KeyGiven, offset: ids.Offset) -> bool:
        if offset - record.read_to > MAX_LAG_RECORDS:
            return False
        if record.read_to > offset:
            return False
        if record.key_id in self._given or record.key_id in self._withdrawn:
            return False
        if record.digest in self._by_digest:
            return False
        self._add_key(record)
        return True

    def _add_key(self, record: records.KeyGiven) -> None:
        self._given[record.key_id] = record
        self._by_digest[record.digest] = _key_of(record)

    def _withdraw(self, key_id: ids.KeyId, offset: ids.Offset) -> bool:
        self._withdrawn[key_id] = offset
        self._forget_withdrawn(offset)
        given = self._given.pop(key_id, None)
        if given is None:
            return False
        self._by_digest.pop(given.digest, None)
        return True

    def _forget_withdrawn(self, offset: ids.Offset) -> None:
        limit = offset - MAX_LAG_RECORDS
        old = [key for key, at in self._withdrawn.items() if at < limit]
        for key_id in old:
            del self._withdrawn[key_id]

    def _restore(
        self, record: records.ConfigurationSnapshot, offset: ids.Offset
    ) -> bool:
        if record.read_to != offset or record.version < self._version:
            return False
        self._snapshot_wall_ms = record.wall_ms
        if self._complete:
            return False
        self._set_version(record.version, record.attempt)
        self._lists = record.lists
        self._withdrawn = {
            item.key_id: item.offset for item in record.withdrawn
        }
        self._given = {}
        self._by_digest = {}
        for given in record.keys:
            self._add_key(given)
        self._complete = True
        return True


def apply_delta(
    base: lists_lib.Lists, record: records.ConfigurationDelta
) -> lists_lib.Lists | None:
    """Returns a version with differences applied, or None if they clash."""
    if record.uses is None:
        return base.with_changes(record.organisations, record.removed)
    organisations = {item.id: item for item in base.plans.organisations}
    for name in record.removed:
        organisations.pop(name, None)
    for item in record.organisations:
        organisations[item.id] = item
    kind = type(base)
    try:
        return kind(
            plans=type(base.plans)(organisations=tuple(organisations.values())),
            uses=record.uses,
        )
    except ValueError:
        return None


def make_delta(
    base: lists_lib.Lists,
    content: lists_lib.Lists,
    version: int,
    attempt: ids.AttemptId,
) -> records.ConfigurationDelta:
    """Returns the record that turns a version into the next.

    Args:
        base: The version in force.
        content: The next version.
        version: Number of the next version.
        attempt: Id of the publication.
    """
    changed = tuple(
        item
        for item in content.plans.organisations
        if base.plan_name(item.id) != item.plan
    )
    removed = tuple(
        ids.OrganisationId(item.id)
        for item in base.plans.organisations
        if content.plan_name(item.id) is None
    )
    return records.ConfigurationDelta(
        version,
        version - 1,
        attempt,
        changed,
        removed,
        content.uses if content.uses != base.uses else None,
        content.digest(),
    )


def _key_of(record: records.KeyGiven) -> ActiveKey:
    return ActiveKey(record.key_id, record.organisation, record.digest)
