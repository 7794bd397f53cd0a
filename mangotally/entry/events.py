"""Splits a stream of events, so that only whole ones are passed on."""

from __future__ import annotations

import dataclasses

MAX_EVENT_BYTES = 64 * 1024
# What may come without an event that takes the stream further.
MAX_BYTES_WITHOUT_PROGRESS = 64 * 1024
MAX_EVENTS = 16_384
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

    def advances(self, last: int | None) -> bool:
        """Whether it takes a stream further than an earlier event."""
        if self.number is None:
            return bool(self.data)
        return last is None or self.number > last


class EventSplitter:
    """Collects bytes until an event is whole.

    A stream that has no end, or goes no further, is refused.
    """

    def __init__(self) -> None:
        """Makes a splitter at the start of a stream."""
        self._rest = bytearray()
        self._last: int | None = None
        self._idle_bytes = 0
        self._events = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream is in the middle of an event."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that became whole.

        Raises:
            ValueError: An event is too large, or the stream too long.
        """
        # The end may have begun with the last byte before.
        search = max(0, len(self._rest) - 1)
        self._rest += data
        begin = 0
        found: list[Event] = []
        while (end := self._rest.find(_END, search)) >= 0:
            event = _parse(bytes(self._rest[begin:end]))
            self._note(event)
            found.append(event)
            begin = search = end + len(_END)
        del self._rest[:begin]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the limit")
        return found

    def _note(self, event: Event) -> None:
        self._events += 1
        self._idle_bytes += len(event.raw)
        if event.advances(self._last):
            self._idle_bytes = 0
            self._last = (
                event.number if event.number is not None else self._last
            )
        if self._idle_bytes > MAX_BYTES_WITHOUT_PROGRESS:
            raise ValueError("the stream goes no further")
        if self._events > MAX_EVENTS:
            raise ValueError("the stream has too many events")


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
