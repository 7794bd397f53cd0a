"""YAML text as plain values, with bounds and with line numbers."""

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
        content: The top mapping.
        lines: Line number of each value by its path, from 1.
    """

    content: dict[str, Any]
    lines: dict[KeyPath, int]

    def line_of(self, path: KeyPath) -> int | None:
        """Returns the line of a value, or of what stands around it."""
        for length in range(len(path), -1, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return None


def read(path: pathlib.Path) -> result.Result[Document, str]:
    """Returns a file's content, or a text that names file, line, reason."""
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
    """Returns the content of a text, or `LINE: reason`."""
    try:
        refusal = _check_events(text)
        if refusal is not None:
            return result.Failure(refusal)
        node = yaml.compose(text, Loader=_Loader)
        if not isinstance(node, yaml.MappingNode):
            return result.Failure("1: not a mapping")
        lines: dict[KeyPath, int] = {}
        refusal = _index(node, (), lines)
        if refusal is not None:
            return result.Failure(refusal)
        content = yaml.constructor.SafeConstructor().construct_document(node)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        return result.Failure(f"{line}: {error.problem or error.context}")
    except (yaml.YAMLError, ValueError, TypeError) as error:
        return result.Failure(f"1: {str(error).splitlines()[0]}")
    return result.Success(Document(content, lines))


def _check_events(text: str) -> str | None:
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


def _index(node: Any, path: KeyPath, lines: dict[KeyPath, int]) -> str | None:
    lines[path] = _line_of(node)
    if isinstance(node, yaml.SequenceNode):
        for number, item in enumerate(node.value):
            refusal = _index(item, (*path, number), lines)
            if refusal is not None:
                return refusal
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
            return f"{line}: a key is not a name"
        if key.value in seen:
            return f"{line}: {key.value!r} stands twice"
        seen.add(key.value)
        refusal = _index(value, (*path, key.value), lines)
        if refusal is not None:
            return refusal
        lines[(*path, key.value)] = line
    return None


def _line_of(item: Any) -> int:
    return int(item.start_mark.line) + 1
