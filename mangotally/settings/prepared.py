"""Loads settings that a platform has prepared as JSON, without YAML.

The imports of the YAML parser and the validation library would delay the start
of a host. A file that is anything but plain valid JSON is left to `loader`,
which also says what is wrong with it.
"""

from __future__ import annotations

import dataclasses
import json
import sys
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    import pathlib

T = TypeVar("T")
_SCALARS = frozenset({"str", "int", "float"})


def load(kind: type[T], path: pathlib.Path) -> T | None:
    """Loads a file into a dataclass.

    Args:
        kind: The dataclass; its fields are texts, numbers or dataclasses of
            the same module.
        path: The file.

    Returns:
        The settings, or None if the file needs the other loader.
    """
    try:
        return build(kind, json.loads(path.read_bytes()))
    except (OSError, ValueError, RecursionError):
        return None


def build(kind: type[T], content: object) -> T:
    """Builds a dataclass from plain values of the very types of its fields.

    Raises:
        ValueError: A field is missing or unknown, or its value is invalid or
            of another type.
    """
    if not isinstance(content, dict):
        raise ValueError("not an object")
    fields = {each.name: each for each in dataclasses.fields(kind)}  # type: ignore[arg-type]
    values = {
        name: _convert(kind, fields[name].type, value)
        for name, value in content.items()
        if name in fields
    }
    if len(values) < len(content):
        raise ValueError("unknown field")
    required = {
        name
        for name, field in fields.items()
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    }
    if not required <= values.keys():
        raise ValueError("missing field")
    return kind(**values)


def _convert(owner: type, type_name: object, value: Any) -> object:
    """Returns a value as the type of its field, which is named by a text."""
    match type_name, value:
        case "str", str():
            return value
        case "int" | "float", bool():
            raise ValueError("not a number")
        case "int", int():
            return value
        case "float", int() | float():
            return float(value)
        case str() as name, dict() if name not in _SCALARS:
            return build(getattr(sys.modules[owner.__module__], name), value)
    raise ValueError("another type")
