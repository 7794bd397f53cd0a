"""Splits a stream of events, so that only whole ones are passed on."""

from __future__ import annotations

import dataclasses

MAX_EVENT_BYTES = 64 * 1024
_END = b"\n\n"


@dataclasses.dataclass(frozen=True)
class Event:
    """A whole event.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        number: Its id, or None if it has no whole number as id.
        data: Its data, lines joined by line feeds.
    """

    raw: bytes
    number: int | None
    data: bytes


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        """Makes a splitter at the start of a stream."""
        self._rest = bytearray()

    @property
    def has_rest(self) -> bool:
        """Whether the stream is in the middle of an event."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that became whole.

        Raises:
            ValueError: An event is too large.
        """
        # The end may have begun with the last byte before.
        search = max(0, len(self._rest) - 1)
        self._rest += data
        begin = 0
        found: list[Event] = []
        while (end := self._rest.find(_END, search)) >= 0:
            found.append(_parse(bytes(self._rest[begin:end])))
            begin = search = end + len(_END)
        del self._rest[:begin]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the limit")
        return found


def _parse(text: bytes) -> Event:
    number: int | None = None
    data: list[bytes] = []
    for line in text.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            number = int(value) if value.isdigit() else None
        elif name == b"data":
            data.append(value)
    return Event(text + _END, number, b"\n".join(data))
