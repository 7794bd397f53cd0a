"""Splits an event stream, so that only complete events are forwarded."""

from __future__ import annotations

import dataclasses

MAX_EVENT_BYTES = 64 * 1024
# Bytes that may arrive without an event that advances the stream.
MAX_BYTES_WITHOUT_PROGRESS = 64 * 1024
MAX_EVENTS = 16_384
_END = b"\n\n"


@dataclasses.dataclass(frozen=True)
class Event:
    """A complete event.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        number: Its id, or None if the id is missing or not an integer.
        data: Its data, lines joined by line feeds.
    """

    raw: bytes
    number: int | None
    data: bytes

    def advances(self, last: int | None) -> bool:
        """Whether the event advances a stream.

        Args:
            last: Id of the last event that advanced it, or None.
        """
        if self.number is None:
            return bool(self.data)
        return last is None or self.number > last


class EventSplitter:
    """Collects bytes until an event is complete.

    Rejects streams with too many events, and streams that send bytes without
    advancing.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._last_number: int | None = None
        self._bytes_without_progress = 0
        self._event_count = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are complete with these bytes.

        Raises:
            ValueError: An event is too large, or the stream is too long or
                does not advance.
        """
        # The separator may begin with the last byte of the previous data.
        search = max(0, len(self._buffer) - 1)
        self._buffer += data
        begin = 0
        complete: list[Event] = []
        while (end := self._buffer.find(_END, search)) >= 0:
            event = _parse(bytes(self._buffer[begin:end]))
            self._count(event)
            complete.append(event)
            begin = search = end + len(_END)
        del self._buffer[:begin]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the limit")
        return complete

    def _count(self, event: Event) -> None:
        self._event_count += 1
        self._bytes_without_progress += len(event.raw)
        if event.advances(self._last_number):
            self._bytes_without_progress = 0
            self._last_number = (
                event.number if event.number is not None else self._last_number
            )
        if self._bytes_without_progress > MAX_BYTES_WITHOUT_PROGRESS:
            raise ValueError("the stream does not advance")
        if self._event_count > MAX_EVENTS:
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
