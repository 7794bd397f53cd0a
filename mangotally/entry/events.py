"""Splits a stream of events, so that only whole ones are passed on."""

from __future__ import annotations

import dataclasses

MAX_EVENT_BYTES = 4 * 1024 * 1024
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
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether the stream is in the middle of an event."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that became whole.

        Raises:
            ValueError: An event is too large.
        """
        *whole, self._rest = (self._rest + data).split(_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the limit")
        return [_parse(each) for each in whole]


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
