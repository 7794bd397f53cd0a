"""Chooses the hosts through which a host that reaches no target sends."""

from __future__ import annotations

# What a host has said of its own paths to the targets counts for this time.
MEMORY_MS = 2000.0


class RelayChoice:
    """Prefers hosts that were able to send, and avoids those that were not.

    Hosts of which nothing is known come between them: when many hosts lose
    their paths at once, the remaining ones are found within a few calls. A
    host stays with the first one that it found; the load is spread because
    each finds another one first.
    """

    def __init__(self) -> None:
        self._able_ms: dict[str, float] = {}
        self._unable_ms: dict[str, float] = {}

    def order(self, addresses: list[str], now_ms: float) -> list[str]:
        """Returns addresses in the order in which to ask the hosts.

        Args:
            addresses: The hosts' addresses; the order is kept among those
                that are equally preferred.
            now_ms: Current time.
        """
        after_ms = now_ms - MEMORY_MS
        for recorded in (self._able_ms, self._unable_ms):
            for address in [
                each for each, at_ms in recorded.items() if at_ms <= after_ms
            ]:
                del recorded[address]
        return sorted(
            addresses,
            key=lambda each: (
                each in self._unable_ms,
                each not in self._able_ms,
            ),
        )

    def record(self, address: str, is_able: bool, now_ms: float) -> None:
        """Records whether a host was able to send a request."""
        recorded, other = self._able_ms, self._unable_ms
        if not is_able:
            recorded, other = other, recorded
        recorded[address] = now_ms
        other.pop(address, None)
