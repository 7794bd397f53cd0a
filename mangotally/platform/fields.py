"""Typed access to the fields of the platform's JSON objects."""

from __future__ import annotations

import math
from typing import Any

MAX_TIME_MS = 2**63 - 1


class FieldError(ValueError):
    """A field is missing, or its value has the wrong type or range."""


class Fields:
    """A JSON object; unknown fields are ignored."""

    def __init__(self, record: object, path: str = "") -> None:
        """Takes over a decoded JSON value.

        Args:
            record: The value.
            path: Where it was found, for errors.

        Raises:
            FieldError: The value is not an object.
        """
        if not isinstance(record, dict):
            raise FieldError(f"{path or 'value'}: not an object")
        self._record = record
        self._path = path

    def has(self, name: str) -> bool:
        """Returns whether a field is present and not null."""
        return self._record.get(name) is not None

    def text(self, name: str) -> str:
        """Returns a text."""
        value = self._get(name)
        if not isinstance(value, str):
            raise self._error(name, "not a text")
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise self._error(name, "not valid Unicode") from error
        return value

    def flag(self, name: str) -> bool:
        """Returns a truth value; false if the field is missing."""
        value = self._record.get(name, False)
        if not isinstance(value, bool):
            raise self._error(name, "not a truth value")
        return value

    def integer(self, name: str) -> int:
        """Returns an integer."""
        value = self._get(name)
        if not isinstance(value, int) or isinstance(value, bool):
            raise self._error(name, "not an integer")
        return value

    def count(self, name: str) -> int:
        """Returns an integer of at least 0."""
        value = self.integer(name)
        if value < 0:
            raise self._error(name, "below 0")
        return value

    def bounded_count(self, name: str, maximum: int) -> int:
        """Returns an integer from 0 to a maximum."""
        value = self.count(name)
        if value > maximum:
            raise self._error(name, "too large")
        return value

    def time_ms(self, name: str) -> int:
        """Returns a time in Unix milliseconds, which fits in 64 bits."""
        value = self.integer(name)
        if abs(value) > MAX_TIME_MS:
            raise self._error(name, "out of range")
        return value

    def amount(self, name: str) -> float:
        """Returns a number of at least 0."""
        value = self._get(name)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self._error(name, "not a number")
        if math.isnan(value) or value < 0:
            raise self._error(name, "below 0")
        try:
            return float(value)
        except OverflowError as error:
            raise self._error(name, "too large") from error

    def texts(self, name: str) -> list[str]:
        """Returns a list of texts; empty if the field is missing."""
        values = self._list(name)
        if not all(isinstance(value, str) for value in values):
            raise self._error(name, "not a list of texts")
        return values

    def rows(self, name: str) -> list[Fields]:
        """Returns a list of objects; empty if the field is missing."""
        return [
            Fields(value, f"{self._path_of(name)}.{number}")
            for number, value in enumerate(self._list(name))
        ]

    def row(self, name: str) -> Fields:
        """Returns an object."""
        return Fields(self._get(name), self._path_of(name))

    def _get(self, name: str) -> Any:
        if name not in self._record:
            raise self._error(name, "missing")
        return self._record[name]

    def _list(self, name: str) -> list[Any]:
        values = self._record.get(name, [])
        if not isinstance(values, list):
            raise self._error(name, "not a list")
        return values

    def _path_of(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def _error(self, name: str, reason: str) -> FieldError:
        return FieldError(f"{self._path_of(name)}: {reason}")
