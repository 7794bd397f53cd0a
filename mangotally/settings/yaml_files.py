"""Parses YAML into plain values, with size limits and line numbers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import yaml
from returns import result

if TYPE_CHECKING:
    import pathlib

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_DEPTH = 32
KeyPath = tuple[str | int, ...]
_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclasses.dataclass(frozen=True)
class Document:
    """The content of a YAML file.

    Attributes:
        content: The top-level mapping.
        lines: Line number, from 1, of each value by its path of keys.
    """

    content: dict[str, Any]
    lines: dict[KeyPath, int]

    def line_of(self, path: KeyPath) -> int | None:
        """Returns the line of a value, or of its closest known parent."""
        for length in range(len(path), -1, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return None


def read(path: pathlib.Path) -> result.Result[Document, str]:
    """Parses a file; a failure is a text with file, line and reason."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return result.Failure(f"{path}: {error.strerror}")
    if len(data) > MAX_FILE_BYTES:
        return result.Failure(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return result.Failure(f"{path}: not UTF-8 text")
    return parse(text).alt(lambda reason: f"{path}:{reason}")


def parse(text: str) -> result.Result[Document, str]:
    """Parses a text; a failure is a text of the form `LINE: reason`."""
    try:
        problem = _check_structure(text)
        if problem is not None:
            return result.Failure(problem)
        node = yaml.compose(text, Loader=_Loader)
        if not isinstance(node, yaml.MappingNode):
            return result.Failure("1: the top level is not a mapping")
        lines: dict[KeyPath, int] = {}
        problem = _index_lines(node, (), lines)
        if problem is not None:
            return result.Failure(problem)
        content = yaml.constructor.SafeConstructor().construct_document(node)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        return result.Failure(f"{line}: {error.problem or error.context}")
    except (yaml.YAMLError, ValueError, TypeError) as error:
        return result.Failure(f"1: {str(error).splitlines()[0]}")
    return result.Success(Document(content, lines))


def _check_structure(text: str) -> str | None:
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        line = _line_of(event)
        if isinstance(event, yaml.AliasEvent):
            return f"{line}: aliases are not allowed"
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return f"{line}: nested deeper than {MAX_DEPTH} levels"
    return None


def _index_lines(
    node: Any, path: KeyPath, lines: dict[KeyPath, int]
) -> str | None:
    lines[path] = _line_of(node)
    if isinstance(node, yaml.SequenceNode):
        for number, item in enumerate(node.value):
            problem = _index_lines(item, (*path, number), lines)
            if problem is not None:
                return problem
    if isinstance(node, yaml.MappingNode):
        return _index_mapping(node, path, lines)
    return None


def _index_mapping(
    node: Any, path: KeyPath, lines: dict[KeyPath, int]
) -> str | None:
    seen: set[str] = set()
    for key, value in node.value:
        line = _line_of(key)
        if not isinstance(key, yaml.ScalarNode):
            return f"{line}: keys of mappings must be scalars"
        if key.value in seen:
            return f"{line}: duplicate key {key.value!r}"
        seen.add(key.value)
        problem = _index_lines(value, (*path, key.value), lines)
        if problem is not None:
            return problem
        lines[(*path, key.value)] = line
    return None


def _line_of(item: Any) -> int:
    return int(item.start_mark.line) + 1
