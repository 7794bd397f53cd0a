"""Loads YAML files and validates them with their models."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import pydantic
import yaml
from returns import result

from mangotally.settings import yaml_files

if TYPE_CHECKING:
    import pathlib

MAX_ERRORS = 20
M = TypeVar("M")


def load(
    kind: type[M],
    path: pathlib.Path,
    overrides: dict[str, Any] | None = None,
) -> result.Result[M, str]:
    """Loads and validates a YAML file.

    Args:
        kind: The model or dataclass that the content must match.
        path: The file.
        overrides: Values that replace those of the file, by dotted path.

    Returns:
        The model, or a text with file, line, field and reason of each error.
    """
    return yaml_files.read(path).bind(
        lambda document: check(kind, path, document, overrides)
    )


def check(
    kind: type[M],
    path: pathlib.Path,
    document: yaml_files.Document,
    overrides: dict[str, Any] | None = None,
) -> result.Result[M, str]:
    """Validates a document's content; see `load`."""
    for name, value in (overrides or {}).items():
        if not _set_value(document.content, name.split("."), value):
            return result.Failure(f"--set {name}: the parent is not a mapping")
    try:
        adapter = pydantic.TypeAdapter(kind)
        return result.Success(adapter.validate_python(document.content))
    except pydantic.ValidationError as error:
        return result.Failure(_format_errors(path, document, error))


def parse_overrides(
    texts: tuple[str, ...],
) -> result.Result[dict[str, Any], str]:
    """Parses `name=value` overrides; returns the values by dotted path."""
    values: dict[str, Any] = {}
    for text in texts:
        parsed = parse_override(text)
        if isinstance(parsed, result.Failure):
            return result.Failure(parsed.failure())
        name, value = parsed.unwrap()
        values[name] = value
    return result.Success(values)


def parse_override(text: str) -> result.Result[tuple[str, Any], str]:
    """Parses a `name=value` override; the value is YAML."""
    name, equals, value = text.partition("=")
    if not equals or not name:
        return result.Failure(f"--set {text}: not name=value")
    try:
        return result.Success((name, yaml.safe_load(value)))
    except (yaml.YAMLError, ValueError, RecursionError):
        return result.Failure(f"--set {name}: the value is not valid YAML")


def _set_value(content: dict[str, Any], path: list[str], value: Any) -> bool:
    for part in path[:-1]:
        if content.get(part) is None:
            content[part] = {}
        content = content[part]
        if not isinstance(content, dict):
            return False
    content[path[-1]] = value
    return True


def _format_errors(
    path: pathlib.Path,
    document: yaml_files.Document,
    error: pydantic.ValidationError,
) -> str:
    texts = []
    found = error.errors(include_url=False, include_input=False)
    for item in found[:MAX_ERRORS]:
        line = document.line_of(item["loc"])
        where = ".".join(str(part) for part in item["loc"]) or "(top)"
        texts.append(f"{path}:{line}: {where}: {item['msg']}")
    if len(found) > MAX_ERRORS:
        texts.append(f"{path}: {len(found) - MAX_ERRORS} more errors")
    return "\n".join(texts)
