"""Which partition holds a key."""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 8


def partition_of(key: str, partitions: int) -> int:
    """Returns the partition of a key, the same on all hosts."""
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") % partitions
