"""Configuration and keys: a pure function of the configuration stream."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.policy import records

if TYPE_CHECKING:
    from mangotally.settings import lists


def digest_key(key: str) -> str:
    """Returns the digest under which a key is stored and published."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class Key:
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
        self._lists: lists.Lists | None = None
        self._keys: dict[ids.KeyId, Key] = {}
        self._by_digest: dict[str, Key] = {}
        self._withdrawn: set[ids.KeyId] = set()

    @property
    def version(self) -> int:
        """Number of the version in force; 0 before the first."""
        return self._version

    @property
    def lists(self) -> lists.Lists | None:
        """The lists in force, or None before the first version."""
        return self._lists

    def working_keys(self) -> list[Key]:
        """Returns the keys that work, by id."""
        return [self._keys[key_id] for key_id in sorted(self._keys)]

    def authenticate(self, digest: str) -> Key | None:
        """Returns the key with a digest, or None."""
        return self._by_digest.get(digest)

    def is_valid(self, key_id: ids.KeyId) -> bool:
        """Returns whether a key still works."""
        return key_id in self._keys

    def apply(self, record: object) -> bool:
        """Applies one record.

        Args:
            record: A record of the stream; others are ignored.

        Returns:
            Whether the record took effect.
        """
        match record:
            case records.ConfigurationVersion():
                return self._apply_version(record)
            case records.KeyGiven():
                return self._give(record)
            case records.KeyWithdrawn():
                return self._withdraw(record.key_id)
            case _:
                return False

    def _apply_version(self, record: records.ConfigurationVersion) -> bool:
        if record.predecessor != self._version:
            return False
        if record.version != self._version + 1:
            return False
        self._version = record.version
        self._lists = record.lists
        return True

    def _give(self, record: records.KeyGiven) -> bool:
        if record.key_id in self._keys or record.key_id in self._withdrawn:
            return False
        key = Key(record.key_id, record.organisation, record.digest)
        self._keys[key.key_id] = key
        self._by_digest[key.digest] = key
        return True

    def _withdraw(self, key_id: ids.KeyId) -> bool:
        self._withdrawn.add(key_id)
        key = self._keys.pop(key_id, None)
        if key is None:
            return False
        self._by_digest.pop(key.digest, None)
        return True
