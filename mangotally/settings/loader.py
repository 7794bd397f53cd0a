"""Reads YAML files and checks them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import pydantic
import yaml
from returns import result

if TYPE_CHECKING:
    import pathlib

M = TypeVar("M", bound=pydantic.BaseModel)


def load(
    kind: type[M],
    path: pathlib.Path,
    overrides: dict[str, Any] | None = None,
) -> result.Result[M, str]:
    """Returns the checked content of a YAML file.

    Args:
        kind: The model that the content must match.
        path: The file.
        overrides: Values that replace those of the file, by dotted path.

    Returns:
        The model, or a text that names file, place and reason.
    """
    try:
        content = yaml.safe_load(path.read_text())
    except OSError as error:
        return result.Failure(f"{path}: {error.strerror}")
    except UnicodeDecodeError:
        return result.Failure(f"{path}: not UTF-8 text")
    except yaml.YAMLError as error:
        return result.Failure(f"{path}: {error}")
    if not isinstance(content, dict):
        return result.Failure(f"{path}: not a mapping")
    for name, value in (overrides or {}).items():
        _set(content, name.split("."), value)
    try:
        return result.Success(kind.model_validate(content))
    except pydantic.ValidationError as error:
        return result.Failure(_describe(path, error))


def parse_override(text: str) -> result.Result[tuple[str, Any], str]:
    """Returns name and value of a `name=value` override."""
    name, equals, value = text.partition("=")
    if not equals or not name:
        return result.Failure(f"--set {text}: not name=value")
    try:
        return result.Success((name, yaml.safe_load(value)))
    except yaml.YAMLError:
        return result.Failure(f"--set {text}: the value is not YAML")


def _set(content: dict[str, Any], path: list[str], value: Any) -> None:
    for part in path[:-1]:
        content = content.setdefault(part, {})
    content[path[-1]] = value


def _describe(path: pathlib.Path, error: pydantic.ValidationError) -> str:
    lines = []
    for item in error.errors(include_url=False, include_input=False):
        where = ".".join(str(part) for part in item["loc"]) or "(top)"
        lines.append(f"{path}: {where}: {item['msg']}")
    return "\n".join(lines)
